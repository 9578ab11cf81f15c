package registry

import (
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// GoneRetention is how long a target that has ended is remembered, so that
	// late announcements and open flows find that it is gone. It covers the
	// longest life of a flow, one minute on the users' platform.
	GoneRetention = 90 * time.Second
	// maxPause is the time between two Ticks above which the process is taken
	// to have stood still: the silence of targets in that time proves nothing.
	maxPause = time.Second
)

// Causes of a change.
const (
	CauseNew       Cause = "New"       // the target was not known
	CauseRestarted Cause = "Restarted" // the target has started again under its id
	CauseState     Cause = "State"     // the target says that its state has changed
	CauseHeard     Cause = "Heard"     // the target was silent and is heard again
	CauseSilent    Cause = "Silent"    // the target has not been heard for too long
	CauseReplaced  Cause = "Replaced"  // another target has taken over its address
	CauseLeft      Cause = "Left"      // the target says that it has ended
	CauseGone      Cause = "Gone"      // another VM says that the target has ended
)

type (
	// Cause is the reason of a change, from a bounded set.
	Cause string

	// Registry is the list of targets as one VM knows it. One goroutine uses
	// it.
	//
	// Invariant: owners[a] is the record that holds the address a and is not
	// Gone; at most one such record exists per address.
	Registry struct {
		// SilenceLimit is the time without an announcement after which a target
		// is marked as silent.
		SilenceLimit time.Duration
		// Observe, if set, is called with each change of a target.
		Observe func(rec *Record, c Cause)

		entries map[fleet.Incarnation]*entry
		owners  map[netip.AddrPort]*entry
		version Version
		// changed is the version of the last change that matters for
		// forwarding.
		changed Version
		ticked  time.Time
	}

	entry struct {
		record Record
		// heard is the time of the last announcement, at any VM.
		heard time.Time
		warm  time.Time
		ended time.Time
		// changed is the version of the last change of record, and touched that
		// of the last announcement.
		changed, touched Version
	}
)

// New returns an empty registry.
func New(silenceLimit time.Duration, now time.Time) *Registry {
	return &Registry{
		SilenceLimit: silenceLimit,
		entries:      make(map[fleet.Incarnation]*entry),
		owners:       make(map[netip.AddrPort]*entry),
		ticked:       now,
	}
}

// Version returns the version of the last change or announcement.
func (r *Registry) Version() Version { return r.version }

// Changed returns the version of the last change of a target.
func (r *Registry) Changed() Version { return r.changed }

// Len returns the number of targets that are not gone.
func (r *Registry) Len() int { return len(r.owners) }

// StateSilent stands for targets that are not heard, in counts.
const StateSilent fleet.TargetState = "Silent"

// States counts the targets by their states, with those that are not heard
// apart.
func (r *Registry) States() map[fleet.TargetState]int {
	states := map[fleet.TargetState]int{fleet.TargetReady: 0, fleet.TargetDraining: 0, fleet.TargetGone: 0, StateSilent: 0}
	for _, e := range r.entries {
		states[e.record.State()]++
	}
	return states
}

// Merge takes a record, be it an announcement or another VM's record, and
// reports whether it was news. It returns a fleet.FieldError for an invalid
// record.
func (r *Registry) Merge(rec Record, now time.Time) (bool, error) {
	if err := rec.Validate(); err != nil {
		return false, err
	}
	heard := now.Add(-rec.Age)
	e := r.entries[rec.Target.ID.Incarnation]
	if e != nil && !rec.newerThan(&e.record) {
		return false, nil
	}
	cause := CauseNew
	if e == nil {
		if rec.Gone() && rec.Age > GoneRetention {
			return false, nil
		}
		e = new(entry)
		r.entries[rec.Target.ID.Incarnation] = e
	} else {
		cause = e.cause(&rec)
		r.release(e)
	}
	r.version++
	e.touched = r.version
	changed := !e.equal(&rec)
	e.record, e.heard = rec, heard
	e.warm = now.Add(rec.Warmup)
	e.record.Silent = !rec.Gone() && now.Sub(heard) > r.SilenceLimit
	if changed {
		r.mark(e, cause)
	}
	r.claim(e, now)
	return true, nil
}

// cause returns what a newer record of the target tells.
func (e *entry) cause(rec *Record) Cause {
	switch {
	case rec.Born != e.record.Born:
		return CauseRestarted
	case rec.Gone():
		return CauseGone
	case rec.Target.State != e.record.Target.State:
		return CauseState
	}
	return CauseHeard
}

func (r *Registry) release(e *entry) {
	if r.owners[e.record.Target.ID.Address] == e {
		delete(r.owners, e.record.Target.ID.Address)
	}
}

// equal reports whether a new record differs from the entry in nothing that
// matters for forwarding.
func (e *entry) equal(rec *Record) bool {
	return e.record.Target == rec.Target && e.record.Born == rec.Born && !e.record.Silent && e.changed > 0
}

// claim gives the entry its address; of two targets at one address the one
// that started earlier has ended.
func (r *Registry) claim(e *entry, now time.Time) {
	address := e.record.Target.ID.Address
	if e.record.Gone() {
		if e.ended.IsZero() {
			e.ended = now
		}
		return
	}
	other := r.owners[address]
	if other != nil && other.record.Born > e.record.Born {
		r.end(e, CauseReplaced, now)
		return
	}
	if other != nil {
		r.end(other, CauseReplaced, now)
	}
	e.ended = time.Time{}
	r.owners[address] = e
}

func (r *Registry) end(e *entry, c Cause, now time.Time) {
	r.release(e)
	r.version++
	e.record.Target.State = fleet.TargetGone
	e.record.Silent = false
	e.ended = now
	r.mark(e, c)
}

// mark notes that the entry has changed in the present version.
func (r *Registry) mark(e *entry, c Cause) {
	e.changed, e.touched, r.changed = r.version, r.version, r.version
	if r.Observe != nil {
		r.Observe(&e.record, c)
	}
}

// Leave ends a target that says that it has stopped, and reports whether it
// was known and had not ended.
func (r *Registry) Leave(id fleet.Incarnation, now time.Time) bool {
	e := r.entries[id]
	if e == nil || e.record.Gone() {
		return false
	}
	r.end(e, CauseLeft, now)
	return true
}

// Tick marks silent targets, and forgets those that are gone for long enough.
func (r *Registry) Tick(now time.Time) {
	pause := now.Sub(r.ticked)
	r.ticked = now
	for id, e := range r.entries {
		if pause > maxPause {
			e.heard = e.heard.Add(pause)
		}
		switch {
		case e.record.Gone() && now.Sub(e.ended) > GoneRetention:
			delete(r.entries, id)
		case !e.record.Gone() && !e.record.Silent && now.Sub(e.heard) > r.SilenceLimit:
			r.version++
			e.record.Silent = true
			r.mark(e, CauseSilent)
		}
	}
}

// Changes returns the records that have changed since a version.
func (r *Registry) Changes(since Version, now time.Time) []Record {
	return r.collect(now, func(e *entry) bool { return e.changed > since })
}

// News returns the records that have changed or were announced since a
// version.
func (r *Registry) News(since Version, now time.Time) []Record {
	return r.collect(now, func(e *entry) bool { return e.touched > since })
}

func (r *Registry) collect(now time.Time, wanted func(*entry) bool) []Record {
	var records []Record
	for _, e := range r.entries {
		if !wanted(e) {
			continue
		}
		rec := e.record
		rec.Warmup = max(e.warm.Sub(now), 0)
		rec.Age = max(now.Sub(e.heard), 0)
		if rec.Gone() {
			rec.Age = max(now.Sub(e.ended), 0)
		}
		records = append(records, rec)
	}
	return records
}
