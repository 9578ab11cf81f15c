package demo

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	targetSlots           = 3
	targetConnectionLimit = 4500
	announceInterval      = time.Second
	// handshakeTimeout is the idle timeout of QUIC handshakes; it has the default
	// value of quic-go.
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 10 * time.Second
	// ownerFallbackDelay is the time without packets from a flow's caller after
	// which the target sends the responses of the flow to the target's owner, if
	// the owner is known, and no longer to the entry VM that forwarded the last
	// packet.
	ownerFallbackDelay = time.Second
)

type (
	// target is a fake backend that receives Geneve datagrams from entry VMs. It
	// serves HTTP/3 and the minimal TCP of tcpServer.
	target struct {
		zone     fleet.ZoneID
		service  fleet.ServiceID
		conn     *net.UDPConn
		address  netip.AddrPort
		fabric   netip.AddrPort
		entryVMs func() []fleet.VM // entry VMs of the zone
		audit    *auditLog

		mu            sync.Mutex
		flows         map[netip.AddrPort]*callerFlow
		openConns     int
		owner         netip.AddrPort // data address of the owner, from the last accepted announcement
		state         announce.State
		drainedAt     time.Time
		lastNewFlow   time.Time
		quicPackets   *packetQueue
		server        *http3.Server
		client        *http.Client
		tcp           *tcpServer
		acceptedConns atomic.Int64
	}

	// callerFlow is the state that a target keeps of one caller's flow.
	callerFlow struct {
		vip        netip.AddrPort
		entryVM    netip.AddrPort // outer source of the last packet
		proto      fleet.Protocol
		lastPacket time.Time
		conn       *quic.Conn
	}
)

func newTarget(zone fleet.ZoneID, service fleet.ServiceID, fabric netip.AddrPort, l *auditLog, entryVMs func() []fleet.VM) (*target, error) {
	conn, err := listenUDP()
	if err != nil {
		return nil, err
	}
	t := &target{
		zone: zone, service: service, fabric: fabric, conn: conn,
		address:  conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		entryVMs: entryVMs, audit: l, state: announce.Ready,
		flows: make(map[netip.AddrPort]*callerFlow), quicPackets: newPacketQueue(),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.tcp = newTCPServer(t)
	return t, nil
}

// serve runs the target until ctx is done.
func (t *target) serve(ctx context.Context, tlsConfig *tls.Config, handler http.Handler) error {
	t.server = &http3.Server{
		Handler:     handler,
		TLSConfig:   http3.ConfigureTLSConfig(tlsConfig.Clone()),
		QUICConfig:  quicConfig(),
		ConnContext: t.trackConn,
	}
	stop := context.AfterFunc(ctx, func() {
		t.server.Close()
		t.quicPackets.Close()
		t.conn.Close()
	})
	defer stop()
	go t.receive()
	err := t.server.Serve(&targetConn{packetQueue: t.quicPackets, target: t})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// trackConn counts a new connection and stores the connection in the caller's
// flow. It arranges that endFlow is called when the connection ends.
func (t *target) trackConn(ctx context.Context, c *quic.Conn) context.Context {
	t.acceptedConns.Add(1)
	caller := addrPortOf(c.RemoteAddr())
	t.mu.Lock()
	t.openConns++
	if flow := t.flows[caller]; flow != nil {
		flow.conn = c
	}
	t.mu.Unlock()
	context.AfterFunc(c.Context(), func() { t.endFlow(caller) })
	return ctx
}

// cancelRequest closes the connection of a caller whose request an entry VM
// cancelled.
func (t *target) cancelRequest(caller netip.AddrPort) {
	t.mu.Lock()
	flow := t.flows[caller]
	t.mu.Unlock()
	if flow != nil && flow.conn != nil {
		// An error means that the connection is already closed.
		_ = flow.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeRequestCanceled), "deadline passed")
	}
}

// endFlow sends a notification that the caller's flow has ended to the entry VM
// whose address replyDestination returns.
func (t *target) endFlow(caller netip.AddrPort) {
	t.mu.Lock()
	// The flow stays in the map, because reply needs it to send the last
	// packets of the connection.
	flow := t.flows[caller]
	t.openConns--
	t.mu.Unlock()
	if flow == nil {
		return
	}
	inner, err := geneve.BuildEmpty(flow.vip, caller, flow.proto)
	if err != nil {
		return
	}
	t.mu.Lock()
	destination := t.replyDestination(flow)
	t.mu.Unlock()
	t.sendTo(destination, &geneve.Header{Control: true, Done: true}, inner)
}

func (t *target) sendTo(to netip.AddrPort, h *geneve.Header, inner []byte) {
	b := append(h.Append(nil, inner), inner...)
	// QUIC and TCP tolerate lost datagrams.
	_, _ = t.conn.WriteToUDPAddrPort(b, to)
}

// reply sends a packet to the caller: through the entry VM that
// replyDestination returns, or through the fabric directly for lookups. It sends
// nothing if the flow is unknown.
func (t *target) reply(caller netip.AddrPort, build func(vip netip.AddrPort) ([]byte, error)) {
	t.mu.Lock()
	flow := t.flows[caller]
	h := geneve.Header{HasLoad: true, Load: geneve.Load{SlotsInUse: uint16(t.openConns), Connections: uint32(t.openConns)}}
	var vip, destination netip.AddrPort
	if flow != nil {
		vip, destination = flow.vip, t.replyDestination(flow)
		// The listener of lookups has direct answers, which bypass entry VMs.
		if vip == lookupVIP {
			destination = t.fabric
		}
	}
	t.mu.Unlock()
	if flow == nil {
		return
	}
	inner, err := build(vip)
	if err != nil {
		return
	}
	t.audit.addPackets(caller, 0, 1)
	t.sendTo(destination, &h, inner)
}

// replyDestination returns the data address of the entry VM to which responses
// of the flow go: the entry VM that forwarded the flow's last packet or, after
// ownerFallbackDelay without packets, the target's owner if it is known. t.mu
// must be held.
func (t *target) replyDestination(flow *callerFlow) netip.AddrPort {
	if t.owner.IsValid() && time.Since(flow.lastPacket) > ownerFallbackDelay {
		return t.owner
	}
	return flow.entryVM
}

func (t *target) receive() {
	decoder := geneve.NewDecoder()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, inner, err := geneve.ParseHeader(buf[:n])
		if err != nil || h.Service != t.service.Hash() {
			continue
		}
		in, err := decoder.Decode(inner)
		if err != nil {
			continue
		}
		if h.Control {
			if h.Cancel {
				t.cancelRequest(in.Source)
			}
			continue
		}
		t.handlePacket(in, inner, from)
	}
}

func (t *target) handlePacket(in geneve.Inner, packet []byte, from netip.AddrPort) {
	now := time.Now()
	t.mu.Lock()
	flow := t.flows[in.Source]
	isNew := flow == nil
	if isNew {
		flow = &callerFlow{vip: in.Destination, proto: in.Protocol}
		t.flows[in.Source] = flow
		if in.Start {
			t.lastNewFlow = now
		}
	}
	flow.entryVM = from
	flow.lastPacket = now
	t.mu.Unlock()
	t.audit.addPackets(in.Source, 1, 0)
	if isNew && in.Start {
		t.audit.recordTarget(in.Source, t)
	}
	if in.Protocol == fleet.TCP {
		t.tcp.handleSegment(in, packet)
		return
	}
	data := append([]byte(nil), in.Data...)
	t.quicPackets.enqueue(datagram{data: data, from: net.UDPAddrFromAddrPort(in.Source)})
}

// announceLoop announces the target periodically until ctx is done, so that the
// lease of the target does not expire.
func (t *target) announceLoop(ctx context.Context) error {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		t.announce(ctx, n)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// announce sends one announcement to the entry VMs of the zone, one after the
// other, until one accepts the announcement. turn selects the first entry VM.
func (t *target) announce(ctx context.Context, turn int) {
	t.mu.Lock()
	state := t.state
	t.mu.Unlock()
	a := &announce.Announcement{
		Service: t.service, Address: t.address, Slots: targetSlots, ConnectionLimit: targetConnectionLimit,
		State: state, Credential: credential, Incarnation: 1,
	}
	vms := t.entryVMs()
	for i := range vms {
		vm := vms[(turn+i)%len(vms)]
		if grant, err := announce.Announce(ctx, t.client, vm.HTTP, a); err == nil {
			t.mu.Lock()
			t.owner = grant.OwnerData
			t.mu.Unlock()
			return
		}
	}
}

// drain announces that the target is draining and must get no new flows.
func (t *target) drain(ctx context.Context) {
	t.mu.Lock()
	t.state = announce.Draining
	t.drainedAt = time.Now()
	t.mu.Unlock()
	t.announce(ctx, 0)
}

// lastNewFlowAfterDrain returns the time from the start of the drain to the last
// new flow of the target, or 0 if there was none after the start.
func (t *target) lastNewFlowAfterDrain() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.lastNewFlow.Sub(t.drainedAt))
}

// targetConn is the net.PacketConn of the target's HTTP/3 server.
type targetConn struct {
	*packetQueue
	target *target
}

var _ net.PacketConn = (*targetConn)(nil)

// WriteTo sends a UDP payload to a caller.
func (c *targetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	caller := addrPortOf(to)
	c.target.reply(caller, func(vip netip.AddrPort) ([]byte, error) { return geneve.BuildUDP(vip, caller, b) })
	return len(b), nil
}

// addrPortOf returns the address of a *net.UDPAddr. It converts an IPv4-mapped
// IPv6 address to IPv4, because decoded packets contain IPv4 addresses.
func addrPortOf(a net.Addr) netip.AddrPort {
	ap := a.(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// LocalAddr returns the address of the target.
func (c *targetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.target.address) }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:    handshakeTimeout,
		MaxIdleTimeout:          idleTimeout,
		DisablePathMTUDiscovery: true,
	}
}
