package settings

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// listenerCounts are the numbers of listeners in the benchmarks. The settings
// are designed for 4,300 listeners.
var listenerCounts = []int{500, 1500, 4300}

// largeMachine returns a state machine with the given number of listeners, and
// with one service for every 20 listeners.
func largeMachine(b *testing.B, listeners int) *StateMachine {
	tw := newTestWriter()
	tw.put(b, "/Zones/Monza", 0, zoneText)
	for i := range listeners {
		tw.now = tw.now.Add(time.Second)
		team := fmt.Sprintf("T%d", i/20)
		if i%20 == 0 {
			tw.put(b, Path("/Teams/"+team+"/Services/Counter"), 0, serviceText)
		}
		text := fmt.Sprintf("Address = \"10.%d.%d.1:443\"\nProtocol = \"tcp\"\nService = \"Counter\"\nKind = \"Order\"\nAnswers = \"Direct\"\n", i/250, i%250)
		tw.put(b, Path(fmt.Sprintf("/Teams/%s/Listeners/L%d", team, i)), 0, text)
	}
	return tw.m
}

// BenchmarkWrite measures the time of one accepted write.
func BenchmarkWrite(b *testing.B) {
	for _, n := range listenerCounts {
		b.Run(fmt.Sprintf("Listeners=%d", n), func(b *testing.B) {
			m := largeMachine(b, n)
			now := start.Add(48 * time.Hour)
			d, err := m.Get("/Zones/Monza")
			if err != nil {
				b.Fatal(err)
			}
			revision, i := d.Revision, uint64(0)
			for b.Loop() {
				now = now.Add(time.Second)
				i++
				w := Write{Operation: NewOperationID(now, i), Path: d.Path, Expect: revision, Text: d.Text, Root: true}
				r, err := DecodeResult(m.Apply(w.Encode(), now))
				if err != nil || r.Err() != nil {
					b.Fatal(err, r.Err())
				}
				revision = r.Revision
			}
		})
	}
}

// BenchmarkStoreApply measures the time in which a Store applies a delta with
// one document. It also measures the size of all documents in memory and as an
// encoded full delta.
func BenchmarkStoreApply(b *testing.B) {
	for _, n := range listenerCounts {
		b.Run(fmt.Sprintf("Listeners=%d", n), func(b *testing.B) {
			m := largeMachine(b, n)
			full := m.Delta(0)
			before := heapBytes()
			s := NewStore()
			if _, err := s.Apply(full); err != nil {
				b.Fatal(err)
			}
			heapUsed := heapBytes() - before
			d, err := m.Get("/Zones/Monza")
			if err != nil {
				b.Fatal(err)
			}
			revision, digest := m.Revision(), m.Digest()
			for b.Loop() {
				revision++
				digest -= d.digest()
				d.Revision = revision
				digest += d.digest()
				if _, err := s.Apply(&Delta{From: revision - 1, To: revision, Documents: []Document{d}, Digest: digest}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapUsed)/1e6, "MB-held")
			b.ReportMetric(float64(len(full.Encode()))/1e6, "MB-full-delta")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkSnapshot measures the size of a replica's snapshot, and the time to
// take and to restore it.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range listenerCounts {
		b.Run(fmt.Sprintf("Listeners=%d", n), func(b *testing.B) {
			m := largeMachine(b, n)
			var snap []byte
			for b.Loop() {
				var err error
				if snap, err = m.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(snap))/1e6, "MB-snapshot")
			restoreStart := time.Now()
			if err := NewStateMachine().Restore(snap); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(time.Since(restoreStart).Milliseconds()), "ms-restore")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
