package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/internal/probe"
	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// controlInterval is the time between two runs of the periodic work of the
	// control goroutine: expiry of announcement leases, probes, reports of free
	// slots and health evaluation.
	controlInterval = 250 * time.Millisecond
	// stallTimeout is the time without a tick after which a shard is reported as
	// stalled.
	stallTimeout = 2 * time.Second
	// shutdownTimeout is the maximum time that the HTTP server waits for requests
	// in progress when the daemon stops.
	shutdownTimeout = time.Second
	// socketBufferSize is the size of the receive and send buffers of the data
	// socket in bytes. The buffers absorb bursts while the daemon is busy.
	socketBufferSize = 4 << 20
)

type (
	// Daemon is the daemon of one entry VM. Its exported fields must be set before
	// Run.
	Daemon struct {
		Settings   *Settings
		Membership Membership
		Recorder   timeline.Recorder
		// Timeline, if set, is served over HTTP.
		Timeline *timeline.Ring
		Log      *zap.Logger
		// Data and HTTP are the sockets. If one is nil, Run opens it at the address
		// in the settings.
		Data *net.UDPConn
		HTTP net.Listener

		adapter      *geneve.Adapter
		shards       []*shard
		registry     *announce.Registry
		controlCalls chan func(now time.Time)
		updates      chan Update
		stopped      chan struct{}
		view         atomic.Pointer[fleet.View]
		leaving      atomic.Bool
		// leaseUntil is the end of the lease in Unix nanoseconds, or 0 without a
		// lease.
		leaseUntil atomic.Int64
		// revisionAt is the time at which the current settings revision was
		// applied, in Unix nanoseconds.
		revisionAt atomic.Int64
		client     *http.Client
		checks     healthChecker
		// owners caches the placement of the last view that owner was called with.
		// Only the control goroutine uses it.
		owners *placement.Map
	}

	// KilledError simulates a crash in tests and in the demo. If it is the
	// cancellation cause of the context passed to Run, Run does not drain.
	KilledError struct{}

	// StoppedError reports a call to a daemon that has stopped.
	StoppedError struct{}
)

// Error implements error.
func (KilledError) Error() string { return "killed" }

// Error implements error.
func (StoppedError) Error() string { return "entry daemon has stopped" }

// Run serves until ctx is done and then drains: it keeps handling packets until
// none has arrived for QuietTime and all flow records are acknowledged, but no
// longer than DrainTime. Run does not drain if the cancellation cause is a
// KilledError.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.openSockets(); err != nil {
		return err
	}
	d.initialize()
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serveCtx := errgroup.WithContext(serveCtx)
	d.start(serveCtx, group)
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			d.leave(serveCtx, context.Cause(ctx))
		case <-serveCtx.Done():
		}
		return nil
	})
	d.record(timeline.Event{Kind: timeline.KindStart, Name: "Started"})
	d.Log.Info("entry VM started", zap.Stringer("data", d.Data.LocalAddr()), zap.Stringer("http", d.HTTP.Addr()))
	err := group.Wait()
	d.client.CloseIdleConnections()
	d.record(timeline.Event{Kind: timeline.KindStop, Name: "Stopped"})
	d.Log.Info("entry VM stopped", zap.Error(err))
	return err
}

func (d *Daemon) openSockets() error {
	if d.Data == nil {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(d.Settings.Data))
		if err != nil {
			return fmt.Errorf("open data port: %w", err)
		}
		d.Data = conn
	}
	// If setting a size fails, the system default remains in use.
	_ = d.Data.SetReadBuffer(socketBufferSize)
	_ = d.Data.SetWriteBuffer(socketBufferSize)
	if d.HTTP == nil {
		listener, err := net.Listen("tcp", d.Settings.HTTP.String())
		if err != nil {
			d.Data.Close()
			return fmt.Errorf("open HTTP port: %w", err)
		}
		d.HTTP = listener
	}
	return nil
}

func (d *Daemon) initialize() {
	if d.Recorder == nil {
		d.Recorder = timeline.Discard{}
	}
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Membership == nil {
		d.Membership = &StaticMembership{Settings: d.Settings}
	}
	d.controlCalls = make(chan func(time.Time))
	d.updates = make(chan Update)
	d.stopped = make(chan struct{})
	d.adapter = &geneve.Adapter{
		Conn:     d.Data,
		Fabric:   d.Settings.Fabric,
		Sources:  d.Settings.FabricSources,
		Counters: geneve.NewCounters(),
	}
	d.registry = &announce.Registry{
		Self:      d.Settings.ID,
		Data:      d.Settings.Data,
		Zone:      d.Settings.Zone,
		LeaseTime: d.Settings.LeaseTime,
		Limit:     d.Settings.TargetLimit,
		Services:  d.Settings.Services,
		Owner:     d.owner,
	}
	d.checks = healthChecker{
		prober:     probe.Prober{Self: d.Settings.ID, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		probeSlots: make(chan struct{}, maxProbes),
		reports:    make(chan receivedReport, maxReports),
	}
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}}
	for i := range d.Settings.Shards {
		d.shards = append(d.shards, d.newShard(uint8(i)))
	}
}

// owner returns the owner of a target in a view. It must be called in the
// control goroutine.
func (d *Daemon) owner(v *fleet.View, key fleet.TargetKey) fleet.VMID {
	if d.owners == nil || d.owners.View() != v {
		d.owners = placement.New(v)
	}
	return d.owners.Owner(key)
}

func (d *Daemon) newShard(i uint8) *shard {
	s := newShard(d.adapter.NewSender(i))
	s.core = balancer.New(balancer.Config{
		Self:     d.Settings.ID,
		Retries:  &admission.RetryBudget{},
		Recorder: d.Recorder,
	})
	return s
}

func (d *Daemon) start(ctx context.Context, group *errgroup.Group) {
	for _, s := range d.shards {
		group.Go(func() error { s.run(ctx); return nil })
	}
	group.Go(func() error { return d.adapter.Receive(ctx, d.deliver) })
	group.Go(func() error { return d.control(ctx) })
	if m, ok := d.Membership.(ReportTransport); ok {
		m.OnReport(d.receiveReport)
	}
	group.Go(func() error { return d.Membership.Run(ctx, d.apply) })
	group.Go(func() error { return d.serveHTTP(ctx) })
}

// deliver queues a packet for the shard of the packet's flow, or a control
// message for the shard named in the message. If the queue is full, deliver
// drops the datagram, as the kernel does if a socket buffer is full.
func (d *Daemon) deliver(r *geneve.Received) {
	s := d.shards[d.shardOf(r)]
	select {
	case s.packets <- r:
	default:
		d.adapter.Counters.Discard(geneve.QueueFull)
		r.Release()
	}
}

func (d *Daemon) shardOf(r *geneve.Received) int {
	if r.Message != nil {
		return int(r.Shard) % len(d.shards)
	}
	return int(uint64(r.Packet.Flow.Hash()) % uint64(len(d.shards)))
}

// apply passes an update to the control goroutine and waits until all shards
// have applied it or the daemon has stopped.
func (d *Daemon) apply(u Update) {
	u.applied = make(chan struct{}, len(d.shards))
	select {
	case d.updates <- u:
	case <-d.stopped:
		return
	}
	for range d.shards {
		select {
		case <-u.applied:
		case <-d.stopped:
			return
		}
	}
}

// callControl runs f in the control goroutine and waits for f to return. It
// returns a StoppedError after the daemon has stopped, or the error of ctx.
func (d *Daemon) callControl(ctx context.Context, f func(r *announce.Registry, now time.Time)) error {
	done := make(chan struct{})
	call := func(now time.Time) {
		f(d.registry, now)
		close(done)
	}
	select {
	case d.controlCalls <- call:
		<-done
		return nil
	case <-d.stopped:
		return StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// control is the control goroutine, which owns the view and the registry.
func (d *Daemon) control(ctx context.Context) error {
	defer close(d.stopped)
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-d.updates:
			d.update(ctx, u, time.Now())
		case r := <-d.checks.reports:
			d.handleReport(r.from, r.report, time.Now())
		case f := <-d.controlCalls:
			f(time.Now())
		case <-tick.C:
			now := time.Now()
			d.expire(now)
			d.probeTargets(ctx, now)
			d.reportSpare()
			if d.evaluateTargets(now) {
				d.reportTargets(d.registry)
			}
		}
	}
}

func (d *Daemon) update(ctx context.Context, u Update, now time.Time) {
	d.storeLease(u.LeaseUntil)
	if u.Services != nil {
		d.registry.Services = u.Services
	}
	if u.Probes != nil {
		d.checks.setEndpoints(u.Probes)
	}
	if u.View != nil {
		d.adapter.SetView(u.View, now)
		dropped := d.registry.SetView(u.View, now)
		if old := d.view.Load(); old == nil || old.Revision != u.View.Revision {
			d.revisionAt.Store(now.UnixNano())
		}
		d.view.Store(u.View)
		if dropped {
			d.reportTargets(d.registry)
		}
		d.checks.prober.SetView(u.View, d.checks.endpoints, now)
		d.record(timeline.Event{Kind: timeline.KindView, Name: "Applied", Epoch: u.View.Epoch})
	}
	for _, s := range d.shards {
		select {
		case s.updates <- u:
		case <-ctx.Done():
		}
	}
}

// storeLease publishes the end of the lease to other goroutines. If there is no
// lease, until is the zero time, which is out of range for UnixNano. storeLease
// then stores 0.
func (d *Daemon) storeLease(until time.Time) {
	if until.IsZero() {
		d.leaseUntil.Store(0)
		return
	}
	d.leaseUntil.Store(until.UnixNano())
}

func (d *Daemon) expire(now time.Time) {
	gone := d.registry.Expire(now)
	for _, id := range gone {
		d.Log.Info("announcement lease ended", zap.Stringer("target", id))
		d.record(timeline.Event{Kind: timeline.KindTarget, Name: "LeaseEnd", Target: id.String(), Service: id.Service})
	}
	if len(gone) > 0 {
		d.reportTargets(d.registry)
	}
}

func (d *Daemon) reportTargets(r *announce.Registry) { d.Membership.Report(r.Targets()) }

// leave requests a view without this VM and waits until no packet has arrived
// for QuietTime and all flow records are acknowledged, at most for DrainTime.
func (d *Daemon) leave(ctx context.Context, cause error) {
	if errors.As(cause, &KilledError{}) {
		return
	}
	d.leaving.Store(true)
	d.record(timeline.Event{Kind: timeline.KindStop, Name: "Leaving"})
	d.Log.Info("entry VM is leaving")
	d.Membership.Leave()
	drainTimer := time.NewTimer(d.Settings.DrainTime)
	defer drainTimer.Stop()
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	quietSince, lastReceived := time.Now(), d.receivedPackets()
	for {
		select {
		case <-ctx.Done():
			return
		case <-drainTimer.C:
			d.Log.Warn("drain time expired before the VM was idle")
			return
		case now := <-tick.C:
			if n := d.receivedPackets(); n != lastReceived {
				quietSince, lastReceived = now, n
			}
			if now.Sub(quietSince) >= d.Settings.QuietTime && d.recordsAcknowledged() {
				return
			}
		}
	}
}

// recordsAcknowledged reports whether the other VMs have acknowledged all flow
// records, as of the last update of the shard statistics (see statsInterval).
func (d *Daemon) recordsAcknowledged() bool {
	for _, s := range d.shards {
		if s.stats.Load().Outbox > 0 {
			return false
		}
	}
	return true
}

func (d *Daemon) receivedPackets() uint64 {
	c := d.adapter.Counters
	return c.FromFabric.Load() + c.FromPeer.Load() + c.FromTarget.Load()
}

func (d *Daemon) record(e timeline.Event) {
	e.Zone = d.Settings.Zone
	d.Recorder.Record(e, time.Now())
}

func (d *Daemon) serveHTTP(ctx context.Context) error {
	server := &http.Server{
		Handler:           d.handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		MaxHeaderBytes:    16 << 10,
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	err := server.Serve(d.HTTP)
	if stop() {
		return fmt.Errorf("serve HTTP: %w", err)
	}
	<-stopped
	return nil
}

func (d *Daemon) newAnnounceServer() *announce.Server {
	return &announce.Server{
		Self:      d.Settings.ID,
		Control:   d.callControl,
		Changed:   d.reportTargets,
		Members:   d.members,
		Client:    d.client,
		PerClient: rate.Limit(d.Settings.AnnounceRate),
		Burst:     int(2*d.Settings.AnnounceRate) + 1,
	}
}

func (d *Daemon) members() []fleet.VM {
	if v := d.view.Load(); v != nil {
		return v.Members
	}
	return nil
}

// Stats returns the statistics of each shard, which are updated about every
// statsInterval.
func (d *Daemon) Stats() []balancer.Stats {
	out := make([]balancer.Stats, len(d.shards))
	for i, s := range d.shards {
		out[i] = *s.stats.Load()
	}
	return out
}

// Discarded returns the numbers of datagrams that the adapter discarded, by
// reason.
func (d *Daemon) Discarded() map[geneve.Reason]uint64 { return d.adapter.Counters.Discarded() }
