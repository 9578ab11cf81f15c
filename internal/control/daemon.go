package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/internal/replication"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// initialIncarnation is the incarnation of the first replicas of a fleet.
	// All of these replicas must use the same value.
	initialIncarnation = 1
	dirMode            = 0o700
	shutdownTimeout    = time.Second
	readHeaderTimeout  = 5 * time.Second
	// callTimeout bounds the times to read a call and to write its response, so that
	// slow callers hold no memory for long.
	callTimeout     = 30 * time.Second
	idleConnTimeout = time.Minute
	maxHeaderBytes  = 16 << 10
)

type (
	// Sockets are the open listeners and sockets of a control VM.
	Sockets struct {
		HTTP         net.Listener
		Replication  net.Listener
		ControlConn  *net.UDPConn
		PullListener net.Listener
	}

	// OpenError reports a port, a directory or another resource that can't be
	// opened.
	OpenError struct {
		Resource string
		Err      error
	}
)

// Error names the resource that can't be opened.
func (e *OpenError) Error() string { return fmt.Sprintf("open %s: %v", e.Resource, e.Err) }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

// Daemon runs one control VM. Exported fields must be set before Run.
type Daemon struct {
	Settings *Settings
	// Sockets holds the open sockets. If Sockets is nil, Run opens them at the
	// addresses in Settings.
	Sockets *Sockets
	// Bootstrap writes the initial state of a new fleet to an empty data
	// directory. It must be set only once in the life of a fleet: a replica
	// that lost its disk and starts with Bootstrap would be a voter without
	// the log entries that it acknowledged before.
	Bootstrap bool
	// FS is the data directory; nil means the directory in Settings.
	FS  replica.FS
	Log *zap.Logger

	ring      *timeline.Ring
	transport *replication.Transport
	socket    *peer.Socket
	// loop is nil until the replica has been opened. The loop of a replica that has
	// stopped remains until the replica has been opened again.
	loop atomic.Pointer[loop]
	// hintAddresses is used only by the goroutine of the running loop.
	hintAddresses *subscribers
	// bootstrapFailed is set if a Bootstrap has failed because of the disk.
	bootstrapFailed bool
}

// Run serves until ctx ends. If the disk fails or is full, it goes on without the replica,
// and opens the replica again once the disk allows it. Among the errors of Run are an
// OpenError if a port or the data directory can't be opened, and a replica.CorruptError if
// stored data is damaged.
func (d *Daemon) Run(ctx context.Context) error {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	d.ring = timeline.NewRing(d.Settings.ID)
	if d.Sockets == nil {
		sockets, err := Open(d.Settings)
		if err != nil {
			return err
		}
		d.Sockets = sockets
	}
	if err := d.build(time.Now()); err != nil {
		d.Sockets.close()
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	log := currentLog{d}
	d.transport.Deliver = func(from fleet.VMID, m replica.Message) bool { return log.deliver(ctx, from, m) }
	pulls := &peer.PullServer{Self: d.Settings.ID, Listener: d.Sockets.PullListener, Answer: log.answer}
	group.Go(func() error { return d.transport.Run(ctx) })
	group.Go(func() error { return d.runReplica(ctx) })
	group.Go(func() error { return pulls.Run(ctx) })
	group.Go(func() error { return d.socket.Receive(ctx, func(r peer.ReceivedFrame) { d.handleFrame(ctx, r) }) })
	group.Go(func() error { return d.serve(ctx) })
	d.ring.Record(timeline.Event{Kind: timeline.KindStart, Name: "Started", VM: d.Settings.ID}, time.Now())
	d.Log.Info("control VM started", zap.String("id", string(d.Settings.ID)), zap.Stringer("http", d.Sockets.HTTP.Addr()))
	err := group.Wait()
	d.Log.Info("control VM stopped", zap.Error(err))
	return err
}

// Open opens the ports of a control VM, or returns an OpenError.
func Open(s *Settings) (*Sockets, error) {
	sockets := new(Sockets)
	var err error
	if sockets.HTTP, err = net.Listen("tcp", s.HTTP.String()); err != nil {
		return nil, &OpenError{Resource: "the HTTP port", Err: err}
	}
	if sockets.Replication, err = net.Listen("tcp", s.Replica(s.ID).Replication.String()); err != nil {
		sockets.close()
		return nil, &OpenError{Resource: "the replication port", Err: err}
	}
	if sockets.PullListener, err = net.Listen("tcp", s.Control.String()); err != nil {
		sockets.close()
		return nil, &OpenError{Resource: "the control port", Err: err}
	}
	if sockets.ControlConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Control)); err != nil {
		sockets.close()
		return nil, &OpenError{Resource: "the control port", Err: err}
	}
	return sockets, nil
}

func (s *Sockets) close() {
	if s.HTTP != nil {
		s.HTTP.Close()
	}
	if s.Replication != nil {
		s.Replication.Close()
	}
	if s.PullListener != nil {
		s.PullListener.Close()
	}
	if s.ControlConn != nil {
		s.ControlConn.Close()
	}
}

// build connects the components of the daemon and opens the replica. While the disk is
// full, it leaves that to runReplica.
func (d *Daemon) build(now time.Time) error {
	d.transport = &replication.Transport{
		Self:     d.Settings.ID,
		Listener: d.Sockets.Replication,
		Address:  d.replicationAddress,
		// Zero stands for the default.
		QueueBytes: d.Settings.Memory / replication.QueuePart,
		Log:        d.Log,
	}
	if d.Settings.Keys != nil {
		var err error
		if d.transport.Keys, err = replication.LoadKeys(*d.Settings.Keys); err != nil {
			return err
		}
	}
	d.socket = &peer.Socket{Self: d.Settings.ID, Conn: d.Sockets.ControlConn, Clock: d.ring.Clock}
	err := d.openLoop(now)
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		d.Log.Warn("the disk is full; the replica is opened once there is room", zap.Error(err))
		return nil
	}
	return err
}

func (d *Daemon) openReplica(m *settings.StateMachine, now time.Time) (*replica.Replica, error) {
	if err := os.MkdirAll(d.Settings.Data, dirMode); err != nil {
		return nil, &OpenError{Resource: "the data directory", Err: err}
	}
	fs := d.FS
	if fs == nil {
		fs = replica.DirFS(d.Settings.Data)
	}
	o := replica.Options{
		Self:         d.Settings.ID,
		Incarnation:  fleet.Incarnation(now.UnixNano()),
		FS:           fs,
		StateMachine: stateMachine{m},
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Memory:       d.Settings.Memory,
	}
	var members []replica.Member
	for _, r := range d.Settings.Replicas {
		o.Peers = append(o.Peers, r.ID)
		members = append(members, replica.Member{Identity: replica.Identity{VM: r.ID, Incarnation: initialIncarnation}, Voter: true})
	}
	if d.Bootstrap {
		self := replica.Identity{VM: d.Settings.ID, Incarnation: initialIncarnation}
		if err := d.bootstrap(fs, self, members); err != nil {
			return nil, err
		}
	}
	return replica.Open(o, now)
}

// bootstrap writes the initial state, once in the life of the process.
func (d *Daemon) bootstrap(fs replica.FS, self replica.Identity, members []replica.Member) error {
	err := replica.Bootstrap(fs, self, members)
	var disk *replica.DiskError
	var notEmpty *replica.NotEmptyError
	switch {
	case errors.As(err, &disk):
		d.bootstrapFailed = true
	case err == nil, errors.As(err, &notEmpty) && (d.bootstrapFailed || d.loop.Load() != nil):
		return nil
	}
	return fmt.Errorf("bootstrap: %w", err)
}

func (d *Daemon) replicationAddress(id fleet.VMID) string {
	if r := d.Settings.Replica(id); r != nil {
		return r.Replication.String()
	}
	return ""
}

func (d *Daemon) url(id fleet.VMID) string {
	if r := d.Settings.Replica(id); r != nil {
		return "http://" + r.HTTP.String()
	}
	return ""
}

// handleFrame processes a hint from an entry VM and stores the VM's address. It
// ignores all other messages.
func (d *Daemon) handleFrame(ctx context.Context, r peer.ReceivedFrame) {
	if r.Channel != peer.Spread {
		return
	}
	m, err := spread.Decode(r.Body)
	if err != nil || m.Hint == nil {
		return
	}
	l := d.loop.Load()
	if l == nil {
		return
	}
	_ = l.Submit(ctx, func(now time.Time) {
		d.hintAddresses.set(r.From, r.Address)
		for _, e := range l.spreadNode.Handle(r.From, m, now) {
			l.sendHint(e, now)
		}
	})
}

func (d *Daemon) sendHint(e spread.Envelope, now time.Time) {
	address, ok := d.hintAddresses.addresses[e.To]
	if !ok || !e.Message.FitsDatagram() {
		return
	}
	body, err := e.Message.Encode()
	if err != nil {
		return
	}
	d.socket.Send(address, peer.Spread, body, now)
}

func (d *Daemon) serve(ctx context.Context) error {
	api := &API{ReplicatedLog: currentLog{d}, RootKeyHash: d.Settings.RootKeyHash}
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{loop: d.loop.Load}, &replication.Collector{Transport: d.transport, Loop: func() *replication.Loop {
		if l := d.loop.Load(); l != nil {
			return &l.Loop
		}
		return nil
	}})
	mux := http.NewServeMux()
	mux.Handle("/", api.Handler())
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.Handle("GET "+timeline.Path, &timeline.Handler{Ring: d.ring})
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		IdleTimeout: idleConnTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	if err := server.Serve(d.Sockets.HTTP); !errors.Is(err, http.ErrServerClosed) {
		return &OpenError{Resource: "the HTTP interface", Err: err}
	}
	<-stopped
	return nil
}
