package cluster

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/membership"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// benchZones is the number of zones that the design supports.
	benchZones        = 16
	updatesPerMessage = 32
)

// newPopulatedCluster returns a Cluster whose member table holds perZone VMs in
// each of benchZones zones.
func newPopulatedCluster(b *testing.B, perZone int, now time.Time) *Cluster {
	c := New()
	c.Self = vmAt(0, 0)
	c.Zone, c.Incarnation = zoneAt(0), 1
	c.Recorder, c.Log = timeline.Discard{}, zap.NewNop()
	for z := 1; z < benchZones; z++ {
		c.RemoteZones = append(c.RemoteZones, membership.RemoteZone{ID: zoneAt(z), Seeds: []fleet.VM{vmAt(z, 0)}})
	}
	c.initMachines(now)
	c.apply = func(entry.Update) {}
	alive := chart.MustLoad(chart.EntryVM).MustState("Alive")
	from := vmAt(0, 1)
	for z := range benchZones {
		msg := membership.Message{Kind: membership.JoinReply, Zone: zoneAt(z), Incarnation: 1, Parts: 1}
		for i := range perZone {
			vm := vmAt(z, i)
			if vm.ID != c.Self.ID {
				msg.Updates = append(msg.Updates, membership.Update{ID: vm.ID, Zone: zoneAt(z), Control: vm.Control, Data: vm.Data, Incarnation: 1, State: alive})
			}
			if len(msg.Updates) == updatesPerMessage || i == perZone-1 {
				c.members.Handle(from.ID, msg, now)
				msg.Updates = nil
			}
		}
	}
	known := 0
	for _, z := range c.members.Zones(now) {
		known += len(z.Members)
	}
	if got, want := known+len(c.members.Members(now)), benchZones*perZone; got != want {
		b.Fatalf("got %d VMs, want %d", got, want)
	}
	return c
}

func zoneAt(z int) fleet.ZoneID { return fleet.ZoneID(fmt.Sprintf("zone-%02d", z)) }

func vmAt(z, i int) fleet.VM {
	address := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i >> 8), byte(i)}), port)
	}
	return fleet.VM{ID: fleet.VMID(fmt.Sprintf("zone-%02d-%03d", z, i)), Control: address(1), Data: address(2), HTTP: address(3)}
}

// BenchmarkSurvey measures the time of one call of Cluster.refresh, and the heap
// memory of a Cluster with a populated member table. Cluster.refresh is called
// once a second and after each change of the member table, the view or the
// settings.
func BenchmarkSurvey(b *testing.B) {
	for _, perZone := range []int{20, 60, 180} {
		b.Run(fmt.Sprintf("VMs=%d", benchZones*perZone), func(b *testing.B) {
			now := time.Unix(1000, 0)
			before := heapBytes()
			c := newPopulatedCluster(b, perZone, now)
			tableBytes := heapBytes() - before
			for b.Loop() {
				now = now.Add(refreshInterval)
				c.refresh(now)
			}
			b.ReportMetric(float64(tableBytes)/1e6, "MB-held")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)/refreshInterval.Seconds()*100, "%core-idle")
			runtime.KeepAlive(c)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
