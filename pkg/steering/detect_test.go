package steering

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// Ways to find targets that open flows and do not respond in time.
const (
	detectOwn         = "own overdue requests"
	detectPooled      = "overdue requests of two VMs"
	detectConsecutive = "three consecutive overdue requests"
	detectOutlier     = "half of the last ten requests overdue"
)

const (
	detectTargets   = 40
	detectSick      = 6
	detectPerSecond = 15
	detectObjective = 300 * time.Millisecond
	detectRound     = 200 * time.Millisecond
)

type (
	// detection plays entry VMs before targets of which some are sick from the
	// start of the second second on, in virtual time and without queues at targets.
	detection struct {
		way    string
		slow   bool
		cores  []*Core
		rng    *rand.Rand
		now    time.Time
		events detectEvents
		port   int
		seen   []map[fleet.Incarnation]*history
		// sick and all count flows by 100 ms since the fault; avoided counts healthy
		// targets that are avoided, by VM and round.
		sick, all       map[int]int
		avoided, rounds int
	}

	// history is what a VM has seen of a target, for the ways not taken.
	history struct {
		last []bool
		till time.Time
	}

	detectEvent struct {
		at time.Time
		do func()
	}
	detectEvents []detectEvent
)

func (q detectEvents) Len() int           { return len(q) }
func (q detectEvents) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q detectEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *detectEvents) Push(x any)        { *q = append(*q, x.(detectEvent)) }
func (q *detectEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (d *detection) after(t time.Duration, do func()) {
	heap.Push(&d.events, detectEvent{d.now.Add(t), do})
}

func newDetection(way string, vms int, slow bool) *detection {
	d := &detection{way: way, slow: slow, rng: rand.New(rand.NewPCG(1, uint64(vms))), now: start, sick: map[int]int{}, all: map[int]int{}}
	var records []registry.Record
	for id := range fleet.Incarnation(detectTargets) {
		records = append(records, target(id+1, "counter", "z0"))
	}
	c := testCatalog()
	c.Routes[0].Objective = detectObjective
	for i := range vms {
		core := New("z0", rand.New(rand.NewPCG(uint64(i), 2)))
		core.SetView(NewView(c, records, start))
		d.cores = append(d.cores, core)
		d.seen = append(d.seen, map[fleet.Incarnation]*history{})
		d.after(time.Duration(d.rng.Int64N(int64(time.Second))), func() { d.request(i) })
	}
	d.after(detectRound, d.pool)
	return d
}

func (d *detection) run(length time.Duration) {
	for end := start.Add(length); len(d.events) > 0 && d.events[0].at.Before(end); {
		e := heap.Pop(&d.events).(detectEvent)
		d.now = e.at
		e.do()
	}
}

func (d *detection) isSick(id fleet.Incarnation) bool {
	return id <= detectSick && d.now.Sub(start) >= time.Second
}

// request plays one request of a VM and plans its next one.
func (d *detection) request(vm int) {
	d.after(time.Duration(d.rng.ExpFloat64()*float64(time.Second)/detectPerSecond), func() { d.request(vm) })
	d.port++
	core, f := d.cores[vm], FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(d.port >> 20), byte(d.port >> 12)}), uint16(d.port&0xfff+1)), Route: counter}
	decision := core.Decide(&Packet{Flow: f, Opening: true}, d.now)
	id := decision.Target.ID.Incarnation
	if since := d.now.Sub(start) - time.Second; since >= 0 {
		slot := int(since / (100 * time.Millisecond))
		d.all[slot]++
		if d.isSick(id) {
			d.sick[slot]++
		}
	}
	send := func(acknowledged uint32, data int, end bool) {
		core.Decide(&Packet{Flow: f, Cookie: CookieOf(id), Acknowledged: acknowledged, Data: data, End: end}, d.now)
	}
	work := time.Duration(40 * math.Exp(0.5*d.rng.NormFloat64()) * float64(time.Millisecond))
	mute := false
	if d.isSick(id) {
		mute = !d.slow && d.rng.Float64() < 0.6
		if d.slow {
			work *= 6
		}
	}
	d.after(4*time.Millisecond, func() { send(1, 100, false) })
	if !mute {
		d.after(4*time.Millisecond+work, func() { send(500, 0, true) })
	}
	late := mute || work > detectObjective
	d.after(min(work, detectObjective)+4*time.Millisecond, func() { d.note(vm, id, late) })
	if late {
		d.after(detectObjective+5*time.Millisecond, func() { core.Tick(d.now) })
	}
}

// note keeps what a VM has seen, for the ways not taken.
func (d *detection) note(vm int, id fleet.Incarnation, late bool) {
	h := d.seen[vm][id]
	if h == nil {
		h = new(history)
		d.seen[vm][id] = h
	}
	h.last = append(h.last, late)
	if len(h.last) > 10 {
		h.last = h.last[1:]
	}
	n := 0
	for _, l := range h.last {
		if l {
			n++
		}
	}
	tail := h.last[max(len(h.last)-3, 0):]
	eject := d.way == detectOutlier && len(h.last) == 10 && n >= 5 ||
		d.way == detectConsecutive && len(tail) == 3 && tail[0] && tail[1] && tail[2]
	if eject {
		h.till, h.last = d.now.Add(overdueMemory), nil
	}
}

// pool does what the hubs do, or applies the way that is compared.
func (d *detection) pool() {
	d.after(detectRound, d.pool)
	counts := map[fleet.Incarnation]int{}
	for _, c := range d.cores {
		for _, id := range c.Overdue(d.now) {
			counts[id]++
		}
	}
	for vm, c := range d.cores {
		var ids []fleet.Incarnation
		switch d.way {
		case detectPooled:
			for id, n := range counts {
				if n >= 2 {
					ids = append(ids, id)
				}
			}
		case detectConsecutive, detectOutlier:
			for _, l := range c.loads {
				l.overdue = time.Time{}
			}
			for id, h := range d.seen[vm] {
				if d.now.Before(h.till) {
					ids = append(ids, id)
				}
			}
		}
		c.SetShared(nil, ids)
		d.rounds++
		for id := fleet.Incarnation(detectSick + 1); id <= detectTargets; id++ {
			if c.overdue(CookieOf(id), d.now) {
				d.avoided++
			}
		}
	}
}

// detected returns the time from the fault until at most a third of the flows that
// would go to sick targets still do so, over half a second; 0 where they always do.
func (d *detection) detected() time.Duration {
	const expected = float64(detectSick) / detectTargets
	for slot := range len(d.all) - 5 {
		sick, all := 0, 0
		for i := slot; i < slot+5; i++ {
			sick, all = sick+d.sick[i], all+d.all[i]
		}
		if float64(sick) <= expected/3*float64(all) {
			return time.Duration(slot) * 100 * time.Millisecond
		}
	}
	return 0
}

// share returns the part of the flows that go to sick targets from 2 s after the
// fault on.
func (d *detection) share() float64 {
	sick, all := 0, 0
	for slot, n := range d.all {
		if slot >= 20 {
			sick, all = sick+d.sick[slot], all+n
		}
	}
	return float64(sick) / float64(all)
}

func (d *detection) falsely() float64 {
	return float64(d.avoided) / float64(d.rounds*(detectTargets-detectSick))
}

// Guards against sick targets that many entry VMs find too late, each for itself,
// and against healthy ones that they avoid. BAMBOOWALK_MEASURE=1 prints all ways at
// all sizes.
func TestDetection(t *testing.T) {
	// What takes longer than half of the time for which a target is avoided saves
	// less than half of the requests.
	const most = overdueMemory / 2
	for _, slow := range []bool{false, true} {
		d := newDetection(detectPooled, 37, slow)
		d.run(8 * time.Second)
		if got := d.detected(); got == 0 || got > most {
			t.Errorf("slow %v: got detection after %v, want at most %v", slow, got, most)
		}
		if got := d.falsely(); got > 0.02 {
			t.Errorf("slow %v: got %.3f of the healthy targets avoided, want at most 0.02", slow, got)
		}
	}
	if os.Getenv("BAMBOOWALK_MEASURE") == "" {
		return
	}
	for _, slow := range []bool{false, true} {
		for _, way := range []string{detectConsecutive, detectOutlier, detectOwn, detectPooled} {
			for _, vms := range []int{1, 10, 37, 110} {
				d := newDetection(way, vms, slow)
				d.run(12 * time.Second)
				fmt.Printf("slow %-5v %-38s %4d VMs: detected after %6v, %5.1f %% of flows to sick targets, %5.2f %% of healthy ones avoided\n",
					slow, way, vms, d.detected(), 100*d.share(), 100*d.falsely())
			}
		}
	}
}
