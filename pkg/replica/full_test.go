package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// fullTime is the time for which a disk is full, and reopenTime the time after which
	// a replica that has stopped is opened again.
	fullTime   = 3 * time.Second
	reopenTime = 500 * time.Millisecond
)

type (
	// fullDisk is a disk that refuses writes from one operation on, until room is made.
	// A write that fails may have written a part.
	fullDisk struct {
		*disk
		// all is set if syncs, renames and removals fail as well.
		all bool
		// left is the number of operations until the disk is full, negative for never.
		left int
		full bool
	}

	fullFile struct {
		File
		d *fullDisk
	}
)

// step counts an operation and returns an error if it fails.
func (d *fullDisk) step(write bool) error {
	if d.left == 0 {
		d.full = true
	}
	if d.left >= 0 {
		d.left--
	}
	if d.full && (write || d.all) {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fullDisk) Create(name string) (File, error) {
	if err := d.step(true); err != nil {
		return nil, err
	}
	f, err := d.disk.Create(name)
	return &fullFile{f, d}, err
}

func (d *fullDisk) Rename(from, to string) error {
	if err := d.step(false); err != nil {
		return err
	}
	return d.disk.Rename(from, to)
}

func (d *fullDisk) Remove(name string) error {
	if err := d.step(false); err != nil {
		return err
	}
	return d.disk.Remove(name)
}

func (d *fullDisk) SyncDir() error {
	if err := d.step(false); err != nil {
		return err
	}
	return d.disk.SyncDir()
}

func (f *fullFile) Write(p []byte) (int, error) {
	if err := f.d.step(true); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *fullFile) Sync() error {
	if err := f.d.step(false); err != nil {
		return err
	}
	return f.File.Sync()
}

// fullCluster runs three replicas whose disks are full in turn.
type fullCluster struct {
	t        *testing.T
	name     string
	now      time.Time
	sim      *simulation
	disks    map[fleet.VMID]*fullDisk
	replicas map[fleet.VMID]*Replica // nil while the replica is down
	machines map[fleet.VMID]*appendMachine
	reopenAt map[fleet.VMID]time.Time
	crash    bool
	quiet    bool // no commands are proposed
	proposed int
	acked    map[string]bool
	lastAck  time.Time
	worst    time.Duration
}

func newFullCluster(t *testing.T, name string, all, crash bool) *fullCluster {
	c := &fullCluster{
		t: t, name: name, now: time.Unix(1e9, 0), sim: &simulation{t: t, hashes: map[Index]uint64{}}, crash: crash,
		disks: map[fleet.VMID]*fullDisk{}, replicas: map[fleet.VMID]*Replica{}, machines: map[fleet.VMID]*appendMachine{},
		reopenAt: map[fleet.VMID]time.Time{}, acked: map[string]bool{},
	}
	for _, vm := range vmNames[:3] {
		c.disks[vm] = &fullDisk{disk: newDisk(rand.New(rand.NewPCG(1, 1))), all: all, left: -1}
		if err := Bootstrap(c.disks[vm], Identity{vm, 1}, voters(vmNames[:3])); err != nil {
			t.Fatal(err)
		}
		c.open(vm)
	}
	return c
}

// open opens a replica. Only a full disk may prevent that.
func (c *fullCluster) open(vm fleet.VMID) {
	m := &appendMachine{sim: c.sim}
	m.Restore(nil)
	r, err := Open(Options{
		Self: vm, FS: c.disks[vm], StateMachine: m, Rand: rand.New(rand.NewPCG(1, uint64(vm[0]))), SnapshotEvery: 10, KeepEntries: 5,
		Peers: vmNames[:3], AutoAdmit: true, RemoveAfter: 3 * time.Second, QuorumReads: true, Incarnation: fleet.Incarnation(c.now.UnixNano()),
	}, c.now)
	c.replicas[vm], c.machines[vm] = r, m
	var de *DiskError
	if err != nil && !(errors.As(err, &de) && c.disks[vm].full) {
		c.t.Fatalf("%s: open %s: got %v", c.name, vm, err)
	}
	if err != nil {
		c.fail(vm)
	}
}

func (c *fullCluster) fail(vm fleet.VMID) {
	c.replicas[vm] = nil
	c.reopenAt[vm] = c.now.Add(reopenTime)
	if c.crash {
		c.disks[vm].crash()
	}
}

func (c *fullCluster) handle(vm fleet.VMID, out Output) {
	for _, res := range out.Results {
		if res.Err == nil {
			c.acked[string(res.Value)] = true
			c.worst = max(c.worst, c.now.Sub(c.lastAck))
			c.lastAck = c.now
		}
	}
	if out.Err != nil {
		if !c.disks[vm].full {
			c.t.Fatalf("%s: %s stopped although its disk has room: %v", c.name, vm, out.Err)
		}
		c.fail(vm)
		return
	}
	for _, e := range out.Envelopes {
		if r := c.replicas[e.To]; r != nil {
			c.handle(e.To, r.Handle(vm, e.Message, c.now))
		}
	}
}

func (c *fullCluster) leader() *Replica {
	for _, vm := range vmNames[:3] {
		if r := c.replicas[vm]; r != nil && r.Role() == "Leader" {
			return r
		}
	}
	return nil
}

// run proposes a command in each tick for a time.
func (c *fullCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		for _, vm := range vmNames[:3] {
			if r := c.replicas[vm]; r != nil {
				c.handle(vm, r.Tick(c.now))
			} else if !c.now.Before(c.reopenAt[vm]) {
				c.open(vm)
			}
		}
		r := c.leader()
		if r == nil || c.quiet {
			continue
		}
		c.proposed++
		value := fmt.Sprintf("%d,", c.proposed)
		data, _ := json.Marshal(command{ID: c.proposed, Key: value, Value: value})
		if _, err := r.Propose(data, c.now); err == nil {
			c.handle(r.self.VM, r.Flush(c.now))
		}
	}
}

// Guards against a failed write, sync, rename or removal at any point after which a replica
// does not go on by itself, loses what it has acknowledged, or stops the others, when the
// disks of all replicas are full in turn.
func TestFullDisks(t *testing.T) {
	points := 40
	if testing.Short() {
		points = 10
	}
	for _, all := range []bool{false, true} {
		for _, crash := range []bool{false, true} {
			for n := range points {
				c := newFullCluster(t, fmt.Sprintf("point %d, all operations %v, crash %v", n, all, crash), all, crash)
				c.run(3 * time.Second)
				c.worst, c.lastAck = 0, c.now
				for _, vm := range vmNames[:3] {
					d := c.disks[vm]
					d.left = n
					c.run(fullTime)
					d.left, d.full = -1, false
					c.run(2 * time.Second)
				}
				c.run(time.Second)
				if c.worst > 3500*time.Millisecond || c.now.Sub(c.lastAck) > time.Second {
					t.Errorf("%s: longest time without an acknowledgement: got %v, and %v at the end", c.name, c.worst, c.now.Sub(c.lastAck))
				}
				c.quiet = true
				c.run(time.Second)
				for _, vm := range vmNames[:3] {
					r, m := c.replicas[vm], c.machines[vm]
					if r == nil || r.Role() == "Learner" || r.Stats().Applied != c.leader().Stats().Applied {
						t.Errorf("%s: %s is not a current voter at the end", c.name, vm)
						continue
					}
					for value := range c.acked {
						if m.Data[value] != value {
							t.Fatalf("%s: %s has lost %s, which was acknowledged", c.name, vm, value)
						}
					}
				}
			}
		}
	}
}

// Guards against a Bootstrap that fails at any point, is not repeated because the process
// restarts, and leaves a directory with which the replica never starts.
func TestFullDiskAtBootstrap(t *testing.T) {
	for _, crash := range []bool{false, true} {
		for n := range 20 {
			d := &fullDisk{disk: newDisk(rand.New(rand.NewPCG(uint64(n), 1))), all: true, left: n}
			err := Bootstrap(d, Identity{"a", 1}, voters(vmNames[:3]))
			if err == nil {
				break
			}
			if crash {
				d.crash()
			}
			d.left, d.full = -1, false
			m := &appendMachine{sim: &simulation{t: t, hashes: map[Index]uint64{}}}
			r, err := Open(Options{Self: "a", Incarnation: 7, FS: d, StateMachine: m, Rand: rand.New(rand.NewPCG(1, 1))}, time.Unix(1e9, 0))
			if err != nil {
				t.Errorf("point %d, crash %v: open: got %v, want no error", n, crash, err)
				continue
			}
			// A directory with a log belongs to the initial member, any other one to a new
			// incarnation.
			if want := "Follower"; r.self.Incarnation == 1 && r.Role() != want || r.self.Incarnation == 7 && r.Role() != "Learner" {
				t.Errorf("point %d, crash %v: got role %s of incarnation %d", n, crash, r.Role(), r.self.Incarnation)
			}
		}
	}
}
