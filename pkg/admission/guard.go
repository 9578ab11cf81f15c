package admission

import (
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// guardBuckets is the number of hash buckets for the source addresses of a
// Guard. The number is fixed, to bound the state that a flood from many
// addresses creates.
const guardBuckets = 1024

type (
	// Guard limits the rates at which new flows and malformed packets cause work
	// at an entry VM. New flows are limited for each hash bucket of source
	// addresses and in total, malformed packets only in total.
	Guard struct {
		total     tokenBucket
		malformed tokenBucket
		sources   [guardBuckets]tokenBucket
		limits    GuardLimits
		Stats     GuardStats
	}

	// GuardLimits are rates per second. Each rate allows a burst of Burst times
	// the rate, and at least one packet.
	GuardLimits struct {
		Starts       float64 // packets that start flows, from all sources
		SourceStarts float64 // packets that start flows, from one hash bucket of sources
		Malformed    float64 // malformed packets that may cause further work
		Burst        time.Duration
	}

	// GuardStats counts the decisions of a Guard.
	GuardStats struct {
		Started          uint64
		TotalLimited     uint64
		SourceLimited    uint64
		Malformed        uint64
		MalformedLimited uint64
	}

	// tokenBucket is a token bucket that starts full.
	tokenBucket struct {
		used      float64 // tokens taken and not yet refilled
		updatedAt time.Time
	}
)

// NewGuard returns a Guard with the given limits.
func NewGuard(limits GuardLimits) *Guard { return &Guard{limits: limits} }

// AllowStart reports whether a packet that starts a flow may be handled, and
// counts it against the limits if so.
func (g *Guard) AllowStart(flow fleet.FlowKey, now time.Time) bool {
	source := &g.sources[sourceBucket(flow.Caller.Addr())]
	if !source.hasToken(g.limits.SourceStarts, g.limits.Burst, now) {
		g.Stats.SourceLimited++
		return false
	}
	if !g.total.hasToken(g.limits.Starts, g.limits.Burst, now) {
		g.Stats.TotalLimited++
		return false
	}
	source.used++
	g.total.used++
	g.Stats.Started++
	return true
}

// AllowMalformed counts a malformed packet and reports whether it may cause
// further work, such as a log line.
func (g *Guard) AllowMalformed(now time.Time) bool {
	g.Stats.Malformed++
	if !g.malformed.hasToken(g.limits.Malformed, g.limits.Burst, now) {
		g.Stats.MalformedLimited++
		return false
	}
	g.malformed.used++
	return true
}

// hasToken refills the bucket and reports whether a token is available.
func (b *tokenBucket) hasToken(rate float64, burst time.Duration, now time.Time) bool {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.used = max(0, b.used-rate*elapsed.Seconds())
		b.updatedAt = now
	}
	return b.used+1 <= max(1, rate*burst.Seconds())
}

func sourceBucket(addr netip.Addr) uint16 {
	return uint16(addrHash(addr) % guardBuckets)
}
