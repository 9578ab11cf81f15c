package geneve

import (
	"encoding/binary"
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// optionClass is in the range 0xff00 to 0xffff that RFC 8926 reserves for
// experimental use.
const optionClass = 0xffb0

// Types of options; none has the critical bit, so that receivers ignore options
// that they do not know.
const (
	optionDeadline = 0x01 // uint32: time until the deadline in milliseconds
	optionFlow     = 0x02 // uint64: flow hash
	optionDone     = 0x03 // RequestDone; no data
	optionShed     = 0x04 // RequestShed; no data
	optionLoad     = 0x05 // uint16 slots in use, uint16 reserved, uint32 open connections
	optionCancel   = 0x06 // no data
	optionService  = 0x07 // uint64: hash of the service ID
)

const (
	headerSize       = 8
	optionHeaderSize = 4
	criticalBit      = 0x80
	controlFlag      = 0x80
	protocolIPv4     = 0x0800
	protocolIPv6     = 0x86dd
)

type (
	// Header is a Geneve header with the options that this package supports.
	Header struct {
		VNI uint32
		// Control is the O bit: the inner packet only identifies a flow and is
		// not delivered.
		Control  bool
		Deadline time.Duration // time to deadline; 0 if the option is absent
		Flow     fleet.FlowHash
		// Service is the hash of the service ID of the target to which the
		// datagram is sent; 0 if the option is absent. A target ignores
		// datagrams for another service.
		Service fleet.ServiceHash
		Done    bool
		Shed    bool
		Cancel  bool
		// HasLoad reports whether Load is set.
		HasLoad bool
		Load    Load
	}

	// Load is the load that a target reports.
	Load struct {
		SlotsInUse  uint16
		Connections uint32
	}

	// DecodeError reports a datagram that can't be decoded or is not accepted.
	// Offset is in bytes from the start of the datagram, or from the start of
	// the inner packet if the inner packet was rejected.
	DecodeError struct {
		Offset int
		Reason Reason
	}

	// Reason states why a datagram was discarded. It is a metric label, so its
	// values are from a bounded set.
	Reason string
)

// Reasons for which datagrams are discarded.
const (
	TooShort          Reason = "TooShort"
	BadVersion        Reason = "BadVersion"
	BadOptions        Reason = "BadOptions"
	CriticalOption    Reason = "CriticalOption"
	UnknownProtocol   Reason = "UnknownProtocol"
	BadInner          Reason = "BadInner"
	Fragment          Reason = "Fragment"
	Oversized         Reason = "Oversized"
	UnknownListener   Reason = "UnknownListener"
	UnknownPeer       Reason = "UnknownPeer"
	BadPassHeader     Reason = "BadPassHeader"
	UnknownTarget     Reason = "UnknownTarget"
	QueueFull         Reason = "QueueFull"
	SendFailed        Reason = "SendFailed"
	UnexpectedControl Reason = "UnexpectedControl"
	// Paused is the reason for discarding start packets shortly after a pause
	// of the process, because they may have waited in the socket during the
	// pause.
	Paused Reason = "Paused"
)

// Reasons lists all reasons, so that the metric of each reason exists from the
// start with the value 0.
var Reasons = []Reason{
	TooShort, BadVersion, BadOptions, CriticalOption, UnknownProtocol,
	BadInner, Fragment, Oversized, UnknownListener, UnknownPeer,
	BadPassHeader, UnknownTarget, QueueFull, SendFailed, UnexpectedControl, Paused,
}

// Error returns the offset and the reason.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("invalid datagram at offset %d: %s", e.Offset, e.Reason)
}

// Append appends the encoded header for the inner packet to b, without the
// inner packet. The IP version of inner determines the protocol type.
func (h *Header) Append(b, inner []byte) []byte {
	start := len(b)
	protocol := uint16(protocolIPv4)
	if len(inner) > 0 && inner[0]>>4 == 6 {
		protocol = protocolIPv6
	}
	var flags byte
	if h.Control {
		flags |= controlFlag
	}
	b = append(b, 0, flags)
	b = binary.BigEndian.AppendUint16(b, protocol)
	b = binary.BigEndian.AppendUint32(b, h.VNI<<8)
	b = h.appendOptions(b)
	b[start] = byte((len(b) - start - headerSize) / 4)
	return b
}

func (h *Header) appendOptions(b []byte) []byte {
	if h.Deadline > 0 {
		b = appendOption(b, optionDeadline, 4)
		b = binary.BigEndian.AppendUint32(b, milliseconds(h.Deadline))
	}
	if h.Flow != 0 {
		b = appendOption(b, optionFlow, 8)
		b = binary.BigEndian.AppendUint64(b, uint64(h.Flow))
	}
	if h.Service != 0 {
		b = appendOption(b, optionService, 8)
		b = binary.BigEndian.AppendUint64(b, uint64(h.Service))
	}
	if h.HasLoad {
		b = appendOption(b, optionLoad, 8)
		b = binary.BigEndian.AppendUint16(b, h.Load.SlotsInUse)
		b = binary.BigEndian.AppendUint16(b, 0)
		b = binary.BigEndian.AppendUint32(b, h.Load.Connections)
	}
	if h.Done {
		b = appendOption(b, optionDone, 0)
	}
	if h.Shed {
		b = appendOption(b, optionShed, 0)
	}
	if h.Cancel {
		b = appendOption(b, optionCancel, 0)
	}
	return b
}

func appendOption(b []byte, kind byte, size int) []byte {
	b = binary.BigEndian.AppendUint16(b, optionClass)
	return append(b, kind, byte(size/4))
}

// milliseconds converts d to milliseconds, at most the maximum of a uint32. It
// rounds up, so that a positive duration is never encoded as 0.
func milliseconds(d time.Duration) uint32 {
	ms := (d + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, 1<<32-1))
}

// ParseHeader decodes a Geneve header and returns the header and the inner
// packet, which refers to b. Any error is a DecodeError.
func ParseHeader(b []byte) (Header, []byte, error) {
	if len(b) < headerSize {
		return Header{}, nil, &DecodeError{Offset: len(b), Reason: TooShort}
	}
	if b[0]>>6 != 0 {
		return Header{}, nil, &DecodeError{Offset: 0, Reason: BadVersion}
	}
	if p := binary.BigEndian.Uint16(b[2:]); p != protocolIPv4 && p != protocolIPv6 {
		return Header{}, nil, &DecodeError{Offset: 2, Reason: UnknownProtocol}
	}
	end := headerSize + int(b[0]&0x3f)*4
	if len(b) < end {
		return Header{}, nil, &DecodeError{Offset: len(b), Reason: TooShort}
	}
	h := Header{VNI: binary.BigEndian.Uint32(b[4:]) >> 8, Control: b[1]&controlFlag != 0}
	for offset := headerSize; offset < end; {
		n, err := h.parseOption(b[offset:end], offset)
		if err != nil {
			return Header{}, nil, err
		}
		offset += n
	}
	return h, b[end:], nil
}

// parseOption decodes the option at the start of b and returns the size of the
// option in bytes. offset is the position of b in the datagram.
func (h *Header) parseOption(b []byte, offset int) (int, error) {
	if len(b) < optionHeaderSize {
		return 0, &DecodeError{Offset: offset, Reason: BadOptions}
	}
	size := optionHeaderSize + int(b[3]&0x1f)*4
	if len(b) < size {
		return 0, &DecodeError{Offset: offset, Reason: BadOptions}
	}
	kind, data := b[2], b[optionHeaderSize:size]
	if binary.BigEndian.Uint16(b) != optionClass {
		return size, checkCritical(kind, offset)
	}
	switch {
	case kind == optionDeadline && len(data) == 4:
		h.Deadline = time.Duration(binary.BigEndian.Uint32(data)) * time.Millisecond
	case kind == optionFlow && len(data) == 8:
		h.Flow = fleet.FlowHash(binary.BigEndian.Uint64(data))
	case kind == optionService && len(data) == 8:
		h.Service = fleet.ServiceHash(binary.BigEndian.Uint64(data))
	case kind == optionLoad && len(data) == 8:
		h.HasLoad = true
		h.Load = Load{SlotsInUse: binary.BigEndian.Uint16(data), Connections: binary.BigEndian.Uint32(data[4:])}
	case kind == optionDone && len(data) == 0:
		h.Done = true
	case kind == optionShed && len(data) == 0:
		h.Shed = true
	case kind == optionCancel && len(data) == 0:
		h.Cancel = true
	case kind >= optionDeadline && kind <= optionService:
		return 0, &DecodeError{Offset: offset, Reason: BadOptions}
	default:
		return size, checkCritical(kind, offset)
	}
	return size, nil
}

// checkCritical returns a DecodeError if an unknown option has the critical bit
// set, because RFC 8926 section 3.5 requires that such packets be dropped.
func checkCritical(kind byte, offset int) error {
	if kind&criticalBit != 0 {
		return &DecodeError{Offset: offset, Reason: CriticalOption}
	}
	return nil
}
