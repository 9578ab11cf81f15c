package hub

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/internal/replication"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

const (
	// firstIncarnation is that of the first replicas, which all must agree on.
	firstIncarnation = 1
	folderMode       = 0o700
	// logFolder holds the replica's files, below the data folder.
	logFolder = "log"
	// stopTimeout bounds the wait for calls in progress at a planned stop.
	stopTimeout = 500 * time.Millisecond
	// reopenDelay is the pause before a replica that a failed disk has stopped
	// is opened again.
	reopenDelay = 500 * time.Millisecond
	// replaceAfter is the silence after which another hub takes a hub's place
	// in the log. A restart takes less.
	replaceAfter = 3 * time.Second
	// boardInterval is the time between two searches for silent targets, and
	// between two sums of the loads.
	boardInterval = 100 * time.Millisecond
	// confirmTimeout bounds the wait until a majority of the hubs knows that a
	// target drains; a target waits a second for the acknowledgement.
	confirmTimeout = 700 * time.Millisecond
	// readHeaderTimeout bounds the time that a caller takes for its headers.
	readHeaderTimeout = 2 * time.Second
	maxHeaderBytes    = 16 << 10
)

type (
	// Daemon is one control VM. Exported fields are set before Run.
	Daemon struct {
		Settings *Settings
		// Parse reads the operator's text of a catalog.
		Parse func(text []byte) (*catalog.Catalog, error)
		// Handler is the HTTP interface.
		Handler http.Handler
		Log     *zap.Logger
		// LinesDropped returns the number of log lines that were lost.
		LinesDropped func() uint64
		// Collectors are metrics of the HTTP interface.
		Collectors []prometheus.Collector

		board     *feed.Board
		transport *replication.Transport
		// log is nil while the replica is down.
		log     atomic.Pointer[log]
		role    string
		members []fleet.VMID
		// limiter limits the log lines.
		limiter logging.Limiter
		unsaved atomic.Uint64
		// seeds replace those of the settings after a reload.
		seeds atomic.Pointer[[]netip.AddrPort]
	}

	// log is the running replica with its state machine.
	log struct {
		replication.Loop
		machine *catalog.StateMachine
	}

	// NotLeaderError reports that another hub takes writes and reads; Leader is
	// empty where none is known.
	NotLeaderError struct{ Leader fleet.VMID }

	// UnavailableError reports that no majority of the hubs answered in time;
	// the outcome of a write is unknown.
	UnavailableError struct{ Err error }

	// OpenError reports a port or folder that can't be opened.
	OpenError struct {
		What string
		Err  error
	}

	// replicaDownError reports that this hub's replica can't use its disk.
	replicaDownError struct{}
)

// Error names the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("hub %s leads", e.Leader)
}

// Error names the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no majority of the hubs: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Error names what can't be opened.
func (e *OpenError) Error() string { return fmt.Sprintf("open %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

// Error says that the replica is down.
func (replicaDownError) Error() string { return "the replica of this hub is down" }

// SetSeeds replaces the addresses of hubs; it may be called at any time.
func (d *Daemon) SetSeeds(seeds []netip.AddrPort) { d.seeds.Store(&seeds) }

func (d *Daemon) currentSeeds() []netip.AddrPort {
	if s := d.seeds.Load(); s != nil {
		return *s
	}
	return d.Settings.Seeds
}

// Run serves until ctx ends. It returns an OpenError where a port can't be
// opened.
func (d *Daemon) Run(ctx context.Context) error {
	now := time.Now()
	silence := time.Duration(silentAnnouncements * float64(d.Settings.AnnounceInterval))
	targets := registry.New(silence, now)
	targets.OnChange = d.targetChanged
	d.board = feed.NewBoard(feed.Hub{VM: d.Settings.ID(), Zone: d.Settings.Zone}, targets, now)
	d.restore(now)
	listen := func(address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, &OpenError{What: "port " + address, Err: err}
		}
		return l, nil
	}
	self := d.Settings.ID()
	messages, err := listen(AddressOf(self, d.Settings.Replication))
	if err != nil {
		return err
	}
	defer messages.Close()
	feeds, err := listen(AddressOf(self, d.Settings.Feed))
	if err != nil {
		return err
	}
	defer feeds.Close()
	calls, err := listen(d.Settings.HTTP.String())
	if err != nil {
		return err
	}
	defer calls.Close()
	var metrics net.Listener
	if d.Settings.Metrics.IsValid() {
		if metrics, err = listen(d.Settings.Metrics.String()); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	d.transport = &replication.Transport{
		Self:     self,
		Listener: messages,
		Address:  func(id fleet.VMID) string { return AddressOf(id, d.Settings.Replication) },
		Deliver:  func(from fleet.VMID, m replica.Message) { d.deliver(ctx, from, m) },
	}
	publisher := &feed.Publisher{Board: d.board, Listener: feeds}
	d.Log.Info("hub started", zap.String("Zone", string(d.Settings.Zone)), zap.Bool("First", d.Settings.First))
	group.Go(func() error { return d.transport.Run(ctx) })
	group.Go(func() error { return publisher.Run(ctx) })
	group.Go(func() error { return d.runReplica(ctx) })
	group.Go(func() error { return d.runBoard(ctx) })
	group.Go(func() error { return d.runCache(ctx) })
	group.Go(func() error { return d.followHubs(ctx) })
	group.Go(func() error { return d.serve(ctx, calls) })
	group.Go(func() error {
		all := append(d.Collectors, &collector{d}, &replication.Collector{Loop: d.replica})
		return logging.ServeMetrics(ctx, metrics, all...)
	})
	err = group.Wait()
	d.Log.Info("hub stopped", zap.Error(err))
	return err
}

// runReplica runs the replica, and opens it again after a failure of the disk.
func (d *Daemon) runReplica(ctx context.Context) error {
	for {
		err := d.runOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		d.Log.Error("replica stopped", zap.Error(err), zap.Duration("Retry", reopenDelay))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenDelay):
		}
	}
}

func (d *Daemon) runOnce(ctx context.Context) error {
	l := &log{machine: &catalog.StateMachine{
		Parse:   d.Parse,
		Changed: d.catalogChanged,
		Failed:  func(err error) { d.Log.Error("entry of the log can't be read", zap.Error(err)) },
	}}
	r, err := d.openReplica(l.machine, time.Now())
	if err != nil {
		return err
	}
	l.Replica, l.Send = r, d.transport.Send
	l.AfterStep = func(time.Time) { d.observe(r) }
	l.Init()
	d.log.Store(l)
	defer d.log.Store(nil)
	return l.Run(ctx)
}

func (d *Daemon) openReplica(m replica.StateMachine, now time.Time) (*replica.Replica, error) {
	folder := filepath.Join(d.Settings.Data, logFolder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, &OpenError{What: "the data folder", Err: err}
	}
	fs := replica.DirFS(folder)
	o := replica.Options{
		Self:         d.Settings.ID(),
		Incarnation:  fleet.Incarnation(now.UnixNano()),
		FS:           fs,
		StateMachine: m,
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		AutoAdmit:    true,
		RemoveAfter:  replaceAfter,
		QuorumReads:  true,
	}
	var members []replica.Member
	for _, seed := range d.currentSeeds() {
		id := IDOf(seed)
		o.Peers = append(o.Peers, id)
		members = append(members, replica.Member{Identity: replica.Identity{VM: id, Incarnation: firstIncarnation}, Voter: true})
	}
	if d.Settings.First && slices.Contains(o.Peers, o.Self) {
		err := replica.Bootstrap(fs, replica.Identity{VM: o.Self, Incarnation: firstIncarnation}, members)
		var notEmpty *replica.NotEmptyError
		if err != nil && !errors.As(err, &notEmpty) {
			return nil, err
		}
	}
	return replica.Open(o, now)
}

// observe runs in the replica's goroutine after each step.
func (d *Daemon) observe(r *replica.Replica) {
	members := r.Members()
	ids := make([]fleet.VMID, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.VM)
	}
	d.board.SetHubs(ids, r.Leader() != "")
	if role := r.Role(); role != d.role {
		d.role = role
		d.Log.Info("replica changed its role", zap.String(logging.Role, role), zap.String("Leader", string(r.Leader())),
			zap.Uint64("Term", uint64(r.Stats().Term)))
	}
	if !slices.Equal(ids, d.members) {
		d.members = ids
		d.Log.Info("hubs of the log changed", zap.Any("Hubs", ids))
	}
}

// catalogChanged runs in the replica's goroutine when a catalog comes into
// force.
func (d *Daemon) catalogChanged(c *catalog.Catalog) {
	d.Log.Info("catalog committed", zap.Uint64(logging.Number, uint64(c.Number)), zap.Int("Routes", len(c.Routes)))
	d.board.SetCatalog(c)
}

func (d *Daemon) deliver(ctx context.Context, from fleet.VMID, m replica.Message) {
	l := d.log.Load()
	if l == nil {
		return
	}
	// A message that comes after the end is lost, as on the network.
	_ = l.Submit(ctx, func(now time.Time) { l.Replica.Step(from, m, now) })
}

func (d *Daemon) runBoard(ctx context.Context) error {
	tick := time.NewTicker(boardInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.board.Tick(time.Now())
		}
	}
}

func (d *Daemon) serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: d.Handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	stopped := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(stopped)
		grace, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(grace) != nil {
			server.Close()
		}
	})
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return &OpenError{What: "the HTTP interface", Err: err}
	}
	<-stopped
	return nil
}
