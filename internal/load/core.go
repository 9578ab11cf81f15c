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
)

var (
	_ Decider    = (*balancer.Balancer)(nil)
	_ leased     = (*balancer.Balancer)(nil)
	_ controlled = (*balancer.Balancer)(nil)
)

// newCore returns the constructor of the decision core of pkg/balancer.
func newCore(s balancer.Strategy, limit newLimiter) NewDecider {
	return func(self fleet.VMID) Decider {
		return balancer.New(balancer.Config{
			Self:     self,
			Strategy: s,
			Retries:  &admission.RetryBudget{},
			NewLimiter: func(t fleet.Target, kinds []fleet.Kind, now time.Time) balancer.Limiter {
				return limit(t, kinds, now)
			},
		})
	}
}
