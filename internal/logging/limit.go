package logging

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// LinesPerSecond and LineBurst limit the lines of one cause. With the eleven
	// causes of an entry VM they bound its output to some 60 KB a second.
	LinesPerSecond = 20
	LineBurst      = 40
	// maxCauses bounds the number of limits; causes come from bounded sets.
	maxCauses = 256
)

// Limiter limits the lines of each cause. It is safe for concurrent use, and its
// zero value is ready.
type Limiter struct {
	mu     sync.Mutex
	causes map[string]*limit
	total  uint64
}

type limit struct {
	*rate.Limiter
	leftOut uint64
}

// Allow reports whether a line of a cause may be written, and how many were left
// out since the last one that was.
func (l *Limiter) Allow(cause string, now time.Time) (ok bool, leftOut uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.causes == nil {
		l.causes = make(map[string]*limit)
	}
	c := l.causes[cause]
	if c == nil {
		if len(l.causes) >= maxCauses {
			l.total++
			return false, 0
		}
		c = &limit{Limiter: rate.NewLimiter(LinesPerSecond, LineBurst)}
		l.causes[cause] = c
	}
	if !c.AllowN(now, 1) {
		c.leftOut++
		l.total++
		return false, 0
	}
	leftOut, c.leftOut = c.leftOut, 0
	return true, leftOut
}

// LeftOut returns the number of lines that were not written.
func (l *Limiter) LeftOut() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
