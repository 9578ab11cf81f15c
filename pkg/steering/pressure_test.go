package steering

import (
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	lookup = fleet.Urgency(2)
	order  = fleet.Urgency(1)
)

// flood is a service with one target of two slots, whose requests take some part
// of their objective of 200 ms.
type flood struct {
	*scene
	n int
}

func newFlood(t *testing.T) *flood {
	f := &flood{scene: newScene(t)}
	c := testCatalog()
	c.Routes[0].Urgency, c.Routes[0].Objective = lookup, 200*time.Millisecond
	c.Routes[1].Urgency, c.Routes[1].Objective = order, 200*time.Millisecond
	c.Routes[1].Shares[0].Service = "counter"
	f.core.SetView(NewView(c, []registry.Record{target(1, "counter", "z0")}, f.now))
	f.core.SetEntries(1)
	return f
}

// run makes requests for a time: each takes took, and as many run at once as
// keep both slots in use and more. It returns the refused lookups and orders.
func (f *flood) run(d, took time.Duration, atOnce int, requests int) (lookups, orders int) {
	type running struct {
		key FlowKey
		end time.Time
	}
	var open []running
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(5 * time.Millisecond) {
		for len(open) > 0 && !f.now.Before(open[0].end) {
			for n := range requests {
				f.core.Decide(&Packet{Flow: open[0].key, Cookie: 1, Data: 10, Acknowledged: uint32(n)}, f.now)
			}
			f.core.Decide(&Packet{Flow: open[0].key, Cookie: 1, End: true, Acknowledged: 99}, f.now)
			open = open[1:]
		}
		f.n++
		key := flowOf(f.n)
		if f.n%4 == 0 {
			key.Route = sheets
		}
		if len(open) >= atOnce {
			continue
		}
		switch d := f.core.Decide(&Packet{Flow: key, Opening: true}, f.now); {
		case d.Op == Forward:
			open = append(open, running{key, f.now.Add(took)})
		case d.Cause != CauseOverload:
			f.Fatalf("got %v %s, want it forwarded or refused for overload", d.Op, d.Cause)
		case key.Route == sheets:
			orders++
		default:
			lookups++
		}
	}
	for _, r := range open {
		f.core.Decide(&Packet{Flow: r.key, Cookie: 1, End: true}, r.end)
	}
	return lookups, orders
}

// Guards against a flood of the less urgent work that makes all requests late,
// and against refusals of the most urgent work.
func TestFloodRefusesLessUrgent(t *testing.T) {
	f := newFlood(t)
	if lookups, orders := f.run(5*time.Second, 40*time.Millisecond, 4, 1); lookups+orders != 0 {
		t.Errorf("calm: got %d lookups and %d orders refused, want none", lookups, orders)
	}
	lookups, orders := f.run(4*time.Second, 180*time.Millisecond, 20, 1)
	if lookups < 100 || orders != 0 {
		t.Errorf("flood: got %d lookups and %d orders refused, want many and none", lookups, orders)
	}
	f.run(time.Second, 40*time.Millisecond, 4, 1)
	if lookups, orders := f.run(3*time.Second, 40*time.Millisecond, 4, 1); lookups+orders != 0 {
		t.Errorf("after the flood: got %d lookups and %d orders refused, want none", lookups, orders)
	}
}

// Guards against refusals where requests only catch up after an interruption.
func TestShortWaveIsServed(t *testing.T) {
	f := newFlood(t)
	f.run(2*time.Second, 40*time.Millisecond, 4, 1)
	if lookups, orders := f.run(700*time.Millisecond, 180*time.Millisecond, 20, 1); lookups+orders != 0 {
		t.Errorf("got %d lookups and %d orders refused, want none", lookups, orders)
	}
}

// Guards against refusals by a VM that does not know its share of the slots, or
// that has fewer requests than its share.
func TestShareOfSlots(t *testing.T) {
	f := newFlood(t)
	f.core.SetEntries(0)
	if lookups, _ := f.run(4*time.Second, 180*time.Millisecond, 20, 1); lookups != 0 {
		t.Errorf("unknown number of VMs: got %d refused, want none", lookups)
	}
	f = newFlood(t)
	if lookups, _ := f.run(4*time.Second, 180*time.Millisecond, 2, 1); lookups != 0 {
		t.Errorf("within its share: got %d refused, want none", lookups)
	}
}

// Guards against flows that callers keep for several requests, whose times are
// taken for those of slow requests.
func TestKeptFlowsAreNotSlow(t *testing.T) {
	f := newFlood(t)
	if lookups, orders := f.run(5*time.Second, 180*time.Millisecond, 20, 3); lookups+orders != 0 {
		t.Errorf("got %d lookups and %d orders refused, want none", lookups, orders)
	}
}
