package admission

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func flow(caller, port int) fleet.FlowKey {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(caller >> 8), byte(caller)})
	return fleet.FlowKey{
		Caller:   netip.AddrPortFrom(addr, uint16(port)),
		VIP:      netip.MustParseAddrPort("192.0.2.1:80"),
		Protocol: fleet.TCP,
	}
}

func target(slots int) fleet.Target {
	return fleet.Target{
		ID:              fleet.TargetID{Service: "Team/Service", Address: netip.MustParseAddrPort("198.51.100.1:80")},
		Zone:            "Monza",
		Slots:           slots,
		ConnectionLimit: 4500,
		State:           fleet.TargetReady,
	}
}

func kinds() []fleet.Kind {
	return []fleet.Kind{
		{Name: "Order", Urgency: 0, Weight: 1, Share: 0.5, Deadline: 300 * time.Millisecond, IdleTimeout: time.Second},
		{Name: "Lookup", Urgency: 4, Weight: 1, Share: 0.2, Deadline: 200 * time.Millisecond, IdleTimeout: time.Second, Idempotent: true},
		{Name: "Sheet", Urgency: 6, Weight: 1, Share: 0.2, Deadline: time.Minute, IdleTimeout: time.Minute, Idempotent: true},
	}
}

func request(kind fleet.KindName, caller, port int, now time.Time) Request {
	deadline := 300 * time.Millisecond
	switch kind {
	case "Lookup":
		deadline = 200 * time.Millisecond
	case "Sheet":
		deadline = time.Minute
	}
	return Request{Flow: flow(caller, port), Kind: kind, Arrived: now, Deadline: now.Add(deadline), Bytes: 100}
}

// Guards against a lookup that gets the next free slot before a more urgent
// order because the lookup was queued earlier.
func TestOrderGoesBeforeWaitingLookups(t *testing.T) {
	l := NewLimiter(target(2), kinds(), start)
	now := start.Add(time.Second)
	for i := range 2 {
		if !l.TryStart(request("Lookup", i, i, now), now) {
			t.Fatalf("lookup %d: got no slot, want one", i)
		}
	}
	if l.TryStart(request("Order", 9, 9, now), now) {
		t.Fatal("order: got a third slot of two")
	}
	for _, r := range []Request{request("Lookup", 3, 3, now), request("Order", 9, 9, now)} {
		if _, err := l.Enqueue(r, now); err != nil {
			t.Fatalf("enqueue %s: %v", r.Kind, err)
		}
	}
	l.Finish(flow(0, 0), Completed, now)
	started, _ := l.Next(now)
	if len(started) != 1 || started[0].Kind != "Order" {
		t.Fatalf("got %v, want the order", started)
	}
}

// Guards against a request that is queued although it can't meet its deadline.
func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	l := NewLimiter(target(2), kinds(), start)
	r := request("Lookup", 1, 1, start)
	_, err := l.Enqueue(r, start.Add(199*time.Millisecond))
	var refusal *RefusalError
	if !errors.As(err, &refusal) || refusal.Cause != CauseDeadline {
		t.Fatalf("got %v, want a refusal for the deadline", err)
	}
}
