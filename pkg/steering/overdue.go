package steering

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// overduePenaltyTime is how long overdueCost applies to a target after a
	// request at the target has become overdue: its response did not begin within
	// the objective of the route. Afterwards the target gets new flows again,
	// which show whether it still responds late.
	overduePenaltyTime = 3 * time.Second
	// overdueCost is the cost of a target with a recent overdue request, in
	// requests per slot.
	overdueCost = 2
	// maxOverdueShare is the maximum share of overdue targets, among the targets
	// of a service that accept new flows, at which overdueCost applies to several
	// targets. If more targets are slow, the service is overloaded, and the other
	// targets could not carry the load. To a single overdue target, overdueCost
	// always applies.
	maxOverdueShare = 0.25
)

// trackRequest records the request of a flow, the beginning of its response, and
// whether the caller sends several requests over the flow. Data that the caller
// sends after it has acknowledged a part of the response belongs to another
// request.
func (c *Core) trackRequest(k FlowKey, f *flow, p *Packet, now time.Time) {
	responseAcked := f.requestSent && p.Acknowledged != f.requestAck
	switch {
	case responseAcked && !f.responseStarted:
		f.responseStarted = true
		c.checkOverdue(k, f, now)
	case p.Data > 0 && !f.requestSent:
		f.requestSent, f.requestAck, f.requestTime = true, p.Acknowledged, now
	}
	if p.Data > 0 && responseAcked && !f.reused {
		f.reused = true
		c.serviceLoadOf(f.service).lastReuse = now
	}
}

// checkOverdue marks a flow and its target as overdue if the response did not
// begin within the objective.
func (c *Core) checkOverdue(k FlowKey, f *flow, now time.Time) {
	if f.overdue || c.spansSuspension(f.requestTime) || now.Sub(f.requestTime) <= f.route.Objective {
		return
	}
	f.overdue = true
	if c.Observer != nil && !c.isOverdueLocally(f.target, now) {
		c.Observer.TargetOverdue(k, c.newEvent(f, now))
	}
	c.targetLoadOf(f.target).lastOverdue = now
	if !slices.Contains(c.overdue, f.target) {
		c.overdue = append(c.overdue, f.target)
	}
}

// isOverdueLocally reports whether a request that this VM forwarded to a target
// became overdue in the last overduePenaltyTime.
func (c *Core) isOverdueLocally(k Cookie, now time.Time) bool {
	l := c.targetLoads[k]
	return l != nil && !l.lastOverdue.IsZero() && now.Sub(l.lastOverdue) < overduePenaltyTime
}

// isOverdue reports whether isOverdueLocally is true for a target or
// SetSharedReports has set the target as overdue.
func (c *Core) isOverdue(k Cookie, now time.Time) bool {
	return c.sharedOverdue[k] || c.isOverdueLocally(k, now)
}

// penalizesOverdue reports whether overdueCost applies to the targets of a
// service. It does if at most one target that accepts new flows, or at most a
// share of maxOverdueShare of these targets, is overdue.
func (c *Core) penalizesOverdue(s *service, now time.Time) bool {
	n := 0
	count := func(k Cookie) {
		if t := c.view.targets[k]; t != nil && t.ID.Service == s.ID && t.TakesNewFlows() {
			n++
		}
	}
	for k := range c.sharedOverdue {
		count(k)
	}
	for _, k := range c.overdue {
		if !c.sharedOverdue[k] && c.isOverdueLocally(k, now) {
			count(k)
		}
	}
	return n <= 1 || float64(n) <= maxOverdueShare*float64(len(s.targets))
}

// Overdue returns the targets that are not gone and for which isOverdueLocally
// is true, to be reported to other VMs.
func (c *Core) Overdue(now time.Time) []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []fleet.Incarnation
	for _, k := range c.overdue {
		if t := c.target(k); t != nil && t.State != fleet.TargetGone && c.isOverdueLocally(k, now) {
			ids = append(ids, t.ID.Incarnation)
		}
	}
	return ids
}
