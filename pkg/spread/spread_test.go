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

// machineCopy is the copy of a replica; the test writes to its machine.
type machineCopy struct{ *settings.StateMachine }

func (machineCopy) Apply(*settings.Delta) (bool, error) { return false, nil }

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
	isolated     map[int]bool // zones that are cut off
	loss         float64
	queue        queue
	trafficBytes map[fleet.VMID]int
	writes       uint64
	// appliedAt holds the time at which each VM applied the newest revision.
	appliedAt map[fleet.VMID]time.Time
}

func newNetwork(t testing.TB, seed uint64, zones, perZone int) *network {
	w := &network{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), now: start, machine: settings.NewMachine(),
		nodes: make(map[fleet.VMID]*Node), zone: make(map[fleet.VMID]int), isolated: make(map[int]bool),
		trafficBytes: make(map[fleet.VMID]int), appliedAt: make(map[fleet.VMID]time.Time),
	}
	w.add("replica", -1, &Node{Replica: true, Store: machineCopy{w.machine}})
	members := make(map[int][]fleet.VMID)
	for z := range zones {
		for i := range perZone {
			id := fleet.VMID(fmt.Sprintf("z%d-%d", z, i))
			members[z] = append(members[z], id)
			w.add(id, z, &Node{Store: settings.NewStore()})
		}
	}
	for id, n := range w.nodes {
		if z := w.zone[id]; z >= 0 {
			n.SetPeers(members[z], []fleet.VMID{"replica"}, members[(z+1)%zones])
		}
	}
	return w
}

func (w *network) add(id fleet.VMID, zone int, n *Node) {
	n.Self, n.Rand = id, rand.New(rand.NewPCG(uint64(len(w.ids)), w.rand.Uint64()))
	w.nodes[id], w.zone[id] = n, zone
	w.ids = append(w.ids, id)
}

func (w *network) write() {
	w.writes++
	p := settings.Path(fmt.Sprintf("/Zones/Z%d", w.writes))
	c := settings.Write{Operation: settings.NewOperationID(w.now, w.writes), Path: p, Text: zoneText, Root: true}
	r, err := settings.DecodeResult(w.machine.Apply(c.Encode(), w.now))
	if err != nil || r.Err() != nil {
		w.t.Fatalf("write: got %v, %v, want no error", err, r.Err())
	}
	clear(w.appliedAt)
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tickInterval) {
		for _, id := range w.ids {
			w.send(id, w.nodes[id].Tick(w.now))
		}
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			w.deliver(heap.Pop(&w.queue).(delivery))
		}
	}
}

func (w *network) send(from fleet.VMID, out []Envelope) {
	for _, e := range out {
		b, err := e.Message.Encode()
		if err != nil {
			w.t.Fatalf("encode: got %v, want no error", err)
		}
		w.trafficBytes[from] += len(b)
		if w.rand.Float64() < w.loss || w.zone[from] != w.zone[e.To] && (w.isolated[w.zone[from]] || w.isolated[w.zone[e.To]]) {
			continue
		}
		w.trafficBytes[e.To] += len(b)
		delay := time.Duration(w.rand.Int64N(int64(3 * time.Millisecond)))
		heap.Push(&w.queue, delivery{at: w.now.Add(delay), from: from, to: e.To, message: b})
	}
}

func (w *network) deliver(d delivery) {
	m, err := Decode(d.message)
	if err != nil {
		w.t.Fatalf("decode: got %v, want no error", err)
	}
	n := w.nodes[d.to]
	before := n.Store.Revision()
	out := n.Handle(d.from, m, d.at)
	if n.Store.Revision() < before {
		w.t.Fatalf("%s: revision decreased from %d to %d", d.to, before, n.Store.Revision())
	}
	if _, seen := w.appliedAt[d.to]; !seen && n.Store.Revision() == w.machine.Revision() {
		w.appliedAt[d.to] = d.at
	}
	w.send(d.to, out)
}

// lagging returns the VMs that have not applied the newest revision.
func (w *network) lagging() []fleet.VMID {
	var out []fleet.VMID
	for _, id := range w.ids {
		if w.nodes[id].Store.Revision() != w.machine.Revision() {
			out = append(out, id)
		}
	}
	return out
}

// Guards against VMs that miss a change because messages are lost: each change
// must be in force on all VMs within 8 s.
func TestInForceUnderLoss(t *testing.T) {
	for seed := range uint64(10) {
		w := newNetwork(t, seed, 3, 20)
		w.loss = 0.2
		w.run(3 * time.Second)
		for range 5 {
			w.write()
			w.run(8 * time.Second)
			if got := w.lagging(); len(got) > 0 {
				t.Errorf("seed %d: got %v behind after 8 s, want none", seed, got)
			}
		}
	}
}

// Guards against a zone that stays behind after its isolation has ended,
// against a revision that decreases, and against a VM that has no settings
// after a restart while its zone is cut off from the replicas.
func TestCutZoneCatchesUp(t *testing.T) {
	w := newNetwork(t, 1, 3, 7)
	w.write()
	w.run(8 * time.Second)
	w.isolated[0] = true
	w.write()
	old := w.nodes["z0-3"]
	restarted := &Node{Self: old.Self, Rand: old.Rand, Store: settings.NewStore()}
	restarted.SetPeers([]fleet.VMID{"z0-0", "z0-1", "z0-2"}, []fleet.VMID{"replica"}, nil)
	w.nodes["z0-3"] = restarted
	w.run(8 * time.Second)
	if got, want := restarted.Store.Revision(), fleet.Revision(1); got != want {
		t.Errorf("restarted VM in the isolated zone: got revision %d, want %d", got, want)
	}
	if got := len(w.lagging()); got != 7 {
		t.Errorf("got %d VMs behind, want the 7 of the isolated zone", got)
	}
	w.isolated[0] = false
	w.run(8 * time.Second)
	if got := w.lagging(); len(got) > 0 {
		t.Errorf("got %v behind 8 s after the isolation ended, want none", got)
	}
}

// rejectingCopy is a copy that rejects every delta.
type rejectingCopy struct{ *settings.Store }

func (rejectingCopy) Apply(d *settings.Delta) (bool, error) {
	return false, &settings.DigestError{Want: d.Digest}
}

// Guards against a VM that repeatedly requests, at network speed, a delta that
// it can't apply.
func TestRejectedDeltaIsNotPulledAtOnce(t *testing.T) {
	w := newNetwork(t, 1, 1, 3)
	w.nodes["z0-0"].Store = rejectingCopy{settings.NewStore()}
	w.write()
	w.run(10 * time.Second)
	if got, maxPulls := w.nodes["z0-0"].Stats().PullsSent, uint64(10*time.Second/PullTimeout)+5; got > maxPulls {
		t.Errorf("got %d pulls in 10 s, want at most %d", got, maxPulls)
	}
	if got := w.nodes["z0-0"].Stats().Rejected; got == 0 {
		t.Error("got no rejected delta, want some")
	}
}

// Guards against malformed bytes that are decoded as a message.
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

// BenchmarkSpread measures the bytes and the time that one change takes.
func BenchmarkSpread(b *testing.B) {
	for _, perZone := range []int{3, 7, 20, 60, 180} {
		b.Run(fmt.Sprintf("VMs=%d", perZone), func(b *testing.B) {
			w := newNetwork(b, 1, 1, perZone)
			w.write()
			w.run(5 * time.Second)
			clear(w.trafficBytes)
			w.run(60 * time.Second)
			idle := w.totalVMBytes() / float64(perZone) / 60
			clear(w.trafficBytes)
			var slowest time.Duration
			benchStart := w.now
			for b.Loop() {
				writtenAt := w.now
				w.write()
				w.run(5 * time.Second)
				if got := w.lagging(); len(got) > 0 {
					b.Fatalf("got %v behind, want none", got)
				}
				for _, at := range w.appliedAt {
					slowest = max(slowest, at.Sub(writtenAt))
				}
			}
			elapsed := w.now.Sub(benchStart).Seconds()
			b.ReportMetric(idle, "idle-bytes/s/VM")
			b.ReportMetric((w.totalVMBytes()/float64(perZone)-idle*elapsed)/float64(b.N), "bytes/change/VM")
			b.ReportMetric(float64(w.trafficBytes["replica"])/float64(b.N), "replica-bytes/change")
			b.ReportMetric(float64(slowest.Milliseconds()), "ms-slowest")
		})
	}
}

// totalVMBytes returns the bytes that all VMs have sent and received.
func (w *network) totalVMBytes() float64 {
	sum := 0
	for id, n := range w.trafficBytes {
		if id != "replica" {
			sum += n
		}
	}
	return float64(sum)
}
