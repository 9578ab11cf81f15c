package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// source offers requests of one kind at a rate from one caller.
	source struct {
		kind    fleet.KindName
		caller  int
		load    float64 // part of the slots
		service time.Duration
	}

	// bench runs sources against a limiter in steps of a millisecond.
	bench struct {
		l       *Limiter
		rng     *rand.Rand
		now     time.Time
		port    int
		ends    endHeap
		slots   int
		served  map[fleet.KindName]time.Duration
		callers map[int]int
		waits   map[fleet.KindName][]time.Duration
		arrived map[fleet.FlowKey]ending
		// shedAbove makes the target shed what exceeds this number, if not 0.
		shedAbove int
	}

	ending struct {
		at      time.Time
		flow    fleet.FlowKey
		service time.Duration
		caller  int
		kind    fleet.KindName
	}
	endHeap []ending
)

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(ending)) }
func (h *endHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func newBench(l *Limiter, slots int) *bench {
	return &bench{
		l: l, rng: rand.New(rand.NewPCG(1, 2)), now: start, slots: slots,
		served:  make(map[fleet.KindName]time.Duration),
		callers: make(map[int]int),
		waits:   make(map[fleet.KindName][]time.Duration),
		arrived: make(map[fleet.FlowKey]ending),
	}
}

func (b *bench) begin(flow fleet.FlowKey) {
	e := b.arrived[flow]
	delete(b.arrived, flow)
	b.waits[e.kind] = append(b.waits[e.kind], b.now.Sub(e.at))
	if b.shedAbove > 0 && len(b.ends) >= b.shedAbove {
		b.l.Finish(flow, Shed, b.now)
		return
	}
	b.served[e.kind] += e.service
	b.callers[e.caller]++
	e.at = b.now.Add(e.service)
	heap.Push(&b.ends, e)
}

func (b *bench) run(d time.Duration, sources ...source) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
		for len(b.ends) > 0 && !b.ends[0].at.After(b.now) {
			b.l.Finish(heap.Pop(&b.ends).(ending).flow, Completed, b.now)
		}
		for _, s := range sources {
			expected := s.load * float64(b.slots) / float64(s.service.Milliseconds())
			for n := expected + b.rng.Float64(); n >= 1; n-- {
				b.offer(s)
			}
		}
		started, _ := b.l.Next(b.now)
		for i := range started {
			b.begin(started[i].Flow)
		}
	}
}

func (b *bench) offer(s source) {
	b.port++
	r := request(s.kind, s.caller, b.port%60_000, b.now)
	service := time.Duration(b.rng.ExpFloat64() * float64(s.service))
	b.arrived[r.Flow] = ending{at: b.now, flow: r.Flow, service: service, caller: s.caller, kind: s.kind}
	if b.l.TryStart(r, b.now) {
		b.begin(r.Flow)
		return
	}
	if _, err := b.l.Enqueue(r, b.now); err != nil {
		delete(b.arrived, r.Flow)
	}
}

func (b *bench) part(kind fleet.KindName, d time.Duration) float64 {
	return b.served[kind].Seconds() / (d.Seconds() * float64(b.slots))
}

// Guards against a kind that gets less than its share in a flood of another.
func TestEachKindKeepsItsFloor(t *testing.T) {
	shares := map[fleet.KindName]float64{"Order": 0.5, "Lookup": 0.2}
	for _, flood := range []fleet.KindName{"Order", "Lookup"} {
		for _, slots := range []int{2, 3, 8} {
			b := newBench(NewLimiter(target(slots), kinds(), start), slots)
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
				if got := b.part(kind, d); got < share {
					t.Errorf("flood of %s, %d slots: %s got %.3f of the slots, want %.3f", flood, slots, kind, got, share)
				}
			}
		}
	}
}

// Guards against unused share that stays idle: a kind alone gets nearly all.
func TestUnusedShareIsLent(t *testing.T) {
	b := newBench(NewLimiter(target(3), kinds(), start), 3)
	const d = 5 * time.Second
	b.run(d, source{kind: "Lookup", caller: 1, load: 5, service: 10 * time.Millisecond})
	if got := b.part("Lookup", d); got < 0.9 {
		t.Errorf("got %.3f of the slots for lookups alone, want 0.9", got)
	}
}

// Guards against head-of-line blocking: orders wait for a long download only
// where every slot may be taken by downloads.
func TestDownloadsLeaveASlotToOrders(t *testing.T) {
	b := newBench(NewLimiter(target(2), kinds(), start), 2)
	b.run(20*time.Second,
		source{kind: "Sheet", caller: 1, load: 3, service: 3 * time.Second},
		source{kind: "Order", caller: 2, load: 0.1, service: 20 * time.Millisecond})
	for _, wait := range b.waits["Order"] {
		if wait > 200*time.Millisecond {
			t.Fatalf("an order waited %v", wait)
		}
	}
	if got := b.part("Sheet", 20*time.Second); got < 0.45 {
		t.Errorf("downloads got %.3f of the slots, want one of two", got)
	}
}

// Guards against a caller that takes the place of others in a flood.
func TestCallersShareAKind(t *testing.T) {
	b := newBench(NewLimiter(target(3), kinds(), start), 3)
	sources := []source{{kind: "Lookup", caller: 1, load: 10, service: 10 * time.Millisecond}}
	for caller := 2; caller < 6; caller++ {
		sources = append(sources, source{kind: "Lookup", caller: caller, load: 0.1, service: 10 * time.Millisecond})
	}
	b.run(10*time.Second, sources...)
	for caller := 2; caller < 6; caller++ {
		// Each offers 0.1 of 3 slots for 10 s at 10 ms.
		if got := b.callers[caller]; got < 270 {
			t.Errorf("caller %d got %d of about 300 requests", caller, got)
		}
	}
}

// Guards against a limit that stays above what the target takes, that swings,
// and that does not come back.
func TestLimitFollowsSheddingWithoutOscillation(t *testing.T) {
	l := NewLimiter(target(4), kinds(), start)
	b := newBench(l, 4)
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
	// Probes come at intervals of 8, 16 and 30 s by then; each may be seen as
	// two changes.
	if last < 1 || last > 3 || changes > 8 {
		t.Errorf("got limit %d with %d changes in 30 s, want 2 or a probe of 3, at most 8", last, changes)
	}
	b.shedAbove = 0
	b.run(70*time.Second, flood)
	if limit := l.Limit(b.now); limit != 4 {
		t.Errorf("got limit %d after the target recovered, want 4", limit)
	}
}

// Guards against chance lowering the limit of a target that is not slower.
func TestLimitIgnoresVariationOfServiceTimes(t *testing.T) {
	l := NewLimiter(target(2), kinds(), start)
	b := newBench(l, 2)
	for range 600 {
		b.run(100*time.Millisecond, source{kind: "Lookup", caller: 1, load: 5, service: 10 * time.Millisecond})
		if limit := l.Limit(b.now); limit != 2 {
			t.Fatalf("got limit %d at %v, want 2", limit, b.now.Sub(start))
		}
	}
}

// Guards against a target that slows down and keeps all its work.
func TestLimitFollowsDelay(t *testing.T) {
	l := NewLimiter(target(4), kinds(), start)
	b := newBench(l, 4)
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

// Guards against a kind that is refused for good after the target was slow for
// a while: without a start the estimate of its service time can't fall.
func TestSlowTimeDoesNotStopAKindForGood(t *testing.T) {
	b := newBench(NewLimiter(target(2), kinds(), start), 2)
	b.run(5*time.Second, source{kind: "Lookup", caller: 1, load: 1, service: 500 * time.Millisecond})
	b.run(5*time.Second, source{kind: "Lookup", caller: 1, load: 0.5, service: 10 * time.Millisecond})
	before := b.served["Lookup"]
	const d = 2 * time.Second
	b.run(d, source{kind: "Lookup", caller: 1, load: 0.5, service: 10 * time.Millisecond})
	if got := (b.served["Lookup"] - before).Seconds() / (2 * d.Seconds()); got < 0.4 {
		t.Errorf("got %.3f of the slots for an offered 0.5 after the slow time", got)
	}
}

// Guards the weights between kinds of equal urgency, also after one was idle
// and could claim the slots that it did not use.
func TestWeightsDivideEqualUrgency(t *testing.T) {
	equal := kinds()[:2]
	for i := range equal {
		equal[i].Urgency, equal[i].Share, equal[i].Weight = 2, 0, float64(3-2*i)
	}
	b := newBench(NewLimiter(target(3), equal, start), 3)
	orders := source{kind: "Order", caller: 1, load: 4, service: 10 * time.Millisecond}
	lookups := source{kind: "Lookup", caller: 2, load: 4, service: 10 * time.Millisecond}
	b.run(5*time.Second, lookups)
	for range 3 {
		before := b.served["Order"].Seconds()
		beforeLookup := b.served["Lookup"].Seconds()
		b.run(time.Second, orders, lookups)
		ratio := (b.served["Order"].Seconds() - before) / (b.served["Lookup"].Seconds() - beforeLookup)
		if ratio < 2 || ratio > 4.5 {
			t.Errorf("got %.2f times as much for three times the weight", ratio)
		}
	}
}
