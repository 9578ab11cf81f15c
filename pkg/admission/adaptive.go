package admission

import (
	"time"
)

const (
	// maxSlowdown is the smoothed ratio of service time to baseline above which
	// the target counts as slow. With exponentially distributed service times
	// the smoothed ratio has a standard deviation of 0.1.
	maxSlowdown = 2.0
	// slowdownGain is the weight of a new sample in the smoothed ratio. With
	// 0.05, random variation alone occasionally lowered the limit of a target.
	slowdownGain = 0.02
	// minBaselineSamples is the number of samples of a kind that are needed
	// before the kind's baseline is used. With exponentially distributed service
	// times, the mean of 100 or fewer samples has a standard error of at least
	// 10 %.
	minBaselineSamples = 128
	// baselineGain is the weight of a new sample in the baseline. With this
	// value the baseline follows a lasting change of the service times within a
	// few hundred requests.
	baselineGain = 0.005
	// minProbeInterval and maxProbeInterval bound the time before a lowered
	// limit is raised again. The interval doubles if the limit is lowered less
	// than one interval after a raise, which keeps the limit from oscillating.
	// Otherwise the interval returns to its minimum when the limit is lowered.
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// minLowerInterval is the minimum time between two reductions of the limit.
	// Requests that were in flight at the first reduction can still be shed or
	// slow, but do not show that the new limit is too high.
	minLowerInterval = 250 * time.Millisecond
)

// adaptiveLimit adapts the in-flight limit between 1 and the capacity.
type adaptiveLimit struct {
	capacity      int
	limit         int
	slowdown      float64
	loweredAt     time.Time
	raisedAt      time.Time
	probeInterval time.Duration
	probeAt       time.Time
}

func (a *adaptiveLimit) configure(capacity int, now time.Time) {
	if a.capacity == 0 || a.limit == a.capacity {
		a.limit = capacity
	}
	a.capacity = capacity
	a.limit = min(a.limit, capacity)
}

func (a *adaptiveLimit) step() int { return max(1, a.limit/8) }

// lower reduces the limit by one step, to no less than minimum, after the
// target shed a request or slowed down. It has no effect within minLowerInterval
// of the last reduction. If the limit is already at the minimum or lower, it
// only postpones the next raise.
func (a *adaptiveLimit) lower(minimum int, now time.Time) {
	if !a.loweredAt.IsZero() && now.Sub(a.loweredAt) < minLowerInterval {
		return
	}
	if a.limit <= minimum {
		a.probeAt = now.Add(a.probeInterval)
		return
	}
	if !a.raisedAt.IsZero() && now.Sub(a.raisedAt) < a.probeInterval {
		a.probeInterval = min(2*a.probeInterval, maxProbeInterval)
	} else {
		a.probeInterval = minProbeInterval
	}
	a.limit = max(minimum, a.limit-a.step())
	a.loweredAt = now
	a.probeAt = now.Add(a.probeInterval)
}

// raise increases the limit by one step, up to the capacity, once probeAt is
// reached. It then postpones probeAt by the probe interval.
func (a *adaptiveLimit) raise(now time.Time) {
	if a.limit >= a.capacity || now.Before(a.probeAt) {
		return
	}
	a.limit = min(a.capacity, a.limit+a.step())
	a.raisedAt = now
	a.probeAt = now.Add(a.probeInterval)
}

// recordResult updates the service time and the pressure of the kind and the
// limit of the target, after a request occupied a slot for used seconds.
func (l *Limiter) recordResult(run *runningRequest, result Result, used float64, now time.Time) {
	c := run.class
	switch result {
	case Completed:
		// The first samples get more weight, since the assumed service time may
		// be far off.
		gain := max(serviceGain, 1/float64(c.samples+1))
		c.serviceTime += gain * (used - c.serviceTime)
		l.observeServiceTime(c, used)
		l.adapt(now)
	case Shed:
		l.adaptive.lower(1, now)
		c.pressure.recordRefused()
	case Cancelled, Expired:
		// The request did not complete, so used is a lower bound of its
		// service time.
		if used > c.serviceTime {
			c.serviceTime += serviceGain * (used - c.serviceTime)
		}
	}
}

func (l *Limiter) observeServiceTime(c *class, used float64) {
	if c.samples >= minBaselineSamples && c.baselineTime > 0 {
		l.adaptive.slowdown += slowdownGain * (used/c.baselineTime - l.adaptive.slowdown)
	}
	c.samples++
	c.baselineTime += max(baselineGain, 1/float64(c.samples)) * (used - c.baselineTime)
}

// adapt lowers the limit of a slow target and otherwise raises the limit. Slow
// answers alone lower the limit to no less than half of the capacity, since
// longer requests can't be distinguished from a slower target.
func (l *Limiter) adapt(now time.Time) {
	a := &l.adaptive
	if a.slowdown > maxSlowdown {
		a.lower((a.capacity+1)/2, now)
		return
	}
	a.raise(now)
}
