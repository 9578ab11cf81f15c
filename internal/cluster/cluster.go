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
	// tickInterval is the time between two checks of the protocol timers. While
	// the protocol goroutine is not blocked, a timer fires at most this late.
	tickInterval = 20 * time.Millisecond
	// refreshInterval is the time between two refreshes of members and zones
	// while nothing changes. The cost of a refresh is proportional to the number
	// of VMs: ten refreshes per second took 2.75 % of a core with 2,880 VMs.
	refreshInterval = time.Second
	// callQueueLength is the maximum number of calls, most of them for received
	// messages, that wait for the protocol goroutine.
	callQueueLength = 1024
	// minLeaseExtension is the smallest lease extension that is passed to the
	// entry daemon. Without this minimum, each grant of a lease would wake the
	// daemon's goroutines.
	minLeaseExtension = 50 * time.Millisecond
	// peersPerOtherZone is the maximum number of VMs of each other zone from which
	// this VM may pull settings.
	peersPerOtherZone = 2
	maxPulls          = 4
	// isolationTimeout is the time without a connection to a majority of the
	// council after which a VM that has a view replaces the members of its zone in
	// the view. The new members are the VM itself and the VMs of its zone that it
	// considers alive or suspected.
	isolationTimeout = 3 * time.Second
)

type (
	// Replica is a control VM. Control is the address at which the control VM
	// receives settings messages: hints, which announce a revision, and pulls,
	// which request the changes since a revision.
	Replica struct {
		ID      fleet.VMID
		Control netip.AddrPort
	}

	// SupersededError reports that another process runs with this VM's ID and a
	// later incarnation. Two processes with one ID would both hold the leases of
	// the VM.
	SupersededError struct {
		ID fleet.VMID
		By fleet.Incarnation
	}

	// Cluster implements entry.Membership for a VM of a fleet. The exported
	// fields must be set before Run.
	Cluster struct {
		Self        fleet.VM
		Zone        fleet.ZoneID
		Incarnation fleet.Incarnation
		// Seeds are VMs of this VM's zone. RemoteZones holds the seeds of other
		// zones.
		Seeds       []fleet.VM
		RemoteZones []membership.RemoteZone
		Replicas    []Replica
		Socket      *peer.Socket
		// PullListener accepts connections on which peers pull settings. It listens
		// on the control address.
		PullListener net.Listener
		Recorder     timeline.Recorder
		Log          *zap.Logger

		server   peer.PullServer
		onReport func(from fleet.VMID, body []byte)

		members *membership.Machine
		leases  *lease.Machine
		store   *settings.Store
		spread  *spread.Node
		apply   func(entry.Update)

		callQueue chan func(now time.Time)
		stopped   chan struct{}
		pullSlots chan struct{} // limits concurrent pulls of settings
		targets   map[fleet.TargetKey]fleet.Target
		published publishedState
		// lastConnected is the last time at which a majority of the council was
		// connected or this VM had no view.
		lastConnected time.Time
		// lastRefresh holds the inputs of the last refresh. isolatedMembers and
		// zones are the results of that refresh.
		lastRefresh     refreshInputs
		isolatedMembers []fleet.VM
		zones           []fleet.Zone
		// zonesVersion is incremented with each change of zones that requires a new
		// view.
		zonesVersion uint64
		currentView  atomic.Pointer[fleet.View]
		// Other goroutines set reportedTargets, leaving and spare, and read voting.
		// These fields are atomic because those goroutines must not wait for the
		// protocol goroutine: the protocol goroutine waits until they have applied a
		// view.
		reportedTargets atomic.Pointer[[]fleet.Target]
		leaving         atomic.Bool
		voting          atomic.Bool
		spare           atomic.Pointer[map[fleet.ServiceID]int]
	}

	// refreshInputs holds the time of a refresh and the versions of the state that
	// the refresh read.
	refreshInputs struct {
		at         time.Time
		generation uint64
		epoch      fleet.Epoch
		revision   fleet.Revision
	}

	// publishedState describes the state that was last passed to the entry daemon.
	// There are two exceptions: generation belongs to the peers that were last
	// passed to the settings distribution, and councilRevision to the council that
	// was last passed to the lease protocol.
	publishedState struct {
		epoch           fleet.Epoch
		sealed          bool
		revision        fleet.Revision
		generation      uint64
		zonesVersion    uint64
		members         []fleet.VM // the published isolatedMembers
		view            *fleet.View
		leaseUntil      time.Time
		councilRevision uint32
	}
)

var (
	_ entry.Membership      = (*Cluster)(nil)
	_ entry.ReportTransport = (*Cluster)(nil)
	_ entry.SpareReporter   = (*Cluster)(nil)
	_ entry.Voter           = (*Cluster)(nil)
)

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("another process runs as VM %s, with incarnation %d", e.ID, e.By)
}

// New returns a Cluster whose exported fields are not set.
func New() *Cluster {
	return &Cluster{
		store:     settings.NewStore(),
		callQueue: make(chan func(time.Time), callQueueLength),
		stopped:   make(chan struct{}),
		pullSlots: make(chan struct{}, maxPulls),
		targets:   make(map[fleet.TargetKey]fleet.Target),
	}
}

// Run runs the protocols until ctx is done and passes updates to apply. It
// returns a peer.SocketError if the control socket fails, and a SupersededError
// if another process runs with this VM's ID and a later incarnation.
func (c *Cluster) Run(ctx context.Context, apply func(entry.Update)) error {
	c.apply = apply
	c.lastConnected = time.Now()
	c.initMachines(c.lastConnected)
	group, ctx := errgroup.WithContext(ctx)
	c.server.Self, c.server.Listener, c.server.Answer = c.Self.ID, c.PullListener, c.servePull
	group.Go(func() error { return c.server.Run(ctx) })
	group.Go(func() error { return c.Socket.Receive(ctx, func(r peer.ReceivedFrame) { c.receive(ctx, r) }) })
	group.Go(func() error { return c.run(ctx) })
	return group.Wait()
}

func (c *Cluster) initMachines(now time.Time) {
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	c.members = membership.New(membership.Config{
		Self: c.Self, Zone: c.Zone, Incarnation: c.Incarnation,
		Seeds: c.Seeds, Remote: c.RemoteZones, Rand: random(), Recorder: c.Recorder,
	}, now)
	c.leases = lease.New(lease.Config{
		Self: c.Self, Zone: c.Zone, Incarnation: c.Incarnation, Rand: random(), Recorder: c.Recorder,
	}, now)
	c.spread = &spread.Node{Self: c.Self.ID, Store: c.store, Rand: random(), Recorder: c.Recorder}
}

// run is the protocol goroutine, which owns the state machines. It returns nil
// when ctx is done, or a SupersededError.
func (c *Cluster) run(ctx context.Context) error {
	defer close(c.stopped)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.callQueue:
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
	if targets := c.reportedTargets.Swap(nil); targets != nil {
		c.updateTargets(*targets)
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
	if c.refreshDue(now) {
		c.refresh(now)
	}
	c.sendMembership(c.members.Tick(now), now)
	c.sendLease(c.leases.Tick(now), now)
	c.sendSpread(ctx, c.spread.Tick(now), now)
}

// refreshDue reports whether the member table, the view or the settings changed
// since the last refresh, or refreshInterval has passed.
func (c *Cluster) refreshDue(now time.Time) bool {
	return c.members.Generation() != c.lastRefresh.generation || c.leases.View().Epoch != c.lastRefresh.epoch ||
		c.store.Revision() != c.lastRefresh.revision || now.Sub(c.lastRefresh.at) >= refreshInterval
}

// refresh recomputes the lease candidates, the settings peers, the isolated
// members and the zones from the member table.
func (c *Cluster) refresh(now time.Time) {
	c.lastRefresh = refreshInputs{at: now, generation: c.members.Generation(), epoch: c.leases.View().Epoch, revision: c.store.Revision()}
	c.leases.SetCandidates(c.members.Candidates(now))
	c.setPeers(now)
	c.isolatedMembers = c.findIsolatedMembers(now)
	if zones := c.buildZones(c.store.Config(), c.isolatedMembers, now); !zonesEquivalent(zones, c.zones) {
		c.zones = zones
		c.zonesVersion++
	}
}

// setPeers passes the live VMs of the zone, the control VMs and at most
// peersPerOtherZone VMs of each other zone to the settings distribution. It
// does nothing if the member table has not changed since the last call.
func (c *Cluster) setPeers(now time.Time) {
	if g := c.members.Generation(); g == c.published.generation {
		return
	}
	c.published.generation = c.members.Generation()
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
		for _, vm := range z.Members[:min(len(z.Members), peersPerOtherZone)] {
			others = append(others, vm.ID)
		}
	}
	c.spread.SetPeers(peers, replicas, others)
}

// receive passes a probe report to onReport. It decodes any other frame and
// queues its message for the protocol goroutine. It drops a malformed frame, and
// a message for which the queue has no space, because the protocols tolerate
// lost frames.
func (c *Cluster) receive(ctx context.Context, r peer.ReceivedFrame) {
	switch r.Channel {
	case peer.Membership:
		if m, err := membership.Decode(r.Body); err == nil {
			c.tryEnqueue(func(now time.Time) { c.sendMembership(c.members.Handle(r.From, m, now), now) })
		}
	case peer.Lease:
		if m, err := lease.Decode(r.Body); err == nil {
			c.tryEnqueue(func(now time.Time) { c.sendLease(c.leases.Handle(r.From, m, now), now) })
		}
	case peer.Probe:
		if c.onReport != nil {
			c.onReport(r.From, r.Body)
		}
	case peer.Spread:
		if m, err := spread.Decode(r.Body); err == nil && m.FitsDatagram() {
			c.tryEnqueue(func(now time.Time) { c.sendSpread(ctx, c.spread.Handle(r.From, m, now), now) })
		}
	}
}

// tryEnqueue queues f for the protocol goroutine, or drops f if the queue is
// full.
func (c *Cluster) tryEnqueue(f func(now time.Time)) {
	select {
	case c.callQueue <- f:
	default:
	}
}

// enqueue queues f for the protocol goroutine. It blocks while the queue is
// full and drops f once the goroutine has stopped.
func (c *Cluster) enqueue(f func(now time.Time)) {
	select {
	case c.callQueue <- f:
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

// sendLease sends lease messages. A message may acknowledge a newly adopted
// view, and this acknowledgement may let the owners in that view make
// decisions. Therefore sendLease first passes the view to the entry daemon and
// waits until the daemon has applied the view.
func (c *Cluster) sendLease(out []lease.Envelope, now time.Time) {
	if c.leases.View().Epoch != c.published.epoch {
		c.refresh(now)
		c.publish(now)
	}
	for _, e := range out {
		if body, err := e.Message.Encode(); err == nil {
			c.send(e.To, peer.Lease, body, now)
		}
	}
}

// sendSpread starts pulls over TCP and sends all other settings messages as
// datagrams. It drops a message that does not fit into a datagram.
func (c *Cluster) sendSpread(ctx context.Context, out []spread.Envelope, now time.Time) {
	for _, e := range out {
		if e.Message.Pull != nil {
			c.startPull(ctx, e)
			continue
		}
		if !e.Message.FitsDatagram() {
			continue
		}
		if body, err := e.Message.Encode(); err == nil {
			c.send(e.To, peer.Spread, body, now)
		}
	}
}

// startPull pulls settings from a peer in a new goroutine. It does nothing if
// maxPulls pulls are in progress. In this case, and if the pull fails, c.spread
// asks another peer after its timeout for the pull.
func (c *Cluster) startPull(ctx context.Context, e spread.Envelope) {
	address, ok := c.address(e.To)
	if !ok {
		return
	}
	select {
	case c.pullSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.pullSlots }()
		_, response, err := peer.Pull(ctx, c.Self.ID, address, e.Message)
		if err != nil {
			return
		}
		c.enqueue(func(now time.Time) { c.sendSpread(ctx, c.spread.Handle(e.To, response, now), now) })
	}()
}

// servePull answers a settings pull of a peer. It returns a spread.MessageError
// if m is not a pull, and an entry.StoppedError after the cluster has stopped.
func (c *Cluster) servePull(from fleet.VMID, m spread.Message) (spread.Message, error) {
	if m.Pull == nil {
		return spread.Message{}, &spread.MessageError{Reason: "is not a pull"}
	}
	reply := make(chan spread.Message, 1)
	c.enqueue(func(now time.Time) {
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

// SendReport sends an encoded probe report to the VM that owns the target. The
// report is dropped if the call queue is full.
func (c *Cluster) SendReport(to fleet.VMID, body []byte) {
	c.tryEnqueue(func(now time.Time) { c.send(to, peer.Probe, body, now) })
}

// OnReport sets the handler for received probe reports. It must be called
// before Run.
func (c *Cluster) OnReport(receive func(from fleet.VMID, body []byte)) { c.onReport = receive }

// Report sets the targets whose announcement leases this VM keeps. A target of
// the previous report that targets does not contain counts as gone, unless the
// view gives the target another owner.
func (c *Cluster) Report(targets []fleet.Target) {
	targets = slices.Clone(targets)
	c.reportedTargets.Store(&targets)
}

// Leave requests a view without this VM; it does not wait for the view.
func (c *Cluster) Leave() { c.leaving.Store(true) }

func (c *Cluster) updateTargets(targets []fleet.Target) {
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
		c.Log.Warn("cannot report target to the lease protocol", zap.Stringer("target", t.ID), zap.Error(err))
	}
}

func (c *Cluster) owners() *placement.Map {
	if c.published.view == nil {
		return nil
	}
	return placement.New(c.published.view)
}
