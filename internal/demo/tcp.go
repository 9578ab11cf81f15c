package demo

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"bamboowalk.org/bamboowalk/internal/geneve"
)

// tcpRetransmitInterval is the interval at which a caller repeats its last
// segment until it gets the expected reply.
const tcpRetransmitInterval = 250 * time.Millisecond

const (
	callerISN = 1000
	targetISN = 5000
	tcpWindow = 65535
)

// tcpResetError reports that the connection was reset, before or after it was
// established.
type tcpResetError struct{ established bool }

func (e *tcpResetError) Error() string { return "connection reset" }

// Unwrap returns ECONNRESET if the connection was established, and ECONNREFUSED
// otherwise.
func (e *tcpResetError) Unwrap() error {
	if e.established {
		return syscall.ECONNRESET
	}
	return syscall.ECONNREFUSED
}

func parseTCP(packet []byte) *layers.TCP {
	p := gopacket.NewPacket(packet, layers.LayerTypeIPv4, gopacket.DecodeOptions{NoCopy: true})
	tcp, _ := p.TransportLayer().(*layers.TCP)
	return tcp
}

// tcpServer is a minimal TCP server. It reads one line on each connection,
// responds with one line and closes the connection. It has no retransmission
// timer: it repeats a reply only when the caller retransmits.
type tcpServer struct {
	target    *target
	mu        sync.Mutex
	responses map[netip.AddrPort]string
}

func newTCPServer(t *target) *tcpServer {
	return &tcpServer{target: t, responses: make(map[netip.AddrPort]string)}
}

func (s *tcpServer) handleSegment(in geneve.Inner, packet []byte) {
	tcp := parseTCP(packet)
	if tcp == nil || tcp.RST {
		return
	}
	switch {
	case tcp.SYN:
		s.send(in.Source, &layers.TCP{SYN: true, ACK: true, Seq: targetISN, Ack: tcp.Seq + 1}, nil)
	case len(tcp.Payload) > 0:
		line := s.respond(in.Source, string(tcp.Payload))
		ack := tcp.Seq + uint32(len(tcp.Payload))
		s.send(in.Source, &layers.TCP{ACK: true, PSH: true, FIN: true, Seq: targetISN + 1, Ack: ack}, []byte(line))
	case tcp.FIN:
		s.send(in.Source, &layers.TCP{ACK: true, Seq: tcp.Ack, Ack: tcp.Seq + 1}, nil)
	}
}

// respond executes the request of a connection and returns the response. For a
// retransmitted request, it returns the first response again.
func (s *tcpServer) respond(caller netip.AddrPort, line string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if previous, ok := s.responses[caller]; ok {
		return previous
	}
	id := strings.TrimSpace(line)
	s.target.audit.recordRun(id)
	response := responseBody(s.target.service, id)
	s.responses[caller] = response
	return response
}

func (s *tcpServer) send(caller netip.AddrPort, tcp *layers.TCP, data []byte) {
	tcp.Window = tcpWindow
	s.target.reply(caller, func(vip netip.AddrPort) ([]byte, error) { return geneve.BuildTCP(vip, caller, tcp, data) })
}

// tcpCaller is the client side of one TCP connection.
type tcpCaller struct {
	fabric      *fabric
	source, vip netip.AddrPort
	segments    chan *layers.TCP
}

func (c *tcpCaller) deliver(_ geneve.Inner, packet []byte) {
	tcp := parseTCP(packet)
	if tcp == nil {
		return
	}
	segment := *tcp
	segment.Payload = append([]byte(nil), tcp.Payload...)
	select {
	case c.segments <- &segment:
	default:
	}
}

// do opens the connection, sends a line and returns the response.
func (c *tcpCaller) do(ctx context.Context, line string) (string, error) {
	c.fabric.register(c.source, c)
	defer c.fabric.unregister(c.source)
	syn := &layers.TCP{SYN: true, Seq: callerISN}
	if _, err := c.exchange(ctx, syn, nil, func(r *layers.TCP) bool { return r.SYN && r.ACK }); err != nil {
		return "", markEstablished(err, false)
	}
	request := &layers.TCP{ACK: true, PSH: true, Seq: callerISN + 1, Ack: targetISN + 1}
	response, err := c.exchange(ctx, request, []byte(line), func(r *layers.TCP) bool { return r.FIN && len(r.Payload) > 0 })
	if err != nil {
		return "", markEstablished(err, true)
	}
	fin := &layers.TCP{ACK: true, FIN: true, Seq: response.Ack, Ack: response.Seq + uint32(len(response.Payload)) + 1}
	// The response is complete, so the result of closing the connection is
	// ignored.
	finCtx, cancel := context.WithTimeout(ctx, 4*tcpRetransmitInterval)
	defer cancel()
	_, _ = c.exchange(finCtx, fin, nil, func(r *layers.TCP) bool { return r.ACK && !r.FIN && len(r.Payload) == 0 })
	return string(response.Payload), nil
}

// markEstablished returns err. If err wraps a tcpResetError, markEstablished
// first sets the established field of the tcpResetError.
func markEstablished(err error, established bool) error {
	var reset *tcpResetError
	if errors.As(err, &reset) {
		reset.established = established
	}
	return err
}

func (c *tcpCaller) exchange(ctx context.Context, tcp *layers.TCP, data []byte, match func(*layers.TCP) bool) (*layers.TCP, error) {
	tcp.Window = tcpWindow
	packet, err := geneve.BuildTCP(c.source, c.vip, tcp, data)
	if err != nil {
		return nil, err
	}
	tick := time.NewTicker(tcpRetransmitInterval)
	defer tick.Stop()
	c.fabric.send(packet)
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
			c.fabric.send(packet)
		case r := <-c.segments:
			if r.RST {
				return nil, &tcpResetError{}
			}
			if match(r) {
				return r, nil
			}
		}
	}
}
