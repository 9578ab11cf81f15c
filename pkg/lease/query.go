package lease

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// View returns the current view. Its epoch is 0 before the first adoption.
func (m *Machine) View() *View { return m.view }

// Sealed reports whether the view is known to be sealed. If it is, no VM can
// still decide in an earlier epoch.
func (m *Machine) Sealed() bool { return m.sealed }

// LastSealed returns the latest view that this VM knows to be sealed, or nil.
func (m *Machine) LastSealed() *View { return m.lastSealed }

// MayDecide reports whether this VM may decide about non-idempotent work: its
// view is sealed and it holds a lease in the epoch of the view.
func (m *Machine) MayDecide(now time.Time) bool {
	return m.sealed && m.LeaseUntil(now).After(now)
}

// Voting reports whether this VM is a council member that votes. A rolling
// restart waits until this is true before it restarts the next VM.
func (m *Machine) Voting() bool { return m.voting && m.inCouncil(m.self) }

// Proposer reports whether this VM is the council member that proposes views.
func (m *Machine) Proposer() bool { return m.isProposer() }

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// BuildView builds the fleet.View of this VM from the current view, the other
// zones, and the listeners and revision of the settings, and freezes it. The
// caller gets zones from membership.Machine.Zones and completes them from the
// settings. BuildView returns a FieldError for values out of range.
func (m *Machine) BuildView(zones []fleet.Zone, listeners []fleet.Listener, revision fleet.Revision) (*fleet.View, error) {
	v := &fleet.View{
		Zone: m.cfg.Zone, Self: m.self, Epoch: m.view.Epoch, Sealed: m.sealed, Revision: revision,
		Zones: slices.Clone(zones), Listeners: slices.Clone(listeners), Targets: slices.Clone(m.view.Targets),
	}
	for _, mem := range m.view.Members {
		v.Members = append(v.Members, mem.VM)
	}
	if err := v.Freeze(); err != nil {
		return nil, err
	}
	return v, nil
}
