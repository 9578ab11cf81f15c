package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

const (
	zoneText     = "Weight = 1.0\nState = \"In\"\nCouncil = [\"a\"]\nCouncilRevision = 1\n[[EntryVMs]]\nID = \"a\"\nControl = \"127.0.0.1:1\"\nData = \"127.0.0.1:2\"\nHTTP = \"127.0.0.1:3\"\n"
	tickInterval = 10 * time.Millisecond
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// replicaStore is the Store of a control replica. Its Apply does nothing,
// because the test writes directly to the StateMachine.
type replicaStore struct{ *settings.StateMachine }

func (replicaStore) Apply(*settings.Delta) (bool, error) { return false, nil }

// delivery is a message in transit.
type delivery struct {
	at       time.Time
	from, to fleet.VMID
	message  []byte
}

type queue []delivery

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(delivery)) }
func (q *queue) Pop() any {
	old := *q
	d := old[len(old)-1]
	*q = old[:len(old)-1]
	return d
}

// network carries messages between nodes with delay and loss, in virtual time.
type network struct {
	t            testing.TB
	rand         *rand.Rand
	now          time.Time
	machine      *settings.StateMachine
	nodes        map[fleet.VMID]*Node
	ids          []fleet.VMID
	zone         map[fleet.VMID]int
	isolated     map[int]bool // zones that can't reach other zones or the replica
	loss         float64
	queue        queue
	trafficBytes map[fleet.VMID]int
	writes       uint64
	// appliedAt holds the time at which each VM applied the newest revision.
	appliedAt map[fleet.VMID]time.Time
}

func newNetwork(t testing.TB, seed uint64, zones, perZone int) *network {
	nw := &network{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: start, machine: settings.NewStateMachine(),
		nodes: make(map[fleet.VMID]*Node), zone: make(map[fleet.VMID]int), isolated: make(map[int]bool),
		trafficBytes: make(map[fleet.VMID]int), appliedAt: make(map[fleet.VMID]time.Time),
	}
	nw.add("replica", -1, &Node{Replica: true, Store: replicaStore{nw.machine}})
	members := make(map[int][]fleet.VMID)
	for z := range zones {
		for i := range perZone {
			id := fleet.VMID(fmt.Sprintf("z%d-%d", z, i))
			members[z] = append(members[z], id)
			nw.add(id, z, &Node{Store: settings.NewStore()})
		}
	}
	for id, n := range nw.nodes {
		if z := nw.zone[id]; z >= 0 {
			n.SetPeers(members[z], []fleet.VMID{"replica"}, members[(z+1)%zones])
		}
	}
	return nw
}

func (nw *network) add(id fleet.VMID, zone int, n *Node) {
	n.Self, n.Rand = id, rand.New(rand.NewPCG(uint64(len(nw.ids)), nw.rand.Uint64()))
	nw.nodes[id], nw.zone[id] = n, zone
	nw.ids = append(nw.ids, id)
}

func (nw *network) write() {
	nw.writes++
	p := settings.Path(fmt.Sprintf("/Zones/Z%d", nw.writes))
	c := settings.Write{Operation: settings.NewOperationID(nw.now, nw.writes), Path: p, Text: zoneText, Root: true}
	r, err := settings.DecodeResult(nw.machine.Apply(c.Encode(), nw.now))
	if err != nil || r.Err() != nil {
		nw.t.Fatalf("write: got %v, %v, want no error", err, r.Err())
	}
	clear(nw.appliedAt)
}

func (nw *network) run(d time.Duration) {
	for end := nw.now.Add(d); nw.now.Before(end); nw.now = nw.now.Add(tickInterval) {
		for _, id := range nw.ids {
			nw.send(id, nw.nodes[id].Tick(nw.now))
		}
		for len(nw.queue) > 0 && !nw.queue[0].at.After(nw.now) {
			nw.deliver(heap.Pop(&nw.queue).(delivery))
		}
	}
}

func (nw *network) send(from fleet.VMID, out []Envelope) {
	for _, e := range out {
		b, err := e.Message.Encode()
		if err != nil {
			nw.t.Fatalf("encode: got %v, want no error", err)
		}
		nw.trafficBytes[from] += len(b)
		if nw.rand.Float64() < nw.loss || nw.zone[from] != nw.zone[e.To] && (nw.isolated[nw.zone[from]] || nw.isolated[nw.zone[e.To]]) {
			continue
		}
		nw.trafficBytes[e.To] += len(b)
		delay := time.Duration(nw.rand.Int64N(int64(3 * time.Millisecond)))
		heap.Push(&nw.queue, delivery{at: nw.now.Add(delay), from: from, to: e.To, message: b})
	}
}

func (nw *network) deliver(d delivery) {
	m, err := Decode(d.message)
	if err != nil {
		nw.t.Fatalf("decode: got %v, want no error", err)
	}
	n := nw.nodes[d.to]
	before := n.Store.Revision()
	out := n.Handle(d.from, m, d.at)
	if n.Store.Revision() < before {
		nw.t.Fatalf("%s: revision decreased from %d to %d", d.to, before, n.Store.Revision())
	}
	if _, seen := nw.appliedAt[d.to]; !seen && n.Store.Revision() == nw.machine.Revision() {
		nw.appliedAt[d.to] = d.at
	}
	nw.send(d.to, out)
}

// lagging returns the VMs that have not applied the newest revision.
func (nw *network) lagging() []fleet.VMID {
	var out []fleet.VMID
	for _, id := range nw.ids {
		if nw.nodes[id].Store.Revision() != nw.machine.Revision() {
			out = append(out, id)
		}
	}
	return out
}

// Guards against VMs that miss a change because messages are lost. With a loss
// of 20 %, all VMs must have applied each change within 8 s.
func TestInForceUnderLoss(t *testing.T) {
	for seed := range uint64(10) {
		nw := newNetwork(t, seed, 3, 20)
		nw.loss = 0.2
		nw.run(3 * time.Second)
		for range 5 {
			nw.write()
			nw.run(8 * time.Second)
			if got := nw.lagging(); len(got) > 0 {
				t.Errorf("seed %d: got %v behind after 8 s, want none", seed, got)
			}
		}
	}
}

// Guards against a zone that stays behind after its isolation has ended,
// against a revision that decreases, and against a VM that has no settings
// after a restart while its zone is isolated.
func TestCutZoneCatchesUp(t *testing.T) {
	nw := newNetwork(t, 1, 3, 7)
	nw.write()
	nw.run(8 * time.Second)
	nw.isolated[0] = true
	nw.write()
	old := nw.nodes["z0-3"]
	restarted := &Node{Self: old.Self, Rand: old.Rand, Store: settings.NewStore()}
	restarted.SetPeers([]fleet.VMID{"z0-0", "z0-1", "z0-2"}, []fleet.VMID{"replica"}, nil)
	nw.nodes["z0-3"] = restarted
	nw.run(8 * time.Second)
	if got, want := restarted.Store.Revision(), fleet.Revision(1); got != want {
		t.Errorf("restarted VM in the isolated zone: got revision %d, want %d", got, want)
	}
	if got := len(nw.lagging()); got != 7 {
		t.Errorf("got %d VMs behind, want the 7 of the isolated zone", got)
	}
	nw.isolated[0] = false
	nw.run(8 * time.Second)
	if got := nw.lagging(); len(got) > 0 {
		t.Errorf("got %v behind 8 s after the isolation ended, want none", got)
	}
}

// rejectingStore is a Store that rejects every delta.
type rejectingStore struct{ *settings.Store }

func (rejectingStore) Apply(d *settings.Delta) (bool, error) {
	return false, &settings.DigestError{Want: d.Digest}
}

// Guards against a VM that repeatedly requests, at network speed, a delta that
// it can't apply.
func TestRejectedDeltaIsNotPulledAtOnce(t *testing.T) {
	nw := newNetwork(t, 1, 1, 3)
	nw.nodes["z0-0"].Store = rejectingStore{settings.NewStore()}
	nw.write()
	nw.run(10 * time.Second)
	if got, maxPulls := nw.nodes["z0-0"].Stats().PullsSent, uint64(10*time.Second/PullTimeout)+5; got > maxPulls {
		t.Errorf("got %d pulls in 10 s, want at most %d", got, maxPulls)
	}
	if got := nw.nodes["z0-0"].Stats().Rejected; got == 0 {
		t.Error("got no rejected delta, want some")
	}
}

// Guards against a panic on malformed bytes, and against a decoded message that
// is not valid.
func FuzzDecode(f *testing.F) {
	b, err := (&Message{Hint: &Hint{Revision: 3}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err == nil && m.Validate() != nil {
			t.Errorf("got message %+v, want a valid one", m)
		}
	})
}

// BenchmarkSpread measures the traffic without changes, the traffic of one
// change, and the longest time until a VM has applied a change. The metric
// replica-bytes/change includes the traffic that polls cause in the 5 s of each
// iteration; bytes/change/VM does not.
func BenchmarkSpread(b *testing.B) {
	for _, perZone := range []int{3, 7, 20, 60, 180} {
		b.Run(fmt.Sprintf("VMs=%d", perZone), func(b *testing.B) {
			nw := newNetwork(b, 1, 1, perZone)
			nw.write()
			nw.run(5 * time.Second)
			clear(nw.trafficBytes)
			nw.run(60 * time.Second)
			idle := nw.totalVMBytes() / float64(perZone) / 60
			clear(nw.trafficBytes)
			var slowest time.Duration
			benchStart := nw.now
			for b.Loop() {
				writtenAt := nw.now
				nw.write()
				nw.run(5 * time.Second)
				if got := nw.lagging(); len(got) > 0 {
					b.Fatalf("got %v behind, want none", got)
				}
				for _, at := range nw.appliedAt {
					slowest = max(slowest, at.Sub(writtenAt))
				}
			}
			elapsed := nw.now.Sub(benchStart).Seconds()
			b.ReportMetric(idle, "idle-bytes/s/VM")
			b.ReportMetric((nw.totalVMBytes()/float64(perZone)-idle*elapsed)/float64(b.N), "bytes/change/VM")
			b.ReportMetric(float64(nw.trafficBytes["replica"])/float64(b.N), "replica-bytes/change")
			b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest")
		})
	}
}

// totalVMBytes returns the bytes that all VMs have sent and received.
func (nw *network) totalVMBytes() float64 {
	sum := 0
	for id, n := range nw.trafficBytes {
		if id != "replica" {
			sum += n
		}
	}
	return float64(sum)
}
