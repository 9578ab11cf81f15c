package steering

import "time"

// RefuseFrom sets the time from which the Core refuses new flows, because no majority of
// the control VMs has confirmed the view. The zero time means never. Packets of open
// flows are forwarded all the same.
func (c *Core) RefuseFrom(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseFrom = t
}

// Refuses reports whether the Core refuses new flows by RefuseFrom.
func (c *Core) Refuses(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refuses(now)
}

func (c *Core) refuses(now time.Time) bool {
	return !c.refuseFrom.IsZero() && !now.Before(c.refuseFrom)
}

// refuseUnconfirmed returns the decision for an opening packet while new flows are
// refused. It reports false for one of an open flow. A copy of a packet that was sent to
// a target or is held is dropped: the caller may open the flow with the answer to the
// earlier packet, and a reset would break that flow.
func (c *Core) refuseUnconfirmed(p *Packet) (Decision, bool) {
	f := c.flows[p.Flow]
	switch {
	case f != nil && f.opened && !f.ended:
		return Decision{}, false
	case f != nil && !f.ended || c.held[p.Flow] != nil:
		return Decision{Op: Drop, Cause: CauseUnconfirmed}, true
	}
	return Decision{Op: Reset, Cause: CauseUnconfirmed}, true
}
