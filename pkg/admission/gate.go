package admission

import (
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// minDepth and maxDepth bound the requests in flight per slot. With fewer than
	// 1.5, slots are idle while the next request is on its way. Targets hold 5 per
	// slot (2 slots and a queue of 8 requests) before they reject requests, but the
	// VMs do not spread their requests evenly. In the model of the tests (seed 1), up
	// to 25 % of the requests reached full targets with 4 per slot, 1.5 % with 3, and
	// fewer than 0.1 % with 2.5 (1.2 % with other seeds), which serves 3 % less work.
	// A flood at a third of the VMs brings 5 % there with 3, and 2.4 % with 2.5.
	minDepth, maxDepth = 1.5, 2.5
	// depthMargin is the part of the objective that the network takes.
	depthMargin = 20 * time.Millisecond
	// maxFiguresAge is the age from which on figures of the fleet count as unknown.
	maxFiguresAge = 2 * time.Second
	// callerPatience is the time after which callers give up an opening packet.
	callerPatience = 1400 * time.Millisecond
	// maxQueuedPackets and maxQueuedBytes bound the queue of a Gate.
	maxQueuedPackets = 256
	maxQueuedBytes   = 64 << 10
	// urgentShare is the share of the most urgent work that is asked for.
	urgentShare = 0.6
	// demandWindow is the time for which an urgency counts as asked for after a
	// request.
	demandWindow = time.Second
	// minDemandShare is the share of the requests at this VM below which an urgency has
	// little demand.
	minDemandShare = 0.05
	// rateWindow is the time constant of the rates of requests. With 1 s, VMs with a
	// flood learn of their larger part so late that in the first second of the
	// flood a quarter of the slots is idle.
	rateWindow = 500 * time.Millisecond
	// startWindow is the time constant of the rate at which queued requests of an
	// urgency start. It is short, so that expected waits follow a flood at once.
	startWindow = 500 * time.Millisecond
	// maxTimeShare bounds the mean time that is deducted from an objective.
	// Otherwise nothing would be queued after targets were slow, and a shorter time
	// could not be measured.
	maxTimeShare = 0.75
	// answerDeviations is the number of mean deviations by which most answers are
	// no later than the mean.
	answerDeviations = 2
	// timeGain is the weight of a new sample in a mean time.
	timeGain = 0.1
	// refusalMemory is the time for which a refused caller's next requests on the
	// same route count as retries, and maxRefusals the number of refusals that a
	// Gate remembers, in about 200 KB.
	refusalMemory = 2 * time.Second
	maxRefusals   = 1024
	// ditherInterval is the time after which a limit that is not a whole number is
	// rounded anew.
	ditherInterval = 100 * time.Millisecond
	// heavyFactor is the multiple of the fair share from which on a caller counts
	// as heavy, and minHeavy the least number of recent requests of such a caller:
	// fewer don't tell a heavy caller from a caller that happens to send two.
	heavyFactor = 2
	minHeavy    = 2
)

// Causes of the decisions of a Gate, besides those of a Limiter.
const (
	// CauseQueued means that the packet waits until a request ends.
	CauseQueued Cause = "Queued"
	// CauseNoRoom means that the request can't be served within its objective.
	CauseNoRoom Cause = "NoRoom"
	// CauseCallerShare means the same for a request of a caller that sends more
	// than twice its fair share.
	CauseCallerShare Cause = "CallerShare"
	// CauseRetryBudget means the same for a caller's retry after a refusal.
	CauseRetryBudget Cause = "RetryBudget"
)

// Lanes of a queue, in the order in which they are served.
const (
	laneFirst = iota // first attempts
	laneRetry        // retries of callers that were refused
	laneHeavy        // requests of callers above twice their fair share
	lanes
)

var laneCauses = [lanes]Cause{CauseNoRoom, CauseRetryBudget, CauseCallerShare}

type (
	// Gate decides which opening packets for one service an entry VM admits, queues
	// or refuses. The load that it answers: requests for the service ask for more
	// than its targets can serve within their objectives, in a flood or after the
	// loss of targets. Below the limit, it admits each packet at once.
	//
	// Requests of equal urgency start in the order of their latest useful start;
	// retries follow first attempts, and heavy callers follow both. While packets
	// are queued, the urgencies share starts by start-time fair queueing, in
	// proportion to their shares. The zero value is ready to use and admits
	// everything until SetFigures.
	Gate struct {
		// Salt makes the rounding of the limit differ from that of other VMs.
		Salt uint64

		figures Figures
		limit   float64 // this VM's part, +Inf while unknown
		depth   float64
		// share is this VM's share of the limit, and offeredShare its share of the
		// offered requests when the figures were new.
		share, offeredShare float64

		classes     []*gateClass // in the order of urgency
		queued      map[fleet.FlowKey]*Waiting
		evicted     []Released // refused, but not yet returned by Next
		bytes       int
		inFlight    int
		ungated     int // requests in flight that the gate did not admit
		offered     decayingCount
		virtualTime float64
		// idleTime is the mean time of requests that began while at most one request
		// per slot was in flight, in seconds.
		idleTime meanTime

		sketch   callerSketch
		retries  RetryBudget
		refusals refusals
	}

	// Figures are what an entry VM knows about a service.
	Figures struct {
		// Room is the estimate of the fleet, and Known is set if there is one.
		Room  capacity.Room
		Known bool
		// Slots is the number of slots of the targets in this VM's view, and VMs the
		// number of entry VMs, 0 if unknown.
		Slots, VMs int
		// Objective is the shortest objective of the service's routes, 0 if unknown.
		Objective time.Duration
	}

	// Opening is an opening packet.
	Opening struct {
		Flow      fleet.FlowKey
		Urgency   fleet.Urgency
		Objective time.Duration
		// Copy is the number of the retransmission. Data is the packet, which the gate
		// copies if it queues the packet.
		Copy uint32
		Data []byte
	}

	// Waiting is a queued opening packet.
	Waiting struct {
		Opening
		// Arrived is the time of the first copy.
		Arrived time.Time
		latest  time.Time // latest useful answer
		class   *gateClass
		lane    int
	}

	// Outcome is the decision about an opening packet.
	Outcome struct {
		// Admitted is set if the packet is to be sent now, and Cause is empty then.
		// Otherwise the packet is queued if Cause is CauseQueued, and refused if not.
		Admitted bool
		Cause    Cause
		State    GateState
	}

	// Released is a packet that left the queue.
	Released struct {
		*Waiting
		Outcome
	}

	// GateState is what a decision is based on.
	GateState struct {
		// Free is the free capacity of the fleet, in requests, if Known is set, and Age
		// its age.
		Free  float64
		Known bool
		Age   time.Duration
		// Limit is this VM's part of the limit, and InFlight its requests in flight.
		Limit    float64
		InFlight int
		// Share is the guaranteed share of the request's urgency, and Place the number
		// of packets ahead in the queue.
		Share float64
		Place int
	}

	// Run is a request in flight.
	Run struct {
		class        *gateClass
		began, until time.Time
		// idle is set if the request began while at most one request per slot was in
		// flight, and ungated if the gate did not admit it.
		idle, ungated, ended bool
	}

	// gateClass is the work of one urgency.
	gateClass struct {
		urgency     fleet.Urgency
		lanes       [lanes][]*Waiting
		inFlight    int
		runs        []*Run
		lastOffered time.Time
		offered     decayingCount
		starts      decayingCount // of queued packets
		served      decayingCount
		callers     callerSet
		time        meanTime
		finish      float64 // virtual finish time of the last start
	}

	// meanTime is a moving average in seconds, and the mean deviation from it.
	meanTime struct {
		value, deviation float64
		samples          int
	}

	// refusals remembers recent refusals, at most maxRefusals.
	refusals struct {
		list    []refusal
		flows   map[fleet.FlowKey]int
		callers map[callerRoute]int
	}

	refusal struct {
		flow fleet.FlowKey
		at   time.Time
	}

	callerRoute struct {
		caller uint64
		route  uint64
	}
)

// SetFigures sets what is known about the service.
func (g *Gate) SetFigures(f Figures, now time.Time) {
	f.Known = f.Known && f.Room.Age <= maxFiguresAge && f.Room.Slots > 0
	last := &g.figures
	updated := f.Known && (!last.Known || f.Room.Offered != last.Room.Offered || f.Room.InFlight != last.Room.InFlight || f.Room.Age < last.Room.Age)
	g.figures = f
	g.depth = g.newDepth()
	switch {
	case f.Known:
		fleetLimit := f.Room.Slots * g.depth
		// The rate of this VM is compared with the sum only when the sum is new: in
		// the first moments of a flood it has grown at all VMs, but not in the sum,
		// and the parts of the VMs would add up to several times the limit.
		if updated {
			g.offeredShare = 1
			if f.Room.Offered > 0 {
				g.offeredShare = min(1, g.offered.rate(rateWindow, now)/f.Room.Offered)
			}
		}
		g.share = g.offeredShare
		if f.Room.InFlight > fleetLimit {
			// The square makes up for the VMs that keep an equal part.
			g.share *= fleetLimit / f.Room.InFlight * fleetLimit / f.Room.InFlight
		}
		// No VM has less than an equal part: a flood at other VMs takes nothing from
		// its callers, and a VM that has just begun to get requests has capacity at
		// once. What such VMs use beyond the limit is deducted from the others above.
		if vms := max(f.VMs, f.Room.VMs); vms > 0 {
			g.share = max(g.share, 1/float64(vms))
		}
		// Two requests at once are no sign of a flood while the fleet has room.
		least := 1.0
		if f.Room.InFlight < f.Room.Slots {
			least = 2
		}
		g.limit = max(least, fleetLimit*g.share)
	case f.VMs > 0:
		g.share = 1 / float64(f.VMs)
		g.limit = max(2, float64(f.Slots)*g.share*g.depth)
	default:
		g.share, g.limit = 1, math.Inf(1)
	}
}

// newDepth returns the number of requests in flight per slot that the objective
// allows.
func (g *Gate) newDepth() float64 {
	mean := g.idleTime.value
	if g.figures.Known && g.figures.Room.MeanTime > 0 {
		mean = g.figures.Room.MeanTime.Seconds()
	}
	if mean <= 0 || g.figures.Objective <= 0 {
		return minDepth
	}
	depth := (g.figures.Objective.Seconds()-depthMargin.Seconds())/mean - 2
	return min(max(depth, minDepth), maxDepth)
}

// wholeLimit returns the limit, rounded up or down at random so that its mean over
// time is exact. Rounding to the nearest number would change the capacity of
// services with few slots per VM by up to half.
func (g *Gate) wholeLimit(now time.Time) float64 {
	whole, part := math.Modf(g.limit)
	if math.IsInf(g.limit, 1) || part == 0 {
		return g.limit
	}
	h := (uint64(now.UnixNano()/int64(ditherInterval)) ^ g.Salt) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	if float64(h>>11)/(1<<53) < part {
		whole++
	}
	return whole
}

// Offer decides about an opening packet. A copy of a queued packet replaces it and
// keeps its place. Any other copy may follow one that was sent to a target, by
// this VM or another, and is admitted, unless this VM has refused the flow.
func (g *Gate) Offer(o *Opening, now time.Time) Outcome {
	if w := g.queued[o.Flow]; w != nil {
		g.bytes += len(o.Data) - len(w.Data)
		w.Copy, w.Data = o.Copy, append(w.Data[:0], o.Data...)
		return Outcome{Cause: CauseQueued, State: g.state(w.class, g.place(w), now)}
	}
	g.refusals.expire(now)
	c := g.class(o.Urgency)
	if o.Copy > 0 {
		if g.refusals.flows[o.Flow] > 0 {
			return Outcome{Cause: CauseNoRoom, State: g.state(c, 0, now)}
		}
		g.CountLater(o.Urgency, now)
		return Outcome{Admitted: true, State: g.state(c, 0, now)}
	}
	lane := g.account(c, o, now)
	if len(g.queued) == 0 && g.hasRoom(c, now) {
		g.started(c, lane, now)
		return Outcome{Admitted: true, State: g.state(c, 0, now)}
	}
	w := &Waiting{Opening: *o, Arrived: now, latest: now.Add(patience(o.Objective)), class: c, lane: lane}
	place := g.place(w)
	state := g.state(c, place, now)
	late := now.Add(g.expectedWait(c, place, now) + c.requiredTime(o.Objective)).After(w.latest)
	if late || !g.makeSpace(w, now) {
		g.refusals.add(o.Flow, now)
		return Outcome{Cause: laneCauses[lane], State: state}
	}
	w.Data = append([]byte(nil), o.Data...)
	g.push(w)
	return Outcome{Cause: CauseQueued, State: state}
}

// makeSpace refuses queued packets until the queue has space for w. It takes the
// last packet of the urgency with the most packets in proportion to its share, and
// reports false if that is w itself.
func (g *Gate) makeSpace(w *Waiting, now time.Time) bool {
	if len(w.Opening.Data) > maxQueuedBytes {
		return false
	}
	for len(g.queued) >= maxQueuedPackets || g.bytes+len(w.Opening.Data) > maxQueuedBytes {
		var victim *gateClass
		most := 0.0
		for _, c := range g.classes {
			n := c.length()
			if c == w.class {
				n++
			}
			if n := float64(n) / g.shareOf(c, now); n >= most {
				victim, most = c, n
			}
		}
		last := victim.last()
		if last == nil || victim == w.class && (w.lane > last.lane || w.lane == last.lane && !w.latest.Before(last.latest)) {
			return false
		}
		state := g.state(victim, g.place(last), now)
		g.remove(last)
		g.refusals.add(last.Flow, now)
		g.evicted = append(g.evicted, Released{last, Outcome{Cause: laneCauses[last.lane], State: state}})
	}
	return true
}

// account counts a request and returns the lane in which it would wait.
func (g *Gate) account(c *gateClass, o *Opening, now time.Time) int {
	g.countOffered(c, now)
	hash := callerHash(o.Flow.Caller.Addr(), uint8(o.Urgency))
	c.callers.add(hash, now)
	recent := g.sketch.add(hash, now)
	fair := c.served.get(callerDecay, now) / c.callers.count()
	switch {
	case recent > max(heavyFactor*fair, minHeavy):
		return laneHeavy
	case g.refusals.callers[routeOf(o.Flow)] > 0:
		return laneRetry
	}
	return laneFirst
}

// patience returns the time for which an answer is useful to a caller.
func patience(objective time.Duration) time.Duration {
	if objective <= 0 {
		return callerPatience
	}
	return min(objective, callerPatience)
}

// requiredTime returns the time from the start of a request until its answer has
// reached the caller, in most cases.
func (c *gateClass) requiredTime(objective time.Duration) time.Duration {
	return min(seconds(c.time.value+answerDeviations*c.time.deviation)+depthMargin, time.Duration(maxTimeShare*float64(patience(objective))))
}

// expectedWait returns the time until a packet with the given number of packets of
// its urgency ahead starts.
func (g *Gate) expectedWait(c *gateClass, place int, now time.Time) time.Duration {
	mean, weight := 0.0, 0.0
	for _, other := range g.classes {
		mean += other.time.value * float64(other.inFlight)
		weight += float64(other.inFlight)
	}
	if weight == 0 || mean == 0 {
		return 0
	}
	rate := g.limit * weight / mean
	rate = max(g.shareOf(c, now)*rate, c.starts.rate(startWindow, now))
	return seconds((float64(place) + 0.5) / rate)
}

// hasRoom reports whether a request of the class may start.
func (g *Gate) hasRoom(c *gateClass, now time.Time) bool {
	g.expireRuns(now)
	limit := g.wholeLimit(now)
	if float64(g.inFlight) < limit || g.inFlight == 0 {
		return true
	}
	// Requests of open flows are never delayed. If they alone take the share of
	// other work, that work gets its share beside them.
	return g.ungated > 0 && float64(g.inFlight-g.ungated) < limit && float64(c.inFlight) < max(1, g.shareOf(c, now)*limit)
}

// shareOf returns the guaranteed share of a class among those with demand. More urgent
// work with little demand takes the place of the most urgent only from the least urgent
// class: it can't use the share, and the classes between would have too little.
func (g *Gate) shareOf(c *gateClass, now time.Time) float64 {
	others, first, last := 0, true, true
	least := minDemandShare * g.offered.rate(rateWindow, now)
	little := false
	for _, other := range g.classes {
		switch {
		case other == c || now.Sub(other.lastOffered) > demandWindow && other.length() == 0:
			continue
		case other.urgency > c.urgency:
			last = false
		case other.offered.rate(rateWindow, now) >= least:
			first = false
		default:
			little = true
		}
		others++
	}
	switch {
	case others == 0:
		return 1
	case first && !(little && last):
		return urgentShare
	}
	return (1 - urgentShare) / float64(others)
}

// Next returns the next packet that leaves the queue, because a request has ended
// or because it can't be served in time any more. It must be called until it
// reports false, after each call of Offer, End and Cancel, and regularly while
// packets are queued. The caller must call Begin for a packet that is admitted.
func (g *Gate) Next(now time.Time) (Released, bool) {
	if len(g.evicted) > 0 {
		r := g.evicted[0]
		g.evicted = g.evicted[1:]
		return r, true
	}
	if len(g.queued) == 0 {
		return Released{}, false
	}
	if w := g.expired(now); w != nil {
		state := g.state(w.class, g.place(w), now)
		g.remove(w)
		g.refusals.add(w.Flow, now)
		return Released{w, Outcome{Cause: laneCauses[w.lane], State: state}}, true
	}
	w := g.next(now)
	if w == nil {
		return Released{}, false
	}
	state := g.state(w.class, 0, now)
	g.remove(w)
	c := w.class
	begin := max(c.finish, g.virtualTime)
	g.virtualTime = begin
	c.finish = begin + max(c.time.value, 0.001)/g.shareOf(c, now)
	c.starts.add(1, startWindow, now)
	g.started(c, w.lane, now)
	return Released{w, Outcome{Admitted: true, State: state}}, true
}

// started counts an admitted request.
func (g *Gate) started(c *gateClass, lane int, now time.Time) {
	c.served.add(1, callerDecay, now)
	if lane != laneRetry {
		g.retries.RecordSuccess(now)
	}
}

// next returns the queued packet that starts next, or nil if there is no room.
func (g *Gate) next(now time.Time) *Waiting {
	skipRetries := false
	for {
		best := g.nextIn(skipRetries, now)
		if best == nil || best.lane != laneRetry || !g.firstAttemptsWait() || g.retries.AllowRetry(now) {
			return best
		}
		skipRetries = true
	}
}

func (g *Gate) nextIn(skipRetries bool, now time.Time) *Waiting {
	var best *Waiting
	lowest := math.Inf(1)
	for _, c := range g.classes {
		for lane, list := range c.lanes {
			if len(list) == 0 || lane == laneRetry && skipRetries {
				continue
			}
			if begin := max(c.finish, g.virtualTime); begin < lowest && g.hasRoom(c, now) {
				best, lowest = list[0], begin
			}
			break
		}
	}
	return best
}

func (g *Gate) firstAttemptsWait() bool {
	for _, c := range g.classes {
		if len(c.lanes[laneFirst]) > 0 {
			return true
		}
	}
	return false
}

// expired returns a queued packet that can't be answered within its objective, or
// nil.
func (g *Gate) expired(now time.Time) *Waiting {
	for _, c := range g.classes {
		for _, list := range c.lanes {
			if len(list) > 0 && now.Add(c.requiredTime(list[0].Objective)).After(list[0].latest) {
				return list[0]
			}
		}
	}
	return nil
}

// Begin counts a request of a flow as in flight, until End or until its objective
// has passed: then its target is gone or so late that the request says nothing
// about the capacity. ungated is set for requests that the gate did not admit: the
// later requests of open flows, and copies of opening packets that it did not see.
func (g *Gate) Begin(urgency fleet.Urgency, objective time.Duration, ungated bool, now time.Time) *Run {
	c := g.class(urgency)
	r := &Run{class: c, began: now, until: now.Add(patience(objective)), ungated: ungated, idle: float64(g.inFlight) <= max(1, g.limit/max(g.depth, 1))}
	if ungated {
		g.ungated++
	}
	g.expireRuns(now)
	g.inFlight++
	c.inFlight++
	c.runs = append(c.runs, r)
	return r
}

// CountLater counts a later request of an open flow as asked for.
func (g *Gate) CountLater(urgency fleet.Urgency, now time.Time) {
	g.countOffered(g.class(urgency), now)
}

func (g *Gate) countOffered(c *gateClass, now time.Time) {
	g.offered.add(1, rateWindow, now)
	c.offered.add(1, rateWindow, now)
	c.lastOffered = now
}

// Answered ends a request whose response has begun.
func (g *Gate) Answered(r *Run, now time.Time) {
	took := now.Sub(r.began).Seconds()
	r.class.time.add(took)
	if r.idle {
		g.idleTime.add(took)
	}
	g.End(r)
}

// End ends a request. It has no effect on a request that has ended.
func (g *Gate) End(r *Run) {
	if r.ended {
		return
	}
	r.ended = true
	g.inFlight--
	r.class.inFlight--
	if r.ungated {
		g.ungated--
	}
}

func (g *Gate) expireRuns(now time.Time) {
	for _, c := range g.classes {
		for len(c.runs) > 0 && (c.runs[0].ended || !c.runs[0].until.After(now)) {
			g.End(c.runs[0])
			c.runs[0] = nil
			c.runs = c.runs[1:]
		}
	}
}

// Cancel removes a queued packet whose caller has given up.
func (g *Gate) Cancel(flow fleet.FlowKey) {
	if w := g.queued[flow]; w != nil {
		g.remove(w)
	}
}

// Queued returns the number of packets that Next has to return yet.
func (g *Gate) Queued() int { return len(g.queued) + len(g.evicted) }

// State returns the present limit and load, for metrics.
func (g *Gate) State(now time.Time) GateState {
	g.expireRuns(now)
	return GateState{
		Free: g.free(), Known: g.figures.Known, Age: g.figures.Room.Age, Limit: g.limit, InFlight: g.inFlight, Share: 1, Place: len(g.queued),
	}
}

func (g *Gate) state(c *gateClass, place int, now time.Time) GateState {
	s := g.State(now)
	s.Share, s.Place = g.shareOf(c, now), place
	return s
}

func (g *Gate) free() float64 {
	if !g.figures.Known {
		return 0
	}
	return g.figures.Room.Slots*g.depth - g.figures.Room.InFlight
}

func (g *Gate) class(u fleet.Urgency) *gateClass {
	i := 0
	for ; i < len(g.classes) && g.classes[i].urgency <= u; i++ {
		if g.classes[i].urgency == u {
			return g.classes[i]
		}
	}
	c := &gateClass{urgency: u}
	g.classes = slices.Insert(g.classes, i, c)
	return c
}

// length returns the number of queued packets.
func (c *gateClass) length() int {
	n := 0
	for _, list := range c.lanes {
		n += len(list)
	}
	return n
}

// last returns the queued packet that would start last, or nil.
func (c *gateClass) last() *Waiting {
	for lane := lanes - 1; lane >= 0; lane-- {
		if n := len(c.lanes[lane]); n > 0 {
			return c.lanes[lane][n-1]
		}
	}
	return nil
}

// index returns the place of a packet in its lane.
func (w *Waiting) index() int {
	list := w.class.lanes[w.lane]
	i := len(list)
	for i > 0 && w.latest.Before(list[i-1].latest) {
		i--
	}
	return i
}

// place returns the number of packets of the same urgency ahead of w.
func (g *Gate) place(w *Waiting) int {
	n := w.index()
	if g.queued[w.Flow] == w {
		n = max(0, n-1)
	}
	for lane := range w.lane {
		n += len(w.class.lanes[lane])
	}
	return n
}

func (g *Gate) push(w *Waiting) {
	if g.queued == nil {
		g.queued = make(map[fleet.FlowKey]*Waiting)
	}
	i := w.index()
	w.class.lanes[w.lane] = slices.Insert(w.class.lanes[w.lane], i, w)
	g.queued[w.Flow] = w
	g.bytes += len(w.Data)
}

func (g *Gate) remove(w *Waiting) {
	w.class.lanes[w.lane] = slices.DeleteFunc(w.class.lanes[w.lane], func(o *Waiting) bool { return o == w })
	delete(g.queued, w.Flow)
	g.bytes -= len(w.Data)
	if len(g.queued) > 0 {
		return
	}
	// Shares count only while packets wait.
	g.virtualTime = 0
	for _, c := range g.classes {
		c.finish = 0
	}
}

func (m *meanTime) add(sample float64) {
	m.samples++
	gain := max(timeGain, 1/float64(m.samples))
	if m.samples > 1 {
		m.deviation += gain * (math.Abs(sample-m.value) - m.deviation)
	}
	m.value += gain * (sample - m.value)
}

func routeOf(flow fleet.FlowKey) callerRoute {
	return callerRoute{addrHash(flow.Caller.Addr()), addrHash(flow.VIP.Addr()) + uint64(flow.VIP.Port())}
}

func (r *refusals) add(flow fleet.FlowKey, now time.Time) {
	if r.flows == nil {
		r.flows, r.callers = make(map[fleet.FlowKey]int), make(map[callerRoute]int)
	}
	if len(r.list) >= maxRefusals {
		r.dropOldest()
	}
	r.list = append(r.list, refusal{flow, now})
	r.flows[flow]++
	r.callers[routeOf(flow)]++
}

func (r *refusals) expire(now time.Time) {
	for len(r.list) > 0 && now.Sub(r.list[0].at) > refusalMemory {
		r.dropOldest()
	}
}

func (r *refusals) dropOldest() {
	flow := r.list[0].flow
	r.list = r.list[1:]
	if r.flows[flow]--; r.flows[flow] == 0 {
		delete(r.flows, flow)
	}
	if k := routeOf(flow); r.callers[k] > 1 {
		r.callers[k]--
	} else {
		delete(r.callers, k)
	}
}
