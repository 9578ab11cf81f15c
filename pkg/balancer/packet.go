package balancer

import (
	"encoding/binary"
	"fmt"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Values of Source.
const (
	// FromFabric marks a packet that the fabric delivered.
	FromFabric Source = iota + 1
	// FromPeer marks a packet that another entry VM passed to this VM.
	FromPeer
	// FromTarget marks an answer of a target.
	FromTarget
)

// Values of End.
const (
	// NoEnd marks a packet that does not end its flow.
	NoEnd End = iota
	// Fin is a TCP FIN.
	Fin
	// Reset is a TCP RST.
	Reset
	// Done marks a packet in which the target set the option RequestDone: the
	// request has finished.
	Done
	// Shed marks a packet in which the target set the option RequestShed: the
	// request was not run.
	Shed
)

// Values of Mode, for packets that one entry VM passes to another.
const (
	// ToFirst asks the owner of the first candidate to decide.
	ToFirst Mode = iota + 1
	// ToSecond offers the flow to the owner of the second candidate.
	ToSecond
	// Returned sends an offered flow back to the owner of the first
	// candidate, which sent the offer.
	Returned
	// Ask asks a VM whether it holds the flow.
	Ask
	// NotHere is the reply to Ask: the VM does not hold the flow.
	NotHere
	// Established carries a packet of a flow that is at the given
	// destination.
	Established
	// Overflow offers the flow to another zone.
	Overflow
	// Answer carries a target's answer to the owner of its flow.
	Answer
	// Refusal tells the standby of a destination to record a refusal and send
	// it to the caller, so that the standby knows the refusal if the owner
	// crashes.
	Refusal
)

// Values of Op: operations that the packet adapter performs.
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
	// Control sends the payload, which is a control message, to another entry
	// VM.
	Control
)

// MaxHops is the maximum number of passes; a packet that would need more is
// dropped.
const MaxHops = 8

const (
	passVersion   = 1
	passFixedSize = 31
	maxVMIDLength = 64
)

type (
	// Source is the origin of a packet.
	Source uint8
	// End is how a packet ends its flow, if it does.
	End uint8
	// Mode is what the receiver of a passed packet is asked to do.
	Mode uint8
	// Op is an operation of the packet adapter.
	Op uint8
	// Cause is the reason of a refusal or a drop, from a fixed set.
	Cause string

	// Packet is a decoded inner packet with its origin.
	Packet struct {
		Flow   fleet.FlowKey
		Source Source
		// Start marks a start packet: a TCP SYN, a QUIC Initial, and any
		// packet of another UDP protocol.
		Start bool
		// Instance distinguishes a new request from a retransmission when a
		// caller reuses a port. It is the sequence number of a TCP SYN, a
		// hash of the source connection ID of a QUIC Initial, or 0 if there
		// is none. All start packets of a connection have the same instance.
		Instance uint32
		End      End
		// Target is the sender if Source is FromTarget.
		Target fleet.TargetID
		// Header is set if Source is FromPeer.
		Header PassHeader
		// Payload is the inner IP packet; the Balancer copies the payloads of
		// held packets. With Shed, Payload is the start packet that the target
		// sent back, or empty if the target sent none.
		Payload []byte
		hash    fleet.FlowHash
		// mayHaveRun is set if a target that is no longer in the view may
		// have run the request.
		mayHaveRun bool
	}

	// Action tells the packet adapter what to do with a packet.
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
		// Step is the position, counted from 1, of the asked VM in the list
		// that listAsks makes, or exceptionAskStep. With Answer, it is the End
		// of the packet.
		Step uint8
		// Pressure is the sender's load, from 0 (idle) to 255 (overloaded).
		Pressure uint8
		// Uncertain is set if records may have been lost. In that case, an
		// unknown VM may hold the flow, or a target may have run the request.
		Uncertain bool
		Epoch     fleet.Epoch
		// Target is the destination that the mode refers to.
		Target fleet.TargetKey
		Hash   fleet.FlowHash
		// Origin is the VM that Returned and NotHere are sent to.
		Origin fleet.VMID
	}

	// HeaderError reports an invalid pass header.
	HeaderError struct {
		Offset int
		Reason string
	}
)

// starts reports whether the packet may be the first of its flow.
func (p *Packet) starts() bool { return p.Start || p.Flow.Protocol == fleet.UDP }

// Error returns the byte offset and the reason.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("pass header at offset %d: %s", e.Offset, e.Reason)
}

// Append appends the encoded header to b.
func (h *PassHeader) Append(b []byte) []byte {
	b = append(b, passVersion, uint8(h.Mode), h.Hops, h.Step, h.Pressure, boolByte(h.Uncertain))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Epoch))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Target))
	b = binary.BigEndian.AppendUint64(b, uint64(h.Hash))
	b = append(b, uint8(len(h.Origin)))
	return append(b, h.Origin...)
}

// ParsePassHeader decodes a header and returns it with the rest of b. It
// returns a HeaderError if b does not start with a valid header.
func ParsePassHeader(b []byte) (PassHeader, []byte, error) {
	if len(b) < passFixedSize {
		return PassHeader{}, nil, &HeaderError{Offset: len(b), Reason: "truncated header"}
	}
	if b[0] != passVersion {
		return PassHeader{}, nil, &HeaderError{Offset: 0, Reason: "unsupported version"}
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
		return PassHeader{}, nil, &HeaderError{Offset: 30, Reason: "VM id too long or truncated"}
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
		return &HeaderError{Offset: 1, Reason: "unknown mode"}
	}
	return nil
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
