package steering

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// Forward sends the packet to Target, with its cookie.
	Forward Op = iota + 1
	// Reset ends the flow towards the caller.
	Reset
	// Drop discards the packet.
	Drop
)

// Causes of a decision.
const (
	CauseOpened        Cause = "Opened"        // an opening packet, first choice
	CauseCopy          Cause = "Copy"          // an opening packet that was repeated
	CauseFlow          Cause = "Flow"          // a packet of a flow in the table
	CauseCookie        Cause = "Cookie"        // a packet of a flow known by its cookie alone
	CauseNoCatalog     Cause = "NoCatalog"     // no catalog has arrived yet
	CauseNoRoute       Cause = "NoRoute"       // no route has the address
	CauseNoTarget      Cause = "NoTarget"      // the service has no target
	CauseNoCookie      Cause = "NoCookie"      // the packet of an unknown flow has no cookie
	CauseUnknownCookie Cause = "UnknownCookie" // no target has the cookie
	CauseTargetGone    Cause = "TargetGone"    // the target of the flow has ended
)

const (
	// unopenedLifetime is how long an opening packet counts as load without a
	// sign of the caller: callers give up 1.4 s after the first packet.
	unopenedLifetime = 1500 * time.Millisecond
	// sweepInterval is the time between two searches for flows that have
	// ended silently.
	sweepInterval = 500 * time.Millisecond
	// deadlineMargin is added to the deadline of a request until its flow is
	// taken to have ended.
	deadlineMargin = time.Second
	// maxFlows bounds the table of recent flows. At 120 bytes a flow it takes
	// 8 MB.
	maxFlows = 1 << 16
	// otherZoneCost is added to the load of targets in other zones, in requests
	// a slot.
	otherZoneCost = 0.7
	// coldFactor is the load of a target that has just started, in relation to
	// that of a warm one.
	coldFactor = 2
)

type (
	// Op says what to do with a packet.
	Op uint8

	// Cause is the reason of a decision, from a bounded set.
	Cause string

	// FlowKey names a flow by the addresses of its caller and its route.
	FlowKey struct {
		Caller netip.AddrPort
		Route  netip.AddrPort
	}

	// Packet is one decoded packet of a caller.
	Packet struct {
		Flow FlowKey
		// Opening is set for a packet that asks for a new flow; Copy numbers its
		// repetitions.
		Opening bool
		Copy    uint32
		// End is set for a packet that ends the caller's direction of the flow.
		End    bool
		Cookie Cookie
		// Acknowledged is the caller's acknowledgement number.
		Acknowledged uint32
	}

	// Decision is what happens with a packet. Target is set for Forward.
	Decision struct {
		Op     Op
		Cause  Cause
		Target *Target
	}

	// Stats counts decisions by cause, and gives the size of the flow table.
	Stats struct {
		Decisions map[Cause]uint64
		Flows     int
		Doubted   int
	}

	// Core decides about packets. One goroutine calls Decide; SetView and
	// Report may be called by others.
	Core struct {
		// Zone is that of this VM, whose targets are preferred.
		Zone fleet.ZoneID
		// Random spreads flows over equal targets.
		Random *rand.Rand
		// Doubt, if set, is called with each target that did not answer an
		// opening packet. It must not block.
		Doubt func(t *Target)

		view  atomic.Pointer[View]
		flows map[FlowKey]*flow
		loads map[Cookie]*load
		swept time.Time
		stats map[Cause]uint64

		mu      sync.Mutex
		reports []report
		pending atomic.Bool
	}

	// flow is a flow that this VM has seen the start of.
	flow struct {
		target   Cookie
		opened   bool
		ended    bool
		deadline time.Time
		started  time.Time
		// acknowledged is the caller's last acknowledgement number.
		acknowledged uint32
	}

	// load is what this VM knows of a target's load and health.
	load struct {
		running int
		// doubted is set while the target is not chosen if another one can be.
		doubted bool
		// answered is the start of the newest flow that the target has opened.
		answered time.Time
	}

	report struct {
		cookie Cookie
		alive  bool
	}
)

// New returns a core without a view.
func New(zone fleet.ZoneID, random *rand.Rand) *Core {
	return &Core{
		Zone:   zone,
		Random: random,
		flows:  make(map[FlowKey]*flow),
		loads:  make(map[Cookie]*load),
		stats:  make(map[Cause]uint64),
	}
}

// SetView makes a view current.
func (c *Core) SetView(v *View) { c.view.Store(v) }

// Report takes the result of a target's health check.
func (c *Core) Report(t Cookie, alive bool) {
	c.mu.Lock()
	c.reports = append(c.reports, report{t, alive})
	c.mu.Unlock()
	c.pending.Store(true)
}

// Decide decides about one packet.
func (c *Core) Decide(p *Packet, now time.Time) Decision {
	if c.pending.Load() {
		c.takeReports()
	}
	if now.Sub(c.swept) >= sweepInterval {
		c.sweep(now)
	}
	v := c.view.Load()
	var d Decision
	switch {
	case v == nil || v.Catalog == nil:
		d = Decision{Op: Drop, Cause: CauseNoCatalog}
	case p.Opening:
		d = c.open(v, p, now)
	default:
		d = c.follow(v, p, now)
	}
	c.stats[d.Cause]++
	return d
}

// open decides about an opening packet.
func (c *Core) open(v *View, p *Packet, now time.Time) Decision {
	r := v.routes[p.Flow.Route]
	if r == nil {
		return Decision{Op: Reset, Cause: CauseNoRoute}
	}
	f := c.flows[p.Flow]
	if f != nil && f.opened && !f.ended {
		if t := v.targets[f.target]; t != nil {
			return Decision{Op: Forward, Cause: CauseFlow, Target: t}
		}
	}
	var avoid Cookie
	cause := CauseOpened
	if f != nil && !f.ended {
		avoid, cause = f.target, CauseCopy
		c.doubt(v, f)
		c.loadOf(f.target).running--
		f.ended = true
	}
	t := c.choose(r, avoid, now)
	if t == nil {
		return Decision{Op: Reset, Cause: CauseNoTarget}
	}
	if len(c.flows) < maxFlows || f != nil {
		c.flows[p.Flow] = &flow{target: t.Cookie, started: now, deadline: now.Add(r.Deadline + deadlineMargin)}
		c.loadOf(t.Cookie).running++
	}
	return Decision{Op: Forward, Cause: cause, Target: t}
}

// follow decides about a packet of a flow that a target may have opened.
func (c *Core) follow(v *View, p *Packet, now time.Time) Decision {
	f := c.flows[p.Flow]
	if f == nil {
		return c.byCookie(v, p.Cookie)
	}
	if !f.opened && p.Cookie != 0 {
		c.opened(f, p, now)
	}
	f.acknowledged = p.Acknowledged
	if p.End && !f.ended {
		f.ended = true
		c.loadOf(f.target).running--
	}
	t := v.targets[f.target]
	if t == nil || t.State == fleet.TargetGone {
		return Decision{Op: Reset, Cause: CauseTargetGone}
	}
	return Decision{Op: Forward, Cause: CauseFlow, Target: t}
}

// opened binds a flow to the target that the caller has acknowledged.
func (c *Core) opened(f *flow, p *Packet, now time.Time) {
	f.opened = true
	if p.Cookie != f.target {
		if !f.ended {
			c.loadOf(f.target).running--
			c.loadOf(p.Cookie).running++
		}
		f.target = p.Cookie
	}
	l := c.loadOf(f.target)
	if f.started.After(l.answered) {
		l.answered = f.started
	}
	l.doubted = false
}

func (c *Core) byCookie(v *View, k Cookie) Decision {
	if k == 0 {
		return Decision{Op: Drop, Cause: CauseNoCookie}
	}
	t := v.targets[k]
	switch {
	case t == nil:
		return Decision{Op: Drop, Cause: CauseUnknownCookie}
	case t.State == fleet.TargetGone:
		return Decision{Op: Reset, Cause: CauseTargetGone}
	}
	return Decision{Op: Forward, Cause: CauseCookie, Target: t}
}

// choose returns the target of a new flow: the least loaded one among those
// that take new flows, or, where there is none, among those in doubt.
func (c *Core) choose(r *route, avoid Cookie, now time.Time) *Target {
	s := r.pick(c.Random.Uint64())
	var best *Target
	bestCost := 0.0
	ties := 0
	for _, t := range s.targets {
		if !t.TakesNewFlows() {
			continue
		}
		cost := c.cost(t, avoid, now)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = t, cost, 1
		case cost == bestCost:
			ties++
			if c.Random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

// Costs that order targets that should not be chosen behind all others.
const (
	silentCost = 1e4
	doubtCost  = 1e5
	avoidCost  = 1e6
)

// cost returns the load of a target in requests a slot, plus what speaks
// against choosing it.
func (c *Core) cost(t *Target, avoid Cookie, now time.Time) float64 {
	l := c.loads[t.Cookie]
	cost := 0.0
	if l != nil {
		cost = float64(l.running) / float64(t.Slots)
		if l.doubted {
			cost += doubtCost
		}
	}
	if now.Before(t.WarmAt) {
		cost = cost*coldFactor + 1/float64(t.Slots)
	}
	if t.Zone != c.Zone {
		cost += otherZoneCost
	}
	if t.Silent {
		cost += silentCost
	}
	if t.Cookie == avoid {
		cost += avoidCost
	}
	return cost
}

// doubt takes a repeated opening packet as a sign that the flow's target does
// not answer, unless it has answered a later one.
func (c *Core) doubt(v *View, f *flow) {
	l := c.loadOf(f.target)
	if l.answered.After(f.started) || l.doubted {
		return
	}
	l.doubted = true
	if t := v.targets[f.target]; t != nil && c.Doubt != nil {
		c.Doubt(t)
	}
}

func (c *Core) loadOf(k Cookie) *load {
	l := c.loads[k]
	if l == nil {
		l = new(load)
		c.loads[k] = l
	}
	return l
}

func (c *Core) takeReports() {
	c.pending.Store(false)
	c.mu.Lock()
	reports := c.reports
	c.reports = nil
	c.mu.Unlock()
	for _, r := range reports {
		c.loadOf(r.cookie).doubted = !r.alive
	}
}

// sweep forgets flows whose time is over, and targets that no flow or view
// names.
func (c *Core) sweep(now time.Time) {
	c.swept = now
	for k, f := range c.flows {
		over := now.After(f.deadline)
		if !f.opened && now.Sub(f.started) > unopenedLifetime {
			over = true
		}
		if !over {
			continue
		}
		if !f.ended {
			c.loadOf(f.target).running--
		}
		delete(c.flows, k)
	}
	v := c.view.Load()
	for k, l := range c.loads {
		if l.running == 0 && (v == nil || v.targets[k] == nil) {
			delete(c.loads, k)
		}
	}
}

// Stats returns the counters; it is called by the goroutine of Decide.
func (c *Core) Stats() Stats {
	s := Stats{Decisions: make(map[Cause]uint64, len(c.stats)), Flows: len(c.flows)}
	for k, n := range c.stats {
		s.Decisions[k] = n
	}
	for _, l := range c.loads {
		if l.doubted {
			s.Doubted++
		}
	}
	return s
}
