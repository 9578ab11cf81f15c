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

// MaxControlSize bounds a control message, in bytes, so that it fits into one
// datagram.
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

	// ControlError reports a control message that does not decode.
	ControlError struct {
		Type   uint8
		Reason string
	}

	// exceptionMessage carries exceptions with one first candidate, 5 bytes
	// each.
	exceptionMessage struct {
		Epoch   fleet.Epoch
		First   fleet.TargetKey
		Places  []fleet.TargetKey
		Records []wireException
	}

	wireException struct {
		Fingerprint uint32
		Place       uint8
		Remove      bool
	}

	// handoverMessage carries flow records of a place, 17 bytes each with IPv4.
	// Total is 0 but in the last part.
	handoverMessage struct {
		Epoch       fleet.Epoch
		Place       fleet.TargetKey
		Part, Total uint16
		// Copy marks records for a standby, which are no part of a transfer.
		Copy bool
		// Lost says that the sender itself lacks records since LostAge ms.
		Lost      bool
		LostAge   uint32
		Places    []fleet.TargetKey
		Listeners []wireListener
		Records   []flowRecord
		size      int
	}

	wireListener struct {
		Address  netip.AddrPort
		Protocol fleet.Protocol
	}

	flowRecord struct {
		Flow     fleet.FlowKey
		State    chart.State
		Place    fleet.TargetKey
		Listener wireListener
		Remains  uint32 // ms until the deadline or the end of the retention
		Instance uint32
	}

	// historyMessage tells a new member the candidates of earlier views, as
	// differences to the view of Epoch.
	historyMessage struct {
		Epoch fleet.Epoch `cbor:"1,keyasint"`
		// Covers is the time in ms for which Steps is complete.
		Covers uint32        `cbor:"2,keyasint"`
		Steps  []historyStep `cbor:"3,keyasint"`
	}

	historyStep struct {
		// Age is the time in ms since the view ended.
		Age uint32 `cbor:"1,keyasint"`
		// Plus are the candidates that it had besides, Minus those it lacked.
		Plus  []fleet.TargetID  `cbor:"2,keyasint"`
		Minus []fleet.TargetKey `cbor:"3,keyasint"`
	}

	// ackMessage acknowledges the message with the same sequence number.
	ackMessage struct{}
)

// Error returns the type and the reason.
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

// encodeControl encodes a message; it panics where one is too long, since the
// add methods keep it within MaxControlSize.
func encodeControl(m controlMessage, seq uint64) []byte {
	b := binary.BigEndian.AppendUint64([]byte{controlVersion, m.kind()}, seq)
	b = m.appendBody(b)
	if len(b) > MaxControlSize {
		panic(&ControlError{Type: m.kind(), Reason: "is too long"})
	}
	return b
}

// decodeControl decodes and validates a message; it returns a ControlError.
func decodeControl(b []byte) (controlMessage, uint64, error) {
	if len(b) < controlHeaderSize || len(b) > MaxControlSize || b[0] != controlVersion {
		return nil, 0, &ControlError{Reason: "has a wrong length or version"}
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
		err = &ControlError{Type: b[1], Reason: "is of an unknown type"}
	}
	if err != nil {
		return nil, 0, err
	}
	if err := m.Validate(); err != nil {
		return nil, 0, err
	}
	return m, binary.BigEndian.Uint64(b[2:]), nil
}

// add appends a record; false where the message is full.
func (m *exceptionMessage) add(r exceptionRecord) bool {
	at := slices.Index(m.Places, r.place)
	size := controlHeaderSize + 16 + 1 + 2 + 8*len(m.Places) + exceptionSize*(len(m.Records)+1)
	if at < 0 {
		size += 8
	}
	if size > MaxControlSize || at < 0 && len(m.Places) >= removeBit {
		return false
	}
	if at < 0 {
		at = len(m.Places)
		m.Places = append(m.Places, r.place)
	}
	m.Records = append(m.Records, wireException{Fingerprint: r.fingerprint, Place: uint8(at), Remove: r.remove})
	return true
}

func (m *exceptionMessage) appendBody(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, uint64(m.Epoch))
	b = binary.BigEndian.AppendUint64(b, uint64(m.First))
	b = appendKeys(b, m.Places)
	b = binary.BigEndian.AppendUint16(b, uint16(len(m.Records)))
	for _, r := range m.Records {
		place := r.Place
		if r.Remove {
			place |= removeBit
		}
		b = append(binary.BigEndian.AppendUint32(b, r.Fingerprint), place)
	}
	return b
}

// Validate returns a ControlError for a record without its place.
func (m *exceptionMessage) Validate() error {
	for _, r := range m.Records {
		if int(r.Place) >= len(m.Places) {
			return &ControlError{Type: typeExceptions, Reason: "names a place that it does not list"}
		}
	}
	return nil
}

func decodeExceptions(b []byte) (*exceptionMessage, error) {
	r := reader{b: b}
	m := &exceptionMessage{Epoch: fleet.Epoch(r.uint64()), First: fleet.TargetKey(r.uint64()), Places: r.keys()}
	n := int(r.uint16())
	if n*exceptionSize != len(r.b) {
		return nil, &ControlError{Type: typeExceptions, Reason: "has a wrong length"}
	}
	m.Records = make([]wireException, n)
	for i := range m.Records {
		fp, place := r.uint32(), r.uint8()
		m.Records[i] = wireException{Fingerprint: fp, Place: place &^ removeBit, Remove: place&removeBit != 0}
	}
	return m, r.check(typeExceptions)
}

// add appends a record; false where the message is full.
func (m *handoverMessage) add(r flowRecord) bool {
	if m.size == 0 {
		m.size = controlHeaderSize + handoverFixedSize
	}
	size := m.size + recordFixedSize + addrSize(r.Flow.Caller.Addr())
	place, listener := slices.Index(m.Places, r.Place), slices.Index(m.Listeners, r.Listener)
	if place < 0 {
		size += 8
	}
	if listener < 0 {
		size += listenerSize
	}
	if size > MaxControlSize {
		return false
	}
	if place < 0 {
		m.Places = append(m.Places, r.Place)
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
	b = binary.BigEndian.AppendUint64(b, uint64(m.Place))
	b = binary.BigEndian.AppendUint16(b, m.Part)
	b = binary.BigEndian.AppendUint16(b, m.Total)
	b = append(b, boolByte(m.Copy)*flagCopy|boolByte(m.Lost)*flagLost)
	b = binary.BigEndian.AppendUint32(b, m.LostAge)
	b = appendKeys(b, m.Places)
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
	b = append(b, uint8(slices.Index(m.Places, r.Place)), uint8(slices.Index(m.Listeners, r.Listener)))
	b = binary.BigEndian.AppendUint32(b, r.Remains)
	b = binary.BigEndian.AppendUint32(b, r.Instance)
	b = binary.BigEndian.AppendUint16(b, r.Flow.Caller.Port())
	return append(b, addr.AsSlice()...)
}

// Validate returns a ControlError for a part number out of range or a caller
// without an address.
func (m *handoverMessage) Validate() error {
	if m.Total != 0 && m.Part > m.Total {
		return &ControlError{Type: typeHandover, Reason: "has a part number above the total"}
	}
	for i := range m.Records {
		if !m.Records[i].Flow.Caller.IsValid() {
			return &ControlError{Type: typeHandover, Reason: "has a record without a caller"}
		}
	}
	return nil
}

func decodeHandover(b []byte) (*handoverMessage, error) {
	r := reader{b: b}
	m := &handoverMessage{Epoch: fleet.Epoch(r.uint64()), Place: fleet.TargetKey(r.uint64())}
	m.Part, m.Total = r.uint16(), r.uint16()
	flags := r.uint8()
	m.Copy, m.Lost = flags&flagCopy != 0, flags&flagLost != 0
	m.LostAge = r.uint32()
	m.Places = r.keys()
	for n := r.uint8(); n > 0 && !r.bad; n-- {
		addr := netip.AddrFrom16([16]byte(r.bytes(16))).Unmap()
		m.Listeners = append(m.Listeners, wireListener{Address: netip.AddrPortFrom(addr, r.uint16()), Protocol: fleet.Protocol(r.uint8())})
	}
	for n := r.uint8(); n > 0 && !r.bad; n-- {
		m.Records = append(m.Records, m.readRecord(&r))
	}
	return m, r.check(typeHandover)
}

func (m *handoverMessage) readRecord(r *reader) flowRecord {
	kind, place, listener := r.uint8(), int(r.uint8()), int(r.uint8())
	rec := flowRecord{Remains: r.uint32(), Instance: r.uint32()}
	port := r.uint16()
	size := 16
	if kind&1 != 0 {
		size = 4
	}
	addr, ok := netip.AddrFromSlice(r.bytes(size))
	if !ok || int(kind>>1) >= len(wireStates) || place >= len(m.Places) || listener >= len(m.Listeners) {
		r.bad = true
		return rec
	}
	rec.State, rec.Place, rec.Listener = wireStates[kind>>1], m.Places[place], m.Listeners[listener]
	rec.Flow = fleet.FlowKey{Caller: netip.AddrPortFrom(addr, port), VIP: rec.Listener.Address, Protocol: rec.Listener.Protocol}
	return rec
}

func (m *historyMessage) appendBody(b []byte) []byte {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // the type has no field that cbor can't encode
	}
	return append(b, body...)
}

// Validate returns a ControlError for more steps than are kept.
func (m *historyMessage) Validate() error {
	if len(m.Steps) > maxPast {
		return &ControlError{Type: typeHistory, Reason: "has too many steps"}
	}
	for i := range m.Steps {
		for _, id := range m.Steps[i].Plus {
			if !id.Address.IsValid() || id.Service == "" {
				return &ControlError{Type: typeHistory, Reason: "has a target without service or address"}
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

// reader reads fixed-size values; after the end it returns zeros and is bad.
type reader struct {
	b   []byte
	bad bool
}

var zeros [16]byte

func (r *reader) bytes(n int) []byte {
	if len(r.b) < n {
		r.bad, r.b = true, nil
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
		r.bad = true
		return nil
	}
	keys := make([]fleet.TargetKey, n)
	for i := range keys {
		keys[i] = fleet.TargetKey(r.uint64())
	}
	return keys
}

func (r *reader) check(kind uint8) error {
	if r.bad || len(r.b) > 0 {
		return &ControlError{Type: kind, Reason: "has a wrong length or index"}
	}
	return nil
}

// HandleControl takes a control message of another entry VM and appends the
// actions that follow. A message that does not decode is counted only.
func (b *Balancer) HandleControl(from fleet.VMID, body []byte, now time.Time, out []Action) []Action {
	m, seq, err := decodeControl(body)
	if err != nil || b.view == nil {
		b.stats.BadControl++
		return out
	}
	done := true
	switch m := m.(type) {
	case *ackMessage:
		b.acked(from, seq)
		return out
	case *exceptionMessage:
		if done = m.Epoch <= b.view.Epoch; done {
			b.applyExceptions(m, now)
		}
	case *handoverMessage:
		done = b.applyHandover(from, m, now)
	case *historyMessage:
		done = b.applyHistory(m, now)
	}
	if !done {
		return out
	}
	ack := encodeControl(&ackMessage{}, seq)
	b.stats.ControlMessages++
	b.stats.ControlBytes += uint64(len(ack))
	return append(out, Action{Op: Control, Peer: from, Payload: ack})
}
