package timeline

import (
	"cmp"
	"sync"
	"time"
)

// maxDrift bounds how far a remote stamp may lie ahead of the local wall
// clock; a VM with a wrong clock must not push all others into the future.
const maxDrift = time.Minute

// Clock is a hybrid logical clock that may be shared by goroutines. Its
// readings strictly rise.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Compare orders two stamps.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Counter, o.Counter)
}

// Time returns the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Now returns a stamp after all earlier ones.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(now.UnixNano())
}

// Observe takes a stamp that came with a message, so that later local stamps
// lie after it; it reports false for a stamp too far ahead, which it ignores.
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
