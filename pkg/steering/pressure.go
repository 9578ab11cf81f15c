package steering

import (
	"math"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// slowShare is the part of their objective that requests may take on average
	// before less urgent ones are refused.
	slowShare = 0.5
	// slowMemory is the time constant of that average, and leastWeight the
	// weight of one request in it.
	slowMemory  = 300 * time.Millisecond
	leastWeight = 0.08
	// slowPatience is the time for which a service must be slow before requests
	// are refused. Those that have waited through a short interruption are
	// served late rather than not at all.
	slowPatience = time.Second
	// urgencyMemory is how long a request shows that there is work of its
	// urgency.
	urgencyMemory = 2 * time.Second
	// keptMemory is how long a flow with several requests shows that the times of
	// the service's flows are not those of requests: the longest life of a flow.
	keptMemory = time.Minute
)

// pressure is what this VM knows of the load of a service.
type pressure struct {
	// running is the number of this VM's requests at the service.
	running int
	// slowness is the average time of its requests, in parts of their objective,
	// and since the time from which it has been above slowShare.
	slowness       float64
	sampled, since time.Time
	// patient is the least urgent work that was asked for since patientAt.
	patient   fleet.Urgency
	patientAt time.Time
	// keptAt is the time of the last flow with several requests.
	keptAt time.Time
}

func (c *Core) pressureOf(id fleet.ServiceID) *pressure {
	p := c.pressures[id]
	if p == nil {
		p = new(pressure)
		c.pressures[id] = p
	}
	return p
}

// sample takes the time of a request in parts of its objective.
func (p *pressure) sample(share float64, now time.Time) {
	w := 1 - math.Exp(-float64(now.Sub(p.sampled))/float64(slowMemory))
	p.slowness += max(w, leastWeight) * (share - p.slowness)
	p.sampled = now
	switch {
	case p.slowness < slowShare:
		p.since = time.Time{}
	case p.since.IsZero():
		p.since = now
	}
}

// refuses reports whether a new request is refused: the service has been slow
// for a while, this VM has its share of the slots in use, and no work that is
// asked for is less urgent.
func (p *pressure) refuses(u fleet.Urgency, slots, entries int, now time.Time) bool {
	if u >= p.patient || now.Sub(p.patientAt) > urgencyMemory {
		p.patient, p.patientAt = u, now
	}
	if now.Sub(p.keptAt) < keptMemory || entries == 0 || p.since.IsZero() || now.Sub(p.since) < slowPatience {
		return false
	}
	return u == p.patient && p.running*entries >= slots
}

// SetEntries takes the number of entry VMs, 0 where it is not known.
func (c *Core) SetEntries(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = n
}
