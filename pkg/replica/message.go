package replica

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"github.com/fxamacker/cbor/v2"
)

// Message kinds.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	SnapshotChunk
	SnapshotChunkReply
	// Join requests admission of the sender to the cluster.
	Join
	// TimeoutNow asks a follower to start an election at once.
	TimeoutNow
	// JoinReply answers a Join. A replica that does not lead names the replicas that it
	// knows, of which one may lead. A leader whose config has another incarnation of the
	// VM sends a number, which the receiver repeats in another Join.
	JoinReply
)

// Entry kinds.
const (
	CommandEntry EntryKind = iota + 1
	// NoopEntry is the first entry that a leader appends in its term.
	NoopEntry
	ConfigEntry
)

var messageKindNames = [...]string{
	0: "none", PreVote: "PreVote", PreVoteReply: "PreVoteReply", Vote: "Vote", VoteReply: "VoteReply", Append: "Append",
	AppendReply: "AppendReply", SnapshotChunk: "SnapshotChunk", SnapshotChunkReply: "SnapshotChunkReply", Join: "Join",
	TimeoutNow: "TimeoutNow", JoinReply: "JoinReply",
}

type (
	// Index is the index of a log entry, counted from 1.
	Index uint64
	// Term is the number of a Raft term. A term has at most one leader.
	Term uint64
	// MessageKind is the kind of a Message.
	MessageKind uint8
	// EntryKind is the kind of an Entry.
	EntryKind uint8

	// Entry is a log entry.
	Entry struct {
		Index Index     `cbor:"1,keyasint"`
		Term  Term      `cbor:"2,keyasint"`
		Kind  EntryKind `cbor:"3,keyasint"`
		// Stamp is the time of the leader's wall clock when the leader appended
		// the entry, or the stamp of the previous entry if that is later. It is
		// in nanoseconds since the Unix epoch.
		Stamp int64  `cbor:"4,keyasint"`
		Data  []byte `cbor:"5,keyasint,omitempty"`
	}

	// Message is a message between replicas. Kind determines which fields are
	// used.
	Message struct {
		Kind MessageKind `cbor:"1,keyasint"`
		Term Term        `cbor:"2,keyasint"`
		// From and To are the incarnations of the sender and the receiver. To is
		// 0 if the sender does not know the receiver's incarnation.
		From fleet.Incarnation `cbor:"3,keyasint"`
		To   fleet.Incarnation `cbor:"4,keyasint,omitempty"`
		// Position is the position of an entry that depends on Kind:
		//   - Append: the entry before Entries.
		//   - PreVote and Vote: the candidate's last entry.
		//   - SnapshotChunk and SnapshotChunkReply: the last entry that the
		//     snapshot covers.
		//   - Join and JoinReply: only the Term, that of the leader that sent Round.
		//   - AppendReply: the last matching entry (Index only). If the reply
		//     rejects an Append, Position is the one of that Append, or zero if
		//     the Append has an old term.
		Position Position `cbor:"5,keyasint"`
		Commit   Index    `cbor:"6,keyasint,omitempty"`
		Entries  []Entry  `cbor:"7,keyasint,omitempty"`
		// Round is the number of the leader's newest heartbeat round, or, in a Join and a
		// JoinReply, the number to repeat, 0 if there is none. The reply
		// to an Append or a SnapshotChunk has the same Round, or 0 if that
		// message has an old term.
		Round  uint64 `cbor:"8,keyasint,omitempty"`
		Reject bool   `cbor:"9,keyasint,omitempty"`
		// ConflictHint is set in an AppendReply that rejects an Append. It is
		// the last index at which the logs of leader and follower may match.
		ConflictHint Index `cbor:"10,keyasint,omitempty"`
		// Transfer marks a vote request of an election that the previous leader
		// asked for.
		Transfer bool `cbor:"11,keyasint,omitempty"`
		// Data is the part of a snapshot file that starts at Offset, and Total
		// is the size of the file. Offset and Total are in bytes. In a
		// SnapshotChunkReply, Offset is the number of bytes received so far.
		Offset uint64 `cbor:"12,keyasint,omitempty"`
		Total  uint64 `cbor:"13,keyasint,omitempty"`
		Data   []byte `cbor:"14,keyasint,omitempty"`
		// Peers is set in a JoinReply.
		Peers []fleet.VMID `cbor:"15,keyasint,omitempty"`
	}

	// Envelope is a message with its receiver.
	Envelope struct {
		To      fleet.VMID
		Message Message
	}

	// ProposalID identifies a proposal. It is unique within one Replica value.
	ProposalID uint64
	// ReadID identifies a read. It is unique within one Replica value.
	ReadID uint64

	// Result is the outcome of a proposal. Err is an OutcomeUnknownError if the
	// replica lost the leadership or stopped before it applied the entry.
	Result struct {
		ID    ProposalID
		Index Index
		Value []byte
		Err   error
	}

	// Read is the outcome of a read. If Err is nil, the state machine reflects
	// all writes acknowledged before the read was requested. Otherwise Err is a
	// NotLeaderError.
	Read struct {
		ID    ReadID
		Index Index
		Err   error
	}

	// Output holds the messages, results and reads that a Flush returns. They
	// may be sent, because everything they depend on is durable. Err is a
	// StoppedError once the replica has stopped. Events are for logs; their number is
	// limited by time.
	Output struct {
		Envelopes []Envelope
		Results   []Result
		Reads     []Read
		Events    []Event
		Err       error
	}

	// StateMachine is the replicated state machine. All replicas apply the same
	// entries in the same order. The state and the results of Apply must depend
	// only on the arguments of the calls, so that they are equal on all
	// replicas.
	StateMachine interface {
		// Apply applies a committed command and returns the result. The
		// argument stamp is Entry.Stamp as a time. It is the same on all
		// replicas and does not decrease from one call to the next.
		Apply(index Index, command []byte, stamp time.Time) []byte
		// Snapshot returns the serialized state.
		Snapshot() ([]byte, error)
		// Restore replaces the state with the state in a snapshot. Empty data
		// means the initial state.
		Restore(data []byte) error
	}
)

// String returns the name of the kind.
func (k MessageKind) String() string {
	if int(k) >= len(messageKindNames) {
		return "unknown"
	}
	return messageKindNames[k]
}

// EncodeMessage returns the CBOR encoding of a message, or a DecodeError.
func EncodeMessage(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, &DecodeError{Type: "message", Err: err}
	}
	return data, nil
}

// DecodeMessage decodes and validates a message. It returns a DecodeError if
// data is malformed or the message is invalid.
func DecodeMessage(data []byte) (Message, error) {
	var m Message
	if err := decMode.Unmarshal(data, &m); err != nil {
		return m, &DecodeError{Type: "message", Err: err}
	}
	if err := m.Validate(); err != nil {
		return m, &DecodeError{Type: "message", Err: err}
	}
	return m, nil
}

// Size returns the size in bytes of the commands and of the part of a snapshot that the
// message holds.
func (m *Message) Size() int {
	size := len(m.Data)
	for i := range m.Entries {
		size += len(m.Entries[i].Data)
	}
	return size
}

// Validate returns a fleet.FieldError for the first invalid field.
func (m *Message) Validate() error {
	invalid := func(field, reason string) error {
		return &fleet.FieldError{Type: "Message", Field: field, Reason: reason}
	}
	if m.Kind < PreVote || m.Kind > JoinReply {
		return invalid("Kind", "is unknown")
	}
	if len(m.Peers) > maxPeers || slices.Contains(m.Peers, "") {
		return invalid("Peers", "must be non-empty ids, and not more than the limit")
	}
	prev := m.Position
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != prev.Index+1 || e.Term < prev.Term || e.Term > m.Term {
			return invalid("Entries", "must have consecutive indexes, and terms that do not decrease or exceed the message term")
		}
		if e.Kind < CommandEntry || e.Kind > ConfigEntry {
			return invalid("Entries", "must have a known kind")
		}
		prev = Position{Index: e.Index, Term: e.Term}
	}
	if m.Kind == SnapshotChunk {
		n := uint64(len(m.Data))
		if m.Total > maxTotalBytes || n == 0 || n > m.Total || m.Offset > m.Total-n {
			return invalid("Offset", "must lie within the snapshot; Data must not be empty, and Total must not exceed the limit")
		}
	}
	return nil
}
