package geneve

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxCachedAddresses bounds the table of socket addresses of a Sender.
const maxCachedAddresses = 1 << 16

// Sender carries out actions and sends datagrams in batches; it serves one
// goroutine.
type Sender struct {
	adapter   *Adapter
	shard     uint8
	conn      *ipv4.PacketConn
	decoder   *Decoder
	batch     []ipv4.Message
	used      int
	addresses map[netip.AddrPort]*net.UDPAddr
}

// NewSender returns a Sender for the socket of the adapter. Control messages
// of the core go to the same shard of other VMs.
func (a *Adapter) NewSender(shard uint8) *Sender {
	s := &Sender{
		adapter:   a,
		shard:     shard,
		conn:      ipv4.NewPacketConn(a.Conn),
		decoder:   NewDecoder(),
		batch:     make([]ipv4.Message, batchSize),
		addresses: make(map[netip.AddrPort]*net.UDPAddr),
	}
	for i := range s.batch {
		s.batch[i].Buffers = [][]byte{make([]byte, 0, bufferSize)}
	}
	return s
}

// Do carries out an action. remaining is the time until the deadline of a
// request that Forward starts, or 0. Datagrams leave with the next Flush, or
// when the batch is full; the payload of the action is not kept.
func (s *Sender) Do(act *balancer.Action, remaining time.Duration) {
	switch act.Op {
	case balancer.Forward:
		s.forward(act, remaining)
	case balancer.Pass:
		s.pass(act)
	case balancer.Reply:
		s.reply(act)
	case balancer.Refuse:
		s.refuse(act)
	case balancer.Cancel:
		s.cancel(act)
	case balancer.Control:
		s.message(act)
	}
}

func (s *Sender) forward(act *balancer.Action, remaining time.Duration) {
	listener := s.adapter.index.Load().view.Listener(act.Flow.VIP, act.Flow.Protocol)
	// A packet of one service must never reach another, whatever the core says.
	if listener == nil || listener.Service != act.Target.Service {
		s.adapter.Counters.Discard(UnknownTarget)
		return
	}
	h := Header{Flow: act.Flow.Hash(), Deadline: remaining}
	s.toTarget(act.Target, &h, act.Payload)
	s.adapter.Counters.Forwarded.Add(1)
}

func (s *Sender) toTarget(id fleet.TargetID, h *Header, inner []byte) {
	h.Service = id.Service.Hash()
	b := h.Append(s.next(), inner)
	s.queue(append(b, inner...), s.address(id.Address))
}

func (s *Sender) pass(act *balancer.Action) {
	peer := s.adapter.index.Load().peers[act.Peer]
	if peer == nil {
		s.adapter.Counters.Discard(UnknownPeer)
		return
	}
	inner := act.Payload
	if len(inner) == 0 {
		// An end without a packet: the headers name the flow.
		inner = s.bare(act.Flow.VIP, act.Flow.Caller, act.Flow.Protocol)
	}
	b := append(s.next(), peerMagic, peerPacket)
	b = act.Header.Append(b)
	s.queue(append(b, inner...), peer)
	s.adapter.Counters.Passed.Add(1)
}

func (s *Sender) message(act *balancer.Action) {
	peer := s.adapter.index.Load().peers[act.Peer]
	if peer == nil {
		s.adapter.Counters.Discard(UnknownPeer)
		return
	}
	b := append(s.next(), peerMagic, peerMessage, s.shard)
	s.queue(append(b, act.Payload...), peer)
	s.adapter.Counters.Messages.Add(1)
}

func (s *Sender) reply(act *balancer.Action) {
	s.toFabric(act.Flow, act.Payload)
	s.adapter.Counters.Replied.Add(1)
}

func (s *Sender) toFabric(flow fleet.FlowKey, inner []byte) {
	if len(s.adapter.Fabric) == 0 || len(inner) == 0 {
		s.adapter.Counters.Discard(SendFailed)
		return
	}
	h := Header{}
	b := h.Append(s.next(), inner)
	to := s.adapter.Fabric[uint64(flow.Hash())%uint64(len(s.adapter.Fabric))]
	s.queue(append(b, inner...), s.address(to))
}

func (s *Sender) refuse(act *balancer.Action) {
	refused := act.Payload
	if len(refused) == 0 {
		refused = s.bare(act.Flow.Caller, act.Flow.VIP, act.Flow.Protocol)
	}
	inner, err := s.decoder.Refusal(refused)
	if err != nil {
		s.adapter.Counters.Discard(BadInner)
		return
	}
	if inner == nil {
		return
	}
	s.toFabric(act.Flow, inner)
	s.adapter.Counters.Refused.Add(1)
}

// cancel sends a control packet whose inner headers name the flow.
func (s *Sender) cancel(act *balancer.Action) {
	inner := s.bare(act.Flow.Caller, act.Flow.VIP, act.Flow.Protocol)
	if inner == nil {
		return
	}
	h := Header{Control: true, Cancel: true, Flow: act.Flow.Hash()}
	s.toTarget(act.Target, &h, inner)
	s.adapter.Counters.Cancelled.Add(1)
}

// bare builds a packet that names a flow; it counts a failure and returns nil.
func (s *Sender) bare(source, destination netip.AddrPort, p fleet.Protocol) []byte {
	inner, err := BuildBare(source, destination, p)
	if err != nil {
		s.adapter.Counters.Discard(BadInner)
	}
	return inner
}

// Discard counts a packet that the caller of Do drops.
func (s *Sender) Discard(r Reason) { s.adapter.Counters.Discard(r) }

// next returns the empty buffer of the next datagram.
func (s *Sender) next() []byte { return s.batch[s.used].Buffers[0][:0] }

func (s *Sender) queue(b []byte, to *net.UDPAddr) {
	s.batch[s.used].Buffers[0] = b
	s.batch[s.used].Addr = to
	s.used++
	if s.used == len(s.batch) {
		s.Flush()
	}
}

// Flush sends the queued datagrams. A datagram that can't be sent is counted
// and skipped, since UDP promises no delivery.
func (s *Sender) Flush() {
	for sent := 0; sent < s.used; {
		n, err := s.conn.WriteBatch(s.batch[sent:s.used], 0)
		sent += max(n, 0)
		if err != nil {
			s.adapter.Counters.Discard(SendFailed)
			sent++
		}
	}
	s.used = 0
}

func (s *Sender) address(a netip.AddrPort) *net.UDPAddr {
	if known := s.addresses[a]; known != nil {
		return known
	}
	if len(s.addresses) >= maxCachedAddresses {
		clear(s.addresses)
	}
	addr := net.UDPAddrFromAddrPort(a)
	s.addresses[a] = addr
	return addr
}
