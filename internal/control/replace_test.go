package control_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

// replace stops a control VM for good, and starts one with an empty disk, the given ID and
// new addresses in its place. Then it restarts the others, one by one, with settings that
// name the new one.
func (f *testFleet) replace(i int, id string) {
	f.t.Helper()
	f.stop(i)
	if err := os.RemoveAll(f.daemonSettings[i].Data); err != nil {
		f.t.Fatal(err)
	}
	sockets := openSockets(f.t)
	replicas := slices.Clone(f.daemonSettings[i].Replicas)
	replicas[i].Replication, replicas[i].HTTP = addressOf(sockets.Replication), addressOf(sockets.HTTP)
	if id != "" {
		replicas[i].ID = fleet.VMID(id)
	}
	for n, old := range f.daemonSettings {
		s := *old
		s.Replicas = replicas
		if n == i {
			s.ID, s.HTTP, s.Control = replicas[i].ID, replicas[i].HTTP, addressOf(sockets.PullListener)
		}
		f.daemonSettings[n] = &s
	}
	f.start(i, sockets, false)
	for n := range f.daemonSettings {
		if n == i {
			continue
		}
		f.stop(n)
		sockets, err := control.Open(f.daemonSettings[n])
		if err != nil {
			f.t.Fatal(err)
		}
		f.start(n, sockets, false)
		f.waitForRevision(n, 1)
	}
}

// Guards against a control VM that does not become a voter again after it has been
// replaced by one with the same ID, an empty disk and other addresses: the next loss
// would then stop all writes.
func TestReplacedWithSameID(t *testing.T) {
	f := newFleet(t, 3)
	put(t, f.client(), "Monza")
	for i := range 3 {
		f.replace(i, "")
		f.waitForRevision(i, put(t, f.client(), fmt.Sprintf("Z%d", i)))
	}
	f.stop(0)
	put(t, f.client(), "Lecco")
}

// Guards against a VM that becomes a member of the log because it asks for admission:
// only an operator may admit one. There is no interface for it yet (docs/OPERATIONS.md),
// so the fleet goes on with the two other replicas.
func TestReplacedWithOtherID(t *testing.T) {
	f := newFleet(t, 3)
	put(t, f.client(), "Monza")
	f.replace(1, "control-x")
	last := put(t, f.client(), "Lecco")
	time.Sleep(5 * time.Second)
	f.waitForRevision(0, last)
	f.waitForRevision(2, last)
	if got := f.status(1); got.Role != "Learner" || got.Revision != 0 || got.Applied != 0 {
		t.Errorf("control VM with another ID: got %+v, want a learner without a copy of the log", got)
	}
}

// Guards against entry VMs that can't pull the settings, and against writes that are
// acknowledged, while no control VM leads.
func TestWithoutLeader(t *testing.T) {
	f := newFleet(t, 3)
	want := put(t, f.client(), "Monza")
	for i := range 3 {
		f.waitForRevision(i, want)
	}
	f.stop(1)
	f.stop(2)
	c := f.client()
	c.Timeout = 3 * time.Second
	if _, err := c.Put(context.Background(), "/Zones/Lecco", 0, zoneText); err == nil {
		t.Error("write without a leader: got no error, want one")
	}
	store := settings.NewStore()
	_, answer, err := peer.Pull(context.Background(), "entry", f.daemonSettings[0].Control, spread.Message{Pull: &spread.Pull{}})
	if err != nil || answer.Push == nil {
		t.Fatalf("pull without a leader: got %+v, %v, want a delta", answer, err)
	}
	if _, err := store.Apply(&answer.Push.Delta); err != nil || store.Revision() != want {
		t.Errorf("pulled revision: got %d, %v, want %d", store.Revision(), err, want)
	}
}
