package load

import (
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Strategies of placement (section 3 of the design page), by the decision core
// of pkg/balancer.
const (
	// TargetOwner decides at the one owner of each target.
	TargetOwner Strategy = "TargetOwner"
	// FlowOwner decides at the one owner of each flow, which knows nothing of
	// what other owners place.
	FlowOwner Strategy = "FlowOwner"
	// Table decides by hashing at each VM.
	Table Strategy = "Table"
	// TargetOwnerModel, FlowOwnerModel and TableModel are the small models of
	// the strategies that were measured before the decision core was there.
	TargetOwnerModel Strategy = "TargetOwnerModel"
	FlowOwnerModel   Strategy = "FlowOwnerModel"
	TableModel       Strategy = "TableModel"
)

// Admission controls, the first being that of pkg/admission.
const (
	// Adaptive is pkg/admission.
	Adaptive Admission = "Adaptive"
	// Unlimited forwards every request at once.
	Unlimited Admission = "Unlimited"
	// StrictPriority uses all slots and a bounded queue by urgency alone.
	StrictPriority Admission = "StrictPriority"
	// StaticLimits divides slots and queue between kinds once and for all.
	StaticLimits Admission = "StaticLimits"
)

type (
	// Strategy names a placement strategy.
	Strategy string

	// Admission names an admission control.
	Admission string

	// Decider is the decision core of one entry VM, such as balancer.Balancer.
	Decider interface {
		Handle(p balancer.Packet, now time.Time, out []balancer.Action) []balancer.Action
		Tick(now time.Time, out []balancer.Action) []balancer.Action
		SetView(v *fleet.View, now time.Time)
	}

	// NewDecider makes the decision core of one entry VM.
	NewDecider func(self fleet.VMID) Decider

	// limiter is what the strategies need of an admission control.
	limiter interface {
		TryStart(r admission.Request, now time.Time) bool
		Enqueue(r admission.Request, now time.Time) ([]admission.Request, error)
		Next(now time.Time) (started, expired []admission.Request)
		Finish(flow fleet.FlowKey, result admission.Result, now time.Time)
		Cancel(flow fleet.FlowKey, now time.Time) bool
		Adopt(r admission.Request, now time.Time)
		Configure(target fleet.Target, kinds []fleet.Kind, now time.Time) []admission.Request
		Takeover(reported int, now time.Time)
		ReportLoad(inFlight int, now time.Time)
		Pressure() uint8
		PressureOf(kind fleet.KindName) uint8
		InFlight() int
	}

	newLimiter func(target fleet.Target, kinds []fleet.Kind, now time.Time) limiter

	// OptionError reports a strategy or admission control that does not exist.
	OptionError struct{ Option, Value string }
)

var _ limiter = (*admission.Limiter)(nil)

// Error names the option and its value.
func (e *OptionError) Error() string { return fmt.Sprintf("unknown %s %q", e.Option, e.Value) }

// NewDeciderFor returns the constructor of a strategy with an admission
// control. The model of Table has no place for one and ignores it.
func NewDeciderFor(s Strategy, a Admission) (NewDecider, error) {
	limit, err := limiterFor(a)
	if err != nil {
		return nil, err
	}
	switch s {
	case TargetOwner:
		return newCore(balancer.TargetOwner{}, limit), nil
	case FlowOwner:
		return newCore(balancer.FlowOwner{}, limit), nil
	case Table:
		return newCore(balancer.Table{}, limit), nil
	case TargetOwnerModel:
		return func(fleet.VMID) Decider { return newTargetOwner(limit) }, nil
	case FlowOwnerModel:
		return func(fleet.VMID) Decider { return newFlowOwner(limit) }, nil
	case TableModel:
		return func(fleet.VMID) Decider { return &table{} }, nil
	}
	return nil, &OptionError{Option: "strategy", Value: string(s)}
}

func limiterFor(a Admission) (newLimiter, error) {
	switch a {
	case Adaptive:
		return func(t fleet.Target, k []fleet.Kind, now time.Time) limiter { return admission.NewLimiter(t, k, now) }, nil
	case Unlimited:
		return newUnlimited, nil
	case StrictPriority:
		return newStrict, nil
	case StaticLimits:
		return newStatic, nil
	}
	return nil, &OptionError{Option: "admission control", Value: string(a)}
}
