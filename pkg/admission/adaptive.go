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
	// minBaselineSamples is the number of samples before the baseline is used.
	// The mean of fewer samples is off by 10 % or more.
	minBaselineSamples = 128
	// baselineGain is the weight of a new sample in the baseline. With this
	// value a lasting change becomes the baseline after a few hundred requests.
	baselineGain = 0.005
	// minProbeInterval and maxProbeInterval bound the time before a lowered
	// limit is raised again. The interval doubles each time that the limit has
	// to be lowered soon after a raise, which keeps the limit from oscillating.
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// minLowerInterval is the minimum time between two reductions, since
	// requests that were in flight at the first one can still fail.
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
// target shed a request or slowed down.
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

// raise increases the limit by one step once probeAt is reached. Changes of the
// limit, and failures at the minimum, postpone probeAt.
func (a *adaptiveLimit) raise(now time.Time) {
	if a.limit >= a.capacity || now.Before(a.probeAt) {
		return
	}
	a.limit = min(a.capacity, a.limit+a.step())
	a.raisedAt = now
	a.probeAt = now.Add(a.probeInterval)
}

// recordResult updates service times and the limit at the end of a request that
// was in a slot for used seconds.
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
		// The request would have taken longer, so used is a lower bound.
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

// adapt lowers the limit of a slow target and raises it otherwise. Slow answers
// alone lower it to no less than half of the capacity, since longer requests
// look the same as a slower target.
func (l *Limiter) adapt(now time.Time) {
	a := &l.adaptive
	if a.slowdown > maxSlowdown {
		a.lower((a.capacity+1)/2, now)
		return
	}
	a.raise(now)
}
