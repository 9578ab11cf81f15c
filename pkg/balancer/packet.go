package balancer

import (
	"encoding/binary"
	"fmt"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Sources of a packet.
const (
	// FromFabric marks a packet that the fabric delivered.
	FromFabric Source = iota + 1
	// FromPeer marks a packet that another entry VM passed on.
	FromPeer
	// FromTarget marks an answer of a target.
	FromTarget
)

// Ways in which a packet can end its flow.
const (
	// NoEnd marks a packet that does not end its flow.
	NoEnd End = iota
	// Fin is a TCP FIN.
	Fin
	// Reset is a TCP RST.
	Reset
	// Done is the target's option RequestDone: the request is finished.
	Done
	// Shed is the target's option RequestShed: the request was not run.
	Shed
)

// Modes of a packet that one entry VM passes to another.
const (
	// ToFirst asks the owner of the first candidate to decide.
	ToFirst Mode = iota + 1
	// ToSecond offers the flow to the owner of the second candidate.
	ToSecond
	// Returned gives an offered flow back to the owner of the first candidate.
	Returned
	// Ask asks a VM whether it holds the flow.
	Ask
	// NotHere answers Ask: the VM does not hold the flow.
	NotHere
	// Established delivers a packet of a flow that is at the given target.
	Established
	// Overflow offers the flow to another zone.
	Overflow
	// Answer carries a target's answer to the owner of its flow.
	Answer
	// Refusal lets the standby of the first candidate's owner record a refusal
	// and send it to the caller, so that it is known after a crash of the owner.
	Refusal
)

// Operations that the adapter carries out.
const (
	// Forward sends the packet to a target.
	Forward Op = iota + 1
	// Pass sends the packet with its header to another entry VM.
	Pass
	// Refuse answers the caller with a TCP reset or an ICMP error.
	Refuse
	// Drop discards the packet.
	Drop
	// Reply sends a target's answer to the caller through the fabric.
	Reply
	// Cancel tells a target that the request was cancelled.
	Cancel
	// Control sends the payload, a control message, to another entry VM.
	Control
)

// MaxHops is the number of passes after which a packet is dropped.
const MaxHops = 8

const (
	passVersion   = 1
	passFixedSize = 31
	maxVMIDLength = 64
)

type (
	// Source says where a packet came from.
	Source uint8
	// End says whether and how a packet ends its flow.
	End uint8
	// Mode says what the receiver of a passed packet is asked to do.
	Mode uint8
	// Op is an operation of the adapter.
	Op uint8
	// Cause is the reason of a refusal or a drop, from a bounded set.
	Cause string

	// Packet is one decoded inner packet and where it came from.
	Packet struct {
		Flow   fleet.FlowKey
		Source Source
		// Start is set for a TCP SYN and a QUIC Initial, and for every packet
		// of another UDP protocol.
		Start bool
		// Instance tells a new request from a retransmission where a caller uses
		// a port again: the sequence number of a TCP SYN, a hash of the
		// source connection id of a QUIC Initial, and 0 where there is none. It
		// is the same for all start packets of one connection.
		Instance uint32
		End      End
		// Target is the sender where Source is FromTarget.
		Target fleet.TargetID
		// Header is set where Source is FromPeer.
		Header PassHeader
		// Payload is the inner IP packet; the core copies what it holds. With
		// Shed it is the start packet where the target gave it back.
		Payload []byte
		hash    fleet.FlowHash
		// unsure is set where a target that is gone may have run the request.
		unsure bool
	}

	// Action tells the adapter what to do with a packet.
	Action struct {
		Op      Op
		Flow    fleet.FlowKey
		Target  fleet.TargetID
		Peer    fleet.VMID
		Header  PassHeader
		Payload []byte
		Outcome fleet.Outcome
		Cause   Cause
	}

	// PassHeader precedes a packet that one entry VM passes to another.
	PassHeader struct {
		Mode Mode
		Hops uint8
		// Step is the position in the list of places that Ask visits.
		Step uint8
		// Pressure is the sender's load, from 0 (idle) to 255 (overloaded).
		Pressure uint8
		// Uncertain is set with NotHere by a VM that lost its records of the
		// time before a crash.
		Uncertain bool
		Epoch     fleet.Epoch
		// Target is the candidate or place that the mode refers to.
		Target fleet.TargetKey
		Hash   fleet.FlowHash
		// Origin is the VM to which Returned and NotHere go.
		Origin fleet.VMID
	}

	// HeaderError reports a pass header that does not decode.
	HeaderError struct {
		Offset int
		Reason string
	}
)

// starts reports whether the packet may be the first of its flow.
func (p *Packet) starts() bool { return p.Start || p.Flow.Protocol == fleet.UDP }

// Error returns the offset and the reason.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("pass header, offset %d: %s", e.Offset, e.Reason)
}

// Append encodes the header after b.
func (h *PassHeader) Append(b []byte) []byte {
	b = append(b, passVersion, uint8(h.Mode), h.Hops, h.Step, h.Pressure, boolByte(h.Uncertain))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Epoch))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Target))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Hash))
	b = append(b, uint8(len(h.Origin)))
	return append(b, h.Origin...)
}

// ParsePassHeader decodes a header and returns the rest of b; it returns a
// HeaderError where b is no valid header.
func ParsePassHeader(b []byte) (PassHeader, []byte, error) {
	if len(b) < passFixedSize {
		return PassHeader{}, nil, &HeaderError{Offset: len(b), Reason: "is too short"}
	}
	if b[0] != passVersion {
		return PassHeader{}, nil, &HeaderError{Offset: 0, Reason: "has an unknown version"}
	}
	h := PassHeader{
		Mode:      Mode(b[1]),
		Hops:      b[2],
		Step:      b[3],
		Pressure:  b[4],
		Uncertain: b[5] != 0,
		Epoch:     fleet.Epoch(binary.BigEndian.Uint64(b[6:])),
		Target:    fleet.TargetKey(binary.BigEndian.Uint64(b[14:])),
		Hash:      fleet.FlowHash(binary.BigEndian.Uint64(b[22:])),
	}
	n := int(b[30])
	rest := b[passFixedSize:]
	if n > maxVMIDLength || len(rest) < n {
		return PassHeader{}, nil, &HeaderError{Offset: 30, Reason: "has a VM id that is too long"}
	}
	h.Origin = fleet.VMID(rest[:n])
	if err := h.Validate(); err != nil {
		return PassHeader{}, nil, err
	}
	return h, rest[n:], nil
}

// Validate returns a HeaderError for an unknown mode.
func (h *PassHeader) Validate() error {
	if h.Mode < ToFirst || h.Mode > Refusal {
		return &HeaderError{Offset: 1, Reason: "has an unknown mode"}
	}
	return nil
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
