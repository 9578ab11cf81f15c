package admission

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Guards against a target that gets its full load immediately after it starts or
// returns to service.
func TestColdTargetRamps(t *testing.T) {
	cold := target(4)
	cold.State = fleet.TargetCold
	l := NewLimiter(cold, kinds(), start)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {RampTime / 2, 2}, {RampTime - 1, 3}, {RampTime, 4}} {
		if got := l.Limit(start.Add(c.after)); got != c.want {
			t.Errorf("after %v: got limit %d, want %d", c.after, got, c.want)
		}
	}
	ready := target(4)
	l.Configure(ready, kinds(), start.Add(time.Second))
	if got := l.Limit(start.Add(time.Second)); got != 2 {
		t.Errorf("got limit %d once the target is ready, want the ramp to continue at 2", got)
	}
	ready.State = fleet.TargetDraining
	l.Configure(ready, kinds(), start.Add(time.Minute))
	cold.ID.Incarnation++
	l.Configure(cold, kinds(), start.Add(2*time.Minute))
	if got := l.Limit(start.Add(2 * time.Minute)); got != 1 {
		t.Errorf("got limit %d after a return, want 1", got)
	}
}

// Guards against a new owner that starts requests in slots still taken by
// requests of the previous owner.
func TestTakeoverCountsAdoptedAndReported(t *testing.T) {
	l := NewLimiter(target(4), kinds()[:2], start)
	l.Takeover(3, start)
	l.Adopt(request("Order", 1, 1, start), start)
	if l.TryStart(request("Order", 1, 2, start), start) {
		t.Error("request started right after the takeover of a busy target, want none")
	}
	if got := l.Limit(start.Add(300 * time.Millisecond)); got != 4 {
		t.Errorf("got limit %d after the longest deadline, want 4", got)
	}
}

// Guards against load reports that reduce the limit of a target by more than
// half, and against late reports through which the owner's own requests are
// counted as those of another owner.
func TestLoadReportsAreBounded(t *testing.T) {
	l := NewLimiter(target(4), kinds(), start)
	now := start.Add(time.Second)
	l.ReportLoad(1000, now)
	if got := l.Limit(now); got != 4 {
		t.Errorf("one report: got limit %d, want 4", got)
	}
	l.ReportLoad(1000, now)
	if got := l.Limit(now); got != 2 {
		t.Errorf("two reports of 1000: got limit %d, want half of 4", got)
	}
	if got := l.Limit(now.Add(reportTimeout)); got != 4 {
		t.Errorf("old reports: got limit %d, want 4", got)
	}
	now = now.Add(reportTimeout)
	for i := range 4 {
		l.TryStart(request("Order", 1, i, now), now)
	}
	late := now.Add(maxReportLag / 2)
	for i := range 4 {
		l.Finish(flow(1, i), Completed, late)
	}
	l.ReportLoad(4, late)
	l.ReportLoad(4, late)
	if got := l.Limit(late); got != 4 {
		t.Errorf("late report of own requests: got limit %d, want 4", got)
	}
	l.ReportLoad(-5, late)
	l.ReportLoad(0, late)
	if got := l.Limit(late); got != 4 {
		t.Errorf("low report: got limit %d, want 4", got)
	}
}

// Guards against cancelled requests that keep their slot or stay in the queue.
func TestCancelFreesSlotAndQueue(t *testing.T) {
	l := NewLimiter(target(1), kinds(), start)
	l.TryStart(request("Order", 1, 1, start), start)
	for port := 2; port <= 3; port++ {
		if _, err := l.Enqueue(request("Order", port, port, start), start); err != nil {
			t.Fatal(err)
		}
	}
	if !l.Cancel(flow(2, 2), start) || !l.Cancel(flow(1, 1), start) || l.Cancel(flow(1, 1), start) {
		t.Fatal("Cancel: got a wrong result, want true for the queued and the running request and false for the repetition")
	}
	started, _ := l.Next(start)
	if len(started) != 1 || started[0].Flow != flow(3, 3) {
		t.Errorf("got %v, want the queued request", started)
	}
}

// Guards against queued requests that are lost when the target drains or the
// kind is removed: the callers must be told that these requests were not run.
func TestConfigureReturnsWhatItRefuses(t *testing.T) {
	l := NewLimiter(target(1), kinds(), start)
	l.TryStart(request("Order", 1, 1, start), start)
	for i, kind := range []fleet.KindName{"Order", "Lookup"} {
		if _, err := l.Enqueue(request(kind, 2, 2+i, start), start); err != nil {
			t.Fatal(err)
		}
	}
	if refused := l.Configure(target(1), kinds()[:1], start); len(refused) != 1 || refused[0].Kind != "Lookup" {
		t.Errorf("removed kind: got %v, want the lookup", refused)
	}
	draining := target(1)
	draining.State = fleet.TargetDraining
	if refused := l.Configure(draining, kinds()[:1], start); len(refused) != 1 || refused[0].Kind != "Order" {
		t.Errorf("drain: got %v, want the order", refused)
	}
	l.Finish(flow(1, 1), Completed, start)
	if l.TryStart(request("Order", 3, 9, start), start) {
		t.Error("draining target started a new request")
	}
	var refusal *RefusalError
	if _, err := l.Enqueue(request("Order", 3, 9, start), start); !errors.As(err, &refusal) || refusal.Cause != CauseNotServing {
		t.Errorf("got %v, want a refusal because the target drains", err)
	}
	if _, err := l.Enqueue(request("Lookup", 3, 9, start), start); !errors.As(err, &refusal) || refusal.Cause != CauseUnknownKind {
		t.Errorf("got %v, want a refusal of the unknown kind", err)
	}
}

// Guards against the refusal of a flow that is already queued or in flight and
// may still run.
func TestRepeatedEnqueueRefusesNothing(t *testing.T) {
	l := NewLimiter(target(1), kinds(), start)
	l.TryStart(request("Order", 1, 1, start), start)
	for range 3 {
		for port := 1; port <= 2; port++ {
			if evicted, err := l.Enqueue(request("Order", 1, port, start), start); err != nil || len(evicted) > 0 {
				t.Fatalf("got %v, %v, want no effect", evicted, err)
			}
		}
	}
	if l.Waiting() != 1 || l.InFlight() != 1 {
		t.Errorf("got %d waiting, %d in flight, want 1 and 1", l.Waiting(), l.InFlight())
	}
}

// Guards against retries after the deadline, delays above the maximum, and equal
// delays, which would synchronize the retries of many callers.
func TestBackoffStaysBeforeTheDeadline(t *testing.T) {
	b := Backoff{First: 20 * time.Millisecond, Max: 200 * time.Millisecond}
	rng := rand.New(rand.NewPCG(1, 1))
	deadline := start.Add(150 * time.Millisecond)
	seen := make(map[time.Duration]bool)
	for retry := range 80 {
		d, ok := b.Delay(retry, start, deadline, rng)
		if ok != start.Add(d).Before(deadline) || d <= 0 || d > b.Max {
			t.Fatalf("retry %d: got %v, %v", retry, d, ok)
		}
		seen[d] = true
	}
	if len(seen) < 70 {
		t.Errorf("got %d different delays of 80, want at least 70", len(seen))
	}
}

// Guards against an edge that refuses requests which owners accept, refuses
// requests that are not idempotent, oscillates, or never stops refusing.
func TestEdgeRefusesOnlyWhatOwnersRefuse(t *testing.T) {
	e := &Edge{}
	e.SetKinds(kinds())
	now := start
	offer := func(load float64) (refused map[fleet.KindName]int) {
		refused = make(map[fleet.KindName]int)
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			// The owner refuses the lookups that exceed the capacity of its target.
			offered := load * (1 - e.RefusedShare("Lookup"))
			e.ObservePressure("Lookup", uint8(255*max(0, 1-1/offered)), now)
			e.ObservePressure("Order", 255, now)
			e.ObservePressure("Sheet", 20, now)
			for _, kind := range []fleet.KindName{"Order", "Lookup", "Sheet"} {
				if e.Refuse(kind, now) {
					refused[kind]++
				}
			}
		}
		return refused
	}
	for range 10 {
		offer(20)
	}
	before := e.RefusedShare("Lookup")
	refused := offer(20)
	if refused["Order"] != 0 || refused["Sheet"] != 0 {
		t.Errorf("got %v, want refusals of lookups only", refused)
	}
	// At the setpoint the owner receives about 2 times the capacity of its
	// target. The offered load is 20 times the capacity, so about 90 % of the
	// lookups are refused.
	if refused["Lookup"] < 85 || refused["Lookup"] > 93 {
		t.Errorf("got %d of 100 lookups refused, want about 90", refused["Lookup"])
	}
	if d := e.RefusedShare("Lookup") - before; d < -0.02 || d > 0.02 {
		t.Errorf("refused share changed by %.3f in a second of steady load, want at most 0.02", d)
	}
	for range 5 {
		offer(0.5)
	}
	if got := offer(0.5)["Lookup"]; got != 0 {
		t.Errorf("got %d lookups refused after the flood, want 0", got)
	}
}

// Guards against a Guard that allows more packets of a flood than its limits
// say, and against one source that uses up the total limit.
func TestGuardBoundsStartsAndMalformed(t *testing.T) {
	g := NewGuard(GuardLimits{Starts: 1000, SourceStarts: 100, Malformed: 10, Burst: 100 * time.Millisecond})
	now := start
	allowed, other, malformed := 0, 0, 0
	for i := range 10_000 {
		now = now.Add(100 * time.Microsecond)
		if g.AllowStart(flow(1, i), now) {
			allowed++
		}
		if i%100 == 0 && g.AllowStart(flow(2, i), now) {
			other++
		}
		if g.AllowMalformed(now) {
			malformed++
		}
	}
	if allowed < 95 || allowed > 115 {
		t.Errorf("got %d starts of one source in 1 s, want about 100", allowed)
	}
	if other != 100 {
		t.Errorf("got %d of 100 starts of another source, want all", other)
	}
	if malformed > 12 {
		t.Errorf("got %d malformed packets allowed, want about 10", malformed)
	}
	total := 0
	for i := range 50_000 {
		now = now.Add(20 * time.Microsecond)
		if g.AllowStart(flow(i, i), now) {
			total++
		}
	}
	if total > 1101 {
		t.Errorf("got %d starts of many sources in 1 s, want at most 1000 plus the burst", total)
	}
}

// Guards against a team that takes all of a shared resource.
func TestPoolDividesBetweenTeams(t *testing.T) {
	p := NewPool(1000)
	for p.Take("Greedy", 10) {
	}
	if got := p.Used(); got < 490 || got > 510 {
		t.Errorf("one team alone took %d of 1000 units, want half", got)
	}
	for p.Take("Other", 10) {
	}
	for p.Take("Third", 10) {
	}
	if p.teams["Other"] < 240 || p.teams["Third"] < 120 || p.Used() > 1000 {
		t.Errorf("got units by team %v, want at least 240 for Other and 120 for Third, and at most 1000 in total", p.teams)
	}
	p.Give("Greedy", 2000)
	if got := p.Used(); got != p.teams["Other"]+p.teams["Third"] {
		t.Errorf("got %d units used after a team released all its units", got)
	}
}

func BenchmarkStartFinish(b *testing.B) {
	l := NewLimiter(target(3), kinds(), start)
	now := start
	r := request("Lookup", 1, 1, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Microsecond)
		r.Deadline = now.Add(200 * time.Millisecond)
		l.TryStart(r, now)
		l.Finish(r.Flow, Completed, now)
	}
}

// BenchmarkRefuseInFlood measures a refusal with a full queue, the usual state
// in a flood.
func BenchmarkRefuseInFlood(b *testing.B) {
	l := NewLimiter(target(3), kinds(), start)
	for i := range 200 {
		r := request("Lookup", i, i, start)
		if !l.TryStart(r, start) {
			_, _ = l.Enqueue(r, start)
		}
	}
	r := request("Lookup", 500, 500, start)
	b.ReportAllocs()
	for b.Loop() {
		if !l.TryStart(r, start) {
			_, _ = l.Enqueue(r, start)
		}
	}
}
