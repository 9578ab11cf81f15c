package lease

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Kinds of messages; the numbers are part of the wire format.
const (
	Request        Kind = 1  // asks the council to renew the sender's lease; acknowledges Epoch
	Grant          Kind = 2  // reply to Request
	Fetch          Kind = 3  // asks for the deltas since Epoch, or for the full view
	Deltas         Kind = 4  // consecutive deltas
	Chunk          Kind = 5  // one part of a full view
	Prepare        Kind = 6  // ballot phase 1
	Promise        Kind = 7  // reply to Prepare
	Accept         Kind = 8  // ballot phase 2
	Accepted       Kind = 9  // reply to Accept
	Nack           Kind = 10 // rejects a Prepare or Accept; the ballot is too low, or the epoch is not later than that of the view of the Nack's sender
	Recover        Kind = 11 // asks for the acceptor state, after a restart or in a new council
	State          Kind = 12 // reply to Recover
	OldLeasesEnded Kind = 13 // no lease that the sender granted in an epoch before Epoch is valid any more
	Sealed         Kind = 14 // Epoch is sealed
	Report         Kind = 15 // target changes for the proposer
)

// Flags of a Grant.
const (
	flagGranted  = 1 << iota // the lease in Epoch is granted
	flagSealed               // Epoch is sealed
	flagProposer             // the sender is the proposer, with fewer than maxFailures failed ballots in a row
)

// Roles of a council member in a State message.
const (
	roleWaiting      Role = 1 // leases of an earlier incarnation or council may be valid
	roleMayHaveVoted Role = 2 // the wait is over; an earlier incarnation may have voted
	roleNeverVoted   Role = 3 // the wait is over; the member has certainly never voted in this council
	roleVoting       Role = 4 // votes
)

// Bounds of one message.
const (
	// MaxDatagram is the largest encoded message, in bytes.
	MaxDatagram = 1200
	// MaxCouncil is the largest number of council members.
	MaxCouncil    = 7
	maxIDLen      = 64
	maxServices   = 128
	maxServiceLen = 128 // bytes
)

type (
	// Kind classifies messages.
	Kind uint8
	// Role tells whether a council member votes, and if not, why.
	Role uint8

	// Ballot is the number of an attempt to choose a view. Ballots are ordered
	// by Round, then by VM, the proposer. The zero Ballot is the lowest.
	Ballot struct {
		_     struct{} `cbor:",toarray"`
		Round uint32
		VM    fleet.VMID
	}

	// Message is a datagram of the lease protocol. Revision is the settings
	// revision of the sender's council. In a State, HighestEpoch is the highest
	// epoch that the sender knows; in a Fetch, it is the epoch of the full view
	// that the sender has received in part, or 0.
	Message struct {
		Kind         Kind              `cbor:"1,keyasint"`
		Revision     uint32            `cbor:"2,keyasint,omitempty"`
		Seq          uint32            `cbor:"3,keyasint,omitempty"`
		Epoch        fleet.Epoch       `cbor:"4,keyasint,omitempty"`
		Incarnation  fleet.Incarnation `cbor:"5,keyasint,omitempty"`
		Flags        uint8             `cbor:"6,keyasint,omitempty"`
		Ballot       *Ballot           `cbor:"7,keyasint,omitempty"`
		Accepted     *Ballot           `cbor:"8,keyasint,omitempty"`
		Deltas       []Delta           `cbor:"9,keyasint,omitempty"`
		Part         uint16            `cbor:"10,keyasint,omitempty"`
		Parts        uint16            `cbor:"11,keyasint,omitempty"`
		Role         Role              `cbor:"12,keyasint,omitempty"`
		HighestEpoch fleet.Epoch       `cbor:"13,keyasint,omitempty"`
		Voters       []Voter           `cbor:"14,keyasint,omitempty"`
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
	mode, err := cbor.DecOptions{MaxArrayElements: 512, MaxMapPairs: 32, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Error returns a message with the size of the datagram and the cause.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("invalid lease datagram of %d bytes: %v", e.Size, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Encode returns the CBOR encoding of a message.
func (m *Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

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
	switch m.Kind {
	case Request, Grant, Fetch, Recover, OldLeasesEnded, Sealed, Nack:
	case Deltas:
		if len(m.Deltas) == 0 {
			return invalid("Message", "Deltas", "must not be empty")
		}
	case Report:
		if len(m.Deltas) != 1 {
			return invalid("Message", "Deltas", "must contain exactly one delta")
		}
	case Chunk:
		if len(m.Deltas) != 1 || m.Part >= m.Parts || m.Deltas[0].Epoch != m.Epoch {
			return invalid("Message", "Part", "must be less than Parts, with exactly one delta for Epoch")
		}
	case Prepare, Promise, Accept, Accepted:
		if m.Ballot == nil || m.Epoch == 0 {
			return invalid("Message", "Ballot", "must be set, with a nonzero epoch")
		}
		if m.Kind == Accept && (len(m.Deltas) != 1 || m.Deltas[0].Epoch != m.Epoch) {
			return invalid("Message", "Deltas", "must contain exactly one delta for Epoch")
		}
		if m.Kind == Promise && m.Accepted != nil && len(m.Deltas) != 1 {
			return invalid("Message", "Deltas", "must hold the accepted delta")
		}
	case State:
		if m.Role < roleWaiting || m.Role > roleVoting {
			return invalid("Message", "Role", "is unknown")
		}
		if m.Accepted != nil && len(m.Deltas) != 1 {
			return invalid("Message", "Deltas", "must hold the accepted delta")
		}
	default:
		return invalid("Message", "Kind", "is unknown")
	}
	return m.validateParts()
}

func (m *Message) validateParts() error {
	for _, b := range []*Ballot{m.Ballot, m.Accepted} {
		if b != nil && (b.VM == "" || len(b.VM) > maxIDLen) {
			return invalid("Ballot", "VM", "must have 1 to 64 bytes")
		}
	}
	if len(m.Voters) > MaxCouncil {
		return invalid("Message", "Voters", "must have at most 7 entries")
	}
	for i := range m.Deltas {
		if err := m.Deltas[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns a FieldError for the first value out of range.
func (d *Delta) Validate() error {
	if d.Base != 0 && d.Base >= d.Epoch {
		return invalid("Delta", "Base", "must be less than Epoch")
	}
	if len(d.Services) > maxServices || len(d.Voters) > MaxCouncil {
		return invalid("Delta", "Services", "must have at most 128 entries, and Voters at most 7")
	}
	for _, s := range d.Services {
		if s == "" || len(s) > maxServiceLen {
			return invalid("Delta", "Services", "must have 1 to 128 bytes")
		}
	}
	for _, m := range d.Join {
		if m.VM.ID == "" || len(m.VM.ID) > maxIDLen {
			return invalid("Delta", "Join", "must have ids of 1 to 64 bytes")
		}
	}
	for i := range d.Set {
		e := &d.Set[i]
		if int(e.Service) >= len(d.Services) || int(e.State) >= len(targetStates) {
			return invalid("Delta", "Set", "has an index out of range")
		}
		t := e.target(d.Services, "zone")
		if err := t.Validate(); err != nil {
			return err
		}
	}
	return nil
}

func invalid(typ, field, reason string) error {
	return &fleet.FieldError{Type: typ, Field: field, Reason: reason}
}

func (b Ballot) compare(o Ballot) int {
	if c := cmp.Compare(b.Round, o.Round); c != 0 {
		return c
	}
	return strings.Compare(string(b.VM), string(o.VM))
}
