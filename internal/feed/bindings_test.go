package feed

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

func contestedFlow(n int) fleet.FlowBinding {
	return fleet.FlowBinding{
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 5000),
		VIP:    netip.MustParseAddrPort("198.18.0.1:443"), Target: fleet.Incarnation(n + 1),
	}
}

// nextBindings returns the bindings in the next update of a subscriber.
func nextBindings(t *testing.T, s *Store, c *cursor, now time.Time) []fleet.FlowBinding {
	t.Helper()
	frame, _, err := s.next(c, now)
	if err != nil {
		t.Fatal(err)
	}
	u := new(Update)
	if frame == nil {
		return nil
	}
	if err := read(bytes.NewReader(frame), u); err != nil {
		t.Fatal(err)
	}
	u.dropInvalid()
	return u.Bindings
}

// TestContestedFlowsReachAllVMs guards against entry VMs that don't learn of a contested
// flow from another hub, or after a restart, and against reports that hubs pass on in a
// circle.
func TestContestedFlowsReachAllVMs(t *testing.T) {
	now := time.Now()
	a, b := fleetStore(t, 3, now), fleetStore(t, 3, now)
	step := func() { now = now.Add(updateInterval) }
	entryA, entryB := &cursor{vm: "vm-a", role: Entry}, &cursor{vm: "vm-b", role: Entry}
	hubB, hubA := &cursor{vm: "b", role: Control}, &cursor{vm: "a", role: Control}
	for _, c := range []*cursor{entryA, hubB} {
		nextBindings(t, a, c, now)
	}
	for _, c := range []*cursor{entryB, hubA} {
		nextBindings(t, b, c, now)
	}
	step()
	want := []fleet.FlowBinding{contestedFlow(1), contestedFlow(2)}
	hello := &Hello{VM: "vm-a", Zone: "z0", Role: Entry}
	a.connect(hello)
	a.acknowledge(hello, &Ack{Bindings: append([]fleet.FlowBinding{{}}, want...)}, now)
	if got := nextBindings(t, a, entryA, now); !slices.Equal(got, want) {
		t.Errorf("entry VM of the hub: got %+v, want %+v", got, want)
	}
	got := nextBindings(t, a, hubB, now)
	if !slices.Equal(got, want) {
		t.Errorf("other hub: got %+v, want %+v", got, want)
	}
	if err := b.ApplyUpdate("a", &Update{Bindings: got}, now); err != nil {
		t.Fatal(err)
	}
	step()
	if got := nextBindings(t, b, entryB, now); !slices.Equal(got, want) {
		t.Errorf("entry VM of the other hub: got %+v, want %+v", got, want)
	}
	if got := nextBindings(t, b, hubA, now); len(got) > 0 {
		t.Errorf("back to the first hub: got %+v, want none", got)
	}
	// A new subscriber may get a full state that was encoded earlier, and the changes since.
	restarted := &cursor{vm: "vm-b", role: Entry}
	if got := append(nextBindings(t, b, restarted, now), nextBindings(t, b, restarted, now)...); !slices.Equal(got, want) {
		t.Errorf("restarted entry VM: got %+v, want %+v", got, want)
	}
	now = now.Add(fleet.FlowLifetime + time.Second)
	b.Tick(now)
	if got := b.Stats().Bindings; got != 0 {
		t.Errorf("bindings after the lifetime of flows: got %d, want 0", got)
	}
}

// TestContestedFlowsAreLimited guards against messages of any size if many flows are
// contested, as when a zone of targets stops, and against a log that grows without bound.
func TestContestedFlowsAreLimited(t *testing.T) {
	now := time.Now()
	s := fleetStore(t, 3, now)
	const reports = 20_000
	for i := range reports {
		s.report(fleet.VMID(fmt.Sprint(i%100)), "z0", &Ack{Bindings: []fleet.FlowBinding{contestedFlow(i)}}, now)
	}
	if got, want := s.Stats().Bindings, bindingBurst; got != want || s.Stats().RejectedBindings != reports-uint64(want) {
		t.Errorf("reports at once: got %d bindings, %d rejected, want %d and the others rejected", got, s.Stats().RejectedBindings, want)
	}
	var l bindingLog
	list := make([]fleet.FlowBinding, 1000)
	for range maxBindings / 500 {
		l.add(list, false, now)
	}
	if got, want := len(l.list), maxBindings; got != want {
		t.Errorf("bindings of other hubs: got %d, want %d", got, want)
	}
	if got, want := len(l.between(0, l.version, Entry)), maxBindings; got != want {
		t.Errorf("bindings for a new subscriber: got %d, want %d", got, want)
	}
	if got := l.between(l.version, l.version, Entry); len(got) > 0 {
		t.Errorf("bindings for an up-to-date subscriber: got %d, want none", len(got))
	}
}
