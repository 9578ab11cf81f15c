package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Remaining returns the time until the deadline of a flow that is running at
// a target of this VM. It returns 0 if there is no such flow or the deadline
// has passed.
func (b *Balancer) Remaining(flow fleet.FlowKey, now time.Time) time.Duration {
	i := b.findKey(flow)
	if i == noEntry {
		return 0
	}
	e := &b.flows.entries[i]
	if e.state != stateRunning || passed(tick(now), e.expires) {
		return 0
	}
	return time.Duration(e.expires-tick(now)) * time.Millisecond
}
