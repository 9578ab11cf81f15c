package registry

import (
	"container/list"
	"maps"
	"net/netip"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// GoneRetention is how long the record of a gone target is kept, so that
	// late announcements of the target are ignored and open flows to the target
	// are reset. GoneRetention exceeds the longest lifetime of a flow, which is
	// one minute on the platform that package platform supports.
	GoneRetention = 90 * time.Second
	// maxTickGap is the time between two calls of Tick above which this process
	// is assumed to have been suspended. Such a gap does not count as silence of
	// the targets.
	maxTickGap = time.Second
	// minRenewal is the minimum time by which another registry's report moves the
	// time of a target's last announcement. Smaller differences are delays of the
	// network: without this limit, a report that is passed on in a circle would
	// renew the target forever.
	minRenewal = 100 * time.Millisecond
	// minEvidence is the minimum time between two announcements that together show that
	// a process runs. One alone may come from another writer.
	minEvidence = 500 * time.Millisecond
	// lateLimit is the time after which calls of a process that has ended no longer
	// arrive. Announcements of a process for so long, while one with a later start is
	// silent, show that the later start is not true. It exceeds the partitions that are
	// usual, and is a part of GoneRetention.
	lateLimit = 30 * time.Second
	// heardSlack is the time by which an announcement that another VM reports is usually
	// older than those that were recorded before it.
	heardSlack = 300 * time.Millisecond
)

// Causes of a change.
const (
	CauseNew       Cause = "New"       // the target was unknown
	CauseRestarted Cause = "Restarted" // the target restarted under the same id
	CauseState     Cause = "State"     // the target announced another state
	CauseHeard     Cause = "Heard"     // a silent target sent an announcement, or a property other than the state changed
	CauseSilent    Cause = "Silent"    // the target exceeded the silence limit
	CauseReplaced  Cause = "Replaced"  // the target is silent, and another one announces itself at its address
	CauseLeft      Cause = "Left"      // the target announced that it has stopped, or is silent after such a call
	CauseEnded     Cause = "Ended"     // a draining target has been silent for GoneRetention
	CauseGone      Cause = "Gone"      // another VM reported that the target is gone
	CauseHolders   Cause = "Holders"   // the holders of a cold target were chosen
	CauseReturned  Cause = "Returned"  // a target announced itself that counted as gone, or as restarted
)

type (
	// Cause is the reason for a change, from a bounded set.
	Cause string

	// Registry is one VM's list of targets. It is not safe for concurrent use.
	//
	// A target that announces itself is never gone for long, whatever others have said
	// about its id or its address: each end that was only inferred is refuted by the next
	// announcement of the process.
	//
	// Invariants: byAddress[a] contains the entries with address a whose records are not
	// Gone: usually one, and more until it is known which of the targets run. live is
	// their number at all addresses. changes holds all entries in
	// the order of changeVersion, and heard those that were heard, in the order of
	// heardVersion, so that the cost of Changes and Heard depends on the number of
	// returned targets only.
	Registry struct {
		// SilenceLimit is the time without an announcement after which a target
		// is marked as silent.
		SilenceLimit time.Duration
		// OnChange, if not nil, is called for each change of a target.
		OnChange func(rec *Record, c Cause)
		// LimitsCold, if not nil, reports whether the cold targets of a service have
		// a budget. A longer warm-up of such a target is a change.
		LimitsCold func(fleet.ServiceID) bool
		// Known, if not nil, reports whether a service exists. A target of another one
		// replaces no target at its address.
		Known func(fleet.ServiceID) bool

		entries   map[fleet.Incarnation]*entry
		byAddress map[netip.AddrPort][]*entry
		live      int
		version   Version
		changes   list.List
		// heardVersion counts the announcements that only renew a target.
		heardVersion Version
		heard        list.List
		lastTick     time.Time
		// newestHeard is the highest lastHeard of all entries. Before unorderedUntil, an
		// entry in heard may be followed by one with a lastHeard that is more than
		// heardSlack earlier; after it, none is.
		newestHeard, unorderedUntil time.Time
	}

	entry struct {
		record Record
		// lastHeard is the time of the target's last announcement to any VM.
		lastHeard time.Time
		// heardBefore is the time of an announcement of the same process at least
		// minEvidence before lastHeard, or zero if there was none.
		heardBefore time.Time
		// rival describes the announcements of a process with an earlier start.
		rival   rival
		warmAt  time.Time
		endedAt time.Time
		// leaveAt is the time of a Leave without Born, which ends the target if it drains,
		// unless it announces itself after that time.
		leaveAt time.Time
		// changeVersion is the version of the last change of record, and change the
		// entry's element of Registry.changes.
		changeVersion Version
		change        *list.Element
		// heardVersion is the heardVersion of the registry at the last renewal,
		// heardAt the entry's element of Registry.heard, and source the VM that
		// reported the renewal, or "" if the target announced itself here.
		heardVersion Version
		heardAt      *list.Element
		source       fleet.VMID
	}
)

// rival describes the announcements of a process of a target whose start is earlier than
// the known one: the first of them, and the newest sequence number.
type rival struct {
	born     int64
	since    time.Time
	sequence Sequence
}

// New returns an empty registry.
func New(silenceLimit time.Duration, now time.Time) *Registry {
	return &Registry{
		SilenceLimit: silenceLimit,
		entries:      make(map[fleet.Incarnation]*entry),
		byAddress:    make(map[netip.AddrPort][]*entry),
		lastTick:     now,
	}
}

// Version returns the version of the last change of a target.
func (r *Registry) Version() Version { return r.version }

// HeardVersion returns the version of the last announcement that only renewed a
// target.
func (r *Registry) HeardVersion() Version { return r.heardVersion }

// Len returns the number of targets that are not gone.
func (r *Registry) Len() int { return r.live }

// StateSilent is the state of silent targets in the results of States and
// Record.State. Targets never announce it.
const StateSilent fleet.TargetState = "Silent"

// Get returns the record of a target, which may be gone, and whether there is one.
// Age and Warmup of the record are those at its arrival.
func (r *Registry) Get(id fleet.Incarnation) (Record, bool) {
	e := r.entries[id]
	if e == nil {
		return Record{}, false
	}
	return e.record, true
}

// At returns the records of the targets at an address that are not gone. Age and Warmup of
// the records are those at their arrival.
func (r *Registry) At(address netip.AddrPort) []Record {
	var records []Record
	for _, e := range r.byAddress[address] {
		records = append(records, e.record)
	}
	return records
}

// Confirmed reports whether the known process of a target is not gone and has announced
// itself more than once. It may be silent.
func (r *Registry) Confirmed(id fleet.Incarnation) bool {
	e := r.entries[id]
	return e != nil && !e.record.Gone() && !e.heardBefore.IsZero()
}

// hear records the time of an announcement.
func (e *entry) hear(at time.Time) {
	if at.Sub(e.lastHeard) >= minEvidence {
		e.heardBefore = e.lastHeard
	}
	e.lastHeard = at
}

// noteHeard updates newestHeard and unorderedUntil after a change of an entry's lastHeard.
func (r *Registry) noteHeard(e *entry) {
	if r.newestHeard.Sub(e.lastHeard) > heardSlack {
		r.unorderedUntil = r.newestHeard
	}
	if e.lastHeard.After(r.newestHeard) {
		r.newestHeard = e.lastHeard
	}
}

// LastHeard returns the time of the last announcement of a target to any VM, or zero
// for an unknown target.
func (r *Registry) LastHeard(id fleet.Incarnation) time.Time {
	if e := r.entries[id]; e != nil {
		return e.lastHeard
	}
	return time.Time{}
}

// Overdue returns the targets that are not gone and whose last announcement was longer ago
// than d. Its cost depends on the number of such targets, but for some time after records
// with old announcements have arrived, as from a VM that was cut off.
func (r *Registry) Overdue(d time.Duration, now time.Time) []fleet.Incarnation {
	var ids []fleet.Incarnation
	for el := r.heard.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		if now.Sub(e.lastHeard) <= d-heardSlack && e.lastHeard.After(r.unorderedUntil) {
			break
		}
		if !e.record.Gone() && now.Sub(e.lastHeard) > d {
			ids = append(ids, e.record.Target.ID.Incarnation)
		}
	}
	return ids
}

// Services returns the services of the targets that are not gone.
func (r *Registry) Services() []fleet.ServiceID {
	ids := make(map[fleet.ServiceID]bool)
	for _, entries := range r.byAddress {
		for _, e := range entries {
			ids[e.record.Target.ID.Service] = true
		}
	}
	return slices.Collect(maps.Keys(ids))
}

// LiveByZone returns the number of targets that are not gone by zone.
func (r *Registry) LiveByZone() map[fleet.ZoneID]int {
	n := make(map[fleet.ZoneID]int)
	for _, entries := range r.byAddress {
		for _, e := range entries {
			n[e.record.Target.Zone]++
		}
	}
	return n
}

// States returns the number of targets by state. Silent targets are counted
// under StateSilent only.
func (r *Registry) States() map[fleet.TargetState]int {
	states := map[fleet.TargetState]int{fleet.TargetReady: 0, fleet.TargetDraining: 0, fleet.TargetGone: 0, StateSilent: 0}
	for _, e := range r.entries {
		states[e.record.State()]++
	}
	return states
}

// Merge adds a record from an announcement to this VM, and reports whether the record was added. A record that is not newer than the known
// record of the target is not added, unless it refutes that. Neither is the record of an unknown target
// that has been gone for longer than GoneRetention. Merge returns a
// fleet.FieldError for an invalid record.
func (r *Registry) Merge(rec Record, now time.Time) (bool, error) {
	if e := r.entries[rec.Target.ID.Incarnation]; e != nil {
		refuted := r.refutes(e, &rec, now)
		rec.Era = e.record.Era
		switch {
		case rec.Born != e.record.Born && refuted:
			rec.Era++
		case rec.Born == e.record.Born:
			rec.Revision = e.record.Revision
			if refuted {
				rec.Revision++
			}
		}
	}
	return r.MergeFrom("", rec, now)
}

// IsOutdatedDrain reports whether rec says that a target drains, but a process of that
// target with a later start is known, which takes new flows.
func (r *Registry) IsOutdatedDrain(rec *Record) bool {
	e := r.entries[rec.Target.ID.Incarnation]
	return rec.Target.State == fleet.TargetDraining && e != nil && rec.Born < e.record.Born && e.record.Target.TakesNewFlows()
}

// refutes reports whether an announcement shows that the known record of its target is
// wrong: that a process is not gone, or that one with an earlier start runs although a
// later one was announced. For the latter it takes announcements for lateLimit, in which
// the later process is silent: they may be late ones of a process that has ended. One
// announcement for a service that does not exist counts for nothing.
func (r *Registry) refutes(e *entry, rec *Record, now time.Time) bool {
	known := &e.record
	switch {
	case rec.Gone() || rec.Born > known.Born:
		return false
	case rec.Born == known.Born:
		return known.Gone() && !known.Left && rec.Sequence > known.Sequence
	case r.Known != nil && !r.Known(known.Target.ID.Service) && e.heardBefore.IsZero() && known.Target.ID.Service != rec.Target.ID.Service:
		return true
	case now.Sub(e.lastHeard) <= r.SilenceLimit:
		return false
	case e.rival.born != rec.Born || e.rival.since.Before(e.lastHeard):
		e.rival = rival{born: rec.Born, since: now, sequence: rec.Sequence}
		return false
	}
	newer := rec.Sequence > e.rival.sequence
	e.rival.sequence = max(e.rival.sequence, rec.Sequence)
	return newer && now.Sub(e.rival.since) >= lateLimit
}

// MergeFrom is Merge for a record from another VM, source, which refutes nothing. The known
// record of a target that is not silent here becomes the newer one if the other VM could
// not hear that target, or has heard another writer.
func (r *Registry) MergeFrom(source fleet.VMID, rec Record, now time.Time) (bool, error) {
	e, err := r.merge(rec, now)
	if e == nil || err != nil {
		return false, err
	}
	r.recordHeard(e, source)
	return true, nil
}

// Restore is Merge for a record that an earlier run of this process has saved. Heard
// does not list the target, because the target has not announced itself since.
func (r *Registry) Restore(rec Record, now time.Time) error {
	_, err := r.merge(rec, now)
	// The entry may have kept its place in heard.
	r.unorderedUntil = r.newestHeard
	return err
}

// merge returns the entry of the target, or nil if the record is not added.
func (r *Registry) merge(rec Record, now time.Time) (*entry, error) {
	if err := rec.Validate(); err != nil {
		return nil, err
	}
	lastHeard := now.Add(-rec.Age)
	e := r.entries[rec.Target.ID.Incarnation]
	if e != nil && !rec.NewerThan(&e.record) {
		r.adoptHolders(e, &rec, now)
		return nil, nil
	}
	if e != nil && r.contradicts(e, &rec, now) {
		if rec.Born == e.record.Born {
			e.record.Revision = rec.Revision + 1
		} else {
			e.record.Era = rec.Era + 1
		}
		r.recordChange(e, CauseReturned)
		return nil, nil
	}
	if rec.Warmup == 0 {
		rec.Holders = nil
	} else if e != nil && e.inWarmupOf(&rec, now) {
		rec.Holders = PreferHolders(e.record.Holders, rec.Holders)
	}
	cause := CauseNew
	if e == nil {
		if rec.Gone() && rec.Age > GoneRetention {
			return nil, nil
		}
		e = new(entry)
		r.entries[rec.Target.ID.Incarnation] = e
	} else {
		cause = e.changeCause(&rec)
		if rec.Gone() || rec.Target.ID.Address != e.record.Target.ID.Address {
			r.releaseAddress(e)
		}
	}
	if e.record.Born == rec.Born {
		rec.ZoneRevision = max(rec.ZoneRevision, e.record.ZoneRevision)
	}
	changed := !e.equivalent(&rec) || r.becomesColder(e, &rec, now)
	if e.record.Born == rec.Born && !rec.Gone() && e.lastHeard.After(lastHeard) {
		lastHeard = e.lastHeard
	}
	if e.lastHeard.IsZero() || e.record.Born != rec.Born {
		// These describe the announcements and calls of another process.
		e.lastHeard, e.heardBefore, e.leaveAt, e.rival = lastHeard, time.Time{}, time.Time{}, rival{}
	}
	e.hear(lastHeard)
	r.noteHeard(e)
	e.record = rec
	e.warmAt = now.Add(rec.Warmup)
	e.record.Silent = !rec.Gone() && now.Sub(lastHeard) > r.SilenceLimit
	if changed {
		r.recordChange(e, cause)
	}
	r.claimAddress(e, now)
	return e, nil
}

// contradicts reports whether rec, from another VM, says that the known process of a
// target is gone, which has not said so itself, or has restarted for a service that does
// not exist, although that process is not silent here.
func (r *Registry) contradicts(e *entry, rec *Record, now time.Time) bool {
	if e.record.Gone() || now.Sub(e.lastHeard) > r.SilenceLimit {
		return false
	}
	if rec.Born == e.record.Born {
		return rec.Gone() && !rec.Left
	}
	id := rec.Target.ID.Service
	return rec.Born > e.record.Born && id != e.record.Target.ID.Service && r.Known != nil && !r.Known(id)
}

// Renew records that another VM, source, has heard a target that this registry
// knows, and reports whether that was news.
func (r *Registry) Renew(h Heard, source fleet.VMID, now time.Time) bool {
	e := r.entries[h.Target]
	if e == nil || e.record.Gone() {
		return false
	}
	lastHeard := now.Add(-time.Duration(h.Age) * time.Millisecond)
	if lastHeard.Sub(e.lastHeard) < minRenewal {
		return false
	}
	e.hear(lastHeard)
	r.noteHeard(e)
	r.recordHeard(e, source)
	if e.record.Silent && now.Sub(lastHeard) <= r.SilenceLimit {
		e.record.Silent = false
		r.recordChange(e, CauseHeard)
	}
	return true
}

// changeCause returns the cause of the change that rec, a newer record of the
// same target, makes to the entry.
func (e *entry) changeCause(rec *Record) Cause {
	switch {
	case rec.Era > e.record.Era, e.record.Gone() && rec.Born == e.record.Born:
		return CauseReturned
	case rec.Born != e.record.Born:
		return CauseRestarted
	case rec.Gone():
		return CauseGone
	case rec.Target.State != e.record.Target.State:
		return CauseState
	}
	return CauseHeard
}

func (r *Registry) releaseAddress(e *entry) {
	address := e.record.Target.ID.Address
	i := slices.Index(r.byAddress[address], e)
	if i < 0 {
		return
	}
	r.live--
	r.byAddress[address] = slices.Delete(r.byAddress[address], i, i+1)
	if len(r.byAddress[address]) == 0 {
		delete(r.byAddress, address)
	}
}

// equivalent reports whether rec changes nothing in the entry that affects
// forwarding. It returns false for a new entry.
func (e *entry) equivalent(rec *Record) bool {
	return e.record.Target == rec.Target && e.record.Born == rec.Born && e.record.ZoneRevision == rec.ZoneRevision &&
		!e.record.Silent && e.changeVersion > 0
}

// claimAddress adds an entry that is not gone to its address, and marks entries there as
// gone that have been replaced.
func (r *Registry) claimAddress(e *entry, now time.Time) {
	if e.record.Gone() {
		if e.endedAt.IsZero() {
			e.endedAt = now
		}
		return
	}
	address := e.record.Target.ID.Address
	e.endedAt = time.Time{}
	if !slices.Contains(r.byAddress[address], e) {
		r.byAddress[address] = append(r.byAddress[address], e)
		r.live++
	}
	if len(r.byAddress[address]) == 1 {
		return
	}
	for _, other := range slices.Clone(r.byAddress[address]) {
		if r.replaced(other, now) {
			r.markGone(other, CauseReplaced, now)
		}
	}
}

// replaced reports whether a target has been silent for longer than SilenceLimit, and
// another one has announced itself since at its address, at least twice: one announcement
// may be that of another writer. If the other one started earlier, its announcements may
// be late ones, unless they arrive for longer than lateLimit. The entry VMs tell the
// targets at an address apart by their incarnations.
func (r *Registry) replaced(e *entry, now time.Time) bool {
	if now.Sub(e.lastHeard) <= r.SilenceLimit {
		return false
	}
	return slices.ContainsFunc(r.byAddress[e.record.Target.ID.Address], func(o *entry) bool {
		since := e.lastHeard
		if o.record.Born < e.record.Born {
			since = since.Add(lateLimit)
		}
		return o != e && o.heardBefore.After(since) && (r.Known == nil || r.Known(o.record.Target.ID.Service))
	})
}

func (r *Registry) markGone(e *entry, c Cause, now time.Time) {
	r.releaseAddress(e)
	e.record.Target.State = fleet.TargetGone
	e.record.Silent = false
	e.endedAt = now
	r.recordChange(e, c)
}

// recordChange marks the entry as changed in a new version and calls OnChange.
func (r *Registry) recordChange(e *entry, c Cause) {
	r.version++
	e.changeVersion = r.version
	if e.change == nil {
		e.change = r.changes.PushBack(e)
	} else {
		r.changes.MoveToBack(e.change)
	}
	if r.OnChange != nil {
		r.OnChange(&e.record, c)
	}
}

// recordHeard marks the entry as heard by source in a new heardVersion.
func (r *Registry) recordHeard(e *entry, source fleet.VMID) {
	r.heardVersion++
	e.heardVersion, e.source = r.heardVersion, source
	if e.heardAt == nil {
		e.heardAt = r.heard.PushBack(e)
	} else {
		r.heard.MoveToBack(e.heardAt)
	}
}

// remove removes an entry.
func (r *Registry) remove(id fleet.Incarnation, e *entry) {
	delete(r.entries, id)
	if e.change != nil {
		r.changes.Remove(e.change)
	}
	if e.heardAt != nil {
		r.heard.Remove(e.heardAt)
	}
}

// Leave marks a target that has announced its end as gone, and reports whether it has
// done so. A Leave of an earlier process than the one that is known has no effect. If the
// Leave does not tell the process, the target is gone once it is silent and has not been
// heard since, if it drains: others don't leave, so that the call is a late one of an
// earlier process.
func (r *Registry) Leave(l Leave, now time.Time) bool {
	e := r.entries[l.Target]
	switch {
	case e == nil || e.record.Gone() || l.Born != 0 && l.Born < e.record.Born:
		return false
	case l.Born == 0:
		e.leaveAt = now
		return false
	}
	e.record.Born, e.record.Left = l.Born, true
	r.markGone(e, CauseLeft, now)
	return true
}

// endCause returns the cause if a target that is silent counts as gone, or "". A draining
// target gets no new flows, and its open flows have ended after GoneRetention.
func (e *entry) endCause(silence time.Duration, silenceLimit time.Duration) Cause {
	switch {
	case e.record.Gone() || silence <= silenceLimit:
	case e.record.Target.State == fleet.TargetDraining && !e.leaveAt.IsZero() && !e.lastHeard.After(e.leaveAt):
		return CauseLeft
	case e.record.Target.State == fleet.TargetDraining && silence > GoneRetention:
		return CauseEnded
	}
	return ""
}

// Tick marks the targets that have exceeded SilenceLimit as silent or as gone, and removes
// the targets that have been gone for longer than GoneRetention.
func (r *Registry) Tick(now time.Time) {
	gap := now.Sub(r.lastTick)
	r.lastTick = now
	if gap > maxTickGap {
		r.newestHeard, r.unorderedUntil = r.newestHeard.Add(gap), r.unorderedUntil.Add(gap)
	}
	for id, e := range r.entries {
		if gap > maxTickGap {
			e.lastHeard = e.lastHeard.Add(gap)
			if !e.heardBefore.IsZero() {
				e.heardBefore = e.heardBefore.Add(gap)
			}
			if !e.leaveAt.IsZero() {
				e.leaveAt = e.leaveAt.Add(gap)
			}
		}
		cause := e.endCause(now.Sub(e.lastHeard), r.SilenceLimit)
		switch {
		case e.record.Gone() && now.Sub(e.endedAt) > GoneRetention:
			r.remove(id, e)
		case cause != "":
			r.markGone(e, cause, now)
		case !e.record.Gone() && r.replaced(e, now):
			r.markGone(e, CauseReplaced, now)
		case !e.record.Gone() && !e.record.Silent && now.Sub(e.lastHeard) > r.SilenceLimit:
			e.record.Silent = true
			r.recordChange(e, CauseSilent)
		}
	}
}

// Changes returns the records that have changed since the given version, and all
// records if that is 0.
func (r *Registry) Changes(since Version, now time.Time) []Record {
	var records []Record
	for el := r.changes.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		if e.changeVersion <= since {
			break
		}
		rec := e.record
		rec.Warmup = max(e.warmAt.Sub(now), 0)
		if rec.Warmup == 0 {
			rec.Holders = nil
		}
		rec.Age = max(now.Sub(e.lastHeard), 0)
		if rec.Gone() {
			rec.Age = max(now.Sub(e.endedAt), 0)
		}
		records = append(records, rec)
	}
	return records
}

// Heard returns the targets that were renewed since the given heardVersion, except
// those that a VM for which known returns true has reported. known is not called
// for targets that announced themselves here.
func (r *Registry) Heard(since Version, known func(source fleet.VMID) bool, now time.Time) []Heard {
	var heard []Heard
	for el := r.heard.Back(); el != nil; el = el.Prev() {
		e := el.Value.(*entry)
		if e.heardVersion <= since {
			break
		}
		if e.record.Gone() || e.source != "" && known(e.source) {
			continue
		}
		heard = append(heard, Heard{Target: e.record.Target.ID.Incarnation, Age: uint32(max(now.Sub(e.lastHeard), 0).Milliseconds())})
	}
	return heard
}
