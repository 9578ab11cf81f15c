package load

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// leaseTime is the time for which a live VM holds its lease.
const leaseTime = 1500 * time.Millisecond

type (
	// leased is a decision core that needs a lease.
	leased interface{ SetLease(until time.Time) }

	// controlled is a decision core that sends control messages to others.
	controlled interface {
		HandleControl(from fleet.VMID, body []byte, now time.Time, out []balancer.Action) []balancer.Action
	}

	// coreLimiter joins an admission control to the decision core.
	coreLimiter struct {
		limiter
		evicted, started, expired []balancer.Request
	}
)

var (
	_ Decider          = (*balancer.Balancer)(nil)
	_ leased           = (*balancer.Balancer)(nil)
	_ controlled       = (*balancer.Balancer)(nil)
	_ balancer.Limiter = (*coreLimiter)(nil)
)

// newCore returns the constructor of the decision core of pkg/balancer.
func newCore(s balancer.Strategy, limit newLimiter) NewDecider {
	return func(self fleet.VMID) Decider {
		return balancer.New(balancer.Config{
			Self:     self,
			Strategy: s,
			Retries:  &admission.RetryBudget{},
			NewLimiter: func(t fleet.Target, kinds []fleet.Kind, now time.Time) balancer.Limiter {
				return &coreLimiter{limiter: limit(t, kinds, now)}
			},
		})
	}
}

func (l *coreLimiter) TryStart(r balancer.Request, now time.Time) bool {
	return l.limiter.TryStart(admission.Request(r), now)
}

func (l *coreLimiter) Enqueue(r balancer.Request, now time.Time) ([]balancer.Request, error) {
	evicted, err := l.limiter.Enqueue(admission.Request(r), now)
	l.evicted = coreRequests(l.evicted, evicted)
	return l.evicted, err
}

func (l *coreLimiter) Next(now time.Time) (started, expired []balancer.Request) {
	s, e := l.limiter.Next(now)
	l.started, l.expired = coreRequests(l.started, s), coreRequests(l.expired, e)
	return l.started, l.expired
}

func (l *coreLimiter) Finish(flow fleet.FlowKey, result balancer.Result, now time.Time) {
	results := [...]admission.Result{
		balancer.Completed:    admission.Completed,
		balancer.ShedByTarget: admission.Shed,
		balancer.Cancelled:    admission.Cancelled,
		balancer.Expired:      admission.Expired,
	}
	l.limiter.Finish(flow, results[result], now)
}

func (l *coreLimiter) Adopt(r balancer.Request, now time.Time) {
	l.limiter.Adopt(admission.Request(r), now)
}

// Configure drops the list of requests that the change refuses, as the entry
// daemon does: the core ends them by their deadline.
func (l *coreLimiter) Configure(t fleet.Target, kinds []fleet.Kind, now time.Time) {
	l.limiter.Configure(t, kinds, now)
}

func coreRequests(to []balancer.Request, from []admission.Request) []balancer.Request {
	to = to[:0]
	for _, r := range from {
		to = append(to, balancer.Request(r))
	}
	return to
}
