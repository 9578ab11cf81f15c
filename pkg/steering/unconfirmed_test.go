package steering

import (
	"testing"
	"time"
)

// Guards against new flows that go by state which no majority has confirmed for too long,
// against open flows that break because of that, and against callers that wait for an
// answer in vain.
func TestUnconfirmedViewTakesNoNewFlows(t *testing.T) {
	s := newHarness(t, target(1, "counter", "z0"))
	s.core.RefuseFrom(s.now.Add(time.Second))
	s.open(flowOf(1), 0)
	s.send(flowOf(1), 1, 1)
	s.open(flowOf(2), 0)
	s.now = s.now.Add(time.Second)
	s.expect(&Packet{Flow: flowOf(3), Opening: true}, Reset, CauseUnconfirmed)
	s.expect(&Packet{Flow: flowOf(1), Opening: true, Copy: 1}, Forward, CauseFlow)
	s.expect(&Packet{Flow: flowOf(2), Opening: true, Copy: 1}, Drop, CauseUnconfirmed)
	s.send(flowOf(1), 1, 1)
	s.send(flowOf(2), 1, 1)
	s.send(flowOf(4), 1, 1) // opened through another VM
	s.core.Decide(&Packet{Flow: flowOf(1), Cookie: CookieOf(1), End: true}, s.now)
	s.expect(&Packet{Flow: flowOf(1), Opening: true}, Reset, CauseUnconfirmed)
	s.core.RefuseFrom(time.Time{})
	s.open(flowOf(3), 0)
}

// Guards against held packets that are sent to a target by state which no majority has
// confirmed for too long, and against a reset of a flow that is opened later.
func TestUnconfirmedViewRefusesHeldPackets(t *testing.T) {
	f := newAdmitHarness(t)
	_, keys, held := f.fillGate()
	f.core.RefuseFrom(f.now)
	again := *held
	again.Copy = 1
	f.expect(&again, Drop, CauseUnconfirmed)
	for _, k := range keys {
		f.core.Decide(&Packet{Flow: k, Cookie: CookieOf(1), End: true}, f.now)
	}
	released := f.core.Release(f.now)
	if len(released) != 1 || released[0].Decision.Op != Reset || released[0].Decision.Cause != CauseUnconfirmed {
		t.Errorf("held packet: got %+v, want it reset as Unconfirmed", released)
	}
	if n := f.core.Waiting(); n != 0 {
		t.Errorf("got %d waiting packets, want 0", n)
	}
}
