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

// Store holds the state that a control VM publishes: the catalog, the targets and
// the list of hubs. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	targets  *registry.Registry
	catalog  catalog.History
	current  bool
	complete bool
	hubs     []Hub
	// zones holds the zone of this hub and of each hub that has sent a Hello.
	zones map[fleet.VMID]fleet.ZoneID
	// completeAt is the time from which every live target has had time to
	// announce itself.
	completeAt time.Time
	// forwardingChanged is closed and replaced at each change that affects
	// forwarding, and anyChanged at each of these and at each announcement.
	forwardingChanged, anyChanged chan struct{}
	// ackedVersions holds the last version that each connected control VM has
	// acknowledged; acked is closed and replaced at each acknowledgement.
	ackedVersions map[fleet.VMID]registry.Version
	acked         chan struct{}
	// suspected holds the reports of targets that may be failing, and overdue
	// the reports of targets with overdue requests.
	suspected, overdue targetReports
	// subscribers counts the connections by role.
	subscribers map[Role]int
	// entryVMs holds the number of entry VMs connected to each other hub.
	entryVMs map[fleet.VMID]int
}

// cursor is the state that has been sent to a subscriber.
type cursor struct {
	role     Role
	version  registry.Version
	number   catalog.Number
	started  bool
	complete bool
	current  bool
	hubs     []Hub
	pool     Reports
}

// NewStore returns a board of the hub self without a catalog.
func NewStore(self Hub, targets *registry.Registry, now time.Time) *Store {
	return &Store{
		zones:             map[fleet.VMID]fleet.ZoneID{self.VM: self.Zone},
		targets:           targets,
		completeAt:        now.Add(targets.SilenceLimit),
		forwardingChanged: make(chan struct{}),
		anyChanged:        make(chan struct{}),
		ackedVersions:     make(map[fleet.VMID]registry.Version),
		acked:             make(chan struct{}),
		suspected:         newTargetReports(),
		overdue:           newTargetReports(),
		subscribers:       map[Role]int{Entry: 0, Control: 0},
		entryVMs:          make(map[fleet.VMID]int),
	}
}

// changeChan returns a channel that is closed at the next change that subscribers
// of a role receive.
func (b *Store) changeChan(r Role) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r == Control {
		return b.anyChanged
	}
	return b.forwardingChanged
}

// notify wakes the subscribers after a change. With targetsOnly, entry VMs are
// woken only if a target has changed after version before.
func (b *Store) notify(targetsOnly bool, before registry.Version) {
	b.broadcast(&b.anyChanged)
	if !targetsOnly || b.targets.ChangeVersion() > before {
		b.broadcast(&b.forwardingChanged)
	}
}

func (b *Store) broadcast(c *chan struct{}) {
	close(*c)
	*c = make(chan struct{})
}

// SetCatalog publishes a committed catalog, unless its number is not higher than
// that of the published catalog.
func (b *Store) SetCatalog(c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setCatalogLocked(c)
}

func (b *Store) setCatalogLocked(c *catalog.Catalog) {
	if b.catalog.Add(c) {
		b.notify(false, 0)
	}
}

// SetHubs publishes the list of hubs, and whether this hub is in contact with a
// majority of them.
func (b *Store) SetHubs(ids []fleet.VMID, current bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hubs := make([]Hub, 0, len(ids))
	for _, id := range ids {
		hubs = append(hubs, Hub{VM: id, Zone: b.zones[id]})
	}
	if current == b.current && slices.Equal(hubs, b.hubs) {
		return
	}
	b.hubs, b.current = hubs, current
	b.notify(false, 0)
}

// Hubs returns the published list of hubs. Callers must not modify it.
func (b *Store) Hubs() []Hub {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hubs
}

// setZone records the zone of a hub.
func (b *Store) setZone(id fleet.VMID, zone fleet.ZoneID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zones[id] = zone
}

// Merge merges a record into the registry and returns the version that includes
// it. It returns the errors of registry.Registry.Merge.
func (b *Store) Merge(rec registry.Record, now time.Time) (registry.Version, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.targets.ChangeVersion()
	changed, err := b.targets.Merge(rec, now)
	if err != nil {
		return 0, err
	}
	if changed {
		b.notify(true, before)
	}
	return b.targets.Version(), nil
}

// Leave marks a target as gone and returns the version that includes this change.
func (b *Store) Leave(id fleet.Incarnation, now time.Time) registry.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.targets.ChangeVersion()
	if b.targets.Leave(id, now) {
		b.notify(true, before)
	}
	return b.targets.Version()
}

// ApplyUpdate merges an update of another hub. It returns the error of an invalid record,
// or of a catalog delta that can't be applied.
func (b *Store) ApplyUpdate(from fleet.VMID, u *Update, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.Reports != nil {
		b.entryVMs[from] = u.Reports.EntryVMs
		b.suspected.setHubCounts(from, u.Reports.Suspects)
		b.overdue.setHubCounts(from, u.Reports.Overdue)
	}
	// A hub that has lost its disk gets the catalog here earlier than from the
	// replicated log.
	if u.Catalog != nil && u.Catalog.To > b.catalog.Number() {
		c, err := b.catalog.Newest().Apply(u.Catalog)
		if err != nil {
			return err
		}
		b.setCatalogLocked(c)
	}
	before := b.targets.ChangeVersion()
	changed := false
	for _, rec := range u.Records {
		n, err := b.targets.Merge(rec, now)
		if err != nil {
			return err
		}
		changed = changed || n
	}
	if u.Full && u.Complete && now.Before(b.completeAt) {
		b.completeAt = now
	}
	if changed {
		b.notify(true, before)
	}
	return nil
}

// Tick marks silent targets and aggregates the reports of entry VMs.
func (b *Store) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.aggregateReports()
	before := b.targets.ChangeVersion()
	b.targets.Tick(now)
	complete := !now.Before(b.completeAt)
	if b.targets.ChangeVersion() != before || complete != b.complete {
		b.complete = complete
		b.notify(false, 0)
	}
}

// recordAck records the version that a control VM has acknowledged.
func (b *Store) recordAck(vm fleet.VMID, v registry.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ackedVersions[vm] = v
	close(b.acked)
	b.acked = make(chan struct{})
}

// dropAcks removes the acknowledged version of a control VM whose connection has
// ended: it may have restarted and lost the state that it acknowledged.
func (b *Store) dropAcks(vm fleet.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ackedVersions, vm)
}

// Confirmed waits until a majority of the control VMs, including self, has
// acknowledged a version of the targets. It returns the error of ctx if ctx ends
// first.
func (b *Store) Confirmed(ctx context.Context, self fleet.VMID, v registry.Version) error {
	for {
		ok, acked := b.hasMajority(self, v)
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

func (b *Store) hasMajority(self fleet.VMID, v registry.Version) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, h := range b.hubs {
		if h.VM == self || b.ackedVersions[h.VM] >= v {
			n++
		}
	}
	return n > len(b.hubs)/2, b.acked
}

// greeting returns the response to the Hello of a new subscriber.
func (b *Store) greeting() *Greeting {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Greeting{Number: b.catalog.Number(), Current: b.current}
}

// next returns the next update for a subscriber and advances its cursor. It
// returns nil if the subscriber is up to date.
func (b *Store) next(c *cursor, now time.Time) *Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := &Update{Version: b.targets.Version(), Complete: b.complete, Current: b.current}
	pool := b.poolFor(c.role)
	if !c.started || !pool.equal(&c.pool) {
		u.Reports = &pool
	}
	since := c.version
	if c.role == Control {
		u.Records = b.targets.Updates(since, now)
	} else {
		u.Records = b.targets.Changes(since, now)
	}
	// Hubs get later catalogs from the replicated log.
	if c.role == Entry || !c.started {
		u.Catalog = b.catalog.Delta(c.number)
	}
	if u.Catalog != nil {
		c.number = u.Catalog.To
	}
	u.Full = !c.started
	if !slices.Equal(b.hubs, c.hubs) {
		u.Hubs = b.hubs
	}
	unchanged := c.started && u.Catalog == nil && len(u.Records) == 0 && u.Hubs == nil &&
		u.Complete == c.complete && u.Current == c.current && u.Reports == nil
	c.started, c.version, c.hubs = true, u.Version, b.hubs
	c.complete, c.current = u.Complete, u.Current
	c.pool = pool
	if unchanged {
		return nil
	}
	return u
}

func (b *Store) heartbeat(c *cursor) *Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Update{Version: c.version, Complete: b.complete, Current: b.current}
}

// poolFor returns the pool as it is sent to subscribers of a role.
func (b *Store) poolFor(r Role) Reports {
	p := Reports{EntryVMs: b.subscribers[Entry]}
	if r == Control {
		p.Suspects, p.Overdue = b.suspected.local, b.overdue.local
		return p
	}
	for _, n := range b.entryVMs {
		p.EntryVMs += n
	}
	p.SharedSuspects, p.SharedOverdue = b.suspected.shared, b.overdue.shared
	return p
}

func (p *Reports) equal(o *Reports) bool {
	return p.EntryVMs == o.EntryVMs && slices.Equal(p.Suspects, o.Suspects) && slices.Equal(p.SharedSuspects, o.SharedSuspects) &&
		slices.Equal(p.Overdue, o.Overdue) && slices.Equal(p.SharedOverdue, o.SharedOverdue)
}

// Stats holds the values of the gauges of a board.
type Stats struct {
	Targets     map[fleet.TargetState]int
	Subscribers map[Role]int
	Number      catalog.Number
	Current     bool
	Hubs        int
	// SharedSuspects is the number of targets that several entry VMs suspect.
	SharedSuspects int
	// SharedOverdue is the number of targets with overdue requests of several entry VMs.
	SharedOverdue int
}

// Stats returns the current values of the gauges.
func (b *Store) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Targets: b.targets.States(), Subscribers: maps.Clone(b.subscribers), Number: b.catalog.Number(),
		Current: b.current, Hubs: len(b.hubs), SharedSuspects: len(b.suspected.shared),
		SharedOverdue: len(b.overdue.shared),
	}
}

// addSubscribers adds n to the number of connections of a role.
func (b *Store) addSubscribers(r Role, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers[r] += n
	b.suspected.dirty = true
}
