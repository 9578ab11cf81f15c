package steering

import (
	"math"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// maxProbes is the maximum number of targets whose costs are compared for a new
	// flow while work is distributed by speed, before all targets are.
	maxProbes = 8
	// goldenRatio is the fractional part of the golden ratio. Its multiples fill a
	// circle evenly however many there are.
	goldenRatio = 0.6180339887498949
	// turnTime is the time in which the first target of a VM with few requests moves
	// once around the wheel. With 10 s, the VM left a target before its own requests
	// there said much about the target: 3 % of the requests of 100 VMs were late in
	// TestUnevenTargets instead of 2 %.
	turnTime = 30 * time.Second
	// fewRequests is the number of requests in flight up to which a VM keeps to few
	// targets at a time. With more, most of these would be in use, and the flows would
	// go to the targets behind slow ones: the busiest of 150 targets then had 1.25
	// times its share before 20 VMs.
	fewRequests = 4
	// unreadReportTime is the time after which this VM uses a report itself that no
	// hub has asked for.
	unreadReportTime = 1500 * time.Millisecond
)

type (
	// fleetLoad is the state of a Core with load reports.
	fleetLoad struct {
		meter *capacity.Meter
		// own aggregates this VM's own reports while no hub publishes figures, and is
		// otherwise nil. It has the targets of the view that are not gone.
		own     *capacity.Aggregate
		takenAt time.Time
		// positions holds the position on the wheel of each service and zone.
		positions map[wheelKey]float64
	}

	wheelKey struct {
		service fleet.ServiceID
		zone    fleet.ZoneID
	}

	// wheel is a circle of length 1 on which each target has a part in proportion to
	// its speed. ends holds the ends of the parts.
	wheel struct {
		targets []*Target
		ends    []float64
		// largest is the length of the largest part.
		largest float64
		// version and changes are the versions of the estimate and of the targets from
		// which the wheel was built.
		version uint64
		changes int
	}
)

// UseLoadReports lets the core measure requests and distribute new flows by the
// figures of other VMs. It must be called before the first packet.
func (c *Core) UseLoadReports() {
	c.Estimate = capacity.NewEstimate(c.Zone)
	c.load = fleetLoad{meter: capacity.NewMeter(), positions: make(map[wheelKey]float64)}
}

// SetFleetLoad applies what a hub has published, or the changes since. With nil,
// the hub publishes no figures.
func (c *Core) SetFleetLoad(l *capacity.Load, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Estimate != nil {
		c.Estimate.Apply(l, now)
	}
}

// ConfirmFleetLoad records a message of the hub in which the figures have not
// changed.
func (c *Core) ConfirmFleetLoad(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Estimate != nil {
		c.Estimate.Confirm(now)
	}
}

// LoadReport returns the report that is due, or nil.
func (c *Core) LoadReport(now time.Time) *capacity.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Estimate == nil {
		return nil
	}
	return c.takeReport(now)
}

// takeReport returns the report that is due, or nil, and evaluates it here while no
// hub publishes figures.
func (c *Core) takeReport(now time.Time) *capacity.Report {
	known := c.Estimate.Known(now)
	if known && c.load.own != nil {
		c.load.own = nil
		c.Estimate.SetOwn(nil)
	}
	if c.view == nil || !c.load.meter.Due(now) {
		return nil
	}
	inFlight := make(capacity.InFlight)
	for k, l := range c.targetLoads {
		t := c.view.targets[k]
		if l.inFlight == 0 || t == nil {
			continue
		}
		zones := inFlight[t.ID.Service]
		if zones == nil {
			zones = make(map[fleet.ZoneID]int)
			inFlight[t.ID.Service] = zones
		}
		zones[t.Zone] += l.inFlight
	}
	r := c.load.meter.Report(inFlight, c.Estimate.Busy(now), now)
	if r == nil {
		return nil
	}
	c.load.takenAt = now
	if !known {
		c.evaluateOwn(r, now)
	}
	return r
}

// evaluateOwn sets the slowness of targets by this VM's own reports.
func (c *Core) evaluateOwn(r *capacity.Report, now time.Time) {
	if c.load.own == nil {
		c.load.own = capacity.NewAggregate()
		for _, t := range c.view.targets {
			c.load.setTarget(nil, t)
		}
	}
	c.load.own.Report("", c.Zone, r, now)
	if l, _ := c.load.own.Tick(now); l != nil {
		c.Estimate.SetOwn(l.Slow)
	}
}

// setTarget brings the own aggregate, if there is one, into line with a target of the view
// that has taken the place of another one, which may be nil.
func (l *fleetLoad) setTarget(before, t *Target) {
	if l.own == nil {
		return
	}
	if before != nil && before.ID.Incarnation != t.ID.Incarnation {
		l.own.RemoveTarget(before.ID.Incarnation)
	}
	if t.State == fleet.TargetGone {
		l.own.RemoveTarget(t.ID.Incarnation)
		return
	}
	l.own.SetTarget(capacity.Target{
		ID: t.ID.Incarnation, Service: t.ID.Service, Zone: t.Zone, Slots: t.Slots, Open: t.TakesNewFlows(),
	})
}

// tickFleetLoad evaluates the measurements of this VM if no hub asks for them.
func (c *Core) tickFleetLoad(now time.Time) {
	if c.Estimate != nil && !c.Estimate.Known(now) && now.Sub(c.load.takenAt) >= unreadReportTime {
		c.takeReport(now)
	}
}

// countOffer counts a request for which a caller has asked.
func (c *Core) countOffer(id fleet.ServiceID, u fleet.Urgency) {
	if c.Estimate != nil {
		c.load.meter.Offer(id, u)
	}
}

// measureRequest records the time of the request in flight of a flow, whose caller
// has acknowledged a part of the response.
func (c *Core) measureRequest(f *flow, now time.Time) {
	if c.Estimate == nil || !f.request.inFlight || c.spansSuspension(f.request.sentAt) {
		return
	}
	if t := c.view.targets[f.target]; t != nil {
		c.load.meter.Measure(t.ID.Incarnation, now.Sub(f.request.sentAt))
	}
}

// ownLoad returns the load of a target that this VM causes, in slots of a target of
// normal speed: its requests in flight times the target's slowness. Without load
// reports, it is the number of its running flows.
func (c *Core) ownLoad(l *targetLoad, t *Target, now time.Time) float64 {
	if c.Estimate == nil {
		return float64(l.running)
	}
	return float64(l.inFlight) * c.Estimate.Slowness(t.ID.Incarnation, now)
}

// chooseFor returns a target for a new flow, as choose does. With load reports, the
// targets of this VM's zone, or of another zone for the part of the demand that
// finds no room here, get flows in proportion to their speed: each flow goes to the
// target at a point on a wheel, or to the next one if this VM already has a request at
// the target or avoids it. avoided is the target that would have had the flow if all
// were equally fast, if it is slow.
//
// All VMs know the same figures, so that a choice of the fastest or least loaded
// target by these figures would send the flows of all VMs there at once. The figures
// therefore change only the proportions. A VM with few requests in flight begins at a
// point that moves slowly around the wheel and goes on to the next target while it
// has a request at one. Each target thus gets most of its flows from few VMs, whose
// own requests say much about it, and from all VMs in turn. A VM with more requests
// goes around the wheel by the golden ratio, which spreads its flows evenly.
func (c *Core) chooseFor(key FlowKey, s *service, exclude Cookie, now time.Time) (best, avoided *Target) {
	if c.Estimate == nil {
		return c.choose(s, exclude, now), nil
	}
	zone, known := c.Estimate.ZoneOf(s.ID, key.Hash(), now)
	if !known {
		zone = c.Zone
	}
	if len(s.zones[zone]) == 0 {
		zone = ""
	}
	limit := float64(fullCost)
	if !known && zone != "" {
		limit = crossZoneCost
	}
	w := c.wheelOf(s, zone, now)
	if len(w.targets) == 0 {
		return nil, nil
	}
	position, step := c.start(s, zone, w, now)
	slow := w.targets[int(position*float64(len(w.targets)))]
	minCost := math.Inf(1)
	penalizeOverdue := c.penalizesOverdue(s, now)
	for range min(maxProbes, 2*len(w.targets)) {
		t := w.at(position)
		position += step
		position -= math.Floor(position)
		if s.limitsCold(t, now) && !c.mayOpenCold(s, t, now) {
			continue
		}
		cost := c.cost(s, t, exclude, now)
		if penalizeOverdue && c.isOverdue(t.Cookie, now) {
			cost += overdueCost
		}
		if t.Zone != c.Zone {
			cost -= crossZoneCost
		}
		if cost < minCost {
			best, minCost = t, cost
		}
		if cost <= 0 {
			break
		}
	}
	if step == goldenRatio {
		c.load.positions[wheelKey{s.ID, zone}] = position
	}
	if minCost >= limit {
		best = c.choose(s, exclude, now)
	}
	if slow != best && c.Estimate.Slowness(slow.ID.Incarnation, now) > 1 {
		avoided = slow
	}
	return best, avoided
}

// start returns the position on a wheel at which the search for a target begins, and
// the step to the next one.
func (c *Core) start(s *service, zone fleet.ZoneID, w *wheel, now time.Time) (position, step float64) {
	id := wheelKey{s.ID, zone}
	position, ok := c.load.positions[id]
	if !ok {
		position = c.Random.Float64()
		c.load.positions[id] = position
	}
	if c.serviceLoadOf(s.ID).inFlight > fewRequests {
		return position, goldenRatio
	}
	turns := float64(now.UnixNano()%int64(turnTime)) / float64(turnTime)
	return math.Mod(position+turns, 1), w.largest
}

// wheelOf returns the wheel of a service in a zone, or in all zones if zone is empty.
func (c *Core) wheelOf(s *service, zone fleet.ZoneID, now time.Time) *wheel {
	version := c.Estimate.Version(now)
	w := s.wheels[zone]
	if w != nil && w.version == version && w.changes == s.changes {
		return w
	}
	list := s.targets
	if zone != "" {
		list = s.zones[zone]
	}
	w = &wheel{targets: slices.Clone(list), ends: make([]float64, len(list)), version: version, changes: s.changes}
	for i, t := range list {
		w.ends[i] = float64(t.Slots) / c.Estimate.Slowness(t.ID.Incarnation, now)
	}
	// A slow target gets at least one flow per second from all VMs together, so that
	// its recovery is noticed.
	if room, ok := c.Estimate.Service(s.ID, now); ok && room.Offered > 0 {
		least := room.Slots / room.Offered
		for i, t := range list {
			w.ends[i] = min(max(w.ends[i], least), float64(t.Slots))
		}
	}
	total := 0.0
	for i := range w.ends {
		w.largest = max(w.largest, w.ends[i])
		total += w.ends[i]
		w.ends[i] = total
	}
	for i := range w.ends {
		w.ends[i] /= total
	}
	w.largest /= total
	if s.wheels == nil {
		s.wheels = make(map[fleet.ZoneID]*wheel)
	}
	s.wheels[zone] = w
	return w
}

// at returns the target at a position.
func (w *wheel) at(position float64) *Target {
	i, _ := slices.BinarySearch(w.ends, position)
	return w.targets[min(i, len(w.targets)-1)]
}

// FleetLoadStats describes what this VM knows about the load of the fleet.
type FleetLoadStats struct {
	// Slow is the number of slow targets by the step of their slowness.
	Slow map[uint8]int
	// Rooms contains the services whose capacity is known.
	Rooms map[fleet.ServiceID]capacity.Room
	// Age is the time since the last message of the hub, if Known is set.
	Age   time.Duration
	Known bool
	// Reports is the number of reports created.
	Reports uint64
}

// FleetLoad returns what this VM knows about the load of the fleet, and whether
// load reports are used.
func (c *Core) FleetLoad(now time.Time) (FleetLoadStats, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Estimate == nil {
		return FleetLoadStats{}, false
	}
	s := FleetLoadStats{Slow: c.Estimate.SlowTargets(now), Rooms: c.Estimate.Rooms(now), Reports: c.load.meter.Reports()}
	s.Age, s.Known = c.Estimate.Age(now)
	return s, true
}
