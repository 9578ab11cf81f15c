package control_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a control VM that ends when its disk is full, or does not take part any
// more once there is room, so that writes stay unanswered when the disks of the others are
// full in turn.
func TestFullDisksInTurn(t *testing.T) {
	f := newFleet(t, 3)
	c := f.client()
	n := 0
	for round := range 2 {
		for i := range f.disks {
			refused := f.disks[i].Refused()
			f.disks[i].SetFull(true)
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				n++
				started := time.Now()
				put(t, c, fmt.Sprintf("Zone-%d", n))
				if d := time.Since(started); d > 5*time.Second {
					t.Errorf("round %d, disk %d full: write %d was acknowledged after %v", round, i, n, d)
				}
			}
			if f.disks[i].Refused() == refused {
				t.Errorf("round %d: the disk of control VM %d has refused nothing", round, i)
			}
			f.disks[i].SetFull(false)
			f.waitForRole(i)
		}
	}
}

// waitForRole waits until a control VM follows or leads.
func (f *testFleet) waitForRole(i int) {
	f.t.Helper()
	role := ""
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if role = f.status(i).Role; role == "Follower" || role == "Leader" {
			return
		}
	}
	f.t.Fatalf("control VM %d: got role %s after 10 s, want Follower or Leader", i, role)
}
