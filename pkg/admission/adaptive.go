package admission

import (
	"time"
)

const (
	// delayRatio is the ratio of recent to usual service time above which the
	// target counts as slowed down. Exponential service times move the smoothed
	// ratio by 0.1 (standard deviation).
	delayRatio = 2.0
	// ratioGain weighs a new ratio of service times. With 0.05 chance alone
	// lowered the limit of a target now and then.
	ratioGain = 0.02
	// normalSamples is the number of observations before a service time counts
	// as usual. Fewer give a mean that is off by 10 % or more.
	normalSamples = 128
	// normalGain weighs a new observation of the usual service time, so that
	// a lasting change counts as usual after a few hundred requests.
	normalGain = 0.005
	// firstProbe and lastProbe bound the time before a limit that was lowered
	// is raised again. The time doubles each time a raise fails at once, which
	// keeps the limit from oscillating.
	firstProbe = time.Second
	lastProbe  = 30 * time.Second
	// lowerHold is the least time between two reductions, since requests that
	// were in flight at the first can still fail.
	lowerHold = 250 * time.Millisecond
)

// adaptive is the in-flight limit between 1 and the capacity.
type adaptive struct {
	capacity int
	limit    int
	ratio    float64
	lowered  time.Time
	raised   time.Time
	probe    time.Duration
	probeAt  time.Time
}

func (a *adaptive) configure(capacity int, now time.Time) {
	if a.capacity == 0 || a.limit == a.capacity {
		a.limit = capacity
	}
	a.capacity = capacity
	a.limit = min(a.limit, capacity)
}

func (a *adaptive) step() int { return max(1, a.limit/8) }

// lower reduces the limit after a shed request or a rise of the delay.
func (a *adaptive) lower(least int, now time.Time) {
	if !a.lowered.IsZero() && now.Sub(a.lowered) < lowerHold {
		return
	}
	if a.limit <= least {
		a.probeAt = now.Add(a.probe)
		return
	}
	if !a.raised.IsZero() && now.Sub(a.raised) < a.probe {
		a.probe = min(2*a.probe, lastProbe)
	} else {
		a.probe = firstProbe
	}
	a.limit = max(least, a.limit-a.step())
	a.lowered = now
	a.probeAt = now.Add(a.probe)
}

// raise gives back one step once the probe time has passed without a failure.
func (a *adaptive) raise(now time.Time) {
	if a.limit >= a.capacity || now.Before(a.probeAt) {
		return
	}
	a.limit = min(a.capacity, a.limit+a.step())
	a.raised = now
	a.probeAt = now.Add(a.probe)
}

// learn updates service times and the limit from the end of a request.
func (l *Limiter) learn(run *run, result Result, used float64, now time.Time) {
	c := run.class
	switch result {
	case Completed:
		// The first observations count in full, since the assumed service
		// time may be far off.
		gain := max(serviceGain, 1/float64(c.samples+1))
		c.service += gain * (used - c.service)
		l.observeDelay(c, used)
		l.adapt(now)
	case Shed:
		l.adaptive.lower(1, now)
		c.pressure.refused()
	case Cancelled, Expired:
		// The request would have taken longer, so this is a lower bound.
		if used > c.service {
			c.service += serviceGain * (used - c.service)
		}
	}
}

func (l *Limiter) observeDelay(c *class, used float64) {
	if c.samples >= normalSamples && c.normal > 0 {
		l.adaptive.ratio += ratioGain * (used/c.normal - l.adaptive.ratio)
	}
	c.samples++
	c.normal += max(normalGain, 1/float64(c.samples)) * (used - c.normal)
}

// adapt lowers the limit to no less than half of the capacity on delay alone,
// since longer requests look the same as a slower target.
func (l *Limiter) adapt(now time.Time) {
	a := &l.adaptive
	if a.ratio > delayRatio {
		a.lower((a.capacity+1)/2, now)
		return
	}
	a.raise(now)
}
