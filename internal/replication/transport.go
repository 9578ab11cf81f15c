package replication

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"go.uber.org/zap"
)

const (
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
	serviceName      = "Replica"
	deliverMethod    = serviceName + ".Deliver"

	// DefaultQueueBytes is the default of Transport.QueueBytes and Loop.QueueBytes.
	DefaultQueueBytes = replica.DefaultMemory / QueuePart
	// QueuePart is the part of the memory of a VM, as a divisor, that each of the two
	// queues may take.
	QueuePart = 32
	// maxCallBytes is the maximum size of one call. Valid calls stay far below it:
	// a batch ends with the message that reaches maxBatchBytes, and no message
	// is larger than a few MiB.
	maxCallBytes = 16 << 20
	// maxConns is the maximum number of accepted connections that are open. Each peer needs one connection, and more
	// after a stall.
	maxConns = 64

	handshakeTimeout = 2 * time.Second
)

type (
	// Transport sends and receives messages between replicas by net/rpc over
	// TCP, with mutual TLS if Keys is set. Messages may be lost. Messages sent
	// over one connection arrive in order. Exported fields must be set before
	// Run.
	Transport struct {
		Self fleet.VMID
		// Listener accepts the connections of peers; Run closes it.
		Listener net.Listener
		// Address returns the TCP address of a peer, or "" if it is unknown.
		Address func(fleet.VMID) string
		// Deliver is called for each valid message. It may block for a short time to
		// apply backpressure, but must return once the context of Run is done. If it
		// returns false, the message and those after it in the same call are lost.
		Deliver func(from fleet.VMID, m replica.Message) bool
		// Keys is nil for connections without TLS.
		Keys *KeyStore
		// QueueBytes is the maximum size in bytes of the commands and snapshots in the
		// messages queued for all peers, DefaultQueueBytes if it is 0. Further messages
		// with commands or snapshots are dropped.
		QueueBytes int
		// Log, if set, is the logger for peers that can't be reached.
		Log *zap.Logger

		// dialContext dials a TCP address if it is nil.
		dialContext func(ctx context.Context, network, address string) (net.Conn, error)
		// idleTimeout is senderIdleTimeout if it is 0.
		idleTimeout time.Duration
		counters    counters
		queuedBytes atomic.Int64
		mu          sync.Mutex
		ctx         context.Context
		closed      bool
		peers       map[fleet.VMID]chan replica.Message
		conns       map[net.Conn]bool
		wg          sync.WaitGroup
	}

	// TransportStats holds the counters of a Transport. Dropped counts outgoing
	// messages that could not be queued or encoded, and the messages of failed
	// dials and calls. Control messages, which hold no commands, are sent again for a
	// second before they count. CallTimeouts counts calls that made no progress and were
	// replaced by a new connection. Invalid counts received messages that could not be
	// decoded or whose sender does not match the certificate. Rejected counts
	// incoming connections that exceeded maxConns or failed the TLS handshake.
	TransportStats struct {
		Sent, Received, Dropped, Invalid uint64
		Dials, DialErrors, Rejected      uint64
		CallTimeouts                     uint64
	}

	counters struct {
		sent, received, dropped, invalid atomic.Uint64
		dials, dialErrors, rejected      atomic.Uint64
		callTimeouts                     atomic.Uint64
	}

	// Batch is the argument of the RPC that delivers messages. Each message is
	// encoded by replica.EncodeMessage.
	Batch struct {
		From     fleet.VMID
		Messages [][]byte
	}

	// Empty is the reply of the RPC that delivers messages.
	Empty struct{}

	// TimeoutError reports a call that made no progress or took too long.
	TimeoutError struct{}

	// PeerError reports a failed operation with a peer. If Run can't accept
	// connections, Peer is the VM of this transport.
	PeerError struct {
		Peer fleet.VMID
		Op   string
		Err  error
	}

	// HandshakeError reports a TLS handshake that one of the two sides has refused.
	HandshakeError struct{ Err error }

	// session is the RPC receiver of one accepted connection.
	session struct {
		t    *Transport
		cert *x509.Certificate
		conn *limitedConn
	}

	// limitedConn limits the bytes read per call, and the time of each read. The field
	// remaining is the number of bytes that may still be read; session.Deliver resets it
	// to maxCallBytes.
	limitedConn struct {
		net.Conn
		idleTimeout time.Duration
		remaining   atomic.Int64
	}
)

// Error implements the error interface.
func (TimeoutError) Error() string { return "timed out" }

// Error returns the cause.
func (e *HandshakeError) Error() string { return fmt.Sprintf("TLS handshake: %v", e.Err) }

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }

// Error returns the operation, the peer and the cause.
func (e *PeerError) Error() string { return fmt.Sprintf("%s peer %s: %v", e.Op, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// Stats returns the current counters.
func (t *Transport) Stats() TransportStats {
	c := &t.counters
	return TransportStats{
		Sent: c.sent.Load(), Received: c.received.Load(), Dropped: c.dropped.Load(), Invalid: c.invalid.Load(),
		Dials: c.dials.Load(), DialErrors: c.dialErrors.Load(), Rejected: c.rejected.Load(),
		CallTimeouts: c.callTimeouts.Load(),
	}
}

// Run accepts connections until ctx is done. It then closes the listener and
// all connections, and waits for the goroutines of the transport. It returns a
// PeerError if the listener is closed before ctx is done.
func (t *Transport) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		t.close()
		t.wg.Wait()
	}()
	t.mu.Lock()
	t.ctx, t.peers, t.conns = ctx, map[fleet.VMID]chan replica.Message{}, map[net.Conn]bool{}
	t.mu.Unlock()
	defer context.AfterFunc(ctx, t.close)()
	for {
		conn, err := t.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return &PeerError{Peer: t.Self, Op: "accept connections as", Err: err}
		}
		if err != nil {
			// Other errors are temporary: for example, Accept fails while no
			// file descriptors are available.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !t.track(conn) {
			t.counters.rejected.Add(1)
			conn.Close()
			continue
		}
		go t.serve(ctx, conn)
	}
}

func (t *Transport) close() {
	t.Listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for conn := range t.conns {
		conn.Close()
	}
}

// track registers an accepted connection. It returns false if there are already
// maxConns connections or the transport is closed.
func (t *Transport) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= maxConns || t.closed {
		return false
	}
	t.conns[conn] = true
	t.wg.Add(1)
	return true
}

func (t *Transport) untrack(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	delete(t.conns, conn)
	t.mu.Unlock()
	t.wg.Done()
}

func (t *Transport) serve(ctx context.Context, conn net.Conn) {
	defer t.untrack(conn)
	s := &session{t: t, conn: &limitedConn{Conn: conn}}
	if t.Keys != nil {
		tlsConn := tls.Server(conn, t.Keys.serverConfig())
		handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := tlsConn.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			t.counters.rejected.Add(1)
			return
		}
		s.cert = tlsConn.ConnectionState().PeerCertificates[0]
		s.conn.Conn = tlsConn
	}
	s.conn.remaining.Store(maxCallBytes)
	// Senders close idle connections earlier, unless their VM is gone.
	s.conn.idleTimeout = 2 * cmp.Or(t.idleTimeout, senderIdleTimeout)
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, s); err != nil {
		return
	}
	server.ServeConn(s.conn)
}

// Deliver passes the valid messages of a batch to Transport.Deliver. If the
// certificate does not contain the name of the sender, Deliver passes no
// message on and returns a PeerError.
func (s *session) Deliver(b *Batch, _ *Empty) error {
	s.conn.remaining.Store(maxCallBytes)
	if s.cert != nil {
		if err := s.cert.VerifyHostname(string(b.From)); err != nil {
			s.t.counters.invalid.Add(uint64(len(b.Messages)))
			return &PeerError{Peer: b.From, Op: "verify the certificate of", Err: err}
		}
	}
	for _, data := range b.Messages {
		m, err := replica.DecodeMessage(data)
		if err != nil {
			s.t.counters.invalid.Add(1)
			continue
		}
		s.t.counters.received.Add(1)
		if !s.t.Deliver(b.From, m) {
			return nil
		}
	}
	return nil
}

// Read returns a replica.TooLargeError once the limit of the current call is
// reached, and a timeout if no data arrive for idleTimeout.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining.Load() <= 0 {
		return 0, &replica.TooLargeError{Size: maxCallBytes, Limit: maxCallBytes}
	}
	if err := c.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.remaining.Add(int64(-n))
	return n, err
}

// Send queues a message for its receiver and never blocks. It drops the message
// if the queue is full or Run is not running.
func (t *Transport) Send(e replica.Envelope) {
	size := int64(e.Message.Size())
	if size > 0 && t.queuedBytes.Add(size) > int64(cmp.Or(t.QueueBytes, DefaultQueueBytes)) {
		t.queuedBytes.Add(-size)
		t.counters.dropped.Add(1)
		return
	}
	// The lock ensures that the sender of the queue does not end meanwhile.
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case t.queue(e.To) <- e.Message:
	default:
		t.queuedBytes.Add(-size)
		t.counters.dropped.Add(1)
	}
}

// queue returns the queue of a peer. The first call for a peer starts the
// sender of the queue. If Run is not running, queue returns nil. The caller must hold mu.
func (t *Transport) queue(peer fleet.VMID) chan replica.Message {
	if t.ctx == nil || t.closed {
		return nil
	}
	if q := t.peers[peer]; q != nil {
		return q
	}
	s := newSender(t, peer)
	t.peers[peer] = s.queue
	t.wg.Add(1)
	go s.run(t.ctx)
	return s.queue
}

// removeIdle removes the queue of a sender, unless there are messages to send.
func (t *Transport) removeIdle(s *sender) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(s.queue) > 0 || len(s.batch) > 0 {
		return false
	}
	delete(t.peers, s.peer)
	return true
}
