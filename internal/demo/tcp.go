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

// tcpRetry is the time after which a caller repeats its last segment.
const tcpRetry = 250 * time.Millisecond

const (
	callerISN = 1000
	targetISN = 5000
	window    = 65535
)

// errTCPReset reports a connection that was reset.
type tcpResetError struct{ started bool }

func (e *tcpResetError) Error() string { return "connection reset" }

// Unwrap says whether the connection was refused or reset.
func (e *tcpResetError) Unwrap() error {
	if e.started {
		return syscall.ECONNRESET
	}
	return syscall.ECONNREFUSED
}

func parseTCP(packet []byte) *layers.TCP {
	p := gopacket.NewPacket(packet, layers.LayerTypeIPv4, gopacket.DecodeOptions{NoCopy: true})
	tcp, _ := p.TransportLayer().(*layers.TCP)
	return tcp
}

// tcpServer answers one line with one line and closes. It keeps no timers: the
// caller repeats its segments.
type tcpServer struct {
	target *target
	mu     sync.Mutex
	ran    map[netip.AddrPort]string
}

func newTCPServer(t *target) *tcpServer {
	return &tcpServer{target: t, ran: make(map[netip.AddrPort]string)}
}

func (s *tcpServer) segment(in geneve.Inner, packet []byte) {
	tcp := parseTCP(packet)
	if tcp == nil || tcp.RST {
		return
	}
	switch {
	case tcp.SYN:
		s.send(in.Source, &layers.TCP{SYN: true, ACK: true, Seq: targetISN, Ack: tcp.Seq + 1}, nil)
	case len(tcp.Payload) > 0:
		line := s.answer(in.Source, string(tcp.Payload))
		ack := tcp.Seq + uint32(len(tcp.Payload))
		s.send(in.Source, &layers.TCP{ACK: true, PSH: true, FIN: true, Seq: targetISN + 1, Ack: ack}, []byte(line))
	case tcp.FIN:
		s.send(in.Source, &layers.TCP{ACK: true, Seq: tcp.Ack, Ack: tcp.Seq + 1}, nil)
	}
}

// answer runs the request of a connection once.
func (s *tcpServer) answer(caller netip.AddrPort, line string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.ran[caller]; ok {
		return known
	}
	id := strings.TrimSpace(line)
	s.target.ledger.ran(id)
	answer := content(s.target.service, id)
	s.ran[caller] = answer
	return answer
}

func (s *tcpServer) send(caller netip.AddrPort, tcp *layers.TCP, data []byte) {
	tcp.Window = window
	s.target.reply(caller, func(vip netip.AddrPort) ([]byte, error) { return geneve.BuildTCP(vip, caller, tcp, data) })
}

// tcpCaller is the caller's side of one connection.
type tcpCaller struct {
	fabric      *fabric
	source, vip netip.AddrPort
	in          chan *layers.TCP
}

func (c *tcpCaller) deliver(_ geneve.Inner, packet []byte) {
	tcp := parseTCP(packet)
	if tcp == nil {
		return
	}
	copied := *tcp
	copied.Payload = append([]byte(nil), tcp.Payload...)
	select {
	case c.in <- &copied:
	default:
	}
}

// do sends a line and returns the answer.
func (c *tcpCaller) do(ctx context.Context, line string) (string, error) {
	c.fabric.register(c.source, c)
	defer c.fabric.unregister(c.source)
	syn := &layers.TCP{SYN: true, Seq: callerISN}
	if _, err := c.exchange(ctx, syn, nil, func(r *layers.TCP) bool { return r.SYN && r.ACK }); err != nil {
		return "", started(err, false)
	}
	request := &layers.TCP{ACK: true, PSH: true, Seq: callerISN + 1, Ack: targetISN + 1}
	response, err := c.exchange(ctx, request, []byte(line), func(r *layers.TCP) bool { return r.FIN && len(r.Payload) > 0 })
	if err != nil {
		return "", started(err, true)
	}
	fin := &layers.TCP{ACK: true, FIN: true, Seq: response.Ack, Ack: response.Seq + uint32(len(response.Payload)) + 1}
	// The answer is complete; whether the last ACK arrives does not matter.
	short, cancel := context.WithTimeout(ctx, 4*tcpRetry)
	defer cancel()
	_, _ = c.exchange(short, fin, nil, func(r *layers.TCP) bool { return r.ACK && !r.FIN && len(r.Payload) == 0 })
	return string(response.Payload), nil
}

// started marks a reset as the end of a connection that was established.
func started(err error, established bool) error {
	var reset *tcpResetError
	if errors.As(err, &reset) {
		reset.started = established
	}
	return err
}

func (c *tcpCaller) exchange(ctx context.Context, tcp *layers.TCP, data []byte, want func(*layers.TCP) bool) (*layers.TCP, error) {
	tcp.Window = window
	packet, err := geneve.BuildTCP(c.source, c.vip, tcp, data)
	if err != nil {
		return nil, err
	}
	tick := time.NewTicker(tcpRetry)
	defer tick.Stop()
	c.fabric.send(packet)
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
			c.fabric.send(packet)
		case r := <-c.in:
			if r.RST {
				return nil, &tcpResetError{}
			}
			if want(r) {
				return r, nil
			}
		}
	}
}
