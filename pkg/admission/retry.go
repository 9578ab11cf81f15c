package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// retryWindow is the time for which a success allows retries.
	retryWindow = 10 * time.Second
	retryCells  = 10
	// successesPerRetry makes retries add at most 10 % to successful requests.
	successesPerRetry = 10
)

type (
	// RetryBudget allows one retry for ten recent successes. The zero value is
	// an empty budget. Retries never exceed a tenth of all successes: within
	// the window a spent retry is counted for at least as long as the
	// successes that paid for it.
	RetryBudget struct {
		cells    [retryCells]retryCell
		earned   uint64 // sum over cells
		spent    uint64
		position int64 // index of the present cell since the zero time
	}

	retryCell struct{ earned, spent uint64 }

	// Backoff is a jittered exponential delay between retries.
	Backoff struct {
		First time.Duration
		Most  time.Duration
	}
)

// Earn records a successful request.
func (b *RetryBudget) Earn(now time.Time) {
	b.advance(now)
	b.cell().earned++
	b.earned++
}

// Spend takes one retry and reports whether the budget allows it.
func (b *RetryBudget) Spend(now time.Time) bool {
	b.advance(now)
	if (b.spent+1)*successesPerRetry > b.earned {
		return false
	}
	b.cell().spent++
	b.spent++
	return true
}

func (b *RetryBudget) cell() *retryCell {
	return &b.cells[b.position%retryCells]
}

func (b *RetryBudget) advance(now time.Time) {
	position := now.UnixNano() / int64(retryWindow/retryCells)
	if position-b.position >= retryCells {
		*b = RetryBudget{position: position}
		return
	}
	for b.position < position {
		b.position++
		c := b.cell()
		b.earned -= c.earned
		b.spent -= c.spent
		*c = retryCell{}
	}
}

// Delay returns the wait before the given retry, counted from 0, and false
// where that wait would end at or after the deadline. The delay is drawn
// between half and all of First doubled with each retry, up to Most, so that
// retries of many callers don't coincide.
func (b Backoff) Delay(retry int, now, deadline time.Time, rng *rand.Rand) (time.Duration, bool) {
	d := b.Most
	if retry < 32 {
		d = min(b.First<<retry, b.Most)
	}
	if d <= 0 {
		d = b.Most
	}
	d = d/2 + time.Duration(rng.Int64N(int64(d/2)+1))
	return d, now.Add(d).Before(deadline)
}
