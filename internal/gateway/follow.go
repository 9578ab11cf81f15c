package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/hub"
	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

const (
	// retryDelay is the pause after all known hubs have failed.
	retryDelay = 50 * time.Millisecond
	// attemptDelay is the time after which the next hub is tried beside those
	// that have not answered yet: a hub in another zone answers within some
	// milliseconds.
	attemptDelay = 40 * time.Millisecond
	// searchRounds is how often each hub is tried in one search, since a first
	// packet to a VM that has no power yet is lost without an error.
	searchRounds = 3
	// maxAttempts bounds the attempts that run at once: hubs that are slow since
	// many VMs ask them would become slower.
	maxAttempts = 4
	// staleLimit is the time for which a feed is kept although its hub has no
	// contact with a majority: an election may be going on.
	staleLimit = time.Second
	// searchInterval is the time between two searches for a better hub. While this
	// VM has no catalog it begins at emptyInterval and doubles: others may have one,
	// or nobody, before the first configuration.
	searchInterval = 2 * time.Second
	emptyInterval  = 200 * time.Millisecond
)

type (
	// follower keeps the mirror up to date from one hub at a time. Fields with
	// capitals are set before run.
	follower struct {
		Hello feed.Hello
		// Port is that of the feed on every hub.
		Port uint16
		Log  *zap.Logger
		// Apply takes a changed mirror.
		Apply func(m *mirror, now time.Time)
		// Core reports the targets that do not answer, and takes those of others.
		Core *steering.Core

		// mu guards what setSeeds and searches share with the goroutine of run.
		mu     sync.Mutex
		seeds  []fleet.VMID
		hubs   []feed.Hub
		mirror mirror
		// source is the present hub, and version the last that was acknowledged.
		source  *source
		version registry.Version
		// heard and catalogAt are the times of the last update and of the last
		// catalog, in Unix nanoseconds, and 0 before the first.
		heard, catalogAt atomic.Int64
		feeds            atomic.Uint64
	}

	// source is a hub that has answered.
	source struct {
		hub  fleet.VMID
		feed *feed.Subscription
	}
)

// setSeeds replaces the addresses from the settings.
func (f *follower) setSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = f.seeds[:0:0]
	for _, s := range seeds {
		f.seeds = append(f.seeds, hub.IDOf(s))
	}
}

// candidates returns the hubs in the order in which they are tried: those of
// the own zone, other known ones, and the seeds in any order, so that VMs that
// start at the same time spread over them. near leaves out all but the own
// zone's.
func (f *follower) candidates(near bool) []fleet.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, far []fleet.VMID
	for _, h := range f.hubs {
		if h.Zone == f.Hello.Zone {
			all = append(all, h.VM)
		} else {
			far = append(far, h.VM)
		}
	}
	if near {
		return all
	}
	all = append(all, far...)
	for _, i := range rand.Perm(len(f.seeds)) {
		if !slices.Contains(all, f.seeds[i]) {
			all = append(all, f.seeds[i])
		}
	}
	return all
}

// run follows hubs until ctx ends.
func (f *follower) run(ctx context.Context) error {
	var s *source
	for ctx.Err() == nil {
		if s == nil {
			s = f.search(ctx, f.candidates(false), searchRounds)
		}
		if s != nil {
			s = f.follow(ctx, s)
			continue
		}
		f.Log.Warn("no hub answers")
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

// search asks hubs one after the other, without waiting for those that are
// slow, and all of them again where none answers with a catalog. It returns the
// first that is in contact with a majority, else one that has answered, or nil.
// While this VM has no catalog, a hub that has none either, since it lost its disk,
// comes last.
func (f *follower) search(ctx context.Context, candidates []fleet.VMID, rounds int) *source {
	number := f.number()
	total := rounds * len(candidates)
	answers := make(chan *source, total)
	var best *source
	asked, pending := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for asked < total || pending > 0 {
		select {
		case <-next.C:
			if asked == total || best.usable(number) && asked >= len(candidates) {
				// One that has answered is better than one that may never do.
				closeLater(answers, pending)
				return best
			}
			if pending == maxAttempts {
				continue
			}
			id := candidates[asked%len(candidates)]
			asked++
			pending++
			go func() { answers <- f.open(ctx, id, number) }()
			if asked < total || best != nil {
				next.Reset(attemptDelay)
			}
		case s := <-answers:
			pending--
			best = better(best, s, number)
			if best.usable(number) && best.feed.Greeting.Current {
				closeLater(answers, pending)
				return best
			}
			next.Reset(0)
		}
	}
	return best
}

// usable reports whether a VM with the catalog of a number can forward packets by
// what the source has.
func (s *source) usable(number catalog.Number) bool {
	return s != nil && (number > 0 || s.feed.Greeting.Number > 0)
}

// rank orders sources: usable ones first, then those whose hub is in contact with
// a majority.
func (s *source) rank(number catalog.Number) int {
	switch {
	case s == nil:
		return 0
	case !s.usable(number):
		return 1
	case !s.feed.Greeting.Current:
		return 2
	}
	return 3
}

// better returns the better of two sources, of which any may be nil, and closes
// the other one.
func better(a, b *source, number catalog.Number) *source {
	if b.rank(number) > a.rank(number) {
		a, b = b, a
	}
	if b != nil {
		b.feed.Close()
	}
	return a
}

// closeLater closes the sources that still come.
func closeLater(answers <-chan *source, n int) {
	go func() {
		for range n {
			(<-answers).close()
		}
	}()
}

func (s *source) close() {
	if s != nil {
		s.feed.Close()
	}
}

// open asks a hub for its feed; it returns nil where that fails.
func (f *follower) open(ctx context.Context, id fleet.VMID, number catalog.Number) *source {
	hello := f.Hello
	hello.Number = number
	sub, err := feed.Open(ctx, hub.AddressOf(id, f.Port), &hello)
	if err != nil {
		return nil
	}
	return &source{hub: id, feed: sub}
}

// follow takes the updates of a source until its feed fails or a better one is
// found, which it returns.
func (f *follower) follow(ctx context.Context, s *source) *source {
	defer s.feed.Close()
	// What others doubt is not known without a feed.
	defer f.Core.SetSharedReports(nil, nil)
	u, err := s.feed.Next()
	if err != nil {
		f.Log.Warn("feed lost", zap.String(logging.Hub, string(s.hub)), zap.Error(err))
		return nil
	}
	f.feeds.Add(1)
	f.Log.Info("feed connected", zap.String(logging.Hub, string(s.hub)), zap.Bool("Current", u.Current),
		zap.Bool("Complete", u.Complete), zap.Int("Targets", len(u.Records)))
	var found chan *source
	var searched, current time.Time
	pause := emptyInterval
	for {
		now := time.Now()
		err = f.take(u, now)
		if u.Current || current.IsZero() {
			current = now
		}
		stale := now.Sub(current) > staleLimit
		number := f.number()
		due := now.Sub(searched) > searchInterval && (stale || f.away(s.hub)) ||
			number == 0 && now.Sub(searched) > pause
		if found == nil && due {
			searched, pause = now, min(2*pause, searchInterval)
			found = make(chan *source, 1)
			go func(near bool) { found <- f.search(ctx, f.candidates(near), 1) }(!stale && number > 0)
		}
		select {
		case n := <-found:
			found = nil
			if n.usable(number) && (n.feed.Greeting.Current || number == 0) {
				return n
			}
			n.close()
		default:
		}
		if err == nil {
			if u.Pool != nil {
				f.Core.SetSharedReports(u.Pool.Shared, u.Pool.SharedOverdue)
				f.Core.SetEntryVMs(u.Pool.Entries)
			}
			f.Core.Tick(now)
			err = f.acknowledge(s, u.Version)
		}
		if err == nil {
			u, err = s.feed.Next()
		}
		if err != nil {
			if ctx.Err() == nil {
				f.Log.Warn("feed lost", zap.String(logging.Hub, string(s.hub)), zap.Error(err))
			}
			if found != nil {
				return <-found
			}
			return nil
		}
	}
}

// acknowledge tells a hub what this VM has taken over and which targets do not
// answer it.
func (f *follower) acknowledge(s *source, v registry.Version) error {
	f.mu.Lock()
	ack := feed.Ack{Version: v, Number: f.mirror.number(), Doubts: f.Core.Suspects(), Overdue: f.Core.Overdue(time.Now())}
	f.source, f.version = s, v
	f.mu.Unlock()
	return s.feed.Acknowledge(ack)
}

// doubtsChanged tells the hub at once that another target does not answer.
func (f *follower) doubtsChanged() {
	f.mu.Lock()
	s, v := f.source, f.version
	f.mu.Unlock()
	if s != nil {
		// Where the connection has failed, the next hub is told.
		_ = f.acknowledge(s, v)
	}
}

// away reports whether a hub is in another zone although the own one has a hub.
func (f *follower) away(id fleet.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	near := false
	for _, h := range f.hubs {
		if h.VM == id && h.Zone == f.Hello.Zone {
			return false
		}
		near = near || h.Zone == f.Hello.Zone
	}
	return near
}

func (f *follower) number() catalog.Number {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.number()
}

func (f *follower) take(u *feed.Update, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard.Store(now.UnixNano())
	if len(u.Hubs) > 0 {
		f.hubs = u.Hubs
	}
	f.tell(u)
	before := f.mirror.number()
	changed, err := f.mirror.take(u, now)
	if n := f.mirror.number(); n != before {
		f.catalogAt.Store(now.UnixNano())
		f.Log.Info("catalog in force", zap.Uint64(logging.Number, uint64(n)), zap.Uint64("Before", uint64(before)),
			zap.Bool("Full", u.Catalog.Full), zap.Int("Changed", len(u.Catalog.Routes)), zap.Int("Removed", len(u.Catalog.Removed)))
	}
	if changed {
		f.Apply(&f.mirror, now)
	}
	return err
}

// tell writes a line for each target that has changed, but for the list with
// which a feed begins.
func (f *follower) tell(u *feed.Update) {
	if u.Full {
		return
	}
	for i := range u.Records {
		rec := &u.Records[i]
		f.Log.Info("target changed", zap.Stringer(logging.Target, rec.Target.ID), zap.String(logging.State, string(rec.State())),
			zap.Uint64(logging.Sequence, uint64(rec.Sequence)), zap.Duration("Heard", rec.Age))
	}
}

// states counts the targets by their states, and returns the catalog's number.
func (f *follower) states() (map[fleet.TargetState]int, catalog.Number) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.states(), f.mirror.number()
}

// ages returns the time since the catalog and since the last update came, 0
// where none has. It takes no lock, since the goroutine of the packets calls it.
func (f *follower) ages(now time.Time) (catalog, feed time.Duration) {
	return age(&f.catalogAt, now), age(&f.heard, now)
}

func age(at *atomic.Int64, now time.Time) time.Duration {
	ns := at.Load()
	if ns == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, ns))
}
