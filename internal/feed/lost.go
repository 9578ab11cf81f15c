package feed

import (
	"maps"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	// minLostSuspects and minLostChecks are the numbers of entry VMs that must suspect
	// a lost target, and of those whose health checks of it must have failed. If fewer
	// entry VMs are connected, all of them must.
	minLostSuspects = 3
	minLostChecks   = 2
	// lateShare is the share of the silence limit, in percent, from which on an
	// announcement is late: 1.5 of the 2.5 intervals. Other hubs tell of announcements
	// up to 0.2 s after them.
	lateShare = 60
	// maxLateShare is the share of the targets up to which late ones are checked. It is
	// less than the share of one of three zones.
	maxLateShare = 0.3
	// maxLateTargets is the number of late targets that are checked whatever their share.
	maxLateTargets = 10
	// maxUpdateGap is the time between two decisions from which on this process is
	// assumed not to have run. Announcements may then wait in its receive buffers, and
	// the reports of entry VMs may be old; these leave the hub after IdleTimeout.
	maxUpdateGap = 300 * time.Millisecond
	// maxCandidates bounds the targets that entry VMs are asked to check, so that a
	// message stays small if a whole zone fails at the design scale.
	maxCandidates = 2048
)

type (
	// FailedCount is the number of entry VMs whose health checks of a suspected target
	// have failed, and the number of those in the target's zone.
	FailedCount struct {
		Target fleet.Incarnation `cbor:"1,keyasint"`
		VMs    int               `cbor:"2,keyasint"`
		Own    int               `cbor:"3,keyasint,omitempty"`
	}

	// LostEvidence is what is known about a target that becomes lost or is back.
	LostEvidence struct {
		Target fleet.TargetID
		// Suspects, Failed and Own are the numbers of entry VMs that suspect the target,
		// whose checks have failed, and of the latter those in the target's zone.
		Suspects, Failed, Own int
		// Answered is the number of entry VMs that have had an answer since the doubt.
		Answered int
		// Heard is the time since the last announcement, and Doubted the time since the
		// first doubt after it, 0 if no VM doubts the target.
		Heard, Doubted time.Duration
		// Partition is set if the target's zone seems cut off from the other zones.
		Partition bool
	}

	// lostTargets decides which targets are lost, from the reports of all entry VMs.
	lostTargets struct {
		// onChange, if not nil, is called for each target that becomes lost or is back.
		onChange func(e *LostEvidence, lost bool)
		// zones holds the zone of each connected entry VM, and failed and answered its
		// reports.
		zones            map[fleet.VMID]fleet.ZoneID
		failed, answered map[fleet.VMID][]fleet.Incarnation
		// hubFailed and hubAnswered hold the reports of other hubs.
		hubFailed   map[fleet.VMID][]FailedCount
		hubAnswered map[fleet.VMID][]ReportCount
		// localFailed and localAnswered sum up the reports of the entry VMs.
		localFailed   []FailedCount
		localAnswered []ReportCount
		// doubted holds, for each suspected target, the time of the first doubt or of the
		// last announcement, whichever is later. shared lists the suspected targets that
		// several entry VMs suspect and that fewer have had an answer from.
		// candidates lists these targets and those whose announcement is late, and lost
		// the lost ones.
		doubted          map[fleet.Incarnation]time.Time
		candidates, lost []fleet.Incarnation
		shared           []fleet.Incarnation
		// updatedAt is the time of the last decision. No target becomes lost before
		// pausedUntil.
		updatedAt, pausedUntil time.Time
	}
)

func newLostTargets() lostTargets {
	return lostTargets{
		zones: make(map[fleet.VMID]fleet.ZoneID), failed: make(map[fleet.VMID][]fleet.Incarnation),
		answered: make(map[fleet.VMID][]fleet.Incarnation), hubFailed: make(map[fleet.VMID][]FailedCount),
		hubAnswered: make(map[fleet.VMID][]ReportCount), doubted: make(map[fleet.Incarnation]time.Time),
	}
}

// EnableLostTargets makes the store decide which targets are lost. onChange is called,
// with the store's lock held, for each target that becomes lost or is back. It must be
// called before the store is used.
func (s *Store) EnableLostTargets(onChange func(e *LostEvidence, lost bool)) {
	s.lostEnabled, s.lost.onChange = true, onChange
}

// report replaces the reports of an entry VM.
func (l *lostTargets) report(vm fleet.VMID, zone fleet.ZoneID, a *Ack) {
	l.zones[vm], l.failed[vm], l.answered[vm] = zone, a.Failed, a.Answered
	if len(a.Failed)+len(a.Answered) == 0 {
		delete(l.zones, vm)
		delete(l.failed, vm)
		delete(l.answered, vm)
	}
}

// setHub replaces the reports of another hub.
func (l *lostTargets) setHub(hub fleet.VMID, r *Reports) {
	l.hubFailed[hub], l.hubAnswered[hub] = r.Failed, r.Answered
}

func (l *lostTargets) removeHub(hub fleet.VMID) {
	delete(l.hubFailed, hub)
	delete(l.hubAnswered, hub)
}

// TickReports aggregates the reports of entry VMs. It is called more often than Tick,
// because each step of the detection of a failed target waits for it.
func (s *Store) TickReports(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aggregateReports()
	s.updateLost(now)
}

// updateLost decides again which targets are lost, and wakes the subscribers that
// receive the results. The load that the decision answers is that of callers' requests
// on open flows to targets that have stopped silently, which would wait for their
// deadline.
func (s *Store) updateLost(now time.Time) {
	if !s.lostEnabled {
		return
	}
	l := &s.lost
	if now.Sub(l.updatedAt) > maxUpdateGap {
		l.pausedUntil = now.Add(IdleTimeout)
	}
	l.updatedAt = now
	failed, answered := s.sumChecks()
	suspects := maps.Clone(s.suspected.counts)
	for id := range l.doubted {
		if suspects[id] == 0 {
			delete(l.doubted, id)
		}
	}
	evidence := make(map[fleet.Incarnation]*LostEvidence)
	var candidates []fleet.Incarnation
	for id, n := range suspects {
		rec, ok := s.targets.Get(id)
		if !ok || rec.Gone() {
			continue
		}
		heard := s.targets.LastHeard(id)
		switch {
		case l.doubted[id].IsZero():
			l.doubted[id] = now
		case heard.After(l.doubted[id]):
			// VMs that still doubt the target repeat their checks within the silence limit.
			l.doubted[id] = heard
		}
		candidates = append(candidates, id)
		f := failed[id]
		evidence[id] = &LostEvidence{
			Target: rec.Target.ID, Suspects: n, Failed: f.VMs, Own: f.Own, Answered: answered[id],
			Heard: now.Sub(heard), Doubted: now.Sub(l.doubted[id]),
		}
	}
	for _, id := range s.lateTargets(now) {
		if evidence[id] == nil {
			candidates = append(candidates, id)
		}
	}
	slices.Sort(candidates)
	lost := s.decideLost(candidates, evidence)
	if now.Before(l.pausedUntil) {
		lost = slices.DeleteFunc(lost, func(id fleet.Incarnation) bool { return !slices.Contains(l.lost, id) })
	}
	s.logLost(lost, evidence, now)
	candidates = candidates[:min(len(candidates), maxCandidates)]
	shared := slices.DeleteFunc(slices.Clone(s.suspected.shared), func(id fleet.Incarnation) bool { return answered[id] >= suspects[id] })
	if !slices.Equal(lost, l.lost) || !slices.Equal(candidates, l.candidates) || !slices.Equal(shared, l.shared) {
		l.lost, l.candidates, l.shared = lost, candidates, shared
		s.entryFeed.notify()
	}
}

// withdrawLost decides again which targets are lost if one of them has announced itself.
// Entry VMs would otherwise get the record of a target that has restarted before they
// learn that it is no longer lost.
func (s *Store) withdrawLost(heard []registry.Record, now time.Time) {
	for i := range heard {
		if slices.Contains(s.lost.lost, heard[i].Target.ID.Incarnation) {
			s.updateLost(now)
			return
		}
	}
}

// lateTargets returns the targets whose announcement is late by half an interval. They
// are checked although no VM doubts them, so that a target is found to which only open
// flows lead. If many are late, this hub is more likely cut off from announcements, and
// the checks of all of them would cost each target 16 connections a second.
func (s *Store) lateTargets(now time.Time) []fleet.Incarnation {
	late := s.targets.Overdue(s.targets.SilenceLimit*lateShare/100, now)
	if !s.current || float64(len(late)) > max(maxLateTargets, maxLateShare*float64(s.targets.Len())) {
		return nil
	}
	return late
}

// sumChecks adds up the reports of health checks and answers of all entry VMs, and
// publishes the sums of those that are connected to this hub to the other hubs.
func (s *Store) sumChecks() (map[fleet.Incarnation]FailedCount, map[fleet.Incarnation]int) {
	l := &s.lost
	failed, answered := make(map[fleet.Incarnation]FailedCount), make(map[fleet.Incarnation]int)
	for vm, ids := range l.failed {
		for _, id := range ids {
			f := failed[id]
			f.Target = id
			f.VMs++
			if rec, ok := s.targets.Get(id); ok && rec.Target.Zone == l.zones[vm] {
				f.Own++
			}
			failed[id] = f
		}
	}
	for _, ids := range l.answered {
		for _, id := range ids {
			answered[id]++
		}
	}
	var localFailed []FailedCount
	for _, id := range slices.Sorted(maps.Keys(failed)) {
		localFailed = append(localFailed, failed[id])
	}
	var localAnswered []ReportCount
	for _, id := range slices.Sorted(maps.Keys(answered)) {
		localAnswered = append(localAnswered, ReportCount{id, answered[id]})
	}
	if !slices.Equal(localFailed, l.localFailed) || !slices.Equal(localAnswered, l.localAnswered) {
		l.localFailed, l.localAnswered = localFailed, localAnswered
		s.controlFeed.notify()
	}
	for _, counts := range l.hubFailed {
		for _, n := range counts {
			f := failed[n.Target]
			failed[n.Target] = FailedCount{Target: n.Target, VMs: f.VMs + n.VMs, Own: f.Own + n.Own}
		}
	}
	for _, counts := range l.hubAnswered {
		for _, n := range counts {
			answered[n.Target] += n.VMs
		}
	}
	return failed, answered
}

// decideLost returns the candidates that are lost, sorted. A hub that does not follow
// a majority of the hubs may not have heard announcements, and returns none.
func (s *Store) decideLost(candidates []fleet.Incarnation, evidence map[fleet.Incarnation]*LostEvidence) []fleet.Incarnation {
	followed := 1
	for _, h := range s.hubs {
		if s.sources[h.VM] && h.VM != s.self {
			followed++
		}
	}
	if !s.current || 2*followed <= len(s.hubs) {
		return nil
	}
	entryVMs := s.reportsFor(Entry).EntryVMs
	var lost []fleet.Incarnation
	foreign := make(map[fleet.ZoneID]int)
	for _, id := range candidates {
		if e := evidence[id]; e != nil && e.isLost(entryVMs, s.targets.SilenceLimit) {
			lost = append(lost, id)
			if e.Own == 0 {
				rec, _ := s.targets.Get(id)
				foreign[rec.Target.Zone]++
			}
		}
	}
	if len(foreign) == 0 {
		return lost
	}
	live := s.targets.LiveByZone()
	return slices.DeleteFunc(lost, func(id fleet.Incarnation) bool {
		rec, _ := s.targets.Get(id)
		e := evidence[id]
		e.Partition = e.Own == 0 && 2*foreign[rec.Target.Zone] > live[rec.Target.Zone]
		return e.Partition
	})
}

// isLost reports whether the evidence suffices. Failed checks and unanswered opening
// packets alone don't: a target whose slots and queue are full causes both, but still
// announces itself.
func (e *LostEvidence) isLost(entryVMs int, silenceLimit time.Duration) bool {
	return entryVMs > 0 && e.Suspects >= min(minLostSuspects, entryVMs) && e.Failed >= min(minLostChecks, entryVMs) &&
		e.Answered == 0 && e.Heard > silenceLimit
}

// logLost calls onChange for the targets that are lost now and were not before, and
// the reverse.
func (s *Store) logLost(lost []fleet.Incarnation, evidence map[fleet.Incarnation]*LostEvidence, now time.Time) {
	if s.lost.onChange == nil {
		return
	}
	for _, id := range lost {
		if !slices.Contains(s.lost.lost, id) {
			s.lost.onChange(evidence[id], true)
		}
	}
	for _, id := range s.lost.lost {
		if slices.Contains(lost, id) {
			continue
		}
		e := evidence[id]
		if e == nil {
			rec, _ := s.targets.Get(id)
			e = &LostEvidence{Target: rec.Target.ID, Heard: now.Sub(s.targets.LastHeard(id))}
		}
		s.lost.onChange(e, false)
	}
}
