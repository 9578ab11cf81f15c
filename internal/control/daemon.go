package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
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
	Log       *zap.Logger

	ring          *timeline.Ring
	loop          *loop
	hintAddresses *subscribers
}

// Run serves until ctx ends. Among its errors are an OpenError if a port or the
// data directory can't be opened, a replica.StoppedError if the disk fails, and
// a replica.CorruptError if stored data is damaged.
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
	transport, err := d.build(time.Now())
	if err != nil {
		d.Sockets.close()
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	transport.Deliver = func(from fleet.VMID, m replica.Message) bool { return d.loop.Deliver(ctx, from, m) }
	socket := &peer.Socket{Self: d.Settings.ID, Conn: d.Sockets.ControlConn, Clock: d.ring.Clock}
	d.loop.sendHint = func(e spread.Envelope, now time.Time) { d.sendHint(socket, e, now) }
	pulls := &peer.PullServer{Self: d.Settings.ID, Listener: d.Sockets.PullListener, Answer: d.loop.answer}
	group.Go(func() error { return transport.Run(ctx) })
	group.Go(func() error { return d.loop.Run(ctx) })
	group.Go(func() error { return pulls.Run(ctx) })
	group.Go(func() error { return socket.Receive(ctx, func(r peer.ReceivedFrame) { d.handleFrame(ctx, r) }) })
	group.Go(func() error { return d.serve(ctx) })
	d.ring.Record(timeline.Event{Kind: timeline.KindStart, Name: "Started", VM: d.Settings.ID}, time.Now())
	d.Log.Info("control VM started", zap.String("id", string(d.Settings.ID)), zap.Stringer("http", d.Sockets.HTTP.Addr()))
	err = group.Wait()
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

// build opens the replica and connects the components of the daemon.
func (d *Daemon) build(now time.Time) (*replication.Transport, error) {
	m := settings.NewStateMachine()
	r, err := d.openReplica(m, now)
	if err != nil {
		return nil, err
	}
	transport := &replication.Transport{
		Self:     d.Settings.ID,
		Listener: d.Sockets.Replication,
		Address:  d.replicationAddress,
		// Zero stands for the default in both.
		QueueBytes: d.Settings.Memory / replication.QueuePart,
	}
	if d.Settings.Keys != nil {
		if transport.Keys, err = replication.LoadKeys(*d.Settings.Keys); err != nil {
			return nil, err
		}
	}
	d.hintAddresses = &subscribers{addresses: make(map[fleet.VMID]netip.AddrPort)}
	d.loop = &loop{
		Loop:       replication.Loop{Replica: r, Send: transport.Send, QueueBytes: transport.QueueBytes},
		self:       d.Settings.ID,
		machine:    m,
		spreadNode: &spread.Node{Self: d.Settings.ID, Store: settingsStore{m}, Replica: true},
		recorder:   d.ring,
		url:        d.url,
	}
	d.loop.init()
	return transport, nil
}

func (d *Daemon) openReplica(m *settings.StateMachine, now time.Time) (*replica.Replica, error) {
	if err := os.MkdirAll(d.Settings.Data, dirMode); err != nil {
		return nil, &OpenError{Resource: "the data directory", Err: err}
	}
	fs := replica.DirFS(d.Settings.Data)
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
		if err := replica.Bootstrap(fs, self, members); err != nil {
			return nil, fmt.Errorf("bootstrap: %w", err)
		}
	}
	return replica.Open(o, now)
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
	_ = d.loop.Submit(ctx, func(now time.Time) {
		d.hintAddresses.set(r.From, r.Address)
		for _, e := range d.loop.spreadNode.Handle(r.From, m, now) {
			d.loop.sendHint(e, now)
		}
	})
}

func (d *Daemon) sendHint(socket *peer.Socket, e spread.Envelope, now time.Time) {
	address, ok := d.hintAddresses.addresses[e.To]
	if !ok || !e.Message.FitsDatagram() {
		return
	}
	body, err := e.Message.Encode()
	if err != nil {
		return
	}
	socket.Send(address, peer.Spread, body, now)
}

func (d *Daemon) serve(ctx context.Context) error {
	api := &API{ReplicatedLog: d.loop, RootKeyHash: d.Settings.RootKeyHash}
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{loop: d.loop}, &replication.Collector{Loop: func() *replication.Loop { return &d.loop.Loop }})
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
