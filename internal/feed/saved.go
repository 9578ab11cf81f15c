package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// StateVersion identifies a state of a board: two equal marks mean that the catalog and
// the targets have not changed in between, except for mere announcements.
type StateVersion struct {
	targetVersion registry.Version
	catalogNumber catalog.Number
}

// StateVersion returns the mark of the current state.
func (b *Store) StateVersion() StateVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	return StateVersion{targetVersion: b.targets.ChangeVersion(), catalogNumber: b.catalog.Number()}
}

// Number returns the number of the catalog, 0 if there is none.
func (b *Store) Number() catalog.Number {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.catalog.Number()
}

// Targets returns the number of targets that are not gone.
func (b *Store) Targets() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets.Len()
}

// Encode returns the encoded catalog and targets for Restore, or a MessageError.
func (b *Store) Encode(now time.Time) ([]byte, error) {
	b.mu.Lock()
	u := &Update{Catalog: b.catalog.Delta(0), Records: b.targets.Updates(0, now)}
	b.mu.Unlock()
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, &MessageError{Type: "Update", Reason: "can't be encoded", Err: err}
	}
	return data, nil
}

// Restore publishes the catalog and the targets that Encode returned in an earlier
// run of the process. Each target has the full silence limit to announce itself
// again. If the data are damaged, Restore returns a MessageError and publishes
// nothing.
func (b *Store) Restore(data []byte, now time.Time) error {
	u := new(Update)
	if err := cbor.Unmarshal(data, u); err != nil {
		return &MessageError{Type: "Update", Reason: "can't be decoded", Err: err}
	}
	if err := u.Validate(); err != nil {
		return err
	}
	for i := range u.Records {
		u.Records[i].Age, u.Records[i].Warmup, u.Records[i].Silent = 0, 0, false
	}
	return b.ApplyUpdate("", &Update{Catalog: u.Catalog, Records: u.Records}, now)
}
