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
	// before and after bound the time around the flow in which other lines
	// matter: a target's silence is noticed after 3 s.
	before = 4 * time.Second
	after  = time.Second
)

type (
	// Story is what the logs tell about one flow.
	Story struct {
		Lines []Line
		// Gaps say what the logs do not tell.
		Gaps []string
	}

	// NoFlowError reports that no line names the flow.
	NoFlowError struct{ ID string }
)

// Error names the flow.
func (e *NoFlowError) Error() string {
	return fmt.Sprintf("no log line names the flow or caller %q", e.ID)
}

// Tell selects the lines about a flow, which id names by its id or by the
// caller's address and port. It returns a NoFlowError.
func Tell(lines []Line, id string) (*Story, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	own := func(l *Line) bool { return l.Flow == id || l.Caller == id }
	targets, vms, unserved := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	opened := false
	for i := range lines {
		l := &lines[i]
		if !own(l) {
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
		// Where no target was chosen, those of the service matter.
		if l.Target == "" && l.Service != "" {
			unserved[l.Service] = true
		}
		opened = opened || l.Fields[logging.Copy] != nil
	}
	if first.IsZero() {
		return nil, &NoFlowError{id}
	}
	s := new(Story)
	for i := range lines {
		l := &lines[i]
		near := l.Time.After(first.Add(-before)) && l.Time.Before(last.Add(after))
		service, _, _ := strings.Cut(l.Target, "@")
		about := l.Flow == "" && (targets[l.Target] || unserved[service] || vms[l.VM] && l.Target == "")
		if own(l) || near && about {
			s.Lines = append(s.Lines, *l)
		}
		if near && vms[l.VM] && l.LeftOut > 0 {
			s.Gaps = append(s.Gaps, fmt.Sprintf("%s left out %d lines %q before %s", l.VM, l.LeftOut, l.Message, clock(l.Time)))
		}
	}
	if !opened {
		s.Gaps = append(s.Gaps, "no line about an opening packet: it was left out, or the VM that took it lost its last lines")
	}
	return s, nil
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// Print writes the story with times relative to the first line of the flow.
func (s *Story) Print(w io.Writer, id string) error {
	var start time.Time
	for i := range s.Lines {
		if l := &s.Lines[i]; l.Flow == id || l.Caller == id {
			start = l.Time
			break
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "flow %s, first seen at %s\n", id, start.UTC().Format(time.RFC3339Nano))
	for i := range s.Lines {
		l := &s.Lines[i]
		mark := " "
		if l.Flow == id || l.Caller == id {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %+8.3fs %-20s %s%s\n", mark, l.Time.Sub(start).Seconds(), l.VM, l.Message, l.details())
	}
	for _, g := range s.Gaps {
		fmt.Fprintf(&b, "gap: %s\n", g)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// details returns the fields that the line does not already show.
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
