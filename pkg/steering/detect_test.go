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

// Methods to detect targets that open flows and do not respond in time.
const (
	detectOwn         = "own overdue requests"
	detectPooled      = "overdue requests of two VMs"
	detectConsecutive = "three consecutive overdue requests"
	detectOutlier     = "half of the last ten requests overdue"
)

const (
	detectTargets     = 40
	detectFaulty      = 6
	detectRequestRate = 15
	detectObjective   = 300 * time.Millisecond
	detectInterval    = 200 * time.Millisecond
)

type (
	// detectionSim simulates entry VMs and targets, some of which become faulty 1 s
	// after the start. It uses virtual time and has no queues at targets.
	detectionSim struct {
		method    string
		slow      bool
		cores     []*Core
		rng       *rand.Rand
		now       time.Time
		events    detectEvents
		port      int
		histories []map[fleet.Incarnation]*history
		// faultyFlows and allFlows count the flows to faulty and to all targets in
		// each interval of 100 ms since the fault. avoided is the sum of the numbers
		// of healthy targets that a VM avoids, over all VMs and calls of
		// shareReports. rounds is the number of summands.
		faultyFlows, allFlows map[int]int
		avoided, rounds       int
	}

	// history contains the results of the requests that a VM forwards to a target,
	// for the methods that this package does not use.
	history struct {
		recent       []bool
		ejectedUntil time.Time
	}

	detectEvent struct {
		due    time.Time
		action func()
	}
	detectEvents []detectEvent
)

func (q detectEvents) Len() int           { return len(q) }
func (q detectEvents) Less(i, j int) bool { return q[i].due.Before(q[j].due) }
func (q detectEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *detectEvents) Push(x any)        { *q = append(*q, x.(detectEvent)) }
func (q *detectEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (d *detectionSim) after(delay time.Duration, action func()) {
	heap.Push(&d.events, detectEvent{d.now.Add(delay), action})
}

func newDetectionSim(method string, vms int, slow bool) *detectionSim {
	d := &detectionSim{method: method, slow: slow, rng: rand.New(rand.NewPCG(1, uint64(vms))), now: start, faultyFlows: map[int]int{}, allFlows: map[int]int{}}
	var records []registry.Record
	for id := range fleet.Incarnation(detectTargets) {
		records = append(records, target(id+1, "counter", "z0"))
	}
	c := testCatalog()
	c.Routes[0].Objective = detectObjective
	for i := range vms {
		core := New("z0", rand.New(rand.NewPCG(uint64(i), 2)))
		core.SetView(NewView(c, records, uint64(i), start))
		d.cores = append(d.cores, core)
		d.histories = append(d.histories, map[fleet.Incarnation]*history{})
		d.after(time.Duration(d.rng.Int64N(int64(time.Second))), func() { d.request(i) })
	}
	d.after(detectInterval, d.shareReports)
	return d
}

func (d *detectionSim) run(length time.Duration) {
	for end := start.Add(length); len(d.events) > 0 && d.events[0].due.Before(end); {
		e := heap.Pop(&d.events).(detectEvent)
		d.now = e.due
		e.action()
	}
}

func (d *detectionSim) isFaulty(id fleet.Incarnation) bool {
	return id <= detectFaulty && d.now.Sub(start) >= time.Second
}

// request simulates one request of a caller that arrives at the VM, and schedules
// the next one.
func (d *detectionSim) request(vm int) {
	d.after(time.Duration(d.rng.ExpFloat64()*float64(time.Second)/detectRequestRate), func() { d.request(vm) })
	d.port++
	core, f := d.cores[vm], FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(d.port >> 20), byte(d.port >> 12)}), uint16(d.port&0xfff+1)), Route: counterAddr}
	decision := core.Decide(&Packet{Flow: f, Opening: true}, d.now)
	id := decision.Target.ID.Incarnation
	if since := d.now.Sub(start) - time.Second; since >= 0 {
		interval := int(since / (100 * time.Millisecond))
		d.allFlows[interval]++
		if d.isFaulty(id) {
			d.faultyFlows[interval]++
		}
	}
	send := func(acknowledged uint32, data int, end bool) {
		core.Decide(&Packet{Flow: f, Cookie: CookieOf(id), Acknowledged: acknowledged, Data: data, End: end}, d.now)
	}
	duration := time.Duration(40 * math.Exp(0.5*d.rng.NormFloat64()) * float64(time.Millisecond))
	unresponsive := false
	if d.isFaulty(id) {
		unresponsive = !d.slow && d.rng.Float64() < 0.6
		if d.slow {
			duration *= 6
		}
	}
	d.after(4*time.Millisecond, func() { send(1, 100, false) })
	if !unresponsive {
		d.after(4*time.Millisecond+duration, func() { send(500, 0, true) })
	}
	overdue := unresponsive || duration > detectObjective
	d.after(min(duration, detectObjective)+4*time.Millisecond, func() { d.recordResult(vm, id, overdue) })
	if overdue {
		d.after(detectObjective+5*time.Millisecond, func() { core.Tick(d.now) })
	}
}

// recordResult records the result of a request that a VM has forwarded, for the
// methods that this package does not use.
func (d *detectionSim) recordResult(vm int, id fleet.Incarnation, overdue bool) {
	h := d.histories[vm][id]
	if h == nil {
		h = new(history)
		d.histories[vm][id] = h
	}
	h.recent = append(h.recent, overdue)
	if len(h.recent) > 10 {
		h.recent = h.recent[1:]
	}
	n := 0
	for _, late := range h.recent {
		if late {
			n++
		}
	}
	tail := h.recent[max(len(h.recent)-3, 0):]
	eject := d.method == detectOutlier && len(h.recent) == 10 && n >= 5 ||
		d.method == detectConsecutive && len(tail) == 3 && tail[0] && tail[1] && tail[2]
	if eject {
		h.ejectedUntil, h.recent = d.now.Add(overduePenaltyTime), nil
	}
}

// shareReports shares overdue targets between the VMs as the control VMs do, or
// applies the method under comparison.
func (d *detectionSim) shareReports() {
	d.after(detectInterval, d.shareReports)
	counts := map[fleet.Incarnation]int{}
	for _, c := range d.cores {
		for _, id := range c.Overdue(d.now) {
			counts[id]++
		}
	}
	for vm, c := range d.cores {
		var ids []fleet.Incarnation
		switch d.method {
		case detectPooled:
			for id, n := range counts {
				if n >= 2 {
					ids = append(ids, id)
				}
			}
		case detectConsecutive, detectOutlier:
			for _, l := range c.targetLoads {
				l.lastOverdue = time.Time{}
			}
			for id, h := range d.histories[vm] {
				if d.now.Before(h.ejectedUntil) {
					ids = append(ids, id)
				}
			}
		}
		c.SetSharedReports(nil, ids)
		d.rounds++
		for id := fleet.Incarnation(detectFaulty + 1); id <= detectTargets; id++ {
			if c.isOverdue(CookieOf(id), d.now) {
				d.avoided++
			}
		}
	}
}

// detectionTime returns the time from the fault to its detection, or 0 if the
// fault is not detected. The fault counts as detected from the start of the
// first half second in which faulty targets get at most a third of the flows
// that they would get without detection.
func (d *detectionSim) detectionTime() time.Duration {
	const expected = float64(detectFaulty) / detectTargets
	for interval := range len(d.allFlows) - 5 {
		faulty, all := 0, 0
		for i := interval; i < interval+5; i++ {
			faulty, all = faulty+d.faultyFlows[i], all+d.allFlows[i]
		}
		if float64(faulty) <= expected/3*float64(all) {
			return time.Duration(interval) * 100 * time.Millisecond
		}
	}
	return 0
}

// faultyShare returns the share of flows to faulty targets from 2 s after the
// fault on.
func (d *detectionSim) faultyShare() float64 {
	faulty, all := 0, 0
	for interval, n := range d.allFlows {
		if interval >= 20 {
			faulty, all = faulty+d.faultyFlows[interval], all+n
		}
	}
	return float64(faulty) / float64(all)
}

func (d *detectionSim) falsePositiveRate() float64 {
	return float64(d.avoided) / float64(d.rounds*(detectTargets-detectFaulty))
}

// Guards against faulty targets that are detected too late because each of many
// entry VMs relies only on the requests that it forwards, and against avoiding
// healthy targets. BAMBOOWALK_MEASURE=1 prints the results of all methods and
// numbers of VMs.
func TestDetection(t *testing.T) {
	// Detection that takes longer than half of overduePenaltyTime saves less than
	// half of the affected requests.
	const maxTime = overduePenaltyTime / 2
	for _, slow := range []bool{false, true} {
		d := newDetectionSim(detectPooled, 37, slow)
		d.run(8 * time.Second)
		if got := d.detectionTime(); got == 0 || got > maxTime {
			t.Errorf("slow %v: got detection after %v (0 for never), want at most %v", slow, got, maxTime)
		}
		if got := d.falsePositiveRate(); got > 0.02 {
			t.Errorf("slow %v: got %.3f of the healthy targets avoided, want at most 0.02", slow, got)
		}
	}
	if os.Getenv("BAMBOOWALK_MEASURE") == "" {
		return
	}
	for _, slow := range []bool{false, true} {
		for _, method := range []string{detectConsecutive, detectOutlier, detectOwn, detectPooled} {
			for _, vms := range []int{1, 10, 37, 110} {
				d := newDetectionSim(method, vms, slow)
				d.run(12 * time.Second)
				fmt.Printf("slow %-5v %-38s %4d VMs: detected after %6v, %5.1f %% of flows to faulty targets, %5.2f %% of healthy targets avoided\n",
					slow, method, vms, d.detectionTime(), 100*d.faultyShare(), 100*d.falsePositiveRate())
			}
		}
	}
}
