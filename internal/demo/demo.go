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

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	counterService = fleet.ServiceID("Lutto/Counter")
	sheetService   = fleet.ServiceID("Lutto/Sheets")
	credential     = "demo credential"

	vmsPerZone     = 3
	counterPerZone = 4
	sheetsPerZone  = 2

	// deadline is that of lookups and orders. After a crash the successor may
	// drop new orders for this time and 2 s, and callers give up after 5 s.
	deadline = 500 * time.Millisecond

	readyTimeout = 10 * time.Second
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
		council *council
		ledger  *ledger
		server  *tls.Config
		caller  *tls.Config
		vms     []*vm
		targets []*target

		mu       sync.Mutex
		events   []event
		results  []result
		draining *target
	}

	// vm is one entry VM of the run.
	vm struct {
		zone   fleet.ZoneID
		vm     fleet.VM
		daemon *entry.Daemon
		cancel context.CancelCauseFunc
		done   chan error
		down   bool
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
	d.council = newCouncil(d.opts.Seed, listeners(), []fleet.ServiceID{counterService, sheetService})
	for _, zone := range zones {
		for i := range vmsPerZone {
			if err := d.addVM(zone, i+1); err != nil {
				return err
			}
		}
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
	member := fleet.VM{
		ID:   fleet.VMID(fmt.Sprintf("%s-%d", zone, n)),
		Data: data.LocalAddr().(*net.UDPAddr).AddrPort(),
		HTTP: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	d.fabric.add(member)
	d.vms = append(d.vms, &vm{zone: zone, vm: member, done: make(chan error, 1), daemon: &entry.Daemon{
		Settings: &entry.Settings{
			ID: member.ID, Zone: zone, Data: member.Data, HTTP: member.HTTP,
			Fabric: []netip.AddrPort{d.fabric.address()}, Shards: 1,
			DrainTime: 10 * time.Second, QuietTime: time.Second, LeaseTime: 3 * announceInterval,
			TargetLimit: 64, AnnounceRate: 1000,
			Services: map[fleet.ServiceID]announce.Credential{
				counterService: announce.HashCredential(credential),
				sheetService:   announce.HashCredential(credential),
			},
		},
		Membership: d.council.join(zone, member),
		Recorder:   logRecorder{log: d.opts.Log.With(zap.String("vm", string(member.ID)))},
		Log:        d.opts.Log.With(zap.String("vm", string(member.ID))),
		Data:       data,
		HTTP:       listener,
	}})
	return nil
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
	group.Go(func() error { return d.council.run(ctx) })
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
	return group.Wait()
}

func (d *Demo) play(ctx context.Context) error {
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
		{t * 45 / 100, d.killOne},
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
	// The last view reaches each VM and is sealed within this time.
	return sleep(ctx, 2*settleTime+4*spreadTime)
}

func (d *Demo) ready() bool {
	known := 0
	for _, zone := range zones {
		_, targets, _ := d.council.zoneOf(zone)
		known += len(targets)
	}
	return known == len(d.targets) && d.fabric.healthyCount() == len(d.vms)
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

// killOne kills another owner; its zone notices after detectTime.
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
		time.AfterFunc(detectTime, func() { d.council.remove(v.vm.ID, true, time.Now()) })
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
	_, _, view := d.council.zoneOf(t.zone)
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
				zap.Uint64("adopted", stats.Adopted), zap.Uint64("moved", stats.Moved), zap.Uint64("badControl", stats.BadControl),
				zap.Any("discarded", v.daemon.Discarded()))
		}
	}
}

// logRecorder logs the events of an entry VM.
type logRecorder struct{ log *zap.Logger }

var _ timeline.Recorder = logRecorder{}

// Record logs the event.
func (r logRecorder) Record(e timeline.Event, now time.Time) {
	r.log.Debug("event", zap.Time("at", now), zap.Any("event", e))
}
