package capacity

import (
	"math"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// MinInterval is the minimum time between two reports of a VM, and between two
	// publications of a hub.
	MinInterval = 200 * time.Millisecond
	// IdleInterval is the time between two reports of a VM, and the minimum time
	// between two publications, while no target is slow and no service is busy.
	IdleInterval = time.Second
	// Lifetime is the age from which on a figure counts as unknown. It covers one
	// report that was lost while the fleet is idle.
	Lifetime = 2 * time.Second
	// MaxSlowness bounds the published slowness of a target.
	MaxSlowness = 16
	// changeShare is the relative change above which a figure is sent again.
	changeShare = 0.1
	// maxUrgencies bounds the list of offered requests in a report. Less urgent
	// requests are added to the last entry.
	maxUrgencies = 8
	// maxEntries bounds the services, zones and targets of a message.
	maxEntries = 1 << 16
)

type (
	// Report contains the measurements of one entry VM since its last report.
	Report struct {
		// Services lists the services whose figures have changed, and those that
		// were last sent IdleInterval ago.
		Services []ServiceReport `cbor:"1,keyasint,omitempty"`
		// Targets lists targets whose requests have been answered.
		Targets []TargetReport `cbor:"2,keyasint,omitempty"`
	}

	// ServiceReport contains the load of a service as seen by one entry VM.
	ServiceReport struct {
		_       struct{} `cbor:",toarray"`
		Service fleet.ServiceID
		// Offered is the number of requests in ten seconds that callers have asked
		// for, by urgency.
		Offered []uint32
		// InFlight is the number of requests in flight by the zone of the target.
		InFlight []ZoneCount
	}

	// ZoneCount is a number of requests at the targets of a zone.
	ZoneCount struct {
		_     struct{} `cbor:",toarray"`
		Zone  fleet.ZoneID
		Count uint32
	}

	// TargetReport contains the number of answered requests and their mean time at
	// one target.
	TargetReport struct {
		_        struct{} `cbor:",toarray"`
		Target   fleet.Incarnation
		Requests uint32
		// Micros is the mean time in microseconds.
		Micros uint32
	}

	// Sums contains the sums over the reports of the entry VMs that are connected
	// to one hub, which it sends to the other hubs.
	Sums struct {
		Services []ServiceSum `cbor:"1,keyasint,omitempty"`
		// Targets lists only targets that are slow or may be.
		Targets []TargetSum `cbor:"2,keyasint,omitempty"`
	}

	// ServiceSum contains the load of a service.
	ServiceSum struct {
		Service fleet.ServiceID `cbor:"1,keyasint"`
		VMs     uint32          `cbor:"2,keyasint,omitempty"`
		// AgeMillis is the age of the oldest report.
		AgeMillis uint32    `cbor:"3,keyasint,omitempty"`
		Zones     []ZoneSum `cbor:"4,keyasint,omitempty"`
		// MedianMicros is the median of the mean times of Measured targets.
		MedianMicros uint32 `cbor:"5,keyasint,omitempty"`
		Measured     uint32 `cbor:"6,keyasint,omitempty"`
		// MeanMicros is Room.MeanTime.
		MeanMicros uint32 `cbor:"7,keyasint,omitempty"`
	}

	// ZoneSum contains the requests in flight at the targets of a zone and the
	// requests in ten seconds that were offered to the entry VMs of the zone.
	ZoneSum struct {
		_        struct{} `cbor:",toarray"`
		Zone     fleet.ZoneID
		InFlight uint32
		Offered  uint32
	}

	// TargetSum contains the number of requests in tenths, where older ones count
	// less, their mean time in microseconds, and the number of VMs that have measured
	// them. Slow is set if the target is or may be slow by the measurements of this
	// hub. The other hubs then send theirs.
	TargetSum struct {
		_        struct{} `cbor:",toarray"`
		Target   fleet.Incarnation
		Requests uint32
		Micros   uint32
		VMs      uint32
		Slow     bool
	}

	// Load is what a hub publishes to entry VMs.
	Load struct {
		Services []ServiceLoad `cbor:"1,keyasint,omitempty"`
		// Slow lists the slow targets in the order of their incarnations.
		Slow []SlowTarget `cbor:"2,keyasint,omitempty"`
		// Full is set if Slow lists all slow targets. Otherwise it lists those that
		// have changed, with step 0 for targets that are no longer slow.
		Full bool `cbor:"3,keyasint,omitempty"`
	}

	// ServiceLoad contains the capacity and the load of a service.
	ServiceLoad struct {
		Service    fleet.ServiceID `cbor:"1,keyasint"`
		VMs        uint32          `cbor:"2,keyasint,omitempty"`
		AgeMillis  uint32          `cbor:"3,keyasint,omitempty"`
		MeanMicros uint32          `cbor:"4,keyasint,omitempty"`
		Zones      []ZoneLoad      `cbor:"5,keyasint,omitempty"`
	}

	// ZoneLoad contains the speed-weighted slots in tenths, the requests in flight
	// at the targets of the zone, and the requests in ten seconds that were offered
	// to the entry VMs of the zone.
	ZoneLoad struct {
		_        struct{} `cbor:",toarray"`
		Zone     fleet.ZoneID
		Slots    uint32
		InFlight uint32
		Offered  uint32
	}

	// SlowTarget is a target with its slowness: the square root of 2 to the power
	// of Step.
	SlowTarget struct {
		_      struct{} `cbor:",toarray"`
		Target fleet.Incarnation
		Step   uint8
	}
)

// maxStep is the step of MaxSlowness.
const maxStep = 8

// slownessOf returns the slowness of a step.
func slownessOf(step uint8) float64 { return math.Exp2(float64(min(step, maxStep)) / 2) }

// Validate returns a fleet.FieldError if the report has too many entries.
func (r *Report) Validate() error {
	if r != nil && (len(r.Services) > maxEntries || len(r.Targets) > maxEntries) {
		return &fleet.FieldError{Type: "capacity.Report", Field: "Services", Reason: "too many entries"}
	}
	return nil
}

// Validate returns a fleet.FieldError if the sums have too many entries or a
// target without a time.
func (s *Sums) Validate() error {
	if s == nil {
		return nil
	}
	if len(s.Services) > maxEntries || len(s.Targets) > maxEntries {
		return &fleet.FieldError{Type: "capacity.Sums", Field: "Services", Reason: "too many entries"}
	}
	for i := range s.Targets {
		if s.Targets[i].Micros == 0 {
			return &fleet.FieldError{Type: "capacity.TargetSum", Field: "Micros", Reason: "must be above 0"}
		}
	}
	return nil
}

// Validate returns a fleet.FieldError for a step out of range.
func (l *Load) Validate() error {
	if l == nil {
		return nil
	}
	for i := range l.Slow {
		if l.Slow[i].Step > maxStep {
			return &fleet.FieldError{Type: "capacity.SlowTarget", Field: "Step", Reason: "is above the maximum"}
		}
	}
	return nil
}

// Since returns the changes from an earlier publication, which may be nil, to l.
func (l *Load) Since(old *Load) *Load {
	if l == nil || old == nil {
		return l
	}
	d := &Load{Services: l.Services}
	i := 0
	for _, t := range l.Slow {
		for ; i < len(old.Slow) && old.Slow[i].Target < t.Target; i++ {
			d.Slow = append(d.Slow, SlowTarget{Target: old.Slow[i].Target})
		}
		same := i < len(old.Slow) && old.Slow[i] == t
		if i < len(old.Slow) && old.Slow[i].Target == t.Target {
			i++
		}
		if !same {
			d.Slow = append(d.Slow, t)
		}
	}
	for ; i < len(old.Slow); i++ {
		d.Slow = append(d.Slow, SlowTarget{Target: old.Slow[i].Target})
	}
	return d
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 1), math.MaxUint32))
}

func duration(micros uint32) time.Duration { return time.Duration(micros) * time.Microsecond }

// tenths encodes a number in tenths.
func tenths(x float64) uint32 { return uint32(math.Round(min(max(x, 0)*10, math.MaxUint32))) }

// changed reports whether a figure has changed by more than changeShare. A
// change of less than slack does not count.
func changed(a, b, slack float64) bool {
	return math.Abs(a-b) > max(changeShare*max(a, b), slack)
}
