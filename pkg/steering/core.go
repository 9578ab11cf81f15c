package steering

import (
	"math/rand/v2"
	"net/netip"
	"sync"
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

	// Core decides about packets. It is safe for concurrent use.
	//
	// Invariant: the running of a load is the number of flows in the table that
	// name its target and have not ended.
	Core struct {
		// Zone is that of this VM, whose targets are preferred.
		Zone fleet.ZoneID
		// Random spreads flows over targets.
		Random *rand.Rand
		// Doubted, if set, is called with each target that begins not to answer.
		// It must not block and must not call the core.
		Doubted func(t *Target)

		mu    sync.Mutex
		view  *View
		flows map[FlowKey]*flow
		loads map[Cookie]*load
		// shared holds the targets that do not answer several VMs.
		shared map[Cookie]bool
		swept  time.Time
		stats  map[Cause]uint64
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
func (c *Core) SetView(v *View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = v
}

// Decide decides about one packet.
func (c *Core) Decide(p *Packet, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.swept) >= sweepInterval {
		c.sweep(now)
	}
	var d Decision
	switch {
	case c.view == nil || c.view.Catalog == nil:
		d = Decision{Op: Drop, Cause: CauseNoCatalog}
	case p.Opening:
		d = c.open(p, now)
	default:
		d = c.follow(p)
	}
	c.stats[d.Cause]++
	return d
}

// open decides about an opening packet.
func (c *Core) open(p *Packet, now time.Time) Decision {
	r := c.view.routes[p.Flow.Route]
	if r == nil {
		return Decision{Op: Reset, Cause: CauseNoRoute}
	}
	f := c.flows[p.Flow]
	if f != nil && f.opened && !f.ended {
		if t := c.view.targets[f.target]; t != nil {
			return Decision{Op: Forward, Cause: CauseFlow, Target: t}
		}
	}
	var avoid Cookie
	cause := CauseOpened
	if f != nil && !f.ended {
		avoid, cause = f.target, CauseCopy
		c.unanswered(f)
		c.end(f)
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
func (c *Core) follow(p *Packet) Decision {
	f := c.flows[p.Flow]
	if f == nil {
		return c.byCookie(p.Cookie)
	}
	if !f.opened && p.Cookie != 0 {
		c.opened(f, p.Cookie)
	}
	f.acknowledged = p.Acknowledged
	if p.End {
		c.end(f)
	}
	t := c.view.targets[f.target]
	if t == nil || t.State == fleet.TargetGone {
		return Decision{Op: Reset, Cause: CauseTargetGone}
	}
	return Decision{Op: Forward, Cause: CauseFlow, Target: t}
}

// opened binds a flow to the target whose answer the caller has acknowledged.
func (c *Core) opened(f *flow, k Cookie) {
	f.opened = true
	if k != f.target && !f.ended {
		c.loadOf(f.target).running--
		c.loadOf(k).running++
	}
	f.target = k
	c.loadOf(k).answer(f.started)
}

func (c *Core) end(f *flow) {
	if f.ended {
		return
	}
	f.ended = true
	c.loadOf(f.target).running--
}

func (c *Core) byCookie(k Cookie) Decision {
	if k == 0 {
		return Decision{Op: Drop, Cause: CauseNoCookie}
	}
	t := c.view.targets[k]
	switch {
	case t == nil:
		return Decision{Op: Drop, Cause: CauseUnknownCookie}
	case t.State == fleet.TargetGone:
		return Decision{Op: Reset, Cause: CauseTargetGone}
	}
	return Decision{Op: Forward, Cause: CauseCookie, Target: t}
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
		if over {
			c.end(f)
			delete(c.flows, k)
		}
	}
	for k, l := range c.loads {
		if l.running == 0 && (c.view == nil || c.view.targets[k] == nil) {
			delete(c.loads, k)
		}
	}
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
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
