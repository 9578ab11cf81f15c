package gateway

import (
	"cmp"
	"context"
	"errors"
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
	// retryDelay is the delay before the next search after a search in which no
	// hub has responded.
	retryDelay = 50 * time.Millisecond
	// attemptDelay is the time after which the next hub is tried in parallel with
	// those that have not responded: a hub in another zone responds within some
	// milliseconds.
	attemptDelay = 40 * time.Millisecond
	// searchRounds is the maximum number of attempts per hub in a search while no
	// feed is open. One attempt is not enough, because the first packet to a VM that is
	// not powered on yet is lost without an error.
	searchRounds = 3
	// maxAttempts bounds the number of concurrent attempts: more attempts would
	// further slow down hubs that are overloaded by many VMs.
	maxAttempts = 4
	// repeatDelay is the time after which another connection to a hub is opened if the
	// greeting has not arrived, because a connection may go silent without an error.
	// The delay doubles with each such connection, up to maxRepeatDelay, after which a
	// VM that was cut off finds a hub again.
	repeatDelay    = feed.IdleTimeout / 4
	maxRepeatDelay = 2 * feed.IdleTimeout
	// maxPatience is the maximum time for which a hub that has accepted a connection
	// may take to send its greeting. The time begins at feed.IdleTimeout and doubles
	// each time the hub has taken longer: a hub that is overloaded by returning VMs
	// would never serve VMs that give up before their turn.
	maxPatience = 4 * feed.IdleTimeout
	// maxRetryDelay is the maximum delay between two searches. The delay begins at
	// retryDelay and doubles with each search in which no hub has responded.
	maxRetryDelay = time.Second
	// staleLimit is the maximum time for which a feed is used although its hub has no
	// contact with a majority: an election may be in progress.
	staleLimit = time.Second
	// searchInterval is the time between two searches for a better hub. While this
	// VM has no catalog, the interval begins at minSearchInterval, because another
	// hub may have a catalog. The interval then doubles up to searchInterval,
	// because no hub has a catalog before the first configuration.
	searchInterval    = 2 * time.Second
	minSearchInterval = 200 * time.Millisecond
	// ackInterval is the time after which an update without changes is
	// acknowledged. It is less than half of feed.IdleTimeout, after which a hub
	// considers this VM unreachable.
	ackInterval = 500 * time.Millisecond
)

type (
	// follower updates the mirror from the feed of one hub at a time. Exported
	// fields must be set before run.
	follower struct {
		Hello feed.Hello
		// Port is the port of the feed on every hub.
		Port uint16
		Log  *zap.Logger
		// Apply is called with the mirror after each change, with mu held.
		Apply func(m *mirror, c *mirrorChange, now time.Time)
		// Core provides the targets that this VM reports as suspected or overdue,
		// and receives the targets that several VMs report.
		Core *steering.Core

		// mu guards the fields that the goroutine of run shares with setSeeds,
		// searches, the checker and the metrics.
		mu     sync.Mutex
		seeds  []fleet.VMID
		hubs   []feed.Hub
		mirror mirror
		// confirmation tells whether the state in mirror is confirmed.
		confirmation confirmation
		// unanswered holds the hubs that have accepted a connection and have not sent a
		// greeting since.
		unanswered map[fleet.VMID]*unansweredHub
		// source is the current hubFeed, lastAck the last Ack to its hub, and ackedAt
		// the time of that Ack.
		source  *hubFeed
		lastAck feed.Ack
		ackedAt time.Time
		// updatedAt and catalogAt are the times of the last update and of the last
		// catalog, in Unix nanoseconds, and 0 before the first.
		updatedAt, catalogAt atomic.Int64
		feedsStarted         atomic.Uint64
	}

	// unansweredHub describes a hub whose greeting has not arrived: next is the earliest
	// time of the next connection, repeat the time from that one to the one after it,
	// and patience the time for which the greeting of a connection may take.
	unansweredHub struct {
		next             time.Time
		repeat, patience time.Duration
	}

	// hubFeed is a hub that has sent a greeting, and the subscription to its feed.
	hubFeed struct {
		hub  fleet.VMID
		feed *feed.Subscription
		// behind is set if the revision of the hub's zones is lower than that of this
		// VM's, so that the hub may lack zone orders in force. ahead is set if the hub's
		// catalog or zones were newer than this VM's.
		behind, ahead bool
		// unconfirmedSince is the start of the hub if no majority has confirmed its state
		// since, or the zero time.
		unconfirmedSince time.Time
	}
)

// setSeeds replaces the seeds.
func (f *follower) setSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = f.seeds[:0:0]
	for _, s := range seeds {
		f.seeds = append(f.seeds, hub.IDOf(s))
	}
}

// candidates returns the hubs in the order in which they are tried: known hubs of
// this VM's zone, other known hubs, and the seeds in random order, so that VMs that
// start at the same time distribute their connections. With localOnly, it returns
// only the hubs of this VM's zone.
func (f *follower) candidates(localOnly bool) []fleet.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids, remote []fleet.VMID
	for _, h := range f.hubs {
		if h.Zone == f.Hello.Zone {
			ids = append(ids, h.VM)
		} else {
			remote = append(remote, h.VM)
		}
	}
	if localOnly {
		return ids
	}
	ids = append(ids, remote...)
	for _, i := range rand.Perm(len(f.seeds)) {
		if !slices.Contains(ids, f.seeds[i]) {
			ids = append(ids, f.seeds[i])
		}
	}
	return ids
}

// run searches for hubs and follows their feeds until ctx ends.
func (f *follower) run(ctx context.Context) error {
	var s *hubFeed
	delay := retryDelay
	for ctx.Err() == nil {
		if s == nil {
			s = f.search(ctx, f.candidates(false), searchRounds)
		}
		if s != nil {
			s, delay = f.follow(ctx, s), retryDelay
			continue
		}
		f.Log.Warn("no hub answers", zap.Duration("Retry", delay))
		select {
		case <-ctx.Done():
		case <-time.After(delay/2 + rand.N(delay)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// search connects to the candidates in order, up to rounds times each. It starts
// the next attempt when an attempt ends, or after attemptDelay if fewer than
// maxAttempts attempts are in progress. It returns the first usable hubFeed whose
// hub is in contact with a majority. While it has found none, it returns:
//   - the best hubFeed found, if that hubFeed is usable and each candidate has
//     been tried or was silent too recently to be tried again;
//   - the best hubFeed found, at most attemptDelay after the start of the last
//     attempt and after each response since;
//   - the result of the next attempt that ends, which may be nil, if no hub has
//     responded by the start of the last attempt.
//
// While this VM has no catalog, hubs without a catalog, for example after the loss
// of a disk, rank last. Hubs with older zone orders than this VM rank below others.
// Among hubs without a majority, those with a newer catalog or newer zone orders than
// this VM rank first, the newest of them above the others.
func (f *follower) search(ctx context.Context, candidates []fleet.VMID, rounds int) *hubFeed {
	number := f.number()
	total := rounds * len(candidates)
	results := make(chan *hubFeed, total)
	var best *hubFeed
	attempts, pending := 0, 0
	nextAttempt := time.NewTimer(0)
	defer nextAttempt.Stop()
	for attempts < total || pending > 0 {
		select {
		case <-nextAttempt.C:
			if attempts == total || best.usable(number) && attempts >= len(candidates) {
				// The hubs of pending attempts may never respond.
				closePending(results, pending)
				return best
			}
			if pending == maxAttempts {
				continue
			}
			i := f.nextCandidate(candidates, attempts, time.Now())
			if i < 0 && (pending == 0 || best.usable(number)) {
				closePending(results, pending)
				return best
			}
			if i < 0 {
				nextAttempt.Reset(attemptDelay)
				continue
			}
			id := candidates[i]
			attempts++
			pending++
			go func() { results <- f.open(ctx, id, number) }()
			if attempts < total || best != nil {
				nextAttempt.Reset(attemptDelay)
			}
		case s := <-results:
			pending--
			best = better(best, s, number)
			if best.rank(number) == topRank {
				closePending(results, pending)
				return best
			}
			wait := time.Duration(0)
			if pending > 0 && attempts >= len(candidates) && best.usable(number) {
				// A hub that has not responded yet may have a newer catalog.
				wait = attemptDelay
			}
			nextAttempt.Reset(wait)
		}
	}
	return best
}

// usable reports whether a VM can forward packets if it follows the hubFeed: the
// VM or the hub must have a catalog. number is the number of the VM's catalog.
func (s *hubFeed) usable(number catalog.Number) bool {
	return s != nil && (number > 0 || s.feed.Greeting.Number > 0)
}

// replaces reports whether a usable hubFeed replaces the one that this VM follows, whose
// hub is in contact with a majority if current is set.
func (s *hubFeed) replaces(current bool, number catalog.Number) bool {
	if !current && s.ahead {
		return true
	}
	return !s.behind && (s.feed.Greeting.Current || number == 0)
}

// topRank is the highest result of rank.
const topRank = 5

// rank returns the rank of a hubFeed; higher is better. A usable hubFeed ranks
// above an unusable one. Among usable ones, those whose hubs are in contact with a
// majority rank highest, followed by those whose hubs have a newer catalog or newer
// zone orders than this VM: all that is published was committed, so it is in force.
// Those whose hubs have older zone orders than this VM rank lowest.
func (s *hubFeed) rank(number catalog.Number) int {
	switch {
	case s == nil:
		return 0
	case !s.usable(number):
		return 1
	case s.ahead && !s.feed.Greeting.Current:
		return 4
	case s.behind:
		return 2
	case !s.feed.Greeting.Current:
		return 3
	}
	return topRank
}

// compare returns a number above 0 if a is the better of two hubFeeds, below 0 if b is,
// and 0 if both are as good. Either may be nil.
func compare(a, b *hubFeed, number catalog.Number) int {
	if c := cmp.Compare(a.rank(number), b.rank(number)); c != 0 || a == nil {
		return c
	}
	x, y := &a.feed.Greeting, &b.feed.Greeting
	return cmp.Or(cmp.Compare(x.Number, y.Number), cmp.Compare(x.ZoneRevision, y.ZoneRevision))
}

// better returns the better of two hubFeeds, either of which may be nil, and closes
// the other.
func better(a, b *hubFeed, number catalog.Number) *hubFeed {
	if compare(b, a, number) > 0 {
		a, b = b, a
	}
	if b != nil {
		b.feed.Close()
	}
	return a
}

// closePending closes, in a new goroutine, the hubFeeds of the n attempts that
// are still in progress.
func closePending(answers <-chan *hubFeed, n int) {
	go func() {
		for range n {
			(<-answers).close()
		}
	}()
}

func (s *hubFeed) close() {
	if s != nil {
		s.feed.Close()
	}
}

// open opens the feed of a hub. It returns nil if that fails.
func (f *follower) open(ctx context.Context, id fleet.VMID, number catalog.Number) *hubFeed {
	hello := f.Hello
	hello.Number, hello.ZoneRevision = number, f.zoneRevision()
	conn, err := feed.Dial(ctx, hub.AddressOf(id, f.Port))
	if err != nil {
		return nil
	}
	sub, err := feed.Greet(ctx, conn, &hello, f.beginGreeting(id, time.Now()))
	f.endGreeting(id, err)
	if err != nil {
		return nil
	}
	g := &sub.Greeting
	f.greeted(g)
	s := &hubFeed{
		hub: id, feed: sub, behind: g.ZoneRevision < hello.ZoneRevision,
		ahead: g.Number > hello.Number || g.ZoneRevision > hello.ZoneRevision,
	}
	if g.UnconfirmedFor > 0 {
		s.unconfirmedSince = time.Now().Add(-g.UnconfirmedFor)
	}
	return s
}

// nextCandidate returns the index of the candidate for the given attempt: the next
// one to which no connection was opened too recently, or -1 if there is none.
func (f *follower) nextCandidate(candidates []fleet.VMID, attempt int, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range candidates {
		n := (attempt + i) % len(candidates)
		if r := f.unanswered[candidates[n]]; r == nil || !now.Before(r.next) {
			return n
		}
	}
	return -1
}

// beginGreeting records that a hub has accepted a connection, and returns the time
// for which the hub may take to send its greeting.
func (f *follower) beginGreeting(id fleet.VMID, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.unanswered[id]
	if r == nil {
		if f.unanswered == nil {
			f.unanswered = make(map[fleet.VMID]*unansweredHub)
		}
		r = &unansweredHub{repeat: repeatDelay, patience: feed.IdleTimeout}
		f.unanswered[id] = r
	}
	r.next = now.Add(r.repeat)
	r.repeat = min(2*r.repeat, maxRepeatDelay)
	return r.patience
}

// endGreeting records the result of a greeting.
func (f *follower) endGreeting(id fleet.VMID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.unanswered[id]
	var slow *feed.GreetingTimeoutError
	switch {
	case r == nil:
	case errors.As(err, &slow):
		r.patience = min(max(r.patience, 2*slow.After), maxPatience)
	default:
		delete(f.unanswered, id)
	}
}

// follow applies the updates of a hubFeed. It returns a better hubFeed when it
// finds one. If the feed of the hubFeed fails, follow returns the result of the
// search in progress, or nil if there is none.
func (f *follower) follow(ctx context.Context, s *hubFeed) *hubFeed {
	defer s.feed.Close()
	// The reports of other VMs are outdated when the feed has ended.
	defer f.Core.SetSharedReports(nil, nil)
	defer func() { f.Core.SetDoubted(nil, nil, time.Now()) }()
	var lost []fleet.Incarnation
	defer func() { f.Core.SetFleetLoad(nil, time.Now()) }()
	u, err := s.feed.Next()
	if err != nil {
		f.Log.Warn("feed lost", zap.String(logging.Hub, string(s.hub)), zap.Error(err))
		return nil
	}
	f.feedsStarted.Add(1)
	f.Log.Info("feed connected", zap.String(logging.Hub, string(s.hub)), zap.Bool("Current", u.Current),
		zap.Bool("Complete", u.Complete), zap.Int("Targets", len(u.Records)))
	var searchResult chan *hubFeed
	var lastSearch, lastCurrent time.Time
	lastStale := false // whether the feed has been stale since the last search
	emptySearchDelay := minSearchInterval
	for {
		now := time.Now()
		if u.Dropped > 0 {
			f.Log.Warn("invalid records of a hub left out", zap.String(logging.Hub, string(s.hub)), zap.Int("Records", u.Dropped))
		}
		f.updateConfirmation(s, u)
		err = f.applyUpdate(u, now)
		if u.Current || lastCurrent.IsZero() {
			lastCurrent = now
		}
		stale := now.Sub(lastCurrent) > staleLimit
		lastStale = lastStale && stale
		number := f.number()
		// A search for a hub of this zone must not delay the first search for a hub with
		// a majority: an evacuation has to reach this VM within 5 s.
		due := stale && !lastStale || now.Sub(lastSearch) > searchInterval && (stale || f.localHubPreferred(s.hub)) ||
			number == 0 && now.Sub(lastSearch) > emptySearchDelay
		if searchResult == nil && due {
			lastSearch, lastStale, emptySearchDelay = now, stale, min(2*emptySearchDelay, searchInterval)
			searchResult = make(chan *hubFeed, 1)
			go func(localOnly bool) { searchResult <- f.search(ctx, f.candidates(localOnly), 1) }(!stale && number > 0)
		}
		select {
		case candidate := <-searchResult:
			searchResult = nil
			if candidate.usable(number) && candidate.replaces(u.Current, number) {
				return candidate
			}
			candidate.close()
		default:
		}
		if err == nil {
			if u.Reports != nil {
				f.Core.SetSharedReports(u.Reports.SharedSuspects, u.Reports.SharedOverdue)
				f.Core.SetEntryVMs(u.Reports.EntryVMs)
				f.Core.SetFleetLoad(u.Reports.Load, now)
			} else {
				f.Core.ConfirmFleetLoad(now)
			}
			f.Core.SetBindings(u.Bindings, now)
			lost = f.applyLost(u, lost, now)
			f.Core.Updated(now)
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
			if searchResult != nil {
				return <-searchResult
			}
			return nil
		}
	}
}

// acknowledge sends the hub the versions of the targets and of the catalog that this VM
// has applied, the targets that this VM suspects, the targets at which requests that this
// VM forwarded were recently overdue, the load report that is due, if any, and the contested
// flows that it has not reported yet. It sends nothing if the hub has been sent the same
// less than ackInterval ago.
func (f *follower) acknowledge(s *hubFeed, v registry.Version) error {
	now := time.Now()
	f.mu.Lock()
	ack := feed.Ack{
		Version: v, Number: f.mirror.number(), Suspects: f.Core.Suspects(), Overdue: f.Core.Overdue(now),
		ZoneRevision: f.mirror.zones.Revision,
	}
	slices.Sort(ack.Suspects)
	ack.Failed, ack.Answered = f.Core.Failed(ack.Suspects, now), f.Core.Answered(now)
	slices.Sort(ack.Answered)
	slices.Sort(ack.Overdue)
	ack.Load = f.Core.LoadReport(now)
	ack.Bindings = f.Core.Bindings(f.source != s)
	if f.source == s && now.Sub(f.ackedAt) < ackInterval && ack.Equal(&f.lastAck) {
		f.mu.Unlock()
		return nil
	}
	f.source, f.lastAck, f.ackedAt = s, ack, now
	f.mu.Unlock()
	return s.feed.Acknowledge(ack)
}

// acknowledgeAgain sends the hub what has changed since the last acknowledgement at once:
// the list of suspected targets, or contested flows.
func (f *follower) acknowledgeAgain() {
	f.mu.Lock()
	s, v := f.source, f.lastAck.Version
	f.mu.Unlock()
	if s != nil {
		// If the connection has failed, the next hub receives the list when this VM
		// acknowledges the first update of that hub.
		_ = f.acknowledge(s, v)
	}
}

// localHubPreferred reports whether a hub is in another zone while this VM's zone
// has a hub.
func (f *follower) localHubPreferred(id fleet.VMID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	localHub := false
	for _, h := range f.hubs {
		if h.VM == id && h.Zone == f.Hello.Zone {
			return false
		}
		localHub = localHub || h.Zone == f.Hello.Zone
	}
	return localHub
}

func (f *follower) number() catalog.Number {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.number()
}

func (f *follower) zoneRevision() catalog.ZoneRevision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.zones.Revision
}

func (f *follower) applyUpdate(u *feed.Update, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updatedAt.Store(now.UnixNano())
	if len(u.Hubs) > 0 {
		f.hubs = u.Hubs
	}
	f.logChanges(u)
	before := f.mirror.number()
	change, err := f.mirror.apply(u, now)
	if n := f.mirror.number(); n != before {
		f.catalogAt.Store(now.UnixNano())
		f.Log.Info("catalog in force", zap.Uint64(logging.Number, uint64(n)), zap.Uint64("Before", uint64(before)),
			zap.Bool("Full", u.Catalog.Full), zap.Int("Changed", len(u.Catalog.Routes)), zap.Int("Removed", len(u.Catalog.Removed)))
	}
	if !change.empty() {
		f.Apply(&f.mirror, &change, now)
	}
	if change.zones {
		f.Log.Info("zone orders in force", zap.Uint64(logging.Revision, uint64(f.mirror.zones.Revision)),
			zap.Any("Evacuated", f.mirror.zones.Evacuated), zap.Any("Restored", f.mirror.zones.Restored))
	}
	return err
}

// logChanges logs each changed target of an update. It does not log the targets
// of a full update, which begins a feed.
func (f *follower) logChanges(u *feed.Update) {
	if u.Full {
		return
	}
	for i := range u.Records {
		rec := &u.Records[i]
		f.Log.Info("target changed", zap.Stringer(logging.Target, rec.Target.ID), zap.String(logging.State, string(rec.State())),
			zap.Uint64(logging.Sequence, uint64(rec.Sequence)), zap.Duration("Heard", rec.Age))
	}
}

// applyLost passes the lost targets in an update to the core, logs those that have
// become lost or no longer are, and returns them. lost holds those before.
func (f *follower) applyLost(u *feed.Update, lost []fleet.Incarnation, now time.Time) []fleet.Incarnation {
	if !f.Core.LoadReports {
		return nil
	}
	before := lost
	switch {
	case u.Reports != nil:
		lost = u.Reports.Lost
		f.Core.SetDoubted(lost, u.Reports.Candidates, now)
	case !u.Current && len(lost) > 0:
		// A hub without a majority may not have heard announcements.
		lost = nil
		f.Core.SetDoubted(nil, nil, now)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range lost {
		if !slices.Contains(before, id) {
			f.Log.Warn("target lost", zap.Stringer(logging.Target, f.mirror.records[id].Target.ID), zap.Int("Lost", len(lost)))
		}
	}
	for _, id := range before {
		if !slices.Contains(lost, id) {
			f.Log.Info("target no longer lost", zap.Stringer(logging.Target, f.mirror.records[id].Target.ID), zap.Int("Lost", len(lost)))
		}
	}
	return lost
}

// states returns the number of targets by state, and the catalog's number.
func (f *follower) states() (map[fleet.TargetState]int, catalog.Number) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.states(), f.mirror.number()
}

// ages returns the time since the current catalog and since the last update were
// received, or 0 before the first. It takes no lock, since the goroutine that
// forwards packets calls it.
func (f *follower) ages(now time.Time) (catalog, feed time.Duration) {
	return age(&f.catalogAt, now), age(&f.updatedAt, now)
}

func age(unixNano *atomic.Int64, now time.Time) time.Duration {
	ns := unixNano.Load()
	if ns == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, ns))
}
