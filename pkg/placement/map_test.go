package placement

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const counter = fleet.ServiceID("Lutto/Counter")

func testView(t testing.TB, vms, targets int, weights ...float64) *fleet.View {
	t.Helper()
	v := &fleet.View{Zone: "z0", Epoch: 1}
	for i := range vms {
		v.Members = append(v.Members, fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm%d", i))})
	}
	for i := range targets {
		id := fleet.TargetID{Service: counter, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)}
		v.Targets = append(v.Targets, fleet.Target{ID: id, Zone: "z0", Slots: 3, ConnectionLimit: 10, State: fleet.TargetReady})
	}
	for i, w := range weights {
		v.Zones = append(v.Zones, fleet.Zone{ID: fleet.ZoneID(fmt.Sprintf("z%d", i)), Weight: w, State: fleet.ZoneIn, Services: []fleet.ServiceID{counter}, Members: v.Members})
	}
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	return v
}

func hash(i int) fleet.FlowHash { return fleet.FlowHash(score(uint64(i), 1)) }

// Guards against a new member that changes the owners of more targets than
// necessary, and against a new target that changes the candidates of more flows
// than necessary.
func TestChangeMovesFewFlows(t *testing.T) {
	before, withMember, withTarget := New(testView(t, 20, 300)), New(testView(t, 21, 300)), New(testView(t, 20, 301))
	moved := 0
	for key := range before.owners {
		if a, b := before.Owner(key), withMember.Owner(key); a != b {
			moved++
			if b != "vm20" || withMember.Standby(key) != a {
				t.Errorf("owner moved from %s to %s with standby %s, want the new member as owner and the old owner as standby", a, b, withMember.Standby(key))
			}
		}
	}
	if moved == 0 || moved > 40 {
		t.Errorf("one member of 21 joined: got %d of 300 targets moved, want about 14", moved)
	}
	added := withTarget.View().Targets[300].ID.Key()
	for i := range 10000 {
		a, _ := before.Candidates(counter, hash(i))
		b, second := withTarget.Candidates(counter, hash(i))
		if a.Key != b.Key && (b.Key != added || second.Key != a.Key) {
			t.Fatalf("flow %d moved between old targets", i)
		}
	}
}

// Guards against candidates that do not accept new flows, and against a target
// that is both candidates of a flow.
func TestCandidates(t *testing.T) {
	v := testView(t, 3, 5)
	v.Targets[2].State = fleet.TargetDraining
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	m := New(v)
	for i := range 1000 {
		c1, c2 := m.Candidates(counter, hash(i))
		if c1.Key == c2.Key || !c1.Target.TakesNewFlows() || !c2.Target.TakesNewFlows() {
			t.Fatalf("flow %d: got candidates %v and %v, want two that take new flows", i, c1.Target, c2.Target)
		}
	}
	if c1, _ := m.Candidates("none", 1); c1.Target != nil {
		t.Errorf("unknown service: got candidate %v, want none", c1.Target)
	}
}

// Guards against home zones that are not selected in proportion to the weights,
// and against a home zone that is Out.
func TestHomeZone(t *testing.T) {
	v := testView(t, 3, 5, 1, 2, 3)
	counts := map[fleet.ZoneID]int{}
	const n = 60000
	m := New(v)
	for i := range n {
		counts[m.HomeZone(counter, hash(i)).ID]++
	}
	for i, w := range []float64{1, 2, 3} {
		id := fleet.ZoneID(fmt.Sprintf("z%d", i))
		if got, want := float64(counts[id])/n, w/6; math.Abs(got-want) > 0.01 {
			t.Errorf("zone %s: got share %.3f, want %.3f", id, got, want)
		}
	}
	v.Zones[2].State = fleet.ZoneOut
	m = New(v)
	for i := range 1000 {
		if id := m.HomeZone(counter, hash(i)).ID; id == "z2" {
			t.Fatalf("flow %d: got home z2, which is Out", i)
		}
	}
}

// BenchmarkRoute measures the selection of home zone and candidates with 15
// targets, the size of the current deployment, and with 1440 targets, the design
// scale.
func BenchmarkRoute(b *testing.B) {
	for _, targets := range []int{15, 1440} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			m := New(testView(b, 20, targets, 1, 1, 1))
			for i := range b.N {
				m.HomeZone(counter, fleet.FlowHash(i))
				m.Candidates(counter, fleet.FlowHash(i))
			}
		})
	}
}

// BenchmarkNew measures the computation of a Map at the design scale.
func BenchmarkNew(b *testing.B) {
	v := testView(b, 180, 1440, 1, 1, 1)
	for range b.N {
		New(v)
	}
}
