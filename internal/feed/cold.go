package feed

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// holderRetryDelay is the time after which a hub chooses holders although it was not
// responsible when it received the record: the choice of the hub that was has arrived by
// then, also if a message was lost and repeated after 200 ms.
const holderRetryDelay = 300 * time.Millisecond

// coldBudget returns the budget of cold targets of a service, 0 if there is no limit.
func (s *Store) coldBudget(id fleet.ServiceID) int {
	if c := s.catalog.Newest(); c != nil {
		for i := range c.Services {
			if c.Services[i].ID == id {
				return c.Services[i].ColdBudget()
			}
		}
	}
	return 0
}

// trackCold records that a target may need holders. It is called for each received
// record.
func (s *Store) trackCold(rec *registry.Record, now time.Time) {
	id := rec.Target.ID.Incarnation
	if s.unheld[id].IsZero() && rec.Warmup > 0 && len(rec.Holders) == 0 && s.coldBudget(rec.Target.ID.Service) > 0 {
		s.unheld[id] = now
	}
}

// chooseHolders chooses the holders of the cold targets that have none and for which
// this hub is responsible. It is called after each received record, and at each tick,
// because an entry VM may have connected or the responsible hub may have died. Between
// the record and holderRetryDelay later, the hub that was responsible has the choice.
func (s *Store) chooseHolders(now time.Time) {
	if len(s.unheld) == 0 {
		return
	}
	connected := s.connectedEntryVMs()
	vms := make([]registry.EntryVM, 0, len(connected))
	for _, vm := range connected {
		vms = append(vms, registry.EntryVM{ID: vm.VM, Zone: vm.Zone})
	}
	for id, since := range s.unheld {
		rec := s.targets.Unheld(id, now)
		if rec == nil {
			delete(s.unheld, id)
			continue
		}
		if wait := now.Sub(since); wait > 0 && wait < holderRetryDelay || !s.choosesHoldersOf(&rec.Target) {
			continue
		}
		if holders := registry.ChooseHolders(vms, &rec.Target, s.coldBudget(rec.Target.ID.Service)); len(holders) > 0 {
			s.targets.SetHolders(id, holders)
			delete(s.unheld, id)
			s.holdersChosen++
		}
	}
}

// choosesHoldersOf reports whether this hub is responsible for a cold target. The hubs
// in the zone of the target that have entry VMs share its targets, or, if there are
// none, all hubs with entry VMs: entry VMs prefer hubs of their zone, and if several
// hubs chose the holders, the VMs of each could use the whole budget until the hubs
// agree. A hub that does not receive the feeds of a majority of the hubs is responsible
// for no target, because other hubs may have chosen holders.
func (s *Store) choosesHoldersOf(t *fleet.Target) bool {
	var local, all []fleet.VMID
	reached := 0
	for _, h := range s.hubs {
		if h.VM != s.self && !s.sources[h.VM] {
			continue
		}
		reached++
		vms := s.entryVMsByHub[h.VM]
		if h.VM == s.self {
			vms = len(s.entryVMs)
		}
		if vms == 0 {
			continue
		}
		all = append(all, h.VM)
		if h.Zone == t.Zone {
			local = append(local, h.VM)
		}
	}
	if 2*reached <= len(s.hubs) {
		return false
	}
	if len(local) > 0 {
		all = local
	}
	return len(all) > 0 && all[uint64(t.ID.Incarnation)%uint64(len(all))] == s.self
}
