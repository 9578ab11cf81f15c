package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/lease"
	"bamboowalk.org/bamboowalk/pkg/membership"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// tickInterval bounds how late a timer of a protocol fires.
	tickInterval = 20 * time.Millisecond
	// surveyInterval is the time between two looks at all members and zones
	// while none of them changes. A look costs in proportion to the fleet: ten
	// a second took 2.75 % of a core with 2,880 VMs.
	surveyInterval = time.Second
	// queueLength bounds the received messages that wait for the goroutine.
	queueLength = 1024
	// leaseStep is the least extension of a lease that the traffic side is
	// told of, so that not every grant wakes its goroutines.
	leaseStep = 50 * time.Millisecond
	// otherZoneVMs is the number of VMs of each other zone that the
	// distribution of settings may ask.
	otherZoneVMs = 2
	maxPulls     = 4
	// isolationTime is the time without a majority of the council after which
	// a VM serves with the VMs that it reaches.
	isolationTime = 3 * time.Second
)

type (
	// Replica is where a control VM takes hints and pulls.
	Replica struct {
		ID      fleet.VMID
		Control netip.AddrPort
	}

	// SupersededError reports that another process has this VM's id and a later
	// start; two VMs with one id would both hold its leases.
	SupersededError struct {
		ID fleet.VMID
		By fleet.Incarnation
	}

	// Cluster is the Membership of a VM that takes part in a fleet. Exported
	// fields are set before Run.
	Cluster struct {
		Self        fleet.VM
		Zone        fleet.ZoneID
		Incarnation fleet.Incarnation
		// Seeds are VMs of the own zone, Remote those of other zones.
		Seeds    []fleet.VM
		Remote   []membership.RemoteZone
		Replicas []Replica
		Socket   *peer.Socket
		// Pulls serves the settings to peers; it is at the control address.
		Pulls    net.Listener
		Recorder timeline.Recorder
		Log      *zap.Logger

		server   peer.Server
		onReport func(from fleet.VMID, body []byte)

		members *membership.Machine
		leases  *lease.Machine
		store   *settings.Store
		spread  *spread.Node
		apply   func(entry.Update)

		calls   chan func(now time.Time)
		stopped chan struct{}
		pulls   chan struct{} // free slots for pulls
		targets map[fleet.TargetKey]fleet.Target
		last    published
		// connected is when a majority of the council last answered.
		connected time.Time
		// seen is what the last survey was made of, isolated and zones are what
		// it found.
		seen     survey
		isolated []fleet.VM
		zones    []fleet.Zone
		// zonesSeen rises with each change of zones.
		zonesSeen uint64
		current   atomic.Pointer[fleet.View]
		// reported and leaving come from goroutines that must not wait for this
		// one, which in turn waits for them to apply views.
		reported atomic.Pointer[[]fleet.Target]
		leaving  atomic.Bool
		voting   atomic.Bool
		spare    atomic.Pointer[map[fleet.ServiceID]int]
	}

	// survey says what a survey was made of.
	survey struct {
		at         time.Time
		generation uint64
		epoch      fleet.Epoch
		revision   fleet.Revision
	}

	// published is what the traffic side knows.
	published struct {
		epoch      fleet.Epoch
		sealed     bool
		revision   fleet.Revision
		generation uint64
		zonesSeen  uint64
		members    []fleet.VM // of an isolated VM, else nil
		view       *fleet.View
		until      time.Time
		council    uint32
	}
)

var (
	_ entry.Membership    = (*Cluster)(nil)
	_ entry.Messenger     = (*Cluster)(nil)
	_ entry.SpareReporter = (*Cluster)(nil)
	_ entry.Voter         = (*Cluster)(nil)
)

// Error names the id.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("another process runs as VM %s, with incarnation %d", e.ID, e.By)
}

// New prepares the channels of a cluster whose fields the caller then sets.
func New() *Cluster {
	return &Cluster{
		store:   settings.NewStore(),
		calls:   make(chan func(time.Time), queueLength),
		stopped: make(chan struct{}),
		pulls:   make(chan struct{}, maxPulls),
		targets: make(map[fleet.TargetKey]fleet.Target),
	}
}

// Run takes part in the protocols until ctx ends; it returns a
// peer.SocketError where the control port fails.
func (c *Cluster) Run(ctx context.Context, apply func(entry.Update)) error {
	c.apply = apply
	c.connected = time.Now()
	c.build(c.connected)
	group, ctx := errgroup.WithContext(ctx)
	c.server.Self, c.server.Listener, c.server.Answer = c.Self.ID, c.Pulls, c.answer
	group.Go(func() error { return c.server.Run(ctx) })
	group.Go(func() error { return c.Socket.Receive(ctx, func(r peer.Received) { c.receive(ctx, r) }) })
	group.Go(func() error { return c.run(ctx) })
	return group.Wait()
}

func (c *Cluster) build(now time.Time) {
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	c.members = membership.New(membership.Config{
		Self: c.Self, Zone: c.Zone, Incarnation: c.Incarnation,
		Seeds: c.Seeds, Remote: c.Remote, Rand: random(), Recorder: c.Recorder,
	}, now)
	c.leases = lease.New(lease.Config{
		Self: c.Self, Zone: c.Zone, Incarnation: c.Incarnation, Rand: random(), Recorder: c.Recorder,
	}, now)
	c.spread = &spread.Node{Self: c.Self.ID, Copy: c.store, Rand: random(), Recorder: c.Recorder}
}

// run owns the state machines until ctx ends; it returns a SupersededError.
func (c *Cluster) run(ctx context.Context) error {
	defer close(c.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.calls:
			f(time.Now())
		case now := <-tick.C:
			c.tick(ctx, now)
			if by, ok := c.members.Superseded(); ok {
				return &SupersededError{ID: c.Self.ID, By: by}
			}
			c.publish(now)
		}
	}
}

func (c *Cluster) tick(ctx context.Context, now time.Time) {
	if targets := c.reported.Swap(nil); targets != nil {
		c.report(*targets)
	}
	if c.leaving.Load() {
		c.members.Leave(now)
	}
	c.voting.Store(c.leases.Voting())
	if spare := c.spare.Swap(nil); spare != nil {
		c.members.SetSpare(*spare)
	}
	c.members.SetFit(c.leases.Connected(now))
	c.members.SetEpoch(c.leases.View().Epoch)
	if c.surveyDue(now) {
		c.survey(now)
	}
	c.sendMembership(c.members.Tick(now), now)
	c.sendLease(c.leases.Tick(now), now)
	c.sendSpread(ctx, c.spread.Tick(now), now)
}

// surveyDue reports whether the member table, the view or the settings changed
// since the last survey, or its interval has passed.
func (c *Cluster) surveyDue(now time.Time) bool {
	return c.members.Generation() != c.seen.generation || c.leases.View().Epoch != c.seen.epoch ||
		c.store.Revision() != c.seen.revision || now.Sub(c.seen.at) >= surveyInterval
}

// survey looks at all members and zones.
func (c *Cluster) survey(now time.Time) {
	c.seen = survey{at: now, generation: c.members.Generation(), epoch: c.leases.View().Epoch, revision: c.store.Revision()}
	c.leases.SetCandidates(c.members.Candidates(now))
	c.setPeers(now)
	c.isolated = c.reachable(now)
	if zones := c.seeZones(c.store.Config(), c.isolated, now); !sameZones(zones, c.zones) {
		c.zones = zones
		c.zonesSeen++
	}
}

// setPeers tells the distribution of settings which VMs live.
func (c *Cluster) setPeers(now time.Time) {
	if g := c.members.Generation(); g == c.last.generation {
		return
	}
	c.last.generation = c.members.Generation()
	var peers, replicas, others []fleet.VMID
	for _, m := range c.members.Members(now) {
		if m.State == "Alive" || m.State == "Suspect" {
			peers = append(peers, m.VM.ID)
		}
	}
	for _, r := range c.Replicas {
		replicas = append(replicas, r.ID)
	}
	for _, z := range c.members.Zones(now) {
		for _, vm := range z.Members[:min(len(z.Members), otherZoneVMs)] {
			others = append(others, vm.ID)
		}
	}
	c.spread.SetPeers(peers, replicas, others)
}

// receive decodes a frame and gives it to the goroutine; a frame that does
// not decode, or that finds the queue full, is lost as on the network.
func (c *Cluster) receive(ctx context.Context, r peer.Received) {
	switch r.Channel {
	case peer.Membership:
		if m, err := membership.Decode(r.Body); err == nil {
			c.post(func(now time.Time) { c.sendMembership(c.members.Handle(r.From, m, now), now) })
		}
	case peer.Lease:
		if m, err := lease.Decode(r.Body); err == nil {
			c.post(func(now time.Time) { c.sendLease(c.leases.Handle(r.From, m, now), now) })
		}
	case peer.Probe:
		if c.onReport != nil {
			c.onReport(r.From, r.Body)
		}
	case peer.Spread:
		if m, err := spread.Decode(r.Body); err == nil && m.Datagram() {
			c.post(func(now time.Time) { c.sendSpread(ctx, c.spread.Handle(r.From, m, now), now) })
		}
	}
}

// post gives f to the goroutine and drops it where the queue is full.
func (c *Cluster) post(f func(now time.Time)) {
	select {
	case c.calls <- f:
	default:
	}
}

// call gives f to the goroutine and waits for a place in the queue.
func (c *Cluster) call(f func(now time.Time)) {
	select {
	case c.calls <- f:
	case <-c.stopped:
	}
}

func (c *Cluster) sendMembership(out []membership.Envelope, now time.Time) {
	for _, e := range out {
		if body, err := e.Message.Encode(); err == nil {
			c.send(e.To, peer.Membership, body, now)
		}
	}
}

// sendLease sends messages of the lease protocol. They acknowledge the view that
// was adopted, after which its owners may decide, so the traffic side must have
// the view first.
func (c *Cluster) sendLease(out []lease.Envelope, now time.Time) {
	if c.leases.View().Epoch != c.last.epoch {
		c.survey(now)
		c.publish(now)
	}
	for _, e := range out {
		if body, err := e.Message.Encode(); err == nil {
			c.send(e.To, peer.Lease, body, now)
		}
	}
}

// sendSpread sends hints as datagrams and starts pulls over connections.
func (c *Cluster) sendSpread(ctx context.Context, out []spread.Envelope, now time.Time) {
	for _, e := range out {
		if e.Message.Pull != nil {
			c.startPull(ctx, e)
			continue
		}
		if !e.Message.Datagram() {
			continue
		}
		if body, err := e.Message.Encode(); err == nil {
			c.send(e.To, peer.Spread, body, now)
		}
	}
}

// startPull asks a peer in a goroutine of its own. Where too many are under
// way, or it fails, the node asks another peer after its timeout.
func (c *Cluster) startPull(ctx context.Context, e spread.Envelope) {
	address, ok := c.address(e.To)
	if !ok {
		return
	}
	select {
	case c.pulls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.pulls }()
		_, answer, err := peer.Pull(ctx, c.Self.ID, address, e.Message)
		if err != nil {
			return
		}
		c.call(func(now time.Time) { c.sendSpread(ctx, c.spread.Handle(e.To, answer, now), now) })
	}()
}

// answer serves a pull of a peer.
func (c *Cluster) answer(from fleet.VMID, m spread.Message) (spread.Message, error) {
	if m.Pull == nil {
		return spread.Message{}, &spread.MessageError{Reason: "is no pull"}
	}
	reply := make(chan spread.Message, 1)
	c.call(func(now time.Time) {
		for _, e := range c.spread.Handle(from, m, now) {
			reply <- e.Message
		}
	})
	select {
	case r := <-reply:
		return r, nil
	case <-c.stopped:
		return spread.Message{}, entry.StoppedError{}
	}
}

func (c *Cluster) send(to fleet.VMID, channel peer.Channel, body []byte, now time.Time) {
	if address, ok := c.address(to); ok {
		c.Socket.Send(address, channel, body, now)
	}
}

func (c *Cluster) address(id fleet.VMID) (netip.AddrPort, bool) {
	for _, r := range c.Replicas {
		if r.ID == id {
			return r.Control, true
		}
	}
	vm, ok := c.members.Lookup(id)
	return vm.Control, ok
}

// SendReport sends a probe report to the owner of its target.
func (c *Cluster) SendReport(to fleet.VMID, body []byte) {
	c.post(func(now time.Time) { c.send(to, peer.Probe, body, now) })
}

// OnReport sets the receiver of probe reports; it is called before Run.
func (c *Cluster) OnReport(receive func(from fleet.VMID, body []byte)) { c.onReport = receive }

// Report states the targets whose leases this VM keeps. One that was stated
// before and is missing now has left or lost its lease, unless it has another
// owner.
func (c *Cluster) Report(targets []fleet.Target) {
	targets = slices.Clone(targets)
	c.reported.Store(&targets)
}

// Leave asks for a view without this VM.
func (c *Cluster) Leave() { c.leaving.Store(true) }

func (c *Cluster) report(targets []fleet.Target) {
	owners := c.owners()
	present := make(map[fleet.TargetKey]fleet.Target, len(targets))
	for _, t := range targets {
		present[t.ID.Key()] = t
		c.setTarget(t)
	}
	for key, t := range c.targets {
		if _, ok := present[key]; ok {
			continue
		}
		if owners != nil && owners.View().Target(key) != nil && owners.Owner(key) != c.Self.ID {
			c.leases.ForgetTarget(t.ID)
			continue
		}
		t.State = fleet.TargetGone
		c.setTarget(t)
	}
	c.targets = present
}

func (c *Cluster) setTarget(t fleet.Target) {
	if err := c.leases.SetTarget(t); err != nil {
		c.Log.Warn("target can't be reported", zap.Stringer("target", t.ID), zap.Error(err))
	}
}

func (c *Cluster) owners() *placement.Map {
	if c.last.view == nil {
		return nil
	}
	return placement.New(c.last.view)
}
