package catalog

import (
	"errors"
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/replica"
	"github.com/fxamacker/cbor/v2"
)

type (
	// Document is the text of a catalog as the operator sent it, with its number.
	Document struct {
		Number Number `cbor:"1,keyasint"`
		Text   []byte `cbor:"2,keyasint"`
	}

	// entry is a command of the log, a document or a zone order, or a snapshot, which
	// holds the document and the zones. A Document is an entry without the other
	// fields, as in the logs and snapshots of versions without zone orders.
	entry struct {
		Document
		Order *ZoneOrder `cbor:"3,keyasint,omitempty"`
		Zones *Zones     `cbor:"4,keyasint,omitempty"`
	}

	// DecodeError reports data that can't be decoded as a command or a snapshot of
	// the log, a document whose text is not a valid catalog, or a value that can't
	// be encoded.
	DecodeError struct{ Err error }

	// StateMachine is the state machine of the replicated log. Its state is the
	// document and the zone orders in force. It is not safe for concurrent use.
	StateMachine struct {
		// Parse parses and validates the text of a document.
		Parse func(text []byte) (*Catalog, error)
		// Changed, if not nil, is called with each catalog that comes into force, and
		// ZonesChanged with the zones of each higher revision.
		Changed      func(c *Catalog)
		ZonesChanged func(z Zones)
		// Failed, if not nil, is called with the error of a command that can't be
		// decoded or parsed. Commands are validated before they are proposed.
		// Therefore, only another version of the program can propose such a
		// command.
		Failed func(err error)

		document Document
		catalog  *Catalog
		zones    Zones
	}
)

var _ replica.StateMachine = (*StateMachine)(nil)

// Error returns the message of the underlying error after "catalog log: ".
func (e *DecodeError) Error() string { return fmt.Sprintf("catalog log: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the document as a command of the replicated log. It returns a
// DecodeError if the document can't be encoded.
func (d *Document) Encode() ([]byte, error) { return encode(d) }

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return b, nil
}

// decode decodes a command or a snapshot. It returns a DecodeError for malformed
// data, and a fleet.FieldError for an invalid order or invalid zones.
func decode(b []byte) (entry, error) {
	var e entry
	if err := cbor.Unmarshal(b, &e); err != nil {
		return entry{}, &DecodeError{Err: err}
	}
	var err error
	if e.Order != nil {
		err = e.Order.Validate()
	}
	if e.Zones != nil {
		err = errors.Join(err, e.Zones.Validate())
	}
	return e, err
}

// Document returns the document in force; its number is 0 if there is none.
func (m *StateMachine) Document() Document { return m.document }

// Catalog returns the catalog in force, or nil.
func (m *StateMachine) Catalog() *Catalog { return m.catalog }

// Zones returns the zone orders in force.
func (m *StateMachine) Zones() Zones { return m.zones }

// Apply puts a document into force if its number is higher than the number of
// the current document, or applies a zone order. Errors are passed to Failed. Apply
// returns the encoded ZoneResult of a zone order, and nil for another command.
func (m *StateMachine) Apply(_ replica.Index, command []byte, _ time.Time) []byte {
	e, err := decode(command)
	var result []byte
	switch {
	case err != nil:
	case e.Order != nil:
		next, changed := m.zones.apply(e.Order)
		m.setZones(next)
		result, err = encode(&ZoneResult{Revision: next.Revision, Changed: changed})
	case e.Number > m.document.Number:
		err = m.setDocument(e.Document)
	}
	if err != nil && m.Failed != nil {
		m.Failed(err)
	}
	return result
}

// Snapshot encodes the document and the zone orders in force.
func (m *StateMachine) Snapshot() ([]byte, error) {
	e := entry{Document: m.document}
	if m.zones.Revision > 0 {
		e.Zones = &m.zones
	}
	return encode(&e)
}

// Restore replaces the state with that of a snapshot; empty data means no document
// and no zone orders. It returns a DecodeError if the data or the text of the
// document is malformed, and a fleet.FieldError if the zones are invalid.
func (m *StateMachine) Restore(data []byte) error {
	var e entry
	if len(data) > 0 {
		var err error
		if e, err = decode(data); err != nil {
			return err
		}
	}
	if e.Zones == nil {
		e.Zones = new(Zones)
	}
	m.setZones(*e.Zones)
	if e.Number == 0 {
		m.document, m.catalog = e.Document, nil
		return nil
	}
	return m.setDocument(e.Document)
}

func (m *StateMachine) setZones(z Zones) {
	changed := z.Revision > m.zones.Revision
	m.zones = z
	if changed && m.ZonesChanged != nil {
		m.ZonesChanged(z)
	}
}

// setDocument puts a document into force. A replica that can't parse the document
// stores it as well, so that all replicas have the same document, but keeps its
// previous catalog.
func (m *StateMachine) setDocument(d Document) error {
	m.document = d
	c, err := m.Parse(d.Text)
	if err != nil {
		return &DecodeError{Err: err}
	}
	m.catalog = c
	if m.Changed != nil {
		m.Changed(c)
	}
	return nil
}
