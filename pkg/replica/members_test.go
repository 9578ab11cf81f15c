package replica

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// memberCluster runs replicas that are replaced at new addresses, without delays and in
// one goroutine.
type memberCluster struct {
	t        *testing.T
	now      time.Time
	opts     Options
	disks    map[fleet.VMID]*disk
	replicas map[fleet.VMID]*Replica // those that run
}

// newMemberCluster starts a log with three initial members, and admits the other VMs.
func newMemberCluster(t *testing.T, opts Options, vms ...fleet.VMID) *memberCluster {
	c := &memberCluster{
		t: t, now: time.Unix(1e9, 0), opts: opts, disks: map[fleet.VMID]*disk{}, replicas: map[fleet.VMID]*Replica{},
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

func (c *memberCluster) deliver(from fleet.VMID, out Output) {
	if out.Err != nil {
		c.t.Fatalf("%s stopped: %v", from, out.Err)
	}
	for _, e := range out.Envelopes {
		if r := c.replicas[e.To]; r != nil {
			c.deliver(e.To, r.Handle(from, e.Message, c.now))
		}
	}
}

// run advances the time in steps of one tick.
func (c *memberCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		for _, vm := range slices.Sorted(maps.Keys(c.replicas)) {
			if r := c.replicas[vm]; r != nil {
				c.deliver(vm, r.Tick(c.now))
			}
		}
	}
}

// leader returns the leader of the newest term, or nil.
func (c *memberCluster) leader() *Replica {
	var newest *Replica
	for _, vm := range slices.Sorted(maps.Keys(c.replicas)) {
		if r := c.replicas[vm]; r.role == roleLeader && (newest == nil || r.hard.Term > newest.hard.Term) {
			newest = r
		}
	}
	return newest
}

// checkMembers reports voters that do not run, and running replicas that do not vote.
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
}

// sixVMs tolerate the loss of two disks.
var sixVMs = []fleet.VMID{"a1", "b1", "c1", "a2", "b2", "c2"}

// Guards against a newcomer that is not admitted because none of its seeds leads, or
// none is a member itself.
func TestSeedsWithoutLeader(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second}, sixVMs...)
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
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second}, sixVMs...)
	c.start("x", "gone1", "gone2", "gone3")
	c.run(2 * time.Second)
	c.replicas["x"].SetPeers([]fleet.VMID{"a1"})
	c.run(3 * time.Second)
	c.checkMembers("after new seeds")
}
