package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// checkView fails the test if the lists of a view differ from its targets.
func checkView(t *testing.T, v *View) {
	t.Helper()
	live := 0
	for k, target := range v.targets {
		if target.Cookie != k {
			t.Fatalf("target %v has cookie %d, want %d", target.ID, target.Cookie, k)
		}
		if target.State != fleet.TargetGone {
			live++
		}
	}
	if v.live != live {
		t.Fatalf("live targets: got %d, want %d", v.live, live)
	}
	all := make([]*service, 0, len(v.services))
	for _, s := range v.services {
		all = append(all, s)
	}
	for _, list := range v.restricted {
		all = append(all, list...)
	}
	for _, s := range all {
		var want, held []Cookie
		slots, silent, zones := 0, 0, make(map[fleet.ZoneID]int)
		for k, target := range v.targets {
			if target.ID.Service != s.ID || !v.takesNewFlows(target) || !s.takes(target.Zone) {
				continue
			}
			want = append(want, k)
			slots += target.Slots
			zones[target.Zone]++
			if target.Silent {
				silent++
			}
			if target.part.holders > 0 {
				held = append(held, k)
			}
		}
		slices.Sort(want)
		slices.Sort(held)
		if got := cookies(s.targets); !slices.Equal(got, want) {
			t.Fatalf("service %q: got targets %v, want %v", s.ID, got, want)
		}
		if got := cookies(s.held); !slices.Equal(got, held) {
			t.Fatalf("service %q: got held targets %v, want %v", s.ID, got, held)
		}
		if s.slots != slots || s.silent != silent {
			t.Fatalf("service %q: got %d slots and %d silent targets, want %d and %d", s.ID, s.slots, s.silent, slots, silent)
		}
		for z, list := range s.zones {
			if len(list) != zones[z] || slices.ContainsFunc(list, func(target *Target) bool { return target.Zone != z }) {
				t.Fatalf("service %q in zone %q: got targets %v, want %d of that zone", s.ID, z, cookies(list), zones[z])
			}
		}
		if !slices.IsSortedFunc(s.targets, compareRanks) {
			t.Fatalf("service %q: targets are not in the order of their ranks", s.ID)
		}
	}
}

// checkCore fails the test if an invariant of Core does not hold.
func checkCore(t *testing.T, c *Core) {
	t.Helper()
	checkView(t, c.view)
	running, inFlight := make(map[Cookie]int), make(map[Cookie]int)
	services := make(map[fleet.ServiceID]int)
	for _, f := range c.flows {
		if f.ended {
			continue
		}
		running[f.target]++
		services[f.service]++
		if f.request.inFlight {
			inFlight[f.target]++
		}
	}
	for k, l := range c.targetLoads {
		if l.running != running[k] || l.inFlight != inFlight[k] {
			t.Fatalf("target %d: got %d running flows and %d requests in flight, want %d and %d", k, l.running, l.inFlight, running[k], inFlight[k])
		}
		delete(running, k)
	}
	if len(running) > 0 {
		t.Fatalf("running flows without a load: %v", running)
	}
	for id, l := range c.serviceLoads {
		if l.running != services[id] {
			t.Fatalf("service %q: got %d running flows, want %d", id, l.running, services[id])
		}
	}
	contested := 0
	for k, b := range c.bindings.flows {
		if b.contested {
			contested++
		}
		if f := c.flows[k]; f != nil && f.opened {
			t.Fatalf("flow %v is in the flow table and has a binding", k)
		}
	}
	if got, want := c.BindingsDue(), len(c.bindings.unreported) > 0; got != want {
		t.Fatalf("BindingsDue: got %v, want %v", got, want)
	}
	if got, want := c.bindings.contested, contested; got != want {
		t.Fatalf("contested bindings: got %d, want %d", got, want)
	}
	if got, want := c.Waiting(), len(c.held); got != want {
		t.Fatalf("held packets: got %d, want %d", got, want)
	}
	if own := c.load.own; own != nil {
		var got, want []fleet.Incarnation
		for _, target := range own.Targets() {
			got = append(got, target.ID)
			if k := CookieOf(target.ID); c.view.targets[k].ID.Service != target.Service || c.view.targets[k].TakesNewFlows() != target.Open {
				t.Fatalf("own aggregate: got target %+v, want that of the view, %+v", target, c.view.targets[k].Target)
			}
		}
		for _, target := range c.view.targets {
			if target.State != fleet.TargetGone {
				want = append(want, target.ID.Incarnation)
			}
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("own aggregate: got targets %v, want %v", got, want)
		}
	}
}

// randomCatalog returns a valid catalog with some of the services a to d, and routes to
// them.
func randomCatalog(rng *rand.Rand, n catalog.Number) *catalog.Catalog {
	c := &catalog.Catalog{Number: n, IdleTimeout: time.Duration(rng.IntN(20)) * time.Second}
	for _, id := range []fleet.ServiceID{"a", "b", "c", "d"} {
		if id == "a" || rng.IntN(2) == 0 {
			c.Services = append(c.Services, catalog.Service{ID: id, HealthPath: "/", ColdRate: float64(rng.IntN(3)), ColdTime: time.Second})
		}
	}
	for i := range rng.IntN(4) + 1 {
		r := catalog.Route{
			Address: routeAddress(i), Deadline: time.Duration(rng.IntN(3000)+1) * time.Millisecond,
			Objective: time.Duration(rng.IntN(500)) * time.Millisecond, Urgency: fleet.Urgency(rng.IntN(3)), Idempotent: rng.IntN(2) == 0,
		}
		for range rng.IntN(2) + 1 {
			r.Shares = append(r.Shares, catalog.Share{Service: c.Services[rng.IntN(len(c.Services))].ID, Weight: uint32(rng.IntN(3)) + 1})
		}
		if rng.IntN(3) == 0 {
			r.Regions = []fleet.RegionID{"r0"}
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

func routeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 80)
}

// TestCoreRandomCalls guards against an entry VM whose lists and counts differ from its
// targets and flows after any order of views, changes, zone orders, reports and packets,
// or that ends because of them.
func TestCoreRandomCalls(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 13))
			now := start
			c := New("z0", rng)
			c.Regions = map[fleet.ZoneID]fleet.RegionID{"z0": "r0", "z1": "r1"}
			if seed%2 == 0 {
				c.UseLoadReports()
				c.Capacity, c.Admission, c.LoadReports = c.Estimate, true, true
			}
			number, revision := catalog.Number(1), catalog.ZoneRevision(0)
			records := make(map[fleet.Incarnation]registry.Record)
			zones := []fleet.ZoneID{"z0", "z1"}
			randomRecord := func() registry.Record {
				// The last two incarnations have hashes as cookies.
				id := []fleet.Incarnation{1, 2, 3, 4, 5, 1<<40 + 1, 1<<40 + 2}[rng.IntN(7)]
				rec := target(id, []fleet.ServiceID{"a", "b", "c", "e"}[rng.IntN(4)], zones[rng.IntN(2)])
				rec.Target.Slots = rng.IntN(3) + 1
				rec.Target.State = []fleet.TargetState{fleet.TargetReady, fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone}[rng.IntN(4)]
				rec.Silent, rec.Born = rng.IntN(3) == 0, int64(rng.IntN(2))
				rec.ZoneRevision = catalog.ZoneRevision(rng.IntN(int(revision) + 1))
				if rng.IntN(2) == 0 {
					rec.Warmup, rec.Holders = time.Second, []uint32{uint32(rng.IntN(2)) * uint32(1)}
				}
				records[id] = rec
				return rec
			}
			setView := func() {
				var list []registry.Record
				for _, rec := range records {
					list = append(list, rec)
				}
				c.SetView(NewView(randomCatalog(rng, number), list, 1, now))
				number++
			}
			setView()
			for range 1500 {
				now = now.Add(time.Duration(rng.IntN(60)) * time.Millisecond)
				switch rng.IntN(40) {
				case 0:
					setView()
				case 1, 2:
					c.Change([]registry.Record{randomRecord(), randomRecord()}, now)
				case 3:
					revision++
					z := catalog.Zones{Revision: revision}
					if rng.IntN(2) == 0 {
						z.Evacuated = []fleet.ZoneID{zones[rng.IntN(2)]}
					} else {
						z.Restored = []catalog.RestoredZone{{Zone: zones[rng.IntN(2)], Revision: revision}}
					}
					c.SetZones(z, now)
				case 4:
					c.SetSharedReports([]fleet.Incarnation{1}, []fleet.Incarnation{2, 9})
					c.SetDoubted([]fleet.Incarnation{fleet.Incarnation(rng.IntN(5))}, []fleet.Incarnation{3}, now)
					c.SetEntryVMs(rng.IntN(4))
				case 5:
					var l *capacity.Load
					if rng.IntN(2) == 0 {
						l = &capacity.Load{Full: true, Slow: []capacity.SlowTarget{{Target: 1, Step: uint8(rng.IntN(9))}}, Services: []capacity.ServiceLoad{{
							Service: "a", VMs: 1, MeanMicros: uint32(rng.IntN(1 << 18)),
							Zones: []capacity.ZoneLoad{{Zone: "z0", Slots: uint32(rng.IntN(30)), InFlight: uint32(rng.IntN(9)), Offered: uint32(rng.IntN(99))}},
						}}}
					}
					c.SetFleetLoad(l, now)
				case 6:
					c.LoadReport(now)
					c.Tick(now)
					c.Suspects()
					c.Overdue(now)
				case 7:
					if rng.IntN(10) == 0 {
						now = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
						c.Resume(now)
					}
					c.Updated(now)
				case 8:
					k := FlowKey{Caller: callerFlow(rng.IntN(8)).Caller, Route: routeAddress(rng.IntN(2))}
					c.SetBindings([]fleet.FlowBinding{{Caller: k.Caller, VIP: k.Route, Target: fleet.Incarnation(rng.IntN(7) + 1)}}, now)
					c.Bindings(rng.IntN(2) == 0)
				default:
					p := Packet{
						Flow:    FlowKey{Caller: callerFlow(rng.IntN(8)).Caller, Route: routeAddress(rng.IntN(2))},
						Opening: rng.IntN(3) == 0, End: rng.IntN(6) == 0, Copy: uint32(rng.IntN(5)), Data: rng.IntN(3),
						Cookie: Cookie(rng.IntN(7)), Acknowledged: rng.Uint32N(4),
					}
					if p.Opening {
						p.End = false
					}
					c.DecideData(&p, []byte{1}, now)
					c.Release(now)
				}
				checkCore(t, c)
			}
			if testing.Verbose() {
				t.Logf("decisions: %v", c.Stats(now).Decisions)
			}
		})
	}
}

// TestBacklogRandomCalls guards against a backlog whose size in bytes differs from that of
// its packets, because a copy of an opening packet has another length than the first one.
func TestBacklogRandomCalls(t *testing.T) {
	for seed := range uint64(10) {
		rng, now := rand.New(rand.NewPCG(seed, 14)), start
		var b Backlog
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
			p := Packet{Flow: callerFlow(rng.IntN(9)), Opening: rng.IntN(2) == 0, Copy: uint32(rng.IntN(4)), Cookie: 1}
			b.Hold(&p, make([]byte, rng.IntN(1200)), now)
			if rng.IntN(30) == 0 {
				b.removeExpired(now)
			}
			bytes := 0
			for i, h := range b.packets {
				bytes += len(h.Data)
				if got, ok := b.opening[h.Packet.Flow]; h.Packet.Opening && (!ok || got != i) {
					t.Fatalf("seed %d: opening packet %d: got index %d, %v", seed, i, got, ok)
				}
			}
			if b.bytes != bytes {
				t.Fatalf("seed %d: got %d bytes, want %d", seed, b.bytes, bytes)
			}
		}
	}
}
