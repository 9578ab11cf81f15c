package steering

import (
	"math"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// slowThreshold is the minimum serviceLoad.latencyRatio at which a service
	// counts as slow.
	slowThreshold = 0.5
	// latencyTimeConstant is the time constant of the moving average latencyRatio,
	// and minSampleWeight the minimum weight of one request in this average.
	latencyTimeConstant = 300 * time.Millisecond
	minSampleWeight     = 0.08
	// minSlowTime is the time for which a service must be slow before requests
	// are refused. Requests that were delayed by a short interruption are served
	// late rather than refused.
	minSlowTime = time.Second
	// urgencyWindow is the time for which a request counts as recent when the
	// least urgent of the recent requests is determined.
	urgencyWindow = 2 * time.Second
	// reuseWindow is the time after the second request of a flow during which no
	// request for the service of the flow is refused. The duration of a flow with
	// several requests is not the time of one request, so it does not show whether
	// the service is slow. The window is as long as the longest lifetime of a flow.
	reuseWindow = time.Minute
)

// serviceLoad is the load of a service as seen by this VM.
type serviceLoad struct {
	// running is the number of running requests that this VM forwards to the
	// service.
	running int
	// inFlight is the number of requests in flight that this VM forwards to the
	// service.
	inFlight int
	// openings holds, in the order of their times, the opening packets that may still
	// wait for an answer, and meanOpenTime is the mean time to open a flow.
	openings     []opening
	meanOpenTime time.Duration
	// latencyRatio is the moving average of the request time divided by the
	// objective. lastSample is the time of the last request in the average, and
	// slowSince the time since which the average has not been below
	// slowThreshold, or zero.
	latencyRatio          float64
	lastSample, slowSince time.Time
	// leastUrgent is the urgency of the least urgent recent request, and
	// leastUrgentAt the time of the last request with this urgency.
	leastUrgent   fleet.Urgency
	leastUrgentAt time.Time
	// lastReuse is the last time at which a caller sent a second request on a
	// flow of the service.
	lastReuse time.Time
}

func (c *Core) serviceLoadOf(id fleet.ServiceID) *serviceLoad {
	l := c.serviceLoads[id]
	if l == nil {
		l = new(serviceLoad)
		c.serviceLoads[id] = l
	}
	return l
}

// addSample adds a request to the average; ratio is the time of the request
// divided by its objective.
func (l *serviceLoad) addSample(ratio float64, now time.Time) {
	w := 1 - math.Exp(-float64(now.Sub(l.lastSample))/float64(latencyTimeConstant))
	l.latencyRatio += max(w, minSampleWeight) * (ratio - l.latencyRatio)
	l.lastSample = now
	switch {
	case l.latencyRatio < slowThreshold:
		l.slowSince = time.Time{}
	case l.slowSince.IsZero():
		l.slowSince = now
	}
}

// refuses records a new request with urgency u and reports whether the request
// is refused. A request is refused if the service has been slow for
// minSlowTime, this VM forwards at least slots/entryVMs running requests to the
// service, and no recent request is less urgent. No request is refused within
// reuseWindow after lastReuse, or while the number of entry VMs is unknown.
func (l *serviceLoad) refuses(u fleet.Urgency, slots, entryVMs int, now time.Time) bool {
	if u >= l.leastUrgent || now.Sub(l.leastUrgentAt) > urgencyWindow {
		l.leastUrgent, l.leastUrgentAt = u, now
	}
	if now.Sub(l.lastReuse) < reuseWindow || entryVMs == 0 || l.slowSince.IsZero() || now.Sub(l.slowSince) < minSlowTime {
		return false
	}
	return u == l.leastUrgent && l.running*entryVMs >= slots
}

// SetEntryVMs sets the number of entry VMs, 0 if unknown.
func (c *Core) SetEntryVMs(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryVMs = n
}
