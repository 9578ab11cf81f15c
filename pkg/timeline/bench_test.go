package timeline

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRecord measures the time to record one event and the memory that a
// full ring uses.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1024, 4096, DefaultCapacity} {
		b.Run(fmt.Sprintf("Events=%d", n), func(b *testing.B) {
			before := heapBytes()
			r := NewRing("monza-1")
			r.Capacity = n
			record := func(i int) {
				r.Record(Event{Kind: KindRefuse, Name: "Refused", Flow: fmt.Sprintf("tcp 10.0.0.1:%d->198.18.0.10:443", i), Cause: "NoSlot"}, startTime)
			}
			for i := range n {
				record(i)
			}
			held := heapBytes() - before
			i := 0
			for b.Loop() {
				record(i)
				i++
			}
			b.ReportMetric(float64(held)/1e6, "MB-held")
			runtime.KeepAlive(r)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
