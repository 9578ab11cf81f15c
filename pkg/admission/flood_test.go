package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// source offers requests of one kind from one caller at a constant mean
	// rate.
	source struct {
		kind    fleet.KindName
		caller  int
		load    float64       // offered load as a fraction of the slots
		service time.Duration // mean of an exponential distribution
	}

	// targetSim simulates a target behind a limiter, in steps of 1 ms, under the
	// load of sources.
	targetSim struct {
		l              *Limiter
		rng            *rand.Rand
		now            time.Time
		port           int
		completions    completionHeap
		slots          int
		served         map[fleet.KindName]time.Duration
		startsByCaller map[int]int
		waits          map[fleet.KindName][]time.Duration
		arrived        map[fleet.FlowKey]simulatedRequest // offered, not yet started or refused
		// If at least shedAbove requests are running, the target sheds further
		// requests. If shedAbove is 0, it sheds none.
		shedAbove int
	}

	simulatedRequest struct {
		at      time.Time // arrival; after the start, the end of the service time
		flow    fleet.FlowKey
		service time.Duration
		caller  int
		kind    fleet.KindName
	}
	completionHeap []simulatedRequest
)

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(simulatedRequest)) }
func (h *completionHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newTargetSim(l *Limiter, slots int) *targetSim {
	return &targetSim{
		l: l, rng: rand.New(rand.NewPCG(1, 2)), now: start, slots: slots,
		served:         make(map[fleet.KindName]time.Duration),
		startsByCaller: make(map[int]int),
		waits:          make(map[fleet.KindName][]time.Duration),
		arrived:        make(map[fleet.FlowKey]simulatedRequest),
	}
}

func (b *targetSim) onStart(flow fleet.FlowKey) {
	e := b.arrived[flow]
	delete(b.arrived, flow)
	b.waits[e.kind] = append(b.waits[e.kind], b.now.Sub(e.at))
	if b.shedAbove > 0 && len(b.completions) >= b.shedAbove {
		b.l.Finish(flow, Shed, b.now)
		return
	}
	b.served[e.kind] += e.service
	b.startsByCaller[e.caller]++
	e.at = b.now.Add(e.service)
	heap.Push(&b.completions, e)
}

func (b *targetSim) run(d time.Duration, sources ...source) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
		for len(b.completions) > 0 && !b.completions[0].at.After(b.now) {
			b.l.Finish(heap.Pop(&b.completions).(simulatedRequest).flow, Completed, b.now)
		}
		for _, s := range sources {
			expected := s.load * float64(b.slots) / float64(s.service.Milliseconds())
			for n := expected + b.rng.Float64(); n >= 1; n-- {
				b.offer(s)
			}
		}
		started, _ := b.l.Next(b.now)
		for i := range started {
			b.onStart(started[i].Flow)
		}
	}
}

func (b *targetSim) offer(s source) {
	b.port++
	r := request(s.kind, s.caller, b.port%60_000, b.now)
	service := time.Duration(b.rng.ExpFloat64() * float64(s.service))
	b.arrived[r.Flow] = simulatedRequest{at: b.now, flow: r.Flow, service: service, caller: s.caller, kind: s.kind}
	if b.l.TryStart(r, b.now) {
		b.onStart(r.Flow)
		return
	}
	if _, err := b.l.Enqueue(r, b.now); err != nil {
		delete(b.arrived, r.Flow)
	}
}

func (b *targetSim) slotShare(kind fleet.KindName, d time.Duration) float64 {
	return b.served[kind].Seconds() / (d.Seconds() * float64(b.slots))
}

// Guards against a kind that gets less than its share while another kind floods
// the target.
func TestEachKindKeepsItsShare(t *testing.T) {
	shares := map[fleet.KindName]float64{"Order": 0.5, "Lookup": 0.2}
	for _, flood := range []fleet.KindName{"Order", "Lookup"} {
		for _, slots := range []int{2, 3, 8} {
			b := newTargetSim(NewLimiter(target(slots), kinds(), start), slots)
			orders := source{kind: "Order", caller: 1, load: 0.6, service: 20 * time.Millisecond}
			lookups := source{kind: "Lookup", caller: 2, load: 0.4, service: 10 * time.Millisecond}
			if flood == "Order" {
				orders.load = 20
			} else {
				lookups.load = 20
			}
			const d = 10 * time.Second
			b.run(d, orders, lookups)
			for kind, share := range shares {
				if got := b.slotShare(kind, d); got < share {
					t.Errorf("flood of %s, %d slots: %s got %.3f of the slots, want at least %.3f", flood, slots, kind, got, share)
				}
			}
		}
	}
}

// Guards against slots that stay idle because other kinds do not use their
// shares: a kind without competition must get nearly all slot time.
func TestUnusedShareGoesToOtherKinds(t *testing.T) {
	b := newTargetSim(NewLimiter(target(3), kinds(), start), 3)
	const d = 5 * time.Second
	b.run(d, source{kind: "Lookup", caller: 1, load: 5, service: 10 * time.Millisecond})
	if got := b.slotShare("Lookup", d); got < 0.9 {
		t.Errorf("got %.3f of the slots for lookups alone, want at least 0.9", got)
	}
}

// Guards against head-of-line blocking: long downloads, which have the kind
// Sheet, must leave a slot to orders.
func TestDownloadsLeaveASlotToOrders(t *testing.T) {
	b := newTargetSim(NewLimiter(target(2), kinds(), start), 2)
	b.run(20*time.Second,
		source{kind: "Sheet", caller: 1, load: 3, service: 3 * time.Second},
		source{kind: "Order", caller: 2, load: 0.1, service: 20 * time.Millisecond})
	for _, wait := range b.waits["Order"] {
		if wait > 200*time.Millisecond {
			t.Fatalf("order waited %v, want at most 200ms", wait)
		}
	}
	if got := b.slotShare("Sheet", 20*time.Second); got < 0.45 {
		t.Errorf("downloads got %.3f of the slots, want at least 0.45", got)
	}
}

// Guards against a flooding caller that displaces the requests of other
// callers.
func TestCallersShareAKind(t *testing.T) {
	b := newTargetSim(NewLimiter(target(3), kinds(), start), 3)
	sources := []source{{kind: "Lookup", caller: 1, load: 10, service: 10 * time.Millisecond}}
	for caller := 2; caller < 6; caller++ {
		sources = append(sources, source{kind: "Lookup", caller: caller, load: 0.1, service: 10 * time.Millisecond})
	}
	b.run(10*time.Second, sources...)
	for caller := 2; caller < 6; caller++ {
		// Each caller offers 0.1 * 3 slots * 10 s / 10 ms = 300 requests.
		if got := b.startsByCaller[caller]; got < 270 {
			t.Errorf("caller %d: got %d of about 300 requests started, want at least 270", caller, got)
		}
	}
}

// Guards against a limit that stays above the number of requests that the target
// accepts, that oscillates, or that does not recover.
func TestLimitFollowsSheddingWithoutOscillation(t *testing.T) {
	l := NewLimiter(target(4), kinds(), start)
	b := newTargetSim(l, 4)
	flood := source{kind: "Lookup", caller: 1, load: 5, service: 10 * time.Millisecond}
	b.shedAbove = 2
	b.run(10*time.Second, flood)
	changes, last := 0, l.Limit(b.now)
	for range 300 {
		b.run(100*time.Millisecond, flood)
		if limit := l.Limit(b.now); limit != last {
			changes++
			last = limit
		}
	}
	// After the first 10 s the limit is probed at intervals of 8, 16 and 30 s.
	// Each probe can count as two changes: the raise and the reduction after it.
	if last < 1 || last > 3 || changes > 8 {
		t.Errorf("got limit %d with %d changes in 30 s, want a limit of 1 to 3 and at most 8 changes", last, changes)
	}
	b.shedAbove = 0
	b.run(70*time.Second, flood)
	if limit := l.Limit(b.now); limit != 4 {
		t.Errorf("got limit %d after the target recovered, want 4", limit)
	}
}

// Guards against a limit that is lowered because of random variation, although
// the target is not slower.
func TestLimitIgnoresVariationOfServiceTimes(t *testing.T) {
	l := NewLimiter(target(2), kinds(), start)
	b := newTargetSim(l, 2)
	for range 600 {
		b.run(100*time.Millisecond, source{kind: "Lookup", caller: 1, load: 5, service: 10 * time.Millisecond})
		if limit := l.Limit(b.now); limit != 2 {
			t.Fatalf("got limit %d at %v, want 2", limit, b.now.Sub(start))
		}
	}
}

// Guards against a limit that is not lowered when the target slows down.
func TestLimitFollowsDelay(t *testing.T) {
	l := NewLimiter(target(4), kinds(), start)
	b := newTargetSim(l, 4)
	b.run(5*time.Second, source{kind: "Lookup", caller: 1, load: 2, service: 10 * time.Millisecond})
	lowest := 4
	for range 20 {
		b.run(100*time.Millisecond, source{kind: "Lookup", caller: 1, load: 2, service: 40 * time.Millisecond})
		lowest = min(lowest, l.Limit(b.now))
	}
	if lowest != 2 {
		t.Errorf("got lowest limit %d, want half of the slots", lowest)
	}
}

// Guards against a kind that is refused forever after the target was slow for
// some time: without a start, the estimate of its service time can't fall.
func TestSlowTimeDoesNotStopAKindForGood(t *testing.T) {
	b := newTargetSim(NewLimiter(target(2), kinds(), start), 2)
	b.run(5*time.Second, source{kind: "Lookup", caller: 1, load: 1, service: 500 * time.Millisecond})
	b.run(5*time.Second, source{kind: "Lookup", caller: 1, load: 0.5, service: 10 * time.Millisecond})
	before := b.served["Lookup"]
	const d = 2 * time.Second
	b.run(d, source{kind: "Lookup", caller: 1, load: 0.5, service: 10 * time.Millisecond})
	if got := (b.served["Lookup"] - before).Seconds() / (2 * d.Seconds()); got < 0.4 {
		t.Errorf("got %.3f of the slots for an offered load of 0.5 after the target was slow, want at least 0.4", got)
	}
}

// Guards against kinds of equal urgency that don't share slots by weight, and
// against a kind that gets more than its weight allows after an idle period.
func TestWeightsDivideEqualUrgency(t *testing.T) {
	equal := kinds()[:2]
	for i := range equal {
		equal[i].Urgency, equal[i].Share, equal[i].Weight = 2, 0, float64(3-2*i)
	}
	b := newTargetSim(NewLimiter(target(3), equal, start), 3)
	orders := source{kind: "Order", caller: 1, load: 4, service: 10 * time.Millisecond}
	lookups := source{kind: "Lookup", caller: 2, load: 4, service: 10 * time.Millisecond}
	b.run(5*time.Second, lookups)
	for range 3 {
		before := b.served["Order"].Seconds()
		beforeLookup := b.served["Lookup"].Seconds()
		b.run(time.Second, orders, lookups)
		ratio := (b.served["Order"].Seconds() - before) / (b.served["Lookup"].Seconds() - beforeLookup)
		if ratio < 2 || ratio > 4.5 {
			t.Errorf("got %.2f times the slot time for three times the weight, want 2 to 4.5", ratio)
		}
	}
}
