package hub

import (
	"cmp"
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
	// firstIncarnation is the incarnation of the initial members of the log. It is
	// a constant, because all hubs must bootstrap the log with the same members.
	firstIncarnation = 1
	dirMode          = 0o700
	// logDir is the subdirectory of the data directory with the replica's files.
	logDir = "log"
	// damagedDir is the subdirectory to which a damaged log is moved. While it exists, the
	// hub never starts as an initial member of the log.
	damagedDir = "log.damaged"
	// drainMargin is added to the announcement interval for the time for which a hub
	// that stops as planned still answers calls, and asks its clients to close their
	// connections: each target has then made a call.
	drainMargin = 100 * time.Millisecond
	// maxDrainTime bounds that time. It is less than half of the time that the users'
	// platform allows for a stop.
	maxDrainTime = 2 * time.Second
	// stopTimeout bounds the wait for HTTP requests in progress at a planned stop.
	stopTimeout = 500 * time.Millisecond
	// transferTime is the time between the transfer of the leadership and the end of
	// the connections to other hubs at a planned stop.
	transferTime = 50 * time.Millisecond
	// reopenDelay is the delay before a replica that has stopped because of a disk
	// failure is opened again.
	reopenDelay = 500 * time.Millisecond
	// removeAfter is the time without contact after which the leader may remove a
	// member from the log. It is longer than most restarts.
	removeAfter = 3 * time.Second
	// tickInterval is the time between two checks for silent targets, and between
	// two aggregations of the entry VMs' reports.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the time between two aggregations of the reports where entry
	// VMs share their measurements.
	reportInterval = 20 * time.Millisecond
	// stallLimit is the time without a step of the replica, for example because the disk
	// hangs, after which the hub no longer counts as in contact with a majority. With the
	// second for which entry VMs stay with such a hub, it is shorter than the 3 s within
	// which the users' platform expects a change in force.
	stallLimit = time.Second
	// confirmTimeout bounds the wait until a majority of the hubs has acknowledged
	// that a target is draining or gone. It is shorter than one second, which is
	// the time that a target waits for the response.
	confirmTimeout = 700 * time.Millisecond
	// readHeaderTimeout bounds the time to read the headers of an HTTP request.
	readHeaderTimeout = 2 * time.Second
	// idleConnTimeout is the time without a call after which a connection is closed.
	// It is some announcement intervals, so that the connections of targets stay open.
	idleConnTimeout = 15 * time.Second
	maxHeaderBytes  = 16 << 10
	// callTimeout bounds the times to read a call and to write its response, so that a
	// slow caller does not hold the memory of a document. A document of 1 MiB takes 6 s
	// on a link of 1.4 Mbit/s.
	callTimeout = 15 * time.Second
)

type (
	// Daemon runs one control VM. Exported fields must be set before Run.
	Daemon struct {
		Settings *Settings
		// Parse parses and validates the text of a catalog document.
		Parse func(text []byte) (*catalog.Catalog, error)
		// Handler is the HTTP interface, without the operators' interface for zone
		// orders.
		Handler http.Handler
		Log     *zap.Logger
		// LinesDropped returns the number of log lines that were lost because the
		// output was not read.
		LinesDropped func() uint64
		// Collectors collect the metrics of the HTTP interface.
		Collectors []prometheus.Collector

		store       *feed.Store
		transport   *replication.Transport
		connections limitListener
		draining    atomic.Bool
		// loop is nil while the replica is down.
		loop atomic.Pointer[replicaLoop]
		// steps counts the steps of the replica. lastSteps is its value at the last tick,
		// and lastStepAt the time of the last tick at which it had changed.
		steps      atomic.Uint64
		lastSteps  uint64
		lastStepAt time.Time
		role       string
		members    []replica.Member
		// openDir returns the files of a directory; nil means those of the operating
		// system.
		openDir func(dir string) replica.FS
		// limiter limits the rate of log lines about targets.
		limiter     logging.Limiter
		failedSaves atomic.Uint64
		// seeds holds the seeds of the last call of SetSeeds. It is nil before the
		// first call, when the seeds of the settings apply.
		seeds atomic.Pointer[[]netip.AddrPort]
		// regions corresponds to seeds, for SetRegions.
		regions atomic.Pointer[map[fleet.ZoneID]fleet.RegionID]
		// zoneOrders counts the calls with zone orders by their results.
		zoneOrders zoneOrderCounts
	}

	// replicaLoop is a running replica with its state machine.
	replicaLoop struct {
		replication.Loop
		machine *catalog.StateMachine
		// lastAtOpen is the index of the last log entry when the replica was opened.
		lastAtOpen replica.Index
		// logApplied is set while a leader is known, once the state machine has applied
		// what that leader had committed, and the committed entries that the log contained
		// when the replica was opened. Only the replica's goroutine uses it. caughtUp is set
		// once the replica also has a vote.
		logApplied bool
		caughtUp   atomic.Bool
	}

	// NotLeaderError reports that this hub is not the leader. Only the leader
	// serves reads and writes of documents. Leader is empty if no leader is known.
	NotLeaderError struct{ Leader fleet.VMID }

	// UnavailableError reports that no majority of the hubs has responded in time,
	// or that this hub's replica is down. If a write fails with this error, it may
	// have been committed.
	UnavailableError struct{ Err error }

	// OpenError reports a port or directory that can't be opened, or a failure of
	// the HTTP server.
	OpenError struct {
		What string
		Err  error
	}

	// replicaDownError reports that this hub's replica is not running, for example
	// after a disk failure.
	replicaDownError struct{}

	// catchingUpError reports that this hub has just been suspended.
	catchingUpError struct{}
)

// Error returns the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("not the leader; hub %s is", e.Leader)
}

// Error returns the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("no majority of the hubs: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Error returns what can't be opened and the cause.
func (e *OpenError) Error() string { return fmt.Sprintf("open %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error { return e.Err }

// Error says that the replica is down.
func (replicaDownError) Error() string { return "the replica of this hub is down" }

// Error says that the hub was suspended.
func (catchingUpError) Error() string { return "this hub was suspended and is catching up" }

// SetSeeds replaces the configured addresses of hubs. It is safe for concurrent
// use.
func (d *Daemon) SetSeeds(seeds []netip.AddrPort) { d.seeds.Store(&seeds) }

func (d *Daemon) currentSeeds() []netip.AddrPort {
	if s := d.seeds.Load(); s != nil {
		return *s
	}
	return d.Settings.Seeds
}

// SetRegions replaces the known zones with their regions. It is safe for concurrent
// use. The map must not be changed afterwards.
func (d *Daemon) SetRegions(regions map[fleet.ZoneID]fleet.RegionID) { d.regions.Store(&regions) }

func (d *Daemon) currentRegions() map[fleet.ZoneID]fleet.RegionID {
	if r := d.regions.Load(); r != nil {
		return *r
	}
	return d.Settings.Regions
}

// Run serves until ctx ends, and then stops in the order in which others depend on
// it: it goes on answering calls until every target has had one answered with the
// header Connection: close, then closes the HTTP interface, transfers the leadership
// of the log, and ends the feeds. It returns an OpenError if a port can't be opened or
// the HTTP server fails, or the error of another server that fails.
func (d *Daemon) Run(ctx context.Context) error {
	now := time.Now()
	silenceLimit := time.Duration(maxMissedAnnouncements * float64(d.Settings.AnnounceInterval))
	targets := registry.New(silenceLimit, now)
	targets.OnChange = d.targetChanged
	d.store = feed.NewStore(feed.Hub{VM: d.Settings.ID(), Zone: d.Settings.Zone}, targets, now)
	if d.Settings.LoadReports {
		d.store.EnableLostTargets(d.targetLost)
		d.store.UseLoadReports()
	}
	d.restore(now)
	listen := func(address string) (net.Listener, error) {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, &OpenError{What: "port " + address, Err: err}
		}
		return l, nil
	}
	self := d.Settings.ID()
	replicationListener, err := listen(AddressOf(self, d.Settings.Replication))
	if err != nil {
		return err
	}
	defer replicationListener.Close()
	feedListener, err := listen(AddressOf(self, d.Settings.Feed))
	if err != nil {
		return err
	}
	defer feedListener.Close()
	httpListener, err := listen(d.Settings.HTTP.String())
	if err != nil {
		return err
	}
	defer httpListener.Close()
	var metricsListener net.Listener
	if d.Settings.Metrics.IsValid() {
		if metricsListener, err = listen(d.Settings.Metrics.String()); err != nil {
			return err
		}
	}
	stopping := ctx
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, ctx := errgroup.WithContext(workCtx)
	replicaCtx, stopReplica := context.WithCancel(ctx)
	defer stopReplica()
	replicaStopped := make(chan struct{})
	d.transport = &replication.Transport{
		Self:       self,
		Listener:   replicationListener,
		Address:    func(id fleet.VMID) string { return AddressOf(id, d.Settings.Replication) },
		Deliver:    func(from fleet.VMID, m replica.Message) bool { return d.deliver(ctx, from, m) },
		QueueBytes: d.memory() / replication.QueuePart,
		Log:        d.Log,
	}
	publisher := &feed.Publisher{Store: d.store, Listener: feedListener}
	d.Log.Info("hub started", zap.String("Zone", string(d.Settings.Zone)), zap.Bool("First", d.Settings.First))
	group.Go(func() error { return d.transport.Run(ctx) })
	group.Go(func() error { return publisher.Run(ctx) })
	group.Go(func() error {
		defer close(replicaStopped)
		return d.runReplica(replicaCtx)
	})
	group.Go(func() error { return d.runTicks(ctx, tickInterval, d.tick) })
	if d.Settings.LoadReports {
		group.Go(func() error { return d.runTicks(ctx, reportInterval, d.store.TickReports) })
	}
	group.Go(func() error { return d.runCache(ctx) })
	group.Go(func() error { return d.followHubs(ctx) })
	group.Go(func() error {
		err := d.serve(stopping, ctx, httpListener)
		stopReplica()
		<-replicaStopped
		time.Sleep(transferTime)
		stop()
		return err
	})
	group.Go(func() error {
		collectors := append(d.Collectors, &collector{d}, &replication.Collector{Loop: d.currentLoop, Transport: d.transport})
		return logging.ServeMetrics(ctx, metricsListener, collectors...)
	})
	err = group.Wait()
	d.Log.Info("hub stopped", zap.Error(err))
	return err
}

// runReplica runs the replica, and opens it again after a failure, for example a
// disk failure.
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
	l := &replicaLoop{machine: &catalog.StateMachine{
		Parse:        d.Parse,
		Changed:      d.catalogChanged,
		ZonesChanged: d.zonesChanged,
		Failed:       func(err error) { d.Log.Error("log entry can't be decoded or parsed", zap.Error(err)) },
	}}
	seeds := d.seeds.Load()
	r, err := d.openReplica(l.machine, time.Now())
	if err != nil {
		return err
	}
	l.Replica, l.Send, l.QueueBytes = r, d.transport.Send, d.memory()/replication.QueuePart
	l.Log = d.Log
	l.lastAtOpen = r.Stats().LastIndex
	l.AfterStep = func(time.Time) {
		if s := d.seeds.Load(); s != seeds {
			seeds = s
			r.SetPeers(idsOf(*s))
		}
		l.updateLogApplied()
		d.observe(r, r.Leader() != "" && l.logApplied)
		l.updateCaughtUp()
	}
	l.Init()
	d.loop.Store(l)
	defer d.loop.Store(nil)
	return l.Run(ctx)
}

func (d *Daemon) openReplica(m replica.StateMachine, now time.Time) (*replica.Replica, error) {
	dir := filepath.Join(d.Settings.Data, logDir)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, &OpenError{What: "the data directory", Err: err}
	}
	fs := d.files(dir)
	opts := replica.Options{
		Self:         d.Settings.ID(),
		Incarnation:  fleet.Incarnation(now.UnixNano()),
		FS:           fs,
		StateMachine: m,
		Rand:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		AutoAdmit:    true,
		RemoveAfter:  removeAfter,
		Tolerance:    d.Settings.Tolerance,
		QuorumReads:  true,
		Memory:       d.memory(),
	}
	opts.Peers = idsOf(d.currentSeeds())
	// The initial members are those of the first start, also if the seeds have been
	// replaced before this hub could write its log.
	var members []replica.Member
	for _, id := range idsOf(d.Settings.Seeds) {
		members = append(members, replica.Member{Identity: replica.Identity{VM: id, Incarnation: firstIncarnation}, Voter: true})
	}
	_, err := os.Stat(filepath.Join(d.Settings.Data, damagedDir))
	damaged := err == nil
	if d.Settings.First && !damaged && slices.Contains(idsOf(d.Settings.Seeds), opts.Self) {
		err := replica.Bootstrap(fs, replica.Identity{VM: opts.Self, Incarnation: firstIncarnation}, members)
		var notEmpty *replica.NotEmptyError
		if err != nil && !errors.As(err, &notEmpty) {
			return nil, err
		}
	}
	r, err := replica.Open(opts, now)
	var corrupt *replica.CorruptError
	if errors.As(err, &corrupt) {
		return nil, errors.Join(err, d.setLogAside(dir))
	}
	return r, err
}

// setLogAside moves a damaged log away, so that the replica is opened without one and is
// admitted as a new incarnation. It would otherwise be missing from the majority for good.
func (d *Daemon) setLogAside(dir string) error {
	aside := filepath.Join(d.Settings.Data, damagedDir)
	d.Log.Error("log is damaged and set aside; the replica joins as a new one", zap.String("Folder", aside))
	return errors.Join(os.RemoveAll(aside), os.Rename(dir, aside))
}

func (d *Daemon) files(dir string) replica.FS {
	if d.openDir != nil {
		return d.openDir(dir)
	}
	return replica.DirFS(dir)
}

// observe publishes the members of the replicated log and whether a leader is
// known whose log this hub has applied, and logs changes of the members and of the
// replica's role. It runs in the replica's goroutine after each step.
func (d *Daemon) observe(r *replica.Replica, leaderKnown bool) {
	members := r.Members()
	ids := make([]fleet.VMID, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.VM)
	}
	d.steps.Add(1)
	d.store.SetHubs(ids, leaderKnown)
	if role := r.Role(); role != d.role {
		d.role = role
		d.Log.Info("replica changed its role", zap.String(logging.Role, role), zap.String("Leader", string(r.Leader())),
			zap.Uint64("Term", uint64(r.Stats().Term)))
	}
	if slices.Equal(members, d.members) {
		return
	}
	d.members = members
	voters, learners := []fleet.VMID{}, []fleet.VMID{}
	for _, m := range members {
		if m.Voter {
			voters = append(voters, m.VM)
		} else {
			learners = append(learners, m.VM)
		}
	}
	d.Log.Info("hubs of the log changed", zap.Any("Voters", voters), zap.Any("Learners", learners))
}

// tick checks for silent targets, and whether the replica runs.
func (d *Daemon) tick(now time.Time) {
	d.store.Tick(now)
	if n := d.steps.Load(); n != d.lastSteps {
		d.lastSteps, d.lastStepAt = n, now
	} else if now.Sub(d.lastStepAt) > stallLimit {
		d.store.ForgetLeader()
	}
}

// catalogChanged publishes a committed catalog. It runs in the replica's goroutine.
func (d *Daemon) catalogChanged(c *catalog.Catalog) {
	d.Log.Info("catalog committed", zap.Uint64(logging.Number, uint64(c.Number)), zap.Int("Routes", len(c.Routes)))
	d.store.SetCatalog(c)
}

// deliver passes a message from another hub to the replica. While the replica is down,
// the message is lost, as on the network.
func (d *Daemon) deliver(ctx context.Context, from fleet.VMID, m replica.Message) bool {
	l := d.loop.Load()
	return l != nil && l.Deliver(ctx, from, m)
}

// memory returns the memory of the VM in bytes.
func (d *Daemon) memory() int { return cmp.Or(d.Settings.Memory, replica.DefaultMemory) }

// runTicks calls tick at an interval until ctx ends.
func (d *Daemon) runTicks(ctx context.Context, interval time.Duration, call func(now time.Time)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			call(time.Now())
		}
	}
}

// serve serves the HTTP interface until stopping ends and it has been drained, or
// until ctx ends.
func (d *Daemon) serve(stopping, ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler: d.closeWhileDraining(d.withZones(d.Handler)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnTimeout, MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout: callTimeout, WriteTimeout: callTimeout,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		select {
		case <-stopping.Done():
			d.drain(ctx)
		case <-ctx.Done():
		}
		shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	}()
	d.connections.Listener, d.connections.max = l, maxConnections
	if err := server.Serve(&d.connections); !errors.Is(err, http.ErrServerClosed) {
		return &OpenError{What: "the HTTP interface", Err: err}
	}
	<-stopped
	return nil
}

// drain waits until every target has had time to make a call, or until ctx ends.
func (d *Daemon) drain(ctx context.Context) {
	d.Log.Info("hub is draining")
	d.draining.Store(true)
	select {
	case <-time.After(min(d.Settings.AnnounceInterval+drainMargin, maxDrainTime)):
	case <-ctx.Done():
	}
}

// closeWhileDraining returns a handler that asks clients to close their connections
// while this hub is draining. A connection that the server closed by itself could
// carry a call at that moment, which would stay without an answer.
func (d *Daemon) closeWhileDraining(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
