package catalog

import (
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/replica"
	"github.com/fxamacker/cbor/v2"
)

type (
	// Document is a catalog as the operator sent it.
	Document struct {
		Number Number `cbor:"1,keyasint"`
		Text   []byte `cbor:"2,keyasint"`
	}

	// DecodeError reports bytes that are no document, or a document whose text
	// is no catalog.
	DecodeError struct{ Err error }

	// Machine holds the document in force as the state machine of the
	// replicated log. One goroutine uses it.
	Machine struct {
		// Parse reads the text of a document.
		Parse func(text []byte) (*Catalog, error)
		// Changed, if set, is called with each catalog that comes into force.
		Changed func(c *Catalog)
		// Failed, if set, is called with the error of a command that can't be
		// read. Documents are checked before they are proposed, so that only
		// another version of the program can send one.
		Failed func(err error)

		document Document
		catalog  *Catalog
	}
)

var _ replica.StateMachine = (*Machine)(nil)

// Error names the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("catalog document: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the command that puts the document into force.
func (d *Document) Encode() ([]byte, error) {
	b, err := cbor.Marshal(d)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return b, nil
}

// DecodeDocument decodes a command or a snapshot; it returns a DecodeError.
func DecodeDocument(b []byte) (Document, error) {
	var d Document
	if err := cbor.Unmarshal(b, &d); err != nil {
		return Document{}, &DecodeError{Err: err}
	}
	return d, nil
}

// Document returns the document in force; its number is 0 where there is none.
func (m *Machine) Document() Document { return m.document }

// Catalog returns the catalog in force, or nil.
func (m *Machine) Catalog() *Catalog { return m.catalog }

// Apply puts a document into force if its number is higher than that of the
// present one.
func (m *Machine) Apply(_ replica.Index, command []byte, _ time.Time) []byte {
	d, err := DecodeDocument(command)
	if err == nil && d.Number > m.document.Number {
		err = m.set(d)
	}
	if err != nil && m.Failed != nil {
		m.Failed(err)
	}
	return nil
}

// Snapshot encodes the document in force.
func (m *Machine) Snapshot() ([]byte, error) { return m.document.Encode() }

// Restore replaces the document; empty data stands for none. It returns a
// DecodeError.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		m.document, m.catalog = Document{}, nil
		return nil
	}
	d, err := DecodeDocument(data)
	if err != nil {
		return err
	}
	if d.Number == 0 {
		m.document, m.catalog = d, nil
		return nil
	}
	return m.set(d)
}

// set takes over a document. All replicas hold the same one, whether or not
// they can read it; the catalog stays where one can't.
func (m *Machine) set(d Document) error {
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
