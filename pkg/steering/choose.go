package steering

import (
	"time"
)

const (
	// otherZoneCost is what a target in another zone costs, in requests a slot:
	// less than one request at a target of three slots, so that flows go there
	// as soon as this VM has a request at each target of its own zone.
	otherZoneCost = 0.2
	// silentCost is what a target that is not heard costs, in requests a slot:
	// new flows go there only where others have several requests each.
	silentCost = 2
	// maxSilentShare is the part of a service's targets up to which silence
	// speaks against them.
	maxSilentShare = 0.25
	// coldFactor is the load of a target that has just started, in relation to
	// that of a warm one.
	coldFactor = 2
)

// Costs that order targets that should not be chosen behind all others.
const (
	doubtCost = 1e5
	avoidCost = 1e6
)

// choose returns the target of a new flow, or nil where the service has none:
// the one at which this VM has the fewest requests a slot. What other VMs have
// there is not known in time: reports are older than requests last, and VMs
// that follow them all move to the same target at once.
func (c *Core) choose(s *service, avoid Cookie, now time.Time) *Target {
	var best *Target
	least, ties := 0.0, 0
	trusts := c.trustsOverdue(s, now)
	for _, t := range s.targets {
		if !t.TakesNewFlows() {
			continue
		}
		cost := c.cost(s, t, avoid, now)
		if trusts && c.overdue(t.Cookie, now) {
			cost += overdueCost
		}
		switch {
		case best == nil || cost < least:
			best, least, ties = t, cost, 1
		case cost == least:
			ties++
			if c.Random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// cost returns this VM's requests a slot at a target, plus what speaks against
// choosing it.
func (c *Core) cost(s *service, t *Target, avoid Cookie, now time.Time) float64 {
	l := c.loads[t.Cookie]
	cost := 0.0
	if l != nil {
		cost = float64(l.running) / float64(t.Slots)
	}
	if now.Before(t.WarmAt) {
		cost = cost*coldFactor + 1/float64(t.Slots)
	}
	if t.Zone != c.Zone {
		cost += otherZoneCost
	}
	if t.Silent && s.trustsSilence() {
		cost += silentCost
	}
	if c.inDoubt(t.Cookie, l, now) {
		cost += doubtCost
	}
	if t.Cookie == avoid {
		cost += avoidCost
	}
	return cost
}
