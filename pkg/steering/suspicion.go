package steering

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxTrustedSuspects is the maximum number of suspected targets that this VM
// reports regardless of the number of all targets.
const maxTrustedSuspects = 3

// answerTrustTime is how long an answer of a target to this VM outweighs the
// suspicion of other VMs. The other VMs may suspect the target because of faults
// of their own links.
const answerTrustTime = 500 * time.Millisecond

// targetLoad is the load and health of a target as seen by this VM.
type targetLoad struct {
	// running is the number of running flows, and inFlight the number of requests
	// in flight, that this VM forwards to the target.
	running, inFlight int
	// suspected is set while this VM suspects that the target does not answer.
	suspected bool
	// failedAt is the time of the last health check of the suspected target if it could
	// not be reached, or else zero. The suspicion is reported from reportAt on.
	// answeredAt is the time of the last answer of any kind, of which a caller's
	// acknowledgement or a health check has told this VM.
	failedAt, reportAt, answeredAt time.Time
	// lastAnswered is the time of the newest opening packet that the target has
	// answered.
	lastAnswered time.Time
	// lastOverdue is the time at which a request at the target last became
	// overdue.
	lastOverdue time.Time
	// cold limits the flows to the target while it is cold.
	cold coldBudget
}

func (c *Core) targetLoadOf(k Cookie) *targetLoad {
	l := c.targetLoads[k]
	if l == nil {
		l = new(targetLoad)
		c.targetLoads[k] = l
	}
	return l
}

// recordAnswer records that the target has opened a flow whose last opening
// packet arrived at the given time. The target is then no longer suspected.
func (l *targetLoad) recordAnswer(lastOpening time.Time) {
	if lastOpening.After(l.lastAnswered) {
		l.lastAnswered = lastOpening
	}
	l.suspected = false
}

// suspectTarget marks the target of a flow as suspected because the caller has
// retransmitted the opening packet, unless the target has answered a newer
// opening packet.
func (c *Core) suspectTarget(f *flow) {
	l := c.targetLoadOf(f.target)
	if l.suspected || l.lastAnswered.After(f.lastOpening) {
		return
	}
	l.suspected, l.failedAt, l.reportAt = true, time.Time{}, time.Time{}
	if t := c.view.targets[f.target]; t != nil && c.Observer != nil {
		c.Observer.TargetSuspected(t)
	}
}

// isSuspected reports whether this VM suspects a target or SetSharedReports has
// set the target as suspected. The shared suspicion does not count if the target
// has answered an opening packet that this VM received in the last
// answerTrustTime.
func (c *Core) isSuspected(k Cookie, l *targetLoad, now time.Time) bool {
	switch {
	case l != nil && l.suspected:
		return true
	case !c.sharedSuspects[k]:
		return false
	}
	return l == nil || now.Sub(l.lastAnswered) > answerTrustTime
}

// SuspectHealthPath reports whether this VM suspects the process of the target that t
// describes, and the target is not gone. If so, it returns the health path of the
// target's service.
func (c *Core) SuspectHealthPath(t *Target) (healthPath string, suspected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.targetLoads[t.Cookie]
	if l == nil || !l.suspected || !c.runs(t) {
		return "", false
	}
	return c.view.healthPath(t.ID.Service), true
}

// runs reports whether the view has the process of the target that t describes, and the
// target is not gone.
func (c *Core) runs(t *Target) bool {
	current := c.target(t.Cookie)
	return current != nil && current.born == t.born && current.State != fleet.TargetGone
}

// targetRestarted forgets what was known about the health of the process of a target
// that ran before. Opening packets from before the restart are no doubt about the process
// that runs now.
func (c *Core) targetRestarted(k Cookie, now time.Time) {
	if l := c.targetLoads[k]; l != nil {
		*l = targetLoad{running: l.running, inFlight: l.inFlight, lastAnswered: now}
	}
	delete(c.sharedSuspects, k)
	delete(c.sharedOverdue, k)
	delete(c.lost.lost, k)
	delete(c.lost.candidates, k)
}

// Suspects returns the targets that this VM suspects, to be reported to other
// VMs. The result is empty if more than maxTrustedSuspects targets and more than
// half of all targets that are not gone are suspected, because the fault is then
// more likely in this VM's links.
func (c *Core) Suspects() []fleet.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return nil
	}
	var ids []fleet.Incarnation
	for k, l := range c.targetLoads {
		if l.reportAt.After(c.lost.lastTick) {
			continue // an early doubt that a health check may still answer
		}
		if t := c.view.targets[k]; l.suspected && t != nil && t.State != fleet.TargetGone {
			ids = append(ids, t.ID.Incarnation)
		}
	}
	if len(ids) > maxTrustedSuspects && 2*len(ids) > c.view.live {
		return nil
	}
	return ids
}

// SetSharedReports sets the targets that several VMs suspect, and the targets
// that several VMs have reported as overdue.
func (c *Core) SetSharedReports(suspects, overdue []fleet.Incarnation) {
	sharedSuspects, sharedOverdue := cookieSet(suspects), cookieSet(overdue)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedSuspects, c.sharedOverdue = sharedSuspects, sharedOverdue
}

func cookieSet(ids []fleet.Incarnation) map[Cookie]bool {
	set := make(map[Cookie]bool, len(ids))
	for _, id := range ids {
		set[CookieOf(id)] = true
	}
	return set
}
