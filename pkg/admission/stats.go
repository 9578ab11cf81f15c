package admission

import (
	"maps"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// KindStats counts the requests of one kind by outcome and holds the
	// current state of the kind.
	KindStats struct {
		Kind        fleet.KindName
		Offered     uint64 // started by TryStart, or passed to Enqueue for a new flow
		Started     uint64
		Adopted     uint64
		Completed   uint64
		Shed        uint64
		Cancelled   uint64 // while queued or in flight
		Expired     uint64 // expired while queued
		Overdue     uint64 // expired while in flight
		Evicted     uint64
		Refused     map[Cause]uint64
		Waiting     int
		Running     int
		ServiceTime float64 // mean service time in seconds
	}

	// Stats is the state of a Limiter for metrics.
	Stats struct {
		InFlight int
		Waiting  int
		Limit    int
		Slots    int
		Pressure uint8
		Kinds    []KindStats
	}
)

func (c *class) countResult(result Result) {
	switch result {
	case Completed:
		c.stats.Completed++
	case Shed:
		c.stats.Shed++
	case Cancelled:
		c.stats.Cancelled++
	case Expired:
		c.stats.Overdue++
	}
}

// Stats returns a copy of the counters and of the current state. Stats.Limit is
// the limit at the time of the last update of the Limiter.
func (l *Limiter) Stats() Stats {
	s := Stats{
		InFlight: l.InFlight(),
		Waiting:  l.Waiting(),
		Limit:    l.Limit(l.updatedAt),
		Slots:    l.target.Slots,
		Pressure: l.Pressure(),
		Kinds:    make([]KindStats, 0, len(l.classes)),
	}
	for _, c := range l.classes {
		k := c.stats
		k.Kind = c.kind.Name
		k.Refused = maps.Clone(c.stats.Refused)
		k.Waiting = len(c.queue)
		k.Running = c.running
		k.ServiceTime = c.serviceTime
		s.Kinds = append(s.Kinds, k)
	}
	return s
}
