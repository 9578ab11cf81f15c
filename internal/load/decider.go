package load

import (
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Placement strategies (docs/design.md, section 3). The first three use the
// decision core of pkg/balancer.
const (
	// TargetOwner lets the single owner VM of each target decide which flows the
	// target gets.
	TargetOwner Strategy = "TargetOwner"
	// FlowOwner lets the single owner VM of each flow select the target, without
	// knowing which flows other owners place.
	FlowOwner Strategy = "FlowOwner"
	// Table lets every VM select the target of a flow by hashing.
	Table Strategy = "Table"
	// TargetOwnerModel, FlowOwnerModel and TableModel are small models of the
	// strategies. They served to measure the strategies before pkg/balancer
	// existed.
	TargetOwnerModel Strategy = "TargetOwnerModel"
	FlowOwnerModel   Strategy = "FlowOwnerModel"
	TableModel       Strategy = "TableModel"
)

// Admission controls. All but the first are baselines for comparison.
const (
	// Adaptive uses the limiter of pkg/admission.
	Adaptive Admission = "Adaptive"
	// Unlimited forwards requests immediately, up to the connection limit of
	// the target, and refuses the others.
	Unlimited Admission = "Unlimited"
	// StrictPriority lets all kinds share the slots and one bounded queue, which
	// is ordered by urgency.
	StrictPriority Admission = "StrictPriority"
	// StaticLimits gives each kind a fixed part of the slots and its own queue.
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

	// DeciderConstructor constructs the decision core of one entry VM.
	DeciderConstructor func(self fleet.VMID) Decider

	// limiter is the interface through which strategies use an admission
	// control.
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

	limiterConstructor func(target fleet.Target, kinds []fleet.Kind, now time.Time) limiter

	// OptionError reports an unknown strategy or admission control.
	OptionError struct{ Option, Value string }
)

var _ limiter = (*admission.Limiter)(nil)

// Error names the option and its value.
func (e *OptionError) Error() string { return fmt.Sprintf("unknown %s %q", e.Option, e.Value) }

// DeciderConstructorFor returns the constructor of decision cores with a
// strategy and an admission control. It returns an OptionError if one of them
// is unknown. TableModel has no admission control, whichever is given.
func DeciderConstructorFor(s Strategy, a Admission) (DeciderConstructor, error) {
	makeLimiter, err := limiterFor(a)
	if err != nil {
		return nil, err
	}
	switch s {
	case TargetOwner:
		return newBalancer(balancer.TargetOwner{}, makeLimiter), nil
	case FlowOwner:
		return newBalancer(balancer.FlowOwner{}, makeLimiter), nil
	case Table:
		return newBalancer(balancer.Table{}, makeLimiter), nil
	case TargetOwnerModel:
		return func(fleet.VMID) Decider { return newTargetOwner(makeLimiter) }, nil
	case FlowOwnerModel:
		return func(fleet.VMID) Decider { return newFlowOwner(makeLimiter) }, nil
	case TableModel:
		return func(fleet.VMID) Decider { return &table{} }, nil
	}
	return nil, &OptionError{Option: "strategy", Value: string(s)}
}

func limiterFor(a Admission) (limiterConstructor, error) {
	switch a {
	case Adaptive:
		return func(t fleet.Target, k []fleet.Kind, now time.Time) limiter { return admission.NewLimiter(t, k, now) }, nil
	case Unlimited:
		return newUnlimited, nil
	case StrictPriority:
		return newStrictPriority, nil
	case StaticLimits:
		return newStaticLimits, nil
	}
	return nil, &OptionError{Option: "admission control", Value: string(a)}
}
