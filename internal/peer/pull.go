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
	// pullTimeout is the maximum duration of a pull; it is long enough for a
	// full delta over a slow link.
	pullTimeout = 3 * time.Second
	// connTimeout is the time after which the server closes a connection. A VM
	// pulls about once per change of the settings. Therefore, keeping
	// connections open would save little.
	connTimeout = 10 * time.Second
	// maxPullConns limits the connections that one process serves at once.
	maxPullConns = 128
	// maxRequestSize limits the bytes that the server reads from one
	// connection. A pull has a few hundred bytes, but gob would read up to a
	// gigabyte.
	maxRequestSize = 64 << 10
)

type (
	// Exchange is the argument and the reply of a pull: an encoded
	// spread.Message and the id of the VM that sent the message.
	Exchange struct {
		From    fleet.VMID
		Message []byte
	}

	// PullError reports a pull that failed.
	PullError struct {
		Peer netip.AddrPort
		Err  error
	}

	// AnswerFunc returns the reply to a pull. It may block.
	AnswerFunc func(from fleet.VMID, m spread.Message) (spread.Message, error)
)

// Error names the peer.
func (e *PullError) Error() string { return fmt.Sprintf("pull from %s: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *PullError) Unwrap() error { return e.Err }

// PullServer answers pulls on a TCP listener. Exported fields must be set
// before Run.
type PullServer struct {
	Self     fleet.VMID
	Listener net.Listener
	Answer   AnswerFunc

	rejected atomic.Uint64
}

// pullHandler serves the RPC calls of one connection. served is true once
// Answer has returned an answer without an error.
type pullHandler struct {
	server *PullServer
	served bool
}

// limitedConn is a connection from which at most maxRequestSize bytes can be
// read.
type limitedConn struct {
	net.Conn
	limitedReader io.Reader
}

// Read returns io.EOF after maxRequestSize bytes.
func (c *limitedConn) Read(p []byte) (int, error) { return c.limitedReader.Read(p) }

// RejectedConns returns the number of connections that were closed because
// maxPullConns were already open, or on which no pull was answered.
func (s *PullServer) RejectedConns() uint64 { return s.rejected.Load() }

// Pull decodes the message and replies with the encoded answer.
func (h *pullHandler) Pull(arg *Exchange, reply *Exchange) error {
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

// Run serves until ctx ends; it returns a SocketError if the listener fails.
func (s *PullServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	sem := make(chan struct{}, maxPullConns)
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
		case sem <- struct{}{}:
		default:
			s.rejected.Add(1)
			conn.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-sem }()
			s.serveConn(ctx, conn)
		})
	}
}

func (s *PullServer) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	h := &pullHandler{server: s}
	server := rpc.NewServer()
	if server.RegisterName(pullService, h) != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	// SetDeadline fails only if the connection is already closed.
	_ = conn.SetDeadline(time.Now().Add(connTimeout))
	server.ServeConn(&limitedConn{Conn: conn, limitedReader: io.LimitReader(conn, maxRequestSize)})
	if !h.served {
		s.rejected.Add(1)
	}
}

// Pull sends a message to the pull server at an address and returns the sender
// and the content of the answer, or a PullError.
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
