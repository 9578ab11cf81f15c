package registry

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxHolders is the maximum number of holders of a cold target. A holder that dies
// leaves its part of the budget unused for the rest of the warm-up, a quarter of the
// budget with four holders. With more holders, each would receive a smaller part of
// the budget than the flows that reach it within a warm-up of 2 s can use evenly.
const maxHolders = 4

// EntryVM is an entry VM that can become a holder.
type EntryVM struct {
	ID   fleet.VMID
	Zone fleet.ZoneID
}

// HolderHash returns the hash that identifies an entry VM in Record.Holders.
func HolderHash(id fleet.VMID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// ChooseHolders returns the holders of a cold target: at most maxHolders of vms, and
// at most budget. VMs in the zone of the target come first, and rendezvous hashing
// distributes the targets over the VMs of a zone.
func ChooseHolders(vms []EntryVM, t *fleet.Target, budget int) []uint32 {
	type candidate struct {
		otherZone bool
		score     uint64
		hash      uint32
	}
	candidates := make([]candidate, 0, len(vms))
	var buf [12]byte
	binary.BigEndian.PutUint64(buf[:], uint64(t.ID.Incarnation))
	for i := range vms {
		hash := HolderHash(vms[i].ID)
		binary.BigEndian.PutUint32(buf[8:], hash)
		candidates = append(candidates, candidate{vms[i].Zone != t.Zone, xxhash.Sum64(buf[:]), hash})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.otherZone != b.otherZone {
			if b.otherZone {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.score, b.score)
	})
	var holders []uint32
	for _, c := range candidates[:min(len(candidates), maxHolders, max(budget, 0))] {
		holders = append(holders, c.hash)
	}
	return holders
}

// PreferHolders returns the list that is in force if two hubs have chosen holders for
// the same warm-up: the one with the lower hash, or the one that is not empty.
func PreferHolders(a, b []uint32) []uint32 {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0 || hashOf(a) <= hashOf(b):
		return a
	}
	return b
}

func hashOf(holders []uint32) uint64 {
	buf := make([]byte, 0, 4*maxHolders)
	for _, h := range holders {
		buf = binary.BigEndian.AppendUint32(buf, h)
	}
	return xxhash.Sum64(buf)
}

// Unheld returns the record of a target that is cold and has no holders, otherwise nil.
// Callers must not modify it.
func (r *Registry) Unheld(id fleet.Incarnation, now time.Time) *Record {
	e := r.entries[id]
	if e == nil || e.record.Gone() || !now.Before(e.warmAt) || len(e.record.Holders) > 0 {
		return nil
	}
	return &e.record
}

// SetHolders sets the holders of a target that has none.
func (r *Registry) SetHolders(id fleet.Incarnation, holders []uint32) {
	if e := r.entries[id]; e != nil && len(e.record.Holders) == 0 {
		e.record.Holders = holders
		r.recordChange(e, CauseHolders)
	}
}

// inWarmupOf reports whether rec describes the warm-up that the entry is in.
func (e *entry) inWarmupOf(rec *Record, now time.Time) bool {
	return e.record.Born == rec.Born && rec.Warmup > 0 && now.Before(e.warmAt)
}

// adoptHolders adopts the holders of a record that is not newer than the entry, if
// they are in force instead of those of the entry. An entry that was restored and
// has not been renewed since takes over the warm-up, which is not known after a restart.
func (r *Registry) adoptHolders(e *entry, rec *Record, now time.Time) {
	if warmAt := now.Add(rec.Warmup); e.heardAt == nil && e.record.Born == rec.Born && len(rec.Holders) > 0 && warmAt.After(e.warmAt) {
		e.warmAt = warmAt
	}
	if e.record.Gone() || rec.Gone() || !e.inWarmupOf(rec, now) {
		return
	}
	if h := PreferHolders(e.record.Holders, rec.Holders); !slices.Equal(h, e.record.Holders) {
		e.record.Holders = h
		r.recordChange(e, CauseHolders)
	}
}

// becomesColder reports whether rec, which is newer than the entry, changes the
// warm-up of the target: it has other holders, or lasts longer than known.
func (r *Registry) becomesColder(e *entry, rec *Record, now time.Time) bool {
	if rec.Warmup == 0 || r.LimitsCold == nil || !r.LimitsCold(rec.Target.ID.Service) {
		return false
	}
	return now.Add(rec.Warmup).Sub(e.warmAt) > minRenewal || !slices.Equal(e.record.Holders, rec.Holders)
}
