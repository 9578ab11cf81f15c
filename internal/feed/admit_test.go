package feed

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// Guards against an announcement of another writer that moves a running target to another
// service, or ends it, and against targets that are refused although their place is free.
func TestAnnouncementInPlaceOfAnother(t *testing.T) {
	const ready, draining = fleet.TargetReady, fleet.TargetDraining
	now := time.Now()
	rec := func(id fleet.Incarnation, address byte, service fleet.ServiceID, born int64, state fleet.TargetState) registry.Record {
		r := record(id, 1, state)
		r.Target.ID.Service, r.Born = service, born
		r.Target.ID.Address = record(fleet.Incarnation(address), 1, state).Target.ID.Address
		return r
	}
	for _, test := range []struct {
		name    string
		known   registry.Record
		silent  bool
		rec     registry.Record
		refused bool
	}{
		{"same service", rec(1, 1, "s", 1, ready), false, rec(1, 1, "s", 2, ready), false},
		{"another service, same id", rec(1, 1, "s", 1, ready), false, rec(1, 1, "other", 2, ready), true},
		{"another service, same id, after silence", rec(1, 1, "s", 1, ready), true, rec(1, 1, "other", 2, ready), false},
		{"another service, same id, after a drain", rec(1, 1, "s", 1, draining), false, rec(1, 1, "other", 2, ready), false},
		{"another service, other id, same address", rec(1, 1, "s", 1, ready), false, rec(2, 1, "other", 2, ready), false},
		{"unknown service, same id", rec(1, 1, "s", 1, ready), true, rec(1, 1, "odd", 2, ready), true},
		{"unknown service, other id, same address", rec(1, 1, "s", 1, ready), false, rec(2, 1, "odd", 2, ready), true},
		{"unknown service, free place", rec(1, 1, "s", 1, ready), false, rec(2, 2, "odd", 2, ready), false},
		{"service that becomes known", rec(1, 1, "odd", 1, ready), false, rec(1, 1, "s", 2, ready), false},
	} {
		for _, restored := range []bool{false, true} {
			s := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
			c := catalogOf(1, 40)
			other := c.Services[0]
			other.ID = "other"
			c.Services = append(c.Services, other)
			s.SetCatalog(c)
			test.known.Silent = false
			if restored {
				r := test.known
				r.Silent = test.silent
				s.restored.add(r)
			} else if _, err := s.Merge(test.known, now); err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
			at := now
			if test.silent {
				for range 7 {
					at = at.Add(500 * time.Millisecond)
					s.targets.Tick(at)
				}
			}
			_, err := s.Merge(test.rec, at)
			var se *ServiceError
			if errors.As(err, &se) != test.refused {
				t.Errorf("%s, restored %v: got %v, want ServiceError %v", test.name, restored, err, test.refused)
			}
			if got, ok := s.targets.Get(test.known.Target.ID.Incarnation); test.refused && ok && (got.Gone() || got.Target.ID.Service != "s") {
				t.Errorf("%s, restored %v: got %+v, want the target as before", test.name, restored, got)
			}
		}
	}
}

// Guards against one odd record that ends the feed, or the start from saved state, for all
// targets. A hub of an earlier version may have accepted it.
func TestOddRecords(t *testing.T) {
	now := time.Now()
	odd := func() *Update {
		u := &Update{Version: 1, Full: true}
		for id := range fleet.Incarnation(4) {
			u.Records = append(u.Records, record(id+1, 1, fleet.TargetReady))
		}
		u.Records[0].Target.Slots = -1
		u.Records[1].Target.State = "Odd"
		u.Records[2].Warmup = -time.Second
		return u
	}
	store, address := publish(t, "a")
	frame, err := encode(odd())
	if err != nil {
		t.Fatal(err)
	}
	s := open(t, address, &Hello{VM: "e", Zone: "z0", Role: Entry})
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	s.r.Reset(bytes.NewReader(frame))
	u, err := s.Next()
	if err != nil || len(u.Records) != 1 || u.Dropped != 3 || u.Records[0].Target.ID.Incarnation != 4 {
		t.Fatalf("update with three odd records: got %+v, %v, want one record", u, err)
	}
	if err := store.ApplyUpdate("b", u, now); err != nil || store.Targets() != 1 {
		t.Errorf("merge: got %v and %d targets, want one", err, store.Targets())
	}
	saved, err := cbor.Marshal(odd())
	if err != nil {
		t.Fatal(err)
	}
	restarted := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	if err := restarted.Restore(saved, now); err != nil || restarted.Targets() != 1 {
		t.Errorf("restore: got %v and %d targets, want one", err, restarted.Targets())
	}
}

// Guards against saved state of any content that ends the process at each start.
func FuzzRestore(f *testing.F) {
	now := time.Unix(1e9, 0)
	saved, err := fleetStore(f, 3, now).Encode(now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(saved)
	f.Add(saved[:len(saved)/2])
	f.Add(bytes.Repeat([]byte{0x81}, 10000)) // nested lists
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
		if s.Restore(b, now) != nil {
			return
		}
		s.Tick(now.Add(time.Second))
		if _, err := s.Encode(now); err != nil {
			t.Errorf("restored state can't be saved: %v", err)
		}
	})
}
