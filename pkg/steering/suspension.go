package steering

import (
	"sync"
	"time"
)

// minSuspension is the time between two calls of Suspension.Observe from which on this
// process is assumed not to have run. Calls are at most 50 ms apart otherwise.
const minSuspension = 250 * time.Millisecond

// Suspension tells how old a packet may be that was read from a socket: while the process
// does not run, packets wait in the socket. It is safe for concurrent use.
type Suspension struct {
	mu sync.Mutex
	// lastRun is the time of the last call of Observe. resumed is the time at which the
	// process ran again after the last suspension, and gap the length of that.
	lastRun, resumed time.Time
	gap              time.Duration
}

// Observe records that the process runs, and returns the length of the suspension that
// ends with this call, or 0. The monotonic clock may stand still while a machine is
// suspended, so that the wall clock counts as well.
func (s *Suspension) Observe(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastRun
	s.lastRun = now
	if last.IsZero() {
		return 0
	}
	gap := max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
	if gap < minSuspension {
		return 0
	}
	s.resumed, s.gap = now, gap
	return gap
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

// Stale reports whether a packet of the given age is not worth forwarding any more.
// Another VM may have forwarded a copy of an opening packet to another target, whose
// flow is open: the answer to this one would mislead the caller's next packets.
func (p *Packet) Stale(age time.Duration) bool {
	limit := dataHoldTime
	if p.Opening {
		limit = openingHoldTimes[min(int(p.Copy), len(openingHoldTimes)-1)]
	}
	return age > limit
}
