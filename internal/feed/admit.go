package feed

import (
	"fmt"
	"slices"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// ServiceError reports an announcement for a service that would take the place of a
// target in use.
type ServiceError struct {
	Target  fleet.TargetID
	InUse   fleet.TargetID
	Unknown bool
}

// Error names the two targets, and says whether the service is unknown.
func (e *ServiceError) Error() string {
	reason := "which runs for another service"
	if e.Unknown {
		reason = "and its service is unknown"
	}
	return fmt.Sprintf("announcement of %s is in the place of %s, %s", e.Target, e.InUse, reason)
}

// checkPlace returns a ServiceError if an announcement would end or move a target that is
// in use. An announcement for a service that the catalog does not have may do neither; at
// the address of a silent target it is recorded and ends nothing (registry.Registry.Known).
// One for another service under the same id has to wait until the target is silent or
// draining: the process that runs now would otherwise get the requests of that service.
//
// A target is in use if a catalog has had its service, since its flows stay open when
// another one drops the service, or if its process has announced itself more than once.
func (s *Store) checkPlace(rec *registry.Record) error {
	id := rec.Target.ID
	if known, ok := s.targets.Get(id.Incarnation); ok && !known.Gone() && known.Target.ID == id && known.Born == rec.Born {
		return nil // It has its place.
	}
	for _, other := range s.inPlaceOf(rec) {
		same := other.Target.ID.Incarnation == id.Incarnation
		inUse := s.served[other.Target.ID.Service] || s.targets.Confirmed(other.Target.ID.Incarnation)
		switch {
		case other.Target.ID.Service == id.Service || other.Gone():
		case !hasService(s.catalog.Newest(), id.Service) && (same || inUse && !other.Silent):
			return &ServiceError{Target: id, InUse: other.Target.ID, Unknown: true}
		case same && inUse && !other.Silent && other.Target.TakesNewFlows():
			return &ServiceError{Target: id, InUse: other.Target.ID}
		}
	}
	return nil
}

// updateServed updates the services that targets in use may have, for a new catalog.
func (s *Store) updateServed(c *catalog.Catalog) {
	former := s.served
	s.served = make(map[fleet.ServiceID]bool, len(c.Services))
	for i := range c.Services {
		s.served[c.Services[i].ID] = true
		delete(former, c.Services[i].ID)
	}
	if len(former) == 0 {
		return
	}
	for _, id := range s.targets.Services() {
		if former[id] {
			s.served[id] = true
		}
	}
	for _, rec := range s.restored.records {
		if id := rec.Target.ID.Service; former[id] {
			s.served[id] = true
		}
	}
}

// inPlaceOf returns the known records with the id or with the address of rec.
func (s *Store) inPlaceOf(rec *registry.Record) []registry.Record {
	var records []registry.Record
	if r, ok := s.targets.Get(rec.Target.ID.Incarnation); ok {
		records = append(records, r)
	}
	records = append(records, s.targets.At(rec.Target.ID.Address)...)
	if r, ok := s.restored.records[rec.Target.ID.Incarnation]; ok {
		records = append(records, r)
	}
	return append(records, s.restored.at(rec.Target.ID.Address)...)
}

// hasService reports whether a catalog, which may be nil, has a service.
func hasService(c *catalog.Catalog, id fleet.ServiceID) bool {
	return c != nil && slices.ContainsFunc(c.Services, func(s catalog.Service) bool { return s.ID == id })
}
