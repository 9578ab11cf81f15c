package steering

import (
	"maps"
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// doubtFactor times the mean time to open a flow of a service, between
	// minDoubtTime and maxDoubtTime, is the time without an answer after which this VM
	// doubts the target of an opening packet. Callers repeat an opening packet after
	// maxDoubtTime, which is a doubt in any case.
	doubtFactor  = 8
	minDoubtTime = 40 * time.Millisecond
	maxDoubtTime = 200 * time.Millisecond
	// doubtInterval is the minimum time between two searches for unanswered opening
	// packets.
	doubtInterval = 5 * time.Millisecond
	// openWeight is the weight of one flow in the mean time to open.
	openWeight = 1.0 / 16
	// reportDelay is the time for which a health check may stay without an answer
	// before an early doubt is reported. An idle target answers a check within some
	// round trips, so that a doubt after a lost packet usually ends unreported.
	reportDelay = 60 * time.Millisecond
	// maxDoubtGap is the time between two calls of Tick from which on this process is
	// assumed not to have run: answers may wait in its receive buffer, which it then
	// gets minDoubtTime to empty. Tick is called every 20 ms.
	maxDoubtGap = 45 * time.Millisecond
	// answerWindow is how long an answer rules out that a target is lost, and
	// confirmInterval the time between two checks by a VM that confirms a doubt. A VM
	// whose link to a target is broken doubts it for as long as the link is.
	answerWindow    = 3 * time.Second
	confirmInterval = time.Second
	// confirmers is the number of entry VMs, on average, that check a target that
	// another VM doubts. With 16, fewer than three VMs check in 0.002 % of the cases,
	// with 8 in 1.4 %.
	confirmers = 16
	// failedWindow is how long a failed check counts. A target that was suspended passes
	// the next check, which begins 250 ms after a failed one that took 400 ms.
	failedWindow = time.Second
	// goneTime is the time from the first packet of a request that is not idempotent
	// until its flow is reset although the request may have run. It is the silence
	// after which a target counts as gone.
	goneTime = 3 * time.Second
	// lostCost exceeds excludedCost, so that a new flow goes to a lost target only if
	// no other target is left.
	lostCost = 1e7
)

// Results of a health check.
const (
	// CheckPassed is the result if the target has answered as it should.
	CheckPassed CheckResult = iota + 1
	// CheckUnanswered is the result if the target has accepted the connection and has
	// given no answer or a wrong one. Its machine runs; its process may be frozen, or
	// the check waits for a slot.
	CheckUnanswered
	// CheckUnreachable is the result if the target has refused the connection, or has
	// not accepted it in time.
	CheckUnreachable
)

type (
	// CheckResult is the result of a health check.
	CheckResult uint8

	// lostTargets is the state of a Core that concerns early doubts and lost targets.
	lostTargets struct {
		// waiting holds the services with opening packets that wait for an answer.
		waiting []*serviceLoad
		// lastTick is the time of the last search for unanswered opening packets. There
		// are no doubts before pausedUntil. confirmedAt is the time of the last search
		// for targets that this VM confirms.
		lastTick, pausedUntil, confirmedAt time.Time
		// reportAt is the time from which the next early doubt is reported, or zero.
		reportAt time.Time
		// lost holds the targets that the hubs call lost, and candidates those that any
		// entry VM doubts, each with the time at which this VM learnt it.
		lost, candidates map[Cookie]time.Time
		doubts           uint64
	}

	// opening is an opening packet that was sent to a target.
	opening struct {
		flow   FlowKey
		sentAt time.Time
	}
)

// doubtTime returns the time without an answer after which an opening packet for
// the service is a doubt.
func (l *serviceLoad) doubtTime() time.Duration {
	if l.meanOpenTime == 0 {
		return maxDoubtTime
	}
	return min(max(doubtFactor*l.meanOpenTime, minDoubtTime), maxDoubtTime)
}

// addOpenTime adds the time to open a flow to the mean.
func (l *serviceLoad) addOpenTime(d time.Duration) {
	if l.meanOpenTime == 0 {
		l.meanOpenTime = d
		return
	}
	l.meanOpenTime += time.Duration(openWeight * float64(d-l.meanOpenTime))
}

// awaitAnswer records an opening packet that has been sent at the given time.
func (c *Core) awaitAnswer(k FlowKey, l *serviceLoad, now time.Time) {
	if !c.LoadReports {
		return
	}
	if len(l.openings) == 0 {
		c.lost.waiting = append(c.lost.waiting, l)
	}
	l.openings = append(l.openings, opening{k, now})
}

// doubtUnanswered doubts the targets of opening packets that have waited for an
// answer for too long.
func (c *Core) doubtUnanswered(now time.Time) {
	if now.Sub(c.lost.lastTick) < doubtInterval {
		return
	}
	if now.Sub(c.lost.lastTick) > maxDoubtGap {
		c.lost.pausedUntil = now.Add(minDoubtTime)
	}
	c.lost.lastTick = now
	if now.Before(c.lost.pausedUntil) {
		return
	}
	c.confirm(now)
	c.lost.waiting = slices.DeleteFunc(c.lost.waiting, func(l *serviceLoad) bool {
		limit, n := l.doubtTime(), 0
		for _, o := range l.openings {
			f := c.flows[o.flow]
			waits := f != nil && !f.opened && !f.ended && f.lastOpening.Equal(o.sentAt)
			if waits && now.Sub(o.sentAt) < limit {
				break
			}
			if waits && !c.spansSuspension(o.sentAt) {
				c.doubtEarly(f.target, o.sentAt, now)
			}
			n++
		}
		l.openings = slices.Delete(l.openings, 0, n)
		return len(l.openings) == 0
	})
}

// doubtEarly marks a target as suspected, unless it has answered anything since the
// given time. The suspicion is reported after reportDelay.
func (c *Core) doubtEarly(k Cookie, since, now time.Time) {
	l, t := c.targetLoadOf(k), c.target(k)
	if t == nil || t.State == fleet.TargetGone || l.suspected || l.lastAnswered.After(since) || l.answeredAt.After(since) {
		return
	}
	l.suspected, l.failedAt, l.reportAt = true, time.Time{}, now.Add(reportDelay)
	c.lost.doubts++
	if c.lost.reportAt.IsZero() {
		c.lost.reportAt = l.reportAt
	}
	if c.Observer != nil {
		c.Observer.TargetSuspected(t)
	}
}

// ReportDue reports whether an early doubt has become one that is reported since the
// last call.
func (c *Core) ReportDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost.reportAt.IsZero() || now.Before(c.lost.reportAt) {
		return false
	}
	c.lost.reportAt = time.Time{}
	for _, l := range c.targetLoads {
		if l.suspected && l.reportAt.After(now) && (c.lost.reportAt.IsZero() || l.reportAt.Before(c.lost.reportAt)) {
			c.lost.reportAt = l.reportAt
		}
	}
	return true
}

// ReportCheck records the result of a health check: a suspected target remains
// suspected unless it has passed. Only unreachable targets count in Failed. The result
// has no effect if the target has restarted since t was its description.
func (c *Core) ReportCheck(t *Target, r CheckResult, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.runs(t) {
		return
	}
	l := c.targetLoadOf(t.Cookie)
	l.failedAt = time.Time{}
	switch r {
	case CheckUnreachable:
		l.failedAt = now
	case CheckPassed:
		l.suspected, l.answeredAt = false, now
	}
}

// SetDoubted sets the targets that the hubs call lost, and those that any entry VM
// doubts. Some VMs, chosen by a hash, doubt such a target too until it has answered
// a health check: the checks of the VMs that forward to it may fail because of their
// own links. Nil lists withdraw everything, as when the feed has ended.
func (c *Core) SetDoubted(lost, candidates []fleet.Incarnation, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.LoadReports {
		return
	}
	c.lost.lost = learn(c.lost.lost, lost, now)
	c.lost.candidates = learn(c.lost.candidates, candidates, now)
	c.lost.confirmedAt = time.Time{}
	c.confirm(now)
}

// confirm doubts the candidates that this VM confirms and that have not answered it
// recently, so that they are checked. It has no effect within confirmInterval of the
// last call, or while this process may not have read its packets.
func (c *Core) confirm(now time.Time) {
	if len(c.lost.candidates) == 0 || now.Sub(c.lost.confirmedAt) < confirmInterval || now.Before(c.lost.pausedUntil) {
		return
	}
	c.lost.confirmedAt = now
	for _, k := range slices.Sorted(maps.Keys(c.lost.candidates)) {
		if c.confirms(k) {
			c.doubtEarly(k, maxTime(c.lost.candidates[k], now.Add(-confirmInterval)), now)
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// learn returns the set of the targets in ids, with the times in known, or now for
// targets that are new.
func learn(known map[Cookie]time.Time, ids []fleet.Incarnation, now time.Time) map[Cookie]time.Time {
	set := make(map[Cookie]time.Time, len(ids))
	for _, id := range ids {
		k := CookieOf(id)
		set[k] = now
		if since, ok := known[k]; ok {
			set[k] = since
		}
	}
	return set
}

// confirms reports whether this VM is one of about confirmers VMs that check a target
// that another VM doubts.
func (c *Core) confirms(k Cookie) bool {
	if c.view == nil {
		return false
	}
	return c.entryVMs <= confirmers || rank(^c.view.salt, k) < math.MaxUint64/uint64(c.entryVMs)*confirmers
}

// Failed returns those of the targets in suspects that the last health check of this
// VM could not reach, within failedWindow. For lost targets, which are checked less
// often, the last check counts whatever its age.
func (c *Core) Failed(suspects []fleet.Incarnation, now time.Time) []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []fleet.Incarnation
	for _, id := range suspects {
		k := CookieOf(id)
		l := c.targetLoads[k]
		if !c.LoadReports || l == nil || !l.suspected || l.failedAt.IsZero() {
			continue
		}
		if now.Sub(l.failedAt) <= failedWindow || c.isLost(k, l) {
			ids = append(ids, id)
		}
	}
	return ids
}

// IsLost reports whether the hubs call a target lost and this VM knows no answer that
// says otherwise.
func (c *Core) IsLost(k Cookie) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isLost(k, c.targetLoads[k])
}

// Answered returns the targets that any VM doubts and that have answered this VM
// since it has learnt of the doubt, and within answerWindow, unless this VM reports a
// doubt itself.
func (c *Core) Answered(now time.Time) []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []fleet.Incarnation
	for k, since := range c.lost.candidates {
		l, t := c.targetLoads[k], c.target(k)
		if l == nil || t == nil || l.suspected && !l.reportAt.After(now) {
			continue
		}
		if l.answeredAt.After(maxTime(since, now.Add(-answerWindow))) {
			ids = append(ids, t.ID.Incarnation)
		}
	}
	return ids
}

// isLost reports whether the hubs call a target lost, and it has not answered this VM
// since the doubt, or less than answerWindow before it was lost.
func (c *Core) isLost(k Cookie, l *targetLoad) bool {
	since, ok := c.lost.lost[k]
	if !ok {
		return false
	}
	since = since.Add(-answerWindow)
	if doubted, listed := c.lost.candidates[k]; listed {
		since = maxTime(since, doubted)
	}
	return l == nil || !l.answeredAt.After(since)
}

// resetsLost reports whether a packet is answered with a reset because the target of
// its open flow is lost. f is nil if the flow is not in the flow table. Only packets
// with data are: others carry no request that could be repeated elsewhere. A request
// that is not idempotent and of which the target may have received a packet is left
// alone until goneTime after that packet.
func (c *Core) resetsLost(p *Packet, f *flow, k Cookie, now time.Time) bool {
	if p.Data == 0 || c.outdated() || !c.isLost(k, c.targetLoads[k]) {
		return false
	}
	if f == nil {
		r := c.view.routes[p.Flow.Route]
		return r != nil && r.Idempotent
	}
	r := &f.request
	responded := r.sent && int32(p.Acknowledged-r.ack) > 0
	if responded && r.inFlight {
		// The packet acknowledges a response of the target.
		c.targetLoadOf(k).answeredAt = now
		return false
	}
	if f.route.Idempotent || !r.sent || responded {
		return true
	}
	return now.Sub(r.sentAt) >= goneTime
}

// LostStats contains the numbers of targets that the hubs call lost, and of early
// doubts of this VM so far.
type LostStats struct {
	Lost   int
	Doubts uint64
}

// LostStats returns the current numbers.
func (c *Core) LostStats() LostStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return LostStats{Lost: len(c.lost.lost), Doubts: c.lost.doubts}
}
