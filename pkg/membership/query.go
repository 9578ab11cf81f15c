package membership

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Members returns the own zone's VMs in order of id, self included.
func (m *Machine) Members(now time.Time) []Member {
	var out []Member
	self := Member{
		Member: fleet.Member{VM: m.cfg.Self, Incarnation: m.cfg.Incarnation},
		Zone:   m.cfg.Zone, State: vmChart.StateName(m.state),
	}
	done := false
	for _, id := range m.ids {
		e := m.table[id]
		if e.zone != m.cfg.Zone {
			continue
		}
		if !done && m.cfg.Self.ID < id {
			done = true
			out = append(out, self)
		}
		out = append(out, Member{
			Member: fleet.Member{VM: e.vm, Incarnation: e.incarnation},
			Zone:   e.zone, State: vmChart.StateName(e.state), Held: now.Before(e.hold),
		})
	}
	if !done {
		out = append(out, self)
	}
	return out
}

// Candidates returns the VMs that a new view may take in, and those that stay
// if they are in it already: suspected or held-down VMs stay but do not join.
func (m *Machine) Candidates(now time.Time) (join, stay []fleet.Member) {
	for _, mem := range m.Members(now) {
		switch {
		case mem.State == "Alive" && !mem.Held:
			join = append(join, mem.Member)
		case mem.State == "Alive" || mem.State == "Suspect":
			stay = append(stay, mem.Member)
		}
	}
	return join, stay
}

// Generation rises with each change of the member table.
func (m *Machine) Generation() uint64 { return m.generation }

// State returns the state of this VM itself.
func (m *Machine) State() string { return vmChart.StateName(m.state) }

// Lookup returns the addresses of a VM of any zone.
func (m *Machine) Lookup(id fleet.VMID) (fleet.VM, bool) {
	if e := m.table[id]; e != nil {
		return e.vm, true
	}
	for _, s := range m.cfg.Seeds {
		if s.ID == id {
			return s, true
		}
	}
	for _, r := range m.cfg.Remote {
		for _, s := range r.Seeds {
			if s.ID == id {
				return s, true
			}
		}
	}
	return fleet.VM{}, false
}

// Superseded returns the higher incarnation under which another process uses
// this VM's id; the daemon must stop or restart above it.
func (m *Machine) Superseded() (fleet.Incarnation, bool) {
	return m.superseded, m.superseded != 0
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	if m.state == stateAlive {
		s.Members++
	}
	for _, e := range m.table {
		if e.zone == m.cfg.Zone && (e.state == stateAlive || e.state == stateSuspect) {
			s.Members++
		}
	}
	return s
}
