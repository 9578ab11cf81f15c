package steering

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
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
	CauseOverload      Cause = "Overload"      // the service is too slow for its less urgent requests
)

// Causes lists all causes.
var Causes = []Cause{
	CauseOpened, CauseCopy, CauseFlow, CauseCookie, CauseNoCatalog, CauseNoRoute, CauseNoTarget, CauseNoCookie,
	CauseUnknownCookie, CauseTargetGone, CauseOverload,
}

const (
	// unopenedLifetime is how long an opening packet counts as load without a
	// sign of the caller: callers give up 1.4 s after the first packet.
	unopenedLifetime = 1500 * time.Millisecond
	// sweepInterval is the time between two searches for flows that have
	// ended silently.
	sweepInterval = 250 * time.Millisecond
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
		// Acknowledged is the caller's acknowledgement number, and Data the number
		// of bytes that the packet carries.
		Acknowledged uint32
		Data         int
	}

	// Decision is what happens with a packet, and what it was decided by.
	Decision struct {
		Op    Op
		Cause Cause
		// Target is set for Forward, and Service for opening packets on a route.
		Target  *Target
		Service fleet.ServiceID
		// Number is that of the catalog.
		Number catalog.Number
		// Running is the number of this VM's other requests at Target, and Former
		// the target of an earlier copy. Both are set for opening packets.
		Running int
		Former  *Target
	}

	// Observer is told what becomes of the flows that this VM has seen the start
	// of. Its methods must not block and must not call the core.
	Observer interface {
		// TargetDoubted is called with each target that begins not to answer.
		TargetDoubted(t *Target)
		// TargetOverdue is called with a flow whose response has not begun in time,
		// where its target had no such flow lately.
		TargetOverdue(k FlowKey, e FlowEvent)
		// FlowOpened is called when a caller acknowledges the answer of a target.
		FlowOpened(k FlowKey, e FlowEvent)
		// FlowEnded is called when the caller ends a flow, and when its time is
		// over.
		FlowEnded(k FlowKey, e FlowEvent)
	}

	// FlowEvent describes a flow at a moment of its life.
	FlowEvent struct {
		// Target is the flow's target. Former is set where another one was chosen
		// last, whose answer the caller did not acknowledge. Either is nil where
		// the view does not have it.
		Target, Former *Target
		// Kind and Objective are those of the flow's route.
		Kind      fleet.KindName
		Objective time.Duration
		// Opened is set once a target has answered, and Closed where the caller
		// has ended the flow.
		Opened, Closed bool
		// After is the time since the opening packet.
		After time.Duration
	}

	// Stats counts decisions by cause, and gives the size of the flow table.
	Stats struct {
		Decisions map[Cause]uint64
		Flows     int
		Doubted   int
		// Overdue is the number of targets that are avoided since requests were
		// overdue there, at this VM or at several others.
		Overdue int
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
		// Observer may be nil.
		Observer Observer

		mu    sync.Mutex
		view  *View
		flows map[FlowKey]*flow
		loads map[Cookie]*load
		// pressures holds the load of the services, and entries the number of
		// entry VMs.
		pressures map[fleet.ServiceID]*pressure
		entries   int
		// shared holds the targets that do not answer several VMs, and sharedOverdue
		// those at which requests of several VMs were overdue.
		shared, sharedOverdue map[Cookie]bool
		swept                 time.Time
		stats                 map[Cause]uint64
	}

	// flow is a flow that this VM has seen the start of.
	flow struct {
		target   Cookie
		service  fleet.ServiceID
		opened   bool
		ended    bool
		route    *catalog.Route
		deadline time.Time
		// started is the time of the first opening packet, and sent that of the
		// last one.
		started, sent time.Time
		// asked is set once the caller has sent data, with its acknowledgement
		// number and the time of that moment; answered once it acknowledges a part
		// of the response, late where that was not in time, and kept where it sends
		// another request.
		asked, answered, late, kept bool
		askedAt                     uint32
		askedTime                   time.Time
	}
)

// Hash returns the flow's hash, which is equal on all VMs.
func (k FlowKey) Hash() fleet.FlowHash {
	return fleet.FlowKey{Caller: k.Caller, VIP: k.Route, Protocol: fleet.TCP}.Hash()
}

// New returns a core without a view.
func New(zone fleet.ZoneID, random *rand.Rand) *Core {
	return &Core{
		Zone:      zone,
		Random:    random,
		flows:     make(map[FlowKey]*flow),
		loads:     make(map[Cookie]*load),
		pressures: make(map[fleet.ServiceID]*pressure),
		stats:     make(map[Cause]uint64),
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
	c.sweep(now)
	var d Decision
	switch {
	case c.view == nil || c.view.Catalog == nil:
		d = Decision{Op: Drop, Cause: CauseNoCatalog}
	case p.Opening:
		d = c.open(p, now)
	default:
		d = c.follow(p, now)
	}
	if c.view != nil && c.view.Catalog != nil {
		d.Number = c.view.Catalog.Number
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
	s := r.pick(c.Random.Uint64())
	pressure := c.pressureOf(s.ID)
	if f == nil && pressure.refuses(r.Urgency, s.slots, c.entries, now) {
		return Decision{Op: Reset, Cause: CauseOverload, Service: s.ID}
	}
	d := Decision{Op: Forward, Cause: CauseOpened, Service: s.ID}
	avoid := Cookie(0)
	started := now
	if f != nil && !f.ended {
		d.Cause, d.Former = CauseCopy, c.view.targets[f.target]
		avoid, started = f.target, f.started
		c.unanswered(f)
		c.loadOf(f.target).running--
		c.pressureOf(f.service).running--
	}
	d.Target = c.choose(s, avoid, now)
	if d.Target == nil {
		delete(c.flows, p.Flow)
		return Decision{Op: Reset, Cause: CauseNoTarget, Service: s.ID}
	}
	l := c.loadOf(d.Target.Cookie)
	d.Running = l.running
	if len(c.flows) < maxFlows || f != nil {
		c.flows[p.Flow] = &flow{target: d.Target.Cookie, service: s.ID, route: r.Route, started: started, sent: now, deadline: now.Add(r.Deadline + deadlineMargin)}
		l.running++
		pressure.running++
	}
	return d
}

// follow decides about a packet of a flow that a target may have opened.
func (c *Core) follow(p *Packet, now time.Time) Decision {
	f := c.flows[p.Flow]
	if f == nil {
		return c.byCookie(p.Cookie)
	}
	if !f.opened && p.Cookie != 0 {
		c.opened(p.Flow, f, p.Cookie, now)
	}
	c.noteRequest(p.Flow, f, p, now)
	if p.End {
		c.end(p.Flow, f, true, now)
	}
	t := c.view.targets[f.target]
	if t == nil || t.State == fleet.TargetGone {
		return Decision{Op: Reset, Cause: CauseTargetGone}
	}
	return Decision{Op: Forward, Cause: CauseFlow, Target: t}
}

// opened binds a flow to the target whose answer the caller has acknowledged.
func (c *Core) opened(key FlowKey, f *flow, k Cookie, now time.Time) {
	e := c.event(f, now)
	f.opened = true
	if k != f.target {
		e.Former = e.Target
		if !f.ended {
			c.loadOf(f.target).running--
			c.loadOf(k).running++
		}
		f.target = k
	}
	c.loadOf(k).answer(f.sent)
	if c.Observer != nil {
		e.Target, e.Opened = c.view.targets[k], true
		c.Observer.FlowOpened(key, e)
	}
}

func (c *Core) end(key FlowKey, f *flow, closed bool, now time.Time) {
	if f.ended {
		return
	}
	f.ended = true
	c.loadOf(f.target).running--
	pressure := c.pressureOf(f.service)
	pressure.running--
	if f.opened && closed && !f.kept {
		pressure.sample(float64(now.Sub(f.sent))/float64(f.route.Objective), now)
	}
	if c.Observer != nil {
		e := c.event(f, now)
		e.Closed = closed
		c.Observer.FlowEnded(key, e)
	}
}

func (c *Core) event(f *flow, now time.Time) FlowEvent {
	return FlowEvent{
		Target: c.target(f.target), Kind: f.route.Kind, Objective: f.route.Objective,
		Opened: f.opened, After: now.Sub(f.started),
	}
}

// target returns the target with a cookie, or nil.
func (c *Core) target(k Cookie) *Target {
	if c.view == nil {
		return nil
	}
	return c.view.targets[k]
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

// Tick forgets flows whose time is over; it is called while no packets come.
func (c *Core) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
}

// sweep forgets flows whose time is over, and targets that no flow or view
// names, where it is time to look for them.
func (c *Core) sweep(now time.Time) {
	if now.Sub(c.swept) < sweepInterval {
		return
	}
	c.swept = now
	for k, f := range c.flows {
		over := now.After(f.deadline)
		if !f.opened && now.Sub(f.sent) > unopenedLifetime {
			over = true
		}
		if f.asked && !f.answered && !f.ended {
			c.judge(k, f, now)
		}
		if over {
			c.end(k, f, false, now)
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
func (c *Core) Stats(now time.Time) Stats {
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
	if c.view == nil {
		return s
	}
	for k, t := range c.view.targets {
		if t.State != fleet.TargetGone && c.overdue(k, now) {
			s.Overdue++
		}
	}
	return s
}
