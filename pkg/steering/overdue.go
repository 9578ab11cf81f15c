package steering

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// overdueMemory is how long a request whose response did not begin within its
	// objective speaks against its target. After that the target gets a trial.
	overdueMemory = 3 * time.Second
	// overdueCost is what such a target costs, in requests a slot.
	overdueCost = 2
	// maxOverdueShare is the part of a service's targets up to which overdue
	// requests speak against them: where more are slow, the service is overloaded,
	// and the others could not carry their load.
	maxOverdueShare = 0.25
)

// noteRequest notices the request of a flow, the beginning of its response, and
// callers that send several requests over one flow: data that follow after a part
// of the response are another request.
func (c *Core) noteRequest(k FlowKey, f *flow, p *Packet, now time.Time) {
	answered := f.asked && p.Acknowledged != f.askedAt
	switch {
	case answered && !f.answered:
		f.answered = true
		c.judge(k, f, now)
	case p.Data > 0 && !f.asked:
		f.asked, f.askedAt, f.askedTime = true, p.Acknowledged, now
	}
	if p.Data > 0 && answered && !f.kept {
		f.kept = true
		c.pressureOf(f.service).keptAt = now
	}
}

// judge marks the target of a flow whose response did not begin in time.
func (c *Core) judge(k FlowKey, f *flow, now time.Time) {
	if f.late || now.Sub(f.askedTime) <= f.route.Objective {
		return
	}
	f.late = true
	if c.Observer != nil && !c.ownOverdue(f.target, now) {
		c.Observer.TargetOverdue(k, c.event(f, now))
	}
	c.loadOf(f.target).overdue = now
}

// ownOverdue reports whether a request of this VM was overdue at a target lately.
func (c *Core) ownOverdue(k Cookie, now time.Time) bool {
	l := c.loads[k]
	return l != nil && !l.overdue.IsZero() && now.Sub(l.overdue) < overdueMemory
}

// overdue reports whether requests at a target were overdue lately, at this VM or
// at several others.
func (c *Core) overdue(k Cookie, now time.Time) bool {
	return c.sharedOverdue[k] || c.ownOverdue(k, now)
}

// trustsOverdue reports whether overdue requests speak against a target: a single
// one, or a small part of all.
func (c *Core) trustsOverdue(s *service, now time.Time) bool {
	n := 0
	for _, t := range s.targets {
		if t.TakesNewFlows() && c.overdue(t.Cookie, now) {
			n++
		}
	}
	return n <= 1 || float64(n) <= maxOverdueShare*float64(s.open)
}

// Overdue returns the targets at which requests were overdue, for other VMs.
func (c *Core) Overdue(now time.Time) []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []fleet.Incarnation
	for k := range c.loads {
		if t := c.target(k); t != nil && t.State != fleet.TargetGone && c.ownOverdue(k, now) {
			ids = append(ids, t.ID.Incarnation)
		}
	}
	return ids
}
