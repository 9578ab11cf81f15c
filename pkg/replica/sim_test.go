package replica

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
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
	vmNames     = []fleet.VMID{"a", "b", "c", "d", "e"}
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
	// disk is a simulated data directory. A crash may lose or damage data that
	// was not synced.
	disk struct {
		rng              *rand.Rand
		live, durable    map[string]*inode
		pendingOps       []dirOp
		latency, elapsed time.Duration
		failSync         bool
		ignoreSync       bool // injected bug: Sync succeeds without effect
	}
	fileHandle struct {
		d *disk
		n *inode
	}
)

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, live: map[string]*inode{}, durable: map[string]*inode{}, latency: time.Millisecond}
}

func (d *disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.live)), nil }

func (d *disk) ReadFile(name string) ([]byte, error) {
	if n := d.live[name]; n != nil {
		return slices.Clone(n.data), nil
	}
	return nil, os.ErrNotExist
}

func (d *disk) set(name string, n *inode) {
	d.pendingOps = append(d.pendingOps, dirOp{name, n})
	setEntry(d.live, name, n)
}

func setEntry(m map[string]*inode, name string, n *inode) {
	if m[name] = n; n == nil {
		delete(m, name)
	}
}

func (d *disk) Create(name string) (File, error) {
	n := &inode{}
	d.set(name, n)
	return &fileHandle{d, n}, nil
}

func (d *disk) Rename(from, to string) error {
	d.set(to, d.live[from])
	d.set(from, nil)
	return nil
}

func (d *disk) Remove(name string) error { d.set(name, nil); return nil }

func (d *disk) SyncDir() error {
	for _, op := range d.pendingOps {
		setEntry(d.durable, op.name, op.node)
	}
	d.pendingOps = nil
	return d.sync()
}

func (d *disk) sync() error {
	d.elapsed += d.latency
	if d.failSync {
		return errInjected
	}
	return nil
}

func (h *fileHandle) Write(p []byte) (int, error) {
	h.n.data = append(h.n.data, p...)
	return len(p), nil
}
func (h *fileHandle) Close() error { return nil }

func (h *fileHandle) Sync() error {
	if err := h.d.sync(); err != nil || h.d.ignoreSync {
		return err
	}
	h.n.synced = len(h.n.data)
	return nil
}

// crash keeps a random part of the unsynced changes, and may damage unsynced
// data.
func (d *disk) crash() {
	for _, op := range d.pendingOps[:d.rng.IntN(len(d.pendingOps)+1)] {
		setEntry(d.durable, op.name, op.node)
	}
	d.pendingOps, d.live, d.failSync = nil, map[string]*inode{}, false
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
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
	// appendMachine is a state machine that appends values to strings. It
	// applies each command id at most once, and checks that all replicas apply
	// the same entries with stamps that do not decrease.
	appendMachine struct {
		sim   *simulation
		Data  map[string]string
		Seen  map[int]string
		Hash  uint64
		Stamp time.Time
	}
)

func (m *appendMachine) Apply(index Index, data []byte, stamp time.Time) []byte {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		m.sim.t.Errorf("entry %d: %v", index, err)
	}
	if stamp.Before(m.Stamp) {
		m.sim.t.Errorf("seed %d: stamp of entry %d: got %v, which is before the previous stamp %v", m.sim.seed, index, stamp, m.Stamp)
	}
	h := fnv.New64a()
	fmt.Fprint(h, m.Hash, index, data, stamp.UnixNano())
	m.Hash, m.Stamp = h.Sum64(), stamp
	if old, ok := m.sim.hashes[index]; ok && old != m.Hash {
		m.sim.t.Errorf("seed %d: state of replicas differs at entry %d", m.sim.seed, index)
	}
	m.sim.hashes[index] = m.Hash
	if _, ok := m.Seen[c.ID]; !ok {
		m.Data[c.Key] += c.Value
		m.Seen[c.ID] = m.Data[c.Key]
	}
	return []byte(m.Seen[c.ID])
}

func (m *appendMachine) Snapshot() ([]byte, error) { return json.Marshal(m) }

func (m *appendMachine) Restore(data []byte) error {
	*m = appendMachine{sim: m.sim, Data: map[string]string{}, Seen: map[int]string{}}
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, m)
}

type (
	event struct {
		at  time.Duration
		run func()
	}

	node struct {
		id           fleet.VMID
		disk         *disk
		replica      *Replica // nil while the process is down
		stateMachine *appendMachine
		generation   int // incremented at each start and crash; callbacks of earlier generations are ignored
		clockRate    float64
		clockOffset  time.Duration
		busyUntil    time.Duration
		// interval is the time in which the processor runs the process once, for a
		// fifth of that time; 0 if it always runs it.
		interval  time.Duration
		peers     []fleet.VMID // Options.Peers
		proposals map[ProposalID]func([]byte, error)
		reads     map[ReadID]func(error)
	}

	// simulation simulates replicas, network, disks, clocks and clients in
	// simulated time.
	simulation struct {
		t                 *testing.T
		seed              uint64
		rng               *rand.Rand
		now               time.Duration
		lastClockJump     time.Duration
		timeScale         time.Duration // factor for the intervals of the protocol
		events            []event
		nodes             map[fleet.VMID]*node
		vms               []fleet.VMID        // the keys of nodes, in a fixed order
		leaders           map[Term]fleet.VMID // the leaders seen so far
		blocked           map[[2]fleet.VMID]bool
		lossRate          float64
		hashes            map[Index]uint64
		history           []porcupine.Operation
		pendingOperations int // unfinished operations of clients
		nextID            int
		acked             int
		injectedBug       string
		faultsEnded       bool // stops the injection of faults
		// autoMembership makes the leader admit and replace replicas without an
		// operator, and stops clocks while machines are suspended.
		autoMembership bool
		// withoutCodec passes messages on as they are, which takes less time.
		withoutCodec bool
		// configure changes the options of a replica before it starts, if it is set.
		configure func(*node, *Options)
	}
)

// newSimulation starts a cluster of 3 replicas for even seeds and of 5 for odd
// seeds. The other VMs run no replica at first.
func newSimulation(t *testing.T, seed uint64, timeScale time.Duration) *simulation {
	return newSimulationWith(t, seed, timeScale, "", false)
}

func newSimulationWith(t *testing.T, seed uint64, timeScale time.Duration, injectedBug string, autoMembership bool) *simulation {
	sim := &simulation{t: t, seed: seed, timeScale: timeScale, injectedBug: injectedBug, autoMembership: autoMembership, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[fleet.VMID]*node{},
		vms: vmNames, leaders: map[Term]fleet.VMID{}, blocked: map[[2]fleet.VMID]bool{}, hashes: map[Index]uint64{}, lossRate: 0.01}
	members := voters(vmNames[:3+2*(seed%2)])
	for _, id := range vmNames {
		sim.nodes[id] = &node{id: id, disk: newDisk(sim.rng), clockRate: 0.98 + 0.04*sim.rng.Float64(), peers: vmNames}
	}
	for _, m := range members {
		n := sim.nodes[m.VM]
		if err := Bootstrap(n.disk, m.Identity, members); err != nil {
			t.Fatal(err)
		}
		sim.start(n)
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	e := event{sim.now + d, run}
	i, _ := slices.BinarySearchFunc(sim.events, e, func(a, b event) int {
		return cmp.Or(cmp.Compare(a.at, b.at), -1) // insert after all events with the same time
	})
	sim.events = slices.Insert(sim.events, i, e)
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.events) > 0 && sim.events[0].at <= end && !sim.t.Failed() {
		e := sim.events[0]
		sim.events = sim.events[1:]
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

func (sim *simulation) random(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

func (sim *simulation) clock(n *node) time.Time {
	return time.Unix(1e9, 0).Add(n.clockOffset + time.Duration(float64(sim.now)*n.clockRate))
}

func (sim *simulation) start(n *node) {
	if n.replica != nil {
		return
	}
	n.stateMachine = &appendMachine{sim: sim}
	n.stateMachine.Restore(nil)
	o := Options{Self: n.id, Incarnation: fleet.Incarnation(sim.now + 2), Peers: n.peers, FS: n.disk, StateMachine: n.stateMachine,
		Rand: sim.rng, SnapshotEvery: 20, KeepEntries: 5, ChunkSize: 300,
		ElectionTimeout: sim.timeScale * DefaultElectionTimeout, Heartbeat: sim.timeScale * DefaultHeartbeat}
	if sim.autoMembership {
		o.AutoAdmit, o.RemoveAfter, o.QuorumReads = true, sim.timeScale*3*time.Second, sim.injectedBug != "lease"
	}
	if sim.configure != nil {
		sim.configure(n, &o)
	}
	r, err := Open(o, sim.clock(n))
	if errors.Is(err, errInjected) {
		n.disk.crash()
		sim.after(time.Second, func() { sim.start(n) })
		return
	}
	if err != nil {
		if sim.injectedBug == "" {
			sim.t.Errorf("seed %d: restart of %s: %v", sim.seed, n.id, err)
		}
		return
	}
	n.generation++
	n.replica, n.proposals, n.reads = r, map[ProposalID]func([]byte, error){}, map[ReadID]func(error){}
	sim.tick(n, n.generation)
}

func (sim *simulation) tick(n *node, generation int) {
	if n.generation == generation && n.replica != nil {
		sim.on(n, func() Output { return n.replica.Tick(sim.clock(n)) })
		sim.after(sim.timeScale*20*time.Millisecond, func() { sim.tick(n, generation) })
	}
}

// on runs a call on a node once the node is no longer busy. It delivers the
// output of the call once the disk operations of the call have completed.
func (sim *simulation) on(n *node, call func() Output) {
	generation := n.generation
	if wake := n.nextRun(sim.now); wake > sim.now {
		sim.after(wake-sim.now, func() {
			if n.generation == generation && n.replica != nil {
				sim.on(n, call)
			}
		})
		return
	}
	n.disk.elapsed = 0
	out := call()
	sim.checkLeaders(n)
	n.busyUntil = sim.now + n.disk.elapsed
	sim.after(n.disk.elapsed, func() {
		if n.generation == generation && n.replica != nil {
			sim.deliverOutput(n, out)
		}
	})
}

// nextRun returns the time at which the node can process its next call.
func (n *node) nextRun(now time.Duration) time.Duration {
	wake := max(n.busyUntil, now)
	if n.interval > 0 && wake%n.interval >= n.interval/5 {
		wake = (wake/n.interval + 1) * n.interval
	}
	return wake
}

// checkLeaders is called after each call on a node. It reports a term with two leaders,
// and an old leader that has a valid lease while another replica leads a later term. It
// does not check leases with autoMembership, because clocks then stop during suspensions.
// It also calls checkPromotion.
func (sim *simulation) checkLeaders(called *node) {
	if called.replica.role == roleLeader {
		term := called.replica.hard.Term
		if first, ok := sim.leaders[term]; ok && first != called.id {
			sim.t.Errorf("seed %d: term %d has the leaders %s and %s", sim.seed, term, first, called.id)
		}
		sim.leaders[term] = called.id
		sim.checkPromotion(called.replica)
	}
	if sim.autoMembership {
		return
	}
	newest := sim.leader()
	for _, id := range sim.vms {
		n := sim.nodes[id]
		if n == newest || n.replica == nil || n.replica.role != roleLeader {
			continue
		}
		d := sim.clock(n).Sub(n.replica.lastCall)
		n.replica.leaseClock += d
		if d >= 0 && n.replica.leaseValid() {
			sim.t.Errorf("seed %d: %s has a lease while %s leads a later term", sim.seed, n.id, newest.id)
		}
		n.replica.leaseClock -= d
	}
}

// checkPromotion reports a leader that promotes a learner before the learner
// has acknowledged an entry.
func (sim *simulation) checkPromotion(r *Replica) {
	i := len(r.configs) - 1
	if i == 0 || r.termAt(r.configs[i].index) != r.hard.Term {
		return
	}
	for _, id := range r.config().voters() {
		if p := r.progressOf(id); p != nil && !r.configs[i-1].config.isVoter(id) && p.match == 0 {
			sim.t.Errorf("seed %d: %s promotes %s, which has no durable entries", sim.seed, r.self.VM, id.VM)
		}
	}
}

func (sim *simulation) deliverOutput(n *node, out Output) {
	if out.Err != nil && (len(out.Envelopes) > 0 || n.replica.Role() != "Stopped") {
		sim.t.Errorf("seed %d: %s sends messages or does not stop after error %v", sim.seed, n.id, out.Err)
	}
	for _, e := range out.Envelopes {
		sim.transmit(n.id, e)
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

func (sim *simulation) transmit(from fleet.VMID, e Envelope) {
	decode := sim.encode(e.Message)
	for copies := 1 + sim.rng.IntN(20)/19; copies > 0; copies-- {
		if sim.rng.Float64() < sim.lossRate {
			continue
		}
		sim.after(time.Millisecond+sim.random(4*time.Millisecond), func() {
			n := sim.nodes[e.To]
			if n == nil || n.replica == nil || sim.blocked[[2]fleet.VMID{from, e.To}] {
				return
			}
			m := decode()
			sim.on(n, func() Output { return n.replica.Handle(from, m, sim.clock(n)) })
		})
	}
}

// encode encodes a message and returns a function that decodes it.
func (sim *simulation) encode(m Message) func() Message {
	if sim.withoutCodec {
		return func() Message { return m }
	}
	data, err := EncodeMessage(&m)
	if err != nil {
		sim.t.Fatal(err)
	}
	return func() Message {
		decoded, err := DecodeMessage(data)
		if err != nil {
			sim.t.Fatalf("seed %d: %v", sim.seed, err)
		}
		return decoded
	}
}

func (sim *simulation) leader() *node {
	var newest *node
	for _, id := range sim.vms {
		n := sim.nodes[id]
		if n.replica != nil && n.replica.Role() == "Leader" && (newest == nil || n.replica.Stats().Term > newest.replica.Stats().Term) {
			newest = n
		}
	}
	return newest
}

func (sim *simulation) crash(n *node, diskLost bool) {
	n.generation++
	n.replica, n.busyUntil = nil, 0
	n.disk.crash()
	if diskLost {
		n.disk = newDisk(sim.rng)
	}
}

// repaired reports whether there are at least three members and all of them are
// running voters with synced logs, so that the cluster tolerates the loss of
// one more disk.
func (sim *simulation) repaired() bool {
	l := sim.leader()
	if l == nil || l.replica.Stats().SyncedVoters != l.replica.Stats().Voters {
		return false
	}
	voters := l.replica.config().voters()
	for _, v := range voters {
		if n := sim.nodes[v.VM]; n.replica == nil || n.replica.self != v {
			return false
		}
	}
	return len(voters) >= 3 && len(voters) == len(l.replica.config().Members)
}

// injectFault injects a random fault and schedules the next one. Most faults are
// undone later.
func (sim *simulation) injectFault() {
	if sim.faultsEnded {
		return
	}
	sim.after(100*time.Millisecond+sim.random(1500*time.Millisecond), sim.injectFault)
	n := sim.nodes[vmNames[sim.rng.IntN(len(vmNames))]]
	if l := sim.leader(); l != nil && sim.rng.IntN(2) == 0 {
		n = l
	}
	duration := sim.random(4 * time.Second)
	restart := func(diskLost bool) {
		if n.replica != nil {
			sim.crash(n, diskLost)
			sim.after(duration, func() { sim.start(n) })
		}
	}
	switch sim.rng.IntN(12) {
	case 0, 1:
		restart(false)
	case 2:
		if sim.repaired() {
			restart(true)
		}
	case 3, 4:
		sim.isolate(n, vmNames[sim.rng.IntN(len(vmNames)):], duration)
	case 5:
		n.disk.latency = sim.random(300 * time.Millisecond)
		sim.after(duration, func() { n.disk.latency = time.Millisecond })
	case 6:
		// The clocks of the other nodes jump ahead while this node is isolated
		// and may hold a lease. The election clock tolerates one jump per
		// ElectionTimeout, so the jumps are at least 2 s apart.
		if sim.now-sim.lastClockJump < 2*time.Second {
			return
		}
		sim.lastClockJump = sim.now
		sim.isolate(n, vmNames, duration)
		for _, id := range vmNames {
			if id != n.id {
				sim.nodes[id].clockOffset += sim.random(time.Hour)
			}
		}
	case 8, 9:
		// The process is suspended, and its clock may be set back meanwhile. The
		// process may stay isolated for a while after it resumes.
		n.busyUntil = max(n.busyUntil, sim.now) + duration
		sim.isolate(n, vmNames[sim.rng.IntN(len(vmNames)):], duration+sim.random(2*time.Second))
		n.clockOffset -= (duration + sim.random(time.Hour)) * time.Duration(sim.rng.IntN(2))
	case 7:
		n.disk.failSync = true
		sim.after(duration, func() { restart(false) })
	default:
		if sim.autoMembership {
			sim.replaceMember(n, duration)
			return
		}
		sim.changeMembers(n)
	}
}

// replaceMember starts a node that has not run yet, suspends a node and its
// clock, or erases the disk of a node and stops it for longer than RemoveAfter.
func (sim *simulation) replaceMember(n *node, duration time.Duration) {
	switch {
	case n.replica == nil && n.generation == 0:
		sim.start(n)
	case n.replica == nil:
	case sim.rng.IntN(2) == 0:
		// The node may stay isolated for a while after it resumes.
		n.busyUntil = max(n.busyUntil, sim.now) + duration
		n.clockOffset -= duration
		sim.isolate(n, vmNames, duration+sim.random(time.Second))
	case sim.repaired():
		sim.crash(n, true)
		sim.after(6*time.Second+duration, func() { sim.start(n) })
	}
}

// isolate blocks the links between a node and others in one or both directions.
func (sim *simulation) isolate(n *node, others []fleet.VMID, duration time.Duration) {
	direction := sim.rng.IntN(4)
	for _, other := range others {
		out, in := [2]fleet.VMID{n.id, other}, [2]fleet.VMID{other, n.id}
		sim.blocked[out] = direction != 0
		sim.blocked[in] = direction != 1
		sim.after(duration, func() { delete(sim.blocked, out); delete(sim.blocked, in) })
	}
}

func (sim *simulation) changeMembers(n *node) {
	l := sim.leader()
	if spare := sim.nodes["d"]; l != nil && l.replica.config().find("d") == nil && sim.rng.IntN(2) == 0 {
		n = spare
	}
	switch {
	case l == nil:
	case n.replica == nil && n.generation == 0:
		sim.start(n)
	case sim.rng.IntN(3) == 0:
		sim.on(l, func() Output { l.replica.Transfer(sim.clock(l)); return l.replica.Flush(sim.clock(l)) })
	default:
		kind := AddLearner
		if l.replica.config().find(n.id) != nil && len(l.replica.config().voters()) > 3 {
			kind = Remove
		}
		sim.on(l, func() Output { l.replica.ChangeMembership(kind, n.id); return l.replica.Flush(sim.clock(l)) })
	}
}

type input struct {
	key, value string // an empty value means a read
}

// client runs operations one after the other. It starts no further operation
// after the simulated time until.
func (sim *simulation) client(id int, at fleet.VMID, until time.Duration) {
	if sim.now >= until {
		return
	}
	sim.nextID++
	in := input{key: fmt.Sprint("k", sim.rng.IntN(6))}
	if sim.rng.IntN(2) == 0 {
		in.value = fmt.Sprint(sim.nextID, ",")
	}
	c := command{ID: sim.nextID, Key: in.key, Value: in.value}
	callTime := sim.now
	sim.pendingOperations++
	sim.attempt(c, at, 0, func(value string, at fleet.VMID, ok bool) {
		sim.pendingOperations--
		op := porcupine.Operation{ClientId: id, Input: in, Call: int64(callTime), Output: value, Return: int64(sim.now)}
		switch {
		case ok:
			sim.acked++
			sim.history = append(sim.history, op)
		case in.value != "":
			// The outcome is unknown: the write may take effect at any later
			// time. The operation therefore stays open, and has a client id of
			// its own because the client continues with another operation.
			op.Output, op.Return, op.ClientId = "?", int64(1<<62), 1000+sim.nextID
			sim.history = append(sim.history, op)
		}
		sim.after(sim.random(100*time.Millisecond), func() { sim.client(id, at, until) })
	})
}

// attempt sends a command to the node with the id at. If this fails, attempt
// retries the command up to 100 times, with the same id, on random nodes.
func (sim *simulation) attempt(c command, at fleet.VMID, attempts int, done func(string, fleet.VMID, bool)) {
	finished := false
	finish := func(value string, ok bool) {
		if finished {
			return
		}
		finished = true
		switch {
		case ok:
			sim.after(sim.random(5*time.Millisecond), func() { done(value, at, true) })
		case attempts >= 100:
			done("", "a", false)
		default:
			next := vmNames[sim.rng.IntN(len(vmNames))]
			sim.after(sim.random(50*time.Millisecond), func() { sim.attempt(c, next, attempts+1, done) })
		}
	}
	sim.after(700*time.Millisecond, func() { finish("", false) })
	n := sim.nodes[at]
	sim.after(sim.random(5*time.Millisecond), func() {
		if n.replica == nil {
			finish("", false)
			return
		}
		sim.on(n, func() Output { sim.request(n, c, finish); return n.replica.Flush(sim.clock(n)) })
	})
}

func (sim *simulation) request(n *node, c command, finish func(string, bool)) {
	m := n.stateMachine
	if c.Value == "" && sim.injectedBug == "stale" {
		finish(m.Data[c.Key], true)
		return
	}
	if c.Value == "" {
		id, err := n.replica.Read(sim.clock(n))
		if err != nil {
			finish("", false)
			return
		}
		n.reads[id] = func(err error) { finish(m.Data[c.Key], err == nil) }
		return
	}
	if sim.injectedBug == "twice" {
		c.ID = -c.ID*100 - sim.rng.IntN(100)
	}
	data, _ := json.Marshal(c)
	id, err := n.replica.Propose(data, sim.clock(n))
	if err != nil {
		finish("", false)
		return
	}
	n.proposals[id] = func(value []byte, err error) { finish(string(value), err == nil) }
}

var appendModel = porcupine.Model{
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

// simulateFaults runs clients while faults are injected, then undoes the faults
// and checks that the history of operations is linearizable.
func simulateFaults(t *testing.T, seed uint64, injectedBug string, autoMembership bool) (*simulation, porcupine.CheckResult) {
	sim := newSimulationWith(t, seed, 1, injectedBug, autoMembership)
	for _, n := range sim.nodes {
		n.disk.ignoreSync = injectedBug == "no-sync"
	}
	sim.run(3 * time.Second)
	for i := range 4 {
		sim.client(i, vmNames[i], sim.now+20*time.Second)
	}
	sim.injectFault()
	sim.run(20 * time.Second)
	sim.faultsEnded = true
	sim.run(5 * time.Second)
	sim.blocked, sim.lossRate = map[[2]fleet.VMID]bool{}, 0
	for _, id := range vmNames {
		if n := sim.nodes[id]; n.replica != nil && n.replica.stopErr != nil {
			sim.crash(n, false)
			sim.start(n)
		}
	}
	sim.run(20 * time.Second)
	if injectedBug == "" && (sim.leader() == nil || sim.pendingOperations > 0) {
		t.Errorf("seed %d: after the faults: has leader: %v, %d unfinished operations", seed, sim.leader() != nil, sim.pendingOperations)
	}
	if autoMembership && injectedBug == "" {
		sim.checkMembers()
	}
	for i := range 6 {
		sim.attempt(command{Key: fmt.Sprint("k", i)}, "a", 0, func(value string, _ fleet.VMID, ok bool) {
			sim.history = append(sim.history, porcupine.Operation{ClientId: 100, Input: input{key: fmt.Sprint("k", i)},
				Call: int64(sim.now) - int64(10*time.Second), Output: value, Return: int64(sim.now)})
		})
	}
	sim.run(5 * time.Second)
	return sim, porcupine.CheckOperationsTimeout(appendModel, sim.history, 20*time.Second)
}

// checkMembers is called after all faults have been undone. It restarts the
// nodes that are down but have run before, and reports running replicas that
// have not become voters.
func (sim *simulation) checkMembers() {
	for _, id := range vmNames {
		if n := sim.nodes[id]; n.replica == nil && n.generation > 0 {
			sim.start(n)
		}
	}
	sim.run(20 * time.Second)
	l := sim.leader()
	if l == nil {
		sim.t.Errorf("seed %d: no leader after the faults", sim.seed)
		return
	}
	for _, id := range vmNames {
		n := sim.nodes[id]
		if n.replica != nil && !l.replica.config().isVoter(n.replica.self) {
			sim.t.Errorf("seed %d: %s runs but is not a voter of %+v", sim.seed, id, l.replica.Members())
		}
	}
}
