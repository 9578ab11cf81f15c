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

	// vmsPerZone leaves a majority of the council after a stop and a crash in
	// one zone.
	vmsPerZone     = 5
	counterPerZone = 4
	sheetsPerZone  = 2

	// deadline is that of lookups and orders. After a crash the successor may
	// drop new orders for this time and 2 s, and callers give up after 5 s.
	deadline = 1500 * time.Millisecond

	// readyTimeout is no guarantee; it ends a run whose parts do not start.
	readyTimeout = time.Minute
	// drainLimit is the time after which a leaving target gets no new work.
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
	// Options are the sizes of a run; zero values take defaults.
	Options struct {
		// Traffic is the time in which requests start.
		Traffic time.Duration
		// Lookups, Orders and TCPOrders are requests per second.
		Lookups, Orders, TCPOrders float64
		// Sheets is the number of long downloads.
		Sheets int
		Seed   uint64
		Out    io.Writer
		Log    *zap.Logger
	}

	// Demo is one run.
	Demo struct {
		opts    Options
		fabric  *fabric
		control *controlPlane
		ledger  *ledger
		server  *tls.Config
		caller  *tls.Config
		vms     []*vm
		targets []*target

		mu             sync.Mutex
		events         []event
		results        []result
		draining       *target
		changes        int
		configFailures []string
	}

	// vm is one entry VM of the run.
	vm struct {
		zone    fleet.ZoneID
		vm      fleet.VM
		daemon  *entry.Daemon
		cluster *cluster.Cluster
		cancel  context.CancelCauseFunc
		done    chan error
		down    bool
	}

	// event is a change that the run makes on purpose.
	event struct {
		at   time.Time
		name string
		what string
	}

	// NotReadyError reports a demo whose parts did not start in time.
	NotReadyError struct{ Part string }
)

// Error names the part.
func (e *NotReadyError) Error() string { return e.Part + " did not get ready in time" }

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
	order := kind("Order", 0, 0.5, deadline, false)
	return []fleet.Listener{
		{Address: lookupVIP, Protocol: fleet.UDP, Service: counterService, Answers: fleet.Direct, Kind: kind("Lookup", 2, 0.3, deadline, true)},
		{Address: orderVIP, Protocol: fleet.UDP, Service: counterService, Answers: fleet.Through, Kind: order},
		{Address: orderTCPVIP, Protocol: fleet.TCP, Service: counterService, Answers: fleet.Through, Kind: order},
		{Address: sheetVIP, Protocol: fleet.UDP, Service: sheetService, Answers: fleet.Through, Kind: kind("Sheet", 1, 0.5, time.Minute, true)},
	}
}

// Run runs the demo, prints a summary and returns its report; an error means
// that the demo itself could not run.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts.setDefaults()
	d := &Demo{opts: opts, ledger: newLedger()}
	if err := d.prepare(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d.start(ctx, group)
	err := d.play(ctx)
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
	if d.server, d.caller, err = certificates(); err != nil {
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
	d.join()
	for _, zone := range zones {
		for range counterPerZone {
			if err := d.addTarget(zone, counterService); err != nil {
				return err
			}
		}
		for range sheetsPerZone {
			if err := d.addTarget(zone, sheetService); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Demo) addVM(zone fleet.ZoneID, n int) error {
	data, err := listenUDP()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	conn, pulls, err := openPair()
	if err != nil {
		return err
	}
	member := fleet.VM{
		ID:      fleet.VMID(fmt.Sprintf("%s-%d", zone, n)),
		Control: tcpAddress(pulls),
		Data:    data.LocalAddr().(*net.UDPAddr).AddrPort(),
		HTTP:    tcpAddress(listener),
	}
	log := d.opts.Log.With(zap.String("vm", string(member.ID)))
	ring := timeline.NewRing(member.ID)
	c := cluster.New()
	c.Self, c.Zone, c.Incarnation = member, zone, fleet.Incarnation(time.Now().UnixNano())
	c.Socket = &peer.Socket{Self: member.ID, Conn: conn, Clock: ring.Clock}
	c.PullListener, c.Recorder, c.Log = pulls, ring, log
	d.fabric.add(member)
	d.vms = append(d.vms, &vm{zone: zone, vm: member, cluster: c, done: make(chan error, 1), daemon: &entry.Daemon{
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
		Data:       data,
		HTTP:       listener,
	}})
	return nil
}

// join tells each VM the first VMs and the control VMs to ask.
func (d *Demo) join() {
	members := make(map[fleet.ZoneID][]fleet.VM)
	for _, v := range d.vms {
		members[v.zone] = append(members[v.zone], v.vm)
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
	t, err := newTarget(zone, service, d.fabric.address(), d.ledger, func() []fleet.VM { return d.zoneVMs(zone) })
	if err != nil {
		return err
	}
	d.targets = append(d.targets, t)
	return nil
}

// zoneVMs returns the entry VMs to which targets of the zone announce
// themselves.
func (d *Demo) zoneVMs(zone fleet.ZoneID) []fleet.VM {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []fleet.VM
	for _, v := range d.vms {
		if v.zone == zone && !v.down {
			out = append(out, v.vm)
		}
	}
	return out
}

func (d *Demo) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return d.fabric.run(ctx) })
	group.Go(func() error { return d.fabric.checkHealth(ctx) })
	d.control.start(ctx)
	for _, v := range d.vms {
		// A VM ends by its own context, so that the demo can stop or kill it.
		own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		v.cancel = cancel
		go func() { v.done <- v.daemon.Run(own) }()
	}
	for _, t := range d.targets {
		group.Go(func() error { return t.serve(ctx, d.server, t.handler(d.sheetSize())) })
		group.Go(func() error { return t.announceLoop(ctx) })
	}
}

// sheetSize makes a download last for most of the run.
func (d *Demo) sheetSize() int {
	chunks := int(d.opts.Traffic * 9 / 10 / sheetPause)
	return max(chunks, 1) * sheetChunk
}

// stop ends what still runs.
func (d *Demo) stop(group *errgroup.Group) error {
	for _, v := range d.vms {
		v.cancel(entry.KilledError{})
		if err := <-v.done; err != nil {
			return fmt.Errorf("entry VM %s: %w", v.vm.ID, err)
		}
	}
	if err := d.control.stop(); err != nil {
		return err
	}
	return group.Wait()
}

func (d *Demo) play(ctx context.Context) error {
	if err := d.control.configure(ctx, d.vms); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	var requests sync.WaitGroup
	begin := time.Now()
	d.traffic(ctx, &requests)
	t := d.opts.Traffic
	steps := []struct {
		at time.Duration
		do func(context.Context)
	}{
		{t * 2 / 10, d.planStop},
		{t * 3 / 10, d.changeSettings},
		{t * 45 / 100, d.killOne},
		{t * 55 / 100, d.stopLeader},
		{t * 6 / 10, d.changeSettings},
		{t * 7 / 10, d.drainOne},
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

// waitReady waits until all entry VMs are healthy and all targets are in the
// views.
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
	// VMs that have just formed a zone do not know what earlier lives of the
	// zone decided, and drop orders until late duplicates of those are gone.
	return sleep(ctx, max(deadline+2*time.Second, balancer.PredecessorTimeout)+time.Second)
}

// ready reports whether all VMs have a sealed view of all VMs and targets of
// their zone and see the other zones with their free slots.
func (d *Demo) ready() bool {
	for _, v := range d.vms {
		view := v.cluster.View()
		if view == nil || !view.Sealed || len(view.Members) != vmsPerZone || len(view.Targets) != counterPerZone+sheetsPerZone {
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

// viewOf returns the view of a VM of the zone that runs.
func (d *Demo) viewOf(zone fleet.ZoneID) *fleet.View {
	for _, v := range d.running() {
		if v.zone == zone {
			return v.cluster.View()
		}
	}
	return nil
}

// stopLeader stops the control VM that leads.
func (d *Demo) stopLeader(ctx context.Context) {
	if id := d.control.stopLeader(ctx); id != "" {
		d.note("stop", "control VM %s, the leader", id)
	}
}

func (d *Demo) note(name, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event{at: time.Now(), name: name, what: fmt.Sprintf(format, args...)})
}

// planStop stops the entry VM that owns the target of a running download.
func (d *Demo) planStop(context.Context) {
	v := d.ownerOfSheet(0)
	if v == nil {
		return
	}
	d.note("planned stop", "entry VM %s, owner of a download in progress", v.vm.ID)
	d.mu.Lock()
	v.down = true
	d.mu.Unlock()
	v.cancel(nil)
	go func() {
		err := <-v.done
		d.note("stopped", "entry VM %s has exited", v.vm.ID)
		v.done <- err
	}()
}

// killOne kills another owner.
func (d *Demo) killOne(ctx context.Context) {
	for i := range d.opts.Sheets {
		v := d.ownerOfSheet(i)
		if v == nil {
			continue
		}
		d.note("crash", "entry VM %s, owner of a download in progress", v.vm.ID)
		d.mu.Lock()
		v.down = true
		d.mu.Unlock()
		v.cancel(entry.KilledError{})
		return
	}
}

// drainOne drains a target of a running download.
func (d *Demo) drainOne(ctx context.Context) {
	places := d.ledger.placesOf(sheetCaller(d.opts.Sheets - 1))
	if len(places) == 0 {
		return
	}
	t := places[0]
	d.note("drain", "target %s of %s, with a download in progress", t.address, t.service)
	d.mu.Lock()
	d.draining = t
	d.mu.Unlock()
	t.drain(ctx)
}

// ownerOfSheet returns the running entry VM that owns the target of a
// download, or nil.
func (d *Demo) ownerOfSheet(i int) *vm {
	places := d.ledger.placesOf(sheetCaller(i))
	if len(places) == 0 {
		return nil
	}
	t := places[0]
	view := d.viewOf(t.zone)
	if view == nil {
		return nil
	}
	id := fleet.TargetID{Service: t.service, Address: t.address, Incarnation: 1}
	owner := placement.New(view).Owner(id.Key())
	at := slices.IndexFunc(d.vms, func(v *vm) bool { return v.vm.ID == owner && !v.down })
	if at < 0 {
		return nil
	}
	return d.vms[at]
}

// logCounters logs what each entry VM dropped, to trace broken requests.
func (d *Demo) logCounters() {
	for _, v := range d.vms {
		for _, stats := range v.daemon.Stats() {
			d.opts.Log.Info("counters", zap.String("vm", string(v.vm.ID)),
				zap.Any("dropped", stats.Dropped), zap.Any("refused", stats.Refused), zap.Any("passed", stats.Passed),
				zap.Uint64("adopted", stats.Adopted), zap.Uint64("moved", stats.Moved), zap.Uint64("badControl", stats.InvalidControl),
				zap.Any("discarded", v.daemon.Discarded()))
		}
	}
}
