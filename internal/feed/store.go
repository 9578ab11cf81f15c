package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// Store holds the state that a control VM publishes: the catalog, the targets, the
// list of hubs and the reports of entry VMs. It is safe for concurrent use.
type Store struct {
	self    fleet.VMID
	mu      sync.Mutex
	targets *registry.Registry
	// restored holds the targets of an earlier run that no hub has heard yet.
	restored restoredTargets
	catalog  catalog.History
	// served contains the services of the catalog, and those of earlier ones that still
	// have targets.
	served map[fleet.ServiceID]bool
	// current and complete are the values of Update.Current and Update.Complete.
	// leaderKnown is set while this hub knows the leader of a majority of the hubs.
	current, leaderKnown bool
	complete             bool
	// wasCurrent is set once current has been set since startedAt, the start of the process.
	wasCurrent bool
	startedAt  time.Time
	// fullFrom holds the hubs that have sent their full state since the start, and
	// settled is set one silence limit after the start, at settledAt.
	fullFrom  map[fleet.VMID]bool
	settled   bool
	settledAt time.Time
	hubs      []Hub
	// zones holds the zone of this hub and of each hub that has sent a Hello.
	zones map[fleet.VMID]fleet.ZoneID
	// lastRun is the time at which this process was last known to run, and catchUpUntil
	// the time until which CatchingUp is true.
	lastRun, catchUpUntil time.Time
	// completeAt is the time from which complete is set. It is one silence limit
	// after the start, so that every live target has had time to announce itself,
	// or earlier if another hub has sent its full and complete state.
	completeAt time.Time
	// entryFeed and controlFeed are the feeds of entry VMs and of control VMs.
	entryFeed, controlFeed feedState
	// connections holds the newest connection of each connected VM by its Hello. What
	// arrives on an earlier one may be from before a restart of the VM.
	connections map[fleet.VMID]*Hello
	// ackedVersions holds the last version that each connected control VM has
	// acknowledged; acked is closed and replaced at each acknowledgement.
	ackedVersions map[fleet.VMID]registry.Version
	acked         chan struct{}
	// suspected holds the reports of targets that may be failing, and overdue
	// the reports of targets with overdue requests.
	suspected, overdue targetReports
	// lost decides which targets are lost if lostEnabled is set.
	lost        lostTargets
	lostEnabled bool
	// load aggregates the load reports. It is nil without the setting LoadReports.
	load *loadReports
	// subscribers counts the connections by role.
	subscribers map[Role]int
	// entryVMsByHub holds, for each of the other hubs, the number of entry VMs that are
	// connected to that hub.
	entryVMsByHub map[fleet.VMID]int
	// sources holds the hubs whose feeds this hub receives, and followed, for each
	// connected control VM, the hubs whose feeds that VM receives.
	sources  map[fleet.VMID]bool
	followed map[fleet.VMID]map[fleet.VMID]bool
	// zoneOrders holds the zone orders in force, and entryVMs the connected entry
	// VMs by the Hello of their connections.
	zoneOrders catalog.Zones
	entryVMs   map[*Hello]catalog.ZoneRevision
	// unheld holds the targets that may be cold and without holders, with the time
	// since when, and holdersChosen counts the choices of holders.
	unheld        map[fleet.Incarnation]time.Time
	holdersChosen uint64
	bindings      bindingLog
}

// NewStore returns a store of the hub self, without a catalog.
func NewStore(self Hub, targets *registry.Registry, now time.Time) *Store {
	s := &Store{
		self:          self.VM,
		zones:         map[fleet.VMID]fleet.ZoneID{self.VM: self.Zone},
		targets:       targets,
		restored:      newRestoredTargets(now.Add(targets.SilenceLimit), now),
		served:        make(map[fleet.ServiceID]bool),
		fullFrom:      make(map[fleet.VMID]bool),
		completeAt:    now.Add(targets.SilenceLimit),
		settledAt:     now.Add(targets.SilenceLimit),
		lastRun:       now,
		startedAt:     now,
		entryFeed:     newFeedState(Entry),
		controlFeed:   newFeedState(Control),
		connections:   make(map[fleet.VMID]*Hello),
		ackedVersions: make(map[fleet.VMID]registry.Version),
		acked:         make(chan struct{}),
		suspected:     newTargetReports(),
		overdue:       newTargetReports(),
		lost:          newLostTargets(),
		subscribers:   map[Role]int{Entry: 0, Control: 0},
		entryVMsByHub: make(map[fleet.VMID]int),
		sources:       make(map[fleet.VMID]bool),
		followed:      make(map[fleet.VMID]map[fleet.VMID]bool),
		entryVMs:      make(map[*Hello]catalog.ZoneRevision),
		unheld:        make(map[fleet.Incarnation]time.Time),
		bindings:      newBindingLog(),
	}
	targets.LimitsCold = func(id fleet.ServiceID) bool { return s.coldBudget(id) > 0 }
	targets.Known = func(id fleet.ServiceID) bool { return hasService(s.catalog.Newest(), id) }
	return s
}

// notify wakes the subscribers of both roles after a change.
func (s *Store) notify() {
	s.controlFeed.notify()
	s.entryFeed.notify()
}

// SetCatalog publishes a committed catalog if its number is higher than that of
// the published catalog.
func (s *Store) SetCatalog(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setCatalogLocked(c)
}

func (s *Store) setCatalogLocked(c *catalog.Catalog) {
	if s.catalog.Add(c) {
		s.updateServed(c)
		s.notify()
	}
}

// SetHubs publishes the list of hubs. leaderKnown is set while this hub knows the
// leader, which is in contact with a majority of the hubs.
func (s *Store) SetHubs(ids []fleet.VMID, leaderKnown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderKnown = leaderKnown
	hubs := make([]Hub, 0, len(ids))
	for _, id := range ids {
		hubs = append(hubs, Hub{VM: id, Zone: s.zones[id]})
	}
	if !slices.Equal(hubs, s.hubs) {
		s.hubs = hubs
		s.notify()
	}
	s.updateCurrent()
}

// ForgetLeader records that this hub does not know the leader until the next call of
// SetHubs.
func (s *Store) ForgetLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaderKnown = false
	s.updateCurrent()
}

// updateCurrent updates current. After a restart, the targets are those of the
// cache file, which may be older than the end of a target that a majority has
// acknowledged. The hub is therefore not current until it has received the full
// state of so many hubs that they form a majority with itself, or until each
// target has had time to announce itself again.
func (s *Store) updateCurrent() {
	n := 1
	for _, h := range s.hubs {
		if s.fullFrom[h.VM] {
			n++
		}
	}
	current := s.leaderKnown && (s.settled || n > len(s.hubs)/2)
	if current != s.current {
		s.current = current
		s.wasCurrent = s.wasCurrent || current
		s.notify()
	}
}

// noticeSuspension makes the hub neither current nor complete after a time in which the
// process did not run, as after a restart: it has missed announcements and their ends,
// and entry VMs that took its targets for all would reset flows to the others.
func (s *Store) noticeSuspension(now time.Time) {
	gap := now.Sub(s.lastRun)
	if gap > 0 {
		s.lastRun = now
	}
	if gap <= maxTickGap {
		return
	}
	clear(s.fullFrom)
	s.catchUpUntil = now.Add(catchUpTime)
	s.settled, s.complete = false, false
	s.settledAt, s.completeAt = now.Add(s.targets.SilenceLimit), now.Add(s.targets.SilenceLimit)
	s.updateCurrent()
	s.notify()
}

// CatchingUp reports whether this process has just been suspended. Calls of targets may
// have waited meanwhile, and this hub does not know yet what the others have heard.
func (s *Store) CatchingUp(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeSuspension(now)
	return now.Before(s.catchUpUntil)
}

// HubOf returns a hub in a zone to which the target id should announce itself: this
// hub or one whose feed this hub receives. The targets of a zone are distributed
// over the hubs of the zone. HubOf returns "" if the zone has no such hub.
func (s *Store) HubOf(zone fleet.ZoneID, id fleet.Incarnation) fleet.VMID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []fleet.VMID
	for _, h := range s.hubs {
		if h.Zone == zone && (h.VM == s.self || s.sources[h.VM]) {
			ids = append(ids, h.VM)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[uint64(id)%uint64(len(ids))]
}

// Hubs returns the published list of hubs. Callers must not modify it.
func (s *Store) Hubs() []Hub {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hubs
}

// setZone records the zone of a hub.
func (s *Store) setZone(id fleet.VMID, zone fleet.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones[id] = zone
}

// Merge merges the record of an announcement to this hub into the registry and
// returns the version that includes it. It returns the errors of registry.Registry.Merge,
// and a ServiceError if the announcement would take the place of a target in use.
func (s *Store) Merge(rec registry.Record, now time.Time) (registry.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkPlace(&rec); err != nil {
		return 0, err
	}
	before := s.targets.Version()
	rec.ZoneRevision = s.zoneOrders.RestoredAt(rec.Target.Zone)
	if _, err := s.targets.Merge(rec, now); err != nil {
		return 0, err
	}
	if err := s.claimRestored(&rec, now); err != nil {
		return 0, err
	}
	s.trackCold(&rec, now)
	s.chooseHolders(now)
	s.withdrawLost([]registry.Record{rec}, now)
	s.notifyTargets(before)
	return s.targets.Version(), nil
}

// Drain is Merge for the record of a draining target that arrived at the given time. It
// reports whether the drain is in force: no process of the target with a later start takes
// new flows, or that process has announced itself after the record arrived, which is then a
// late one of a process that has ended.
func (s *Store) Drain(rec registry.Record, arrived, now time.Time) (v registry.Version, inForce bool, err error) {
	v, err = s.Merge(rec, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	outdated := s.targets.IsOutdatedDrain(&rec) && !s.targets.LastHeard(rec.Target.ID.Incarnation).After(arrived)
	return v, !outdated, err
}

// Leave records that a target has announced its end, as registry.Registry.Leave does, and
// returns the version that includes the change, if there is one.
func (s *Store) Leave(l registry.Leave, now time.Time) registry.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.targets.Version()
	if rec, ok := s.restored.take(l.Target); ok {
		// Restore fails only for invalid records, which Store.Restore refuses.
		_ = s.targets.Restore(rec, now)
	}
	s.targets.Leave(l, now)
	s.notifyTargets(before)
	return s.targets.Version()
}

// notifyTargets wakes the subscribers if a target has changed since the version
// before.
func (s *Store) notifyTargets(before registry.Version) {
	if s.targets.Version() > before {
		s.notify()
	}
}

// ApplyUpdate merges an update of another hub. It returns the errors of
// registry.Registry.Merge and of catalog.Catalog.Apply.
func (s *Store) ApplyUpdate(from fleet.VMID, u *Update, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Reports != nil {
		s.entryVMsByHub[from] = u.Reports.EntryVMs
		s.suspected.setHubCounts(from, u.Reports.Suspects)
		s.overdue.setHubCounts(from, u.Reports.Overdue)
		if s.lostEnabled {
			s.lost.setHub(from, u.Reports)
		}
	}
	s.mergeLoad(from, u.Reports, now)
	// A hub that has lost its disk receives the catalog from the feed of another
	// hub earlier than from the replicated log.
	if u.Catalog != nil && u.Catalog.To > s.catalog.Number() {
		c, err := s.catalog.Newest().Apply(u.Catalog)
		if err != nil {
			return err
		}
		s.setCatalogLocked(c)
	}
	// A hub that is cut off from the leader only receives committed zone orders
	// from the feed of another hub.
	if u.Zones != nil {
		s.setZonesLocked(*u.Zones)
	}
	before := s.targets.Version()
	for _, rec := range u.Records {
		if _, err := s.targets.MergeFrom(from, rec, now); err != nil {
			return err
		}
		if err := s.claimRestored(&rec, now); err != nil {
			return err
		}
		s.trackCold(&rec, now)
	}
	s.chooseHolders(now)
	s.withdrawLost(u.Records, now)
	for _, h := range u.Heard {
		s.targets.Renew(h, from, now)
	}
	if u.Full && u.Complete && now.Before(s.completeAt) {
		s.completeAt = now
	}
	if s.bindings.add(u.Bindings, false, now) {
		s.entryFeed.notify()
	}
	s.sources[from] = true
	if u.Full {
		s.fullFrom[from] = true
		s.updateCurrent()
	}
	s.notifyTargets(before)
	return nil
}

// Sources returns the hubs whose feeds this hub receives, sorted by ID.
func (s *Store) Sources() []fleet.VMID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.sources))
}

// Tick marks silent targets and aggregates the reports of entry VMs. It must be called
// more often than each maxTickGap.
func (s *Store) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeSuspension(now)
	s.aggregateReports()
	s.aggregateLoad(now)
	s.bindings.expire(now)
	before := s.targets.Version()
	s.targets.Tick(now)
	s.updateLost(now)
	s.chooseHolders(now)
	if !s.settled && !now.Before(s.settledAt) {
		s.settled = true
		s.updateCurrent()
	}
	if s.restored.tick(s.current, now) {
		s.entryFeed.notify()
	}
	complete := !now.Before(s.completeAt)
	if s.targets.Version() != before || complete != s.complete {
		s.complete = complete
		s.notify()
	}
}

// connect makes the connection of hello the newest one of its VM, which has received
// nothing yet.
func (s *Store) connect(hello *Hello) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[hello.VM] = hello
	delete(s.ackedVersions, hello.VM)
	delete(s.followed, hello.VM)
}

// disconnect removes what a VM has reported, if the connection of hello is its newest one.
func (s *Store) disconnect(hello *Hello, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections[hello.VM] != hello {
		return
	}
	delete(s.connections, hello.VM)
	// The VM may have restarted and lost the state that it has acknowledged.
	delete(s.ackedVersions, hello.VM)
	delete(s.followed, hello.VM)
	if hello.Role == Entry {
		s.recordReport(hello.VM, hello.Zone, new(Ack), now)
		s.load.remove(hello.VM)
	}
}

// acknowledge processes an acknowledgement on the connection of hello. It has no effect
// if the VM has opened another connection since.
func (s *Store) acknowledge(hello *Hello, a *Ack, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.connections[hello.VM] != hello:
	case hello.Role == Control:
		s.recordAck(hello.VM, a)
	default:
		s.recordReport(hello.VM, hello.Zone, a, now)
	}
}

// recordAck records the version that a control VM has acknowledged, and the hubs
// whose feeds it receives.
func (s *Store) recordAck(vm fleet.VMID, a *Ack) {
	if len(a.Sources) > 0 {
		s.followed[vm] = make(map[fleet.VMID]bool, len(a.Sources))
		for _, id := range a.Sources {
			s.followed[vm][id] = true
		}
	}
	if s.ackedVersions[vm] == a.Version {
		return
	}
	s.ackedVersions[vm] = a.Version
	close(s.acked)
	s.acked = make(chan struct{})
}

// Confirmed waits until a majority of the control VMs has acknowledged version
// v of the targets. self, the ID of this control VM, counts as having
// acknowledged v. If ctx ends first, Confirmed returns the error of ctx.
func (s *Store) Confirmed(ctx context.Context, self fleet.VMID, v registry.Version) error {
	for {
		ok, acked := s.hasMajority(self, v)
		if ok {
			return nil
		}
		select {
		case <-acked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Store) hasMajority(self fleet.VMID, v registry.Version) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.hubs {
		if h.VM == self || s.ackedVersions[h.VM] >= v {
			n++
		}
	}
	return n > len(s.hubs)/2, s.acked
}

// greeting returns the response to the Hello of a new subscriber.
func (s *Store) greeting(now time.Time) *Greeting {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeSuspension(now)
	g := &Greeting{Number: s.catalog.Number(), Current: s.current, ZoneRevision: s.zoneOrders.Revision}
	if !s.wasCurrent {
		g.UnconfirmedFor = max(now.Sub(s.startedAt), 1)
	}
	return g
}

// reportsFor returns the reports that are sent to subscribers of a role.
func (s *Store) reportsFor(r Role) Reports {
	p := Reports{EntryVMs: s.subscribers[Entry]}
	if r == Control {
		p.Suspects, p.Overdue = s.suspected.local, s.overdue.local
		p.Failed, p.Answered = s.lost.localFailed, s.lost.localAnswered
		p.Sums = s.load.sumsOrNil()
		return p
	}
	for _, n := range s.entryVMsByHub {
		p.EntryVMs += n
	}
	p.SharedSuspects, p.SharedOverdue = s.suspected.shared, s.overdue.shared
	if s.lostEnabled {
		p.SharedSuspects, p.Lost, p.Candidates = s.lost.shared, s.lost.lost, s.lost.candidates
	}
	p.Load = s.load.loadOrNil()
	return p
}

func (r *Reports) equal(o *Reports) bool {
	return r.EntryVMs == o.EntryVMs && slices.Equal(r.Suspects, o.Suspects) && slices.Equal(r.SharedSuspects, o.SharedSuspects) &&
		slices.Equal(r.Overdue, o.Overdue) && slices.Equal(r.SharedOverdue, o.SharedOverdue) && r.Sums == o.Sums && r.Load == o.Load &&
		slices.Equal(r.Failed, o.Failed) && slices.Equal(r.Answered, o.Answered) && slices.Equal(r.Lost, o.Lost) && slices.Equal(r.Candidates, o.Candidates)
}

// Stats holds the values of the gauges of a store.
type Stats struct {
	Targets     map[fleet.TargetState]int
	Subscribers map[Role]int
	Number      catalog.Number
	Current     bool
	Hubs        int
	// SharedSuspects is the number of targets that several entry VMs suspect.
	SharedSuspects int
	// SharedOverdue is the number of targets that several entry VMs report as
	// overdue.
	SharedOverdue int
	// HoldersChosen is the number of warm-ups for which this hub has chosen holders,
	// and Unheld the number of cold targets that have none.
	HoldersChosen uint64
	Unheld        int
	// Lost is the number of lost targets.
	Lost int
	// Bindings is the number of contested flows that this hub knows, and RejectedBindings
	// the number of reports of them above the limit.
	Bindings         int
	RejectedBindings uint64
	// Load is nil without the setting LoadReports.
	Load *LoadStats
}

// Stats returns the current values of the gauges.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := s.targets.States()
	for _, rec := range s.restored.records {
		states[rec.State()]++
	}
	return Stats{
		Targets: states, Subscribers: maps.Clone(s.subscribers), Number: s.catalog.Number(),
		Current: s.current, Hubs: len(s.hubs), SharedSuspects: len(s.suspected.shared),
		SharedOverdue: len(s.overdue.shared), HoldersChosen: s.holdersChosen, Unheld: len(s.unheld),
		Lost: len(s.lost.lost), Load: s.load.stats(), Bindings: len(s.bindings.list), RejectedBindings: s.bindings.rejected,
	}
}

// addSubscribers adds n to the number of connections of a role.
func (s *Store) addSubscribers(r Role, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[r] += n
	s.suspected.dirty = true
}
