package steering

import (
	"math"
	"time"
)

const (
	// crossZoneCost is the cost of a target in another availability zone, in
	// requests per slot. It is less than the cost of one request at a target with
	// three slots. If the targets have three slots each, new flows therefore go to
	// other zones as soon as this VM has a request at each target of its own zone.
	crossZoneCost = 0.2
	// silentCost is the cost of a target that the registry has marked as silent,
	// in requests per slot. If the targets differ in nothing else, new flows go to
	// a silent target only if this VM forwards at least about two requests per
	// slot to each target that is not silent.
	silentCost = 2
	// maxSilentShare is the maximum share of silent targets, among the targets of
	// a service that accept new flows, at which silentCost applies to several
	// targets. To a single silent target, silentCost always applies.
	maxSilentShare = 0.25
	// coldFactor multiplies the cost of the requests at a target that is still
	// warming up.
	coldFactor = 2
)

// Costs that exceed all others. suspectCost applies to suspected targets, and
// excludedCost to the target of the flow's previous opening packet. A target
// with such a cost is chosen only if no other target is left.
const (
	suspectCost  = 1e5
	excludedCost = 1e6
)

const (
	// maxCandidates is the maximum number of targets of this VM's zone, and of all
	// zones, whose costs are compared for a new flow.
	maxCandidates = 16
	// fullCost is the cost from which on more candidates are compared: this VM
	// forwards as many requests to the target as the target has slots, or avoids it.
	fullCost = 1
)

// choose returns a target with a low cost for a new flow, or nil if no target of
// the service accepts new flows. The target with the cookie exclude is chosen only
// if no other target is left.
//
// The targets are compared in this VM's order of preference, and the first of those
// with the lowest cost is chosen: the first maxCandidates of this VM's zone, then,
// if none of these is idle, the first ones of all zones, and if none of these is
// below fullCost, all targets. The cost counts only the running requests that this
// VM forwards. Since each VM prefers other targets, a target gets most of its
// requests from few VMs, whose own counts therefore say much about it. Other VMs
// could report the requests that they forward, but the reports would arrive after
// these requests have ended, and all VMs that use the reports would choose the
// same target at once.
//
// While a service states a cold rate, only mayOpenCold and chooseUnheld admit flows to
// its cold targets. This VM uses its parts of their budgets when no warm target is
// idle, and before warm targets while the service is slow.
func (c *Core) choose(s *service, exclude Cookie, now time.Time) *Target {
	var best *Target
	minCost := math.Inf(1)
	penalizeOverdue := c.penalizesOverdue(s, now)
	compare := func(list []*Target) {
		for _, t := range list {
			if s.limitsCold(t, now) && !c.mayOpenCold(s, t, now) {
				continue
			}
			cost := c.cost(s, t, exclude, now)
			if penalizeOverdue && c.isOverdue(t.Cookie, now) {
				cost += overdueCost
			}
			if cost < minCost {
				best, minCost = t, cost
			}
		}
	}
	held := s.heldCold(now)
	if len(held) > 0 && !c.serviceLoadOf(s.ID).slowSince.IsZero() {
		compare(held)
	}
	local := s.zones[c.Zone]
	compare(local[:min(len(local), maxCandidates)])
	if minCost >= crossZoneCost {
		compare(s.targets[:min(len(s.targets), maxCandidates)])
	}
	if minCost >= fullCost {
		compare(s.targets)
	}
	if minCost > 0 {
		compare(held)
	}
	if best == nil && s.coldBudget > 0 {
		return c.chooseUnheld(s, now)
	}
	return best
}

// cost returns the cost of a target for a new flow, without overdueCost: the load
// per slot that this VM causes at the target (see ownLoad), plus the constant costs
// that apply. While the target warms up, the number of
// requests per slot is multiplied by coldFactor, and the cost of one request is
// added, unless the budget of cold targets limits the requests.
func (c *Core) cost(s *service, t *Target, exclude Cookie, now time.Time) float64 {
	l := c.targetLoads[t.Cookie]
	cost := 0.0
	if l != nil {
		cost = c.ownLoad(l, t, now) / float64(t.Slots)
	}
	if now.Before(t.WarmAt) && s.coldBudget == 0 {
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
	if c.isLost(t.Cookie, l) {
		cost += lostCost
	}
	if t.Cookie == exclude {
		cost += excludedCost
	}
	return cost
}
