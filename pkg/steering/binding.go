package steering

import (
	"slices"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// maxBindings is the maximum number of bindings. With about 260 bytes each, a full
	// table takes 17 MB.
	maxBindings = 1 << 16
	// maxEvictionProbes is the maximum number of bindings among which a contested one
	// looks for another to take the place of, if the table is full.
	maxEvictionProbes = 32
	// bindingSweepInterval is the minimum time between two searches for expired bindings.
	bindingSweepInterval = time.Second
	// idleMargin is added to the time after which an idle flow may be discarded, because
	// a packet of the caller may have been lost.
	idleMargin = 2 * time.Second
	// maxReportedBindings is the maximum number of bindings in one report, and
	// maxUnreported that of bindings that wait for the next one.
	maxReportedBindings, maxUnreported = 16, 256
)

type (
	// binding is the target that opened a flow. Packets of the flow go there, whatever
	// cookie they carry: a target that was also offered the flow, and whose answer the
	// caller has not acknowledged, repeats its answer, and the caller then places the
	// cookie of that target in its packets.
	binding struct {
		target Cookie
		// contested is set if another target may have been offered the flow, and own if
		// this VM has seen the flow open.
		contested, own bool
		// closed is set once the caller has ended the flow.
		closed bool
		// since is the time of the first opening packet, or that at which this VM learnt of
		// the flow.
		since, expiresAt time.Time
	}

	// bindings holds the bindings of open flows that are not in the flow table: those that
	// last longer than the deadline of their first request, those that the router has moved
	// to this VM, and contested ones that other VMs have reported.
	//
	// Invariant: contested is the number of contested bindings in flows, which has at most
	// maxBindings. Only set and remove change them.
	bindings struct {
		flows     map[FlowKey]binding
		contested int
		lastSweep time.Time
		// rejected counts the bindings for which there was no place.
		rejected uint64
		// unreported lists the contested flows that this VM has not reported yet, and due is
		// set while there are any.
		unreported []FlowKey
		due        atomic.Bool
	}

	// BindingStats contains the numbers of bindings, of contested ones, and of those for
	// which there was no place.
	BindingStats struct {
		Flows, Contested int
		Rejected         uint64
	}
)

// set adds or replaces a binding. If the table is full, a contested one takes the place of
// one that is not, and others are rejected: the cookies of their packets name the target.
func (b *bindings) set(k FlowKey, n binding) {
	_, known := b.flows[k]
	if !known && len(b.flows) >= maxBindings && !(n.contested && b.evict()) {
		b.rejected++
		return
	}
	b.remove(k)
	if b.flows == nil {
		b.flows = make(map[FlowKey]binding)
	}
	b.flows[k] = n
	if n.contested {
		b.contested++
	}
}

func (b *bindings) remove(k FlowKey) {
	if b.flows[k].contested {
		b.contested--
	}
	delete(b.flows, k)
}

// evict removes a binding that is not contested, and reports whether it has found one.
func (b *bindings) evict() bool {
	probes := 0
	for k, n := range b.flows {
		if !n.contested {
			b.remove(k)
			return true
		}
		if probes++; probes == maxEvictionProbes {
			break
		}
	}
	return false
}

// expire removes the bindings that have expired.
func (b *bindings) expire(now time.Time) {
	if now.Sub(b.lastSweep) < bindingSweepInterval {
		return
	}
	b.lastSweep = now
	for k, n := range b.flows {
		if now.After(n.expiresAt) {
			b.remove(k)
		}
	}
}

// report adds a contested flow to those that are reported next.
func (b *bindings) report(k FlowKey) {
	if len(b.unreported) < maxUnreported && !slices.Contains(b.unreported, k) {
		b.unreported = append(b.unreported, k)
		b.due.Store(true)
	}
}

// idleTime returns the time without packets of the caller after which a binding expires.
func (c *Core) idleTime() time.Duration {
	d := fleet.FlowLifetime
	if idle := c.view.Catalog.IdleTimeout; idle > 0 {
		d = min(d, idle)
	}
	return d + idleMargin
}

// useBinding returns the target of the binding of a packet's flow, if there is one, and
// records that the flow is in use.
func (c *Core) useBinding(p *Packet, now time.Time) (Cookie, bool) {
	b, ok := c.bindings.flows[p.Flow]
	if !ok {
		return 0, false
	}
	if until := now.Add(c.idleTime()); until.After(b.expiresAt) {
		b.expiresAt = until
	}
	b.closed = b.closed || p.End
	c.bindings.set(p.Flow, b)
	return b.target, true
}

// opensBound returns the target of the binding of an opening packet's flow, to which a late
// copy of the packet goes. An opening packet that arrives after the caller would have given
// up belongs to another flow from the same port, and ends the binding.
func (c *Core) opensBound(p *Packet, now time.Time) *Target {
	b, ok := c.bindings.flows[p.Flow]
	if !ok {
		return nil
	}
	t := c.view.targets[b.target]
	if b.closed || now.Sub(b.since) > callerPatience || t == nil || t.State == fleet.TargetGone {
		c.bindings.remove(p.Flow)
		return nil
	}
	return t
}

// keepBinding binds an open flow that leaves the flow table to its target.
func (c *Core) keepBinding(k FlowKey, f *flow, now time.Time) {
	if c.view != nil && c.view.Catalog != nil {
		c.bindings.set(k, binding{target: f.target, contested: f.contested, own: true, since: f.started, expiresAt: now.Add(c.idleTime())})
	}
}

// adoptBinding binds a flow of which this VM knows nothing to the target that its cookie
// names. A report of another VM replaces the binding.
func (c *Core) adoptBinding(p *Packet, now time.Time) {
	c.bindings.set(p.Flow, binding{target: p.Cookie, closed: p.End, since: now, expiresAt: now.Add(c.idleTime())})
}

// Bindings returns at most maxReportedBindings of the contested flows that this VM has not
// reported yet. With all, those that it has seen open count as not reported: another hub
// knows none of them. A flow that has not opened here is reported without a target, since
// another VM may have seen it open.
func (c *Core) Bindings(all bool) []fleet.FlowBinding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return nil
	}
	if all {
		c.bindings.unreported = nil
		for k, f := range c.flows {
			if f.opened && f.contested {
				c.bindings.report(k)
			}
		}
		for k, b := range c.bindings.flows {
			if b.own && b.contested {
				c.bindings.report(k)
			}
		}
	}
	var list []fleet.FlowBinding
	for len(c.bindings.unreported) > 0 && len(list) < maxReportedBindings {
		k := c.bindings.unreported[0]
		c.bindings.unreported = c.bindings.unreported[1:]
		b := fleet.FlowBinding{Caller: k.Caller, VIP: k.Route}
		if t := c.view.targets[c.openTarget(k)]; t != nil {
			b.Target = t.ID.Incarnation
		}
		if f := c.flows[k]; b.Target != 0 || f != nil && !f.opened {
			list = append(list, b)
		}
	}
	c.bindings.due.Store(len(c.bindings.unreported) > 0)
	return list
}

// openTarget returns the target of an open flow that has not been closed, or 0.
func (c *Core) openTarget(k FlowKey) Cookie {
	if f := c.flows[k]; f != nil {
		if f.opened && !f.ended {
			return f.target
		}
		return 0
	}
	if b := c.bindings.flows[k]; !b.closed {
		return b.target
	}
	return 0
}

// SetBindings records contested flows that other VMs have reported, since the router may send
// their packets here at any time. It changes no flow that has opened at this VM.
func (c *Core) SetBindings(list []fleet.FlowBinding, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range list {
		k := FlowKey{Caller: list[i].Caller, Route: list[i].VIP}
		if c.contest(k, list[i].Target == 0) || list[i].Target == 0 {
			continue
		}
		c.bindings.set(k, binding{target: CookieOf(list[i].Target), contested: true, since: now, expiresAt: now.Add(fleet.FlowLifetime)})
	}
}

// contest records that another VM has reported a flow as contested, and reports whether
// this VM has seen the flow open. asked is set if the other VM does not know the target. If
// this VM does, it reports the flow unless it has done so.
func (c *Core) contest(k FlowKey, asked bool) (opened bool) {
	if f := c.flows[k]; f != nil {
		if f.opened && !f.contested {
			c.bindings.report(k)
		}
		f.contested = true
		return f.opened
	}
	b, ok := c.bindings.flows[k]
	if ok && !b.contested {
		b.contested = true
		c.bindings.set(k, b)
		if b.own || asked {
			c.bindings.report(k)
		}
	}
	return b.own
}

// BindingsDue reports whether there are contested flows that Bindings returns. It takes no
// lock, since it is called after each packet.
func (c *Core) BindingsDue() bool { return c.bindings.due.Load() }

// BindingStats returns the current numbers.
func (c *Core) BindingStats() BindingStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return BindingStats{Flows: len(c.bindings.flows), Contested: c.bindings.contested, Rejected: c.bindings.rejected}
}
