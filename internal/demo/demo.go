package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bamboowalk.org/bamboowalk/internal/cluster"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/membership"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	counterService = fleet.ServiceID("Lutto/Counter")
	sheetService   = fleet.ServiceID("Lutto/Sheets")
	credential     = "demo credential"

	// vmsPerZone is large enough that a majority of a zone's council, which
	// consists of all entry VMs of the zone, remains after one VM stopped and
	// another one crashed.
	vmsPerZone            = 5
	counterTargetsPerZone = 4
	sheetTargetsPerZone   = 2

	// requestDeadline is the time from the start of a lookup or order to its
	// deadline. After an entry VM crashed, the entry VM that takes over may drop new orders for
	// requestDeadline plus 2 s. This sum must be less than handshakeTimeout,
	// because QUIC callers give up after handshakeTimeout.
	requestDeadline = 1500 * time.Millisecond

	// readyTimeout limits the wait for the entry VMs and targets to become
	// ready. No check of checkGuarantees depends on it.
	readyTimeout = time.Minute
	// drainLimit is the maximum time after the start of a drain at which the
	// target may still get new flows.
	drainLimit = 3 * time.Second
)

var (
	zones = []fleet.ZoneID{"Monza", "Lecco", "Como"}

	lookupVIP   = netip.MustParseAddrPort("198.18.0.10:443")
	orderVIP    = netip.MustParseAddrPort("198.18.0.11:443")
	orderTCPVIP = netip.MustParseAddrPort("198.18.0.11:8443")
	sheetVIP    = netip.MustParseAddrPort("198.18.0.12:443")
)

type (
	// Options configure a run of the demo; zero values select defaults.
	Options struct {
		// Traffic is the period during which requests start.
		Traffic time.Duration
		// Lookups, Orders and TCPOrders are requests per second.
		Lookups, Orders, TCPOrders float64
		// Sheets is the number of downloads. Each lasts for most of Traffic.
		Sheets int
		Seed   uint64
		Out    io.Writer
		Log    *zap.Logger
	}

	// Demo is one run of the demo.
	Demo struct {
		opts      Options
		fabric    *fabric
		control   *controlPlane
		audit     *auditLog
		serverTLS *tls.Config
		callerTLS *tls.Config
		vms       []*vm
		targets   []*target

		mu              sync.Mutex
		events          []event
		results         []result
		drainedTarget   *target
		settingsChanges int
		configFailures  []string
	}

	// vm is one entry VM of the demo.
	vm struct {
		zone    fleet.ZoneID
		member  fleet.VM
		daemon  *entry.Daemon
		cluster *cluster.Cluster
		cancel  context.CancelCauseFunc
		done    chan error
		down    bool
	}

	// event is a planned change or an injected fault of the run, or the end of
	// a planned stop.
	event struct {
		at     time.Time
		name   string
		detail string
	}

	// NotReadyError reports that a part of the demo did not become ready within
	// readyTimeout.
	NotReadyError struct{ Part string }
)

// Error returns a message that names the part.
func (e *NotReadyError) Error() string { return e.Part + " did not become ready in time" }

func (o *Options) setDefaults() {
	if o.Traffic == 0 {
		o.Traffic = 14 * time.Second
	}
	if o.Lookups == 0 {
		o.Lookups = 60
	}
	if o.Orders == 0 {
		o.Orders = 20
	}
	if o.TCPOrders == 0 {
		o.TCPOrders = 10
	}
	if o.Sheets == 0 {
		o.Sheets = 6
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
}

func listeners() []fleet.Listener {
	kind := func(name fleet.KindName, urgency fleet.Urgency, share float64, deadline time.Duration, idempotent bool) fleet.Kind {
		return fleet.Kind{Name: name, Urgency: urgency, Weight: 1, Share: share, Deadline: deadline, IdleTimeout: 10 * time.Second, Idempotent: idempotent}
	}
	order := kind("Order", 0, 0.5, requestDeadline, false)
	return []fleet.Listener{
		{Address: lookupVIP, Protocol: fleet.UDP, Service: counterService, Answers: fleet.Direct, Kind: kind("Lookup", 2, 0.3, requestDeadline, true)},
		{Address: orderVIP, Protocol: fleet.UDP, Service: counterService, Answers: fleet.Through, Kind: order},
		{Address: orderTCPVIP, Protocol: fleet.TCP, Service: counterService, Answers: fleet.Through, Kind: order},
		{Address: sheetVIP, Protocol: fleet.UDP, Service: sheetService, Answers: fleet.Through, Kind: kind("Sheet", 1, 0.5, time.Minute, true)},
	}
}

// Run runs the demo, prints a summary to opts.Out and returns the report. An
// error means that the demo could not run; the failures of checks are in the
// report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts.setDefaults()
	d := &Demo{opts: opts, audit: newAuditLog()}
	if err := d.prepare(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d.start(ctx, group)
	err := d.runScenario(ctx)
	cancel()
	if stopErr := d.stop(group); err == nil {
		err = stopErr
	}
	if err != nil {
		return nil, err
	}
	d.logCounters()
	report := d.report()
	report.print(opts.Out)
	return report, nil
}

func (d *Demo) prepare() error {
	var err error
	if d.serverTLS, d.callerTLS, err = certificates(); err != nil {
		return err
	}
	if d.fabric, err = newFabric(d.opts.Seed); err != nil {
		return err
	}
	if d.control, err = newControlPlane(d.opts.Log); err != nil {
		return err
	}
	for _, zone := range zones {
		for i := range vmsPerZone {
			if err := d.addVM(zone, i+1); err != nil {
				return err
			}
		}
	}
	d.setPeers()
	for _, zone := range zones {
		for range counterTargetsPerZone {
			if err := d.addTarget(zone, counterService); err != nil {
				return err
			}
		}
		for range sheetTargetsPerZone {
			if err := d.addTarget(zone, sheetService); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Demo) addVM(zone fleet.ZoneID, n int) error {
	dataConn, err := listenUDP()
	if err != nil {
		return err
	}
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	controlConn, pullListener, err := listenSamePort()
	if err != nil {
		return err
	}
	member := fleet.VM{
		ID:      fleet.VMID(fmt.Sprintf("%s-%d", zone, n)),
		Control: tcpAddress(pullListener),
		Data:    dataConn.LocalAddr().(*net.UDPAddr).AddrPort(),
		HTTP:    tcpAddress(httpListener),
	}
	log := d.opts.Log.With(zap.String("vm", string(member.ID)))
	ring := timeline.NewRing(member.ID)
	c := cluster.New()
	c.Self, c.Zone, c.Incarnation = member, zone, fleet.Incarnation(time.Now().UnixNano())
	c.Socket = &peer.Socket{Self: member.ID, Conn: controlConn, Clock: ring.Clock}
	c.PullListener, c.Recorder, c.Log = pullListener, ring, log
	d.fabric.add(member)
	d.vms = append(d.vms, &vm{zone: zone, member: member, cluster: c, done: make(chan error, 1), daemon: &entry.Daemon{
		Settings: &entry.Settings{
			ID: member.ID, Zone: zone, Data: member.Data, HTTP: member.HTTP,
			Fabric: []netip.AddrPort{d.fabric.address()}, Shards: 1,
			DrainTime: 10 * time.Second, QuietTime: time.Second, LeaseTime: 3 * announceInterval,
			TargetLimit: 64, AnnounceRate: 1000,
		},
		Membership: c,
		Recorder:   ring,
		Timeline:   ring,
		Log:        log,
		Data:       dataConn,
		HTTP:       httpListener,
	}})
	return nil
}

// setPeers gives each entry VM the entry VMs of all zones as seeds, and the
// addresses of the control VMs.
func (d *Demo) setPeers() {
	members := make(map[fleet.ZoneID][]fleet.VM)
	for _, v := range d.vms {
		members[v.zone] = append(members[v.zone], v.member)
	}
	for _, v := range d.vms {
		v.cluster.Seeds = members[v.zone]
		for _, zone := range zones {
			if zone != v.zone {
				v.cluster.RemoteZones = append(v.cluster.RemoteZones, membership.RemoteZone{ID: zone, Seeds: members[zone]})
			}
		}
		for _, r := range d.control.replicas {
			v.cluster.Replicas = append(v.cluster.Replicas, cluster.Replica{ID: r.settings.ID, Control: r.settings.Control})
		}
	}
}

func (d *Demo) addTarget(zone fleet.ZoneID, service fleet.ServiceID) error {
	t, err := newTarget(zone, service, d.fabric.address(), d.audit, func() []fleet.VM { return d.zoneVMs(zone) })
	if err != nil {
		return err
	}
	d.targets = append(d.targets, t)
	return nil
}

// zoneVMs returns the running entry VMs of a zone, to which the targets of the
// zone announce themselves.
func (d *Demo) zoneVMs(zone fleet.ZoneID) []fleet.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []fleet.VM
	for _, v := range d.vms {
		if v.zone == zone && !v.down {
			out = append(out, v.member)
		}
	}
	return out
}

func (d *Demo) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.fabric.run(ctx) })
	group.Go(func() error { return d.fabric.checkHealth(ctx) })
	d.control.start(ctx)
	for _, v := range d.vms {
		// Each VM has its own context, so that the demo can stop or kill a single
		// VM.
		vmCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		v.cancel = cancel
		go func() { v.done <- v.daemon.Run(vmCtx) }()
	}
	for _, t := range d.targets {
		group.Go(func() error { return t.serve(ctx, d.serverTLS, t.handler(d.sheetSize())) })
		group.Go(func() error { return t.announceLoop(ctx) })
	}
}

// sheetSize returns the size in bytes of a sheet whose download takes 90 % of
// the traffic period.
func (d *Demo) sheetSize() int {
	chunks := int(d.opts.Traffic * 9 / 10 / sheetChunkInterval)
	return max(chunks, 1) * sheetChunkSize
}

// stop kills the remaining entry VMs, stops the control VMs and waits for the
// other goroutines.
func (d *Demo) stop(group *errgroup.Group) error {
	for _, v := range d.vms {
		v.cancel(entry.KilledError{})
		if err := <-v.done; err != nil {
			return fmt.Errorf("entry VM %s: %w", v.member.ID, err)
		}
	}
	if err := d.control.stop(); err != nil {
		return err
	}
	return group.Wait()
}

func (d *Demo) runScenario(ctx context.Context) error {
	if err := d.control.configure(ctx, d.vms); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	var requests sync.WaitGroup
	begin := time.Now()
	d.startTraffic(ctx, &requests)
	t := d.opts.Traffic
	steps := []struct {
		at time.Duration
		do func(context.Context)
	}{
		{t * 2 / 10, d.stopOwner},
		{t * 3 / 10, d.changeSettings},
		{t * 45 / 100, d.killOwner},
		{t * 55 / 100, d.stopLeader},
		{t * 6 / 10, d.changeSettings},
		{t * 7 / 10, d.drainTarget},
	}
	for _, s := range steps {
		if err := sleep(ctx, time.Until(begin.Add(s.at))); err != nil {
			return err
		}
		s.do(ctx)
	}
	requests.Wait()
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// waitReady waits until ready returns true, and then until the newly formed
// zones accept orders. It returns a NotReadyError if ready has not returned
// true within readyTimeout.
func (d *Demo) waitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTimeout)
	for !d.ready() {
		if time.Now().After(limit) {
			return &NotReadyError{Part: "the fleet"}
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	// The VMs of a newly formed zone do not know which flows an earlier
	// incarnation of the zone accepted. These VMs drop orders until late
	// duplicates of the packets of such flows can no longer arrive.
	return sleep(ctx, max(requestDeadline+2*time.Second, balancer.PredecessorTimeout)+time.Second)
}

// ready reports whether all entry VMs are healthy and each has a sealed view
// with all VMs and targets of its zone. The view must also show all zones as
// reachable, and list all members and some free slots of each other zone.
func (d *Demo) ready() bool {
	for _, v := range d.vms {
		view := v.cluster.View()
		if view == nil || !view.Sealed || len(view.Members) != vmsPerZone || len(view.Targets) != counterTargetsPerZone+sheetTargetsPerZone {
			return false
		}
		for i := range view.Zones {
			z := &view.Zones[i]
			if !z.Reachable || len(z.Members) != vmsPerZone || z.ID != v.zone && len(z.Spare) == 0 {
				return false
			}
		}
	}
	return d.fabric.healthyCount() == len(d.vms)
}

// zoneView returns the view of a running entry VM of the zone. It returns nil
// if no entry VM of the zone is running or the VM has no view yet.
func (d *Demo) zoneView(zone fleet.ZoneID) *fleet.View {
	for _, v := range d.runningVMs() {
		if v.zone == zone {
			return v.cluster.View()
		}
	}
	return nil
}

// stopLeader stops the control VM that is the leader.
func (d *Demo) stopLeader(ctx context.Context) {
	if id := d.control.stopLeader(ctx); id != "" {
		d.recordEvent("stop", "control VM %s, the leader", id)
	}
}

func (d *Demo) recordEvent(name, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event{at: time.Now(), name: name, detail: fmt.Sprintf(format, args...)})
}

// stopOwner starts the shutdown of the entry VM that owns the target of the
// first download. It does not wait for the VM to exit.
func (d *Demo) stopOwner(context.Context) {
	v := d.sheetOwner(0)
	if v == nil {
		return
	}
	d.recordEvent("planned stop", "entry VM %s, owner of a download in progress", v.member.ID)
	d.mu.Lock()
	v.down = true
	d.mu.Unlock()
	v.cancel(nil)
	go func() {
		err := <-v.done
		d.recordEvent("stopped", "entry VM %s has exited", v.member.ID)
		v.done <- err
	}()
}

// killOwner kills the first running entry VM that owns the target of a
// download.
func (d *Demo) killOwner(ctx context.Context) {
	for i := range d.opts.Sheets {
		v := d.sheetOwner(i)
		if v == nil {
			continue
		}
		d.recordEvent("crash", "entry VM %s, owner of a download in progress", v.member.ID)
		d.mu.Lock()
		v.down = true
		d.mu.Unlock()
		v.cancel(entry.KilledError{})
		return
	}
}

// drainTarget drains the target of the last download.
func (d *Demo) drainTarget(ctx context.Context) {
	targets := d.audit.targetsOf(sheetCallerAddr(d.opts.Sheets - 1))
	if len(targets) == 0 {
		return
	}
	t := targets[0]
	d.recordEvent("drain", "target %s of %s, with a download in progress", t.address, t.service)
	d.mu.Lock()
	d.drainedTarget = t
	d.mu.Unlock()
	t.drain(ctx)
}

// sheetOwner returns the entry VM that owns the target of the i-th download. It
// returns nil if the target or the owner is unknown or the owner is not
// running.
func (d *Demo) sheetOwner(i int) *vm {
	targets := d.audit.targetsOf(sheetCallerAddr(i))
	if len(targets) == 0 {
		return nil
	}
	t := targets[0]
	view := d.zoneView(t.zone)
	if view == nil {
		return nil
	}
	id := fleet.TargetID{Service: t.service, Address: t.address, Incarnation: 1}
	owner := placement.New(view).Owner(id.Key())
	index := slices.IndexFunc(d.vms, func(v *vm) bool { return v.member.ID == owner && !v.down })
	if index < 0 {
		return nil
	}
	return d.vms[index]
}

// logCounters logs the counters of each entry VM, which help to find out
// why a request broke.
func (d *Demo) logCounters() {
	for _, v := range d.vms {
		for _, stats := range v.daemon.Stats() {
			d.opts.Log.Info("counters", zap.String("vm", string(v.member.ID)),
				zap.Any("dropped", stats.Dropped), zap.Any("refused", stats.Refused), zap.Any("passed", stats.Passed),
				zap.Uint64("adopted", stats.Adopted), zap.Uint64("moved", stats.Moved), zap.Uint64("badControl", stats.InvalidControl),
				zap.Any("discarded", v.daemon.Discarded()))
		}
	}
}
