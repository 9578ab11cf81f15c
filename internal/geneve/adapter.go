package geneve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/ipv4"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// batchSize is the maximum number of datagrams that one system call reads
	// or writes.
	batchSize = 32
	// bufferSize is large enough for an inner packet of 1,500 bytes with a
	// pass header or all Geneve options; longer datagrams are discarded.
	bufferSize = 2048
)

// A datagram between entry VMs starts with peerMagic and a type. After type
// peerPacket come a pass header and an inner packet; after type peerMessage
// come a shard number and a control message of the core.
const (
	peerMagic      = 0xb4
	peerPrefixSize = 2
	peerPacket     = 1
	peerMessage    = 2
)

type (
	// Received is one decoded datagram. Packet and Message refer to a buffer
	// that is reused after Release.
	Received struct {
		Packet balancer.Packet
		Header Header
		// Message is a control message of a core, or nil if the datagram
		// carries a packet. From is the VM that sent the message, and Shard is
		// the number of the shard whose core must handle the message. From and
		// Shard are valid only if Message is not nil.
		Message []byte
		From    fleet.VMID
		Shard   uint8

		pool *sync.Pool
		buf  []byte
	}

	// Adapter moves packets between one UDP socket and the cores. Its fields
	// must be set before Receive is called.
	Adapter struct {
		Conn *net.UDPConn
		// Fabric lists the addresses of the fabric to which replies and
		// refusals are sent. The flow hash selects one of them.
		Fabric []netip.AddrPort
		// Sources lists the permitted outer sources of packets from the
		// fabric; if it is empty, all are permitted.
		Sources  []netip.Prefix
		Counters *Counters

		index atomic.Pointer[index]
		pool  sync.Pool
	}

	// SocketError reports a failure of the data socket.
	SocketError struct {
		Op  string
		Err error
	}
)

// Error names the operation and the cause.
func (e *SocketError) Error() string { return fmt.Sprintf("data socket: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// Release returns r and its buffer to the pool.
func (r *Received) Release() {
	if r.pool != nil {
		r.pool.Put(r)
	}
}

// SetView replaces the view by which datagrams are classified and addressed.
// Datagrams of a VM that was in the previous view but is not in v are accepted
// until the first call of SetView whose now is at least one minute after the now
// of this call. Calls of SetView must not overlap, but Receive and the methods of
// Senders may run concurrently with SetView.
func (a *Adapter) SetView(v *fleet.View, now time.Time) {
	a.index.Store(newIndex(v, a.index.Load(), now))
}

// Receive reads datagrams and passes the valid ones to deliver until ctx ends
// or Conn is closed. Receive closes Conn when ctx ends. If a read fails for
// another reason, Receive returns a SocketError. deliver becomes the owner of
// the Received, whose Release must be called once.
func (a *Adapter) Receive(ctx context.Context, deliver func(*Received)) error {
	stop := context.AfterFunc(ctx, func() { a.Conn.Close() })
	defer stop()
	conn := ipv4.NewPacketConn(a.Conn)
	decoder := NewDecoder()
	batch := make([]ipv4.Message, batchSize)
	received := make([]*Received, batchSize)
	for {
		a.fillBatch(batch, received)
		n, err := conn.ReadBatch(batch, 0)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return &SocketError{Op: "read", Err: err}
		}
		for i := range n {
			if a.decodeDatagram(decoder, received[i], &batch[i]) {
				deliver(received[i])
				received[i] = nil
			}
		}
	}
}

func (a *Adapter) fillBatch(batch []ipv4.Message, received []*Received) {
	for i := range received {
		if received[i] != nil {
			continue
		}
		received[i] = a.getReceived()
		batch[i].Buffers = [][]byte{received[i].buf}
	}
}

func (a *Adapter) getReceived() *Received {
	if r, ok := a.pool.Get().(*Received); ok {
		return r
	}
	return &Received{pool: &a.pool, buf: make([]byte, bufferSize)}
}

// decodeDatagram decodes a datagram into r and reports whether it is valid; an
// invalid datagram is counted as discarded.
func (a *Adapter) decodeDatagram(d *Decoder, r *Received, m *ipv4.Message) bool {
	if m.Flags&syscall.MSG_TRUNC != 0 {
		a.Counters.Discard(Oversized)
		return false
	}
	addr, ok := m.Addr.(*net.UDPAddr)
	x := a.index.Load()
	if !ok || x == nil {
		a.Counters.Discard(UnknownListener)
		return false
	}
	source := addr.AddrPort()
	source = netip.AddrPortFrom(source.Addr().Unmap(), source.Port())
	if err := a.decode(d, x, r, r.buf[:m.N], source); err != nil {
		var de *DecodeError
		if errors.As(err, &de) {
			a.Counters.Discard(de.Reason)
		}
		return false
	}
	return true
}

func (a *Adapter) decode(d *Decoder, x *index, r *Received, b []byte, source netip.AddrPort) error {
	if len(b) == 0 {
		return &DecodeError{Reason: TooShort}
	}
	r.Message = nil
	if b[0] == peerMagic {
		return a.decodePeer(d, x, r, b, source)
	}
	h, inner, err := ParseHeader(b)
	if err != nil {
		return err
	}
	r.Header = h
	r.Packet = balancer.Packet{Payload: inner}
	if id, ok := x.targetIDs[source]; ok {
		return a.decodeTarget(d, x, r, id)
	}
	return a.decodeFabric(d, x, r, source)
}

func (a *Adapter) decodePeer(d *Decoder, x *index, r *Received, b []byte, source netip.AddrPort) error {
	from, ok := x.peerIDs[source]
	if !ok {
		return &DecodeError{Reason: UnknownPeer}
	}
	if len(b) <= peerPrefixSize {
		return &DecodeError{Offset: len(b), Reason: TooShort}
	}
	if b[1] == peerMessage {
		r.From, r.Shard, r.Message = from, b[peerPrefixSize], b[peerPrefixSize+1:]
		a.Counters.FromPeer.Add(1)
		return nil
	}
	pass, inner, err := balancer.ParsePassHeader(b[peerPrefixSize:])
	if err != nil || b[1] != peerPacket {
		return &DecodeError{Offset: peerPrefixSize, Reason: BadPassHeader}
	}
	r.Header = Header{}
	r.Packet = balancer.Packet{Source: balancer.FromPeer, Header: pass, Payload: inner}
	if err := a.decodeInner(d, x, r, pass.Mode == balancer.Answer); err != nil {
		return err
	}
	a.Counters.FromPeer.Add(1)
	return nil
}

func (a *Adapter) decodeTarget(d *Decoder, x *index, r *Received, id fleet.TargetID) error {
	r.Packet.Source = balancer.FromTarget
	r.Packet.Target = id
	if err := a.decodeInner(d, x, r, true); err != nil {
		return err
	}
	a.Counters.FromTarget.Add(1)
	return nil
}

func (a *Adapter) decodeFabric(d *Decoder, x *index, r *Received, source netip.AddrPort) error {
	if !a.isFabricSource(source.Addr()) {
		return &DecodeError{Reason: UnknownPeer}
	}
	if r.Header.Control {
		return &DecodeError{Offset: 1, Reason: UnexpectedControl}
	}
	r.Packet.Source = balancer.FromFabric
	// Only targets may end a flow with a Geneve option.
	r.Header.Done, r.Header.Shed = false, false
	if err := a.decodeInner(d, x, r, false); err != nil {
		return err
	}
	a.Counters.FromFabric.Add(1)
	return nil
}

func (a *Adapter) isFabricSource(source netip.Addr) bool {
	if len(a.Sources) == 0 {
		return true
	}
	for _, p := range a.Sources {
		if p.Contains(source) {
			return true
		}
	}
	return false
}

// decodeInner decodes the inner packet and sets the flow, start, instance and
// end of r.Packet. If response is true, a target sent the inner packet. The
// destination of a response is the caller, except if the target returns the
// caller's start packet. If the target shed the request without returning the
// start packet, decodeInner sets the payload to nil, because there is no packet
// to forward again.
func (a *Adapter) decodeInner(d *Decoder, x *index, r *Received, response bool) error {
	in, err := d.Decode(r.Packet.Payload)
	if err != nil {
		return err
	}
	p := &r.Packet
	p.Flow = fleet.FlowKey{Caller: in.Source, VIP: in.Destination, Protocol: in.Protocol}
	// With RequestShed, a target may return the caller's start packet, whose
	// destination is the listener.
	returnedStart := response && x.view.Listener(p.Flow.VIP, p.Flow.Protocol) != nil
	if response && !returnedStart {
		p.Flow.Caller, p.Flow.VIP = in.Destination, in.Source
	}
	if x.view.Listener(p.Flow.VIP, p.Flow.Protocol) == nil {
		return &DecodeError{Reason: UnknownListener}
	}
	shed := r.Header.Shed || p.Header.Mode == balancer.Answer && balancer.End(p.Header.Step) == balancer.Shed
	if returnedStart && !shed {
		return &DecodeError{Reason: BadInner}
	}
	if shed && !returnedStart {
		p.Payload = nil
	}
	if !response {
		p.Start, p.Instance = in.Start, in.Instance
	}
	p.End = in.End
	switch {
	case r.Header.Shed:
		p.End = balancer.Shed
	case r.Header.Done:
		p.End = balancer.Done
	}
	return nil
}
