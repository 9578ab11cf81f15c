package timeline

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Formats in which a collection can be written.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
	FormatHTML Format = "html"
)

type (
	// Format names an output format.
	Format string

	// FormatError reports an unknown format.
	FormatError struct {
		Format Format
	}
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"fields": func(e Event) string { return eventFields(&e) }, "stamp": stampText}).Parse(pageText))

// Error returns the message with the format.
func (e *FormatError) Error() string { return fmt.Sprintf("unknown format %q", string(e.Format)) }

// Write writes the collection as text, as JSON lines or as a self-contained
// HTML page. It returns a FormatError if the format is unknown, or the error of
// a failed write.
func (c *Collection) Write(w io.Writer, f Format) error {
	switch f {
	case FormatText:
		return c.writeText(w)
	case FormatJSON:
		return c.writeJSON(w)
	case FormatHTML:
		if err := pageTemplate.Execute(w, c); err != nil {
			return fmt.Errorf("timeline page: %w", err)
		}
		return nil
	}
	return &FormatError{Format: f}
}

func (c *Collection) writeText(w io.Writer) error {
	for i := range c.Events {
		if _, err := fmt.Fprintln(w, c.Events[i].Text()); err != nil {
			return fmt.Errorf("timeline text: %w", err)
		}
	}
	for _, g := range c.Gaps {
		if _, err := fmt.Fprintf(w, "gap: %s: %s %v\n", g.Source, g.Reason, evictedText(g.Shed)); err != nil {
			return fmt.Errorf("timeline text: %w", err)
		}
	}
	return nil
}

func (c *Collection) writeJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	for i := range c.Events {
		if err := enc.Encode(&c.Events[i]); err != nil {
			return fmt.Errorf("timeline JSON: %w", err)
		}
	}
	for i := range c.Gaps {
		if err := enc.Encode(&c.Gaps[i]); err != nil {
			return fmt.Errorf("timeline JSON: %w", err)
		}
	}
	return nil
}

// Text returns the event as one line.
func (e *Event) Text() string {
	return fmt.Sprintf("%s %-12s %-8s %s %s", stampText(e.Stamp), e.Process, e.Kind, e.Name, eventFields(e))
}

func stampText(s Stamp) string {
	return fmt.Sprintf("%s+%d", s.Time().UTC().Format("2006-01-02T15:04:05.000000Z"), s.Counter)
}

func eventFields(e *Event) string {
	var b strings.Builder
	add := func(name, value string) {
		if value != "" && value != "0" {
			fmt.Fprintf(&b, "%s=%s ", name, value)
		}
	}
	add("Zone", string(e.Zone))
	add("VM", string(e.VM))
	add("Service", string(e.Service))
	add("Target", e.Target)
	add("Flow", e.Flow)
	add("Epoch", fmt.Sprint(uint64(e.Epoch)))
	add("Revision", fmt.Sprint(uint64(e.Revision)))
	add("Cause", e.Cause)
	add("Detail", e.Detail)
	return strings.TrimSpace(b.String())
}

func evictedText(evicted map[Kind]uint64) string {
	if len(evicted) == 0 {
		return ""
	}
	return fmt.Sprint(evicted)
}
