package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

const (
	pullService = "Spread"
	pullMethod  = pullService + ".Pull"
	// pullTimeout covers a full delta over a slow link.
	pullTimeout = 3 * time.Second
	// idleTimeout closes connections that carry no pull; a VM pulls once a
	// change, so that open connections are of little use.
	idleTimeout = 10 * time.Second
	// maxPullConns bounds the pulls that one process serves at once.
	maxPullConns = 128
	// maxRequest bounds what one connection may send; a pull has some hundred
	// bytes, and gob would read up to a gigabyte.
	maxRequest = 64 << 10
)

type (
	// Exchange is the argument and the reply of a pull: an encoded message of
	// package spread and its sender.
	Exchange struct {
		From    fleet.VMID
		Message []byte
	}

	// PullError reports a pull that got no delta.
	PullError struct {
		Peer netip.AddrPort
		Err  error
	}

	// Answer returns the reply to a pull; it may block.
	Answer func(from fleet.VMID, m spread.Message) (spread.Message, error)
)

// Error names the peer.
func (e *PullError) Error() string { return fmt.Sprintf("pull from %s: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *PullError) Unwrap() error { return e.Err }

// Server answers pulls on a TCP listener. Exported fields are set before Run.
type Server struct {
	Self     fleet.VMID
	Listener net.Listener
	Answer   Answer

	rejected atomic.Uint64
}

// handler is the receiver of the calls of one connection.
type handler struct {
	server *Server
	served bool
}

// limitedConn ends after maxRequest bytes.
type limitedConn struct {
	net.Conn
	limited io.Reader
}

// Read returns io.EOF after maxRequest bytes.
func (c *limitedConn) Read(p []byte) (int, error) { return c.limited.Read(p) }

// Rejected returns the connections that brought no valid pull.
func (s *Server) Rejected() uint64 { return s.rejected.Load() }

// Pull decodes the message, and encodes its answer.
func (h *handler) Pull(arg *Exchange, reply *Exchange) error {
	m, err := spread.Decode(arg.Message)
	if err != nil {
		return err
	}
	answer, err := h.server.Answer(arg.From, m)
	if err != nil {
		return err
	}
	h.served = true
	reply.From = h.server.Self
	reply.Message, err = answer.Encode()
	return err
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxPullConns)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return &SocketError{Op: "accept", Err: err}
		}
		select {
		case slots <- struct{}{}:
		default:
			s.rejected.Add(1)
			conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			s.serveOne(ctx, conn)
		})
	}
}

func (s *Server) serveOne(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	h := &handler{server: s}
	server := rpc.NewServer()
	if server.RegisterName(pullService, h) != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// A connection that can't be given a deadline is already closed.
	_ = conn.SetDeadline(time.Now().Add(idleTimeout))
	server.ServeConn(&limitedConn{Conn: conn, limited: io.LimitReader(conn, maxRequest)})
	if !h.served {
		s.rejected.Add(1)
	}
}

// Pull sends a message to the pull server at an address and returns its
// answer; it returns a PullError.
func Pull(ctx context.Context, self fleet.VMID, to netip.AddrPort, m spread.Message) (fleet.VMID, spread.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	from, answer, err := pull(ctx, self, to, m)
	if err != nil {
		return "", spread.Message{}, &PullError{Peer: to, Err: err}
	}
	return from, answer, nil
}

func pull(ctx context.Context, self fleet.VMID, to netip.AddrPort, m spread.Message) (fleet.VMID, spread.Message, error) {
	body, err := m.Encode()
	if err != nil {
		return "", spread.Message{}, err
	}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return "", spread.Message{}, err
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	reply := new(Exchange)
	call := client.Go(pullMethod, &Exchange{From: self, Message: body}, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return "", spread.Message{}, ctx.Err()
	case <-call.Done:
	}
	if call.Error != nil {
		return "", spread.Message{}, call.Error
	}
	answer, err := spread.Decode(reply.Message)
	return reply.From, answer, err
}
