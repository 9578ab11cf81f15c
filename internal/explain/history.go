package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/internal/logging"
)

const (
	// Lines that do not name the flow are included only if they were written
	// less than windowBefore before the first line that names the flow or less
	// than windowAfter after the last one, or between these two lines. A silent
	// target is detected after 3 s, so windowBefore is longer than 3 s.
	windowBefore = 4 * time.Second
	windowAfter  = time.Second
)

type (
	// FlowHistory is the history of one flow, reconstructed from the logs.
	FlowHistory struct {
		Lines []Line
		// Gaps describes log lines that were suppressed or lost.
		Gaps []string
	}

	// NoFlowError reports that no log line names the flow or caller with this
	// ID.
	NoFlowError struct{ ID string }
)

// Error returns the message with the ID of the flow.
func (e *NoFlowError) Error() string {
	return fmt.Sprintf("no log line names the flow or caller %q", e.ID)
}

// SelectFlow selects the lines that name a flow and the related lines that were
// written around the time of the flow. id is the ID of the flow or the caller's
// address and port. SelectFlow returns a NoFlowError if no line names id.
func SelectFlow(lines []Line, id string) (*FlowHistory, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	namesFlow := func(l *Line) bool { return l.Flow == id || l.Caller == id }
	targets, vms, servicesWithoutTarget := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	hasOpening := false
	for i := range lines {
		l := &lines[i]
		if !namesFlow(l) {
			continue
		}
		if first.IsZero() {
			first = l.Time
		}
		last = l.Time
		vms[l.VM] = true
		for _, t := range []string{l.Target, l.Former} {
			if t != "" {
				targets[t] = true
			}
		}
		// If the line names a service but no target, no target was chosen. Then
		// the lines about all targets of the service are included.
		if l.Target == "" && l.Service != "" {
			servicesWithoutTarget[l.Service] = true
		}
		hasOpening = hasOpening || l.Fields[logging.Copy] != nil
	}
	if first.IsZero() {
		return nil, &NoFlowError{id}
	}
	h := new(FlowHistory)
	for i := range lines {
		l := &lines[i]
		inWindow := l.Time.After(first.Add(-windowBefore)) && l.Time.Before(last.Add(windowAfter))
		service, _, _ := strings.Cut(l.Target, "@")
		related := l.Flow == "" && (targets[l.Target] || servicesWithoutTarget[service] || vms[l.VM] && l.Target == "")
		if namesFlow(l) || inWindow && related {
			h.Lines = append(h.Lines, *l)
		}
		if inWindow && vms[l.VM] && l.LeftOut > 0 {
			h.Gaps = append(h.Gaps, fmt.Sprintf("%s left out %d lines %q before %s", l.VM, l.LeftOut, l.Message, formatTime(l.Time)))
		}
	}
	if !hasOpening {
		h.Gaps = append(h.Gaps, "no log line about an opening packet: the line was left out, or the VM that received the packet lost its last log lines")
	}
	return h, nil
}

func formatTime(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// Print writes the lines and then the gaps. The times are relative to the first
// line that names the flow. Lines that name the flow are marked with an
// asterisk. id must be the id that was passed to SelectFlow.
func (h *FlowHistory) Print(w io.Writer, id string) error {
	var start time.Time
	for i := range h.Lines {
		if l := &h.Lines[i]; l.Flow == id || l.Caller == id {
			start = l.Time
			break
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "flow %s, first seen at %s\n", id, start.UTC().Format(time.RFC3339Nano))
	for i := range h.Lines {
		l := &h.Lines[i]
		marker := " "
		if l.Flow == id || l.Caller == id {
			marker = "*"
		}
		fmt.Fprintf(&b, "%s %+8.3fs %-20s %s%s\n", marker, l.Time.Sub(start).Seconds(), l.VM, l.Message, l.details())
	}
	for _, g := range h.Gaps {
		fmt.Fprintf(&b, "gap: %s\n", g)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// details returns the fields that Print does not show elsewhere, as text.
func (l *Line) details() string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		if key == logging.VM || key == logging.Flow || key == logging.LeftOut {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", key, l.Fields[key])
	}
	return b.String()
}
