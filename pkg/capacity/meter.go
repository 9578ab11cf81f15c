package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// targetRate and serviceRate are the bytes per second that the parts of reports
	// may take, of the 1,000 that the design allows with the header.
	targetRate, serviceRate = 500, 400
	// targetBytes is the usual maximum size of a TargetReport, and serviceBytes and
	// urgencyBytes those of the parts of a ServiceReport without its names.
	targetBytes                = 1 + 9 + 2 + 5
	serviceBytes, urgencyBytes = 6, 3
	// rateTime is the time constant of the rate of offered requests. A shorter one
	// makes the rate of a VM with ten requests per second too uncertain, a longer
	// one delays the detection of a flood.
	rateTime = 500 * time.Millisecond
	// surgeRequests is the number of additional requests in flight at which a VM
	// reports before IdleInterval has passed.
	surgeRequests = 4
)

type (
	// Meter collects the measurements of one entry VM and creates its reports. It is
	// not safe for concurrent use.
	Meter struct {
		services map[fleet.ServiceID]*serviceMeter
		targets  map[fleet.Incarnation]targetMeter
		// pending lists the keys of targets in the order of their first measurement.
		pending []fleet.Incarnation
		// last is the time of the last report.
		last time.Time
		// targetBudget and serviceBudget are the numbers of bytes that the parts of the
		// next report may have, as of budgetAt.
		targetBudget, serviceBudget float64
		budgetAt                    time.Time
		reports                     uint64
	}

	serviceMeter struct {
		counts [maxUrgencies]int
		rates  [maxUrgencies]float64
		// rated is the time of the last update of rates.
		rated time.Time
		// sent is the last report, and sentAt its time.
		sentOffered, sentInFlight float64
		sentAt                    time.Time
	}

	targetMeter struct {
		requests int
		total    time.Duration
	}

	// InFlight is the number of requests in flight by service and by the zone of
	// the target.
	InFlight map[fleet.ServiceID]map[fleet.ZoneID]int
)

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	return &Meter{services: make(map[fleet.ServiceID]*serviceMeter), targets: make(map[fleet.Incarnation]targetMeter)}
}

// Offer counts a request for which a caller has asked.
func (m *Meter) Offer(id fleet.ServiceID, u fleet.Urgency) {
	m.service(id).counts[min(int(u), maxUrgencies-1)]++
}

// Measure records the time of an answered request.
func (m *Meter) Measure(target fleet.Incarnation, elapsed time.Duration) {
	t := m.targets[target]
	if t.requests == 0 {
		m.pending = append(m.pending, target)
	}
	t.requests++
	t.total += elapsed
	m.targets[target] = t
}

// Reports returns the number of reports created.
func (m *Meter) Reports() uint64 { return m.reports }

// Offered returns the requests per second that callers have asked this VM for,
// at the time of the last report.
func (m *Meter) Offered(id fleet.ServiceID) float64 {
	s := m.services[id]
	if s == nil {
		return 0
	}
	return s.offered()
}

func (m *Meter) service(id fleet.ServiceID) *serviceMeter {
	s := m.services[id]
	if s == nil {
		s = new(serviceMeter)
		m.services[id] = s
	}
	return s
}

func (s *serviceMeter) offered() float64 {
	sum := 0.0
	for _, r := range s.rates {
		sum += r
	}
	return sum
}

// rate updates the rates with the requests since the last call.
func (s *serviceMeter) rate(now time.Time) {
	dt := now.Sub(s.rated)
	if s.rated.IsZero() {
		dt = IdleInterval
	}
	if dt <= 0 {
		return
	}
	w := 1 - math.Exp(-dt.Seconds()/rateTime.Seconds())
	for u := range s.counts {
		s.rates[u] += w * (float64(s.counts[u])/dt.Seconds() - s.rates[u])
		if s.rates[u] < 0.01 {
			s.rates[u] = 0
		}
		s.counts[u] = 0
	}
	s.rated = now
}

// Due reports whether a report may be due. Report then decides.
func (m *Meter) Due(now time.Time) bool { return now.Sub(m.last) >= MinInterval }

// Report returns the next report, or nil if none is due: less than MinInterval has
// passed since the last one, or less than IdleInterval while the fleet is not busy
// and the requests of this VM have not surged.
func (m *Meter) Report(inFlight InFlight, busy bool, now time.Time) *Report {
	if !m.Due(now) {
		return nil
	}
	idle := now.Sub(m.last) >= IdleInterval
	surge := false
	for id, zones := range inFlight {
		s := m.service(id)
		surge = surge || float64(sum(zones)) >= 2*s.sentInFlight+surgeRequests
	}
	if !idle && !busy && !surge {
		return nil
	}
	var ids []fleet.ServiceID
	for id, s := range m.services {
		s.rate(now)
		ids = append(ids, id)
	}
	// Those that were sent longest ago come first, since the budget may be too small.
	slices.SortFunc(ids, func(a, b fleet.ServiceID) int {
		return cmp.Or(m.services[a].sentAt.Compare(m.services[b].sentAt), cmp.Compare(a, b))
	})
	// Callers read the clock before they take their lock, so that now may be before budgetAt.
	dt := max(now.Sub(m.budgetAt), 0).Seconds()
	m.targetBudget = min(m.targetBudget+targetRate*dt, targetRate)
	m.serviceBudget = min(m.serviceBudget+serviceRate*dt, serviceRate)
	m.budgetAt = now
	r := new(Report)
	for _, id := range ids {
		m.addService(r, id, inFlight[id], now)
	}
	m.addTargets(r)
	if len(r.Services) == 0 && len(r.Targets) == 0 {
		return nil
	}
	m.last = now
	m.reports++
	return r
}

func (m *Meter) addService(r *Report, id fleet.ServiceID, zones map[fleet.ZoneID]int, now time.Time) {
	s := m.services[id]
	offered, total := s.offered(), float64(sum(zones))
	stale := now.Sub(s.sentAt) >= IdleInterval-MinInterval/2
	if !stale && !changed(offered, s.sentOffered, 0) && !changed(total, s.sentInFlight, 0) {
		return
	}
	if offered == 0 && total == 0 && s.sentOffered == 0 && s.sentInFlight == 0 {
		// The service is no longer in use here.
		delete(m.services, id)
		return
	}
	e := ServiceReport{Service: id}
	for u, rate := range s.rates {
		if rate > 0 {
			for len(e.Offered) <= u {
				e.Offered = append(e.Offered, 0)
			}
			e.Offered[u] = tenths(rate)
		}
	}
	size := serviceBytes + len(id) + urgencyBytes*len(e.Offered)
	for z, n := range zones {
		e.InFlight = append(e.InFlight, ZoneCount{Zone: z, Count: uint32(n)})
		size += len(z) + 4
	}
	slices.SortFunc(e.InFlight, func(a, b ZoneCount) int { return cmp.Compare(a.Zone, b.Zone) })
	if float64(size) > m.serviceBudget {
		return
	}
	m.serviceBudget -= float64(size)
	s.sentOffered, s.sentInFlight, s.sentAt = offered, total, now
	r.Services = append(r.Services, e)
}

func (m *Meter) addTargets(r *Report) {
	n := min(len(m.pending), int(m.targetBudget/targetBytes))
	for _, id := range m.pending[:n] {
		t := m.targets[id]
		r.Targets = append(r.Targets, TargetReport{
			Target: id, Requests: uint32(t.requests), Micros: micros(t.total / time.Duration(t.requests)),
		})
		delete(m.targets, id)
	}
	m.targetBudget -= float64(n * targetBytes)
	m.pending = slices.Delete(m.pending, 0, n)
}

func sum(zones map[fleet.ZoneID]int) int {
	n := 0
	for _, k := range zones {
		n += k
	}
	return n
}
