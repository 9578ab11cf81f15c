package feed

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// checkRestored fails the test if the invariant of restoredTargets does not hold.
func checkRestored(t *testing.T, r *restoredTargets) {
	t.Helper()
	listed := 0
	for address, ids := range r.byAddress {
		if len(ids) == 0 {
			t.Fatalf("address %v has no restored targets, want it removed", address)
		}
		listed += len(ids)
		for _, id := range ids {
			if got, ok := r.records[id]; !ok || got.Target.ID.Address != address {
				t.Fatalf("restored target %v at %v: got record of %v, want that address", id, address, got.Target.ID)
			}
		}
	}
	if got, want := listed, len(r.records); got != want {
		t.Fatalf("got %d restored targets by address, want %d", got, want)
	}
}

// TestRestoredTargetsOfOneAddress guards against a saved target that is still published
// after another one has announced itself at its address, because a third one was saved there.
func TestRestoredTargetsOfOneAddress(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	saved := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	address := netip.MustParseAddrPort("10.0.0.9:80")
	for id := range fleet.Incarnation(2) {
		rec := record(id+1, 1, fleet.TargetReady)
		rec.Target.ID.Address = address
		if _, err := saved.Merge(rec, now); err != nil {
			t.Fatal(err)
		}
	}
	data, err := saved.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	s := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	if err := s.Restore(data, now); err != nil {
		t.Fatal(err)
	}
	checkRestored(t, &s.restored)
	rec := record(3, 1, fleet.TargetReady)
	rec.Target.ID.Address = address
	if _, err := s.Merge(rec, now); err != nil {
		t.Fatal(err)
	}
	checkRestored(t, &s.restored)
	if got := len(s.restored.records); got != 0 {
		t.Errorf("restored targets after an announcement at their address: got %d, want 0", got)
	}
	var ids []fleet.Incarnation
	for _, rec := range s.targets.At(address) {
		ids = append(ids, rec.Target.ID.Incarnation)
	}
	slices.Sort(ids)
	if want := []fleet.Incarnation{1, 2, 3}; !slices.Equal(ids, want) {
		t.Errorf("targets at the address: got %v, want %v", ids, want)
	}
}
