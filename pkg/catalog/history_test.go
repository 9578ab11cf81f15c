package catalog

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against a history that grows with each change of all routes, for entry VMs that
// are away, and against deltas that lack a removed route that was discarded.
func TestHistoryOfReplacedRoutes(t *testing.T) {
	const routes = 1000
	catalogAt := func(n Number) *Catalog {
		c := &Catalog{Number: n, Services: []Service{{ID: "s"}}}
		for i := range routes {
			a := netip.AddrFrom4([4]byte{10, byte(n), byte(i >> 8), byte(i)})
			c.Routes = append(c.Routes, Route{Address: netip.AddrPortFrom(a, 80), Deadline: time.Second, Shares: []Share{{Service: "s", Weight: 1}}})
		}
		return c
	}
	var h History
	var catalogs []*Catalog
	for n := range Number(100) {
		c := catalogAt(n + 1)
		catalogs = append(catalogs, c)
		h.Add(c)
		if got := len(h.removed); got > maxRemoved {
			t.Fatalf("after %d changes: got %d removed routes, want at most %d", n+1, got, maxRemoved)
		}
	}
	for _, from := range catalogs {
		d := h.Delta(from.Number)
		if from.Number == 100 {
			if d != nil {
				t.Errorf("delta from the newest catalog: got %+v, want none", d)
			}
			continue
		}
		next, err := from.Apply(d)
		if err != nil || len(next.Routes) != routes || next.Routes[0].Address.Addr().As4()[1] != 100 {
			t.Errorf("delta from %d: got %d routes, %v, want those of catalog 100", from.Number, len(next.Routes), err)
		}
	}
}
