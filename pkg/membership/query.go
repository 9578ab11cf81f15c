package membership

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Members returns the VMs of this zone in order of id, including this VM.
func (m *Machine) Members(now time.Time) []Member {
	var out []Member
	self := Member{
		Member: fleet.Member{VM: m.cfg.Self, Incarnation: m.cfg.Incarnation},
		Zone:   m.cfg.Zone, State: vmChart.StateName(m.state), Unfit: m.unfit,
	}
	selfAdded := false
	for _, id := range m.ids {
		e := m.table[id]
		if e.zone != m.cfg.Zone {
			continue
		}
		if !selfAdded && m.cfg.Self.ID < id {
			selfAdded = true
			out = append(out, self)
		}
		out = append(out, Member{
			Member: fleet.Member{VM: e.vm, Incarnation: e.incarnation},
			Zone:   e.zone, State: vmChart.StateName(e.state), HeldDown: now.Before(e.holdUntil), Unfit: e.unfit,
		})
	}
	if !selfAdded {
		out = append(out, self)
	}
	return out
}

// Candidates returns the VMs that may join a new view, and those that may only
// stay in the view if they are members already. Suspected and held-down VMs
// that are fit may stay but not join. Unfit VMs may do neither, unless more than
// a third of the VMs in state Alive or Suspect are unfit. Then the council is
// considered at fault, not the VMs, and unfit VMs may stay.
func (m *Machine) Candidates(now time.Time) (join, stay []fleet.Member) {
	list := m.Members(now)
	live, unfit := 0, 0
	for i := range list {
		if list[i].State != "Alive" && list[i].State != "Suspect" {
			continue
		}
		live++
		if list[i].Unfit {
			unfit++
		}
	}
	for i := range list {
		mem := &list[i]
		alive := mem.State == "Alive"
		switch {
		case !alive && mem.State != "Suspect":
		case mem.Unfit && unfit <= live/3:
		case alive && !mem.HeldDown && !mem.Unfit:
			join = append(join, mem.Member)
		default:
			stay = append(stay, mem.Member)
		}
	}
	return join, stay
}

// Generation returns a number that increases when an entry is added to or
// removed from the member table, and when the state or fitness of a VM changes,
// including this VM.
func (m *Machine) Generation() uint64 { return m.generation }

// State returns the state of this VM itself.
func (m *Machine) State() string { return vmChart.StateName(m.state) }

// Lookup returns the addresses of a VM of any zone, from the member table or
// the configured seeds, and whether the VM is known. It does not know this VM
// unless this VM is a seed.
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

// Superseded returns the higher incarnation with which another process uses
// this VM's id, and whether there is one. The daemon must then stop, or restart
// with a still higher incarnation.
func (m *Machine) Superseded() (fleet.Incarnation, bool) {
	return m.supersededBy, m.supersededBy != 0
}

// Stats returns the counters and the gauge Members.
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
