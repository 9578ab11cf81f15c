package replica

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"github.com/fxamacker/cbor/v2"
)

// Kinds of message.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Chunk
	ChunkReply
	// Join announces a replica that is no voter.
	Join
	// TimeoutNow asks a follower to campaign at once.
	TimeoutNow
)

// Kinds of entry.
const (
	CommandEntry EntryKind = iota + 1
	// NoopEntry is the first entry of each leader.
	NoopEntry
	ConfigEntry
)

type (
	// Index numbers the entries of the log from 1.
	Index uint64
	// Term numbers the periods of at most one leader each.
	Term uint64
	// MessageKind is the kind of a Message.
	MessageKind uint8
	// EntryKind is the kind of an Entry.
	EntryKind uint8

	// Entry is one entry of the log.
	Entry struct {
		Index Index     `cbor:"1,keyasint"`
		Term  Term      `cbor:"2,keyasint"`
		Kind  EntryKind `cbor:"3,keyasint"`
		// Stamp is the leader's wall clock in nanoseconds since 1970; it never
		// decreases along the log.
		Stamp int64  `cbor:"4,keyasint"`
		Data  []byte `cbor:"5,keyasint,omitempty"`
	}

	// Message is a message between replicas. Which fields are used depends on
	// Kind.
	Message struct {
		Kind MessageKind `cbor:"1,keyasint"`
		Term Term        `cbor:"2,keyasint"`
		// From and To are the incarnations of sender and receiver; To is 0
		// where the sender does not know it.
		From fleet.Incarnation `cbor:"3,keyasint"`
		To   fleet.Incarnation `cbor:"4,keyasint,omitempty"`
		// At is the entry before Entries, the candidate's last entry, the
		// snapshot's entry, or the match (Index only) of an AppendReply.
		At      Position `cbor:"5,keyasint"`
		Commit  Index    `cbor:"6,keyasint,omitempty"`
		Entries []Entry  `cbor:"7,keyasint,omitempty"`
		// Round numbers the leader's heartbeats; replies return it.
		Round  uint64 `cbor:"8,keyasint,omitempty"`
		Reject bool   `cbor:"9,keyasint,omitempty"`
		// Hint is the last index that may match after a rejected Append.
		Hint Index `cbor:"10,keyasint,omitempty"`
		// Transfer marks a vote that the last leader has asked for.
		Transfer bool `cbor:"11,keyasint,omitempty"`
		// Offset, Total and Data are a part of a snapshot file, in bytes.
		Offset uint64 `cbor:"12,keyasint,omitempty"`
		Total  uint64 `cbor:"13,keyasint,omitempty"`
		Data   []byte `cbor:"14,keyasint,omitempty"`
	}

	// Envelope is a message and its receiver.
	Envelope struct {
		To      fleet.VMID
		Message Message
	}

	// ProposalID numbers the proposals of one Replica value.
	ProposalID uint64
	// ReadID numbers the reads of one Replica value.
	ReadID uint64

	// Result is the outcome of a proposal. Err is an OutcomeUnknownError where
	// the replica lost its leadership.
	Result struct {
		ID    ProposalID
		Index Index
		Value []byte
		Err   error
	}

	// Read is the outcome of a read. Without Err, the state machine is current
	// for this read when the Output is returned.
	Read struct {
		ID    ReadID
		Index Index
		Err   error
	}

	// Output is what a step has produced. Envelopes may be sent and Results
	// may be reported, since all that they depend on is durable. Err is a
	// StoppedError once the replica has stopped.
	Output struct {
		Envelopes []Envelope
		Results   []Result
		Reads     []Read
		Err       error
	}

	// StateMachine is the user of the log. All replicas apply the same entries
	// in the same order, so that it must depend on nothing but its arguments.
	StateMachine interface {
		// Apply runs a committed command. Stamp is the leader's time of the
		// proposal, is equal on all replicas and never decreases.
		Apply(index Index, command []byte, stamp time.Time) []byte
		// Snapshot returns the whole state.
		Snapshot() ([]byte, error)
		// Restore replaces the state; empty data is the initial state.
		Restore(data []byte) error
	}
)

// EncodeMessage returns the encoding of a message.
func EncodeMessage(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, &DecodeError{What: "message", Err: err}
	}
	return data, nil
}

// DecodeMessage decodes and validates a message; it returns a DecodeError.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return m, &DecodeError{What: "message", Err: err}
	}
	if err := m.Validate(); err != nil {
		return m, &DecodeError{What: "message", Err: err}
	}
	return m, nil
}

// Validate returns a FieldError for the first value out of range.
func (m *Message) Validate() error {
	invalid := func(field, reason string) error {
		return &fleet.FieldError{Type: "Message", Field: field, Reason: reason}
	}
	if m.Kind < PreVote || m.Kind > TimeoutNow {
		return invalid("Kind", "is unknown")
	}
	prev := m.At
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != prev.Index+1 || e.Term < prev.Term || e.Term > m.Term {
			return invalid("Entries", "must be consecutive and of rising terms")
		}
		if e.Kind < CommandEntry || e.Kind > ConfigEntry {
			return invalid("Entries", "must have a known kind")
		}
		prev = Position{Index: e.Index, Term: e.Term}
	}
	if m.Kind == Chunk {
		n := uint64(len(m.Data))
		if m.Total > maxSnapshot || n == 0 || n > m.Total || m.Offset > m.Total-n {
			return invalid("Offset", "must lie in the snapshot")
		}
	}
	return nil
}
