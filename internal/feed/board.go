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

// Board holds what a control VM publishes. It is safe for concurrent use.
type Board struct {
	mu       sync.Mutex
	targets  *registry.Registry
	catalog  catalog.History
	current  bool
	complete bool
	hubs     []Hub
	// zones holds the zone of each hub that has introduced itself.
	zones map[fleet.VMID]fleet.ZoneID
	// completeAt is the time from which every live target has had the chance
	// to announce itself.
	completeAt time.Time
	// changed is closed and replaced at each change that matters for
	// forwarding, and touched also at each announcement.
	changed, touched chan struct{}
	// confirmed holds the last version that each connected control VM has
	// acknowledged; acked is closed and replaced at each acknowledgement.
	confirmed map[fleet.VMID]registry.Version
	acked     chan struct{}
	// doubts holds the targets that do not answer, and overdue those at which
	// requests were overdue.
	doubts, overdue doubts
	// subscribers counts the connections.
	subscribers map[Role]int
	// entries holds the number of entry VMs of each connected hub.
	entries map[fleet.VMID]int
}

// cursor is what a subscriber has been told.
type cursor struct {
	role     Role
	version  registry.Version
	number   catalog.Number
	started  bool
	complete bool
	current  bool
	hubs     []Hub
	pool     Pool
}

// NewBoard returns the board of hub self without a catalog.
func NewBoard(self Hub, targets *registry.Registry, now time.Time) *Board {
	return &Board{
		zones:       map[fleet.VMID]fleet.ZoneID{self.VM: self.Zone},
		targets:     targets,
		completeAt:  now.Add(targets.SilenceLimit),
		changed:     make(chan struct{}),
		touched:     make(chan struct{}),
		confirmed:   make(map[fleet.VMID]registry.Version),
		acked:       make(chan struct{}),
		doubts:      newDoubts(),
		overdue:     newDoubts(),
		subscribers: map[Role]int{Entry: 0, Control: 0},
		entries:     make(map[fleet.VMID]int),
	}
}

// news returns a channel that is closed at the next change that matters for a
// role.
func (b *Board) news(r Role) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r == Control {
		return b.touched
	}
	return b.changed
}

// notify wakes the subscribers after a change of the targets from a version
// on, or of anything else.
func (b *Board) notify(targetsOnly bool, before registry.Version) {
	b.wake(&b.touched)
	if !targetsOnly || b.targets.ChangeVersion() > before {
		b.wake(&b.changed)
	}
}

func (b *Board) wake(c *chan struct{}) {
	close(*c)
	*c = make(chan struct{})
}

// SetCatalog publishes a committed catalog, unless one with a higher number is
// published.
func (b *Board) SetCatalog(c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setCatalog(c)
}

func (b *Board) setCatalog(c *catalog.Catalog) {
	if b.catalog.Add(c) {
		b.notify(false, 0)
	}
}

// SetHubs publishes the list of the hubs, and whether this one is in contact
// with a majority of them.
func (b *Board) SetHubs(ids []fleet.VMID, current bool) {
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

// Hubs returns the hubs.
func (b *Board) Hubs() []Hub {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hubs
}

// introduce notes the zone of a hub.
func (b *Board) introduce(id fleet.VMID, zone fleet.ZoneID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zones[id] = zone
}

// Merge takes a record; it returns the version that includes it.
func (b *Board) Merge(rec registry.Record, now time.Time) (registry.Version, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.targets.ChangeVersion()
	news, err := b.targets.Merge(rec, now)
	if err != nil {
		return 0, err
	}
	if news {
		b.notify(true, before)
	}
	return b.targets.Version(), nil
}

// Leave ends a target and returns the version that includes it.
func (b *Board) Leave(id fleet.Incarnation, now time.Time) registry.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.targets.ChangeVersion()
	if b.targets.Leave(id, now) {
		b.notify(true, before)
	}
	return b.targets.Version()
}

// Take merges what another hub has sent.
func (b *Board) Take(from fleet.VMID, u *Update, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.Pool != nil {
		b.entries[from] = u.Pool.Entries
		b.doubts.take(from, u.Pool.Doubts)
		b.overdue.take(from, u.Pool.Overdue)
	}
	// A hub that has lost its disk gets the catalog here before the log.
	if u.Catalog != nil && u.Catalog.To > b.catalog.Number() {
		c, err := b.catalog.Newest().Apply(u.Catalog)
		if err != nil {
			return err
		}
		b.setCatalog(c)
	}
	before := b.targets.ChangeVersion()
	news := false
	for _, rec := range u.Records {
		n, err := b.targets.Merge(rec, now)
		if err != nil {
			return err
		}
		news = news || n
	}
	if u.Full && u.Complete && now.Before(b.completeAt) {
		b.completeAt = now
	}
	if news {
		b.notify(true, before)
	}
	return nil
}

// Tick marks silent targets and adds up what entry VMs have reported.
func (b *Board) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sumReports()
	before := b.targets.ChangeVersion()
	b.targets.Tick(now)
	complete := !now.Before(b.completeAt)
	if b.targets.ChangeVersion() != before || complete != b.complete {
		b.complete = complete
		b.notify(false, 0)
	}
}

// confirm notes an acknowledgement of a control VM.
func (b *Board) confirm(vm fleet.VMID, v registry.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed[vm] = v
	close(b.acked)
	b.acked = make(chan struct{})
}

// forget drops the acknowledgements of a control VM whose connection ended: it
// may have restarted without memory of them.
func (b *Board) forget(vm fleet.VMID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.confirmed, vm)
}

// Confirmed waits until a majority of the control VMs, self included, holds
// the targets of a version; it returns the error of ctx if that comes first.
func (b *Board) Confirmed(ctx context.Context, self fleet.VMID, v registry.Version) error {
	for {
		ok, acked := b.majority(self, v)
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

func (b *Board) majority(self fleet.VMID, v registry.Version) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, h := range b.hubs {
		if h.VM == self || b.confirmed[h.VM] >= v {
			n++
		}
	}
	return n > len(b.hubs)/2, b.acked
}

// greeting returns what a new subscriber is told first.
func (b *Board) greeting() *Greeting {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Greeting{Number: b.catalog.Number(), Current: b.current}
}

// next returns the update that a subscriber needs, or nil where nothing has
// changed for it.
func (b *Board) next(c *cursor, now time.Time) *Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := &Update{Version: b.targets.Version(), Complete: b.complete, Current: b.current}
	pool := b.poolFor(c.role)
	if !c.started || !pool.equal(&c.pool) {
		u.Pool = &pool
	}
	since := c.version
	if c.role == Control {
		u.Records = b.targets.Updates(since, now)
	} else {
		u.Records = b.targets.Changes(since, now)
	}
	// Hubs get later catalogs from the log.
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
	same := c.started && u.Catalog == nil && len(u.Records) == 0 && u.Hubs == nil &&
		u.Complete == c.complete && u.Current == c.current && u.Pool == nil
	c.started, c.version, c.hubs = true, u.Version, b.hubs
	c.complete, c.current = u.Complete, u.Current
	c.pool = pool
	if same {
		return nil
	}
	return u
}

func (b *Board) beat(c *cursor) *Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &Update{Version: c.version, Complete: b.complete, Current: b.current}
}

// poolFor returns what a role gets of the pool.
func (b *Board) poolFor(r Role) Pool {
	p := Pool{Entries: b.subscribers[Entry]}
	if r == Control {
		p.Doubts, p.Overdue = b.doubts.own, b.overdue.own
		return p
	}
	for _, n := range b.entries {
		p.Entries += n
	}
	p.Shared, p.SharedOverdue = b.doubts.shared, b.overdue.shared
	return p
}

func (p *Pool) equal(o *Pool) bool {
	return p.Entries == o.Entries && slices.Equal(p.Doubts, o.Doubts) && slices.Equal(p.Shared, o.Shared) &&
		slices.Equal(p.Overdue, o.Overdue) && slices.Equal(p.SharedOverdue, o.SharedOverdue)
}

// Stats are the gauges of a board.
type Stats struct {
	Targets     map[fleet.TargetState]int
	Subscribers map[Role]int
	Number      catalog.Number
	Current     bool
	Hubs        int
	// Shared is the number of targets that do not answer several entry VMs.
	Shared int
	// Overdue is the number of those at which requests of several were overdue.
	Overdue int
}

// Stats returns the present gauges.
func (b *Board) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Targets: b.targets.States(), Subscribers: maps.Clone(b.subscribers), Number: b.catalog.Number(),
		Current: b.current, Hubs: len(b.hubs), Shared: len(b.doubts.shared),
		Overdue: len(b.overdue.shared),
	}
}

// subscribed counts the connections of a role.
func (b *Board) subscribed(r Role, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers[r] += n
	b.doubts.dirty = true
}
