package capacity

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// checkIndex fails the test if the invariant of targetIndex does not hold.
func checkIndex(t *testing.T, x *targetIndex) {
	t.Helper()
	listed := 0
	for id, s := range x.services {
		if len(s.targets) == 0 {
			t.Fatalf("service %q has no targets, want it removed", id)
		}
		listed += len(s.targets)
		for incarnation, target := range s.targets {
			if got, want := x.targets[incarnation], target; got != want {
				t.Fatalf("target %v of service %q is %p in targets, want %p", incarnation, id, got, want)
			}
			if got, want := target.Service, id; got != want {
				t.Fatalf("target %v in the list of service %q has service %q", incarnation, want, got)
			}
		}
	}
	if got, want := listed, len(x.targets); got != want {
		t.Fatalf("services list %d targets, want %d", got, want)
	}
}

// TestTargetChangesService guards against the failure of review/11: a target that changed
// its service stayed in the list of the former one, and the hub ended with a nil pointer
// once the target had left.
func TestTargetChangesService(t *testing.T) {
	a, other := NewAggregate(), NewAggregate()
	now := start
	target := Target{ID: 1, Service: "unknown", Zone: "z", Slots: 2, Open: true}
	a.SetTarget(target)
	other.SetTarget(Target{ID: 2, Service: "unknown", Zone: "z", Slots: 2, Open: true})
	target.Service = "s"
	a.SetTarget(target)
	checkIndex(t, &a.targetIndex)
	_, sums := other.Tick(now)
	a.Merge("hub", sums, now)
	a.Report("vm", "z", &Report{Targets: []TargetReport{{Target: 1, Requests: 50, Micros: 1000}}}, now)
	a.Tick(now)
	a.RemoveTarget(1)
	now = now.Add(time.Second)
	a.Tick(now)
	checkIndex(t, &a.targetIndex)
	if got := len(a.services); got != 0 {
		t.Errorf("services after the last target has left: got %d, want 0", got)
	}
}

// TestAggregateRandomCalls guards against lists of targets that differ after any order of
// changes, reports and messages of hubs, which ended the process at a later tick.
func TestAggregateRandomCalls(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			hubs := []*Aggregate{NewAggregate(), NewAggregate(), NewAggregate()}
			services, zones := []fleet.ServiceID{"a", "b", "c"}, []fleet.ZoneID{"x", "y"}
			now := start
			for range 400 {
				now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
				a := hubs[rng.IntN(len(hubs))]
				id, s := fleet.Incarnation(rng.IntN(6)+1), services[rng.IntN(len(services))]
				z, vm := zones[rng.IntN(len(zones))], fleet.VMID(fmt.Sprint("vm", rng.IntN(3)))
				switch rng.IntN(8) {
				case 0, 1:
					a.SetTarget(Target{ID: id, Service: s, Zone: z, Slots: rng.IntN(3) + 1, Open: rng.IntN(3) > 0})
				case 2:
					a.RemoveTarget(id)
				case 3, 4:
					a.Report(vm, z, &Report{
						Services: []ServiceReport{{Service: s, Offered: []uint32{uint32(rng.IntN(50))}, InFlight: []ZoneCount{{Zone: z, Count: uint32(rng.IntN(9))}}}},
						Targets:  []TargetReport{{Target: id, Requests: uint32(rng.IntN(60)), Micros: uint32(rng.IntN(1 << 20))}},
					}, now)
				case 5:
					if _, sums := hubs[rng.IntN(len(hubs))].Tick(now); sums != nil {
						a.Merge(fleet.VMID(fmt.Sprint("hub", rng.IntN(3))), sums, now)
					}
				case 6:
					a.Remove(vm)
					a.RemoveHub(fleet.VMID(fmt.Sprint("hub", rng.IntN(3))))
				case 7:
					a.Tick(now)
				}
				checkIndex(t, &a.targetIndex)
			}
		})
	}
}

// TestReportOfEarlierTime guards against a report that is created with a time before that
// of the previous one, which had nothing to tell: the budget became negative, and with it
// the length of a slice.
func TestReportOfEarlierTime(t *testing.T) {
	m := NewMeter()
	m.Offer("s", 0)
	if r := m.Report(nil, true, start); r == nil {
		t.Fatal("first report: got none")
	}
	// The rates of the service decay, and reports come to have nothing to tell.
	now := start
	for range 100 {
		now = now.Add(IdleInterval)
		m.Report(nil, true, now)
	}
	now = now.Add(time.Minute)
	if r := m.Report(nil, true, now); r != nil {
		t.Fatalf("report without figures: got %+v, want none", r)
	}
	m.Measure(1, time.Millisecond)
	if r := m.Report(nil, true, now.Add(-30*time.Second)); r == nil || len(r.Targets) != 1 {
		t.Errorf("report of an earlier time: got %+v, want that of target 1", r)
	}
}
