package logging

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// LinesPerSecond is the maximum average rate of lines of one cause, and
	// LineBurst is the maximum number of lines of one cause that may be written
	// at once. An entry VM logs nine causes of decisions and five kinds of flow
	// events. Together these write at most about 108 KB per second on average
	// (14 * 20 lines of about 387 bytes).
	LinesPerSecond = 20
	LineBurst      = 40
	// maxCauses is the maximum number of causes that a Limiter tracks. Lines of
	// further causes are suppressed. Causes come from bounded sets.
	maxCauses = 256
)

// Limiter limits the rate of log lines of each cause. It is safe for concurrent
// use, and the zero value is ready to use.
type Limiter struct {
	mu              sync.Mutex
	causes          map[string]*causeLimiter
	totalSuppressed uint64
}

type causeLimiter struct {
	*rate.Limiter
	suppressed uint64
}

// Allow reports whether a line of a cause may be written now. If so, it also
// returns the number of lines of this cause that were suppressed since the
// previous permitted line of this cause. It permits no line of a new cause once
// there are maxCauses causes.
func (l *Limiter) Allow(cause string, now time.Time) (ok bool, suppressed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.causes == nil {
		l.causes = make(map[string]*causeLimiter)
	}
	c := l.causes[cause]
	if c == nil {
		if len(l.causes) >= maxCauses {
			l.totalSuppressed++
			return false, 0
		}
		c = &causeLimiter{Limiter: rate.NewLimiter(LinesPerSecond, LineBurst)}
		l.causes[cause] = c
	}
	if !c.AllowN(now, 1) {
		c.suppressed++
		l.totalSuppressed++
		return false, 0
	}
	suppressed, c.suppressed = c.suppressed, 0
	return true, suppressed
}

// LeftOut returns the total number of suppressed lines of all causes.
func (l *Limiter) LeftOut() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalSuppressed
}
