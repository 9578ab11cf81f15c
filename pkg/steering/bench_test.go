package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// BenchmarkOpen measures the decisions about the opening packet and the last
// packet of a flow, for different numbers of targets of the service.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{15, 120, 1440, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := New("z0", rand.New(rand.NewPCG(1, 1)))
			var records []registry.Record
			for id := range n {
				rec := target(fleet.Incarnation(id+1), "counter", "z0")
				rec.Target.ID.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 8080)
				records = append(records, rec)
			}
			c.SetView(NewView(testCatalog(), records, 1, start))
			f := flowOf(1)
			for b.Loop() {
				d := c.Decide(&Packet{Flow: f, Opening: true}, start)
				c.Decide(&Packet{Flow: f, Cookie: d.Target.Cookie, End: true}, start)
				delete(c.flows, f)
			}
		})
	}
}

// BenchmarkForward measures the decision about a packet of an open flow.
func BenchmarkForward(b *testing.B) {
	c := New("z0", rand.New(rand.NewPCG(1, 1)))
	c.SetView(NewView(testCatalog(), []registry.Record{target(1, "counter", "z0")}, 1, start))
	p := &Packet{Flow: flowOf(1), Cookie: CookieOf(1)}
	for b.Loop() {
		c.Decide(p, start)
	}
}

// BenchmarkView measures the creation of a view for different numbers of
// targets.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{18, 150, 1440, 23000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var records []registry.Record
			for id := range n {
				records = append(records, target(fleet.Incarnation(id+1), "counter", "z0"))
			}
			for b.Loop() {
				NewView(testCatalog(), records, 1, start)
			}
		})
	}
}

// BenchmarkChange measures the change of one target in a view, for different
// numbers of targets of the service.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{150, 1440, 23000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var records []registry.Record
			for id := range n {
				records = append(records, target(fleet.Incarnation(id+1), "counter", "z0"))
			}
			c := New("z0", rand.New(rand.NewPCG(1, 1)))
			c.SetView(NewView(testCatalog(), records, 1, start))
			i := 0
			for b.Loop() {
				i = (i + 7919) % n
				rec := records[i : i+1]
				rec[0].Silent = !rec[0].Silent
				c.Change(rec, start)
			}
		})
	}
}
