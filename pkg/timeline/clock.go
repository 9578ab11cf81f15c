package timeline

import (
	"cmp"
	"sync"
	"time"
)

// maxDrift is the maximum time by which a remote stamp may be ahead of the
// local wall clock. Without a limit, one VM whose clock is ahead would move the
// clocks of all others into the future.
const maxDrift = time.Minute

// Clock is a hybrid logical clock: the stamps that Now returns strictly
// increase, also when the wall clock is set back. A Clock is safe for
// concurrent use, and the zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Compare returns -1, 0 or 1 if s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Counter, o.Counter)
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Now returns a stamp that is after all stamps that earlier calls of Now
// returned or earlier calls of Observe accepted.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(now.UnixNano())
}

// Observe advances the clock past a stamp that arrived with a message, so that
// later local stamps are after it. It ignores a stamp that is more than
// maxDrift ahead of now and returns false for it.
func (c *Clock) Observe(remote Stamp, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Wall > now.Add(maxDrift).UnixNano() {
		return false
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	c.advance(now.UnixNano())
	return true
}

func (c *Clock) advance(wall int64) Stamp {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last.Counter++
	return c.last
}
