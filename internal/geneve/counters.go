package geneve

import (
	"maps"
	"sync/atomic"
)

// Counters counts received, sent and discarded datagrams. It must be created by
// NewCounters and is safe for concurrent use.
type Counters struct {
	FromFabric atomic.Uint64
	FromPeer   atomic.Uint64
	FromTarget atomic.Uint64
	Forwarded  atomic.Uint64
	Passed     atomic.Uint64
	Replied    atomic.Uint64
	Refused    atomic.Uint64
	Cancelled  atomic.Uint64
	Messages   atomic.Uint64
	discarded  map[Reason]*atomic.Uint64
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	c := &Counters{discarded: make(map[Reason]*atomic.Uint64, len(Reasons))}
	for _, r := range Reasons {
		c.discarded[r] = new(atomic.Uint64)
	}
	return c
}

// Discard counts a datagram that was discarded for reason r. A reason that is
// not in Reasons is ignored.
func (c *Counters) Discard(r Reason) {
	if n := c.discarded[r]; n != nil {
		n.Add(1)
	}
}

// Discarded returns the number of discarded datagrams by reason.
func (c *Counters) Discarded() map[Reason]uint64 {
	out := make(map[Reason]uint64, len(c.discarded))
	for r, n := range maps.All(c.discarded) {
		out[r] = n.Load()
	}
	return out
}
