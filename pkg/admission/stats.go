package admission

import (
	"maps"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// KindStats counts what became of the requests of one kind.
	KindStats struct {
		Kind      fleet.KindName
		Offered   uint64 // by Enqueue, or by a TryStart that took a slot
		Started   uint64
		Adopted   uint64
		Completed uint64
		Shed      uint64
		Cancelled uint64 // waiting or in flight
		Expired   uint64 // while waiting
		Overdue   uint64 // while in flight
		Evicted   uint64
		Refused   map[Cause]uint64
		Waiting   int
		Running   int
		Service   float64 // seconds
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

func (c *class) count(result Result) {
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

// Stats returns a copy of the counters and the present state.
func (l *Limiter) Stats() Stats {
	s := Stats{
		InFlight: l.InFlight(),
		Waiting:  l.Waiting(),
		Limit:    l.Limit(l.updated),
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
		k.Service = c.service
		s.Kinds = append(s.Kinds, k)
	}
	return s
}
