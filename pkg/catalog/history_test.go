package catalog

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
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

// TestHistoryRandomCalls guards against indexes of changed and removed routes that differ
// from the catalogs after any order of changes, so that a receiver gets another catalog
// than its hub.
func TestHistoryRandomCalls(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 15))
		var h History
		catalogs := map[Number]*Catalog{0: nil}
		for range 200 {
			c := &Catalog{Number: h.Number() + Number(rng.IntN(3)), Services: []Service{{ID: "s"}, {ID: "t", ConnectionLimit: rng.IntN(2)}}}
			for i := range 6 {
				if rng.IntN(2) == 0 {
					address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
					c.Routes = append(c.Routes, Route{
						Address: address, Deadline: time.Duration(rng.IntN(2)+1) * time.Second,
						Shares: []Share{{Service: c.Services[rng.IntN(2)].ID, Weight: 1}},
					})
				}
			}
			if h.Add(c) {
				catalogs[c.Number] = c
			}
			if len(h.changed) != len(h.routes) {
				t.Fatalf("seed %d: got %d changed routes, want %d", seed, len(h.changed), len(h.routes))
			}
			for address, n := range h.removed {
				if h.routes[address] != nil || n <= h.retained[0] && len(h.retained) == maxHistory {
					t.Fatalf("seed %d: route %v is listed as removed at %d", seed, address, n)
				}
			}
			for n, from := range catalogs {
				if rng.IntN(8) > 0 {
					continue
				}
				d := h.Delta(n)
				if d == nil {
					continue
				}
				got, err := from.Apply(d)
				if err != nil {
					t.Fatalf("seed %d: delta from %d to %d: %v", seed, n, h.Number(), err)
				}
				if !reflect.DeepEqual(byAddress(got), byAddress(h.newest)) || !slices.Equal(got.Services, h.newest.Services) || got.Number != h.Number() {
					t.Fatalf("seed %d: delta from %d: got %+v, want %+v", seed, n, got, h.newest)
				}
			}
		}
	}
}

func byAddress(c *Catalog) map[netip.AddrPort]Route {
	routes := make(map[netip.AddrPort]Route)
	for _, r := range c.Routes {
		routes[r.Address] = r
	}
	return routes
}
