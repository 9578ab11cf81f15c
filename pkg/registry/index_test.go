package registry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// checkIndexes fails the test if an invariant of Registry does not hold.
func checkIndexes(t *testing.T, r *Registry) {
	t.Helper()
	live := 0
	for id, e := range r.entries {
		if got, want := e.record.Target.ID.Incarnation, id; got != want {
			t.Fatalf("entry of target %v: got record of %v", want, got)
		}
		listed := 0
		for address, entries := range r.byAddress {
			for _, o := range entries {
				if o == e {
					listed++
					if want := e.record.Target.ID.Address; address != want {
						t.Fatalf("target %v: listed at %v, want %v", id, address, want)
					}
				}
			}
		}
		want := 1
		if e.record.Gone() {
			want = 0
		}
		if listed != want {
			t.Fatalf("target %v in state %v: listed %d times, want %d", id, e.record.Target.State, listed, want)
		}
		live += want
	}
	listed := 0
	for address, entries := range r.byAddress {
		if len(entries) == 0 {
			t.Fatalf("address %v has no targets, want it removed", address)
		}
		listed += len(entries)
	}
	if listed != live || r.live != live {
		t.Fatalf("got %d listed and %d live targets, want %d", listed, r.live, live)
	}
	var last Version
	for el := r.changes.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		if e.change != el || r.entries[e.record.Target.ID.Incarnation] != e || e.changeVersion <= last {
			t.Fatalf("change %d of target %v after %d: not that of its entry, or out of order", e.changeVersion, e.record.Target.ID, last)
		}
		last = e.changeVersion
	}
	last = 0
	for el := r.heard.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		if e.heardAt != el || r.entries[e.record.Target.ID.Incarnation] != e || e.heardVersion <= last {
			t.Fatalf("renewal %d of target %v after %d: not that of its entry, or out of order", e.heardVersion, e.record.Target.ID, last)
		}
		last = e.heardVersion
	}
	if got, want := r.changes.Len(), len(r.entries); got != want {
		t.Fatalf("changes: got %d targets, want %d", got, want)
	}
}

// checkOverdue fails the test if Overdue does not return each target whose last
// announcement was longer ago than d.
func checkOverdue(t *testing.T, r *Registry, d time.Duration, now time.Time) {
	t.Helper()
	var want []fleet.Incarnation
	for id, e := range r.entries {
		if e.heardAt != nil && !e.record.Gone() && now.Sub(e.lastHeard) > d {
			want = append(want, id)
		}
	}
	got := r.Overdue(d, now)
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Fatalf("targets without an announcement for %v: got %v, want %v", d, got, want)
	}
}

// TestOverdueAfterOldRecord guards against a silent target that is not found because a VM
// that was cut off has reported it after others with newer announcements.
func TestOverdueAfterOldRecord(t *testing.T) {
	r := New(silenceLimit, start)
	now := start.Add(10 * time.Second)
	if _, err := r.Merge(record(1, 1, 10, 1, fleet.TargetReady), now); err != nil {
		t.Fatal(err)
	}
	old := record(2, 2, 10, 1, fleet.TargetReady)
	old.Age = 2 * time.Second
	if _, err := r.MergeFrom("hub", old, now); err != nil {
		t.Fatal(err)
	}
	if got, want := r.Overdue(1800*time.Millisecond, now), []fleet.Incarnation{2}; !slices.Equal(got, want) {
		t.Errorf("Overdue: got %v, want %v", got, want)
	}
}

// TestRegistryRandomCalls guards against lists by address or by version that differ from
// the targets after any order of announcements, whose writers reuse ids and addresses.
func TestRegistryRandomCalls(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 12))
			now := start
			hubs := []*Registry{New(silenceLimit, now), New(silenceLimit, now)}
			known := []fleet.ServiceID{"a", "b"}
			for _, r := range hubs {
				r.Known = func(id fleet.ServiceID) bool { return slices.Contains(known, id) }
				r.LimitsCold = func(id fleet.ServiceID) bool { return id == "a" }
			}
			random := func() Record {
				return Record{
					Target: fleet.Target{
						ID: fleet.TargetID{
							Service:     []fleet.ServiceID{"a", "b", "c"}[rng.IntN(3)],
							Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rng.IntN(3) + 1)}), 80),
							Incarnation: fleet.Incarnation(rng.IntN(5) + 1),
						},
						Zone: "z", Slots: 1, ConnectionLimit: 1,
						State: []fleet.TargetState{fleet.TargetReady, fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone}[rng.IntN(4)],
					},
					Born: int64(rng.IntN(3) + 1), Sequence: Sequence(rng.IntN(30)), Warmup: time.Duration(rng.IntN(3)) * time.Second,
					Age: time.Duration(rng.IntN(5)) * time.Second, Left: rng.IntN(4) == 0, Holders: []uint32{uint32(rng.IntN(3))},
				}
			}
			for range 400 {
				r, o := hubs[rng.IntN(2)], hubs[rng.IntN(2)]
				now = now.Add(time.Duration(rng.IntN(800)) * time.Millisecond)
				rec := random()
				var err error
				switch rng.IntN(8) {
				case 0, 1, 2:
					_, err = r.Merge(rec, now)
				case 3:
					for _, rec := range o.Changes(0, now) {
						if _, e := r.MergeFrom("hub", rec, now); e != nil {
							err = e
						}
					}
				case 4:
					r.Leave(Leave{Target: rec.Target.ID.Incarnation, Born: int64(rng.IntN(4))}, now)
				case 5:
					err = r.Restore(rec, now)
				case 6:
					for _, h := range o.Heard(0, func(fleet.VMID) bool { return false }, now) {
						r.Renew(h, "hub", now)
					}
					r.SetHolders(rec.Target.ID.Incarnation, rec.Holders)
				case 7:
					now = now.Add(time.Duration(rng.IntN(3)*rng.IntN(60)) * time.Second)
					r.Tick(now)
				}
				if err != nil {
					t.Fatal(err)
				}
				checkIndexes(t, r)
				checkOverdue(t, r, 1800*time.Millisecond, now)
			}
		})
	}
}
