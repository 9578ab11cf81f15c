package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// slotSlack is the share of the slots by which the requests in flight must have
// changed before they are published again. In flight are few requests while the
// service is quiet, and their number changes by chance.
const slotSlack = 0.1

// zoneTotals contains the load of a service by zone.
type zoneTotals map[fleet.ZoneID]*ZoneLoad

func (z zoneTotals) of(id fleet.ZoneID) *ZoneLoad {
	l := z[id]
	if l == nil {
		l = &ZoneLoad{Zone: id}
		z[id] = l
	}
	return l
}

func (z zoneTotals) sorted() []ZoneLoad {
	list := make([]ZoneLoad, 0, len(z))
	for _, l := range z {
		list = append(list, *l)
	}
	slices.SortFunc(list, func(a, b ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	return list
}

// current returns the load and the sums as of now, and whether a target is slow or
// a service is busy. The load is nil without reports.
func (a *Aggregate) current(now time.Time) (load *Load, sums *Sums, busy bool) {
	load, sums = &Load{Full: true}, new(Sums)
	ids := make([]fleet.ServiceID, 0, len(a.services))
	for id := range a.services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	vms := uint32(0)
	for _, id := range ids {
		s := a.services[id]
		local := a.localSum(id, now)
		s.vms = local.VMs
		l := a.serviceLoad(id, s, &local)
		vms += l.VMs
		use := l.use()
		busy = busy || use > busyUse
		s.learnMean(use, now)
		if s.mean == 0 {
			s.mean = a.meanOfHubs(id)
		}
		l.MeanMicros = microsOf(s.mean)
		local.MeanMicros = l.MeanMicros
		local.Measured = uint32(s.measured)
		if s.measured > 0 {
			local.MedianMicros = microsOf(s.localMedian)
		}
		if s.mean == 0 {
			l.MeanMicros, local.MeanMicros = 0, 0
		}
		if l.VMs > 0 {
			load.Services = append(load.Services, l)
		}
		sums.Services = append(sums.Services, local)
		for _, t := range s.targets {
			if t.slow.step > 0 {
				load.Slow = append(load.Slow, SlowTarget{Target: t.ID, Step: t.slow.step})
			}
			if sum, ok := a.sum(t, s); ok {
				sums.Targets = append(sums.Targets, sum)
			}
		}
	}
	slices.SortFunc(load.Slow, func(a, b SlowTarget) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(sums.Targets, func(a, b TargetSum) int { return cmp.Compare(a.Target, b.Target) })
	busy = busy || len(load.Slow) > 0
	if vms == 0 {
		load = nil
	}
	return load, sums, busy
}

// localSum returns the sum of the reports of this hub's entry VMs.
func (a *Aggregate) localSum(id fleet.ServiceID, now time.Time) ServiceSum {
	sum := ServiceSum{Service: id}
	zones := make(zoneTotals)
	for _, v := range a.vms {
		l, ok := v.services[id]
		if !ok {
			continue
		}
		sum.VMs++
		// The figures of a VM that has stopped to report expire without making those
		// of the others look old.
		if age := now.Sub(l.at); age <= IdleInterval+MinInterval {
			sum.AgeMillis = max(sum.AgeMillis, uint32(age.Milliseconds()))
		}
		for _, rate := range l.report.Offered {
			zones.of(v.zone).Offered += rate
		}
		for _, z := range l.report.InFlight {
			zones.of(z.Zone).InFlight += z.Count
		}
	}
	for _, z := range zones.sorted() {
		sum.Zones = append(sum.Zones, ZoneSum{Zone: z.Zone, InFlight: z.InFlight, Offered: z.Offered})
	}
	return sum
}

// serviceLoad returns the load of a service over all hubs.
func (a *Aggregate) serviceLoad(id fleet.ServiceID, s *serviceState, local *ServiceSum) ServiceLoad {
	l := ServiceLoad{Service: id}
	zones := make(zoneTotals)
	add := func(sum *ServiceSum) {
		l.VMs += sum.VMs
		l.AgeMillis = max(l.AgeMillis, sum.AgeMillis)
		for _, z := range sum.Zones {
			t := zones.of(z.Zone)
			t.InFlight += z.InFlight
			t.Offered += z.Offered
		}
	}
	add(local)
	for _, h := range a.hubs {
		if sum := h.services[id]; sum != nil {
			add(sum)
		}
	}
	slots := make(map[fleet.ZoneID]float64)
	for _, t := range s.targets {
		if t.Open {
			slots[t.Zone] += float64(t.Slots) / slownessOf(t.slow.step)
		}
	}
	for z, n := range slots {
		zones.of(z).Slots = tenths(n)
	}
	l.Zones = zones.sorted()
	return l
}

// use returns the requests in flight per slot.
func (l *ServiceLoad) use() float64 {
	slots, inFlight := 0.0, 0.0
	for _, z := range l.Zones {
		slots += float64(z.Slots) / 10
		inFlight += float64(z.InFlight)
	}
	if slots == 0 {
		return math.Inf(1)
	}
	return inFlight / slots
}

// learnMean adds the sampled time to the mean time of the service, unless requests
// wait at the targets.
func (s *serviceState) learnMean(use float64, now time.Time) {
	mean := s.sampled
	if mean == 0 {
		return
	}
	switch {
	case s.mean == 0:
		s.mean = mean
	case use < maxQuietUse:
		s.mean += (1 - math.Exp(-now.Sub(s.meanAt).Seconds()/meanTimeConstant.Seconds())) * (mean - s.mean)
	default:
		// Before the first quiet moment, the lowest mean is the best estimate.
		if !s.quiet {
			s.mean = min(s.mean, mean)
		}
		return
	}
	s.meanAt = now
	s.quiet = s.quiet || use < maxQuietUse
}

// meanOfHubs returns a mean time that another hub has learnt, or 0.
func (a *Aggregate) meanOfHubs(id fleet.ServiceID) float64 {
	mean := 0.0
	for _, h := range a.hubs {
		if o := h.services[id]; o != nil && o.MeanMicros > 0 {
			if x := duration(o.MeanMicros).Seconds(); mean == 0 || x < mean {
				mean = x
			}
		}
	}
	return mean
}

// sum returns the measurements of a target for the other hubs, unless the target is
// as fast as others at all of them.
func (a *Aggregate) sum(t *targetState, s *serviceState) (TargetSum, bool) {
	m := &t.local
	if m.weight < minSampleWeight {
		return TargetSum{}, false
	}
	slow := t.slow.step > 0 || m.weight >= 1 && m.time >= s.median*(1+max(mayBeSlow-1, 1/math.Sqrt(m.weight)))
	wanted := slow
	for _, h := range a.hubs {
		wanted = wanted || h.targets[t.ID].Slow
	}
	return TargetSum{
		Target: t.ID, Requests: max(tenths(m.weight), 1), Micros: microsOf(m.time), VMs: uint32(len(t.samples)), Slow: slow,
	}, wanted
}

// microsOf returns a time in seconds in microseconds.
func microsOf(seconds float64) uint32 { return micros(time.Duration(seconds * float64(time.Second))) }

// differs reports whether a publication differs enough from the last one.
func (l *Load) differs(old *Load) bool {
	if l == nil || old == nil {
		return l != old
	}
	if len(l.Services) != len(old.Services) || !slices.Equal(l.Slow, old.Slow) {
		return true
	}
	for i := range l.Services {
		a, b := &l.Services[i], &old.Services[i]
		if a.Service != b.Service || len(a.Zones) != len(b.Zones) || changed(float64(a.VMs), float64(b.VMs), 0) ||
			changed(float64(a.MeanMicros), float64(b.MeanMicros), 0) {
			return true
		}
		for j := range a.Zones {
			if a.Zones[j].differs(&b.Zones[j], float64(a.MeanMicros)/1e6) {
				return true
			}
		}
	}
	return false
}

func (z *ZoneLoad) differs(old *ZoneLoad, mean float64) bool {
	slots := float64(z.Slots) / 10
	slack := slotSlack * slots
	rateSlack := 0.0
	if mean > 0 {
		rateSlack = slack / mean
	}
	return z.Zone != old.Zone || changed(slots, float64(old.Slots)/10, 0) ||
		changed(float64(z.InFlight), float64(old.InFlight), slack) ||
		changed(float64(z.Offered)/10, float64(old.Offered)/10, rateSlack)
}

// differs reports whether a message to other hubs differs enough from the last one.
func (s *Sums) differs(old *Sums) bool {
	if s == nil || old == nil {
		return s != old
	}
	if len(s.Targets) > 0 || len(old.Targets) > 0 || len(s.Services) != len(old.Services) {
		return true
	}
	for i := range s.Services {
		a, b := &s.Services[i], &old.Services[i]
		if a.Service != b.Service || len(a.Zones) != len(b.Zones) || a.VMs != b.VMs ||
			changed(float64(a.MeanMicros), float64(b.MeanMicros), 0) || changed(float64(a.MedianMicros), float64(b.MedianMicros), 0) ||
			(a.Measured == 0) != (b.Measured == 0) {
			return true
		}
		for j := range a.Zones {
			x, y := &a.Zones[j], &b.Zones[j]
			if x.Zone != y.Zone || changed(float64(x.InFlight), float64(y.InFlight), 1) || changed(float64(x.Offered), float64(y.Offered), 10) {
				return true
			}
		}
	}
	return false
}

// Stats returns the number of slow targets by step, and the slots and the requests
// in flight by service, as last published.
func (a *Aggregate) Stats() (slow map[uint8]int, rooms map[fleet.ServiceID]Room) {
	slow, rooms = make(map[uint8]int), make(map[fleet.ServiceID]Room)
	if a.load == nil {
		return slow, rooms
	}
	for _, t := range a.load.Slow {
		slow[t.Step]++
	}
	for i := range a.load.Services {
		l := &a.load.Services[i]
		rooms[l.Service] = l.room()
	}
	return slow, rooms
}

// room returns the sums over all zones.
func (l *ServiceLoad) room() Room {
	r := Room{VMs: int(l.VMs), MeanTime: duration(l.MeanMicros), Age: time.Duration(l.AgeMillis) * time.Millisecond}
	for _, z := range l.Zones {
		r.Slots += float64(z.Slots) / 10
		r.InFlight += float64(z.InFlight)
		r.Offered += float64(z.Offered) / 10
	}
	return r
}
