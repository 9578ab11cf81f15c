package timeline

import (
	"cmp"
	"net/url"
	"slices"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Query parameters of a filter. They have the names of the fields of Filter,
// except that the parameter for Kinds is Kind.
const (
	paramKind    = "Kind"
	paramFlow    = "Flow"
	paramTarget  = "Target"
	paramVM      = "VM"
	paramService = "Service"
	paramFrom    = "From"
	paramUntil   = "Until"
)

type (
	// Filter selects the events that match all of its fields. An empty field
	// matches every event. Flow and Target match events whose field of the same
	// name contains the text. VM matches the events about a VM and the events
	// that the process of this VM recorded. From and Until are inclusive.
	Filter struct {
		Kinds   []Kind
		Flow    string
		Target  string
		VM      fleet.VMID
		Service fleet.ServiceID
		From    time.Time
		Until   time.Time
	}

	// FilterError reports a query parameter that can't be parsed.
	FilterError struct {
		Parameter string
		Err       error
	}
)

// Error returns the message with the parameter and the cause.
func (e *FilterError) Error() string { return "parameter " + e.Parameter + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FilterError) Unwrap() error { return e.Err }

// Matches reports whether the filter selects the event.
func (f *Filter) Matches(e *Event) bool {
	switch {
	case len(f.Kinds) > 0 && !slices.Contains(f.Kinds, e.Kind):
		return false
	case f.Flow != "" && !strings.Contains(e.Flow, f.Flow):
		return false
	case f.Target != "" && !strings.Contains(e.Target, f.Target):
		return false
	case f.VM != "" && e.VM != f.VM && e.Process != f.VM:
		return false
	case f.Service != "" && e.Service != f.Service:
		return false
	case !f.From.IsZero() && e.Stamp.Time().Before(f.From):
		return false
	case !f.Until.IsZero() && e.Stamp.Time().After(f.Until):
		return false
	}
	return true
}

// selectPage returns the first events that match the filter, at most limit, and
// the sequence number after which the next page starts. events must be sorted
// by sequence number. last is the latest sequence number of the ring.
func (f *Filter) selectPage(events []Event, limit int, last uint64) ([]Event, uint64) {
	var out []Event
	for i := range events {
		if !f.Matches(&events[i]) {
			continue
		}
		if len(out) == limit {
			return out, out[len(out)-1].Sequence
		}
		out = append(out, events[i])
	}
	return out, last
}

// Query encodes the filter as URL parameters.
func (f *Filter) Query() url.Values {
	q := make(url.Values)
	for _, kind := range f.Kinds {
		q.Add(paramKind, string(kind))
	}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	set(paramFlow, f.Flow)
	set(paramTarget, f.Target)
	set(paramVM, string(f.VM))
	set(paramService, string(f.Service))
	if !f.From.IsZero() {
		q.Set(paramFrom, f.From.Format(time.RFC3339Nano))
	}
	if !f.Until.IsZero() {
		q.Set(paramUntil, f.Until.Format(time.RFC3339Nano))
	}
	return q
}

// ParseFilter decodes the parameters that Query encodes. Any error is a
// FilterError.
func ParseFilter(q url.Values) (Filter, error) {
	f := Filter{
		Flow:    q.Get(paramFlow),
		Target:  q.Get(paramTarget),
		VM:      fleet.VMID(q.Get(paramVM)),
		Service: fleet.ServiceID(q.Get(paramService)),
	}
	for _, kind := range q[paramKind] {
		f.Kinds = append(f.Kinds, Kind(kind))
	}
	var err error
	if f.From, err = parseTime(q, paramFrom); err != nil {
		return Filter{}, err
	}
	if f.Until, err = parseTime(q, paramUntil); err != nil {
		return Filter{}, err
	}
	return f, nil
}

func parseTime(q url.Values, name string) (time.Time, error) {
	if q.Get(name) == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, q.Get(name))
	if err != nil {
		return time.Time{}, &FilterError{Parameter: name, Err: err}
	}
	return t, nil
}

func sortBySequence(events []Event) {
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
}
