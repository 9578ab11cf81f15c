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
	// sampleInterval is the time between two points of the plots.
	sampleInterval = 250 * time.Millisecond
	// maxDrainTime is the maximum time for which a run continues after
	// Workload.Duration has elapsed.
	maxDrainTime = 15 * time.Second
	// lostAnswerTimeout is the time since the end of a request's run at the
	// target after which an answer that has not arrived counts as lost rather
	// than in transit.
	lostAnswerTimeout = 50 * time.Millisecond
	// maxLatency is the longest latency that a histogram holds.
	maxLatency = 2 * time.Minute
)

type (
	// Result holds the measurements of one run. Kinds and BrokenFlows cover the
	// requests that arrived in the measurement window, between Warmup and
	// Duration. Goodput, Busy and Imbalance are based on the slot time used in
	// the window. The other measurements cover the whole run.
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

		// BrokenFlows counts flows that had reached a target and failed because
		// the target or the answer was lost, or because they were refused after
		// service had begun. A successful retry does not lower the count.
		BrokenFlows int
		// DoubleRuns counts non-idempotent requests that ran more than once.
		DoubleRuns int
		// RefusalsThatRan counts flows that were refused with outcome NotRun but
		// reached a target.
		RefusalsThatRan int
		// StrayPackets counts packets that reached a target which did not know
		// their flow and could not start it.
		StrayPackets int
		// LostPackets counts packets sent to a lost VM or target, and packets
		// that a VM sent into or out of a cut zone. Control messages are not
		// counted.
		LostPackets int
		// PassesPerRequest is the mean number of passes between entry VMs per
		// flow.
		PassesPerRequest float64
		// ControlRate is the mean number of bytes per second that a VM sends in
		// control messages of the decision core.
		ControlRate fleet.BytesPerSecond
		Drops       map[balancer.Cause]int
		Series      []Sample
	}

	// KindResult is the result for one kind.
	KindResult struct {
		Kind        fleet.KindName
		Service     fleet.ServiceID
		Idempotent  bool
		Offered     int
		OnTime      int
		Late        int
		Broken      int
		Unanswered  int
		Open        int // neither answered, refused nor past the deadline when the run ended
		Refused     map[balancer.Cause]int
		Retries     int
		OnTimeShare float64
		// OfferedLoad is the work offered, and Goodput the slot time of requests
		// answered on time, as fractions of the service's capacity.
		OfferedLoad float64
		Goodput     float64
		// Floor is the goodput that the share guarantees: the share, or the
		// offered load if that is lower.
		Floor   float64
		Latency Latency
	}

	// Latency holds quantiles of the time from the arrival of a request to its
	// answer.
	Latency struct{ P50, P90, P99, P999, Max time.Duration }

	// ServiceResult is the result for one service.
	ServiceResult struct {
		Service fleet.ServiceID
		// Goodput is the slot time of requests answered on time, and Busy all
		// slot time used, as fractions of the capacity of live targets.
		Goodput float64
		Busy    float64
		// Imbalance is the highest target load divided by the mean.
		Imbalance float64
		Targets   []float64 // load of each target that was live in the window
	}

	// Sample is one point of the plots.
	Sample struct {
		At    time.Duration
		Kinds []KindSample
	}

	// KindSample holds the numbers of requests offered and closed since the
	// previous point, per second. Late includes unanswered requests.
	KindSample struct{ Offered, OnTime, Late, Refused float64 }

	// ResultError reports a result file or page that can't be read or written.
	ResultError struct {
		File string
		Err  error
	}

	collector struct {
		sim             *simulation
		kinds           []kindCounter
		slotTime        map[fleet.ServiceID]time.Duration
		doubleRuns      int
		refusalsThatRan int
		strayPackets    int
		lostPackets     int
		packets         int
		open            int // requests that are not closed
		passes          int
		controlBytes    int
		attempts        int
		drops           map[balancer.Cause]int
		series          []Sample
	}

	kindCounter struct {
		offered, onTime, late, broken, unanswered, retries int
		refused                                            map[balancer.Cause]int
		offeredWork                                        time.Duration
		onTimeWork                                         time.Duration
		latency                                            *hdrhistogram.Histogram
		sample                                             KindSample
	}
)

// Error returns the file and the reason.
func (e *ResultError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the reason.
func (e *ResultError) Unwrap() error { return e.Err }

// Run runs a workload with a strategy and an admission control. It returns an
// OptionError if one of them is unknown.
func Run(workload *Workload, seed uint64, s Strategy, a Admission) (*Result, error) {
	newDecider, err := DeciderConstructorFor(s, a)
	if err != nil {
		return nil, err
	}
	r, err := RunDecider(workload, seed, newDecider)
	if err != nil {
		return nil, err
	}
	r.Strategy, r.Admission = s, a
	return r, nil
}

// RunDecider runs a workload with the decision cores that newDecider constructs.
func RunDecider(workload *Workload, seed uint64, newDecider DeciderConstructor) (*Result, error) {
	sim, err := newSimulation(workload, seed, newDecider)
	if err != nil {
		return nil, err
	}
	sim.run()
	r := sim.results.buildResult()
	r.Seed = seed
	return r, nil
}

// ReadResult reads a result file. It returns a ResultError on failure.
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

// Write writes the result as JSON. It returns a ResultError on failure.
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

// Kind returns the result for a kind, or nil if there is none.
func (r *Result) Kind(name fleet.KindName) *KindResult {
	for i := range r.Kinds {
		if r.Kinds[i].Kind == name {
			return &r.Kinds[i]
		}
	}
	return nil
}

// Service returns the result for a service, or nil if there is none.
func (r *Result) Service(id fleet.ServiceID) *ServiceResult {
	for i := range r.Services {
		if r.Services[i].Service == id {
			return &r.Services[i]
		}
	}
	return nil
}

func newCollector(sim *simulation) *collector {
	c := &collector{
		sim:      sim,
		kinds:    make([]kindCounter, len(sim.workload.Kinds)),
		slotTime: make(map[fleet.ServiceID]time.Duration),
		drops:    make(map[balancer.Cause]int),
	}
	for i := range c.kinds {
		c.kinds[i].refused = make(map[balancer.Cause]int)
		c.kinds[i].latency = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return c
}

// inWindow reports whether a request arrived within the measurement window.
func (c *collector) inWindow(r *request) bool {
	return r.arrived >= c.sim.workload.Warmup && r.arrived < c.sim.workload.Duration
}

// overlap returns the part of a time span within the measurement window.
func (c *collector) overlap(from, to time.Duration) time.Duration {
	return max(0, min(to, c.sim.workload.Duration)-max(from, c.sim.workload.Warmup))
}

func (c *collector) recordOffered(r *request) {
	k := &c.kinds[r.kind]
	k.sample.Offered++
	c.open++
	if !c.inWindow(r) {
		return
	}
	k.offered++
	k.offeredWork += r.serviceTime
}

func (c *collector) closeRequest(r *request) {
	r.closed = true
	c.open--
}

func (c *collector) recordRetry(r *request) {
	if c.inWindow(r) {
		c.kinds[r.kind].retries++
	}
}

// recordReached records that the attempt's start packet reached a target.
func (c *collector) recordReached(a *attempt) {
	if a.refused {
		c.refusalsThatRan++
	}
}

// recordNotRunRefusal records a refusal with outcome NotRun.
func (c *collector) recordNotRunRefusal(a *attempt) {
	a.refused = true
	if a.run != nil {
		c.refusalsThatRan++
	}
}

// recordRun records that a request takes a slot.
func (c *collector) recordRun(a *attempt) {
	r := a.request
	r.runs++
	if r.runs == 2 && !c.sim.workload.Kinds[r.kind].Idempotent {
		c.doubleRuns++
	}
}

func (c *collector) recordAnswer(r *request) {
	if r.closed {
		return
	}
	c.closeRequest(r)
	k := &c.kinds[r.kind]
	k.sample.OnTime++
	k.onTimeWork += r.slotTime
	if !c.inWindow(r) {
		return
	}
	k.onTime++
	// RecordValue fails only above maxLatency. The deadlines of the embedded
	// workloads are shorter, so no latency of these workloads is left out.
	_ = k.latency.RecordValue(max(1, (c.sim.now - r.arrived).Microseconds()))
}

func (c *collector) recordFinalRefusal(r *request, cause balancer.Cause) {
	if r.closed {
		return
	}
	c.closeRequest(r)
	c.kinds[r.kind].sample.Refused++
	if c.inWindow(r) {
		c.kinds[r.kind].refused[cause]++
	}
}

// recordTimeout closes the request of an open attempt at the deadline, and
// counts the request as late in the current sample. If the request arrived in
// the measurement window, the result of its kind counts it as late if this
// attempt reached a target, and as unanswered otherwise. Such a late request
// also counts as broken if the target or the answer was lost.
func (c *collector) recordTimeout(a *attempt) {
	r := a.request
	if r.closed {
		return
	}
	c.closeRequest(r)
	k := &c.kinds[r.kind]
	k.sample.Late++
	if !c.inWindow(r) {
		return
	}
	if a.run == nil {
		k.unanswered++
		return
	}
	k.late++
	lost := a.run.state == runDone && c.sim.now-a.run.ended > lostAnswerTimeout
	if a.broken || lost {
		k.broken++
	}
}

// recordInterrupted records that a flow was refused after its target had begun
// to serve it.
func (c *collector) recordInterrupted(a *attempt) {
	if c.inWindow(a.request) {
		c.kinds[a.request.kind].broken++
	}
}

// closeAtDeadline closes a request whose deadline passes between two attempts.
// It waits for the other events of the same time, because an open attempt
// closes the request by recordTimeout.
func (c *collector) closeAtDeadline(r *request) {
	c.sim.after(0, func() {
		if r.closed {
			return
		}
		c.closeRequest(r)
		c.kinds[r.kind].sample.Late++
		if c.inWindow(r) {
			c.kinds[r.kind].unanswered++
		}
	})
}

func (c *collector) recordSample() {
	s := Sample{At: c.sim.now}
	for i := range c.kinds {
		k := &c.kinds[i].sample
		perSecond := 1 / sampleInterval.Seconds()
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

func (c *collector) buildResult() *Result {
	sim := c.sim
	r := &Result{
		Workload:        sim.workload.Name,
		Deployment:      sim.workload.Fleet.Name,
		Duration:        sim.workload.Duration,
		Warmup:          sim.workload.Warmup,
		DoubleRuns:      c.doubleRuns,
		RefusalsThatRan: c.refusalsThatRan,
		StrayPackets:    c.strayPackets,
		LostPackets:     c.lostPackets,
		Drops:           c.drops,
		Series:          c.series,
	}
	r.ControlRate = fleet.BytesPerSecond(float64(c.controlBytes) / sim.now.Seconds() / float64(len(sim.vms)))
	for _, t := range sim.targets {
		if t.alive {
			t.upTime += c.overlap(t.upSince, sim.now)
			for _, run := range t.runs {
				if run.state == runServing {
					t.busyTime += c.overlap(run.started, sim.now)
				}
			}
		}
		c.slotTime[t.service.ID] += t.upTime * time.Duration(t.service.Slots)
	}
	requests := 0
	for i := range c.kinds {
		r.Kinds = append(r.Kinds, c.buildKindResult(i))
		r.BrokenFlows += c.kinds[i].broken
		requests += c.kinds[i].offered
	}
	if c.attempts > 0 {
		r.PassesPerRequest = float64(c.passes) / float64(c.attempts)
	}
	for i := range sim.workload.Fleet.Services {
		r.Services = append(r.Services, c.buildServiceResult(sim.workload.Fleet.Services[i].ID))
	}
	return r
}

func (c *collector) buildKindResult(i int) KindResult {
	spec, k := &c.sim.workload.Kinds[i], &c.kinds[i]
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
		r.OfferedLoad = float64(k.offeredWork) / float64(total)
		r.Goodput = float64(k.onTimeWork) / float64(total)
	}
	r.Floor = min(spec.Share, r.OfferedLoad)
	return r
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

func (c *collector) buildServiceResult(id fleet.ServiceID) ServiceResult {
	r := ServiceResult{Service: id}
	onTimeWork, busy := time.Duration(0), time.Duration(0)
	for i := range c.kinds {
		if c.sim.workload.Kinds[i].Service == id {
			onTimeWork += c.kinds[i].onTimeWork
		}
	}
	highest, sum := 0.0, 0.0
	for _, t := range c.sim.targets {
		if t.service.ID != id || t.upTime == 0 {
			continue
		}
		busy += t.busyTime
		load := float64(t.busyTime) / float64(t.upTime) / float64(t.service.Slots)
		r.Targets = append(r.Targets, load)
		highest = max(highest, load)
		sum += load
	}
	if total := c.slotTime[id]; total > 0 {
		r.Goodput = float64(onTimeWork) / float64(total)
		r.Busy = float64(busy) / float64(total)
	}
	if sum > 0 {
		r.Imbalance = highest * float64(len(r.Targets)) / sum
	}
	return r
}
