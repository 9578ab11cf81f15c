package geneve

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxCachedAddresses is the maximum number of socket addresses that a Sender
// caches. When this number is reached, the cache is cleared.
const maxCachedAddresses = 1 << 16

// Sender executes actions of the core. It sends the resulting datagrams in
// batches and is not safe for concurrent use.
type Sender struct {
	adapter   *Adapter
	shard     uint8
	conn      *ipv4.PacketConn
	decoder   *Decoder
	batch     []ipv4.Message
	queued    int
	addresses map[netip.AddrPort]*net.UDPAddr
}

// NewSender returns a Sender for the socket of the adapter. Control messages of
// the core are sent to the given shard of other VMs.
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

// Execute executes an action. For a Forward that starts a request, remaining is
// the time until the deadline of the request; otherwise remaining is 0. The
// resulting datagram is sent by the next Flush, or earlier if the batch becomes
// full. Execute does not retain the payload.
func (s *Sender) Execute(act *balancer.Action, remaining time.Duration) {
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
		s.sendControl(act)
	}
}

func (s *Sender) forward(act *balancer.Action, remaining time.Duration) {
	listener := s.adapter.index.Load().view.Listener(act.Flow.VIP, act.Flow.Protocol)
	// A packet for one service must never be sent to a target of another, even
	// if the core returns such an action.
	if listener == nil || listener.Service != act.Target.Service {
		s.adapter.Counters.Discard(UnknownTarget)
		return
	}
	h := Header{Flow: act.Flow.Hash(), Deadline: remaining}
	s.queueToTarget(act.Target, &h, act.Payload)
	s.adapter.Counters.Forwarded.Add(1)
}

func (s *Sender) queueToTarget(id fleet.TargetID, h *Header, inner []byte) {
	h.Service = id.Service.Hash()
	b := h.Append(s.nextBuffer(), inner)
	s.queue(append(b, inner...), s.udpAddr(id.Address))
}

func (s *Sender) pass(act *balancer.Action) {
	peer := s.adapter.index.Load().peerAddrs[act.Peer]
	if peer == nil {
		s.adapter.Counters.Discard(UnknownPeer)
		return
	}
	inner := act.Payload
	if len(inner) == 0 {
		// An action without a packet reports the end of a flow. The peer needs
		// an inner packet, whose headers identify this flow.
		inner = s.buildEmpty(act.Flow.VIP, act.Flow.Caller, act.Flow.Protocol)
	}
	b := append(s.nextBuffer(), peerMagic, peerPacket)
	b = act.Header.Append(b)
	s.queue(append(b, inner...), peer)
	s.adapter.Counters.Passed.Add(1)
}

func (s *Sender) sendControl(act *balancer.Action) {
	peer := s.adapter.index.Load().peerAddrs[act.Peer]
	if peer == nil {
		s.adapter.Counters.Discard(UnknownPeer)
		return
	}
	b := append(s.nextBuffer(), peerMagic, peerMessage, s.shard)
	s.queue(append(b, act.Payload...), peer)
	s.adapter.Counters.Messages.Add(1)
}

func (s *Sender) reply(act *balancer.Action) {
	s.queueToFabric(act.Flow, act.Payload)
	s.adapter.Counters.Replied.Add(1)
}

func (s *Sender) queueToFabric(flow fleet.FlowKey, inner []byte) {
	if len(s.adapter.Fabric) == 0 || len(inner) == 0 {
		s.adapter.Counters.Discard(SendFailed)
		return
	}
	h := Header{}
	b := h.Append(s.nextBuffer(), inner)
	to := s.adapter.Fabric[uint64(flow.Hash())%uint64(len(s.adapter.Fabric))]
	s.queue(append(b, inner...), s.udpAddr(to))
}

func (s *Sender) refuse(act *balancer.Action) {
	refused := act.Payload
	if len(refused) == 0 {
		refused = s.buildEmpty(act.Flow.Caller, act.Flow.VIP, act.Flow.Protocol)
	}
	inner, err := s.decoder.Refusal(refused)
	if err != nil {
		s.adapter.Counters.Discard(BadInner)
		return
	}
	if inner == nil {
		return
	}
	s.queueToFabric(act.Flow, inner)
	s.adapter.Counters.Refused.Add(1)
}

// cancel sends a control packet whose inner headers identify the flow.
func (s *Sender) cancel(act *balancer.Action) {
	inner := s.buildEmpty(act.Flow.Caller, act.Flow.VIP, act.Flow.Protocol)
	if inner == nil {
		return
	}
	h := Header{Control: true, Cancel: true, Flow: act.Flow.Hash()}
	s.queueToTarget(act.Target, &h, inner)
	s.adapter.Counters.Cancelled.Add(1)
}

// buildEmpty builds a packet without data that identifies a flow. On failure it
// counts a discarded datagram and returns nil.
func (s *Sender) buildEmpty(source, destination netip.AddrPort, p fleet.Protocol) []byte {
	inner, err := BuildEmpty(source, destination, p)
	if err != nil {
		s.adapter.Counters.Discard(BadInner)
	}
	return inner
}

// Discard counts a packet that is dropped before it is passed to Execute.
func (s *Sender) Discard(r Reason) { s.adapter.Counters.Discard(r) }

// nextBuffer returns the empty buffer of the next datagram.
func (s *Sender) nextBuffer() []byte { return s.batch[s.queued].Buffers[0][:0] }

func (s *Sender) queue(b []byte, to *net.UDPAddr) {
	s.batch[s.queued].Buffers[0] = b
	s.batch[s.queued].Addr = to
	s.queued++
	if s.queued == len(s.batch) {
		s.Flush()
	}
}

// Flush sends the queued datagrams. A datagram that can't be sent is counted as
// discarded and not sent again, since UDP does not guarantee delivery.
func (s *Sender) Flush() {
	for sent := 0; sent < s.queued; {
		n, err := s.conn.WriteBatch(s.batch[sent:s.queued], 0)
		sent += max(n, 0)
		if err != nil {
			s.adapter.Counters.Discard(SendFailed)
			sent++
		}
	}
	s.queued = 0
}

func (s *Sender) udpAddr(a netip.AddrPort) *net.UDPAddr {
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
