package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/internal/explain"
	"bamboowalk.org/bamboowalk/internal/logging"
)

const (
	// maxSlowFlows is the number of flows whose history the page shows.
	maxSlowFlows = 10
	// maxSeconds bounds the time that one page covers.
	maxSeconds = 48 * 3600
)

// Outcomes of flows and of packets, in the order of the legend.
const (
	Opened     Outcome = "opened"
	Repeated   Outcome = "opening packet repeated"
	Refused    Outcome = "reset"
	Dropped    Outcome = "packet dropped"
	Unanswered Outcome = "not opened by any target"
	Late       Outcome = "later than its objective"
	Unfinished Outcome = "not ended by its deadline"
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{Opened, Repeated, Refused, Dropped, Unanswered, Late, Unfinished}

type (
	// Outcome is what became of a flow or of a packet, from a bounded set.
	Outcome string

	// second counts what the logs tell about one second.
	second struct {
		outcomes map[Outcome]int
		// resets counts resets and drops by their cause.
		causes map[string]int
		// events counts events by their text.
		events map[string]int
		// targets holds the targets that changed, by the cause, so that a change that
		// all hubs log counts once.
		targets map[string]map[string]bool
	}

	// SlowFlow is a flow that waited long, or to its end.
	SlowFlow struct {
		ID      string
		VM      string
		Outcome Outcome
		At      time.Time
		After   time.Duration
	}

	// Collector aggregates log lines, which may arrive in any order.
	Collector struct {
		Lines   int
		seconds map[int64]*second
		// numbers holds, for each VM, the catalog that came into force in a second.
		numbers map[string]map[int64]uint64
		vms     map[string]bool
		slow    []SlowFlow
	}
)

// events maps the messages about processes to the events that the page shows.
var events = map[string]string{
	"entry VM started":                "entry VM started",
	"entry VM is ready":               "entry VM ready",
	"entry VM is draining":            "entry VM draining",
	"entry VM stopped":                "entry VM stopped",
	"hub started":                     "hub started",
	"hub is draining":                 "hub draining",
	"hub stopped":                     "hub stopped",
	"published state restored":        "hub restored its saved state",
	"feed lost":                       "entry VM lost its feed",
	"feed connected":                  "entry VM connected to a feed",
	"feed of a hub lost":              "hub lost another hub",
	"no hub answers":                  "no hub answers an entry VM",
	"target in doubt":                 "target in doubt",
	"target fails its health check":   "target fails its health check",
	"configuration acknowledged":      "configuration acknowledged",
	"settings reloaded":               "settings reloaded",
	"replica stopped":                 "replica stopped",
	"no leader is known":              "hub knows no leader",
	"not admitted to the log":         "hub is not admitted to the log",
	"silent voters changed":           "silent voters changed",
	"request overdue, target avoided": "target avoided, request overdue",
}

// Add adds a log line.
func (c *Collector) Add(l explain.Line) {
	c.Lines++
	if c.seconds == nil {
		c.seconds, c.numbers, c.vms = make(map[int64]*second), make(map[string]map[int64]uint64), make(map[string]bool)
	}
	s := c.at(l.Time)
	if s == nil {
		return
	}
	if l.VM != "" {
		c.vms[l.VM] = true
	}
	n := 1 + int(l.LeftOut)
	if text, ok := events[l.Message]; ok {
		s.events[text] += n
	}
	switch l.Message {
	case "opening packet forwarded":
		outcome := Opened
		if l.Fields[logging.Cause] == "Copy" {
			outcome = Repeated
		}
		s.outcomes[outcome] += n
	case "flow reset", "packet dropped":
		outcome := Refused
		if l.Message == "packet dropped" {
			outcome = Dropped
		}
		s.outcomes[outcome] += n
		cause, _ := l.Fields[logging.Cause].(string)
		s.causes[string(outcome)+": "+cause] += n
	case "flow not opened by any target":
		c.addSlow(s, &l, Unanswered, n)
	case "flow ended later than its objective":
		c.addSlow(s, &l, Late, n)
	case "flow not ended by its deadline":
		c.addSlow(s, &l, Unfinished, n)
	case "target changed":
		c.addTarget(s, &l)
	case "replica changed its role":
		if l.Fields[logging.Role] == "Leader" {
			s.events["hub became leader"]++
		}
	case "catalog in force":
		if number, ok := l.Fields[logging.Number].(float64); ok {
			if c.numbers[l.VM] == nil {
				c.numbers[l.VM] = make(map[int64]uint64)
			}
			c.numbers[l.VM][l.Time.Unix()] = uint64(number)
		}
	}
}

// at returns the second of a time, or nil if the logs cover too long a time.
func (c *Collector) at(t time.Time) *second {
	s := c.seconds[t.Unix()]
	if s == nil && len(c.seconds) < maxSeconds {
		s = &second{
			outcomes: make(map[Outcome]int), causes: make(map[string]int), events: make(map[string]int),
			targets: make(map[string]map[string]bool),
		}
		c.seconds[t.Unix()] = s
	}
	return s
}

// addTarget adds a change that a hub has logged, which has a cause.
func (c *Collector) addTarget(s *second, l *explain.Line) {
	cause, ok := l.Fields[logging.Cause].(string)
	if !ok {
		return
	}
	if s.targets[cause] == nil {
		s.targets[cause] = make(map[string]bool)
	}
	s.targets[cause][l.Target] = true
}

// addSlow counts a flow and keeps it if it is one of those that waited longest.
func (c *Collector) addSlow(s *second, l *explain.Line, o Outcome, n int) {
	s.outcomes[o] += n
	seconds, ok := l.Fields[logging.After].(float64)
	after := time.Duration(seconds * float64(time.Second))
	if !ok {
		text, _ := l.Fields[logging.After].(string)
		after, _ = time.ParseDuration(text)
	}
	c.slow = append(c.slow, SlowFlow{ID: l.Flow, VM: l.VM, Outcome: o, At: l.Time, After: after})
	if len(c.slow) > 10*maxSlowFlows {
		c.trimSlow()
	}
}

// trimSlow keeps the flows that waited longest, each once.
func (c *Collector) trimSlow() {
	slices.SortStableFunc(c.slow, func(a, b SlowFlow) int {
		return cmp.Or(cmp.Compare(b.After, a.After), a.At.Compare(b.At), strings.Compare(a.ID, b.ID))
	})
	seen := make(map[string]bool)
	c.slow = slices.DeleteFunc(c.slow, func(f SlowFlow) bool {
		again := seen[f.ID]
		seen[f.ID] = true
		return again
	})
	c.slow = c.slow[:min(len(c.slow), maxSlowFlows)]
}

// Slowest returns the flows that waited longest.
func (c *Collector) Slowest() []SlowFlow {
	c.trimSlow()
	return c.slow
}

// span returns the first and the last second, both 0 without lines.
func (c *Collector) span() (first, last int64) {
	for at := range c.seconds {
		if first == 0 || at < first {
			first = at
		}
		last = max(last, at)
	}
	return first, last
}

// numbersInForce returns, for each second from first to last, the lowest and the
// highest number of the catalogs in force at the VMs that have one.
func (c *Collector) numbersInForce(first, last int64) (lowest, highest []float64) {
	current := make(map[string]uint64, len(c.numbers))
	for at := first; at <= last; at++ {
		var lo, hi uint64
		for vm, changes := range c.numbers {
			if n, ok := changes[at]; ok {
				current[vm] = n
			}
		}
		for _, n := range current {
			if lo == 0 || n < lo {
				lo = n
			}
			hi = max(hi, n)
		}
		lowest, highest = append(lowest, float64(lo)), append(highest, float64(hi))
	}
	return lowest, highest
}
