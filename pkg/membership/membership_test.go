package membership_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/fakenet"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/membership"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// node runs a Machine on the fake network.
type node struct {
	*membership.Machine
	t            testing.TB
	id           fleet.VMID
	decodeErrors int
}

func (n *node) Handle(from fleet.VMID, data []byte, now time.Time) []fakenet.Datagram {
	m, err := membership.Decode(data)
	if err != nil {
		n.decodeErrors++
		return nil
	}
	return n.encode(n.Machine.Handle(from, m, now))
}

func (n *node) Tick(now time.Time) []fakenet.Datagram { return n.encode(n.Machine.Tick(now)) }

func (n *node) encode(list []membership.Envelope) []fakenet.Datagram {
	var out []fakenet.Datagram
	for _, e := range list {
		data, err := e.Message.Encode()
		if err != nil {
			n.t.Fatalf("encode: %v", err)
		}
		if len(data) > membership.MaxDatagram {
			n.t.Errorf("datagram of kind %d: got %d bytes, want at most %d", e.Message.Kind, len(data), membership.MaxDatagram)
		}
		out = append(out, fakenet.Datagram{To: e.To, Data: data})
	}
	return out
}

// testFleet is one or more zones of VMs on a fake network.
type testFleet struct {
	t               testing.TB
	net             *fakenet.Network
	rng             *rand.Rand
	ids             map[fleet.ZoneID][]fleet.VMID
	zones           []fleet.ZoneID
	nodes           map[fleet.VMID]*node
	zone            map[fleet.VMID]fleet.ZoneID
	lastIncarnation fleet.Incarnation
	configure       func(*membership.Config)
}

func newFleet(t testing.TB, seed uint64, perZone int, zones ...fleet.ZoneID) *testFleet {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := &testFleet{
		t: t, net: fakenet.New(rng), rng: rng, zones: zones, ids: make(map[fleet.ZoneID][]fleet.VMID),
		nodes: make(map[fleet.VMID]*node), zone: make(map[fleet.VMID]fleet.ZoneID),
	}
	for _, z := range zones {
		for i := range perZone {
			id := fleet.VMID(fmt.Sprintf("%s-%03d", z, i))
			f.ids[z] = append(f.ids[z], id)
			f.zone[id] = z
		}
	}
	return f
}

func vmOf(zone int, i int, id fleet.VMID) fleet.VM {
	addr := netip.AddrFrom4([4]byte{127, byte(zone + 1), byte(i >> 8), byte(i)})
	return fleet.VM{ID: id, Control: netip.AddrPortFrom(addr, 7000), Data: netip.AddrPortFrom(addr, 7001)}
}

func (f *testFleet) seeds(z fleet.ZoneID) []fleet.VM {
	var out []fleet.VM
	for i, id := range f.ids[z][:min(7, len(f.ids[z]))] {
		out = append(out, vmOf(f.zoneIndex(z), i, id))
	}
	return out
}

func (f *testFleet) zoneIndex(z fleet.ZoneID) int {
	for i := range f.zones {
		if f.zones[i] == z {
			return i
		}
	}
	return 0
}

func (f *testFleet) start(id fleet.VMID) *node {
	z := f.zone[id]
	f.lastIncarnation++
	cfg := membership.Config{Zone: z, Incarnation: f.lastIncarnation, Seeds: f.seeds(z), Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 2))}
	for i, other := range f.ids[z] {
		if other == id {
			cfg.Self = vmOf(f.zoneIndex(z), i, id)
		}
	}
	for _, other := range f.zones {
		if other != z {
			cfg.Remote = append(cfg.Remote, membership.RemoteZone{ID: other, Seeds: f.seeds(other)})
		}
	}
	if f.configure != nil {
		f.configure(&cfg)
	}
	n := &node{Machine: membership.New(cfg, f.net.Clock(id)), t: f.t, id: id}
	f.nodes[id] = n
	f.net.Start(id, n)
	return n
}

func (f *testFleet) startAll() {
	for _, z := range f.zones {
		for _, id := range f.ids[z] {
			f.start(id)
		}
	}
}

// states returns, for each state, how many other VMs of the zone list the VM id
// in that state. Stopped and frozen VMs are not counted. VMs that do not list
// id are counted under "absent".
func (f *testFleet) states(id fleet.VMID) map[string]int {
	out := make(map[string]int)
	for _, other := range f.ids[f.zone[id]] {
		if other == id || !f.net.Running(other) || f.net.Frozen(other) {
			continue
		}
		state := "absent"
		for _, m := range f.nodes[other].Members(f.net.Clock(other)) {
			if m.VM.ID == id {
				state = m.State
			}
		}
		out[state]++
	}
	return out
}

func (f *testFleet) allSee(id fleet.VMID, state string) bool {
	s := f.states(id)
	return len(s) == 1 && s[state] > 0
}

func (f *testFleet) allAlive() bool {
	for _, n := range f.nodes {
		if n.Stats().Members != len(f.ids[f.zone[n.id]]) {
			return false
		}
	}
	return true
}

// Guards against VMs that do not find each other, crashes that are not
// detected, restarts that are not accepted, and planned leaves that are taken
// for crashes.
func TestJoinCrashRestartLeave(t *testing.T) {
	t.Parallel()
	for n, seeds := range map[int]uint64{3: 4, 7: 4, 20: 3, 60: 1} {
		for seed := range seeds {
			f := newFleet(t, seed, n, "monza")
			f.net.Loss, f.net.Duplicate = 0.02, 0.02
			f.startAll()
			if !f.net.RunUntil(10*time.Second, f.allAlive) {
				t.Fatalf("n %d seed %d: VMs of the zone did not all join within 10 s", n, seed)
			}
			last := f.ids["monza"][n-1]
			f.net.Stop(last)
			if !f.net.RunUntil(5*time.Second, func() bool { return f.allSee(last, "Dead") }) {
				t.Fatalf("n %d seed %d: crash not detected: %v", n, seed, f.states(last))
			}
			f.start(last)
			if !f.net.RunUntil(5*time.Second, f.allAlive) {
				t.Fatalf("n %d seed %d: restart not accepted: %v", n, seed, f.states(last))
			}
			f.nodes[last].Leave(f.net.Clock(last))
			if !f.net.RunUntil(5*time.Second, func() bool { return f.allSee(last, "Leaving") }) {
				t.Fatalf("n %d seed %d: leave not seen: %v", n, seed, f.states(last))
			}
		}
	}
}

// Guards against running VMs that are declared dead because of packet loss,
// one-way cuts between pairs, a peer that receives nothing, or a frozen peer.
func TestNoFalseDeaths(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		f := newFleet(t, seed, 20, "monza")
		f.net.Loss = 0.05
		healthy, watching := make(map[fleet.VMID]bool), false
		f.configure = func(c *membership.Config) {
			c.Recorder = recorderFunc(func(e timeline.Event) {
				if watching && e.Name == "Dead" && healthy[e.VM] && healthy[c.Self.ID] {
					t.Errorf("seed %d: running VM %s was declared dead by %s", seed, e.VM, c.Self.ID)
				}
			})
		}
		f.startAll()
		f.net.RunUntil(10*time.Second, f.allAlive)
		ids := f.ids["monza"]
		isolated, frozen := ids[3], ids[4]
		connected := append(append([]fleet.VMID{}, ids[:3]...), ids[5:]...)
		for _, id := range connected {
			healthy[id] = true
		}
		watching = true
		for range 6 {
			f.net.Cut(connected[f.rng.IntN(18)], connected[f.rng.IntN(18)])
		}
		for _, id := range ids {
			f.net.Cut(id, isolated)
		}
		f.net.Freeze(frozen)
		f.net.Run(8 * time.Second)
		f.net.Unfreeze(frozen)
		f.net.Heal()
		watching = false
		if !f.net.RunUntil(10*time.Second, f.allAlive) {
			t.Errorf("seed %d: VMs of the zone are not all alive again 10 s after the faults", seed)
		}
	}
}

// recorderFunc is a timeline.Recorder that calls a function.
type recorderFunc func(e timeline.Event)

func (f recorderFunc) Record(e timeline.Event, _ time.Time) { f(e) }

// Guards against a zone that stays split after a partition, and against a
// flapping VM that may join a new view after more than 3 of 10 returns.
func TestPartitionAndFlapping(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 5, 12, "monza")
	f.startAll()
	f.net.RunUntil(10*time.Second, f.allAlive)
	ids := f.ids["monza"]
	for _, a := range ids[:4] {
		for _, b := range ids[4:] {
			f.net.CutBoth(a, b)
		}
	}
	f.net.Run(10 * time.Second)
	if got := f.states(ids[0])["Dead"]; got != 8 {
		t.Errorf("partition: %d VMs list a VM of the other side as dead, want 8", got)
	}
	f.net.Heal()
	if !f.net.RunUntil(15*time.Second, f.allAlive) {
		t.Fatalf("VMs of the zone are not all alive again 15 s after a partition")
	}
	f.net.Run(3 * time.Minute)
	flappingVM, observer := ids[11], f.nodes[ids[0]]
	admitted := 0
	for range 10 {
		f.net.Freeze(flappingVM)
		f.net.Run(3 * time.Second)
		f.net.Unfreeze(flappingVM)
		f.net.Run(3 * time.Second)
		join, _ := observer.Candidates(f.net.Clock(ids[0]))
		for _, m := range join {
			if m.VM.ID == flappingVM {
				admitted++
			}
		}
	}
	if admitted > 3 {
		t.Errorf("a VM that flaps every 6 s was admitted %d times of 10, want at most 3", admitted)
	}
	if !f.net.RunUntil(2*time.Minute, func() bool {
		join, _ := observer.Candidates(f.net.Clock(ids[0]))
		return len(join) == 12
	}) {
		t.Errorf("a stable VM is still held down after 2 minutes")
	}
}

// Guards against zones that do not learn each other's members, free slots and
// epochs, or that consider a disconnected zone reachable.
func TestZoneDigests(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 7, 6, "como", "lecco", "monza")
	f.net.Loss = 0.02
	f.startAll()
	for _, z := range f.zones {
		for _, id := range f.ids[z] {
			f.nodes[id].SetSpare(map[fleet.ServiceID]int{"Brianzolo/Orders": 2})
			f.nodes[id].SetEpoch(9)
		}
	}
	known := func() bool {
		for _, n := range f.nodes {
			for _, z := range n.Zones(f.net.Now()) {
				if !z.Reachable || len(z.Members) != 6 || z.Spare["Brianzolo/Orders"] != 12 || n.ZoneEpoch(z.ID) != 9 {
					return false
				}
			}
		}
		return true
	}
	if !f.net.RunUntil(20*time.Second, known) {
		t.Fatalf("zones did not learn each other's state within 20 s: %+v", f.nodes["monza-000"].Zones(f.net.Now()))
	}
	crashed := f.ids["lecco"][5]
	f.net.Stop(crashed)
	crashKnown := func() bool {
		for _, id := range f.ids["monza"] {
			for _, z := range f.nodes[id].Zones(f.net.Now()) {
				if z.ID == "lecco" && len(z.Members) != 5 {
					return false
				}
			}
		}
		return true
	}
	if !f.net.RunUntil(10*time.Second, crashKnown) {
		t.Errorf("a crash in one zone is not known in another after 10 s")
	}
	for _, a := range f.ids["lecco"] {
		for _, b := range append(f.ids["monza"], f.ids["como"]...) {
			f.net.CutBoth(a, b)
		}
	}
	f.net.Run(8 * time.Second)
	for _, z := range f.nodes["monza-000"].Zones(f.net.Now()) {
		if z.Reachable != (z.ID == "como") {
			t.Errorf("zone %s: got reachable %v", z.ID, z.Reachable)
		}
	}
	f.net.Heal()
	f.start(crashed)
	for _, n := range f.nodes {
		n.SetSpare(map[fleet.ServiceID]int{"Brianzolo/Orders": 2})
		n.SetEpoch(9)
	}
	if !f.net.RunUntil(20*time.Second, known) {
		t.Errorf("zones did not learn each other's state within 20 s after a partition")
	}
}

// Guards against a Machine that does not report that another process uses the
// same VM id with a higher incarnation.
func TestSuperseded(t *testing.T) {
	f := newFleet(t, 1, 3, "monza")
	f.startAll()
	f.net.RunUntil(5*time.Second, f.allAlive)
	id := f.ids["monza"][0]
	m, now := f.nodes[id], f.net.Clock(id)
	u := membership.Update{ID: id, Incarnation: 99, State: 1}
	m.Machine.Handle(f.ids["monza"][1], membership.Message{Kind: membership.Ping, Updates: []membership.Update{u}}, now)
	if by, ok := m.Superseded(); !ok || by != 99 {
		t.Errorf("Superseded: got %d, %v, want 99, true", by, ok)
	}
}

// Guards against a decoder that panics, and against messages that pass Validate
// but make the Machine panic, can't be encoded again, or can't be decoded from
// that encoding.
func FuzzDecode(f *testing.F) {
	m := membership.Message{Kind: membership.Ping, Seq: 1, Incarnation: 2, Updates: []membership.Update{{ID: "a", State: 1}}}
	data, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := membership.Decode(data)
		if err != nil {
			var de *membership.DecodeError
			if !errors.As(err, &de) {
				t.Fatalf("got %T, want DecodeError", err)
			}
			return
		}
		encoded, err := m.Encode()
		if err != nil {
			t.Fatalf("encode of a decoded message: %v", err)
		}
		if len(encoded) <= membership.MaxDatagram {
			if _, err := membership.Decode(encoded); err != nil {
				t.Fatalf("decode of an encoded message: %v", err)
			}
		}
		machine := membership.New(membership.Config{Self: vmOf(0, 0, "self"), Zone: "monza", Incarnation: 1, Rand: rand.New(rand.NewPCG(1, 1))}, time.Unix(0, 0))
		machine.Handle("peer", m, time.Unix(1, 0))
		machine.Tick(time.Unix(2, 0))
	})
}

// TestMeasure prints the bytes and CPU time per VM and the time until all other
// VMs list a crashed VM as Dead. Run it with BAMBOOWALK_MEASURE=1. It checks no
// limits.
func TestMeasure(t *testing.T) {
	if os.Getenv("BAMBOOWALK_MEASURE") == "" {
		t.Skip("set BAMBOOWALK_MEASURE=1 to measure")
	}
	f := newFleet(t, 3, 20, "como", "lecco", "monza")
	f.startAll()
	for _, n := range f.nodes {
		n.SetSpare(map[fleet.ServiceID]int{"Brianzolo/Orders": 2, "Brianzolo/Sheets": 1})
	}
	f.net.Run(20 * time.Second)
	f.net.ResetTraffic()
	f.net.Run(20 * time.Second)
	sum, top := 0, 0
	for id := range f.nodes {
		tr := f.net.Traffic(id)
		b := tr.SentBytes + 28*tr.SentDatagrams // 28 bytes of IPv4 and UDP headers
		sum, top = sum+b, max(top, b)
	}
	t.Logf("3 zones of 20: sent %.2f KB/s per VM (maximum, at a delegate, %.2f)", float64(sum)/60/20e3, float64(top)/20e3)
	for _, n := range []int{7, 30, 60, 180} {
		f := newFleet(t, 3, n, "monza")
		f.startAll()
		f.net.RunUntil(20*time.Second, f.allAlive)
		f.net.Run(20 * time.Second)
		f.net.ResetTraffic()
		began := time.Now()
		f.net.Run(20 * time.Second)
		cpu := time.Since(began)
		sum, top := 0, 0
		for id := range f.nodes {
			tr := f.net.Traffic(id)
			b := tr.SentBytes + 28*tr.SentDatagrams // 28 bytes of IPv4 and UDP headers
			sum, top = sum+b, max(top, b)
		}
		var times []float64
		for i := range 15 {
			id := f.ids["monza"][n-1-i%3]
			f.net.Stop(id)
			at := f.net.Now()
			f.net.RunUntil(10*time.Second, func() bool { return f.allSee(id, "Dead") })
			times = append(times, f.net.Now().Sub(at).Seconds())
			f.start(id)
			f.net.Run(10 * time.Second)
		}
		mean, worst := 0.0, 0.0
		for _, d := range times {
			mean, worst = mean+d/float64(len(times)), max(worst, d)
		}
		t.Logf("n %3d: sent %.2f KB/s per VM with IP and UDP headers (max %.2f), cpu %.3f %% per VM, Dead in all tables after mean %.2f s, max %.2f s",
			n, float64(sum)/float64(n)/20e3, float64(top)/20e3, cpu.Seconds()/20/float64(n)*100, mean, worst)
	}
}

// BenchmarkPing measures the reply to one probe at a VM in a zone of 180 VMs,
// including decoding and encoding.
func BenchmarkPing(b *testing.B) {
	f := newFleet(b, 1, 180, "monza")
	f.startAll()
	f.net.RunUntil(20*time.Second, f.allAlive)
	f.net.Run(20 * time.Second)
	id := f.ids["monza"][0]
	msg := membership.Message{Kind: membership.Ping, Seq: 70000, Incarnation: 5}
	data, err := msg.Encode()
	if err != nil {
		b.Fatal(err)
	}
	now := f.net.Clock(id)
	for b.Loop() {
		f.nodes[id].Handle(f.ids["monza"][4], data, now)
	}
}
