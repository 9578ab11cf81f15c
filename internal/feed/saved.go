package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// Mark tells whether a board has changed.
type Mark struct {
	changed registry.Version
	number  catalog.Number
}

// Mark returns the present mark.
func (b *Board) Mark() Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Mark{changed: b.targets.ChangeVersion(), number: b.catalog.Number()}
}

// Number returns the number of the catalog, 0 where there is none.
func (b *Board) Number() catalog.Number {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.catalog.Number()
}

// Targets returns the number of targets that have not ended.
func (b *Board) Targets() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets.Len()
}

// Encode returns the catalog and the targets for Restore; it returns a
// MessageError.
func (b *Board) Encode(now time.Time) ([]byte, error) {
	b.mu.Lock()
	u := &Update{Catalog: b.catalog.Delta(0), Records: b.targets.Updates(0, now)}
	b.mu.Unlock()
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, &MessageError{Type: "Update", Reason: "can't be encoded", Err: err}
	}
	return data, nil
}

// Restore publishes what Encode has returned in a former life of the process.
// Each target gets the time to announce itself again before it counts as
// silent. It returns a MessageError and publishes nothing where the data are
// damaged.
func (b *Board) Restore(data []byte, now time.Time) error {
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
	return b.Take("", &Update{Catalog: u.Catalog, Records: u.Records}, now)
}
