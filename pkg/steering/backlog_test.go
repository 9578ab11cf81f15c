package steering

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/registry"
)

func callerFlow(i int) FlowKey {
	return FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 5000), Route: counterAddr}
}

// Guards against callers that wait for their next copy of an opening packet, or for
// another try, because a VM dropped the packets that arrived before its first state.
// The load is the return of callers after a loss of power everywhere: 600 callers
// begin in the dark or after it, the VM starts at 0 and has its state after 450 ms.
func TestCallersReturnAfterPowerLoss(t *testing.T) {
	const callers, ready = 600, 450 * time.Millisecond
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	rng := rand.New(rand.NewPCG(3, 3))
	var b Backlog
	waiting := make(map[FlowKey]bool)
	for at := time.Duration(0); at <= ready; at += time.Millisecond {
		for i := range callers {
			began := time.Duration(i)*2*time.Millisecond - 700*time.Millisecond
			for n, offset := range copies {
				if began+offset == at || began+offset == at+time.Microsecond {
					p := &Packet{Flow: callerFlow(i), Opening: true, Copy: uint32(n)}
					if !b.Hold(p, []byte{byte(n)}, start.Add(at)) {
						t.Fatal("packet before the first state: not held")
					}
					waiting[p.Flow] = true
				}
			}
		}
	}
	now := start.Add(ready)
	c := New("z0", rng)
	c.SetView(NewView(testCatalog(), []registry.Record{target(1, "counter", "z0"), target(2, "counter", "z0")}, 1, now))
	packets, dropped := b.Release(now)
	if len(packets) != len(waiting) || dropped != 0 {
		t.Errorf("got %d packets and %d dropped, want one of each of %d waiting callers", len(packets), dropped, len(waiting))
	}
	for i := range packets {
		d := c.Decide(&packets[i].Packet, now)
		if d.Op != Forward || d.Cause != CauseOpened {
			t.Fatalf("held packet: got %+v, want it forwarded as the first of its flow", d)
		}
	}
	if n := c.Stats(now).Suspected; n != 0 {
		t.Errorf("got %d suspected targets, want none", n)
	}
	if b.Hold(&packets[0].Packet, nil, now) {
		t.Error("packet after the release: held, want a decision")
	}
}

// Guards against a VM without state that runs out of memory, against packets of
// callers that have given up, and against such packets in the place of others.
func TestBacklogLimits(t *testing.T) {
	var b Backlog
	hold := func(i int, p Packet, size int, now time.Time) {
		p.Flow = callerFlow(i)
		b.Hold(&p, make([]byte, size), now)
	}
	for i := range 3 * maxBacklogPackets {
		hold(i, Packet{Opening: true}, 31, start)
	}
	later := start.Add(2 * time.Second)
	for i := range 10 {
		hold(10_000+i, Packet{Opening: true, Copy: 2}, 31, later)
		hold(10_000+i, Packet{Cookie: 1}, 1200, later)
	}
	packets, dropped := b.Release(later.Add(time.Second))
	if got := len(packets); got != 10 {
		t.Errorf("got %d packets, want the 10 of open flows", got)
	}
	for _, h := range packets {
		if h.Packet.Opening {
			t.Errorf("got the opening packet of a caller that has given up: %+v", h.Packet)
		}
	}
	if want := 3*maxBacklogPackets + 10; dropped != want {
		t.Errorf("got %d dropped packets, want %d", dropped, want)
	}
	b = Backlog{}
	for i := range 2 * maxBacklogBytes / 1200 {
		hold(i, Packet{Cookie: 1}, 1200, start)
	}
	packets, _ = b.Release(start)
	if got := len(packets) * 1200; got > maxBacklogBytes || got < maxBacklogBytes/2 {
		t.Errorf("got %d bytes, want at most %d", got, maxBacklogBytes)
	}
}
