package feed

import (
	"cmp"
	"slices"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// EntryVM is an entry VM that is connected to a hub, with the highest revision of
// the zones that it has acknowledged.
type EntryVM struct {
	VM       fleet.VMID
	Zone     fleet.ZoneID
	Revision catalog.ZoneRevision
}

// SetZones publishes committed zone orders if their revision is higher than that of
// the published ones.
func (s *Store) SetZones(z catalog.Zones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setZonesLocked(z)
}

func (s *Store) setZonesLocked(z catalog.Zones) {
	if z.Revision > s.zoneOrders.Revision {
		s.zoneOrders = z
		s.notify()
	}
}

// Zones returns the published zone orders.
func (s *Store) Zones() catalog.Zones {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zoneOrders
}

// EntryVMs returns the connected entry VMs, sorted by ID.
func (s *Store) EntryVMs() []EntryVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectedEntryVMs()
}

func (s *Store) connectedEntryVMs() []EntryVM {
	// A VM has two connections for a while when it has opened a second one before
	// the first one has timed out.
	vms := make(map[fleet.VMID]EntryVM, len(s.entryVMs))
	for h, revision := range s.entryVMs {
		vms[h.VM] = EntryVM{h.VM, h.Zone, max(revision, vms[h.VM].Revision)}
	}
	list := make([]EntryVM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b EntryVM) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// setEntryVM records the revision that an entry VM has acknowledged on the
// connection of hello.
func (s *Store) setEntryVM(hello *Hello, r catalog.ZoneRevision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryVMs[hello] = max(r, s.entryVMs[hello])
}

// removeEntryVM removes an entry VM whose connection has ended.
func (s *Store) removeEntryVM(hello *Hello) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entryVMs, hello)
}
