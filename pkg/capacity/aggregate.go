package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// sampleTime is the time constant with which older measurements of a target
	// lose weight. It is longer if fewer than enoughRequests requests are in the mean:
	// with exponential times and 32 requests, the weighted mean has a standard
	// deviation of an eighth, so that minSlow is four of them. A target that is
	// already slow has few requests, and its mean may be less exact.
	sampleTime, longSampleTime, slowSampleTime = 700 * time.Millisecond, 3 * time.Second, 2 * time.Second
	enoughRequests                             = 32
	// formerWeight is the factor by which measurements lose weight when a target turns
	// out to be slow.
	formerWeight = 0.1
	// minSampleWeight is the weight below which a measurement is forgotten.
	minSampleWeight = 0.05
	// maxSingleFactor bounds the change of a target's mean time by the reports of a
	// single VM, which may be false.
	maxSingleFactor = 2
	// maxDeviation keeps that factor where two VMs measure a target: a mean of two
	// equal weights doubles if one is three times the other.
	maxDeviation = 3
	// minMedianTargets is the number of targets that several VMs have measured from
	// which on the others do not count for the median.
	minMedianTargets = 3
	// minSingleRequests is the number of requests from which on the reports of a
	// single VM count although no other VM has measured the target.
	minSingleRequests = 5
	// maxReportRequests bounds the weight of a single report.
	maxReportRequests = 64
	// mayBeSlow is the ratio from which on a hub sends the measurements of a target
	// to the other hubs, which then send theirs. It is below minSlow, because one hub
	// sees only some VMs.
	mayBeSlow = 1.3
	// maxQuietUse is the share of slots in use up to which mean times are learnt: at
	// more, requests wait at the targets.
	maxQuietUse = 0.6
	// busyUse is the share of slots in use above which reports are frequent.
	busyUse = 0.5
	// meanTimeConstant is the time constant of Room.MeanTime.
	meanTimeConstant = 2 * time.Second
	// maxMessageRate bounds the bytes per second of the targets in messages to one
	// other hub, of the 25,000 that the design allows for a daemon.
	maxMessageRate = 5_000
	// tickTimePerTarget is the minimum time between two updates of the estimates per
	// target. An update takes about 0.6 us per target, 14 ms for 23,000, of which the
	// processor time of a hub then is 1.2 %.
	tickTimePerTarget = 50 * time.Microsecond
	// sumBytes is the maximum size of a TargetSum.
	sumBytes = 20
)

type (
	// Target describes a target for an Aggregate.
	Target struct {
		ID      fleet.Incarnation
		Service fleet.ServiceID
		Zone    fleet.ZoneID
		Slots   int
		// Open is set while the target accepts new flows.
		Open bool
	}

	// Aggregate adds up the reports of the entry VMs that are connected to a hub, and
	// the sums of other hubs. It is not safe for concurrent use.
	Aggregate struct {
		targetIndex
		vms  map[fleet.VMID]*vmState
		hubs map[fleet.VMID]*hubState
		// load is the last publication, and sums the last message to other hubs.
		load             *Load
		sums             *Sums
		loadAt, sumsAt   time.Time
		tickedAt         time.Time
		reports, invalid uint64
	}

	// targetIndex holds the targets by incarnation and by service. Only its methods
	// change the two maps.
	//
	// Invariant: services[id].targets contains exactly those of targets whose Service
	// is id, and no service is without targets.
	targetIndex struct {
		targets  map[fleet.Incarnation]*targetState
		services map[fleet.ServiceID]*serviceState
	}

	vmState struct {
		zone     fleet.ZoneID
		services map[fleet.ServiceID]vmLoad
	}

	vmLoad struct {
		report ServiceReport
		at     time.Time
	}

	hubState struct {
		services map[fleet.ServiceID]*ServiceSum
		targets  map[fleet.Incarnation]TargetSum
		at       time.Time
	}

	serviceState struct {
		targets map[fleet.Incarnation]*targetState
		// localMedian is the median of the mean times of measured targets in seconds,
		// and median the mean of the medians of all hubs, weighted by measured. It is 0
		// if unknown.
		localMedian, median float64
		measured            int
		// mean is Room.MeanTime in seconds, 0 if unknown, and sampled the mean of the
		// times at the last tick, each divided by the slowness of its target.
		mean, sampled float64
		meanAt        time.Time
		// quiet is set once mean has been learnt while requests did not wait.
		quiet bool
		// vms is the number of this hub's VMs that report the service.
		vms uint32
	}

	targetState struct {
		Target
		samples map[fleet.VMID]*sample
		// decayedAt is the time at which the weights of samples were last reduced.
		decayedAt time.Time
		slow      slowness
		// local is the mean of this hub's VMs, and all that of all hubs.
		local, all mean
	}

	// sample is the measurements of a target by one VM: the weighted number of
	// requests, the sum of their times in seconds, and the number of requests without
	// weights.
	sample struct {
		weight, sum float64
		requests    int
	}

	// mean is a mean time in seconds of a weighted number of requests. single is set
	// if one VM has measured all of them, and requests is then their number.
	mean struct {
		weight, time float64
		single       bool
		requests     int
	}
)

// NewAggregate returns an empty aggregate.
func NewAggregate() *Aggregate {
	return &Aggregate{
		targetIndex: targetIndex{targets: make(map[fleet.Incarnation]*targetState), services: make(map[fleet.ServiceID]*serviceState)},
		vms:         make(map[fleet.VMID]*vmState), hubs: make(map[fleet.VMID]*hubState),
	}
}

// SetTarget adds a target or changes it. Measurements of a target that has changed its
// service are dropped, since they compare it with the targets of the former one.
func (x *targetIndex) SetTarget(t Target) {
	s := x.targets[t.ID]
	if s != nil && s.Service != t.Service {
		x.RemoveTarget(t.ID)
		s = nil
	}
	if s == nil {
		s = &targetState{samples: make(map[fleet.VMID]*sample)}
		x.targets[t.ID] = s
	}
	s.Target = t
	svc := x.services[t.Service]
	if svc == nil {
		svc = &serviceState{targets: make(map[fleet.Incarnation]*targetState)}
		x.services[t.Service] = svc
	}
	svc.targets[t.ID] = s
}

// RemoveTarget removes a target. It has no effect for an unknown one.
func (x *targetIndex) RemoveTarget(id fleet.Incarnation) {
	t := x.targets[id]
	if t == nil {
		return
	}
	delete(x.targets, id)
	s := x.services[t.Service]
	delete(s.targets, id)
	if len(s.targets) == 0 {
		delete(x.services, t.Service)
	}
}

// Targets returns the targets in any order.
func (x *targetIndex) Targets() []Target {
	list := make([]Target, 0, len(x.targets))
	for _, t := range x.targets {
		list = append(list, t.Target)
	}
	return list
}

// Report adds a report of an entry VM. Entries about unknown services or targets
// are ignored: the VM may know a newer catalog.
func (a *Aggregate) Report(vm fleet.VMID, zone fleet.ZoneID, r *Report, now time.Time) {
	a.reports++
	v := a.vms[vm]
	if v == nil {
		v = &vmState{services: make(map[fleet.ServiceID]vmLoad)}
		a.vms[vm] = v
	}
	v.zone = zone
	for _, s := range r.Services {
		if a.services[s.Service] != nil {
			v.services[s.Service] = vmLoad{s, now}
		}
	}
	for _, e := range r.Targets {
		t := a.targets[e.Target]
		if t == nil || e.Requests == 0 || e.Micros == 0 {
			a.invalid++
			continue
		}
		t.decay(now)
		n := float64(min(e.Requests, maxReportRequests))
		s := t.samples[vm]
		if s == nil {
			s = new(sample)
			t.samples[vm] = s
		}
		seconds := duration(e.Micros).Seconds()
		s.weight += n
		s.sum += n * seconds
		s.requests += int(n)
	}
}

// Reports returns the number of reports, and the number of their entries about
// unknown targets.
func (a *Aggregate) Reports() (reports, ignored uint64) { return a.reports, a.invalid }

// Remove removes the figures of an entry VM that is no longer connected.
func (a *Aggregate) Remove(vm fleet.VMID) { delete(a.vms, vm) }

// Merge replaces the sums of another hub.
func (a *Aggregate) Merge(hub fleet.VMID, s *Sums, now time.Time) {
	h := &hubState{
		services: make(map[fleet.ServiceID]*ServiceSum, len(s.Services)),
		targets:  make(map[fleet.Incarnation]TargetSum, len(s.Targets)), at: now,
	}
	for i := range s.Services {
		h.services[s.Services[i].Service] = &s.Services[i]
	}
	for _, t := range s.Targets {
		h.targets[t.Target] = t
	}
	a.hubs[hub] = h
}

// Confirm records that the sums of a hub have not changed.
func (a *Aggregate) Confirm(hub fleet.VMID, now time.Time) {
	if h := a.hubs[hub]; h != nil {
		h.at = now
	}
}

// RemoveHub removes the sums of a hub whose feed has ended.
func (a *Aggregate) RemoveHub(hub fleet.VMID) { delete(a.hubs, hub) }

// decay reduces the weights of older measurements.
func (t *targetState) decay(now time.Time) {
	dt := now.Sub(t.decayedAt)
	t.decayedAt = now
	total := 0.0
	for _, s := range t.samples {
		total += s.weight
	}
	constant := longSampleTime
	switch {
	case total >= enoughRequests:
		constant = sampleTime
	case t.slow.step > 0:
		constant = slowSampleTime
	}
	w := math.Exp(-dt.Seconds() / constant.Seconds())
	for vm, s := range t.samples {
		s.weight *= w
		s.sum *= w
		if s.weight < minSampleWeight {
			delete(t.samples, vm)
		}
	}
}

// forget reduces the weight of the measurements so far, many of which were made
// before the target became slow.
func (t *targetState) forget() {
	for _, s := range t.samples {
		s.weight *= formerWeight
		s.sum *= formerWeight
	}
}

// robustMean returns the mean of several means, which no single VM can raise by
// more than maxSingleFactor: the weight of a VM is limited to that of the others and
// to twice their average, and no mean counts for more than maxDeviation times the
// median or less than the median divided by maxDeviation. It changes the list.
func robustMean(list []mean) mean {
	if len(list) == 0 {
		return mean{}
	}
	if len(list) == 1 {
		return list[0]
	}
	total := 0.0
	for _, m := range list {
		total += m.weight
	}
	m := mean{}
	for i := range list {
		if list[i].single {
			others := total - list[i].weight
			list[i].weight = min(list[i].weight, others, 2*others/float64(len(list)-1))
		}
		m.weight += list[i].weight
	}
	slices.SortFunc(list, func(a, b mean) int { return cmp.Compare(a.time, b.time) })
	median, below := 0.0, 0.0
	for i := range list {
		if below += list[i].weight; below >= m.weight/2-1e-9 {
			median = list[i].time
			break
		}
	}
	sum := 0.0
	for i := range list {
		sum += list[i].weight * min(max(list[i].time, median/maxDeviation), median*maxDeviation)
	}
	m.time = sum / m.weight
	return m
}

// localMean returns the mean of the samples of this hub.
func (t *targetState) localMean() mean {
	list := make([]mean, 0, len(t.samples))
	for _, s := range t.samples {
		list = append(list, mean{weight: s.weight, time: s.sum / s.weight, single: true, requests: s.requests})
	}
	return robustMean(list)
}

// meanOf returns the mean of a target over all hubs.
func (a *Aggregate) meanOf(t *targetState) mean {
	var list []mean
	if t.local.weight > 0 {
		list = append(list, t.local)
	}
	svc := a.services[t.Service]
	for _, h := range a.hubs {
		switch s, ok := h.targets[t.ID]; {
		case ok && s.Requests > 0:
			list = append(list, mean{weight: float64(s.Requests) / 10, time: duration(s.Micros).Seconds(), single: s.VMs == 1, requests: int(s.Requests / 10)})
		case !ok && t.slow.step == 0 && svc.vms > 0 && h.services[t.Service] != nil:
			// The other hub has not found the target slow. Without its measurements, the
			// chance that one of several hubs has would make a target slow.
			w := t.local.weight * float64(h.services[t.Service].VMs) / float64(svc.vms)
			if w > 0 {
				list = append(list, mean{weight: w, time: svc.median})
			}
		}
	}
	return robustMean(list)
}

// ratio returns the mean time divided by the median of the service, or 0 if the
// measurements are too few. A single VM changes it by at most maxSingleFactor.
func (m *mean) ratio(median float64, slow bool) float64 {
	enough := m.weight >= minRequests || slow && m.weight >= minSlowRequests
	if !enough || median == 0 || m.single && m.requests < minSingleRequests {
		return 0
	}
	r := m.time / median
	if m.single {
		r = min(max(r, 1.0/maxSingleFactor), maxSingleFactor)
	}
	return r
}

// Tick updates the estimates and returns the current publication and the current
// message to other hubs. Either is nil without figures, and the same pointer as
// before while nothing has changed.
func (a *Aggregate) Tick(now time.Time) (*Load, *Sums) {
	if now.Sub(a.tickedAt) < max(MinInterval, time.Duration(len(a.targets))*tickTimePerTarget) {
		return a.load, a.sums
	}
	a.tickedAt = now
	a.expire(now)
	for id, s := range a.services {
		a.measure(id, s, now)
	}
	load, sums, busy := a.current(now)
	interval := IdleInterval
	if busy {
		interval = MinInterval
	}
	if now.Sub(a.loadAt) >= interval && load.differs(a.load) {
		a.load, a.loadAt = load, now
	}
	if busy {
		interval = max(interval, time.Duration(len(sums.Targets)*sumBytes)*time.Second/maxMessageRate)
	}
	if now.Sub(a.sumsAt) >= interval && sums.differs(a.sums) {
		a.sums, a.sumsAt = sums, now
	}
	return a.load, a.sums
}

// expire removes the figures that are older than Lifetime.
func (a *Aggregate) expire(now time.Time) {
	for vm, v := range a.vms {
		for id, l := range v.services {
			if now.Sub(l.at) > Lifetime {
				delete(v.services, id)
			}
		}
		if len(v.services) == 0 {
			delete(a.vms, vm)
		}
	}
	for hub, h := range a.hubs {
		if now.Sub(h.at) > Lifetime {
			delete(a.hubs, hub)
		}
	}
}

// measure updates the median of a service and the slowness of its targets.
func (a *Aggregate) measure(id fleet.ServiceID, s *serviceState, now time.Time) {
	var times, singleTimes []float64
	sum, weight := 0.0, 0.0
	for _, t := range s.targets {
		t.decay(now)
		t.local = t.localMean()
		if t.local.weight < 1 {
			continue
		}
		sum += t.local.weight * t.local.time / slownessOf(t.slow.step)
		weight += t.local.weight
		switch {
		case !t.Open:
		case t.local.single:
			singleTimes = append(singleTimes, t.local.time)
		default:
			times = append(times, t.local.time)
		}
	}
	s.sampled = 0
	if weight > 0 {
		s.sampled = sum / weight
	}
	// A VM could set the times of targets that it alone has measured at will.
	if len(times) < minMedianTargets {
		times = append(times, singleTimes...)
	}
	s.measured = len(times)
	s.localMedian = lowerMedian(times)
	s.median = a.medianOf(id, s)
	for _, t := range s.targets {
		t.all = a.meanOf(t)
		before := t.slow.step
		t.slow.update(t.all.ratio(s.median, before > 0), t.all.weight, now)
		if before == 0 && t.slow.step > 0 {
			t.forget()
		}
	}
	a.limitSlow(s)
}

// medianOf returns the mean of the medians of all hubs, or 0.
func (a *Aggregate) medianOf(id fleet.ServiceID, s *serviceState) float64 {
	sum, n := s.localMedian*float64(s.measured), float64(s.measured)
	for _, h := range a.hubs {
		if o := h.services[id]; o != nil {
			sum += float64(o.Measured) * duration(o.MedianMicros).Seconds()
			n += float64(o.Measured)
		}
	}
	if n == 0 {
		return s.median
	}
	return sum / n
}

// limitSlow keeps the number of slow targets of a service at half of those that
// accept new flows. The slowest ones remain slow.
func (a *Aggregate) limitSlow(s *serviceState) {
	open := 0
	var slow []*targetState
	for _, t := range s.targets {
		if t.Open {
			open++
			if t.slow.step > 0 {
				slow = append(slow, t)
			}
		}
	}
	if 2*len(slow) <= open {
		return
	}
	slices.SortFunc(slow, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(b.slow.step, a.slow.step), cmp.Compare(a.ID, b.ID))
	})
	for _, t := range slow[open/2:] {
		t.slow.step = 0
	}
}

// lowerMedian returns the median, the lower one of two, or 0 for an empty list.
func lowerMedian(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[(len(x)-1)/2]
}
