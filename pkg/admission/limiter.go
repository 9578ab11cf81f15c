package admission

import (
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// queuePerSlot is the maximum number of queued requests of one kind for each
	// slot of the target. The expected wait is bounded as well, so this maximum
	// matters only for very short requests.
	queuePerSlot = 32
	// maxQueue bounds the queue of one kind at a target with many slots.
	maxQueue = 1024
	// maxQueueBytes bounds the bytes of packets held in the queue of one kind.
	maxQueueBytes = 256 << 10
	// maxWaitShare is the longest expected wait of a new request, as a fraction
	// of its kind's deadline. The rest is left for service times well above the
	// mean.
	maxWaitShare = 0.2
	// maxGuaranteedWaitShare is the same bound for the wait at the guaranteed
	// rate of the kind. With a lower value the queue is empty at times, and the
	// kind then gets less than its share.
	maxGuaranteedWaitShare = 0.45
	// creditWindow bounds unused credit to what a kind earns in this time.
	creditWindow = 500 * time.Millisecond
	// creditMargin is the highest factor by which the credit that kinds earn is
	// raised if their shares sum to less than 1. It is needed because a slot
	// counts as taken until the owner gets the answer. For short requests, this
	// takes up to a tenth longer than the work of the target on the request.
	creditMargin = 1.1
	// longRequestShare is the fraction of a more urgent kind's deadline above
	// which a service time counts as long for that kind.
	longRequestShare = 0.25
	// initialServiceShare is the service time assumed for a kind without
	// observations, as a fraction of its deadline.
	initialServiceShare = 0.125
	// serviceGain is the weight of a new sample in the moving averages of
	// service times and start intervals.
	serviceGain = 0.1
	// RampTime is the time in which the limit of a cold target rises from 1 to
	// the capacity of the target. A target is cold when it starts or returns to
	// service.
	RampTime = 3 * time.Second
)

type (
	// Limiter is the admission control of one target, run by the owner of the
	// target. A request starts only while fewer requests are in flight than the
	// slots and the connection limit allow. A flow is queued or in flight, never
	// both. A request is queued only if the queue of its kind stays within its
	// bounds.
	Limiter struct {
		target  fleet.Target
		classes []*class // sorted by urgency, then name
		byName  map[fleet.KindName]*class
		running map[fleet.FlowKey]runningRequest

		updatedAt time.Time
		decayedAt time.Time
		serving   bool
		ramp      ramp
		adaptive  adaptiveLimit
		report    loadReports

		started []Request
		expired []Request
		evicted []Request
	}

	// runningRequest is a request in flight.
	runningRequest struct {
		class     *class
		startedAt time.Time
		caller    uint8
		charge    float64 // slot seconds deducted from the credit at the start
		adopted   bool
	}

	// ramp raises the limit linearly from 1 to the capacity.
	ramp struct {
		start    time.Time
		duration time.Duration
	}
)

// NewLimiter returns the limiter of a target that this VM now owns.
func NewLimiter(target fleet.Target, kinds []fleet.Kind, now time.Time) *Limiter {
	l := &Limiter{
		byName:    make(map[fleet.KindName]*class),
		running:   make(map[fleet.FlowKey]runningRequest),
		updatedAt: now,
	}
	l.Configure(target, kinds, now)
	return l
}

// Configure sets the slots, limits and state of the target and the kinds that
// it serves. It returns the queued requests that are refused because of the
// change: all of them if the target accepts no new flows, otherwise those of
// removed kinds. The slice is valid until the next call of Configure or
// Enqueue.
func (l *Limiter) Configure(target fleet.Target, kinds []fleet.Kind, now time.Time) (refused []Request) {
	l.advance(now)
	l.evicted = l.evicted[:0]
	wasServing := l.serving
	l.target = target
	l.serving = target.TakesNewFlows()
	if l.serving && !wasServing && target.State == fleet.TargetCold {
		l.ramp = ramp{start: now, duration: RampTime}
	}
	l.adaptive.configure(l.capacity(), now)
	for _, c := range l.classes {
		c.retired = true
	}
	for _, k := range kinds {
		l.setKind(k)
	}
	l.dropRetired()
	l.updateShares()
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

// updateShares sorts the classes by urgency and computes the values that depend
// on the shares of all kinds.
func (l *Limiter) updateShares() {
	slices.SortFunc(l.classes, compareClasses)
	total := 0.0
	for _, c := range l.classes {
		total += c.kind.Share
	}
	for _, c := range l.classes {
		c.share = c.kind.Share / math.Max(total, 1)
		c.creditRate = c.share * max(1, min(creditMargin, 1/total))
	}
}

// capacity returns the maximum number of requests that the target may run at
// once.
func (l *Limiter) capacity() int {
	return max(1, min(l.target.Slots, l.target.ConnectionLimit))
}

// Limit returns the maximum number of requests that may be in flight now.
func (l *Limiter) Limit(now time.Time) int {
	n := min(l.adaptive.limit, l.ramp.limit(l.capacity(), now))
	return max(1, n-l.report.excess(now, n))
}

func (r *ramp) limit(capacity int, now time.Time) int {
	elapsed := now.Sub(r.start)
	if r.duration <= 0 || elapsed >= r.duration {
		return capacity
	}
	return 1 + int(float64(capacity-1)*max(0, elapsed.Seconds()/r.duration.Seconds()))
}

// Takeover starts a ramp for a new owner, which does not know how many slots
// the previous owner had filled. reported is the number of running requests in
// the last load report of the target, or 0 if there is none. The ramp takes as
// long as the longest among the deadlines of all kinds, since the deadlines of
// all requests of the previous owner have passed by then.
func (l *Limiter) Takeover(reported int, now time.Time) {
	longest := time.Duration(0)
	for _, c := range l.classes {
		longest = max(longest, c.kind.Deadline)
	}
	l.ramp = ramp{start: now, duration: longest}
	l.report.inherit(reported, longest, now)
}

// advance updates credits, pressures and the counts of recent starts to the
// time now.
func (l *Limiter) advance(now time.Time) {
	elapsed := now.Sub(l.updatedAt)
	if elapsed <= 0 {
		return
	}
	l.updatedAt = now
	earned := elapsed.Seconds() * float64(l.adaptive.limit)
	maxCredit := creditWindow.Seconds() * float64(l.adaptive.limit)
	for _, c := range l.classes {
		c.credit = min(c.credit+earned*c.creditRate, maxCredit*c.creditRate)
		c.pressure.decay(elapsed)
	}
	if now.Sub(l.decayedAt) < recentHalfLife {
		return
	}
	l.decayedAt = now
	for _, c := range l.classes {
		c.decayRecentStarts()
	}
}

// TryStart starts r if the target accepts new flows and serves the kind, no
// request of the kind is queued, a slot is free for the kind, r is expected to
// meet its deadline, no queued request of another kind that could start now
// takes precedence, and the flow is not in flight. It reports whether r started.
func (l *Limiter) TryStart(r Request, now time.Time) bool {
	l.advance(now)
	c := l.byName[r.Kind]
	if !l.serving || c == nil || len(c.queue) > 0 {
		return false
	}
	limit := l.Limit(now)
	if !l.mayStart(c, limit) || c.wouldMissDeadline(&r, now) {
		return false
	}
	c.catchUp()
	if next := l.nextClass(limit); next != nil && precedes(next, c) {
		return false
	}
	if l.isRunning(r.Flow) {
		return false
	}
	c.stats.Offered++
	c.pressure.recordAccepted()
	l.start(c, &r, now)
	return true
}

func (l *Limiter) isRunning(flow fleet.FlowKey) bool {
	_, ok := l.running[flow]
	return ok
}

func (l *Limiter) start(c *class, r *Request, now time.Time) {
	caller := callerBucket(r.Flow)
	charge := 0.0
	if c.credit > 0 {
		charge = c.serviceTime
		c.credit -= charge
	}
	c.chargeCaller(caller)
	c.running++
	l.chargeVirtualTime(c)
	c.stats.Started++
	l.running[r.Flow] = runningRequest{class: c, startedAt: now, caller: caller, charge: charge}
	l.report.observe(len(l.running), now)
}

// chargeVirtualTime is called when a request of the class starts. It adds the
// mean service time of the class, divided by the weight of the kind, to the
// virtual time of the class. It also stores the previous virtual time of the
// class in groupVirtualTime of all classes of equal urgency. Kinds of equal
// urgency are ordered by virtual time.
func (l *Limiter) chargeVirtualTime(c *class) {
	for _, other := range l.classes {
		if other.kind.Urgency == c.kind.Urgency {
			other.groupVirtualTime = c.virtualTime
		}
	}
	c.virtualTime += c.serviceTime / c.kind.Weight
}

// catchUp raises the virtual time of a class without queued requests to that of
// the kinds of equal urgency. Otherwise, after an idle period, the class would
// start before these kinds until it had used as much slot time as they had.
func (c *class) catchUp() {
	if len(c.queue) == 0 {
		c.virtualTime = max(c.virtualTime, c.groupVirtualTime)
	}
}

// mayStart reports whether a slot is free for the class. The requests in flight
// must be fewer than the limit, and long requests must leave slots to more
// urgent kinds.
func (l *Limiter) mayStart(c *class, limit int) bool {
	if len(l.running) >= limit {
		return false
	}
	reserved := 0.0
	for _, other := range l.classes {
		if other.kind.Urgency >= c.kind.Urgency {
			break
		}
		if c.isLongFor(other) {
			reserved += other.share
		}
	}
	if reserved == 0 {
		return true
	}
	longLimit := limit - max(1, int(reserved*float64(limit)))
	return l.runningLong(c) < max(1, longLimit)
}

// runningLong counts the requests in flight of the kinds whose service time is
// at least half of the service time of c.
func (l *Limiter) runningLong(c *class) int {
	n := 0
	for _, other := range l.classes {
		if other.serviceTime*2 >= c.serviceTime {
			n += other.running
		}
	}
	return n
}

// nextClass returns the class whose queued request should start next, or nil.
func (l *Limiter) nextClass(limit int) *class {
	var best *class
	for _, c := range l.classes {
		if len(c.queue) == 0 || !l.mayStart(c, limit) {
			continue
		}
		if best == nil || precedes(c, best) {
			best = c
		}
	}
	return best
}

// Enqueue adds r to the queue of its kind. It returns a RefusalError if the
// kind is unknown, the target accepts no new flows, r can't be run in time, the
// packets of r exceed maxQueueBytes, or the queue is full. It also returns the
// queued requests that r replaced, which were not run and will not be; the
// slice is valid until the next call of Enqueue or Configure. A flow that is
// already queued or in flight is left as it is, without an error: its request
// may run, so it must not be reported as refused.
func (l *Limiter) Enqueue(r Request, now time.Time) (evicted []Request, err error) {
	l.advance(now)
	l.evicted = l.evicted[:0]
	c := l.byName[r.Kind]
	if c == nil {
		return nil, &RefusalError{Flow: r.Flow, Kind: r.Kind, Cause: CauseUnknownKind}
	}
	if l.isRunning(r.Flow) || c.find(r.Flow) >= 0 {
		return nil, nil
	}
	c.stats.Offered++
	cause := l.admit(c, &r, now)
	if cause != "" {
		c.stats.Refused[cause]++
		c.pressure.recordRefused()
		return nil, &RefusalError{Flow: r.Flow, Kind: r.Kind, Cause: cause}
	}
	c.pressure.recordAccepted()
	c.catchUp()
	c.push(&r)
	return l.evicted, nil
}

// admit returns the cause for refusing r, or "" if the queue has room for r. If
// necessary, it evicts a queued request to make room.
func (l *Limiter) admit(c *class, r *Request, now time.Time) Cause {
	switch {
	case !l.serving:
		return CauseNotServing
	case c.wouldMissDeadline(r, now) || r.Bytes > maxQueueBytes:
		return CauseDeadline
	}
	queueLimit := min(maxQueue, queuePerSlot*l.capacity())
	wait, ok := l.expectedWait(c, l.Limit(now))
	if ok && len(c.queue) < queueLimit && c.bytes+r.Bytes <= maxQueueBytes {
		if now.Add(wait + c.requiredTime()).After(r.Deadline) {
			return CauseDeadline
		}
		return ""
	}
	return l.evictFor(c, r)
}

// evictFor evicts the queued request that evictionIndex selects to make room
// for r. It returns CauseQueueFull if there is none, or if the queue with r
// would still exceed maxQueueBytes.
func (l *Limiter) evictFor(c *class, r *Request) Cause {
	i := c.evictionIndex(callerBucket(r.Flow))
	if i < 0 || c.bytes-c.queue[i].request.Bytes+r.Bytes > maxQueueBytes {
		return CauseQueueFull
	}
	l.evicted = append(l.evicted, c.remove(i))
	c.stats.Evicted++
	c.pressure.recordRefused()
	return ""
}

// expectedWait estimates how long a new request of the class would be queued.
// The first estimate divides the queued work of kinds that are at least as
// urgent by the slots that long requests don't occupy. The second estimate, only
// for a kind with a share, divides the queued work of the kind by the slots that
// its share guarantees. Each estimate is raised to the time that the queue of
// the class needs at its recent rate of starts. expectedWait returns the shorter
// estimate. It also reports whether the first estimate is within maxWaitShare of
// the kind's deadline or the second within maxGuaranteedWaitShare.
func (l *Limiter) expectedWait(c *class, limit int) (time.Duration, bool) {
	work := 0.0
	free := limit
	for _, other := range l.classes {
		if other.kind.Urgency <= c.kind.Urgency {
			work += float64(len(other.queue)) * other.serviceTime
		}
		if other.isLongFor(c) {
			free -= other.running
		}
	}
	deadline := c.kind.Deadline.Seconds()
	queued := float64(len(c.queue))
	recentWait := queued * c.startInterval
	wait := max(work/float64(max(1, free)), recentWait)
	ok := wait <= maxWaitShare*deadline
	if c.share > 0 {
		guaranteedWait := max(queued*c.serviceTime/(c.creditRate*float64(limit)), recentWait)
		ok = ok || guaranteedWait <= maxGuaranteedWaitShare*deadline
		wait = min(wait, guaranteedWait)
	}
	return seconds(wait), ok
}

// Next removes the queued requests that are expected to miss their deadline, and
// then starts queued requests while slots are free. Expired requests were not
// run and will not be. Next must be called after each Finish and Cancel and on
// each tick. The slices are valid until the next call of Next.
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
		c := l.nextClass(limit)
		if c == nil {
			break
		}
		r := c.pop(now)
		l.start(c, &r, now)
		l.started = append(l.started, r)
	}
	return l.started, l.expired
}

// Finish ends a request in flight and frees its slot. It has no effect if the
// flow is not in flight.
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
	c.countResult(result)
	used := now.Sub(run.startedAt).Seconds()
	if run.charge > 0 {
		c.credit -= used - run.charge
	}
	if run.adopted {
		return
	}
	l.recordResult(&run, result, used, now)
}

// Cancel removes a queued request, or frees the slot of a request in flight. It
// reports false if the flow is neither queued nor in flight. A request that was
// queued was not run and will not be.
func (l *Limiter) Cancel(flow fleet.FlowKey, now time.Time) bool {
	if l.isRunning(flow) {
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

// Adopt adds r, which another owner started, to the requests in flight, even
// above the limit. If r is queued, Adopt removes r from the queue. It has no
// effect if the kind is unknown or the flow is already in flight.
func (l *Limiter) Adopt(r Request, now time.Time) {
	l.advance(now)
	c := l.byName[r.Kind]
	if c == nil || l.isRunning(r.Flow) {
		return
	}
	if i := c.find(r.Flow); i >= 0 {
		c.remove(i)
	}
	c.running++
	c.stats.Adopted++
	l.running[r.Flow] = runningRequest{class: c, startedAt: now, caller: callerBucket(r.Flow), adopted: true}
	l.report.observe(len(l.running), now)
}

// ReportLoad records the number of requests that the target reports as running.
// A report can be late or wrong, so it reduces the limit by at most half.
func (l *Limiter) ReportLoad(inFlight int, now time.Time) {
	l.advance(now)
	l.report.receive(inFlight, now)
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

// PressureOf returns the pressure of one kind, or 0 for an unknown kind. The
// owner signals it to other entry VMs in the headers of packets of that kind.
func (l *Limiter) PressureOf(kind fleet.KindName) uint8 {
	if c := l.byName[kind]; c != nil {
		return c.pressure.value()
	}
	return 0
}

// InFlight returns the number of requests in flight, including adopted ones.
func (l *Limiter) InFlight() int { return len(l.running) }

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int {
	n := 0
	for _, c := range l.classes {
		n += len(c.queue)
	}
	return n
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
