package steering

import (
	"time"
)

const (
	// crossZoneCost is the cost of a target in another availability zone, in
	// requests per slot. It is less than the cost of one request at a target with
	// three slots. New flows therefore go to other zones as soon as this VM has a
	// request at each target of its own zone.
	crossZoneCost = 0.2
	// silentCost is the cost of a silent target, in requests per slot. New flows
	// go there only if the other targets have several requests each.
	silentCost = 2
	// maxSilentShare is the maximum share of a service's targets that may be
	// silent for silentCost to apply.
	maxSilentShare = 0.25
	// coldFactor multiplies the cost of the requests at a target that is still
	// warming up.
	coldFactor = 2
)

// Costs that exceed all others. A target with such a cost is chosen only if no
// other target is left.
const (
	suspectCost  = 1e5
	excludedCost = 1e6
)

// choose returns the target with the lowest cost for a new flow, or nil if no
// target of the service accepts new flows. The cost counts only the requests of
// this VM: reports from other VMs would arrive after the reported requests have
// ended, and all VMs that use them would choose the same target at once.
func (c *Core) choose(s *service, exclude Cookie, now time.Time) *Target {
	var best *Target
	minCost, ties := 0.0, 0
	penalizeOverdue := c.penalizesOverdue(s, now)
	for _, t := range s.targets {
		if !t.TakesNewFlows() {
			continue
		}
		cost := c.cost(s, t, exclude, now)
		if penalizeOverdue && c.isOverdue(t.Cookie, now) {
			cost += overdueCost
		}
		switch {
		case best == nil || cost < minCost:
			best, minCost, ties = t, cost, 1
		case cost == minCost:
			ties++
			if c.Random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// cost returns the number of this VM's requests per slot at a target, plus the
// costs that apply to the target's state.
func (c *Core) cost(s *service, t *Target, exclude Cookie, now time.Time) float64 {
	l := c.targetLoads[t.Cookie]
	cost := 0.0
	if l != nil {
		cost = float64(l.running) / float64(t.Slots)
	}
	if now.Before(t.WarmAt) {
		cost = cost*coldFactor + 1/float64(t.Slots)
	}
	if t.Zone != c.Zone {
		cost += crossZoneCost
	}
	if t.Silent && s.penalizesSilence() {
		cost += silentCost
	}
	if c.isSuspected(t.Cookie, l, now) {
		cost += suspectCost
	}
	if t.Cookie == exclude {
		cost += excludedCost
	}
	return cost
}
