package steering

import (
	"maps"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// figuresInterval is the time after which a gate gets new figures. Figures of
	// the fleet change every 200 ms at most.
	figuresInterval = 20 * time.Millisecond
	// repeatInterval is the time after which callers repeat an opening packet at the
	// earliest.
	repeatInterval = 200 * time.Millisecond
)

type (
	// Capacity tells the capacity and the load of services over all entry VMs. Its
	// methods must not block and must not call the Core.
	Capacity interface {
		Service(id fleet.ServiceID, now time.Time) (capacity.Room, bool)
	}

	// Held is a decision about an opening packet that was held.
	Held struct {
		Packet   Packet
		Data     []byte
		Decision Decision
		// Waited is the time since the first copy of the packet arrived.
		Waited time.Duration
	}

	// GateStats is the state of the admission to one service.
	GateStats struct {
		Service fleet.ServiceID
		admission.GateState
	}

	// gate is the admission to one service.
	gate struct {
		admission.Gate
		updated time.Time
	}

	// heldOpening is an opening packet in the queue of a gate, whose bytes the gate
	// holds.
	heldOpening struct {
		packet Packet
		// copies contains the copies that have arrived, the first of them at the time since.
		copies  copySet
		since   time.Time
		service fleet.ServiceID
		gate    *gate
	}
)

// gateOf returns the gate of a service with current figures.
func (c *Core) gateOf(s *service, now time.Time) *gate {
	g := c.serviceGates[s.ID]
	if g == nil {
		if c.serviceGates == nil {
			c.serviceGates, c.held = make(map[fleet.ServiceID]*gate), make(map[FlowKey]*heldOpening)
		}
		g = new(gate)
		g.Salt = c.Random.Uint64()
		c.serviceGates[s.ID] = g
	}
	if elapsed := now.Sub(g.updated); g.updated.IsZero() || elapsed >= figuresInterval {
		g.updated = now
		f := admission.Figures{Slots: s.slots, VMs: c.entryVMs, Objective: s.objective}
		if c.Capacity != nil {
			f.Room, f.Known = c.Capacity.Service(s.ID, now)
		}
		g.SetFigures(f, now)
	}
	return g
}

// admit reports whether an opening packet of a new flow is to be sent to a target
// now. Otherwise it returns the decision. A service without targets has no gate:
// its packets are refused because of that.
func (c *Core) admit(p *Packet, data []byte, r *route, s *service, now time.Time) (Decision, bool) {
	h := c.held[p.Flow]
	if h == nil && len(s.targets) == 0 {
		return Decision{}, true
	}
	var g *gate
	if h != nil {
		h.packet, h.copies, g = *p, h.copies.with(p.Copy), h.gate
	} else {
		g = c.gateOf(s, now)
	}
	o := g.Offer(openingOf(p, data, r), now)
	if o.Admitted {
		return Decision{}, true
	}
	d := Decision{Op: Reset, Cause: Cause(o.Cause), Service: s.ID, Admission: &o.State}
	if o.Cause != admission.CauseQueued {
		return d, false
	}
	d.Op = Hold
	if h == nil {
		h = &heldOpening{packet: *p, copies: copySet(0).with(p.Copy), since: now.Add(-p.Waited), service: s.ID, gate: g}
		c.held[p.Flow] = h
		c.waiting.Add(1)
	}
	d.Service = h.service
	return d, false
}

func openingOf(p *Packet, data []byte, r *route) *admission.Opening {
	return &admission.Opening{
		Flow:    fleet.FlowKey{Caller: p.Flow.Caller, VIP: p.Flow.Route, Protocol: fleet.TCP},
		Urgency: r.Urgency, Objective: r.Objective, Copy: p.Copy, Data: data,
	}
}

// Waiting returns the number of held opening packets.
func (c *Core) Waiting() int { return int(c.waiting.Load()) }

// Release returns the decisions about held opening packets that are sent to a
// target now or refused. It must be called after Decide and regularly while Waiting
// is not 0.
func (c *Core) Release(now time.Time) []Held {
	if c.Waiting() == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []Held
	for id, g := range c.serviceGates {
		if s := c.view.services[id]; s != nil && g.Queued() > 0 {
			c.gateOf(s, now)
		}
		for {
			released, ok := g.Next(now)
			if !ok {
				break
			}
			flow := FlowKey{Caller: released.Flow.Caller, Route: released.Flow.VIP}
			h := c.held[flow]
			if h == nil {
				continue
			}
			delete(c.held, flow)
			c.waiting.Add(-1)
			d := Decision{Op: Reset, Cause: Cause(released.Cause), Service: h.service}
			switch {
			case released.Admitted && c.refuses(now):
				d.Cause = CauseUnconfirmed
			case released.Admitted:
				d = c.openHeld(h, now)
			}
			d.Admission = &released.State
			d.CatalogNumber = c.view.Catalog.Number
			c.decisions[d.Cause]++
			held = append(held, Held{h.packet, released.Data, d, now.Sub(released.Arrived)})
		}
	}
	return held
}

// openHeld decides about an opening packet that leaves the queue. The route may have
// changed since the packet arrived.
func (c *Core) openHeld(h *heldOpening, now time.Time) Decision {
	r := c.view.routes[h.packet.Flow.Route]
	if r == nil {
		return Decision{Op: Reset, Cause: CauseNoRoute}
	}
	i := slices.IndexFunc(r.services, func(s *service) bool { return s.ID == h.service })
	if i < 0 || r.weights[i] == 0 {
		return c.openFlow(&h.packet, r, r.pick(c.Random.Uint64()), true, now)
	}
	return c.openFlow(&h.packet, r, r.services[i], true, now)
}

// cancelHeld drops a held opening packet whose caller has given up.
func (c *Core) cancelHeld(k FlowKey) {
	h := c.held[k]
	if h == nil {
		return
	}
	h.gate.Cancel(fleet.FlowKey{Caller: k.Caller, VIP: k.Route, Protocol: fleet.TCP})
	delete(c.held, k)
	c.waiting.Add(-1)
}

// repeatsEarly reports whether an opening packet repeats one that was sent to the target
// of f too recently for an answer: the first packet was held, or both have waited in the
// socket. The caller repeats its packets after a fixed time, which says nothing about the
// target then.
func (c *Core) repeatsEarly(f *flow, now time.Time) bool {
	limit := repeatInterval / 2
	if f.wasHeld {
		limit = repeatInterval
	}
	t := c.view.targets[f.target]
	return now.Sub(f.lastOpening) < limit && t != nil && c.view.takesNewFlows(t)
}

// beginGated counts the request of a flow as in flight at the gate of its service.
// ungated is set if the gate did not admit it.
func (c *Core) beginGated(f *flow, g *gate, ungated bool, now time.Time) {
	f.gate = g
	f.run = g.Begin(f.route.Urgency, f.route.Objective, ungated, now)
}

// beginLater counts a later request of an open flow at the gate of its service.
func (c *Core) beginLater(f *flow, now time.Time) {
	if f.gate == nil || f.run != nil || f.ended {
		return
	}
	f.gate.CountLater(f.route.Urgency, now)
	c.beginGated(f, f.gate, true, now)
}

// endGated counts the request of a flow as no longer in flight at the gate.
// answered is set if the caller has acknowledged a part of the response.
func (c *Core) endGated(f *flow, answered bool, now time.Time) {
	switch {
	case f.run == nil:
	case answered:
		f.gate.Answered(f.run, now)
	default:
		f.gate.End(f.run)
	}
	f.run = nil
}

// gateStats returns the state of all gates, in the order of their services.
func (c *Core) gateStats(now time.Time) []GateStats {
	var stats []GateStats
	for _, id := range slices.Sorted(maps.Keys(c.serviceGates)) {
		stats = append(stats, GateStats{id, c.serviceGates[id].State(now)})
	}
	return stats
}
