package balancer

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// MaxControlSize is the maximum size of a control message in bytes. A message of
// this size fits into one datagram.
const MaxControlSize = 1200

// Types of control messages.
const (
	typeExceptions uint8 = iota + 1
	typeHandover
	typeHistory
	typeAck
)

const (
	controlVersion    = 1
	controlHeaderSize = 10 // version, type, sequence
	exceptionSize     = 5
	removeBit         = 0x80

	handoverFixedSize = 8 + 8 + 2 + 2 + 1 + 4 + 3
	listenerSize      = 16 + 2 + 1
	recordFixedSize   = 13

	flagCopy = 1
	flagLost = 2
)

type (
	// controlMessage is a message between two Balancers.
	controlMessage interface {
		kind() uint8
		appendBody(b []byte) []byte
		Validate() error
	}

	// ControlError reports an invalid control message.
	ControlError struct {
		Type   uint8
		Reason string
	}

	// exceptionMessage carries exceptions with a common first candidate, 5
	// bytes each.
	exceptionMessage struct {
		Epoch   fleet.Epoch
		First   fleet.TargetKey
		Dests   []fleet.TargetKey
		Records []wireException
	}

	wireException struct {
		Fingerprint uint32
		Dest        uint8
		Remove      bool
	}

	// handoverMessage carries flow records of a destination, 17 bytes each
	// with IPv4. Total is the number of parts of the transfer in the last part,
	// and 0 in all other parts.
	handoverMessage struct {
		Epoch       fleet.Epoch
		Dest        fleet.TargetKey
		Part, Total uint16
		// Copy is set if the records are for a standby and do not belong to a
		// transfer.
		Copy bool
		// Lost is set if the records of the sender are incomplete. LostAge is
		// the time in ms since the missing records were lost.
		Lost      bool
		LostAge   uint32
		Dests     []fleet.TargetKey
		Listeners []wireListener
		Records   []flowRecord
		size      int
	}

	wireListener struct {
		Address  netip.AddrPort
		Protocol fleet.Protocol
	}

	flowRecord struct {
		Flow      fleet.FlowKey
		State     chart.State
		Dest      fleet.TargetKey
		Listener  wireListener
		Remaining uint32 // ms until the deadline or the end of the retention
		Instance  uint32
	}

	// historyMessage tells a new member the candidates of earlier views, as
	// differences from the view of Epoch.
	historyMessage struct {
		Epoch fleet.Epoch `cbor:"1,keyasint"`
		// Covers is the length in ms of the period before the message for
		// which Steps lists every earlier view.
		Covers uint32        `cbor:"2,keyasint"`
		Steps  []historyStep `cbor:"3,keyasint"`
	}

	historyStep struct {
		// Age is the time in ms since the earlier view ended.
		Age uint32 `cbor:"1,keyasint"`
		// Extra lists the candidate targets that only the earlier view had,
		// and Missing the keys of those that only the view of Epoch has.
		Extra   []fleet.TargetID  `cbor:"2,keyasint"`
		Missing []fleet.TargetKey `cbor:"3,keyasint"`
	}

	// ackMessage acknowledges the message with the same sequence number.
	ackMessage struct{}
)

// Error returns the message type and the reason.
func (e *ControlError) Error() string {
	return fmt.Sprintf("control message of type %d: %s", e.Type, e.Reason)
}

func (*exceptionMessage) kind() uint8 { return typeExceptions }
func (*handoverMessage) kind() uint8  { return typeHandover }
func (*historyMessage) kind() uint8   { return typeHistory }
func (*ackMessage) kind() uint8       { return typeAck }

func (*ackMessage) appendBody(b []byte) []byte { return b }

// Validate accepts every acknowledgement.
func (*ackMessage) Validate() error { return nil }

// encodeControl encodes a message. It panics if the message exceeds
// MaxControlSize; the add methods and Balancer.historyMessage prevent that.
func encodeControl(m controlMessage, seq uint64) []byte {
	b := binary.BigEndian.AppendUint64([]byte{controlVersion, m.kind()}, seq)
	b = m.appendBody(b)
	if len(b) > MaxControlSize {
		panic(&ControlError{Type: m.kind(), Reason: "message too long"})
	}
	return b
}

// decodeControl decodes and validates a message. It returns the message and its
// sequence number. All errors are ControlErrors.
func decodeControl(b []byte) (controlMessage, uint64, error) {
	if len(b) < controlHeaderSize || len(b) > MaxControlSize || b[0] != controlVersion {
		return nil, 0, &ControlError{Reason: "invalid length or unsupported version"}
	}
	var m controlMessage
	var err error
	body := b[controlHeaderSize:]
	switch b[1] {
	case typeExceptions:
		m, err = decodeExceptions(body)
	case typeHandover:
		m, err = decodeHandover(body)
	case typeHistory:
		m, err = decodeHistory(body)
	case typeAck:
		m = &ackMessage{}
	default:
		err = &ControlError{Type: b[1], Reason: "unknown type"}
	}
	if err != nil {
		return nil, 0, err
	}
	if err := m.Validate(); err != nil {
		return nil, 0, err
	}
	return m, binary.BigEndian.Uint64(b[2:]), nil
}

// add appends a record; it returns false if the message is full.
func (m *exceptionMessage) add(r exceptionRecord) bool {
	at := slices.Index(m.Dests, r.dest)
	size := controlHeaderSize + 16 + 1 + 2 + 8*len(m.Dests) + exceptionSize*(len(m.Records)+1)
	if at < 0 {
		size += 8
	}
	if size > MaxControlSize || at < 0 && len(m.Dests) >= removeBit {
		return false
	}
	if at < 0 {
		at = len(m.Dests)
		m.Dests = append(m.Dests, r.dest)
	}
	m.Records = append(m.Records, wireException{Fingerprint: r.fingerprint, Dest: uint8(at), Remove: r.remove})
	return true
}

func (m *exceptionMessage) appendBody(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(m.Epoch))
	b = binary.BigEndian.AppendUint64(b, uint64(m.First))
	b = appendKeys(b, m.Dests)
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.Records)))
	for _, r := range m.Records {
		dest := r.Dest
		if r.Remove {
			dest |= removeBit
		}
		b = append(binary.BigEndian.AppendUint32(b, r.Fingerprint), dest)
	}
	return b
}

// Validate returns a ControlError if a record refers to a destination that
// the message does not list.
func (m *exceptionMessage) Validate() error {
	for _, r := range m.Records {
		if int(r.Dest) >= len(m.Dests) {
			return &ControlError{Type: typeExceptions, Reason: "record refers to an unlisted destination"}
		}
	}
	return nil
}

func decodeExceptions(b []byte) (*exceptionMessage, error) {
	r := reader{b: b}
	m := &exceptionMessage{Epoch: fleet.Epoch(r.uint64()), First: fleet.TargetKey(r.uint64()), Dests: r.keys()}
	n := int(r.uint16())
	if n*exceptionSize != len(r.b) {
		return nil, &ControlError{Type: typeExceptions, Reason: "invalid length"}
	}
	m.Records = make([]wireException, n)
	for i := range m.Records {
		fp, dest := r.uint32(), r.uint8()
		m.Records[i] = wireException{Fingerprint: fp, Dest: dest &^ removeBit, Remove: dest&removeBit != 0}
	}
	return m, r.check(typeExceptions)
}

// add appends a record; it returns false if the message is full.
func (m *handoverMessage) add(r flowRecord) bool {
	if m.size == 0 {
		m.size = controlHeaderSize + handoverFixedSize
	}
	size := m.size + recordFixedSize + addrSize(r.Flow.Caller.Addr())
	dest, listener := slices.Index(m.Dests, r.Dest), slices.Index(m.Listeners, r.Listener)
	if dest < 0 {
		size += 8
	}
	if listener < 0 {
		size += listenerSize
	}
	if size > MaxControlSize {
		return false
	}
	if dest < 0 {
		m.Dests = append(m.Dests, r.Dest)
	}
	if listener < 0 {
		m.Listeners = append(m.Listeners, r.Listener)
	}
	m.size = size
	m.Records = append(m.Records, r)
	return true
}

func addrSize(a netip.Addr) int {
	if a.Unmap().Is4() {
		return 4
	}
	return 16
}

func (m *handoverMessage) appendBody(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(m.Epoch))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Dest))
	b = binary.BigEndian.AppendUint16(b, m.Part)
	b = binary.BigEndian.AppendUint16(b, m.Total)
	b = append(b, boolByte(m.Copy)*flagCopy|boolByte(m.Lost)*flagLost)
	b = binary.BigEndian.AppendUint32(b, m.LostAge)
	b = appendKeys(b, m.Dests)
	b = append(b, uint8(len(m.Listeners)))
	for _, l := range m.Listeners {
		addr := l.Address.Addr().As16()
		b = binary.BigEndian.AppendUint16(append(b, addr[:]...), l.Address.Port())
		b = append(b, uint8(l.Protocol))
	}
	b = append(b, uint8(len(m.Records)))
	for i := range m.Records {
		b = m.appendRecord(b, &m.Records[i])
	}
	return b
}

func (m *handoverMessage) appendRecord(b []byte, r *flowRecord) []byte {
	addr := r.Flow.Caller.Addr().Unmap()
	b = append(b, wireState(r.State)<<1|boolByte(addr.Is4()))
	b = append(b, uint8(slices.Index(m.Dests, r.Dest)), uint8(slices.Index(m.Listeners, r.Listener)))
	b = binary.BigEndian.AppendUint32(b, r.Remaining)
	b = binary.BigEndian.AppendUint32(b, r.Instance)
	b = binary.BigEndian.AppendUint16(b, r.Flow.Caller.Port())
	return append(b, addr.AsSlice()...)
}

// Validate returns a ControlError if the part number exceeds the total or a
// record has no valid caller.
func (m *handoverMessage) Validate() error {
	if m.Total != 0 && m.Part > m.Total {
		return &ControlError{Type: typeHandover, Reason: "part number exceeds the total"}
	}
	for i := range m.Records {
		if !m.Records[i].Flow.Caller.IsValid() {
			return &ControlError{Type: typeHandover, Reason: "record without a valid caller"}
		}
	}
	return nil
}

func decodeHandover(b []byte) (*handoverMessage, error) {
	r := reader{b: b}
	m := &handoverMessage{Epoch: fleet.Epoch(r.uint64()), Dest: fleet.TargetKey(r.uint64())}
	m.Part, m.Total = r.uint16(), r.uint16()
	flags := r.uint8()
	m.Copy, m.Lost = flags&flagCopy != 0, flags&flagLost != 0
	m.LostAge = r.uint32()
	m.Dests = r.keys()
	for n := r.uint8(); n > 0 && !r.failed; n-- {
		addr := netip.AddrFrom16([16]byte(r.bytes(16))).Unmap()
		m.Listeners = append(m.Listeners, wireListener{Address: netip.AddrPortFrom(addr, r.uint16()), Protocol: fleet.Protocol(r.uint8())})
	}
	for n := r.uint8(); n > 0 && !r.failed; n-- {
		m.Records = append(m.Records, m.readRecord(&r))
	}
	return m, r.check(typeHandover)
}

func (m *handoverMessage) readRecord(r *reader) flowRecord {
	stateByte, dest, listener := r.uint8(), int(r.uint8()), int(r.uint8())
	rec := flowRecord{Remaining: r.uint32(), Instance: r.uint32()}
	port := r.uint16()
	size := 16
	if stateByte&1 != 0 {
		size = 4
	}
	addr, ok := netip.AddrFromSlice(r.bytes(size))
	if !ok || int(stateByte>>1) >= len(wireStates) || dest >= len(m.Dests) || listener >= len(m.Listeners) {
		r.failed = true
		return rec
	}
	rec.State, rec.Dest, rec.Listener = wireStates[stateByte>>1], m.Dests[dest], m.Listeners[listener]
	rec.Flow = fleet.FlowKey{Caller: netip.AddrPortFrom(addr, port), VIP: rec.Listener.Address, Protocol: rec.Listener.Protocol}
	return rec
}

func (m *historyMessage) appendBody(b []byte) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // cbor can encode all fields of the type
	}
	return append(b, body...)
}

// Validate returns a ControlError if the message has more than maxPastViews
// steps, or a target without a service or a valid address.
func (m *historyMessage) Validate() error {
	if len(m.Steps) > maxPastViews {
		return &ControlError{Type: typeHistory, Reason: "too many steps"}
	}
	for i := range m.Steps {
		for _, id := range m.Steps[i].Extra {
			if !id.Address.IsValid() || id.Service == "" {
				return &ControlError{Type: typeHistory, Reason: "target without a service or address"}
			}
		}
	}
	return nil
}

func decodeHistory(b []byte) (*historyMessage, error) {
	m := &historyMessage{}
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, &ControlError{Type: typeHistory, Reason: err.Error()}
	}
	return m, nil
}

func appendKeys(b []byte, keys []fleet.TargetKey) []byte {
	b = append(b, uint8(len(keys)))
	for _, k := range keys {
		b = binary.BigEndian.AppendUint64(b, uint64(k))
	}
	return b
}

// reader reads fixed-size values. If b is too short for a value, it returns
// zeros and sets failed.
type reader struct {
	b      []byte
	failed bool
}

var zeros [16]byte

func (r *reader) bytes(n int) []byte {
	if len(r.b) < n {
		r.failed, r.b = true, nil
		return zeros[:n]
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) uint8() uint8   { return r.bytes(1)[0] }
func (r *reader) uint16() uint16 { return binary.BigEndian.Uint16(r.bytes(2)) }
func (r *reader) uint32() uint32 { return binary.BigEndian.Uint32(r.bytes(4)) }
func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.bytes(8)) }

func (r *reader) keys() []fleet.TargetKey {
	n := int(r.uint8())
	if n*8 > len(r.b) {
		r.failed = true
		return nil
	}
	keys := make([]fleet.TargetKey, n)
	for i := range keys {
		keys[i] = fleet.TargetKey(r.uint64())
	}
	return keys
}

func (r *reader) check(kind uint8) error {
	if r.failed || len(r.b) > 0 {
		return &ControlError{Type: kind, Reason: "invalid length or index"}
	}
	return nil
}

// HandleControl handles a control message of another entry VM and appends the
// resulting actions to out. A message that cannot be decoded, or that arrives
// before the first view, is counted and discarded. A message that cannot be
// applied yet is not acknowledged, so that the sender sends it again.
func (b *Balancer) HandleControl(from fleet.VMID, body []byte, now time.Time, out []Action) []Action {
	m, seq, err := decodeControl(body)
	if err != nil || b.view == nil {
		b.stats.InvalidControl++
		return out
	}
	applied := true
	switch m := m.(type) {
	case *ackMessage:
		b.handleAck(from, seq)
		return out
	case *exceptionMessage:
		if applied = m.Epoch <= b.view.Epoch; applied {
			b.applyExceptions(m, now)
		}
	case *handoverMessage:
		applied = b.applyHandover(from, m, now)
	case *historyMessage:
		applied = b.applyHistory(m, now)
	}
	if !applied {
		return out
	}
	ack := encodeControl(&ackMessage{}, seq)
	b.stats.ControlMessages++
	b.stats.ControlBytes += uint64(len(ack))
	return append(out, Action{Op: Control, Peer: from, Payload: ack})
}
