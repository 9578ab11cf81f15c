package catalog

import (
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

	// DecodeError reports data that can't be decoded as a document, a document
	// whose text is not a valid catalog, or a document that can't be encoded.
	DecodeError struct{ Err error }

	// StateMachine is the state machine of the replicated log. Its state is the
	// document in force. It is not safe for concurrent use.
	StateMachine struct {
		// Parse parses and validates the text of a document.
		Parse func(text []byte) (*Catalog, error)
		// Changed, if not nil, is called with each catalog that comes into force.
		Changed func(c *Catalog)
		// Failed, if not nil, is called with the error of a command that can't be
		// decoded or parsed. Documents are validated before they are proposed.
		// Therefore, only another version of the program can propose such a
		// command.
		Failed func(err error)

		document Document
		catalog  *Catalog
	}
)

var _ replica.StateMachine = (*StateMachine)(nil)

// Error returns the message of the underlying error after "catalog document: ".
func (e *DecodeError) Error() string { return fmt.Sprintf("catalog document: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the document as a command of the replicated log. It returns a
// DecodeError if the document can't be encoded.
func (d *Document) Encode() ([]byte, error) {
	b, err := cbor.Marshal(d)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return b, nil
}

// DecodeDocument decodes a command or a snapshot. It returns a DecodeError for
// malformed data.
func DecodeDocument(b []byte) (Document, error) {
	var d Document
	if err := cbor.Unmarshal(b, &d); err != nil {
		return Document{}, &DecodeError{Err: err}
	}
	return d, nil
}

// Document returns the document in force; its number is 0 if there is none.
func (m *StateMachine) Document() Document { return m.document }

// Catalog returns the catalog in force, or nil.
func (m *StateMachine) Catalog() *Catalog { return m.catalog }

// Apply puts a document into force if its number is higher than the number of
// the current document. Errors are passed to Failed. Apply always returns nil.
func (m *StateMachine) Apply(_ replica.Index, command []byte, _ time.Time) []byte {
	d, err := DecodeDocument(command)
	if err == nil && d.Number > m.document.Number {
		err = m.setDocument(d)
	}
	if err != nil && m.Failed != nil {
		m.Failed(err)
	}
	return nil
}

// Snapshot encodes the document in force.
func (m *StateMachine) Snapshot() ([]byte, error) { return m.document.Encode() }

// Restore replaces the document with the document of a snapshot; empty data
// means no document. It returns a DecodeError if the data or the text of the
// document is malformed.
func (m *StateMachine) Restore(data []byte) error {
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
	return m.setDocument(d)
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
