package balancer

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Remaining returns the time until the deadline of a flow that runs here; it is
// 0 where there is none or it has passed.
func (b *Balancer) Remaining(flow fleet.FlowKey, now time.Time) time.Duration {
	i := b.findKey(flow)
	if i == noEntry {
		return 0
	}
	e := &b.flows.entries[i]
	if e.state != stateRunning || passed(tick(now), e.until) {
		return 0
	}
	return time.Duration(e.until-tick(now)) * time.Millisecond
}
