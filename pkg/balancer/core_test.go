package balancer

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// newSingle returns a Balancer that is the only member of its zone, the view of
// the Balancer, and the time at which the view was set.
func newSingle(t testing.TB, cfg Config, targets int) (*Balancer, *fleet.View, time.Time) {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	cfg.Self = "vm"
	if cfg.NewLimiter == nil {
		cfg.NewLimiter = newSlotLimiter
	}
	v := &fleet.View{Zone: "zone0", Epoch: 1, Sealed: true, Members: members([]fleet.VMID{"vm"}), Listeners: []fleet.Listener{lookups, orders, sheets}}
	for i := range targets {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 8080)
		id := fleet.TargetID{Service: "Lutto/Counter", Address: addr, Incarnation: 1}
		v.Targets = append(v.Targets, fleet.Target{ID: id, Zone: "zone0", Slots: 3, ConnectionLimit: 1 << 30, State: fleet.TargetReady})
	}
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	b := New(cfg)
	b.SetLease(now.Add(time.Hour))
	b.SetView(v, now)
	return b, v, now
}

func testFlow(l *fleet.Listener, n int) fleet.FlowKey {
	addr := netip.AddrFrom4([4]byte{192, 168, byte(n >> 24), byte(n >> 16)})
	return fleet.FlowKey{Caller: netip.AddrPortFrom(addr, uint16(n)), VIP: l.Address, Protocol: fleet.TCP}
}

// wantOne returns the only action, and fails the test if there is not exactly
// one action with the given operation.
func wantOne(t *testing.T, actions []Action, op Op) Action {
	t.Helper()
	if len(actions) != 1 || actions[0].Op != op {
		t.Fatalf("got actions %+v, want one with op %d", actions, op)
	}
	return actions[0]
}

// nextView returns a view that is the given number of epochs later, with the
// given members and the same targets and listeners.
func nextView(t testing.TB, v *fleet.View, epochs fleet.Epoch, ids ...fleet.VMID) *fleet.View {
	t.Helper()
	out := &fleet.View{Zone: v.Zone, Epoch: v.Epoch + epochs, Sealed: true, Members: members(ids), Listeners: v.Listeners, Targets: slices.Clone(v.Targets)}
	if err := out.Freeze(); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a zone that offers occupied slots, or slots of draining
// targets, to other zones.
func TestSpare(t *testing.T) {
	b, v, now := newSingle(t, Config{}, 3)
	wantOne(t, b.Handle(Packet{Flow: testFlow(&orders, 1), Source: FromFabric, Start: true, Instance: 1}, now, nil), Forward)
	if got, want := b.Spare()["Lutto/Counter"], 3*3-1; got != want {
		t.Errorf("free slots: got %d, want %d", got, want)
	}
	draining := nextView(t, v, 1, "vm")
	for i := range draining.Targets {
		draining.Targets[i].State = fleet.TargetDraining
	}
	b.SetView(draining, now)
	if got := b.Spare()["Lutto/Counter"]; got != 0 {
		t.Errorf("free slots of draining targets: got %d, want 0", got)
	}
}

// Guards against batches of exceptions that are sent in a random order, so that a seed
// of the simulation does not repeat.
func TestExceptionsAreSentInOrder(t *testing.T) {
	var want []string
	for run := range 20 {
		b, _, now := newSingle(t, Config{}, 1)
		for i := range 16 {
			b.addException("other", fleet.TargetKey(uint64(i*i+1)*0x9e3779b97f4a7c15), 1, 1, false)
		}
		b.flushBatches(now.Add(time.Second))
		var got []string
		for _, m := range b.outbox.messages {
			got = append(got, string(m.body))
		}
		if run == 0 {
			want = got
		}
		if !slices.Equal(got, want) {
			t.Fatalf("run %d: got the messages in another order than in the first run", run)
		}
	}
	if len(want) != 16 {
		t.Errorf("got %d messages, want 16", len(want))
	}
}

// Guards against a VM that returns to earlier settings because a view with them
// arrives late.
func TestSetViewIgnoresEarlierSettings(t *testing.T) {
	b, v, now := newSingle(t, Config{}, 1)
	later := nextView(t, v, 0, "vm")
	later.Revision = 7
	b.SetView(later, now)
	earlier := nextView(t, v, 0, "vm")
	earlier.Revision = 6
	b.SetView(earlier, now)
	if got := b.view.Revision; got != 7 {
		t.Errorf("got settings %d, want 7", got)
	}
}

// Guards against a refusal that says that a request was not run although it ran: a
// late copy of an earlier request from the same port makes the copies of the later
// one look like new requests.
func TestReusedPortProvesNothing(t *testing.T) {
	b, _, now := newSingle(t, Config{HeldPackets: 1}, 1)
	flow := testFlow(&lookups, 1)
	start := func(f fleet.FlowKey, instance uint32) []Action {
		return b.Handle(Packet{Flow: f, Source: FromFabric, Start: true, Instance: instance}, now, nil)
	}
	at := wantOne(t, start(flow, 2), Forward).Target
	wantOne(t, start(flow, 1), Forward) // a late copy of the earlier request
	b.Handle(Packet{Flow: flow, Source: FromTarget, Target: at, End: Done}, now, nil)
	for n := 2; b.Spare()["Lutto/Counter"] > 0; n++ {
		wantOne(t, start(testFlow(&lookups, n), 1), Forward)
	}
	start(testFlow(&lookups, 100), 1) // fills the queue
	if a := wantOne(t, start(testFlow(&lookups, 101), 1), Refuse); a.Outcome != fleet.NotRun {
		t.Fatalf("new request without a place: got %+v, want a refusal with NotRun", a)
	}
	for range 3 {
		for _, a := range start(flow, 2) {
			if a.Op == Refuse && a.Outcome == fleet.NotRun {
				t.Fatalf("copy of a request that ran: got %+v, want no refusal", a)
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
}

// Guards against a VM that drops orders after a change of view because it
// discarded its decisions while it waited for its lease in the new epoch. Also
// guards against a VM that relies on old decisions although it missed an epoch
// while it had no lease.
func TestMissedEpochs(t *testing.T) {
	for epochs, want := range map[fleet.Epoch]Op{1: Forward, 2: Drop} {
		b, v, now := newSingle(t, Config{}, 3)
		b.SetLease(time.Time{})
		b.SetView(nextView(t, v, epochs, "vm"), now)
		b.SetLease(now.Add(time.Hour))
		p := Packet{Flow: testFlow(&orders, 1), Source: FromFabric, Start: true, Instance: 1}
		if a := wantOne(t, b.Handle(p, now, nil), want); want == Drop && a.Cause != CauseUnknownResult {
			t.Errorf("%d epochs: got cause %s, want UnknownResult", epochs, a.Cause)
		}
	}
}

// Guards against a VM that waits forever for the records of a previous owner
// that never existed. A VM infers previous owners if its first view already has
// targets.
func TestInferredPredecessor(t *testing.T) {
	b, v, now := newSingle(t, Config{}, 3)
	joined := New(b.cfg)
	joined.SetLease(now.Add(time.Hour))
	joined.SetView(nextView(t, v, 7, "vm", "other"), now)
	inferredPredecessors := func() (n int) {
		for _, at := range joined.dests.owned {
			if joined.dests.all[at].predecessor == "other" {
				n++
			}
		}
		return n
	}
	if inferredPredecessors() == 0 {
		t.Fatal("got no target with an inferred predecessor, want some")
	}
	joined.Tick(now.Add(PredecessorTimeout/2), nil)
	if inferredPredecessors() == 0 {
		t.Error("got no inferred predecessor before the timeout, want some")
	}
	for i := range 5 {
		joined.Tick(now.Add(PredecessorTimeout+time.Duration(i+1)*sweepInterval), nil)
	}
	if got := inferredPredecessors(); got != 0 {
		t.Errorf("got %d inferred predecessors after the timeout, want none", got)
	}
}

// Guards against answers that reach a caller although they come from another
// target or match no flow.
func TestUnmatchedAnswers(t *testing.T) {
	b, v, now := newSingle(t, Config{}, 3)
	flow := testFlow(&orders, 1)
	at := wantOne(t, b.Handle(Packet{Flow: flow, Source: FromFabric, Start: true, Instance: 1}, now, nil), Forward).Target
	for _, target := range v.Targets {
		want := Drop
		if target.ID == at {
			want = Reply
		}
		wantOne(t, b.Handle(Packet{Flow: flow, Source: FromTarget, Target: target.ID}, now, nil), want)
	}
	stray := Packet{Flow: testFlow(&orders, 2), Source: FromTarget, Target: at}
	if a := wantOne(t, b.Handle(stray, now, nil), Drop); a.Cause != CauseUnknownFlow {
		t.Errorf("answer without a flow: got cause %s, want UnknownFlow", a.Cause)
	}
}

// Guards against a second copy of an answer that reaches the next request from the same
// port, which is at another target by then.
func TestLateSecondAnswer(t *testing.T) {
	b, v, now := newSingle(t, Config{}, 3)
	flow := testFlow(&lookups, 1)
	start := func(f fleet.FlowKey, instance uint32) fleet.TargetID {
		return wantOne(t, b.Handle(Packet{Flow: f, Source: FromFabric, Start: true, Instance: instance}, now, nil), Forward).Target
	}
	former := start(flow, 1)
	answer := Packet{Flow: flow, Source: FromTarget, Target: former}
	wantOne(t, b.Handle(answer, now, nil), Reply)
	done := answer
	done.End = Done
	b.Handle(done, now, nil)
	draining := nextView(t, v, 1, "vm")
	for i := range draining.Targets {
		if draining.Targets[i].ID == former {
			draining.Targets[i].State = fleet.TargetDraining
		}
	}
	b.SetView(draining, now)
	if next := start(flow, 2); next == former {
		t.Fatalf("next request from the port: got target %s again, want another", next)
	}
	if a := wantOne(t, b.Handle(answer, now, nil), Drop); a.Cause != CauseForeignAnswer {
		t.Errorf("second copy of the former answer: got cause %s, want ForeignAnswer", a.Cause)
	}
}

// Guards against a SYN flood that evicts established flows from the flow table,
// and against flows or refusals beyond their limits.
func TestFloodKeepsEstablishedFlows(t *testing.T) {
	b, _, now := newSingle(t, Config{MaxFlows: 200}, 2)
	flow := testFlow(&orders, 1)
	at := wantOne(t, b.Handle(Packet{Flow: flow, Source: FromFabric, Start: true, Instance: 1}, now, nil), Forward).Target
	for n := 2; n < 5000; n++ {
		b.Handle(Packet{Flow: testFlow(&lookups, n), Source: FromFabric, Start: true, Instance: 1}, now, nil)
	}
	if got := wantOne(t, b.Handle(Packet{Flow: flow, Source: FromFabric}, now, nil), Forward).Target; got != at {
		t.Errorf("established flow after a flood: got target %s, want %s", got, at)
	}
	s := b.Stats()
	if s.Flows > 200 || b.refusals > 100 {
		t.Errorf("got %d flows with %d refusals, want at most 200 and 100", s.Flows, b.refusals)
	}
	if s.Dropped[CauseNoSlot] == 0 {
		t.Errorf("got no drops once refusals fill half of the table, want some: %v", s.Dropped)
	}
}

// Guards against a non-idempotent request that is decided without a valid
// lease or in an epoch that is not sealed, and against an unlimited number of
// held packets.
func TestHeldStarts(t *testing.T) {
	b, v, now := newSingle(t, Config{HeldPackets: 3}, 2)
	b.SetLease(now)
	for n := range 5 {
		b.Handle(Packet{Flow: testFlow(&orders, n), Source: FromFabric, Start: true, Instance: 1}, now, nil)
	}
	if s := b.Stats(); s.Held != 3 || s.Dropped[CauseHeldFull] != 2 || s.Forwarded != 0 {
		t.Errorf("without a lease: got %d held, %v dropped, %d forwarded, want 3, 2, 0", s.Held, s.Dropped, s.Forwarded)
	}
	wantOne(t, b.Handle(Packet{Flow: testFlow(&lookups, 1), Source: FromFabric, Start: true, Instance: 1}, now, nil), Forward)
	b.SetLease(now.Add(time.Minute))
	if got := b.Tick(now.Add(10*time.Millisecond), nil); len(got) != 3 {
		t.Errorf("with a lease again: got %d actions, want 3", len(got))
	}
	next := *v
	next.Epoch, next.Sealed, next.Members = 2, false, members([]fleet.VMID{"other", "vm"})
	if err := next.Freeze(); err != nil {
		t.Fatal(err)
	}
	b.SetView(&next, now)
	for n := 10; n < 60; n++ {
		b.Handle(Packet{Flow: testFlow(&orders, n), Source: FromFabric, Start: true, Instance: 1}, now, nil)
	}
	if b.Stats().Held == 0 {
		t.Fatal("new epoch that is not sealed: got no held start packet, want some")
	}
	b.Tick(now.Add(time.Second), nil)
	if s := b.Stats(); s.Held != 0 || s.Dropped[CauseUnsealed] == 0 {
		t.Errorf("after the deadline: got %d held, %v dropped, want 0 and some Unsealed", s.Held, s.Dropped)
	}
}

// Guards against a shed request that is retried more than once, after its
// deadline, or without a retry budget.
func TestShedRetry(t *testing.T) {
	for name, c := range map[string]struct {
		budget RetryBudget
		want   uint64
	}{"budget": {alwaysRetry{}, 1}, "no budget": {nil, 0}} {
		b, _, now := newSingle(t, Config{Retries: c.budget}, 1)
		flow := testFlow(&lookups, 1)
		start := Packet{Flow: flow, Source: FromFabric, Start: true, Instance: 1, Payload: []byte("syn")}
		at := wantOne(t, b.Handle(start, now, nil), Forward).Target
		shed := Packet{Flow: flow, Source: FromTarget, Target: at, End: Shed, Payload: []byte("syn")}
		out := b.Handle(shed, now, nil)
		for i := range 10 {
			out = b.Tick(now.Add(time.Duration(i)*10*time.Millisecond), out)
		}
		if b.Stats().Retried != c.want {
			t.Errorf("%s: got %d retries, want %d", name, b.Stats().Retried, c.want)
		}
		if c.want == 0 {
			if a := wantOne(t, out, Refuse); a.Outcome != fleet.NotRun {
				t.Errorf("%s: got outcome %s, want NotRun", name, a.Outcome)
			}
			continue
		}
		wantOne(t, out, Forward)
		wantOne(t, b.Handle(shed, now.Add(100*time.Millisecond), nil), Refuse)
	}
}

// Guards against a late duplicate of an offer that is accepted after the
// offer was returned and the VM was asked about the flow (found with seeds
// 304 and 585).
func TestReturnedOfferStaysReturned(t *testing.T) {
	b, v, now := newSingle(t, Config{NewLimiter: func(fleet.Target, []fleet.Kind, time.Time) Limiter {
		return &slotLimiter{running: map[fleet.FlowKey]bool{}, slots: 0}
	}}, 1)
	target := v.Targets[0].ID.Key()
	p := Packet{Flow: testFlow(&orders, 1), Source: FromPeer, Start: true, Instance: 1}
	for i, mode := range []Mode{ToSecond, Ask, ToSecond} {
		p.Header = PassHeader{Mode: mode, Hops: 1, Step: 1, Epoch: 1, Target: target, Origin: "other"}
		want := map[Mode]Mode{ToSecond: Returned, Ask: NotHere}[mode]
		if a := wantOne(t, b.Handle(p, now, nil), Pass); a.Header.Mode != want {
			t.Errorf("packet %d: got mode %d, want %d", i, a.Header.Mode, want)
		}
		b.dests.all[b.dests.owned[0]].limiter.(*slotLimiter).slots = i
	}
}

// Guards against a second order from the same port that makes a late
// duplicate of the first order look new (found with seeds 194, 419 and 447).
func TestReusedPortOfOrder(t *testing.T) {
	b, _, now := newSingle(t, Config{}, 2)
	p := Packet{Flow: testFlow(&orders, 1), Source: FromFabric, Start: true, Instance: 1}
	at := wantOne(t, b.Handle(p, now, nil), Forward).Target
	b.Handle(Packet{Flow: p.Flow, Source: FromTarget, Target: at, End: Done}, now, nil)
	for _, instance := range []uint32{2, 1} {
		p.Instance = instance
		wantOne(t, b.Handle(p, now.Add(time.Second), nil), Drop)
	}
}

// Guards against a request that keeps its slot after its deadline.
func TestDeadlineCancels(t *testing.T) {
	b, _, now := newSingle(t, Config{}, 1)
	wantOne(t, b.Handle(Packet{Flow: testFlow(&orders, 1), Source: FromFabric, Start: true, Instance: 1}, now, nil), Forward)
	var out []Action
	for i := range 100 {
		out = b.Tick(now.Add(time.Duration(i)*10*time.Millisecond), out)
	}
	if a := wantOne(t, out, Cancel); a.Outcome != fleet.DeadlinePassed {
		t.Errorf("got outcome %s, want DeadlinePassed", a.Outcome)
	}
	if n := b.dests.all[b.dests.owned[0]].limiter.InFlight(); n != 0 {
		t.Errorf("slots in use after the deadline: got %d, want 0", n)
	}
}

// Guards against a VM with an outdated view that resets a flow which is newer
// than the view.
func TestUnknownFlowIsResetLate(t *testing.T) {
	b, _, now := newSingle(t, Config{}, 1)
	p := Packet{Flow: testFlow(&sheets, 1), Source: FromFabric}
	p.Flow.VIP = lookups.Address
	wantOne(t, b.Handle(p, now, nil), Drop)
	wantOne(t, b.Handle(p, now.Add(900*time.Millisecond), nil), Drop)
	if a := wantOne(t, b.Handle(p, now.Add(1100*time.Millisecond), nil), Refuse); a.Outcome != fleet.OutcomeUnknown {
		t.Errorf("got outcome %s, want Unknown", a.Outcome)
	}
}

// Guards against a flow that is queued or offered again after another zone
// returned the flow, and against a non-idempotent flow that is passed to another
// zone because all slots are taken.
func TestOverflow(t *testing.T) {
	b, v, now := newSingle(t, Config{}, 1)
	next := *v
	next.Zones = []fleet.Zone{{ID: "zone0", Weight: 1, State: fleet.ZoneIn, Reachable: true, Services: []fleet.ServiceID{"Lutto/Counter"}, Members: v.Members},
		{ID: "zone1", Weight: 1, State: fleet.ZoneIn, Reachable: true, Members: members([]fleet.VMID{"far"}), Spare: map[fleet.ServiceID]int{"Lutto/Counter": 5}}}
	if err := next.Freeze(); err != nil {
		t.Fatal(err)
	}
	b.SetView(&next, now)
	for n := range 7 {
		b.Handle(Packet{Flow: testFlow(&lookups, n), Source: FromFabric, Start: true, Instance: 1}, now, nil)
	}
	a := wantOne(t, b.Handle(Packet{Flow: testFlow(&lookups, 7), Source: FromFabric, Start: true, Instance: 1}, now, nil), Pass)
	if a.Peer != "far" || a.Header.Mode != Overflow {
		t.Errorf("eighth lookup: got mode %d to %s, want Overflow to far", a.Header.Mode, a.Peer)
	}
	header := a.Header
	header.Mode = Returned
	returned := Packet{Flow: a.Flow, Source: FromPeer, Start: true, Instance: 1, Header: header}
	if a := wantOne(t, b.Handle(returned, now, nil), Refuse); a.Outcome != fleet.NotRun {
		t.Errorf("returned overflow: got outcome %s, want NotRun", a.Outcome)
	}
	wantOne(t, b.Handle(Packet{Flow: testFlow(&orders, 8), Source: FromFabric, Start: true, Instance: 1}, now, nil), Refuse)
}

// Guards against control messages that change when they are decoded and encoded
// again or that exceed MaxControlSize, and against exceptions that take more
// than 6 bytes each.
func TestControlRoundTrip(t *testing.T) {
	exceptions := &exceptionMessage{Epoch: 1, First: 2}
	for n := 0; exceptions.add(exceptionRecord{fingerprint: uint32(n), dest: fleet.TargetKey(n % 10), remove: n%2 == 0}); n++ {
	}
	if perRecord := float64(len(encodeControl(exceptions, 1))) / float64(len(exceptions.Records)); perRecord > 6 {
		t.Errorf("got %.1f bytes per exception, want at most 6", perRecord)
	}
	handover := &handoverMessage{Epoch: 1, Dest: 2, Part: 1, Total: 1, Lost: true, LostAge: 3}
	for n := 0; handover.add(flowRecord{Flow: testFlow(&orders, n), State: stateAway, Dest: 7, Listener: wireListener{orders.Address, fleet.TCP}, Instance: 9}); n++ {
	}
	history := &historyMessage{Epoch: 3, Covers: 4, Steps: []historyStep{{Age: 5, Extra: []fleet.TargetID{{Service: "S", Address: orders.Address}}, Missing: []fleet.TargetKey{6}}}}
	for _, m := range []controlMessage{exceptions, handover, history, &ackMessage{}} {
		b := encodeControl(m, 42)
		got, seq, err := decodeControl(b)
		if err != nil || seq != 42 || len(b) > MaxControlSize {
			t.Fatalf("type %d: got sequence %d, %d bytes, %v, want 42, no error", m.kind(), seq, len(b), err)
		}
		if reencoded := encodeControl(got, 42); string(reencoded) != string(b) {
			t.Errorf("type %d: decoding and encoding again changed the message", m.kind())
		}
	}
}

// Guards against a panic on invalid control messages, and against decoding
// errors of another type than ControlError.
func FuzzHandleControl(f *testing.F) {
	f.Add(encodeControl(&exceptionMessage{Dests: []fleet.TargetKey{1}, Records: []wireException{{1, 0, true}}}, 1))
	f.Add(encodeControl(&historyMessage{Epoch: 1}, 1))
	handover := &handoverMessage{Part: 1}
	handover.add(flowRecord{Flow: testFlow(&orders, 1), State: stateRunning, Listener: wireListener{orders.Address, fleet.TCP}})
	f.Add(encodeControl(handover, 1))
	f.Fuzz(func(t *testing.T, body []byte) {
		b, _, now := newSingle(t, Config{}, 1)
		b.HandleControl("peer", body, now, nil)
		b.Tick(now.Add(time.Second), nil)
		var ce *ControlError
		if _, _, err := decodeControl(body); err != nil && !errors.As(err, &ce) {
			t.Errorf("got error %v, want ControlError", err)
		}
	})
}
