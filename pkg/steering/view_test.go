package steering

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// Guards against entry VMs whose targets differ from those that their hub sent,
// because changes were applied one by one: a drained target that still gets flows,
// or a count that no longer matches the targets.
func TestChangeEqualsNewView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New("z0", rand.New(rand.NewPCG(1, 1)))
		c.SetView(NewView(testCatalog(), nil, 1, start))
		records := make(map[fleet.Incarnation]registry.Record)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fleet.Incarnation(rapid.IntRange(1, 12).Draw(t, "id"))
			zone := fleet.ZoneID(rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "zone"))
			rec := target(id, rapid.SampledFrom([]fleet.ServiceID{"counter", "sheets", "unknown"}).Draw(t, "service"), zone)
			rec.Target.State = rapid.SampledFrom([]fleet.TargetState{fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone}).Draw(t, "state")
			rec.Silent = rapid.Bool().Draw(t, "silent")
			records[id] = rec
			c.Change([]registry.Record{rec}, start)
		}
		var list []registry.Record
		for _, rec := range records {
			list = append(list, rec)
		}
		got, want := c.view, NewView(testCatalog(), list, 1, start)
		if got.live != want.live || len(got.targets) != len(want.targets) {
			t.Fatalf("got %d live of %d targets, want %d of %d", got.live, len(got.targets), want.live, len(want.targets))
		}
		for id, w := range want.services {
			g := got.services[id]
			if g.slots != w.slots || g.silent != w.silent {
				t.Errorf("service %s: got %d slots and %d silent targets, want %d and %d", id, g.slots, g.silent, w.slots, w.silent)
			}
			if a, b := cookies(g.targets), cookies(w.targets); !slices.Equal(a, b) {
				t.Errorf("service %s: got targets %v, want %v", id, a, b)
			}
			for zone := range w.zones {
				if a, b := cookies(g.zones[zone]), cookies(w.zones[zone]); !slices.Equal(a, b) {
					t.Errorf("service %s in zone %s: got targets %v, want %v", id, zone, a, b)
				}
			}
		}
	})
}

func cookies(list []*Target) []Cookie {
	var ids []Cookie
	for _, t := range list {
		ids = append(ids, t.Cookie)
	}
	slices.Sort(ids)
	return ids
}
