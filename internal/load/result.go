package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// sampleTime is the time between two points of the plots.
	sampleTime = 250 * time.Millisecond
	// drainTime is the longest time for which a run continues after the last
	// arrival.
	drainTime = 15 * time.Second
	// lostAnswerTime is the time after which an answer that did not come is
	// lost rather than on its way.
	lostAnswerTime = 50 * time.Millisecond
	// slowest is the longest latency that a histogram holds.
	slowest = 2 * time.Minute
)

type (
	// Result is what one run measured. Counts and rates concern requests that
	// arrived, and slot time that passed, between Warmup and Duration.
	Result struct {
		Workload   string
		Deployment string
		Strategy   Strategy
		Admission  Admission
		Seed       uint64
		Duration   time.Duration
		Warmup     time.Duration

		Kinds    []KindResult
		Services []ServiceResult

		// BrokenFlows are flows that a target had begun to serve and that ended
		// because the target or the answer was lost, or by a refusal; a retry
		// does not undo that.
		BrokenFlows int
		// DoubleRuns are non-idempotent requests that ran more than once.
		DoubleRuns int
		// RefusalsThatRan are refusals as NotRun of a flow that reached a
		// target.
		RefusalsThatRan int
		// StrayPackets reached a target that does not know their flow.
		StrayPackets int
		// LostPackets met a lost VM or target or a cut zone.
		LostPackets int
		// PassesPerRequest is the mean number of passes between entry VMs for a
		// flow.
		PassesPerRequest float64
		// ControlRate is the mean number of bytes per second that a VM sends in
		// control messages of the decision core.
		ControlRate fleet.BytesPerSecond
		Drops       map[balancer.Cause]int
		Series      []Sample
	}

	// KindResult is the part of one kind.
	KindResult struct {
		Kind        fleet.KindName
		Service     fleet.ServiceID
		Idempotent  bool
		Offered     int
		OnTime      int
		Late        int
		Broken      int
		Unanswered  int
		Open        int // neither answered nor due when the run ended
		Refused     map[balancer.Cause]int
		Retries     int
		OnTimeShare float64
		// OfferedLoad and Goodput are parts of the service's capacity: the work
		// offered, and the slot time of requests answered on time.
		OfferedLoad float64
		Goodput     float64
		// Floor is the goodput that the share guarantees, which is the load
		// offered where that is less than the share.
		Floor   float64
		Latency Latency
	}

	// Latency has quantiles of the time from the first packet to the answer.
	Latency struct{ P50, P90, P99, P999, Max time.Duration }

	// ServiceResult is the part of one service.
	ServiceResult struct {
		Service fleet.ServiceID
		// Goodput is the slot time of requests answered on time, and Busy all
		// slot time used, as parts of the capacity of live targets.
		Goodput float64
		Busy    float64
		// Imbalance is the highest target load divided by the mean.
		Imbalance float64
		Targets   []float64
	}

	// Sample is one point of the plots; counts are per second.
	Sample struct {
		At    time.Duration
		Kinds []KindSample
	}

	// KindSample counts what ended since the previous point.
	KindSample struct{ Offered, OnTime, Late, Refused float64 }

	// ResultError reports a result file that can't be read.
	ResultError struct {
		File string
		Err  error
	}

	collector struct {
		world        *world
		kinds        []kindCount
		slotTime     map[fleet.ServiceID]time.Duration
		doubleRuns   int
		ranRefusals  int
		strayPackets int
		lostPackets  int
		packets      int
		open         int // requests that are not closed
		passes       int
		controlBytes int
		attempts     int
		drops        map[balancer.Cause]int
		series       []Sample
	}

	kindCount struct {
		offered, onTime, late, broken, unanswered, retries int
		refused                                            map[balancer.Cause]int
		work                                               time.Duration // offered
		useful                                             time.Duration
		latency                                            *hdrhistogram.Histogram
		sample                                             KindSample
	}
)

// Error returns the file and the reason.
func (e *ResultError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the reason.
func (e *ResultError) Unwrap() error { return e.Err }

// Run runs a workload.
func Run(load *Workload, seed uint64, s Strategy, a Admission) (*Result, error) {
	newDecider, err := NewDeciderFor(s, a)
	if err != nil {
		return nil, err
	}
	r, err := RunWith(load, seed, newDecider)
	if err != nil {
		return nil, err
	}
	r.Strategy, r.Admission = s, a
	return r, nil
}

// RunWith runs a workload over any decision core.
func RunWith(load *Workload, seed uint64, newDecider NewDecider) (*Result, error) {
	w, err := newWorld(load, seed, newDecider)
	if err != nil {
		return nil, err
	}
	w.run()
	r := w.result.finish()
	r.Seed = seed
	return r, nil
}

// ReadResult reads a result file; it returns a ResultError.
func ReadResult(name string) (*Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &ResultError{File: name, Err: err}
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, &ResultError{File: name, Err: err}
	}
	if r.Workload == "" {
		return nil, &ResultError{File: name, Err: &fleet.FieldError{Type: "Result", Field: "Workload", Reason: "must not be empty"}}
	}
	return r, nil
}

// Write writes the result as JSON; it returns a ResultError.
func (r *Result) Write(name string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		err = os.WriteFile(name, append(data, '\n'), 0o644)
	}
	if err != nil {
		return &ResultError{File: name, Err: err}
	}
	return nil
}

// Kind returns the part of a kind, or nil.
func (r *Result) Kind(name fleet.KindName) *KindResult {
	for i := range r.Kinds {
		if r.Kinds[i].Kind == name {
			return &r.Kinds[i]
		}
	}
	return nil
}

// Service returns the part of a service, or nil.
func (r *Result) Service(id fleet.ServiceID) *ServiceResult {
	for i := range r.Services {
		if r.Services[i].Service == id {
			return &r.Services[i]
		}
	}
	return nil
}

func newCollector(w *world) *collector {
	c := &collector{
		world:    w,
		kinds:    make([]kindCount, len(w.load.Kinds)),
		slotTime: make(map[fleet.ServiceID]time.Duration),
		drops:    make(map[balancer.Cause]int),
	}
	for i := range c.kinds {
		c.kinds[i].refused = make(map[balancer.Cause]int)
		c.kinds[i].latency = hdrhistogram.New(1, slowest.Microseconds(), 3)
	}
	return c
}

// counts reports whether a request arrived within the window of results.
func (c *collector) counts(r *request) bool {
	return r.arrived >= c.world.load.Warmup && r.arrived < c.world.load.Duration
}

// overlap returns the part of a time span within the window of results.
func (c *collector) overlap(from, to time.Duration) time.Duration {
	return max(0, min(to, c.world.load.Duration)-max(from, c.world.load.Warmup))
}

func (c *collector) offered(r *request) {
	k := &c.kinds[r.kind]
	k.sample.Offered++
	c.open++
	if !c.counts(r) {
		return
	}
	k.offered++
	k.work += r.service
}

func (c *collector) close(r *request) {
	r.closed = true
	c.open--
}

func (c *collector) retried(r *request) {
	if c.counts(r) {
		c.kinds[r.kind].retries++
	}
}

// reached notes that a packet of the flow came to a target.
func (c *collector) reached(a *attempt) {
	if a.refused {
		c.ranRefusals++
	}
}

// refusedNotRun notes a refusal that says that the request was not run.
func (c *collector) refusedNotRun(a *attempt) {
	a.refused = true
	if a.run != nil {
		c.ranRefusals++
	}
}

// ran notes that a request takes a slot.
func (c *collector) ran(a *attempt) {
	r := a.request
	r.runs++
	if r.runs == 2 && !c.world.load.Kinds[r.kind].Idempotent {
		c.doubleRuns++
	}
}

func (c *collector) answered(r *request) {
	if r.closed {
		return
	}
	c.close(r)
	k := &c.kinds[r.kind]
	k.sample.OnTime++
	k.useful += r.used
	if !c.counts(r) {
		return
	}
	k.onTime++
	// The histogram is as wide as the longest run, so that this can't fail.
	_ = k.latency.RecordValue(max(1, (c.world.now - r.arrived).Microseconds()))
}

func (c *collector) refusedFinally(r *request, cause balancer.Cause) {
	if r.closed {
		return
	}
	c.close(r)
	c.kinds[r.kind].sample.Refused++
	if c.counts(r) {
		c.kinds[r.kind].refused[cause]++
	}
}

// unanswered classifies an open attempt at its deadline.
func (c *collector) unanswered(a *attempt) {
	r := a.request
	if r.closed {
		return
	}
	c.close(r)
	k := &c.kinds[r.kind]
	k.sample.Late++
	if !c.counts(r) {
		return
	}
	if a.run == nil {
		k.unanswered++
		return
	}
	k.late++
	lost := a.run.state == runDone && c.world.now-a.run.ended > lostAnswerTime
	if a.broken || lost {
		k.broken++
	}
}

// interrupted notes that a flow was refused after its target had begun.
func (c *collector) interrupted(a *attempt) {
	if c.counts(a.request) {
		c.kinds[a.request.kind].broken++
	}
}

// deadline closes a request that is between two attempts.
func (c *collector) deadline(r *request) {
	c.world.after(0, func() {
		if r.closed {
			return
		}
		c.close(r)
		c.kinds[r.kind].sample.Late++
		if c.counts(r) {
			c.kinds[r.kind].unanswered++
		}
	})
}

func (c *collector) sample() {
	s := Sample{At: c.world.now}
	for i := range c.kinds {
		k := &c.kinds[i].sample
		perSecond := 1 / sampleTime.Seconds()
		s.Kinds = append(s.Kinds, KindSample{
			Offered: k.Offered * perSecond,
			OnTime:  k.OnTime * perSecond,
			Late:    k.Late * perSecond,
			Refused: k.Refused * perSecond,
		})
		*k = KindSample{}
	}
	c.series = append(c.series, s)
}

func (c *collector) finish() *Result {
	w := c.world
	r := &Result{
		Workload:        w.load.Name,
		Deployment:      w.load.Fleet.Name,
		Duration:        w.load.Duration,
		Warmup:          w.load.Warmup,
		DoubleRuns:      c.doubleRuns,
		RefusalsThatRan: c.ranRefusals,
		StrayPackets:    c.strayPackets,
		LostPackets:     c.lostPackets,
		Drops:           c.drops,
		Series:          c.series,
	}
	r.ControlRate = fleet.BytesPerSecond(float64(c.controlBytes) / w.now.Seconds() / float64(len(w.vms)))
	for _, t := range w.targets {
		if t.alive {
			t.upTime += c.overlap(t.upSince, w.now)
			for _, run := range t.runs {
				if run.state == runServing {
					t.busyTime += c.overlap(run.started, w.now)
				}
			}
		}
		c.slotTime[t.service.ID] += t.upTime * time.Duration(t.service.Slots)
	}
	requests := 0
	for i := range c.kinds {
		r.Kinds = append(r.Kinds, c.finishKind(i))
		r.BrokenFlows += c.kinds[i].broken
		requests += c.kinds[i].offered
	}
	if c.attempts > 0 {
		r.PassesPerRequest = float64(c.passes) / float64(c.attempts)
	}
	for i := range w.load.Fleet.Services {
		r.Services = append(r.Services, c.finishService(w.load.Fleet.Services[i].ID))
	}
	return r
}

func (c *collector) finishKind(i int) KindResult {
	spec, k := &c.world.load.Kinds[i], &c.kinds[i]
	r := KindResult{
		Kind:       spec.Name,
		Service:    spec.Service,
		Idempotent: spec.Idempotent,
		Offered:    k.offered,
		OnTime:     k.onTime,
		Late:       k.late,
		Broken:     k.broken,
		Unanswered: k.unanswered,
		Refused:    k.refused,
		Retries:    k.retries,
		Latency: Latency{
			P50:  quantile(k.latency, 50),
			P90:  quantile(k.latency, 90),
			P99:  quantile(k.latency, 99),
			P999: quantile(k.latency, 99.9),
			Max:  time.Duration(k.latency.Max()) * time.Microsecond,
		},
	}
	r.Open = k.offered - k.onTime - k.late - k.unanswered
	for _, n := range k.refused {
		r.Open -= n
	}
	if n := k.offered - r.Open; n > 0 {
		r.OnTimeShare = float64(k.onTime) / float64(n)
	}
	if total := c.slotTime[spec.Service]; total > 0 {
		r.OfferedLoad = float64(k.work) / float64(total)
		r.Goodput = float64(k.useful) / float64(total)
	}
	r.Floor = min(spec.Share, r.OfferedLoad)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (c *collector) finishService(id fleet.ServiceID) ServiceResult {
	r := ServiceResult{Service: id}
	useful, busy := time.Duration(0), time.Duration(0)
	for i := range c.kinds {
		if c.world.load.Kinds[i].Service == id {
			useful += c.kinds[i].useful
		}
	}
	most, sum := 0.0, 0.0
	for _, t := range c.world.targets {
		if t.service.ID != id || t.upTime == 0 {
			continue
		}
		busy += t.busyTime
		load := float64(t.busyTime) / float64(t.upTime) / float64(t.service.Slots)
		r.Targets = append(r.Targets, load)
		most = max(most, load)
		sum += load
	}
	if total := c.slotTime[id]; total > 0 {
		r.Goodput = float64(useful) / float64(total)
		r.Busy = float64(busy) / float64(total)
	}
	if sum > 0 {
		r.Imbalance = most * float64(len(r.Targets)) / sum
	}
	return r
}
