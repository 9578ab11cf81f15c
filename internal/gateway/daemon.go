package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

const (
	// bufferSize is the size in bytes of the buffers for datagrams. It exceeds the
	// size of the platform's packets with their headers.
	bufferSize = 2048
	// socketBuffer is the size in bytes of the receive buffer of the data socket:
	// packets wait there while the process is not scheduled.
	socketBuffer = 1 << 20
	// quietTime is the time without packets after which a draining VM assumes
	// that the routers send packets only to other VMs.
	quietTime = 300 * time.Millisecond
	// doubtTickInterval is the time between two searches for unanswered opening packets.
	// It is half of the shortest time after which one is a doubt.
	doubtTickInterval = 20 * time.Millisecond
	// minDrainTime is the minimum time of a drain. It covers the time after which
	// the routers stop sending packets to a draining VM: two failed health checks,
	// at two checks per second.
	minDrainTime = 1200 * time.Millisecond
	// releaseInterval is the time between two searches for held opening packets that
	// can't be answered in time any more. It is a small part of the shortest
	// objective of the deployments, 300 ms.
	releaseInterval = 10 * time.Millisecond
	// admissionDelay is the time after the start in which no opening packet is held or
	// refused for lack of room. It covers the repetitions of callers' packets that were
	// lost while this VM was down.
	admissionDelay = 2 * time.Second
	// bindingDelay is the time from a contested flow until it is reported, with others. A
	// crash in this time loses what only this VM knows.
	bindingDelay = 20 * time.Millisecond
	// readHeaderTimeout bounds the time to read the headers of an HTTP request.
	readHeaderTimeout = 2 * time.Second
)

type (
	// Settings holds the settings of one entry VM.
	Settings struct {
		ID   fleet.VMID
		Zone fleet.ZoneID
		// Data is the address that receives packets, and HTTP the address that
		// serves health checks.
		Data, HTTP netip.AddrPort
		// Metrics is the address that serves metrics. If it is unset, metrics are
		// not served.
		Metrics netip.AddrPort
		// Seeds holds the HTTP addresses of some hubs.
		Seeds []netip.AddrPort
		// Feed is the port of the feed on every hub.
		Feed uint16
		// Regions contains the known zones with their regions.
		Regions map[fleet.ZoneID]fleet.RegionID
		// ZoneOrders is set if operators may evacuate zones, and LoadReports if entry
		// VMs share their measurements of targets and load.
		ZoneOrders, LoadReports bool
		// DrainTime is the time after which a drain ends although packets still
		// arrive. A drain takes at least minDrainTime.
		DrainTime time.Duration
	}

	// Codec decodes and encodes the packets of a platform.
	Codec interface {
		// Decode decodes a packet of a caller into p. It returns an error for a
		// malformed packet.
		Decode(b []byte, p *steering.Packet) error
		// Forward appends to dst the datagram that forwards packet b to target t.
		Forward(dst, b []byte, t *steering.Target) []byte
		// Reset appends to dst a datagram that resets the flow of packet b. It
		// returns the extended slice and the destination of the datagram.
		Reset(dst, b []byte, p *steering.Packet) ([]byte, netip.AddrPort)
		// Matches reports whether the response to a health check comes from target t.
		Matches(r *http.Response, t *steering.Target) bool
	}

	// Daemon runs one entry VM. Exported fields must be set before Run.
	Daemon struct {
		Settings *Settings
		Codec    Codec
		// Handler returns the HTTP handler with the platform's health check.
		Handler func(d *Daemon) http.Handler
		Log     *zap.Logger
		// LinesDropped returns the number of log lines that were lost because the
		// output was not read.
		LinesDropped func() uint64

		core    *steering.Core
		salt    uint64
		backlog steering.Backlog
		// held is signalled when an opening packet is held, and contested when a contested
		// flow is to be reported.
		held, contested chan struct{}
		conn            *net.UDPConn
		follower        follower
		checker         checker
		observer        observer
		ready           atomic.Bool
		draining        atomic.Bool
		// refusing is set if the last line of logConfirmation says that new flows are
		// refused. Only the goroutine of runTicks uses it.
		refusing   bool
		packets    atomic.Uint64
		invalid    atomic.Uint64
		suspension steering.Suspension
		// stale counts the opening packets that were dropped because they had waited while
		// this process was suspended.
		stale       atomic.Uint64
		failedSends atomic.Uint64
	}

	// OpenError reports a port that can't be opened, or a failure of the HTTP
	// server.
	OpenError struct {
		What string
		Err  error
	}

	// SocketError reports a failure of the data socket.
	SocketError struct {
		Op  string
		Err error
	}
)

// Error returns what can't be opened and the cause.
func (e *OpenError) Error() string { return fmt.Sprintf("open %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

// Error returns the operation and the cause.
func (e *SocketError) Error() string { return fmt.Sprintf("data socket: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// Ready reports whether the VM has received the state that it needs to forward
// packets, does not refuse new flows because the state is not confirmed, and is not
// draining.
func (d *Daemon) Ready() bool {
	return d.ready.Load() && !d.draining.Load() && !d.core.Refuses(time.Now())
}

// SetSeeds replaces the configured addresses of hubs. It is safe for concurrent
// use, but has no effect before Run, which sets the seeds of the settings.
func (d *Daemon) SetSeeds(seeds []netip.AddrPort) { d.follower.setSeeds(seeds) }

// Run serves until ctx ends, and then drains: it continues to forward packets
// until none arrive for quietTime or the DrainTime of the settings has passed,
// but for at least minDrainTime. It returns an OpenError, a SocketError, or the
// error of another server that fails or of closing the sockets.
func (d *Daemon) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.Settings.Data))
	if err != nil {
		return &OpenError{What: "the data port", Err: err}
	}
	defer conn.Close()
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		d.Log.Warn("receive buffer size of the data socket could not be set", zap.Error(err))
	}
	httpListener, err := net.Listen("tcp", d.Settings.HTTP.String())
	if err != nil {
		return &OpenError{What: "the HTTP port", Err: err}
	}
	d.conn = conn
	d.held, d.contested = make(chan struct{}, 1), make(chan struct{}, 1)
	d.salt = xxhash.Sum64String(string(d.Settings.ID))
	d.core = steering.New(d.Settings.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	d.core.Regions = d.Settings.Regions
	d.suspension.Resumed = d.resumed
	if d.Settings.LoadReports {
		d.core.UseLoadReports()
		d.core.Capacity = d.core.Estimate
		d.core.Admission, d.core.LoadReports = true, true
		d.core.AdmissionDelay = admissionDelay
	}
	d.follower.Hello = feed.Hello{VM: d.Settings.ID, Zone: d.Settings.Zone, Role: feed.Entry}
	d.follower.Port, d.follower.Log = d.Settings.Feed, d.Log
	d.follower.Core, d.follower.Apply = d.core, d.applyMirror
	d.follower.setSeeds(d.Settings.Seeds)
	d.checker.Core, d.checker.Matches, d.checker.Log = d.core, d.Codec.Matches, d.Log
	d.checker.Changed = d.follower.acknowledgeAgain
	d.checker.semaphore = make(chan struct{}, maxChecks)
	if d.Settings.LoadReports {
		d.checker.semaphore = make(chan struct{}, maxSharedChecks)
	}
	d.observer.Log, d.observer.Suspected, d.observer.Ages = d.Log, d.checker.start, d.follower.ages
	d.observer.openTimes, d.observer.flowTimes = newHistograms()
	d.core.Observer = &d.observer
	server := &http.Server{Handler: d.Handler(d), ReadHeaderTimeout: readHeaderTimeout}
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, workCtx := errgroup.WithContext(workCtx)
	d.checker.ctx = workCtx
	metrics, err := d.listenMetrics()
	if err != nil {
		return err
	}
	d.Log.Info("entry VM started", zap.String("Zone", string(d.Settings.Zone)))
	group.Go(func() error { return d.follower.run(workCtx) })
	group.Go(func() error {
		return runTicks(workCtx, runInterval, func(now time.Time) {
			d.suspension.Observe(now)
			d.logConfirmation(now)
		})
	})
	group.Go(func() error { return d.reportBindings(workCtx) })
	group.Go(func() error { return d.receive(workCtx) })
	group.Go(func() error { return d.checker.run(workCtx) })
	if d.Settings.LoadReports {
		group.Go(func() error { return d.releaseHeld(workCtx) })
		group.Go(func() error { return runTicks(workCtx, doubtTickInterval, d.lookForDoubts) })
	}
	group.Go(func() error {
		if err := server.Serve(httpListener); !errors.Is(err, http.ErrServerClosed) {
			return &OpenError{What: "the HTTP interface", Err: err}
		}
		return nil
	})
	group.Go(func() error {
		return logging.ServeMetrics(workCtx, metrics, &collector{d}, d.observer.openTimes, d.observer.flowTimes)
	})
	group.Go(func() error {
		d.drain(ctx, workCtx)
		stop()
		return errors.Join(server.Close(), conn.Close())
	})
	err = group.Wait()
	d.Log.Info("entry VM stopped", zap.Error(err))
	return err
}

// listenMetrics opens the metrics port. It returns nil if the settings have none.
func (d *Daemon) listenMetrics() (net.Listener, error) {
	if !d.Settings.Metrics.IsValid() {
		return nil, nil
	}
	l, err := net.Listen("tcp", d.Settings.Metrics.String())
	if err != nil {
		return nil, &OpenError{What: "the metrics port", Err: err}
	}
	return l, nil
}

// applyMirror changes the targets of the core's view, or replaces the view.
func (d *Daemon) applyMirror(m *mirror, c *mirrorChange, now time.Time) {
	if c.rebuilt {
		d.core.SetView(m.view(d.salt, now))
	} else {
		d.core.Change(c.records, now)
	}
	// The targets come first: the targets that were known before may all be in zones that
	// the same update evacuates, and new flows would be refused. Packets that wait are
	// released after both.
	if c.zones {
		d.core.SetZones(m.zones, now)
	}
	if m.ready() && !d.ready.Load() {
		d.ready.Store(true)
		d.releaseBacklog(now)
		d.Log.Info("entry VM is ready", zap.Uint64("Number", uint64(m.number())), zap.Int("Targets", len(m.records)))
	}
}

// drain waits until ctx ends, which begins the drain. It then waits for
// minDrainTime, and after that until no packets arrive for quietTime and none is
// held, or until DrainTime has passed since the drain began. It returns at once if workCtx ends
// before ctx.
func (d *Daemon) drain(ctx, workCtx context.Context) {
	select {
	case <-workCtx.Done():
		return
	case <-ctx.Done():
	}
	d.draining.Store(true)
	d.Log.Info("entry VM is draining")
	end := time.Now().Add(d.Settings.DrainTime)
	time.Sleep(minDrainTime)
	for last := d.packets.Load(); time.Now().Before(end); {
		time.Sleep(quietTime)
		n := d.packets.Load()
		if n == last && d.core.Waiting() == 0 {
			return
		}
		last = n
	}
}

// receive reads packets and executes the core's decisions.
func (d *Daemon) receive(ctx context.Context) error {
	in := make([]byte, bufferSize)
	out := make([]byte, 0, bufferSize)
	var p steering.Packet
	r, err := newPacketReader(d.conn)
	if err != nil {
		return &SocketError{Op: "open", Err: err}
	}
	for {
		n, err := r.read(in)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return &SocketError{Op: "read", Err: err}
		}
		d.packets.Add(1)
		b := in[:n]
		if err := d.Codec.Decode(b, &p); err != nil {
			d.invalid.Add(1)
			continue
		}
		now := time.Now()
		d.suspension.Observe(now)
		p.Waited = d.suspension.MaxAge(r.emptyAt, now)
		if !d.ready.Load() && d.backlog.Hold(&p, b, now) {
			continue
		}
		out = d.execute(out[:0], b, &p, 0, now)
		out = d.release(out, now)
		if d.core.BindingsDue() {
			select {
			case d.contested <- struct{}{}:
			default:
			}
		}
	}
}

// releaseHeld releases held opening packets regularly while there are any, until ctx
// ends.
func (d *Daemon) releaseHeld(ctx context.Context) error {
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.held:
		}
		for d.core.Waiting() > 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(releaseInterval):
			}
			out = d.release(out, time.Now())
		}
	}
}

// lookForDoubts looks for unanswered opening packets, and reports doubts that their health
// checks have not ended.
func (d *Daemon) lookForDoubts(now time.Time) {
	d.suspension.Observe(now)
	d.core.Tick(now)
	if d.core.ReportDue(now) {
		d.follower.acknowledgeAgain()
	}
}

// reportBindings reports contested flows until ctx ends.
func (d *Daemon) reportBindings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.contested:
		}
		for d.core.BindingsDue() {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(bindingDelay):
			}
			d.follower.acknowledgeAgain()
		}
	}
}

// release carries out the decisions about the opening packets that the core releases.
func (d *Daemon) release(out []byte, now time.Time) []byte {
	d.suspension.Observe(now)
	for _, h := range d.core.Release(now) {
		out = d.carryOut(out[:0], h.Data, &h.Packet, &h.Decision, h.Waited, now)
	}
	return out
}

// releaseBacklog executes the decisions about the packets that arrived before this
// VM was ready.
func (d *Daemon) releaseBacklog(now time.Time) {
	packets, dropped := d.backlog.Release(now)
	d.Log.Info("packets held until the VM was ready", zap.Int("Released", len(packets)), zap.Int("Dropped", dropped))
	var out []byte
	for i := range packets {
		h := &packets[i]
		out = d.execute(out[:0], h.Data, &h.Packet, now.Sub(h.Arrived), now)
	}
}

// execute decides about a packet, which was held for some time before, and carries
// out the decision.
func (d *Daemon) execute(out, b []byte, p *steering.Packet, held time.Duration, now time.Time) []byte {
	decision := d.core.DecideData(p, b, now)
	return d.carryOut(out, b, p, &decision, held, now)
}

func (d *Daemon) carryOut(out, b []byte, p *steering.Packet, decision *steering.Decision, held time.Duration, now time.Time) []byte {
	if decision.Cause == steering.CauseSuspended {
		d.stale.Add(1)
	}
	d.observer.logDecision(p, decision, held, now)
	var to netip.AddrPort
	switch decision.Op {
	case steering.Forward:
		out = d.Codec.Forward(out, b, decision.Target)
		to = decision.Target.ID.Address
	case steering.Reset:
		out, to = d.Codec.Reset(out, b, p)
	case steering.Hold:
		select {
		case d.held <- struct{}{}:
		default:
		}
		return out
	default:
		return out
	}
	// A datagram that can't be sent is dropped, like one lost on the network.
	if _, err := d.conn.WriteToUDPAddrPort(out, to); err != nil {
		d.failedSends.Add(1)
	}
	return out
}
