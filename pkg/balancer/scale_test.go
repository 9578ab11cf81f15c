package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// zoneView returns the view of a zone with the given numbers of members,
// targets and listeners, with ten targets per service.
func zoneView(b *testing.B, epoch fleet.Epoch, vms, targets, listeners int) *fleet.View {
	v := &fleet.View{Zone: "zone0", Self: "vm-000", Epoch: epoch, Sealed: true}
	for i := range vms {
		v.Members = append(v.Members, fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm-%03d", i))})
	}
	services := max(targets/10, 1)
	name := func(i int) fleet.ServiceID { return fleet.ServiceID(fmt.Sprintf("Team%d/Counter", i%services)) }
	// Each epoch omits a different target, so that the candidates differ
	// between epochs.
	for i := range targets {
		if i == int(epoch)%targets {
			continue
		}
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
		v.Targets = append(v.Targets, fleet.Target{
			ID:   fleet.TargetID{Service: name(i), Address: addr, Incarnation: 1},
			Zone: "zone0", Slots: 3, ConnectionLimit: 4500, State: fleet.TargetReady,
		})
	}
	zone := fleet.Zone{ID: "zone0", Weight: 1, State: fleet.ZoneIn, Reachable: true, Members: v.Members}
	for i := range services {
		zone.Services = append(zone.Services, name(i))
	}
	v.Zones = []fleet.Zone{zone}
	for i := range listeners {
		l := orders
		l.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		l.Service = name(i)
		v.Listeners = append(v.Listeners, l)
	}
	if err := v.Freeze(); err != nil {
		b.Fatal(err)
	}
	return v
}

// BenchmarkSetView measures the time of one call of SetView, and the memory of a
// Balancer whose history holds maxPastViews views. The zones of the three cases
// have about a sixteenth of the design scale, a quarter of it, and the design
// scale itself.
func BenchmarkSetView(b *testing.B) {
	for _, size := range []struct{ vms, targets, listeners int }{{11, 90, 270}, {45, 360, 1075}, {181, 1438, 4300}} {
		b.Run(fmt.Sprintf("VMs=%d/Targets=%d/Listeners=%d", size.vms, size.targets, size.listeners), func(b *testing.B) {
			now := time.Unix(1000, 0)
			before := heapBytes()
			core := New(Config{Self: "vm-000", NewLimiter: newSlotLimiter, MaxFlows: 1024})
			core.SetLease(now.Add(24 * time.Hour))
			epoch := fleet.Epoch(0)
			next := func() *fleet.View {
				epoch++
				return zoneView(b, epoch, size.vms, size.targets, size.listeners)
			}
			for range maxPastViews + 1 {
				core.SetView(next(), now)
				core.Tick(now, nil)
			}
			heldBytes := heapBytes() - before
			for b.Loop() {
				b.StopTimer()
				v := next()
				b.StartTimer()
				core.SetView(v, now)
			}
			b.ReportMetric(float64(heldBytes)/1e6, "MB-held")
			runtime.KeepAlive(core)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
