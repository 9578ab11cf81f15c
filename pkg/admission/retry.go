package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// retryWindow is the time for which a success allows retries.
	retryWindow    = 10 * time.Second
	retryIntervals = 10
	// successesPerRetry limits retries to 10 % of the successful requests.
	successesPerRetry = 10
)

type (
	// RetryBudget allows one retry per ten recent successes. The zero value is
	// an empty budget. Retries never exceed a tenth of all successes, because a
	// retry counts in the window for at least as long as the successes that
	// allowed it.
	RetryBudget struct {
		intervals [retryIntervals]retryInterval
		successes uint64 // sum over intervals
		retries   uint64
		index     int64 // number of the current interval since the Unix epoch
	}

	retryInterval struct{ successes, retries uint64 }

	// Backoff is an exponential delay between retries, with jitter.
	Backoff struct {
		First time.Duration
		Max   time.Duration
	}
)

// RecordSuccess records a successful request.
func (b *RetryBudget) RecordSuccess(now time.Time) {
	b.advance(now)
	b.current().successes++
	b.successes++
}

// AllowRetry reports whether the budget allows a retry, and counts the retry if
// so.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.advance(now)
	if (b.retries+1)*successesPerRetry > b.successes {
		return false
	}
	b.current().retries++
	b.retries++
	return true
}

func (b *RetryBudget) current() *retryInterval {
	return &b.intervals[b.index%retryIntervals]
}

func (b *RetryBudget) advance(now time.Time) {
	index := now.UnixNano() / int64(retryWindow/retryIntervals)
	if index-b.index >= retryIntervals {
		*b = RetryBudget{index: index}
		return
	}
	for b.index < index {
		b.index++
		c := b.current()
		b.successes -= c.successes
		b.retries -= c.retries
		*c = retryInterval{}
	}
}

// Delay returns the delay before a retry, numbered from 0, and whether the
// delay ends before the deadline. The delay is random between d/2 and d, where d
// is the lower of First times 2^retry and Max. It is random so that the retries
// of many callers don't coincide.
func (b Backoff) Delay(retry int, now, deadline time.Time, rng *rand.Rand) (time.Duration, bool) {
	d := b.Max
	if retry < 32 {
		d = min(b.First<<retry, b.Max)
	}
	if d <= 0 {
		d = b.Max
	}
	d = d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
	return d, now.Add(d).Before(deadline)
}
