package replica

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"github.com/fxamacker/cbor/v2"
)

// memberCluster runs replicas that are replaced at new addresses, without delays and in
// one goroutine.
type memberCluster struct {
	t        *testing.T
	now      time.Time
	opts     Options
	disks    map[fleet.VMID]*disk
	replicas map[fleet.VMID]*Replica // those that run
	cut      map[fleet.VMID]bool
	interval time.Duration // between two calls of Tick
	events   map[fleet.VMID][]Event
	// slowDisk is the time that a sync takes. Messages that arrive meanwhile are
	// processed together after it.
	slowDisk map[fleet.VMID]time.Duration
	drop     func(from fleet.VMID, m *Message) bool // reports whether a message is lost
	delayed  map[fleet.VMID][]delayedMessage
	syncing  map[fleet.VMID]Output // what the sync under way makes durable
}

// delayedMessage is a message that arrived while a disk was busy.
type delayedMessage struct {
	from fleet.VMID
	Message
}

// newMemberCluster starts a log with three initial members, and admits the other VMs.
func newMemberCluster(t *testing.T, opts Options, vms ...fleet.VMID) *memberCluster {
	c := &memberCluster{
		t: t, now: time.Unix(1e9, 0), opts: opts, disks: map[fleet.VMID]*disk{}, replicas: map[fleet.VMID]*Replica{}, cut: map[fleet.VMID]bool{},
		interval: 20 * time.Millisecond, events: map[fleet.VMID][]Event{}, slowDisk: map[fleet.VMID]time.Duration{}, delayed: map[fleet.VMID][]delayedMessage{}, syncing: map[fleet.VMID]Output{},
	}
	c.opts.AutoAdmit, c.opts.QuorumReads = true, true
	first := voters(vms[:3])
	for _, m := range first {
		c.disks[m.VM] = newDisk(rand.New(rand.NewPCG(1, 1)))
		if err := Bootstrap(c.disks[m.VM], m.Identity, first); err != nil {
			t.Fatal(err)
		}
	}
	for _, vm := range vms {
		c.start(vm, vms[:3]...)
	}
	c.run(5 * time.Second)
	return c
}

func (c *memberCluster) start(vm fleet.VMID, peers ...fleet.VMID) {
	c.t.Helper()
	if c.disks[vm] == nil {
		c.disks[vm] = newDisk(rand.New(rand.NewPCG(1, 1)))
	}
	o := c.opts
	o.Self, o.Peers, o.FS, o.StateMachine = vm, peers, c.disks[vm], &blobMachine{}
	o.Incarnation = fleet.Incarnation(c.now.UnixNano())
	o.Rand = rand.New(rand.NewPCG(uint64(len(c.disks)), uint64(c.now.UnixNano())))
	r, err := Open(o, c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.replicas[vm] = r
}

// lose ends the process of a VM and loses its disk.
func (c *memberCluster) lose(vms ...fleet.VMID) {
	for _, vm := range vms {
		delete(c.replicas, vm)
		delete(c.disks, vm)
	}
}

// losePower ends all processes, of which those in lost lose their disks, and starts them
// again.
func (c *memberCluster) losePower(lost ...fleet.VMID) {
	running := slices.Sorted(maps.Keys(c.replicas))
	for _, vm := range running {
		delete(c.replicas, vm)
		c.disks[vm].crash()
	}
	c.lose(lost...)
	c.now = c.now.Add(1300 * time.Millisecond)
	for _, vm := range running {
		c.start(vm, running[:3]...)
	}
}

func (c *memberCluster) deliver(from fleet.VMID, out Output) {
	if out.Err != nil {
		c.t.Fatalf("%s stopped: %v", from, out.Err)
	}
	c.events[from] = append(c.events[from], out.Events...)
	for _, e := range out.Envelopes {
		r := c.replicas[e.To]
		switch {
		case r == nil || c.cut[from] || c.cut[e.To] || c.drop != nil && c.drop(from, &e.Message):
		case c.slowDisk[e.To] > 0:
			c.delayed[e.To] = append(c.delayed[e.To], delayedMessage{from, e.Message})
		default:
			c.deliver(e.To, r.Handle(from, e.Message, c.now))
		}
	}
}

// run advances the time in steps of the interval.
func (c *memberCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(c.interval)
		for _, vm := range slices.Sorted(maps.Keys(c.replicas)) {
			r := c.replicas[vm]
			if r == nil {
				continue
			}
			if d := c.slowDisk[vm]; d > 0 {
				if c.now.UnixNano()%int64(d) >= int64(c.interval) {
					continue
				}
				for _, m := range c.delayed[vm] {
					r.Step(m.from, m.Message, c.now)
				}
				c.delayed[vm] = nil
				done := c.syncing[vm]
				c.syncing[vm] = r.Tick(c.now)
				c.deliver(vm, done)
				continue
			}
			c.deliver(vm, r.Tick(c.now))
		}
	}
}

// leader returns the leader of the newest term, or nil.
func (c *memberCluster) leader() *Replica {
	var newest *Replica
	for _, vm := range slices.Sorted(maps.Keys(c.replicas)) {
		if r := c.replicas[vm]; r.role == roleLeader && !c.cut[vm] && (newest == nil || r.hard.Term > newest.hard.Term) {
			newest = r
		}
	}
	return newest
}

// propose commits a command and returns its index.
func (c *memberCluster) propose() Index {
	c.t.Helper()
	r := c.leader()
	if r == nil {
		c.t.Fatal("no leader")
	}
	if _, err := r.Propose([]byte("x"), c.now); err != nil {
		c.t.Fatal(err)
	}
	index := r.lastIndex()
	c.deliver(r.self.VM, r.Flush(c.now))
	if r.commit < index {
		c.t.Fatalf("command at %d is not committed by %+v", index, r.Members())
	}
	return index
}

// checkMembers reports voters that do not run, running replicas that do not vote, and
// too few voters for the loss of further ones.
func (c *memberCluster) checkMembers(when string) {
	c.t.Helper()
	l := c.leader()
	if l == nil {
		c.t.Fatalf("%s: no leader", when)
	}
	var want []fleet.VMID
	for vm := range c.replicas {
		want = append(want, vm)
	}
	slices.Sort(want)
	var got []fleet.VMID
	for _, id := range l.config().voters() {
		got = append(got, id.VM)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		c.t.Errorf("%s: got voters %v, want %v", when, got, want)
	}
	if spare := l.spareVoters(); spare < c.opts.Tolerance {
		c.t.Errorf("%s: got %d voters that may be lost, want %d", when, spare, c.opts.Tolerance)
	}
}

// checkRecovery reports a log that has no leader, or has lost an entry, after the given
// time.
func (c *memberCluster) checkRecovery(when string, index Index) {
	c.t.Helper()
	c.run(5 * time.Second)
	l := c.leader()
	switch {
	case l == nil:
		c.t.Errorf("%s: got no leader, want one", when)
	case l.commit < index:
		c.t.Errorf("%s: got commit index %d, want at least %d", when, l.commit, index)
	}
}

// sixVMs tolerate the loss of two disks.
var sixVMs = []fleet.VMID{"a1", "b1", "c1", "a2", "b2", "c2"}

// Guards against voters that are gone and still count: each replacement then leaves the
// log with fewer losses that it tolerates, until there is no leader.
func TestReplacedOneByOne(t *testing.T) {
	for _, pause := range []time.Duration{500 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
			c.checkMembers("at the start")
			running := slices.Clone(sixVMs)
			for i := range 12 {
				c.propose()
				c.lose(running[0])
				c.run(pause)
				vm := fleet.VMID(fmt.Sprint("n", i))
				running = append(running[1:], vm)
				c.start(vm, running[:3]...)
				c.run(6 * time.Second)
				c.checkMembers(fmt.Sprint("after replacement ", i))
			}
			index := c.propose()
			c.losePower(running[4], running[5])
			c.checkRecovery("after the loss of two disks", index)
		})
	}
}

// Guards against a newcomer that is not admitted because none of its seeds leads, or
// none is a member itself.
func TestSeedsWithoutLeader(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	var followers []fleet.VMID
	for _, vm := range sixVMs {
		if vm != c.leader().self.VM {
			followers = append(followers, vm)
		}
	}
	c.start("x", "gone", "y")
	c.run(time.Second)
	if c.leader().config().find("x") != nil {
		t.Fatal("got a member that no member knows")
	}
	c.start("y", followers[0])
	c.run(3 * time.Second)
	c.checkMembers("after two newcomers")
}

// Guards against a newcomer that keeps to the seeds of its start after they have been
// replaced in its settings.
func TestReplacedSeeds(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	c.start("x", "gone1", "gone2", "gone3")
	c.run(2 * time.Second)
	c.replicas["x"].SetPeers([]fleet.VMID{"a1"})
	c.run(3 * time.Second)
	c.checkMembers("after new seeds")
}

// Guards against quorums of VMs that are gone, when VMs are replaced faster than silent
// voters are usually removed. Without a change of the leader, each VM may be lost as soon
// as the one before it has been replaced.
func TestReplacedFasterThanRemoved(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	running := slices.Clone(sixVMs)
	for i := range 30 {
		if running[0] == c.leader().self.VM {
			running[0], running[1] = running[1], running[0]
		}
		vm := fleet.VMID(fmt.Sprint("n", i))
		c.lose(running[0])
		running = append(running[1:], vm)
		c.start(vm, running[1:4]...)
		c.run(time.Second)
		c.propose()
	}
	c.run(5 * time.Second)
	c.checkMembers("after 30 replacements")
}

// Guards against a log that does not bear the loss of two VMs at once, of which one may
// lead, as soon as their predecessors have been replaced.
func TestReplacedInPairs(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	running := slices.Clone(sixVMs)
	for i := range 30 {
		leader := c.leader().self.VM
		if at := slices.Index(running, leader); at > 1 && i%2 == 0 {
			running[0], running[at] = running[at], running[0]
		}
		index := c.propose()
		c.lose(running[0], running[1])
		running = running[2:]
		c.run(1600 * time.Millisecond)
		for j := range 2 {
			vm := fleet.VMID(fmt.Sprint("n", 2*i+j))
			running = append(running, vm)
			c.start(vm, running[:3]...)
		}
		c.run(6 * time.Second)
		c.checkMembers(fmt.Sprint("after pair ", i))
		if got := c.leader().commit; got < index {
			t.Errorf("commit index after pair %d: got %d, want at least %d", i, got, index)
		}
	}
}

// Guards against gone voters that are kept for RemoveAfter after a change of the leader:
// their successors vote by then, and the loss of two more VMs left four of eight voters.
// Two VMs, of which one leads, may be lost at once as soon as the leader after those
// before them has led for a little more than ElectionTimeout.
func TestLeadersReplacedInPairs(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	running := slices.Clone(sixVMs)
	for i := range 20 {
		index := c.propose()
		at := slices.Index(running, c.leader().self.VM)
		running[0], running[at] = running[at], running[0]
		c.lose(running[0], running[1])
		running = slices.Clone(running[2:])
		for j := range 2 {
			vm := fleet.VMID(fmt.Sprint("n", 2*i+j))
			running = append(running, vm)
			c.start(vm, running[:3]...)
		}
		for end := c.now.Add(5 * time.Second); c.leader() == nil && c.now.Before(end); {
			c.run(100 * time.Millisecond)
		}
		c.run(1800 * time.Millisecond)
		if l := c.leader(); l == nil || l.commit < index {
			t.Fatalf("pair %d: got no leader that holds entry %d, want one", i, index)
		}
	}
	c.run(5 * time.Second)
	c.checkMembers("after 20 pairs")
}

// Guards against a learner that alone holds an entry of a leader that lost its disk: it
// would reject each candidate that counts it as a voter already.
func TestLearnersGetCommittedEntries(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second}, "a", "b", "c")
	l := c.leader()
	c.slowDisk["x"] = 300 * time.Millisecond // so that it does not vote at once
	c.start("x", "a", "b", "c")
	for end := c.now.Add(3 * time.Second); l.progress["x"] == nil || l.progress["x"].match == 0; c.run(20 * time.Millisecond) {
		if c.now.After(end) {
			t.Fatal("x is not a member")
		}
	}
	if l.config().find("x").Voter {
		t.Fatal("x votes already")
	}
	for _, vm := range []fleet.VMID{"a", "b", "c"} {
		c.cut[vm] = vm != l.self.VM
	}
	if _, err := l.Propose([]byte("x"), c.now); err != nil {
		t.Fatal(err)
	}
	c.deliver(l.self.VM, l.Flush(c.now))
	c.run(800 * time.Millisecond)
	if l.role != roleLeader {
		t.Fatal("the leader has stepped down")
	}
	if got, want := c.replicas["x"].lastIndex(), l.commit; got > want || got == 0 {
		t.Errorf("log of the learner: got entries up to %d, want up to %d", got, want)
	}
}

// Guards against a newcomer that never votes because its disk is slow while commands are
// written all the time: with a lag of a few tenths of a second, its log never reached the
// commit index of the previous heartbeat.
func TestSlowDiskDuringWrites(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c")
	for _, vm := range []fleet.VMID{"a", "b", "c"} {
		if vm != c.leader().self.VM {
			c.lose(vm)
			break
		}
	}
	c.run(time.Second)
	c.slowDisk["x"] = 300 * time.Millisecond
	c.start("x", "a", "b", "c")
	for end := c.now.Add(repairBound); c.now.Before(end); {
		if l := c.leader(); l != nil {
			if _, err := l.Propose([]byte("x"), c.now); err != nil {
				t.Fatal(err)
			}
			c.deliver(l.self.VM, l.Flush(c.now))
		}
		c.run(20 * time.Millisecond)
	}
	c.checkMembers("after the repair")
}

// Guards against an election that starts over, a whole timeout later, because one message
// was lost. With a tolerance of one and a VM gone, both others must vote.
func TestLostVoteReply(t *testing.T) {
	for _, kind := range []MessageKind{PreVote, PreVoteReply, Vote, VoteReply} {
		c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second}, "a", "b", "c")
		c.lose(c.leader().self.VM)
		lost := map[fleet.VMID]bool{}
		c.drop = func(from fleet.VMID, m *Message) bool {
			drop := m.Kind == kind && !lost[from]
			lost[from] = lost[from] || drop
			return drop
		}
		// The longest timeout is two ElectionTimeouts.
		c.run(DefaultElectionTimeout * 5 / 2)
		if c.leader() == nil {
			t.Errorf("message kind %d lost: got no leader after %v, want one", kind, DefaultElectionTimeout*5/2)
		}
	}
}

// Guards against a promotion that makes the log depend on a newcomer: with 2F+1 voters, a
// gone one is removed only after its successor votes. If the successor is lost between the
// two changes, or before its promotion is committed, F+1 of 2F+2 voters are gone.
func TestNewcomerLostAgain(t *testing.T) {
	for _, tolerance := range []int{1, 2} {
		for _, when := range []string{"after", "during"} {
			t.Run(fmt.Sprintf("tolerance %d, %s promotion", tolerance, when), func(t *testing.T) {
				loseNewcomer(t, tolerance, when == "during")
			})
		}
	}
}

// loseNewcomer lets a log lose as many voters as it tolerates, and then the first of their
// successors. If promoting is set, the successor fails before it acknowledges its promotion.
func loseNewcomer(t *testing.T, tolerance int, promoting bool) {
	vms := sixVMs[:2*tolerance+1]
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: tolerance}, vms...)
	index := c.propose()
	l := c.leader()
	votes := func() bool { m := l.config().find("x"); return m != nil && m.Voter }
	c.drop = func(from fleet.VMID, _ *Message) bool { return promoting && from == "x" && votes() }
	lost := 0
	for _, vm := range vms {
		if vm != l.self.VM && lost < tolerance {
			c.lose(vm)
			lost++
		}
	}
	c.run(1500 * time.Millisecond)
	c.start("x", vms...)
	for end := c.now.Add(3 * time.Second); !votes(); c.run(20 * time.Millisecond) {
		if c.now.After(end) {
			t.Fatal("x does not vote")
		}
	}
	c.lose("x")
	for i := range tolerance {
		c.start(fleet.VMID(fmt.Sprint("y", i)), vms...)
	}
	c.run(repairBound - 5*time.Second)
	c.checkRecovery("after the newcomer was lost", index)
	c.checkMembers("after the newcomer was lost")
}

// Guards against a step of an admission or of a promotion that needs the newcomer: it and
// each of its successors are lost at the same moment after their start, from before the
// first message to after the last. F+1 voters run all the while, and commit each command
// at once.
func TestNewcomersLostAtAnyMoment(t *testing.T) {
	const successors = 4
	for _, tolerance := range []int{1, 2} {
		for _, rest := range []time.Duration{0, 1500 * time.Millisecond} {
			for life := time.Duration(0); life < 2500*time.Millisecond; life += 60 * time.Millisecond {
				vms := sixVMs[:2*tolerance+1]
				c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: tolerance}, vms...)
				commit := func(d time.Duration) {
					for end := c.now.Add(d); c.now.Before(end); c.run(c.interval) {
						c.propose()
					}
				}
				lost := c.followers(vms...)[:tolerance]
				c.lose(lost...)
				for i := range successors {
					commit(rest)
					vm := fleet.VMID(fmt.Sprint("x", i))
					c.start(vm, vms...)
					commit(life)
					c.lose(vm)
				}
				for i := range tolerance {
					c.start(fleet.VMID(fmt.Sprint("y", i)), vms...)
				}
				commit(repairBound - 5*time.Second)
				c.checkMembers(fmt.Sprintf("tolerance %d, lives of %v with pauses of %v", tolerance, life, rest))
				if t.Failed() {
					return
				}
			}
		}
	}
}

// Guards against the removal of a silent voter that waits for a change of learners, which
// can't be committed without the removal: both voters that run would be left without a
// leader.
func TestRemovalDoesNotWaitForLearners(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c", "d")
	l := c.leader()
	lost := c.followers("a", "b", "c", "d")
	c.lose(lost[0])
	c.run(600 * time.Millisecond)
	c.lose(lost[1])
	l.joinRequests["x"] = 1
	l.manageMembers()
	if l.configCommitted() || !l.votersCommitted() {
		t.Fatal("the admission of x is committed, want it to wait for a quorum")
	}
	c.run(3 * time.Second)
	if c.leader() == nil {
		t.Fatal("no leader")
	}
	c.propose()
}

// Guards against a joint config that is not left, and against quorums of a joint config
// without a majority of the old or of the new voters.
func TestJointConfig(t *testing.T) {
	id := func(vm fleet.VMID) Identity { return Identity{VM: vm, Incarnation: 1} }
	c := Config{Members: append(voters([]fleet.VMID{"a", "b", "c"}), Member{Identity: id("x")})}
	joint := c.withReplacement("c", id("x"))
	for _, test := range []struct {
		have []fleet.VMID
		want bool
	}{
		{[]fleet.VMID{"a", "b"}, true},
		{[]fleet.VMID{"a", "c"}, false},
		{[]fleet.VMID{"a", "x"}, false},
		{[]fleet.VMID{"c", "x"}, false},
		{[]fleet.VMID{"a", "c", "x"}, true},
	} {
		if got := joint.hasQuorum(func(id Identity) bool { return slices.Contains(test.have, id.VM) }); got != test.want {
			t.Errorf("%v: got quorum %v, want %v", test.have, got, test.want)
		}
	}
	if err := joint.Validate(); err != nil || !joint.joint() || joint.sameVoters(&joint) || len(joint.voters()) != 4 {
		t.Errorf("joint config: got %+v, %v", joint, err)
	}
	next, former := joint.withoutOutgoing()
	want := Config{Members: voters([]fleet.VMID{"a", "b", "x"})}
	if former != "c" || next.joint() || !next.sameVoters(&want) {
		t.Errorf("after the joint config: got %+v without %s, want %+v without c", next, former, want)
	}
	data, err := cbor.Marshal(&joint)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decodeConfig(data); err != nil || !slices.Equal(got.Members, joint.Members) {
		t.Errorf("decoded: got %+v, %v, want %+v", got, err, joint)
	}
}

// Guards against the removal of a voter that is only cut off instead of one that is gone:
// if the removal is not committed, the others need the vote of each voter that runs.
func TestLongestSilentVoterIsRemoved(t *testing.T) {
	for _, gone := range sixVMs {
		c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
		l := c.leader()
		if gone == l.self.VM {
			continue
		}
		c.lose(gone)
		c.run(700 * time.Millisecond)
		for _, vm := range without(c.followers(sixVMs...), gone)[:2] {
			c.cut[vm] = true
			c.run(150 * time.Millisecond)
		}
		for end := c.now.Add(3 * time.Second); l.role == roleLeader && c.now.Before(end); {
			c.run(c.interval)
		}
		clear(c.cut)
		for _, e := range eventsOf[MemberChanged](c, l.self.VM) {
			if e.Kind == MemberRemoved && e.Member.VM != gone {
				t.Errorf("%s is gone: got %s removed", gone, e.Member.VM)
			}
		}
		c.run(5 * time.Second)
		if c.leader() == nil {
			t.Fatalf("%s is gone: got no leader after the cut", gone)
		}
		c.propose()
	}
}

// Guards against a VM that has lost its disk and waits, after an election, until the
// leader no longer takes its former incarnation for active: it then counts as lost for
// longer than the time to catch up.
func TestLostDiskIsAdmittedAfterElection(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c")
	victim := c.followers("a", "b", "c")[0]
	c.losePower(victim)
	for end := c.now.Add(5 * time.Second); c.leader() == nil; c.run(c.interval) {
		if c.now.After(end) {
			t.Fatal("no leader")
		}
	}
	c.run(800 * time.Millisecond)
	if m := c.leader().config().find(victim); m == nil || m.Identity != c.replicas[victim].self || !m.Voter {
		t.Errorf("0.8 s after the election: got %+v, want the new incarnation as a voter", m)
	}
}

// Guards against a leader that leaves a joint config as the outgoing voter: the others
// might need its vote, which it would refuse them for an entry that only it holds.
func TestOutgoingLeader(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c")
	l := c.leader()
	config := l.config().withMember(Member{Identity: Identity{VM: "x", Incarnation: 1}})
	joint := config.withReplacement(l.self.VM, Identity{VM: "x", Incarnation: 1})
	data, err := cbor.Marshal(&joint)
	if err != nil {
		t.Fatal(err)
	}
	l.appendNewEntry(ConfigEntry, data)
	l.updateProgress()
	c.run(2 * time.Second)
	if got := c.leader(); got == nil || got.self == l.self {
		t.Fatalf("leader: got %+v, want another one", got)
	}
	c.run(5 * time.Second)
	if l := c.leader(); l.config().joint() || l.config().find("x") != nil && l.config().find("x").Outgoing {
		t.Errorf("members: got %+v, want no joint config", l.Members())
	}
	c.propose()
}

// Guards against the removal of voters that are only cut off: they are needed when
// others lose their disks during the cut.
func TestDisksLostDuringCut(t *testing.T) {
	for i := range sixVMs {
		for j := range i {
			c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
			for _, vm := range []fleet.VMID{sixVMs[i], sixVMs[j]} {
				c.cut[vm] = true
			}
			c.run(10 * time.Second)
			index := c.propose()
			var lost []fleet.VMID
			for _, vm := range sixVMs {
				if !c.cut[vm] {
					lost = append(lost, vm)
				}
			}
			c.losePower(lost[:2]...)
			clear(c.cut)
			c.checkRecovery(fmt.Sprintf("%s and %s cut off, %v lost", sixVMs[i], sixVMs[j], lost[:2]), index)
			c.run(5 * time.Second)
			c.checkMembers(fmt.Sprintf("%s and %s cut off, %v lost", sixVMs[i], sixVMs[j], lost[:2]))
		}
	}
}

// Guards against a VM that is never admitted again because it had an incarnation from a
// clock that was ahead, and lost its disk after the clock was set back.
func TestClockAheadBeforeDiskLost(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c")
	index := c.propose()
	for _, offset := range []time.Duration{40 * time.Minute, 0} {
		c.lose("a")
		now := c.now
		c.now = now.Add(offset)
		c.start("a", "b", "c")
		c.now = now
		// The clock of the replica must not go back with the wall clock.
		c.replicas["a"].lastCall = now
		c.run(6 * time.Second)
		c.checkMembers(fmt.Sprint("clock ahead by ", offset))
	}
	c.losePower("b")
	c.checkRecovery("after the loss of another disk", index)
}

// Guards against elections that take a multiple of their time where the processor runs
// the replicas at long intervals only.
func TestElectionOnSlowProcessors(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	c.interval = 100 * time.Millisecond
	for i := range sixVMs {
		index := c.propose()
		c.losePower(sixVMs[i], sixVMs[(i+1)%len(sixVMs)])
		c.checkRecovery(fmt.Sprint("loss of power ", i), index)
		c.run(5 * time.Second)
		c.checkMembers(fmt.Sprint("loss of power ", i))
	}
}

// Guards against a learner that names a leader of which it has not heard for long: its
// hub would take its state for current.
func TestLearnerWithoutLeader(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	c.slowDisk["x"] = 300 * time.Millisecond // so that it does not vote at once
	c.start("x", "a1")
	for c.replicas["x"].Leader() == "" {
		c.run(20 * time.Millisecond)
	}
	if got := c.replicas["x"].Role(); got != "Learner" {
		t.Fatalf("role: got %s, want Learner", got)
	}
	c.cut["x"] = true
	delete(c.slowDisk, "x")
	c.run(2 * time.Second)
	if got := c.replicas["x"].Leader(); got != "" {
		t.Errorf("leader of a learner that is cut off: got %s, want none", got)
	}
	c.cut["x"] = false
	c.run(3 * time.Second)
	c.checkMembers("after the cut")
}

// Guards against the replacement of a voter by an incarnation that has ended, whose
// request arrives late: the voter is needed when another VM loses its disk.
func TestLateJoin(t *testing.T) {
	for _, test := range []struct {
		name string
		// clock is the offset of the clock at the start of the former incarnation.
		clock time.Duration
		cut   bool
	}{
		{"lower incarnation, voter cut off", 0, true},
		{"higher incarnation, voter cut off", 10 * time.Second, true},
		{"higher incarnation, voter runs", 10 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c")
			victim := c.followers("a", "b", "c")[0]
			var former fleet.Incarnation
			for _, offset := range []time.Duration{test.clock, 0} {
				c.lose(victim)
				now := c.now
				c.now = now.Add(offset)
				c.start(victim, "a", "b", "c")
				c.now = now
				c.replicas[victim].lastCall = now
				if former == 0 {
					former = c.replicas[victim].self.Incarnation
				}
				c.run(6 * time.Second)
				c.checkMembers("after the loss of a disk")
			}
			index := c.propose()
			c.cut[victim] = test.cut
			c.run(3500 * time.Millisecond)
			l := c.leader()
			for range 3 {
				c.deliver(l.self.VM, l.Handle(victim, Message{Kind: Join, From: former}, c.now))
				c.run(200 * time.Millisecond)
			}
			other := without([]fleet.VMID{"a", "b", "c"}, victim, l.self.VM)[0]
			c.losePower(other)
			clear(c.cut)
			c.checkRecovery("after the loss of another disk", index)
		})
	}
}

// Guards against gone voters that are kept for a tolerance that the number of VMs does
// not allow, until they are half of the log.
func TestToleranceAboveSize(t *testing.T) {
	for _, test := range []struct{ vms, tolerance int }{{3, 2}, {4, 2}, {5, 3}} {
		t.Run(fmt.Sprint(test.vms, " VMs, tolerance ", test.tolerance), func(t *testing.T) {
			running := slices.Clone(sixVMs[:test.vms])
			c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: test.tolerance}, running...)
			for i := range 12 {
				vm := fleet.VMID(fmt.Sprint("n", i))
				c.lose(running[0])
				c.run(1600 * time.Millisecond)
				running = append(running[1:], vm)
				c.start(vm, running[:3]...)
				c.run(10 * time.Second)
				if c.leader() == nil {
					t.Fatalf("after replacement %d: no leader", i)
				}
				if got, most := len(c.leader().config().voters()), test.vms+1; got > most {
					t.Errorf("after replacement %d: got %d voters, want at most %d", i, got, most)
				}
			}
		})
	}
}

// Guards against a newcomer that takes itself for caught up as soon as it knows a leader:
// its hub would confirm older state.
func TestNewcomerIsNotCaughtUp(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1, SnapshotEvery: 20, KeepEntries: 5}, "a", "b", "c")
	var index Index
	for range 60 {
		index = c.propose()
	}
	c.slowDisk["x"] = 200 * time.Millisecond
	c.start("x", "a")
	x, early := c.replicas["x"], false
	for !x.CaughtUp() {
		early = early || x.Leader() != ""
		c.run(20 * time.Millisecond)
	}
	if !early {
		t.Error("the newcomer had its log before it knew a leader, want the other order")
	}
	if x.applied < index {
		t.Errorf("caught up with %d applied, want at least %d", x.applied, index)
	}
}

// Guards against requests and numbers that go back and forth without end, after a request
// was delivered twice.
func TestRepeatedJoin(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c")
	l := c.leader()
	vm := c.followers("a", "b", "c")[0]
	c.lose(vm)
	c.run(1100 * time.Millisecond)
	join := Message{Kind: Join, From: fleet.Incarnation(c.now.UnixNano())}
	newcomer := Identity{VM: vm, Incarnation: join.From}
	numbers := 0
	var pending []Message
	take := func(out Output) {
		for _, e := range out.Envelopes {
			if e.To == vm && e.Message.Kind == JoinReply && e.Message.Round != 0 {
				pending = append(pending, e.Message)
			}
		}
	}
	take(l.Handle(vm, join, c.now))
	take(l.Handle(vm, join, c.now))
	for len(pending) > 0 && numbers < 10 {
		m := pending[0]
		pending = pending[1:]
		numbers++
		take(l.Handle(vm, Message{Kind: Join, From: newcomer.Incarnation, Position: m.Position, Round: m.Round}, c.now))
	}
	if numbers != 2 {
		t.Errorf("numbers sent after two requests: got %d, want 2", numbers)
	}
	if got := l.joinRequests[vm]; got != newcomer.Incarnation {
		t.Errorf("recorded request: got incarnation %d, want %d", got, newcomer.Incarnation)
	}
}
