package steering

import (
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// minSuspension is the time between two calls of Suspension.Observe from which on this
	// process is assumed not to have run. Calls are at most 50 ms apart otherwise. Callers
	// repeat an opening packet after this time at the earliest.
	minSuspension = repeatInterval
	// updateDelay is the time from the end of a suspension until an update of the view is
	// assumed to have been sent after it. Earlier updates may have waited meanwhile.
	updateDelay = 250 * time.Millisecond
	// callerPatience is the time from the first opening packet until the caller gives up.
	callerPatience = 1400 * time.Millisecond
	// answerMargin is the part of callerPatience that the answer of a target needs.
	answerMargin = 200 * time.Millisecond
)

// copyTimes contains, for each copy of an opening packet, the time from the first one
// until callers send it.
var copyTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

type (
	// Suspension tells how old a packet may be that was read from a socket: while the
	// process does not run, packets wait in the socket. It is safe for concurrent use.
	// Exported fields must be set before the first call.
	Suspension struct {
		// Resumed, if set, is called when a suspension has ended, before Observe returns
		// to any caller. It must not call methods of the Suspension.
		Resumed func(gap time.Duration, now time.Time)

		mu sync.Mutex
		// lastRun is the time of the last call of Observe. resumed is the time at which the
		// process ran again after the last suspension, and gap the length of that.
		lastRun, resumed time.Time
		gap              time.Duration
	}

	// suspended is the state of a Core that concerns the last suspension of its process.
	suspended struct {
		// resumedAt is the end of the last suspension, and updatedAt the time of the last
		// update of the view.
		resumedAt, updatedAt time.Time
		// waited contains the copies of opening packets that have waited during the last
		// suspension, in the socket or in the queue of a gate.
		waited map[FlowKey]copySet
	}

	// copySet is a set of the copies of an opening packet: bit n is set for copy n.
	copySet uint8
)

// Observe records that the process runs, and calls Resumed if that ends a suspension.
func (s *Suspension) Observe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastRun
	s.lastRun = now
	if last.IsZero() {
		return
	}
	gap := elapsed(last, now)
	if gap < minSuspension {
		return
	}
	s.resumed, s.gap = now, gap
	if s.Resumed != nil {
		s.Resumed(gap, now)
	}
}

// MaxAge returns how old a packet may be that was read at the time now from a socket that
// was last empty at the time empty. It returns 0 if the packet can't have waited during a
// suspension.
func (s *Suspension) MaxAge(empty, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed.IsZero() || empty.After(s.resumed) {
		return 0
	}
	return s.gap + now.Sub(s.resumed)
}

// Stale reports whether a packet of the given age is not worth forwarding any more. An
// opening packet is not once the caller has sent the next copy: another VM may have
// forwarded that to another target, whose flow is open, and the answer to this one would
// mislead the caller's next packets. The last copy is until the answer would be late.
func (p *Packet) Stale(age time.Duration) bool {
	switch n := int(p.Copy); {
	case !p.Opening:
		return age > dataHoldTime
	case n+1 < len(copyTimes):
		return age > copyTimes[n+1]-copyTimes[n]
	}
	return age > callerPatience-answerMargin-copyTimes[len(copyTimes)-1]
}

// Resume records that the process runs again after a suspension that ended at the given
// time. The Core drops the opening packets that it holds if the caller has sent another
// copy since, which another VM may have forwarded. It takes no time that includes the
// suspension for that of a target, and resets no flow until Updated is called with a view
// from after the suspension. Resume returns the number of opening packets dropped.
func (c *Core) Resume(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended.resumedAt, c.suspended.waited = now, make(map[FlowKey]copySet)
	dropped := 0
	for k, h := range c.held {
		if h.copies.complete(h.packet.Copy, elapsed(h.since, now)) {
			continue
		}
		c.suspended.waited[k] = h.copies
		c.cancelHeld(k)
		dropped++
	}
	c.decisions[CauseSuspended] += uint64(dropped)
	return dropped
}

// Updated records that the view is that of an update which arrived at the given time,
// whether or not the update has changed it.
func (c *Core) Updated(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended.updatedAt = now
}

// outdated reports whether the view may be from before the end of the last suspension. A
// target may have returned since, and a route may have been added.
func (c *Core) outdated() bool {
	s := &c.suspended
	return !s.resumedAt.IsZero() && s.updatedAt.Before(s.resumedAt.Add(updateDelay))
}

// spansSuspension reports whether the process was suspended after the given time.
func (c *Core) spansSuspension(since time.Time) bool { return since.Before(c.suspended.resumedAt) }

// decideWaited returns the decision for an opening packet that has waited while this
// process was suspended, and reports false for one that is as good as new. Another VM may
// have forwarded a copy, and the flow may be open. The packet may then only go to the
// target that an earlier copy has gone to through this VM. It is as good as new if all
// copies that the caller has sent have waited here.
func (c *Core) decideWaited(p *Packet) (Decision, bool) {
	if f := c.flows[p.Flow]; f != nil && !f.ended {
		if t := c.view.targets[f.target]; t != nil && t.State != fleet.TargetGone && c.gates.admits(t) {
			return Decision{Op: Forward, Cause: CauseCopy, Service: f.service, Target: t}, true
		}
		return Decision{Op: Drop, Cause: CauseSuspended}, true
	}
	copies := c.suspended.waited[p.Flow].with(p.Copy)
	c.suspended.waited[p.Flow] = copies
	if copies.complete(p.Copy, p.Waited) {
		return Decision{}, false
	}
	return Decision{Op: Drop, Cause: CauseSuspended}, true
}

// with returns the set with copy n.
func (s copySet) with(n uint32) copySet {
	if int(n) >= len(copyTimes) {
		return s
	}
	return s | 1<<n
}

// complete reports whether the set contains all copies up to n, and the caller has sent no
// later one. age is the greatest possible age of the first copy. A caller that would not
// get an answer in time counts as one that has sent another copy.
func (s copySet) complete(n uint32, age time.Duration) bool {
	if int(n) >= len(copyTimes) {
		return false
	}
	next := callerPatience - answerMargin
	if int(n)+1 < len(copyTimes) {
		next = copyTimes[n+1]
	}
	return s == 1<<(n+1)-1 && age <= next
}

// elapsed returns the time since then. The monotonic clock may have stood still while the
// machine was suspended, and the wall clock may have been set back.
func elapsed(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
