package replica

import (
	"errors"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// testMemory is the Options.Memory of the replicas in the tests of this file.
const testMemory = 32 << 20

// cluster runs three replicas, without delays, in one goroutine.
type cluster struct {
	t        *testing.T
	now      time.Time
	disks    map[fleet.VMID]*disk
	replicas map[fleet.VMID]*Replica
	cut      map[fleet.VMID]bool
	// sent counts the bytes of commands in messages, by receiver.
	sent map[fleet.VMID]int
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, now: time.Unix(1e9, 0), disks: map[fleet.VMID]*disk{}, replicas: map[fleet.VMID]*Replica{},
		cut: map[fleet.VMID]bool{}, sent: map[fleet.VMID]int{},
	}
	for _, vm := range vmNames[:3] {
		c.disks[vm] = newDisk(rand.New(rand.NewPCG(1, 1)))
		if err := Bootstrap(c.disks[vm], Identity{vm, 1}, voters(vmNames[:3])); err != nil {
			t.Fatal(err)
		}
		c.start(vm)
	}
	return c
}

func (c *cluster) start(vm fleet.VMID) {
	r, err := Open(Options{
		Self: vm, FS: c.disks[vm], StateMachine: &blobMachine{}, Memory: testMemory, Rand: rand.New(rand.NewPCG(1, uint64(vm[0]))),
	}, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.replicas[vm] = r
}

func (c *cluster) deliver(from fleet.VMID, out Output) {
	if out.Err != nil {
		c.t.Fatalf("%s stopped: %v", from, out.Err)
	}
	for _, e := range out.Envelopes {
		for _, entry := range e.Message.Entries {
			c.sent[e.To] += len(entry.Data)
		}
		if !c.cut[from] && !c.cut[e.To] {
			c.deliver(e.To, c.replicas[e.To].Handle(from, e.Message, c.now))
		}
	}
}

// run advances the time in steps of one tick.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		for _, vm := range vmNames[:3] {
			c.deliver(vm, c.replicas[vm].Tick(c.now))
		}
	}
}

// leader returns the leader among the replicas that are not cut off, after an election
// if there is none.
func (c *cluster) leader() *Replica {
	for range 500 {
		for _, vm := range vmNames[:3] {
			if r := c.replicas[vm]; !c.cut[vm] && r.Role() == "Leader" {
				return r
			}
		}
		c.run(20 * time.Millisecond)
	}
	c.t.Fatal("no leader was elected")
	return nil
}

// propose commits n commands of a size, one in each tick.
func (c *cluster) propose(n, size int) {
	for range n {
		r := c.leader()
		if _, err := r.Propose(make([]byte, size), c.now); err != nil {
			c.t.Fatal(err)
		}
		c.deliver(r.self.VM, r.Flush(c.now))
		c.run(20 * time.Millisecond)
	}
}

// checkLogs checks the size of the log of each replica that is not cut off, and of its
// files.
func (c *cluster) checkLogs(limit int) {
	c.t.Helper()
	for _, vm := range vmNames[:3] {
		size := 0
		for _, e := range c.replicas[vm].log {
			size += len(e.Data)
		}
		file := c.replicas[vm].wal.size
		if !c.cut[vm] && (size > limit || file > int64(limit)) {
			c.t.Errorf("log of %s: got %d bytes and a segment of %d bytes, want at most %d", vm, size, file, limit)
		}
	}
}

// Guards against a leader that keeps its whole log for a member that was cut off before
// the election, and sends it what it can't receive.
func TestAbsentMember(t *testing.T) {
	const size, limit = 97 << 10, testMemory / 8
	c := newCluster(t)
	absent := c.leader().self.VM
	c.cut[absent] = true
	c.propose(10, size)
	c.run(5 * time.Second)
	sent := c.sent[absent]
	c.propose(500, size)
	c.checkLogs(limit)
	if got := c.sent[absent] - sent; got > 0 {
		t.Errorf("commands sent to the member that is cut off: got %d bytes, want 0", got)
	}
	for vm, r := range c.replicas {
		if c.cut[vm] {
			continue
		}
		r.stop(errInjected)
		c.start(vm)
	}
	c.checkLogs(limit)
	c.cut[absent] = false
	c.propose(10, size)
	c.run(2 * time.Second)
	if got, want := c.replicas[absent].Stats().Applied, c.leader().Stats().Applied; got != want {
		t.Errorf("applied entries of the member after its return: got %d, want %d", got, want)
	}
}

// Guards against a log that is bounded by the number of its entries only, whatever
// their sizes are.
func TestLogOfLargeCommands(t *testing.T) {
	c := newCluster(t)
	c.propose(100, 500<<10)
	c.checkLogs(testMemory / 8)
}

// Guards against entries that heartbeats send to a member that answers slowly, beyond the
// limit of unacknowledged ones.
func TestSlowMember(t *testing.T) {
	c := newCluster(t)
	r := c.leader()
	slow := vmNames[0]
	if r.self.VM == slow {
		slow = vmNames[1]
	}
	c.propose(1, 1)
	c.cut[slow] = true
	before := c.sent[slow]
	for range 40 {
		c.propose(1, 400<<10)
		// The answers to earlier heartbeats keep it active.
		r.progress[slow].lastContact = r.electionClock
	}
	if got, want := c.sent[slow]-before, maxInflightBatches*DefaultMaxBatch+400<<10; got > want {
		t.Errorf("unacknowledged commands sent to a slow member: got %d bytes, want at most %d", got, want)
	}
}

// Guards against retained entries that are missing at the end of a segment, where each
// frame that is left is whole: they had been durable, unlike a torn tail.
func TestMissingRetainedEntries(t *testing.T) {
	var log []Entry
	for i := Index(2); i <= 10; i++ {
		log = append(log, Entry{Index: i, Term: 1, Kind: CommandEntry, Data: make([]byte, rewriteBatchBytes/2)})
	}
	d := newDisk(rand.New(rand.NewPCG(1, 1)))
	w := &wal{fs: d, stats: &Stats{}}
	if err := w.rewrite(Identity{"a", 1}, Position{1, 1}, hardState{Term: 1}, log); err != nil {
		t.Fatal(err)
	}
	data, _ := d.ReadFile(w.name)
	var ends []int
	for off := 0; off < len(data); {
		_, _, size := readFrame(data[off:])
		off += size
		ends = append(ends, off)
	}
	for i, end := range ends {
		s, err := decodeWAL(w.name, data[:end])
		var ce *CorruptError
		// The last frame is a sync marker.
		if whole := i >= len(ends)-2; whole && (err != nil || len(s.log) != len(log)) || !whole && !errors.As(err, &ce) {
			t.Errorf("segment of %d of %d frames: got %v, want a CorruptError %v", i+1, len(ends), err, !whole)
		}
	}
}

// Guards against entries that accumulate while no leader can commit them: the members
// answer votes, but the leader's entries don't arrive.
func TestUncommittedCommands(t *testing.T) {
	c := newCluster(t)
	r := c.leader()
	other := vmNames[0]
	if r.self.VM == other {
		other = vmNames[1]
	}
	for range 20 {
		for {
			_, err := r.Propose(make([]byte, 500<<10), c.now)
			var busy *BusyError
			if errors.As(err, &busy) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		r.Flush(c.now) // the messages are lost
		term := r.hard.Term + 1
		r.Handle(other, Message{Kind: AppendReply, Term: term, From: 1, Reject: true}, c.now)
		r.fire(eventElectionTimeout)
		r.fire(eventPreVoteWon)
		r.startElection(false)
		r.countVote(Identity{other, 1}, &Message{})
	}
	size := 0
	for _, e := range r.log {
		size += len(e.Data)
	}
	if want := testMemory/16 + 500<<10; size > want {
		t.Errorf("log of a leader without a quorum: got %d bytes, want at most %d", size, want)
	}
}

// formerSegment returns a segment of the former version, which wrote all entries into
// its first frame.
func formerSegment(t *testing.T, last Index, size int) []byte {
	rec := walRecord{Self: &Identity{"a", 1}, Base: &Position{1, 1}, Hard: &hardState{Term: 1}}
	for i := Index(2); i <= last; i++ {
		rec.Entries = append(rec.Entries, Entry{Index: i, Term: 1, Kind: CommandEntry, Stamp: int64(i), Data: make([]byte, size)})
	}
	payload, err := encodeRecord(&rec)
	if err != nil {
		t.Fatal(err)
	}
	return appendFrame(nil, 1, payload)
}

// Guards against a log of the former version, with far more entries than this version
// keeps, that can't be loaded, or takes several times its size.
func TestLogOfFormerVersion(t *testing.T) {
	const last, size = 700, 97 << 10
	d := newDisk(rand.New(rand.NewPCG(1, 1)))
	segment := formerSegment(t, last, size)
	snap, err := encodeSnapshot(&snapshot{snapshotMeta: snapshotMeta{At: Position{last - 10, 1}, Config: Config{Members: voters(vmNames[:1])}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := storeSnapshot(d, last-10, snap); err != nil {
		t.Fatal(err)
	}
	f, _ := d.Create(fileName(walPrefix, 1))
	if _, err := f.Write(segment); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	r, err := Open(Options{Self: "a", FS: d, StateMachine: &blobMachine{}, Memory: testMemory, Rand: rand.New(rand.NewPCG(1, 1))}, time.Unix(1e9, 0))
	runtime.ReadMemStats(&after)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	if r.lastIndex() != last {
		t.Errorf("last index: got %d, want %d", r.lastIndex(), last)
	}
	if got, want := r.wal.size, int64(testMemory/8); got > want {
		t.Errorf("segment after the start: got %d bytes, want at most %d", got, want)
	}
	// The file and its entries are each in memory once.
	if got, want := int(after.TotalAlloc-before.TotalAlloc), 5*len(segment)/2; got > want {
		t.Errorf("memory allocated at the start: got %d bytes for a segment of %d, want at most %d", got, len(segment), want)
	}
}
