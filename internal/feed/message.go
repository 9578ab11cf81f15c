package feed

import (
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	// BeatInterval is the time between two updates of a publisher that has
	// nothing to tell.
	BeatInterval = 200 * time.Millisecond
	// SilenceLimit is the time without an update after which a subscriber
	// takes its publisher for unreachable: five beats and some delay.
	SilenceLimit = 1200 * time.Millisecond
	// maxFrame bounds the size of a message in bytes: a catalog of 4,300 routes
	// and 23,000 records have about 3 MB.
	maxFrame = 8 << 20
)

// Roles of a subscriber.
const (
	Entry   Role = "Entry"
	Control Role = "Control"
)

type (
	// Role says what a subscriber needs.
	Role string

	// Hello is the first message of a subscriber.
	Hello struct {
		VM   fleet.VMID   `cbor:"1,keyasint"`
		Zone fleet.ZoneID `cbor:"2,keyasint"`
		Role Role         `cbor:"3,keyasint"`
		// Number is that of the catalog that the subscriber holds.
		Number catalog.Number `cbor:"4,keyasint"`
	}

	// Greeting is the response to a Hello. Subscribers compare publishers by it
	// before they ask one of them for updates, which may be large.
	Greeting struct {
		// Number is that of the publisher's catalog, 0 where it has none.
		Number catalog.Number `cbor:"1,keyasint"`
		// Current is set while the publisher is in contact with a majority of the
		// control VMs.
		Current bool `cbor:"2,keyasint,omitempty"`
	}

	// Update tells a subscriber what has changed.
	Update struct {
		// Catalog is nil where it has not changed.
		Catalog *catalog.Delta    `cbor:"1,keyasint,omitempty"`
		Records []registry.Record `cbor:"2,keyasint,omitempty"`
		// Version is acknowledged by the subscriber.
		Version registry.Version `cbor:"3,keyasint"`
		// Full is set where Records holds all targets that the publisher knows,
		// and Complete where no others exist as far as it can tell.
		Full     bool `cbor:"4,keyasint,omitempty"`
		Complete bool `cbor:"5,keyasint,omitempty"`
		// Current is set while the publisher is in contact with a majority of
		// the control VMs.
		Current bool `cbor:"6,keyasint,omitempty"`
		// Hubs lists the control VMs; it is empty where it has not changed.
		Hubs []Hub `cbor:"7,keyasint,omitempty"`
		// Pool is nil where it has not changed.
		Pool *Pool `cbor:"8,keyasint,omitempty"`
	}

	// Pool is what entry VMs have seen together.
	Pool struct {
		// Entries is the number of the publisher's entry VMs for hubs, and of all
		// entry VMs for entry VMs.
		Entries int `cbor:"1,keyasint,omitempty"`
		// Doubts are those of the publisher's entry VMs, for hubs.
		Doubts []Doubt `cbor:"2,keyasint,omitempty"`
		// Shared lists the targets that do not answer several entry VMs, for
		// entry VMs.
		Shared []fleet.Incarnation `cbor:"3,keyasint,omitempty"`
		// Overdue and SharedOverdue are the same for targets at which requests were
		// overdue.
		Overdue       []Doubt             `cbor:"4,keyasint,omitempty"`
		SharedOverdue []fleet.Incarnation `cbor:"5,keyasint,omitempty"`
	}

	// Hub is a control VM; Zone is empty where it is not known.
	Hub struct {
		VM   fleet.VMID   `cbor:"1,keyasint"`
		Zone fleet.ZoneID `cbor:"2,keyasint,omitempty"`
	}

	// Ack tells a publisher what its subscriber has taken over. The first one asks
	// for updates.
	Ack struct {
		Version registry.Version `cbor:"1,keyasint"`
		Number  catalog.Number   `cbor:"2,keyasint"`
		// Doubts lists the targets that do not answer the entry VM.
		Doubts []fleet.Incarnation `cbor:"3,keyasint,omitempty"`
		// Overdue lists those at which requests of the entry VM were overdue.
		Overdue []fleet.Incarnation `cbor:"4,keyasint,omitempty"`
	}

	// MessageError reports a message that can't be sent or decoded.
	MessageError struct {
		Type   string
		Reason string
		Err    error
	}
)

// Error names the type of the message and the reason.
func (e *MessageError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("feed message %s: %s: %v", e.Type, e.Reason, e.Err)
	}
	return fmt.Sprintf("feed message %s: %s", e.Type, e.Reason)
}

// Unwrap returns the cause, if any.
func (e *MessageError) Unwrap() error { return e.Err }

// Validate returns a MessageError for a subscriber without name or role.
func (h *Hello) Validate() error {
	if h.VM == "" || h.Role != Entry && h.Role != Control {
		return &MessageError{Type: "Hello", Reason: "has no name or no known role"}
	}
	return nil
}

// Validate returns a MessageError for an invalid record. A delta of the catalog
// is checked where it is applied.
func (u *Update) Validate() error {
	for i := range u.Records {
		if err := u.Records[i].Validate(); err != nil {
			return &MessageError{Type: "Update", Reason: "has an invalid record", Err: err}
		}
	}
	return nil
}

// Validate accepts every greeting.
func (*Greeting) Validate() error { return nil }

// Validate accepts every acknowledgement.
func (*Ack) Validate() error { return nil }
