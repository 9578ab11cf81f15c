package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// StateVersion identifies a state of a store. If two calls of
// Store.StateVersion return the same value, neither the catalog, the zones
// nor any target has changed between the calls. An announcement that only renews a target does
// not change the version.
type StateVersion struct {
	targetVersion      registry.Version
	catalogNumber      catalog.Number
	zoneRevision       catalog.ZoneRevision
	restoredGeneration int
}

// StateVersion returns the version of the current state.
func (s *Store) StateVersion() StateVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StateVersion{
		targetVersion: s.targets.Version(), catalogNumber: s.catalog.Number(), zoneRevision: s.zoneOrders.Revision,
		restoredGeneration: s.restored.generation,
	}
}

// Number returns the number of the catalog, 0 if there is none.
func (s *Store) Number() catalog.Number {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.Number()
}

// Targets returns the number of targets that are not gone, including restored ones.
func (s *Store) Targets() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Len() + len(s.restored.records)
}

// Encode returns the catalog, the zones and the targets in the encoding that Restore
// decodes. It returns a MessageError if they can't be encoded.
func (s *Store) Encode(now time.Time) ([]byte, error) {
	s.mu.Lock()
	u := &Update{Catalog: s.catalog.Delta(0), Records: append(s.targets.Changes(0, now), s.restored.all()...)}
	if zones := s.zoneOrders; zones.Revision > 0 {
		u.Zones = &zones
	}
	s.mu.Unlock()
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, &MessageError{Type: "Update", Reason: "can't be encoded", Err: err}
	}
	return data, nil
}

// Restore publishes the catalog, the zones and the targets that Encode returned in an earlier
// run of the process, the targets to entry VMs only. A restored target that no hub
// has heard one silence limit after the start is no longer published. Invalid records are
// left out. If the data are damaged, Restore publishes nothing and returns a MessageError or an error of
// catalog.Catalog.Apply.
func (s *Store) Restore(data []byte, now time.Time) error {
	u := new(Update)
	if err := cbor.Unmarshal(data, u); err != nil {
		return &MessageError{Type: "Update", Reason: "can't be decoded", Err: err}
	}
	if err := u.Validate(); err != nil {
		return err
	}
	u.dropInvalid()
	for i := range u.Records {
		u.Records[i].Age, u.Records[i].Warmup, u.Records[i].Silent = 0, 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Catalog != nil {
		c, err := s.catalog.Newest().Apply(u.Catalog)
		if err != nil {
			return err
		}
		s.setCatalogLocked(c)
	}
	if u.Zones != nil {
		s.setZonesLocked(*u.Zones)
	}
	for _, rec := range u.Records {
		if !rec.Gone() {
			s.restored.add(rec)
			continue
		}
		if err := s.targets.Restore(rec, now); err != nil {
			return err
		}
	}
	s.notify()
	return nil
}
