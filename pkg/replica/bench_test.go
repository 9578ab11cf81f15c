package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// blobMachine is a state machine whose state is a byte slice that commands do
// not change.
type blobMachine []byte

func (b *blobMachine) Apply(Index, []byte, time.Time) []byte { return nil }
func (b *blobMachine) Snapshot() ([]byte, error)             { return *b, nil }
func (b *blobMachine) Restore(data []byte) error             { *b = append(*b, data...); return nil }

// BenchmarkPropose measures the proposals per second of three replicas on real
// files in one goroutine, for several numbers of proposals per sync.
func BenchmarkPropose(b *testing.B) {
	for _, group := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("Group=", group), func(b *testing.B) {
			now, replicas, members := time.Now(), map[fleet.VMID]*Replica{}, voters(vmNames[:3])
			for _, m := range members {
				replicas[m.VM] = open(b, m.Identity, members, DirFS(b.TempDir()), &blobMachine{}, now)
			}
			done := 0
			var deliver func(from fleet.VMID, out Output)
			deliver = func(from fleet.VMID, out Output) {
				done += len(out.Results)
				for _, e := range out.Envelopes {
					deliver(e.To, replicas[e.To].Handle(from, e.Message, now))
				}
			}
			for replicas["a"].Leader() == "" {
				now = now.Add(20 * time.Millisecond)
				for _, m := range members {
					deliver(m.VM, replicas[m.VM].Tick(now))
				}
			}
			leader := replicas[replicas["a"].Leader()]
			command := make([]byte, 300)
			b.ResetTimer()
			for i := 0; i < b.N; i += group {
				for range min(group, b.N-i) {
					if _, err := leader.Propose(command, now); err != nil {
						b.Fatal(err)
					}
				}
				deliver(leader.self.VM, leader.Flush(now))
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			if done != b.N {
				b.Errorf("results: got %d, want %d", done, b.N)
			}
		})
	}
}

// BenchmarkRestart measures Open after 1,000 commands, each synced separately.
func BenchmarkRestart(b *testing.B) {
	fs, now, sim := DirFS(b.TempDir()), time.Now(), &simulation{hashes: map[Index]uint64{}}
	proposeMany(b, startSingle(b, fs, &appendMachine{sim: sim}, &now), 1000, now)
	for b.Loop() {
		if _, err := Open(Options{Self: "a", FS: fs, StateMachine: &appendMachine{sim: sim}, Rand: rand.New(rand.NewPCG(1, 1))}, now); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot measures a snapshot, with the new log segment that follows
// it, for several state sizes.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []int{64 << 10, 1 << 20, 16 << 20} {
		b.Run(fmt.Sprintf("KiB=%d", size>>10), func(b *testing.B) {
			now, m := time.Now(), make(blobMachine, size)
			r := startSingle(b, DirFS(b.TempDir()), &m, &now)
			b.SetBytes(int64(size))
			for b.Loop() {
				if err := r.takeSnapshot(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
