package load

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// leaseDuration is the time from a tick to the end of the lease that a live VM
// gets at the tick.
const leaseDuration = 1500 * time.Millisecond

type (
	// leaseHolder is a decision core that needs a lease.
	leaseHolder interface{ SetLease(until time.Time) }

	// controlHandler is a decision core that handles control messages from
	// other VMs.
	controlHandler interface {
		HandleControl(from fleet.VMID, body []byte, now time.Time, out []balancer.Action) []balancer.Action
	}
)

var (
	_ Decider        = (*balancer.Balancer)(nil)
	_ leaseHolder    = (*balancer.Balancer)(nil)
	_ controlHandler = (*balancer.Balancer)(nil)
)

// newBalancer returns a constructor of the decision core of pkg/balancer.
func newBalancer(s balancer.Strategy, makeLimiter limiterConstructor) DeciderConstructor {
	return func(self fleet.VMID) Decider {
		return balancer.New(balancer.Config{
			Self:     self,
			Strategy: s,
			Retries:  &admission.RetryBudget{},
			NewLimiter: func(t fleet.Target, kinds []fleet.Kind, now time.Time) balancer.Limiter {
				return makeLimiter(t, kinds, now)
			},
		})
	}
}
