package feed

import (
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// TestDrainInForce guards against the acknowledgement of a drain that no hub has recorded,
// because a process of the target with a later start is known, and against late drains of a
// former process that are never acknowledged.
func TestDrainInForce(t *testing.T) {
	now := time.Now()
	s := fleetStore(t, 3, now)
	known := record(1, 5, fleet.TargetReady)
	known.Born = 20
	if _, err := s.Merge(known, now); err != nil {
		t.Fatal(err)
	}
	sequence := registry.Sequence(1)
	drain := func(at time.Time, arrived time.Time) bool {
		t.Helper()
		sequence++
		rec := record(1, sequence, fleet.TargetDraining)
		rec.Born = 10
		_, inForce, err := s.Drain(rec, arrived, at)
		if err != nil {
			t.Fatal(err)
		}
		return inForce
	}
	arrived := now.Add(time.Second)
	if drain(arrived, arrived) {
		t.Error("drain after the last announcement of the later process: got in force, want not yet")
	}
	known.Sequence++
	if _, err := s.Merge(known, arrived.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if !drain(arrived.Add(time.Second), arrived) {
		t.Error("drain before an announcement of the later process: got not in force, want it acknowledged as a late call")
	}
	if rec, _ := s.targets.Get(1); rec.Target.State != fleet.TargetReady {
		t.Errorf("target that runs: got state %s, want %s", rec.Target.State, fleet.TargetReady)
	}
	silent := arrived.Add(10 * time.Second)
	if drain(silent, silent) {
		t.Error("drain while the later process is silent: got in force, want not yet")
	}
	late := silent.Add(31 * time.Second)
	if !drain(late, late) {
		t.Error("drain that is repeated for 31 s while the later process is silent: got not in force")
	}
	if rec, _ := s.targets.Get(1); rec.Target.State != fleet.TargetDraining {
		t.Errorf("target that drains: got state %s, want %s", rec.Target.State, fleet.TargetDraining)
	}
}
