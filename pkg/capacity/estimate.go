package capacity

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// Estimate is what an entry VM knows about the capacity and the load of services
	// and about slow targets. It is not safe for concurrent use.
	Estimate struct {
		// Zone is the availability zone of the VM.
		Zone fleet.ZoneID

		services map[fleet.ServiceID]*serviceEstimate
		slow     map[fleet.Incarnation]uint8
		// heardAt is the time of the last message of the hub; it is zero while the VM
		// follows no hub that publishes figures.
		heardAt time.Time
		// own holds the steps of targets by this VM's measurements, which count while
		// the figures of the hub are unknown.
		own map[fleet.Incarnation]uint8
		// version changes with each change of a target's slowness.
		version uint64
		busy    bool
		// wasKnown is set if the figures were known at the last call of Known.
		wasKnown bool
	}

	serviceEstimate struct {
		load     ServiceLoad
		room     Room
		overflow overflow
	}
)

// NewEstimate returns an estimate without figures.
func NewEstimate(zone fleet.ZoneID) *Estimate {
	return &Estimate{Zone: zone, services: make(map[fleet.ServiceID]*serviceEstimate), slow: make(map[fleet.Incarnation]uint8)}
}

// Apply applies a publication of the hub.
func (e *Estimate) Apply(l *Load, now time.Time) {
	if l == nil {
		e.Forget()
		return
	}
	e.heardAt = now
	if l.Full {
		clear(e.slow)
	}
	if l.Full || len(l.Slow) > 0 {
		e.version++
	}
	for _, t := range l.Slow {
		if t.Step == 0 {
			delete(e.slow, t.Target)
		} else {
			e.slow[t.Target] = t.Step
		}
	}
	e.busy = len(e.slow) > 0
	old := e.services
	e.services = make(map[fleet.ServiceID]*serviceEstimate, len(l.Services))
	for i := range l.Services {
		s := &serviceEstimate{load: l.Services[i], room: l.Services[i].room()}
		if o := old[s.load.Service]; o != nil {
			s.overflow = o.overflow
		}
		e.services[s.load.Service] = s
		e.busy = e.busy || s.load.use() > busyUse
	}
	e.step(now)
}

// Confirm records a message of the hub without a publication: the last one is
// still in force.
func (e *Estimate) Confirm(now time.Time) {
	if e.heardAt.IsZero() {
		return
	}
	e.heardAt = now
	e.step(now)
}

// Forget removes all figures of the hub, for example because its feed has ended.
func (e *Estimate) Forget() {
	e.heardAt, e.busy = time.Time{}, false
	clear(e.services)
	clear(e.slow)
	e.version++
}

func (e *Estimate) step(now time.Time) {
	for _, s := range e.services {
		s.overflow.step(&s.load, e.Zone, now)
	}
}

// Known reports whether the figures of the hub are known and not older than
// Lifetime.
func (e *Estimate) Known(now time.Time) bool {
	known := !e.heardAt.IsZero() && now.Sub(e.heardAt) < Lifetime-IdleInterval
	if known != e.wasKnown {
		e.wasKnown = known
		e.version++
	}
	return known
}

// SetOwn sets the slowness of targets by this VM's own measurements, which counts
// while the figures of the hub are unknown. slow may be nil.
func (e *Estimate) SetOwn(slow []SlowTarget) {
	if len(slow) == 0 && len(e.own) == 0 {
		return
	}
	e.own = make(map[fleet.Incarnation]uint8, len(slow))
	for _, t := range slow {
		e.own[t.Target] = t.Step
	}
	e.version++
}

// Service returns the capacity and the load of a service, and whether they are
// known.
func (e *Estimate) Service(id fleet.ServiceID, now time.Time) (Room, bool) {
	s := e.services[id]
	if s == nil || !e.Known(now) {
		return Room{}, false
	}
	r := s.room
	r.Age += now.Sub(e.heardAt)
	return r, r.Age <= Lifetime
}

// Slowness returns by which factor a target is slower than the median of its
// service: 1 if it is not slow or nothing is known of it.
func (e *Estimate) Slowness(target fleet.Incarnation, now time.Time) float64 {
	steps := e.slow
	if !e.Known(now) {
		steps = e.own
	}
	step := steps[target]
	if step == 0 {
		return 1
	}
	return slownessOf(step)
}

// SlowTargets returns the number of slow targets by step.
func (e *Estimate) SlowTargets(now time.Time) map[uint8]int {
	steps := e.slow
	if !e.Known(now) {
		steps = e.own
	}
	counts := make(map[uint8]int)
	for _, step := range steps {
		counts[step]++
	}
	return counts
}

// Age returns the time since the last message of the hub, and whether its figures
// are known.
func (e *Estimate) Age(now time.Time) (time.Duration, bool) {
	if !e.Known(now) {
		return 0, false
	}
	return now.Sub(e.heardAt), true
}

// Rooms returns the known services with their capacity and load.
func (e *Estimate) Rooms(now time.Time) map[fleet.ServiceID]Room {
	rooms := make(map[fleet.ServiceID]Room)
	for id := range e.services {
		if r, ok := e.Service(id, now); ok {
			rooms[id] = r
		}
	}
	return rooms
}

// Version changes whenever Slowness may return other values than before.
func (e *Estimate) Version(now time.Time) uint64 {
	e.Known(now)
	return e.version
}

// Busy reports whether a target is slow or a service is busy, so that reports have
// to be frequent.
func (e *Estimate) Busy(now time.Time) bool { return e.Known(now) && e.busy }

// ZoneOf returns the zone in which the targets of a flow are to be chosen: the zone
// of the VM, or another one with room for the part of the demand that has none
// there. flow is the hash of the flow, so that VMs choose different zones at the
// same time. It returns false if nothing is known.
func (e *Estimate) ZoneOf(id fleet.ServiceID, flow fleet.FlowHash, now time.Time) (fleet.ZoneID, bool) {
	s := e.services[id]
	if s == nil || !e.Known(now) {
		return "", false
	}
	return s.overflow.zone(e.Zone, flow), true
}

// Away returns the share of the demand of this VM's zone that is sent to other zones.
func (e *Estimate) Away(id fleet.ServiceID) float64 {
	if s := e.services[id]; s != nil {
		return s.overflow.away
	}
	return 0
}
