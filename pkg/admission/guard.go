package admission

import (
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// guardBuckets is the number of source hashes of a Guard. It bounds the state that a flood from many addresses
// can create.
const guardBuckets = 1024

type (
	// Guard bounds what new flows and garbage may cost an entry VM. A source
	// has the rate of its hash bucket; all sources share the total rate.
	Guard struct {
		total   bucket
		garbage bucket
		sources [guardBuckets]bucket
		limits  GuardLimits
		Stats   GuardStats
	}

	// GuardLimits are rates per second; each allows a burst of Burst times the
	// rate per second.
	GuardLimits struct {
		Starts       float64 // packets that start flows
		SourceStarts float64 // the same, from one source
		Garbage      float64 // malformed packets that are examined and counted
		Burst        time.Duration
	}

	// GuardStats counts decisions.
	GuardStats struct {
		Started        uint64
		TotalLimited   uint64
		SourceLimited  uint64
		Garbage        uint64
		GarbageLimited uint64
	}

	// bucket is a token bucket that starts full.
	bucket struct {
		used float64
		at   time.Time
	}
)

// NewGuard returns a Guard with the limits.
func NewGuard(limits GuardLimits) *Guard { return &Guard{limits: limits} }

// AllowStart reports whether a packet that starts a flow may be handled.
func (g *Guard) AllowStart(flow fleet.FlowKey, now time.Time) bool {
	source := &g.sources[sourceBucket(flow.Caller.Addr())]
	if !source.fits(g.limits.SourceStarts, g.limits.Burst, now) {
		g.Stats.SourceLimited++
		return false
	}
	if !g.total.fits(g.limits.Starts, g.limits.Burst, now) {
		g.Stats.TotalLimited++
		return false
	}
	source.used++
	g.total.used++
	g.Stats.Started++
	return true
}

// AllowGarbage reports whether a malformed packet may cost more than being
// counted, such as a log line.
func (g *Guard) AllowGarbage(now time.Time) bool {
	g.Stats.Garbage++
	if !g.garbage.fits(g.limits.Garbage, g.limits.Burst, now) {
		g.Stats.GarbageLimited++
		return false
	}
	g.garbage.used++
	return true
}

// fits drains the bucket and reports whether one more token fits.
func (b *bucket) fits(rate float64, burst time.Duration, now time.Time) bool {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.used = max(0, b.used-rate*elapsed.Seconds())
		b.at = now
	}
	return b.used+1 <= max(1, rate*burst.Seconds())
}

func sourceBucket(addr netip.Addr) uint16 {
	return uint16(addrHash(addr) % guardBuckets)
}
