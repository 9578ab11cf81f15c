package feed

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	// updateInterval is the minimum time between two states of a feed, so that
	// changes in quick succession are sent as one update.
	updateInterval = 20 * time.Millisecond
	// fullUpdateLifetime is the time for which the encoded full state is sent to
	// new subscribers, each of which then receives the changes since. The ages and
	// warm-up times in it are late by up to this time.
	fullUpdateLifetime = 500 * time.Millisecond
	// maxFullUpdates bounds the number of full updates that are kept, one for each
	// catalog number that subscribers have.
	maxFullUpdates = 4
)

type (
	// feedState is the state that is sent to the subscribers of one role. It changes
	// at most once per updateInterval, so that most subscribers have received the
	// same states, and an update between two of them is encoded once for all.
	//
	// Invariant: updates holds updates to the current state only.
	feedState struct {
		role Role
		// dirty is set if the store has changed since the current state was sealed,
		// and changed is closed and replaced at each such change.
		dirty    bool
		changed  chan struct{}
		state    state
		sealedAt time.Time
		// updates holds encoded updates by the state that they change, and full
		// encoded updates with the full state by the subscriber's catalog number.
		updates map[updateKey][]byte
		full    map[catalog.Number]fullUpdate
	}

	// updateKey identifies an update to the current state by the state that it
	// changes. The number is that of the subscriber's catalog, which may be higher
	// than the state's.
	updateKey struct {
		from   stateID
		number catalog.Number
	}

	// stateID identifies a state of a feed. The ID 0 is the state of a subscriber
	// that has received nothing.
	stateID uint64

	state struct {
		id       stateID
		version  registry.Version
		number   catalog.Number
		complete bool
		current  bool
		hubs     []Hub
		reports  Reports
		zones    catalog.Zones
		// restored is the generation of the restored targets, 0 in a feed to hubs.
		restored int
		// bindings is the version of the bindingLog.
		bindings uint64
	}

	fullUpdate struct {
		frame  []byte
		state  state
		sentAt time.Time
	}

	// cursor is the state that has been sent to a subscriber.
	cursor struct {
		vm    fleet.VMID
		role  Role
		state state
		// heard is the registry's heardVersion of the last heartbeat to a hub.
		heard registry.Version
	}
)

func newFeedState(r Role) feedState {
	return feedState{
		role: r, dirty: true, changed: make(chan struct{}),
		updates: make(map[updateKey][]byte), full: make(map[catalog.Number]fullUpdate),
	}
}

// notify wakes the subscribers after a change.
func (f *feedState) notify() {
	f.dirty = true
	close(f.changed)
	f.changed = make(chan struct{})
}

func (s *Store) feedOf(r Role) *feedState {
	if r == Control {
		return &s.controlFeed
	}
	return &s.entryFeed
}

// changeChan returns a channel that is closed at the next change that subscribers
// of a role receive.
func (s *Store) changeChan(r Role) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.feedOf(r).changed
}

// next returns the next encoded update for a subscriber and advances its cursor.
// If the subscriber is up to date, next returns no update; wait is then the time
// after which a change that has already happened can be sent, or 0 if there is
// none.
func (s *Store) next(c *cursor, now time.Time) (frame []byte, wait time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticeSuspension(now)
	f := s.feedOf(c.role)
	s.seal(f, now)
	switch {
	case c.state.id == 0:
		frame, err = s.fullFrame(f, c, now)
	case c.state.id < f.state.id:
		frame, err = s.updateFrame(f, c, now)
	case f.dirty:
		wait = f.sealedAt.Add(updateInterval).Sub(now)
	}
	return frame, wait, err
}

// seal makes the current state of the store the state of a feed, unless the last
// state is younger than updateInterval.
func (s *Store) seal(f *feedState, now time.Time) {
	if !f.dirty || now.Sub(f.sealedAt) < updateInterval {
		return
	}
	f.dirty = false
	n := state{
		id: f.state.id, version: s.targets.Version(), number: s.catalog.Number(),
		complete: s.complete, current: s.current, hubs: s.hubs, reports: s.reportsFor(f.role),
		zones: s.zoneOrders, bindings: s.bindings.version,
	}
	if f.role == Entry {
		n.restored = s.restored.generation
	}
	if n.id > 0 && n.equal(&f.state) {
		return
	}
	n.id++
	f.state, f.sealedAt = n, now
	clear(f.updates)
}

func (s *state) equal(o *state) bool {
	return s.version == o.version && s.restored == o.restored && s.number == o.number && s.complete == o.complete && s.current == o.current &&
		slices.Equal(s.hubs, o.hubs) && s.reports.equal(&o.reports) && s.zones.Revision == o.zones.Revision && s.bindings == o.bindings
}

// fullFrame returns the first update of a subscriber.
func (s *Store) fullFrame(f *feedState, c *cursor, now time.Time) ([]byte, error) {
	number := c.state.number
	full, ok := f.full[number]
	// Hubs take the ages of the records into account.
	if ok && now.Sub(full.sentAt) < fullUpdateLifetime && f.role == Entry {
		c.state = full.state
		return full.frame, nil
	}
	u := &Update{
		Catalog: s.catalog.Delta(number), Records: s.targets.Changes(0, now), Version: f.state.version, Full: true,
		Complete: f.state.complete, Current: f.state.current, Hubs: f.state.hubs, Reports: &f.state.reports,
		Bindings: s.bindings.between(0, f.state.bindings, f.role),
	}
	if f.state.zones.Revision > 0 {
		u.Zones = &f.state.zones
	}
	if f.role == Entry {
		u.Records = append(u.Records, s.restored.all()...)
	}
	frame, err := encode(u)
	if err != nil {
		return nil, err
	}
	if len(f.full) >= maxFullUpdates {
		clear(f.full)
	}
	c.state = f.state
	c.state.number = max(number, f.state.number)
	// The records tell when their targets were heard.
	c.heard = s.targets.HeardVersion()
	f.full[number] = fullUpdate{frame: frame, state: c.state, sentAt: now}
	return frame, nil
}

// updateFrame returns the update from the subscriber's state to the current one.
func (s *Store) updateFrame(f *feedState, c *cursor, now time.Time) ([]byte, error) {
	from, to := &c.state, &f.state
	key := updateKey{from.id, from.number}
	frame := f.updates[key]
	if frame == nil {
		u := &Update{Version: to.version, Complete: to.complete, Current: to.current, Records: s.targets.Changes(from.version, now)}
		u.Bindings = s.bindings.between(from.bindings, to.bindings, f.role)
		// After the first update, hubs get catalogs from the replicated log.
		if f.role == Entry {
			u.Catalog = s.catalog.Delta(from.number)
		}
		if from.restored != to.restored {
			u.Records = append(u.Records, s.droppedRecords()...)
		}
		if !slices.Equal(from.hubs, to.hubs) {
			u.Hubs = to.hubs
		}
		if !from.reports.equal(&to.reports) {
			u.Reports = to.reports.since(&from.reports)
		}
		if from.zones.Revision != to.zones.Revision {
			u.Zones = &to.zones
		}
		var err error
		if frame, err = encode(u); err != nil {
			return nil, err
		}
		f.updates[key] = frame
	}
	number := max(from.number, to.number)
	c.state = f.state
	c.state.number = number
	return frame, nil
}

// heartbeat returns an encoded update that changes nothing but, for a hub, lists
// the targets that were heard since the last heartbeat.
func (s *Store) heartbeat(c *cursor, now time.Time) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := &Update{Version: c.state.version, Complete: c.state.complete, Current: c.state.current}
	if c.role == Control {
		u.Heard = s.targets.Heard(c.heard, func(source fleet.VMID) bool { return source == c.vm || s.followed[c.vm][source] }, now)
		c.heard = s.targets.HeardVersion()
	}
	return encode(u)
}
