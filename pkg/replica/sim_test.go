package replica

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"github.com/anishathalye/porcupine"
)

var (
	errInjected = errors.New("injected fault")
	names       = []fleet.VMID{"a", "b", "c", "d"}
)

type (
	inode struct {
		data   []byte
		synced int
	}
	dirOp struct {
		name string
		node *inode
	}
	// disk is a data directory that loses what was not synced at a crash.
	disk struct {
		rng           *rand.Rand
		live, durable map[string]*inode
		ops           []dirOp
		latency, cost time.Duration
		failSync      bool
		lie           bool // plants a fault: Sync does nothing
	}
	handle struct {
		d *disk
		n *inode
	}
)

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, live: map[string]*inode{}, durable: map[string]*inode{}, latency: time.Millisecond}
}

func (d *disk) List() ([]string, error) { return slices.Sorted(mapKeys(d.live)), nil }

func mapKeys(m map[string]*inode) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (d *disk) ReadFile(name string) ([]byte, error) {
	if n := d.live[name]; n != nil {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) set(name string, n *inode) {
	d.ops = append(d.ops, dirOp{name, n})
	setName(d.live, name, n)
}

func setName(m map[string]*inode, name string, n *inode) {
	if m[name] = n; n == nil {
		delete(m, name)
	}
}

func (d *disk) Create(name string) (File, error) {
	n := &inode{}
	d.set(name, n)
	return &handle{d, n}, nil
}

func (d *disk) Rename(from, to string) error {
	d.set(to, d.live[from])
	d.set(from, nil)
	return nil
}

func (d *disk) Remove(name string) error { d.set(name, nil); return nil }

func (d *disk) SyncDir() error {
	for _, op := range d.ops {
		setName(d.durable, op.name, op.node)
	}
	d.ops = nil
	return d.sync()
}

func (d *disk) sync() error {
	d.cost += d.latency
	if d.failSync {
		return errInjected
	}
	return nil
}

func (h *handle) Write(p []byte) (int, error) { h.n.data = append(h.n.data, p...); return len(p), nil }
func (h *handle) Close() error                { return nil }

func (h *handle) Sync() error {
	if err := h.d.sync(); err != nil || h.d.lie {
		return err
	}
	h.n.synced = len(h.n.data)
	return nil
}

// crash keeps a random part of what was not synced, and may damage that part.
func (d *disk) crash() {
	for _, op := range d.ops[:d.rng.IntN(len(d.ops)+1)] {
		setName(d.durable, op.name, op.node)
	}
	d.ops, d.live, d.failSync = nil, map[string]*inode{}, false
	for _, name := range slices.Sorted(mapKeys(d.durable)) {
		n := d.durable[name]
		n.data = n.data[:n.synced+d.rng.IntN(len(n.data)-n.synced+1)]
		if len(n.data) > n.synced && d.rng.IntN(2) == 0 {
			n.data[n.synced+d.rng.IntN(len(n.data)-n.synced)] ^= 0x5a
		}
		n.synced = len(n.data)
		d.live[name] = n
	}
}

type (
	command struct {
		ID         int
		Key, Value string
	}
	// machine appends values to strings, each command id at most once.
	machine struct {
		w     *world
		Data  map[string]string
		Seen  map[int]string
		Hash  uint64
		Stamp time.Time
	}
)

func (m *machine) Apply(index Index, data []byte, stamp time.Time) []byte {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		m.w.t.Errorf("command %d: %v", index, err)
	}
	if stamp.Before(m.Stamp) {
		m.w.t.Errorf("seed %d: stamp of entry %d: got %v before %v", m.w.seed, index, stamp, m.Stamp)
	}
	h := fnv.New64a()
	fmt.Fprint(h, m.Hash, index, data, stamp.UnixNano())
	m.Hash, m.Stamp = h.Sum64(), stamp
	if old, ok := m.w.hashes[index]; ok && old != m.Hash {
		m.w.t.Errorf("seed %d: replicas differ at entry %d", m.w.seed, index)
	}
	m.w.hashes[index] = m.Hash
	if _, ok := m.Seen[c.ID]; !ok {
		m.Data[c.Key] += c.Value
		m.Seen[c.ID] = m.Data[c.Key]
	}
	return []byte(m.Seen[c.ID])
}

func (m *machine) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m *machine) Restore(data []byte) error {
	*m = machine{w: m.w, Data: map[string]string{}, Seen: map[int]string{}}
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, m)
}

type (
	event struct {
		at  time.Duration
		seq int
		run func()
	}
	events []event

	node struct {
		id        fleet.VMID
		disk      *disk
		r         *Replica // nil while the process is down
		m         *machine
		life      int
		rate      float64
		jump      time.Duration
		busy      time.Duration
		proposals map[ProposalID]func([]byte, error)
		reads     map[ReadID]func(error)
	}

	// world simulates replicas, network, disks, clocks and clients.
	world struct {
		t       *testing.T
		seed    uint64
		rng     *rand.Rand
		now     time.Duration
		seq     int
		queue   events
		nodes   map[fleet.VMID]*node
		cut     map[[2]fleet.VMID]bool
		loss    float64
		hashes  map[Index]uint64
		history []porcupine.Operation
		open    int // operations of clients in progress
		nextID  int
		acked   int
		plant   string
		calm    bool // ends the faults
	}
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// newWorld starts a cluster of a, b and c; d is a VM without a replica.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[fleet.VMID]*node{},
		cut: map[[2]fleet.VMID]bool{}, hashes: map[Index]uint64{}, loss: 0.01}
	var members []Member
	for _, id := range names[:3] {
		members = append(members, Member{Identity: Identity{VM: id, Incarnation: 1}, Voter: true})
	}
	for _, id := range names {
		n := &node{id: id, disk: newDisk(w.rng), rate: 0.96 + 0.08*w.rng.Float64()}
		w.nodes[id] = n
		if id != "d" {
			if err := Bootstrap(n.disk, Identity{VM: id, Incarnation: 1}, members); err != nil {
				t.Fatal(err)
			}
			w.start(n)
		}
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end && !w.t.Failed() {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) random(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *world) clock(n *node) time.Time {
	return time.Unix(1e9, 0).Add(n.jump + time.Duration(float64(w.now)*n.rate))
}

func (w *world) start(n *node) {
	if n.r != nil {
		return
	}
	n.m = &machine{w: w}
	n.m.Restore(nil)
	o := Options{Self: n.id, Incarnation: fleet.Incarnation(w.now + 2), Peers: names, FS: n.disk, Machine: n.m,
		Rand: w.rng, SnapshotEvery: 20, KeepEntries: 5, ChunkSize: 300}
	r, err := Open(o, w.clock(n))
	if errors.Is(err, errInjected) {
		n.disk.crash()
		w.after(time.Second, func() { w.start(n) })
		return
	}
	if err != nil {
		if w.plant == "" {
			w.t.Errorf("seed %d: restart of %s: %v", w.seed, n.id, err)
		}
		return
	}
	n.life++
	n.r, n.proposals, n.reads = r, map[ProposalID]func([]byte, error){}, map[ReadID]func(error){}
	w.tick(n, n.life)
}

func (w *world) tick(n *node, life int) {
	if n.life == life && n.r != nil {
		w.on(n, func() Output { return n.r.Tick(w.clock(n)) })
		w.after(20*time.Millisecond, func() { w.tick(n, life) })
	}
}

// on runs a call at a node, behind the disk operations in progress, and
// releases its output when the disk is done.
func (w *world) on(n *node, call func() Output) {
	life := n.life
	if n.busy > w.now {
		w.after(n.busy-w.now, func() {
			if n.life == life && n.r != nil {
				w.on(n, call)
			}
		})
		return
	}
	n.disk.cost = 0
	out := call()
	n.busy = w.now + n.disk.cost
	w.after(n.disk.cost, func() {
		if n.life == life && n.r != nil {
			w.release(n, out)
		}
	})
}

func (w *world) release(n *node, out Output) {
	if out.Err != nil && (len(out.Envelopes) > 0 || n.r.Role() != "Stopped") {
		w.t.Errorf("seed %d: %s sends after %v", w.seed, n.id, out.Err)
	}
	for _, e := range out.Envelopes {
		w.transmit(n.id, e)
	}
	for _, res := range out.Results {
		if done := n.proposals[res.ID]; done != nil {
			done(res.Value, res.Err)
		}
	}
	for _, read := range out.Reads {
		if done := n.reads[read.ID]; done != nil {
			done(read.Err)
		}
	}
}

func (w *world) transmit(from fleet.VMID, e Envelope) {
	data, err := EncodeMessage(&e.Message)
	if err != nil {
		w.t.Fatal(err)
	}
	for copies := 1 + w.rng.IntN(20)/19; copies > 0; copies-- {
		if w.rng.Float64() < w.loss {
			continue
		}
		w.after(time.Millisecond+w.random(4*time.Millisecond), func() {
			n := w.nodes[e.To]
			if n.r == nil || w.cut[[2]fleet.VMID{from, e.To}] {
				return
			}
			m, err := DecodeMessage(data)
			if err != nil {
				w.t.Fatalf("seed %d: %v", w.seed, err)
			}
			w.on(n, func() Output { return n.r.Handle(from, m, w.clock(n)) })
		})
	}
}

func (w *world) leader() *node {
	var best *node
	for _, id := range names {
		n := w.nodes[id]
		if n.r != nil && n.r.Role() == "Leader" && (best == nil || n.r.Stats().Term > best.r.Stats().Term) {
			best = n
		}
	}
	return best
}

func (w *world) crash(n *node, lost bool) {
	n.life++
	n.r, n.busy = nil, 0
	n.disk.crash()
	if lost {
		n.disk = newDisk(w.rng)
	}
}

// repaired reports whether all members are voters with intact disks, so that
// one more disk may be lost.
func (w *world) repaired() bool {
	l := w.leader()
	if l == nil || l.r.configs[len(l.r.configs)-1].index > l.r.commit || l.r.commit < l.r.noop {
		return false
	}
	voters := l.r.config().voters()
	for _, v := range voters {
		if n := w.nodes[v.VM]; n.r == nil || n.r.self != v {
			return false
		}
	}
	return len(voters) >= 3 && len(voters) == len(l.r.config().Members)
}

// fault injects one random fault; most of them are undone later.
func (w *world) fault() {
	if w.calm {
		return
	}
	w.after(100*time.Millisecond+w.random(1500*time.Millisecond), w.fault)
	n := w.nodes[names[w.rng.IntN(len(names))]]
	other := w.nodes[names[w.rng.IntN(len(names))]]
	pause := w.random(4 * time.Second)
	restart := func(lost bool) {
		if n.r != nil {
			w.crash(n, lost)
			w.after(pause, func() { w.start(n) })
		}
	}
	switch w.rng.IntN(10) {
	case 0, 1:
		restart(false)
	case 2:
		if w.repaired() {
			restart(true)
		}
	case 3, 4:
		twoWay := w.rng.IntN(2) == 0
		w.cut[[2]fleet.VMID{n.id, other.id}] = true
		w.cut[[2]fleet.VMID{other.id, n.id}] = twoWay
		w.after(pause, func() {
			delete(w.cut, [2]fleet.VMID{n.id, other.id})
			delete(w.cut, [2]fleet.VMID{other.id, n.id})
		})
	case 5:
		n.disk.latency = w.random(300 * time.Millisecond)
		w.after(pause, func() { n.disk.latency = time.Millisecond })
	case 6:
		n.jump += w.random(2*time.Hour) - time.Hour
	case 7:
		n.disk.failSync = true
		w.after(pause, func() { restart(false) })
	default:
		w.change(n)
	}
}

func (w *world) change(n *node) {
	l := w.leader()
	switch {
	case l == nil:
	case n.r == nil && n.life == 0:
		w.start(n)
	case w.rng.IntN(3) == 0:
		w.on(l, func() Output { l.r.Transfer(w.clock(l)); return l.r.Flush(w.clock(l)) })
	default:
		kind := AddLearner
		if l.r.config().find(n.id) != nil && len(l.r.config().voters()) > 3 {
			kind = Remove
		}
		w.on(l, func() Output { l.r.Change(kind, n.id); return l.r.Flush(w.clock(l)) })
	}
}

type input struct {
	key, value string // an empty value is a read
}

// client runs operations one after the other until until.
func (w *world) client(id int, until time.Duration) {
	if w.now >= until {
		return
	}
	w.nextID++
	in := input{key: fmt.Sprint("k", w.rng.IntN(6))}
	if w.rng.IntN(2) == 0 {
		in.value = fmt.Sprint(w.nextID, ",")
	}
	c := command{ID: w.nextID, Key: in.key, Value: in.value}
	call := w.now
	w.open++
	w.attempt(c, 0, func(value string, ok bool) {
		w.open--
		op := porcupine.Operation{ClientId: id, Input: in, Call: int64(call), Output: value, Return: int64(w.now)}
		switch {
		case ok:
			w.acked++
			w.history = append(w.history, op)
		case in.value != "":
			// The write may take effect at any later time.
			op.Output, op.Return, op.ClientId = "?", int64(1<<62), 1000+w.nextID
			w.history = append(w.history, op)
		}
		w.after(w.random(100*time.Millisecond), func() { w.client(id, until) })
	})
}

// attempt tries a random node, and retries with the same id.
func (w *world) attempt(c command, tries int, done func(string, bool)) {
	finished := false
	finish := func(value string, ok bool) {
		if finished {
			return
		}
		finished = true
		switch {
		case ok:
			w.after(w.random(5*time.Millisecond), func() { done(value, true) })
		case tries >= 60:
			done("", false)
		default:
			w.after(50*time.Millisecond, func() { w.attempt(c, tries+1, done) })
		}
	}
	w.after(700*time.Millisecond, func() { finish("", false) })
	n := w.nodes[names[w.rng.IntN(len(names))]]
	w.after(w.random(5*time.Millisecond), func() {
		if n.r == nil {
			finish("", false)
			return
		}
		w.on(n, func() Output { w.request(n, c, finish); return n.r.Flush(w.clock(n)) })
	})
}

func (w *world) request(n *node, c command, finish func(string, bool)) {
	m := n.m
	if c.Value == "" && w.plant == "stale" {
		finish(m.Data[c.Key], true)
		return
	}
	if c.Value == "" {
		id, err := n.r.Read(w.clock(n))
		if err != nil {
			finish("", false)
			return
		}
		n.reads[id] = func(err error) { finish(m.Data[c.Key], err == nil) }
		return
	}
	if w.plant == "twice" {
		c.ID = -c.ID*100 - w.rng.IntN(100)
	}
	data, _ := json.Marshal(c)
	id, err := n.r.Propose(data, w.clock(n))
	if err != nil {
		finish("", false)
		return
	}
	n.proposals[id] = func(value []byte, err error) { finish(string(value), err == nil) }
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		next := state.(string) + in.(input).value
		return out == "?" || out == next, next
	},
}

// storm runs clients under faults, heals everything and checks the history.
func storm(t *testing.T, seed uint64, plant string) (*world, porcupine.CheckResult) {
	w := newWorld(t, seed)
	w.plant = plant
	for _, n := range w.nodes {
		n.disk.lie = plant == "lie"
	}
	w.run(3 * time.Second)
	for i := range 4 {
		w.client(i, w.now+20*time.Second)
	}
	w.fault()
	w.run(20 * time.Second)
	w.calm = true
	w.run(5 * time.Second)
	w.cut, w.loss = map[[2]fleet.VMID]bool{}, 0
	for _, id := range names {
		if n := w.nodes[id]; n.r != nil && n.r.fault != nil {
			w.crash(n, false)
			w.start(n)
		}
	}
	w.run(20 * time.Second)
	if plant == "" && (w.leader() == nil || w.open > 0) {
		t.Errorf("seed %d: after the faults: leader %v, %d operations hang", seed, w.leader() != nil, w.open)
	}
	for i := range 6 {
		w.attempt(command{Key: fmt.Sprint("k", i)}, 0, func(value string, ok bool) {
			w.history = append(w.history, porcupine.Operation{ClientId: 100, Input: input{key: fmt.Sprint("k", i)},
				Call: int64(w.now) - int64(10*time.Second), Output: value, Return: int64(w.now)})
		})
	}
	w.run(5 * time.Second)
	return w, porcupine.CheckOperationsTimeout(model, w.history, 20*time.Second)
}
