package feed

import (
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// report records the reports of an entry VM.
func (s *Store) report(vm fleet.VMID, zone fleet.ZoneID, a *Ack, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordReport(vm, zone, a, now)
}

// Guards against acknowledgements of a control VM from before its restart that count for
// the process that runs now and has lost the state, and against the end of an earlier
// connection that removes what the VM has acknowledged on the present one.
func TestAcksOfEarlierConnections(t *testing.T) {
	now := time.Now()
	s := fleetStore(t, 3, now)
	v := s.targets.Version()
	acked := func() bool {
		ok, _ := s.hasMajority("a", v)
		return ok
	}
	before, after := &Hello{VM: "b", Role: Control}, &Hello{VM: "b", Role: Control}
	s.connect(before)
	s.acknowledge(before, &Ack{Version: v}, now)
	if !acked() {
		t.Error("acknowledgement on the only connection: got no majority")
	}
	s.connect(after)
	if acked() {
		t.Error("new connection of a VM that may have restarted: got a majority")
	}
	s.acknowledge(before, &Ack{Version: v}, now)
	if acked() {
		t.Error("late acknowledgement on the earlier connection: got a majority")
	}
	s.acknowledge(after, &Ack{Version: v, Sources: []fleet.VMID{"c"}}, now)
	s.disconnect(before, now)
	if !acked() || !s.followed["b"]["c"] {
		t.Error("end of the earlier connection: got no majority or no sources")
	}
	s.disconnect(after, now)
	if acked() || len(s.connections) > 0 {
		t.Error("end of the present connection: got a majority, or a connection that is left")
	}
}

// Guards against reports of an entry VM from before its restart, which would keep targets
// in doubt, and against reports that the end of an earlier connection removes.
func TestReportsOfEarlierConnections(t *testing.T) {
	now := time.Now()
	s := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	before, after := &Hello{VM: "e", Zone: "z0", Role: Entry}, &Hello{VM: "e", Zone: "z0", Role: Entry}
	s.connect(before)
	s.connect(after)
	s.acknowledge(after, &Ack{Suspects: []fleet.Incarnation{1}}, now)
	s.acknowledge(before, &Ack{Suspects: []fleet.Incarnation{2}}, now)
	s.disconnect(before, now)
	if got := s.suspected.entryVMs["e"]; len(got) != 1 || got[0] != 1 {
		t.Errorf("suspects: got %v, want [1] of the present connection", got)
	}
	s.disconnect(after, now)
	if got := s.suspected.entryVMs; len(got) > 0 {
		t.Errorf("suspects after the end of the present connection: got %v, want none", got)
	}
}
