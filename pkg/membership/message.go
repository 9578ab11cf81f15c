package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Kinds of messages; the numbers are part of the wire format.
const (
	Ping      Kind = 1 // direct probe
	Ack       Kind = 2 // reply to Ping; if Target is set, reply to PingReq after an Ack of Target
	PingReq   Kind = 3 // asks the receiver to probe Target for the sender
	Join      Kind = 4 // asks a seed for the member table
	JoinReply Kind = 5 // one part of the member table
	Sync      Kind = 6 // some table entries, sent to a random peer
	Report    Kind = 7 // free slots of the sender's targets, for the delegates
	Digest    Kind = 8 // state of a zone, for VMs of another zone
)

// Bounds of one datagram.
const (
	// MaxDatagram is the largest encoded message, in bytes.
	MaxDatagram = 1200
	maxIDLen    = 64
	maxUpdates  = 64
	maxZones    = 8
	maxServices = 16
)

type (
	// Kind classifies messages.
	Kind uint8

	// Update is a statement about one VM. Of two updates about the same VM,
	// the one with the higher (Incarnation, Refutation, rank of State) wins.
	Update struct {
		ID          fleet.VMID        `cbor:"1,keyasint"`
		Zone        fleet.ZoneID      `cbor:"2,keyasint,omitempty"` // if empty, the zone of the sender
		Control     netip.AddrPort    `cbor:"3,keyasint,omitzero"`
		Data        netip.AddrPort    `cbor:"4,keyasint,omitzero"`
		Incarnation fleet.Incarnation `cbor:"5,keyasint"`
		Refutation  uint32            `cbor:"6,keyasint,omitempty"`
		State       chart.State       `cbor:"7,keyasint"`
		// Unfit is the VM's own statement that it reaches no majority of the
		// council.
		Unfit bool `cbor:"8,keyasint,omitempty"`
	}

	// Slots is the number of free slots of one service.
	Slots struct {
		_       struct{} `cbor:",toarray"`
		Service fleet.ServiceID
		Free    uint32
	}

	// ZoneState is the state of a zone as reported by one of its delegates.
	// Sequence increases within one Incarnation of the delegate.
	ZoneState struct {
		Zone        fleet.ZoneID      `cbor:"1,keyasint"`
		Delegate    fleet.VMID        `cbor:"2,keyasint"`
		Incarnation fleet.Incarnation `cbor:"3,keyasint"`
		Sequence    uint64            `cbor:"4,keyasint"`
		Epoch       fleet.Epoch       `cbor:"5,keyasint,omitempty"`
		Spare       []Slots           `cbor:"6,keyasint,omitempty"`
	}

	// Message is a datagram between entry VMs. Incarnation, Refutation and
	// Unfit describe the sender.
	Message struct {
		Kind        Kind              `cbor:"1,keyasint"`
		Seq         uint32            `cbor:"2,keyasint,omitempty"`
		Target      fleet.VMID        `cbor:"3,keyasint,omitempty"`
		Incarnation fleet.Incarnation `cbor:"4,keyasint"`
		Refutation  uint32            `cbor:"5,keyasint,omitempty"`
		Zone        fleet.ZoneID      `cbor:"6,keyasint,omitempty"`
		Updates     []Update          `cbor:"7,keyasint,omitempty"`
		Zones       []ZoneState       `cbor:"8,keyasint,omitempty"`
		Part        uint16            `cbor:"9,keyasint,omitempty"`
		Parts       uint16            `cbor:"10,keyasint,omitempty"`
		Spare       []Slots           `cbor:"11,keyasint,omitempty"`
		// Unknown reports that the receiver is not in the sender's table. It
		// asks the receiver to send an Update about itself.
		Unknown bool `cbor:"12,keyasint,omitempty"`
		Unfit   bool `cbor:"13,keyasint,omitempty"`
	}

	// Envelope is a message and its receiver.
	Envelope struct {
		To      fleet.VMID
		Message Message
	}

	// DecodeError reports a datagram that is not a valid message.
	DecodeError struct {
		Size int
		Err  error
	}
)

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 128, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Error returns a message with the size of the datagram and the cause.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("invalid membership datagram of %d bytes: %v", e.Size, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the CBOR encoding of a message.
func (m *Message) Encode() ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode decodes and validates a datagram. Its errors are DecodeErrors.
func Decode(data []byte) (Message, error) {
	var m Message
	if len(data) > MaxDatagram {
		return m, &DecodeError{Size: len(data), Err: invalid("Message", "Size", "must be at most 1200 bytes")}
	}
	if err := decMode.Unmarshal(data, &m); err != nil {
		return m, &DecodeError{Size: len(data), Err: err}
	}
	if err := m.Validate(); err != nil {
		return m, &DecodeError{Size: len(data), Err: err}
	}
	return m, nil
}

// Validate returns a FieldError for the first value out of range.
func (m *Message) Validate() error {
	switch {
	case m.Kind < Ping || m.Kind > Digest:
		return invalid("Message", "Kind", "is unknown")
	case m.Kind == PingReq && m.Target == "":
		return invalid("Message", "Target", "must not be empty")
	case m.Kind == Digest && (m.Zone == "" || len(m.Zones) != 1 || m.Zones[0].Zone != m.Zone):
		return invalid("Message", "Zones", "must contain exactly the sender's zone")
	case m.Kind == JoinReply && (m.Parts == 0 || m.Part >= m.Parts):
		return invalid("Message", "Part", "must be less than Parts")
	case len(m.Target) > maxIDLen || len(m.Zone) > maxIDLen:
		return invalid("Message", "Target", "must have at most 64 bytes, and so must Zone")
	case len(m.Updates) > maxUpdates || len(m.Zones) > maxZones:
		return invalid("Message", "Updates", "must have at most 64 entries, and Zones at most 8")
	}
	for i := range m.Updates {
		if err := m.Updates[i].Validate(); err != nil {
			return err
		}
	}
	for i := range m.Zones {
		if err := m.Zones[i].Validate(); err != nil {
			return err
		}
	}
	return validateSlots(m.Spare)
}

// Validate returns a FieldError for the first value out of range.
func (u *Update) Validate() error {
	switch {
	case u.ID == "" || len(u.ID) > maxIDLen || len(u.Zone) > maxIDLen:
		return invalid("Update", "ID", "must have 1 to 64 bytes, and Zone at most 64")
	case int(u.State) >= numStates:
		return invalid("Update", "State", "is not a state of the entry VM chart")
	}
	return nil
}

// Validate returns a FieldError for the first value out of range.
func (z *ZoneState) Validate() error {
	if z.Zone == "" || z.Delegate == "" || len(z.Zone) > maxIDLen || len(z.Delegate) > maxIDLen {
		return invalid("ZoneState", "Zone", "must have 1 to 64 bytes, and so must Delegate")
	}
	return validateSlots(z.Spare)
}

func validateSlots(list []Slots) error {
	if len(list) > maxServices {
		return invalid("Slots", "Service", "must have at most 16 entries")
	}
	for _, s := range list {
		if s.Service == "" || len(s.Service) > 2*maxIDLen {
			return invalid("Slots", "Service", "must have 1 to 128 bytes")
		}
	}
	return nil
}

func invalid(typ, field, reason string) error {
	return &fleet.FieldError{Type: typ, Field: field, Reason: reason}
}

// size returns an upper bound of the encoded size of an update, in bytes.
func (u *Update) size() int {
	return 29 + len(u.ID) + len(u.Zone) + addressSize(u.Control) + addressSize(u.Data)
}

func addressSize(a netip.AddrPort) int {
	switch {
	case !a.IsValid():
		return 0
	case a.Addr().Is4():
		return 8
	}
	return 20 + len(a.Addr().Zone())
}

// size returns an upper bound of the encoded size of a zone state, in bytes.
func (z *ZoneState) size() int {
	n := 50 + len(z.Zone) + len(z.Delegate)
	for _, s := range z.Spare {
		n += 8 + len(s.Service)
	}
	return n
}

func sortedSlots(spare map[fleet.ServiceID]int) []Slots {
	list := make([]Slots, 0, len(spare))
	for s, n := range spare {
		list = append(list, Slots{Service: s, Free: uint32(max(n, 0))})
	}
	slices.SortFunc(list, func(a, b Slots) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return list
}
