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

// floodHarness is a harness with one target of two slots, which gets lookups and
// orders with an objective of 200 ms.
type floodHarness struct {
	*harness
	n int
}

func newFloodHarness(t *testing.T) *floodHarness {
	f := &floodHarness{harness: newHarness(t)}
	c := testCatalog()
	c.Routes[0].Urgency, c.Routes[0].Objective = lookup, 200*time.Millisecond
	c.Routes[1].Urgency, c.Routes[1].Objective = order, 200*time.Millisecond
	c.Routes[1].Shares[0].Service = "counter"
	f.core.SetView(NewView(c, []registry.Record{target(1, "counter", "z0")}, 1, f.now))
	f.core.SetEntryVMs(1)
	return f
}

// run starts a request every 5 ms for the time d if fewer than concurrency
// requests are running. Each flow takes duration and sends the given number of
// requests. run returns the numbers of refused lookups and orders.
func (f *floodHarness) run(d, duration time.Duration, concurrency int, requests int) (lookups, orders int) {
	type openFlow struct {
		key FlowKey
		end time.Time
	}
	var open []openFlow
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
			key.Route = sheetsAddr
		}
		if len(open) >= concurrency {
			continue
		}
		switch d := f.core.Decide(&Packet{Flow: key, Opening: true}, f.now); {
		case d.Op == Forward:
			open = append(open, openFlow{key, f.now.Add(duration)})
		case d.Cause != CauseOverload:
			f.Fatalf("got %v %s, want it forwarded or refused for overload", d.Op, d.Cause)
		case key.Route == sheetsAddr:
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

// Guards against a flood of less urgent requests that makes all requests late,
// and against refusals of the most urgent requests.
func TestFloodRefusesLessUrgent(t *testing.T) {
	f := newFloodHarness(t)
	if lookups, orders := f.run(5*time.Second, 40*time.Millisecond, 4, 1); lookups+orders != 0 {
		t.Errorf("normal load: got %d lookups and %d orders refused, want none", lookups, orders)
	}
	lookups, orders := f.run(4*time.Second, 180*time.Millisecond, 20, 1)
	if lookups < 100 || orders != 0 {
		t.Errorf("flood: got %d lookups and %d orders refused, want at least 100 lookups and no orders", lookups, orders)
	}
	f.run(time.Second, 40*time.Millisecond, 4, 1)
	if lookups, orders := f.run(3*time.Second, 40*time.Millisecond, 4, 1); lookups+orders != 0 {
		t.Errorf("after the flood: got %d lookups and %d orders refused, want none", lookups, orders)
	}
}

// Guards against refusals during a short backlog after an interruption.
func TestShortBacklogIsServed(t *testing.T) {
	f := newFloodHarness(t)
	f.run(2*time.Second, 40*time.Millisecond, 4, 1)
	if lookups, orders := f.run(700*time.Millisecond, 180*time.Millisecond, 20, 1); lookups+orders != 0 {
		t.Errorf("got %d lookups and %d orders refused, want none", lookups, orders)
	}
}

// Guards against refusals by a VM that does not know its share of the slots, or
// that has fewer requests than its share.
func TestShareOfSlots(t *testing.T) {
	f := newFloodHarness(t)
	f.core.SetEntryVMs(0)
	if lookups, _ := f.run(4*time.Second, 180*time.Millisecond, 20, 1); lookups != 0 {
		t.Errorf("unknown number of entry VMs: got %d lookups refused, want none", lookups)
	}
	f = newFloodHarness(t)
	if lookups, _ := f.run(4*time.Second, 180*time.Millisecond, 2, 1); lookups != 0 {
		t.Errorf("fewer requests than the share of the VM: got %d lookups refused, want none", lookups)
	}
}

// Guards against counting the durations of flows with several requests as the
// times of slow requests.
func TestReusedFlowsAreNotSlow(t *testing.T) {
	f := newFloodHarness(t)
	if lookups, orders := f.run(5*time.Second, 180*time.Millisecond, 20, 3); lookups+orders != 0 {
		t.Errorf("got %d lookups and %d orders refused, want none", lookups, orders)
	}
}
