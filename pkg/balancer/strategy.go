package balancer

import (
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

type (
	// Strategy chooses the VM that decides about a flow and the candidate
	// targets.
	Strategy interface {
		Route(m *placement.Map, s fleet.ServiceID, h fleet.FlowHash) Route
	}

	// Route is the choice of a Strategy within the home zone.
	Route struct {
		// Decider is the VM that decides about the flow; "" means any VM.
		Decider fleet.VMID
		// First and Second are the candidate targets.
		First, Second placement.Candidate
		// Stateless is set if no flow state is kept.
		Stateless bool
		// NoTargetOwners is set if targets have no owners. The decider then has
		// no admission control and knows only its own flows.
		NoTargetOwners bool
	}

	// Table computes the target on each VM and keeps no flow state.
	Table struct{}
	// FlowOwner keeps the state of a flow on the VM that the flow's hash
	// selects.
	FlowOwner struct{}
	// TargetOwner lets the owner of the first candidate decide.
	TargetOwner struct{}
)

var (
	_ Strategy = Table{}
	_ Strategy = FlowOwner{}
	_ Strategy = TargetOwner{}
)

// Route returns the first candidate; any VM decides.
func (Table) Route(m *placement.Map, s fleet.ServiceID, h fleet.FlowHash) Route {
	first, _ := m.Candidates(s, h)
	return Route{First: first, Stateless: true, NoTargetOwners: true}
}

// Route returns both candidates and the VM that the flow's hash selects.
func (FlowOwner) Route(m *placement.Map, s fleet.ServiceID, h fleet.FlowHash) Route {
	first, second := m.Candidates(s, h)
	return Route{Decider: m.Owner(fleet.TargetKey(h)), First: first, Second: second, NoTargetOwners: true}
}

// Route returns both candidates and the owner of the first one.
func (TargetOwner) Route(m *placement.Map, s fleet.ServiceID, h fleet.FlowHash) Route {
	first, second := m.Candidates(s, h)
	return Route{Decider: first.Owner, First: first, Second: second}
}
