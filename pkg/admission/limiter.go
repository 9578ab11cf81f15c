package admission

import (
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// queuePerSlot bounds the queue of one kind. Waits are bounded in time as
	// well, so that the count matters only for very short requests.
	queuePerSlot = 32
	// maxQueue bounds the queue of one kind at a target with many slots.
	maxQueue = 1024
	// maxQueueBytes bounds the packets held for one kind.
	maxQueueBytes = 256 << 10
	// maxWaitShare is the part of its deadline that a request may be expected
	// to wait. Service times well above the mean need the rest.
	maxWaitShare = 0.2
	// maxFloorWaitShare is the same for the wait at the kind's guaranteed rate.
	// A shorter queue runs empty at times, so that the kind misses its share.
	maxFloorWaitShare = 0.45
	// creditWindow is the time for which a kind saves unused share.
	creditWindow = 500 * time.Millisecond
	// passMargin raises what shares earn where they sum up to less than 1. The
	// owner sees a slot as taken until the answer has come to it, which is up
	// to a tenth longer than the target works on short requests.
	passMargin = 1.1
	// longShare is the part of a more urgent kind's deadline above which
	// a request counts as long for it.
	longShare = 0.25
	// firstServiceShare is the part of the deadline assumed as the service
	// time of a kind without observations.
	firstServiceShare = 0.125
	// serviceGain weighs a new observation of the service time or queue gap.
	serviceGain = 0.1
	// RampTime is the time in which a target that starts or returns is given
	// all its slots.
	RampTime = 3 * time.Second
)

type (
	// Limiter is the admission control of one target at its owner. At any
	// time: InFlight without adopted requests is at most the slots and the
	// connection limit; a flow waits or is in flight, never both; the queue of
	// each kind is within its bounds.
	Limiter struct {
		target  fleet.Target
		classes []*class // by urgency, then name
		byName  map[fleet.KindName]*class
		running map[fleet.FlowKey]run

		updated  time.Time
		aged     time.Time
		serving  bool
		ramp     ramp
		adaptive adaptive
		report   report

		started []Request
		expired []Request
		evicted []Request
	}

	// run is one request in flight.
	run struct {
		class   *class
		since   time.Time
		caller  uint8
		charge  float64 // slot seconds taken from the credit at the start
		adopted bool
	}

	// ramp raises the limit from 1 to all slots.
	ramp struct {
		from time.Time
		time time.Duration
	}
)

// NewLimiter returns the limiter of a target that this VM now owns.
func NewLimiter(target fleet.Target, kinds []fleet.Kind, now time.Time) *Limiter {
	l := &Limiter{
		byName:  make(map[fleet.KindName]*class),
		running: make(map[fleet.FlowKey]run),
		updated: now,
	}
	l.Configure(target, kinds, now)
	return l
}

// Configure sets the target's slots, limits and state and the kinds that it
// serves. It returns the waiting requests that the change refuses: all of them
// once the target takes no new flows, else those of removed kinds. The slice
// is valid until the next call of Configure or Enqueue.
func (l *Limiter) Configure(target fleet.Target, kinds []fleet.Kind, now time.Time) (refused []Request) {
	l.advance(now)
	l.evicted = l.evicted[:0]
	served := l.serving
	l.target = target
	l.serving = target.TakesNewFlows()
	if l.serving && !served && target.State == fleet.TargetCold {
		l.ramp = ramp{from: now, time: RampTime}
	}
	l.adaptive.configure(l.capacity(), now)
	for _, c := range l.classes {
		c.retired = true
	}
	for _, k := range kinds {
		l.setKind(k)
	}
	l.dropRetired()
	l.orderClasses()
	return l.evicted
}

func (l *Limiter) setKind(k fleet.Kind) {
	c := l.byName[k.Name]
	if c == nil {
		c = newClass(k)
		l.byName[k.Name] = c
		l.classes = append(l.classes, c)
	}
	c.kind = k
	c.retired = false
}

func (l *Limiter) dropRetired() {
	for _, c := range l.classes {
		if l.serving && !c.retired {
			continue
		}
		for i := range c.queue {
			l.evicted = append(l.evicted, c.queue[i].request)
		}
		c.stats.Refused[CauseNotServing] += uint64(len(c.queue))
		c.clear()
	}
	l.classes = slices.DeleteFunc(l.classes, func(c *class) bool {
		if c.retired {
			delete(l.byName, c.kind.Name)
		}
		return c.retired
	})
}

// orderClasses sorts by urgency and derives what depends on several kinds.
func (l *Limiter) orderClasses() {
	slices.SortFunc(l.classes, compareClasses)
	total := 0.0
	for _, c := range l.classes {
		total += c.kind.Share
	}
	for _, c := range l.classes {
		c.share = c.kind.Share / math.Max(total, 1)
		c.earns = c.share * max(1, min(passMargin, 1/total))
	}
}

// capacity is the number of requests that the target may run at once.
func (l *Limiter) capacity() int {
	return max(1, min(l.target.Slots, l.target.ConnectionLimit))
}

// Limit returns the number of requests that may be in flight now.
func (l *Limiter) Limit(now time.Time) int {
	n := min(l.adaptive.limit, l.ramp.limit(l.capacity(), now))
	return max(1, n-l.report.excess(now, n))
}

func (r *ramp) limit(capacity int, now time.Time) int {
	elapsed := now.Sub(r.from)
	if r.time <= 0 || elapsed >= r.time {
		return capacity
	}
	return 1 + int(float64(capacity-1)*max(0, elapsed.Seconds()/r.time.Seconds()))
}

// Takeover starts the ramp of an owner that does not know how many slots its
// predecessor filled; reported is the target's last load report, or 0. The
// limit rises until the longest deadline of the kinds has passed.
func (l *Limiter) Takeover(reported int, now time.Time) {
	longest := time.Duration(0)
	for _, c := range l.classes {
		longest = max(longest, c.kind.Deadline)
	}
	l.ramp = ramp{from: now, time: longest}
	l.report.inherit(reported, longest, now)
}

// advance earns credit and decays the pressure up to now.
func (l *Limiter) advance(now time.Time) {
	elapsed := now.Sub(l.updated)
	if elapsed <= 0 {
		return
	}
	l.updated = now
	earned := elapsed.Seconds() * float64(l.adaptive.limit)
	most := creditWindow.Seconds() * float64(l.adaptive.limit)
	for _, c := range l.classes {
		c.credit = min(c.credit+earned*c.earns, most*c.earns)
		c.pressure.decay(elapsed)
	}
	if now.Sub(l.aged) < recentTime {
		return
	}
	l.aged = now
	for _, c := range l.classes {
		c.age()
	}
}

// TryStart takes a slot for r and reports true where one is free for its kind
// and no waiting request should go first.
func (l *Limiter) TryStart(r Request, now time.Time) bool {
	l.advance(now)
	c := l.byName[r.Kind]
	if !l.serving || c == nil || len(c.queue) > 0 {
		return false
	}
	limit := l.Limit(now)
	if !l.mayStart(c, limit) || c.cannotEnd(&r, now) {
		return false
	}
	c.catchUp()
	if first := l.first(limit); first != nil && goesBefore(first, c) {
		return false
	}
	if l.holds(r.Flow) {
		return false
	}
	c.stats.Offered++
	c.pressure.accepted()
	l.start(c, &r, now)
	return true
}

func (l *Limiter) holds(flow fleet.FlowKey) bool {
	_, ok := l.running[flow]
	return ok
}

func (l *Limiter) start(c *class, r *Request, now time.Time) {
	caller := callerBucket(r.Flow)
	charge := 0.0
	if c.credit > 0 {
		charge = c.service
		c.credit -= charge
	}
	c.turn(caller)
	c.running++
	l.charge(c)
	c.stats.Started++
	l.running[r.Flow] = run{class: c, since: now, caller: caller, charge: charge}
	l.report.observe(len(l.running), now)
}

// charge counts a start in the weighted order of kinds of equal urgency.
func (l *Limiter) charge(c *class) {
	for _, other := range l.classes {
		if other.kind.Urgency == c.kind.Urgency {
			other.level = c.passed
		}
	}
	c.passed += c.service / c.kind.Weight
}

// catchUp keeps a kind that was idle from having all slots until it has passed
// as much as the others.
func (c *class) catchUp() {
	if len(c.queue) == 0 {
		c.passed = max(c.passed, c.level)
	}
}

// mayStart reports whether a slot is free for the class: one below the limit,
// and for long requests one that is not kept for more urgent kinds.
func (l *Limiter) mayStart(c *class, limit int) bool {
	if len(l.running) >= limit {
		return false
	}
	kept := 0.0
	for _, other := range l.classes {
		if other.kind.Urgency >= c.kind.Urgency {
			break
		}
		if c.isLongFor(other) {
			kept += other.share
		}
	}
	if kept == 0 {
		return true
	}
	most := limit - max(1, int(kept*float64(limit)))
	return l.runningLong(c) < max(1, most)
}

// runningLong counts the requests in flight whose service time is in the
// order of that of c or above.
func (l *Limiter) runningLong(c *class) int {
	n := 0
	for _, other := range l.classes {
		if other.service*2 >= c.service {
			n += other.running
		}
	}
	return n
}

// first returns the class whose request should start next, or nil.
func (l *Limiter) first(limit int) *class {
	var best *class
	for _, c := range l.classes {
		if len(c.queue) == 0 || !l.mayStart(c, limit) {
			continue
		}
		if best == nil || goesBefore(c, best) {
			best = c
		}
	}
	return best
}

// Enqueue lets r wait. It returns a RefusalError where r can't be run in time
// or the queue of its kind is full, and the waiting requests that r replaced,
// which were not run and will not be. The slice is valid until the next call
// of Enqueue or Configure. A flow that already waits or runs stays as it is,
// without an error, since a refusal of it would be wrong.
func (l *Limiter) Enqueue(r Request, now time.Time) (evicted []Request, err error) {
	l.advance(now)
	l.evicted = l.evicted[:0]
	c := l.byName[r.Kind]
	if c == nil {
		return nil, &RefusalError{Flow: r.Flow, Kind: r.Kind, Cause: CauseUnknownKind}
	}
	if l.holds(r.Flow) || c.find(r.Flow) >= 0 {
		return nil, nil
	}
	c.stats.Offered++
	cause := l.admit(c, &r, now)
	if cause != "" {
		c.stats.Refused[cause]++
		c.pressure.refused()
		return nil, &RefusalError{Flow: r.Flow, Kind: r.Kind, Cause: cause}
	}
	c.pressure.accepted()
	c.catchUp()
	c.push(&r)
	return l.evicted, nil
}

// admit returns the cause to refuse r, or "" after making room for it.
func (l *Limiter) admit(c *class, r *Request, now time.Time) Cause {
	switch {
	case !l.serving:
		return CauseNotServing
	case c.cannotEnd(r, now) || r.Bytes > maxQueueBytes:
		return CauseDeadline
	}
	most := min(maxQueue, queuePerSlot*l.capacity())
	wait, ok := l.expectedWait(c, l.Limit(now))
	if ok && len(c.queue) < most && c.bytes+r.Bytes <= maxQueueBytes {
		if now.Add(wait + c.need()).After(r.Deadline) {
			return CauseDeadline
		}
		return ""
	}
	return l.replace(c, r)
}

// replace evicts the latest request of the caller with most requests in the
// queue, where the caller of r has fewer.
func (l *Limiter) replace(c *class, r *Request) Cause {
	i := c.heaviest(callerBucket(r.Flow))
	if i < 0 || c.bytes-c.queue[i].request.Bytes+r.Bytes > maxQueueBytes {
		return CauseQueueFull
	}
	l.evicted = append(l.evicted, c.remove(i))
	c.stats.Evicted++
	c.pressure.refused()
	return ""
}

// expectedWait estimates how long a new request of the class would wait, and
// reports whether that is within bounds. There are two estimates: the work of
// its own and more urgent kinds ahead of it at the full limit, and the work of
// its own kind at the guaranteed share. The shorter one holds, but not less
// than the own queue takes at the rate that the kind was given lately.
func (l *Limiter) expectedWait(c *class, limit int) (time.Duration, bool) {
	work := 0.0
	free := limit
	for _, other := range l.classes {
		if other.kind.Urgency <= c.kind.Urgency {
			work += float64(len(other.queue)) * other.service
		}
		if other.isLongFor(c) {
			free -= other.running
		}
	}
	deadline := c.kind.Deadline.Seconds()
	queue := float64(len(c.queue))
	recent := queue * c.gap
	wait := max(work/float64(max(1, free)), recent)
	ok := wait <= maxWaitShare*deadline
	if c.share > 0 {
		floor := max(queue*c.service/(c.earns*float64(limit)), recent)
		ok = ok || floor <= maxFloorWaitShare*deadline
		wait = min(wait, floor)
	}
	return seconds(wait), ok
}

// Next starts the waiting requests for which slots are free and removes those
// that can no longer end by their deadline, which were not run and will not
// be. Call it after each Finish and Cancel and with each tick. The slices are
// valid until the next call of Next.
func (l *Limiter) Next(now time.Time) (started, expired []Request) {
	l.advance(now)
	l.started = l.started[:0]
	l.expired = l.expired[:0]
	for _, c := range l.classes {
		l.expired = c.expire(now, l.expired)
	}
	if !l.serving {
		return l.started, l.expired
	}
	limit := l.Limit(now)
	for len(l.running) < limit {
		c := l.first(limit)
		if c == nil {
			break
		}
		r := c.pop(now)
		l.start(c, &r, now)
		l.started = append(l.started, r)
	}
	return l.started, l.expired
}

// Finish ends a request in flight and frees its slot; a flow that is not in
// flight has no effect.
func (l *Limiter) Finish(flow fleet.FlowKey, result Result, now time.Time) {
	l.advance(now)
	run, ok := l.running[flow]
	if !ok {
		return
	}
	delete(l.running, flow)
	l.report.observe(len(l.running), now)
	c := run.class
	c.running--
	c.count(result)
	used := now.Sub(run.since).Seconds()
	if run.charge > 0 {
		c.credit -= used - run.charge
	}
	if run.adopted {
		return
	}
	l.learn(&run, result, used, now)
}

// Cancel removes a waiting request or frees the slot of one in flight; it
// reports false for a flow that it does not hold. A request that waited was
// not run and will not be.
func (l *Limiter) Cancel(flow fleet.FlowKey, now time.Time) bool {
	if l.holds(flow) {
		l.Finish(flow, Cancelled, now)
		return true
	}
	l.advance(now)
	for _, c := range l.classes {
		i := c.find(flow)
		if i < 0 {
			continue
		}
		c.remove(i)
		c.stats.Cancelled++
		return true
	}
	return false
}

// Adopt counts a request that was started by another owner as in flight, even
// above the limit.
func (l *Limiter) Adopt(r Request, now time.Time) {
	l.advance(now)
	c := l.byName[r.Kind]
	if c == nil || l.holds(r.Flow) {
		return
	}
	if i := c.find(r.Flow); i >= 0 {
		c.remove(i)
	}
	c.running++
	c.stats.Adopted++
	l.running[r.Flow] = run{class: c, since: now, caller: callerBucket(r.Flow), adopted: true}
	l.report.observe(len(l.running), now)
}

// ReportLoad takes the number of requests that the target says it runs. A
// report lags and may be wrong, so it takes at most half of the slots.
func (l *Limiter) ReportLoad(inFlight int, now time.Time) {
	l.advance(now)
	l.report.hear(inFlight, now)
}

// Pressure returns the highest pressure of all kinds, from 0 (nothing refused)
// to 255 (nearly everything refused).
func (l *Limiter) Pressure() uint8 {
	highest := uint8(0)
	for _, c := range l.classes {
		highest = max(highest, c.pressure.value())
	}
	return highest
}

// PressureOf returns the pressure of one kind, which the owner signals to other
// entry VMs in the headers of packets of that kind.
func (l *Limiter) PressureOf(kind fleet.KindName) uint8 {
	if c := l.byName[kind]; c != nil {
		return c.pressure.value()
	}
	return 0
}

// InFlight returns the number of requests in flight, adopted ones included.
func (l *Limiter) InFlight() int { return len(l.running) }

// Waiting returns the number of requests in the queue.
func (l *Limiter) Waiting() int {
	n := 0
	for _, c := range l.classes {
		n += len(c.queue)
	}
	return n
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
