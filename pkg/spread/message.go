package spread

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

type (
	// Hint tells a peer the sender's applied revision.
	Hint struct {
		Revision fleet.Revision `cbor:"1,keyasint"`
		// Poll asks the receiver to reply with a Hint if the receiver's
		// revision is higher.
		Poll bool `cbor:"2,keyasint"`
	}

	// Pull requests the delta from a revision to the receiver's revision.
	Pull struct {
		From fleet.Revision `cbor:"1,keyasint"`
	}

	// Push carries a delta.
	Push struct {
		Delta settings.Delta `cbor:"1,keyasint"`
	}

	// Message is a Hint, a Pull or a Push; exactly one field must be set.
	Message struct {
		Hint *Hint `cbor:"1,keyasint,omitempty"`
		Pull *Pull `cbor:"2,keyasint,omitempty"`
		Push *Push `cbor:"3,keyasint,omitempty"`
	}

	// Envelope is a message with its recipient.
	Envelope struct {
		To      fleet.VMID
		Message Message
	}

	// MessageError reports a message that is invalid or can't be encoded or
	// decoded.
	MessageError struct {
		Reason string
		Err    error
	}
)

// Error names the reason.
func (e *MessageError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("spread message: %s: %v", e.Reason, e.Err)
	}
	return "spread message: " + e.Reason
}

// Unwrap returns the cause, if any.
func (e *MessageError) Unwrap() error { return e.Err }

// Validate returns a MessageError unless exactly one field is set and valid.
func (m *Message) Validate() error {
	n := 0
	if m.Hint != nil {
		n++
	}
	if m.Pull != nil {
		n++
	}
	if m.Push != nil {
		n++
		if err := m.Push.Delta.Validate(); err != nil {
			return &MessageError{Reason: "invalid delta", Err: err}
		}
	}
	if n != 1 {
		return &MessageError{Reason: "must hold exactly one of Hint, Pull and Push"}
	}
	return nil
}

// FitsDatagram reports whether the message always fits into one datagram. A
// Push may be larger, and is therefore sent over a connection.
func (m *Message) FitsDatagram() bool { return m.Push == nil }

// Encode returns the encoded message, or a MessageError.
func (m *Message) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, &MessageError{Reason: "can't be encoded", Err: err}
	}
	return b, nil
}

// Decode decodes and validates a message, or returns a MessageError.
func Decode(b []byte) (Message, error) {
	var m Message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return Message{}, &MessageError{Reason: "can't be decoded", Err: err}
	}
	if err := m.Validate(); err != nil {
		return Message{}, err
	}
	return m, nil
}
