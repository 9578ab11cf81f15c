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
	targetSlots       = 3
	targetConnections = 4500
	announceInterval  = time.Second
	// handshakeTimeout is the default of quic-go.
	handshakeTimeout = 5 * time.Second
	idleTimeout      = 10 * time.Second
	// silence is the time without packets of a flow after which the target
	// sends its responses to its owner.
	silence = time.Second
)

type (
	// target stands in for a back end: it takes Geneve datagrams from entry VMs
	// and serves HTTP/3 and a few TCP segments.
	target struct {
		zone    fleet.ZoneID
		service fleet.ServiceID
		conn    *net.UDPConn
		address netip.AddrPort
		fabric  netip.AddrPort
		entries func() []fleet.VM // entry VMs of the zone
		ledger  *ledger

		mu       sync.Mutex
		peers    map[netip.AddrPort]*callerFlow
		inFlight int
		owner    netip.AddrPort // data address of the owner, by the last announcement
		state    announce.State
		drained  time.Time
		lastNew  time.Time
		quic     *pipe
		server   *http3.Server
		client   *http.Client
		tcp      *tcpServer
		accepted atomic.Int64
	}

	// callerFlow is what a target knows of one caller's flow.
	callerFlow struct {
		vip   netip.AddrPort
		entry netip.AddrPort // outer source of the last packet
		proto fleet.Protocol
		seen  time.Time
		conn  *quic.Conn
	}
)

func newTarget(zone fleet.ZoneID, service fleet.ServiceID, fabric netip.AddrPort, l *ledger, entries func() []fleet.VM) (*target, error) {
	conn, err := listenUDP()
	if err != nil {
		return nil, err
	}
	t := &target{
		zone: zone, service: service, fabric: fabric, conn: conn,
		address: conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		entries: entries, ledger: l, state: announce.Ready,
		peers: make(map[netip.AddrPort]*callerFlow), quic: newPipe(),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.tcp = newTCPServer(t)
	return t, nil
}

// serve runs the target until ctx ends.
func (t *target) serve(ctx context.Context, cert *tls.Config, handler http.Handler) error {
	t.server = &http3.Server{
		Handler:     handler,
		TLSConfig:   http3.ConfigureTLSConfig(cert.Clone()),
		QUICConfig:  quicConfig(),
		ConnContext: t.accept,
	}
	stop := context.AfterFunc(ctx, func() {
		t.server.Close()
		t.quic.Close()
		t.conn.Close()
	})
	defer stop()
	go t.receive()
	err := t.server.Serve(&targetConn{pipe: t.quic, target: t})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// accept counts a connection and ends its flow when the connection ends.
func (t *target) accept(ctx context.Context, c *quic.Conn) context.Context {
	t.accepted.Add(1)
	caller := callerOf(c.RemoteAddr())
	t.mu.Lock()
	t.inFlight++
	if p := t.peers[caller]; p != nil {
		p.conn = c
	}
	t.mu.Unlock()
	context.AfterFunc(c.Context(), func() { t.finish(caller) })
	return ctx
}

// cancel closes the connection of a request that the entry VM cancelled.
func (t *target) cancel(caller netip.AddrPort) {
	t.mu.Lock()
	p := t.peers[caller]
	t.mu.Unlock()
	if p != nil && p.conn != nil {
		// An error means that the connection is closed already.
		_ = p.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeRequestCanceled), "deadline passed")
	}
}

// finish tells the entry VM that the flow has ended.
func (t *target) finish(caller netip.AddrPort) {
	t.mu.Lock()
	// The entry stays, since the last packets of the connection follow.
	p := t.peers[caller]
	t.inFlight--
	t.mu.Unlock()
	if p == nil {
		return
	}
	inner, err := geneve.BuildEmpty(p.vip, caller, p.proto)
	if err != nil {
		return
	}
	t.mu.Lock()
	entry := t.route(p)
	t.mu.Unlock()
	t.sendTo(entry, &geneve.Header{Control: true, Done: true}, inner)
}

func (t *target) sendTo(to netip.AddrPort, h *geneve.Header, inner []byte) {
	b := append(h.Append(nil, inner), inner...)
	// A lost datagram is what the protocols expect.
	_, _ = t.conn.WriteToUDPAddrPort(b, to)
}

// reply sends a packet to the caller, through the entry VM that sent the flow's
// last packet or directly.
func (t *target) reply(caller netip.AddrPort, build func(vip netip.AddrPort) ([]byte, error)) {
	t.mu.Lock()
	p := t.peers[caller]
	h := geneve.Header{HasLoad: true, Load: geneve.Load{SlotsInUse: uint16(t.inFlight), Connections: uint32(t.inFlight)}}
	var vip, entry netip.AddrPort
	if p != nil {
		vip, entry = p.vip, t.route(p)
		// Responses of lookups go to the caller directly.
		if vip == lookupVIP {
			entry = t.fabric
		}
	}
	t.mu.Unlock()
	if p == nil {
		return
	}
	inner, err := build(vip)
	if err != nil {
		return
	}
	t.ledger.count(caller, 0, 1)
	t.sendTo(entry, &h, inner)
}

// route returns the entry VM that takes the responses of a flow.
func (t *target) route(p *callerFlow) netip.AddrPort {
	if t.owner.IsValid() && time.Since(p.seen) > silence {
		return t.owner
	}
	return p.entry
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
				t.cancel(in.Source)
			}
			continue
		}
		t.take(in, inner, from)
	}
}

func (t *target) take(in geneve.Inner, packet []byte, from netip.AddrPort) {
	now := time.Now()
	t.mu.Lock()
	p := t.peers[in.Source]
	fresh := p == nil
	if fresh {
		p = &callerFlow{vip: in.Destination, proto: in.Protocol}
		t.peers[in.Source] = p
		if in.Start {
			t.lastNew = now
		}
	}
	p.entry = from
	p.seen = now
	t.mu.Unlock()
	t.ledger.count(in.Source, 1, 0)
	if fresh && in.Start {
		t.ledger.placed(in.Source, t)
	}
	if in.Protocol == fleet.TCP {
		t.tcp.segment(in, packet)
		return
	}
	data := append([]byte(nil), in.Data...)
	t.quic.push(datagram{data: data, from: net.UDPAddrFromAddrPort(in.Source)})
}

// announceLoop keeps the target's lease until ctx ends.
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

// announce tries the entry VMs of the zone in turn until one takes it.
func (t *target) announce(ctx context.Context, turn int) {
	t.mu.Lock()
	state := t.state
	t.mu.Unlock()
	a := &announce.Announcement{
		Service: t.service, Address: t.address, Slots: targetSlots, ConnectionLimit: targetConnections,
		State: state, Credential: credential, Incarnation: 1,
	}
	vms := t.entries()
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

// drain announces that the target takes no new work.
func (t *target) drain(ctx context.Context) {
	t.mu.Lock()
	t.state = announce.Draining
	t.drained = time.Now()
	t.mu.Unlock()
	t.announce(ctx, 0)
}

// newAfterDrain returns how long after its drain the target last got new work;
// it is 0 where it got none.
func (t *target) newAfterDrain() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.lastNew.Sub(t.drained))
}

// targetConn is the net.PacketConn under the target's HTTP/3 server.
type targetConn struct {
	*pipe
	target *target
}

var _ net.PacketConn = (*targetConn)(nil)

// WriteTo sends a UDP payload to a caller.
func (c *targetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	caller := callerOf(to)
	c.target.reply(caller, func(vip netip.AddrPort) ([]byte, error) { return geneve.BuildUDP(vip, caller, b) })
	return len(b), nil
}

// callerOf returns the address in the form that decoded packets have.
func callerOf(a net.Addr) netip.AddrPort {
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
