package replication

import (
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
	"github.com/cenkalti/backoff/v5"
)

const (
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 100 * time.Millisecond
	serviceName = "Replica"
	deliverCall = serviceName + ".Deliver"

	// queueLength bounds the messages that wait for one peer. The log resends
	// what is dropped.
	queueLength = 256
	// maxCall bounds the bytes of one call; a batch ends at maxBatch bytes, and
	// the largest message is a command of a few MiB.
	maxCall  = 64 << 20
	maxBatch = 4 << 20
	// maxConns bounds the accepted connections; replicas need one each.
	maxConns = 64

	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	callTimeout      = 5 * time.Second
	minRedial        = 50 * time.Millisecond
	maxRedial        = time.Second
)

type (
	// Transport carries messages between replicas by net/rpc over TCP, with
	// mutual TLS if Keys is set. Messages may be lost, and arrive in order
	// within a connection.
	Transport struct {
		Self fleet.VMID
		// Listener accepts the connections of peers; Run closes it.
		Listener net.Listener
		// Address returns the TCP address of a peer, or "" if it has none.
		Address func(fleet.VMID) string
		// Deliver takes each valid message. It may block for backpressure, but
		// must return once the context of Run ends.
		Deliver func(from fleet.VMID, m replica.Message)
		// Keys is nil for connections without TLS.
		Keys *KeyStore

		counters counters
		mu       sync.Mutex
		ctx      context.Context
		closed   bool
		peers    map[fleet.VMID]chan replica.Message
		conns    map[net.Conn]bool
		wg       sync.WaitGroup
	}

	// TransportStats is a copy of the counters of a Transport. Messages count
	// as dropped if a queue is full or their call fails, and as invalid if they
	// fail to decode or claim another sender than the certificate names.
	TransportStats struct {
		Sent, Received, Dropped, Invalid uint64
		Dials, DialErrors, Rejected      uint64
	}

	counters struct {
		sent, received, dropped, invalid atomic.Uint64
		dials, dialErrors, rejected      atomic.Uint64
	}

	// Batch is the argument of the call that delivers messages.
	Batch struct {
		From     fleet.VMID
		Messages [][]byte
	}

	// Empty is the reply of the call that delivers messages.
	Empty struct{}

	// TimeoutError reports a call without a reply in time, or a peer that is
	// not dialled yet after a failure.
	TimeoutError struct{}

	// PeerError reports a failed exchange with a peer.
	PeerError struct {
		Peer fleet.VMID
		Op   string
		Err  error
	}

	// session is the receiver of the calls of one accepted connection.
	session struct {
		t    *Transport
		cert *x509.Certificate
		conn *limitedConn
	}

	// limitedConn fails once a call exceeds its limit in bytes.
	limitedConn struct {
		net.Conn
		left atomic.Int64
	}

	// sender owns the outgoing connection to one peer.
	sender struct {
		t       *Transport
		peer    fleet.VMID
		queue   chan replica.Message
		client  *rpc.Client
		version uint64
		redial  *backoff.ExponentialBackOff
		retryAt time.Time
	}
)

// Error says that a peer did not answer.
func (TimeoutError) Error() string { return "no reply in time" }

// Error names the peer and the operation.
func (e *PeerError) Error() string { return fmt.Sprintf("%s peer %s: %v", e.Op, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }

// Stats returns the current counters.
func (t *Transport) Stats() TransportStats {
	c := &t.counters
	return TransportStats{
		Sent: c.sent.Load(), Received: c.received.Load(), Dropped: c.dropped.Load(), Invalid: c.invalid.Load(),
		Dials: c.dials.Load(), DialErrors: c.dialErrors.Load(), Rejected: c.rejected.Load(),
	}
}

// Run accepts connections until ctx ends, and then closes all of them. It
// returns a PeerError if the listener fails.
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
			// Descriptors may be used up for a while.
			time.Sleep(acceptPause)
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

// track registers an accepted connection, unless there are too many.
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
		secure := tls.Server(conn, t.Keys.serverConfig())
		limited, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := secure.HandshakeContext(limited)
		cancel()
		if err != nil {
			t.counters.rejected.Add(1)
			return
		}
		s.cert = secure.ConnectionState().PeerCertificates[0]
		s.conn.Conn = secure
	}
	s.conn.left.Store(maxCall)
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, s); err != nil {
		return
	}
	server.ServeConn(s.conn)
}

// Deliver passes the valid messages of a batch on. It returns a PeerError for
// a sender that the certificate does not name.
func (s *session) Deliver(b *Batch, _ *Empty) error {
	s.conn.left.Store(maxCall)
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
		s.t.Deliver(b.From, m)
	}
	return nil
}

// Read fails once the limit of the current call is exhausted.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.left.Load() <= 0 {
		return 0, &replica.TooLargeError{Size: maxCall, Limit: maxCall}
	}
	n, err := c.Conn.Read(p)
	c.left.Add(int64(-n))
	return n, err
}

// Send queues a message and never blocks; it drops the message if the queue is
// full or Run is not running.
func (t *Transport) Send(e replica.Envelope) {
	select {
	case t.queue(e.To) <- e.Message:
	default:
		t.counters.dropped.Add(1)
	}
}

// queue returns the queue of a peer, and starts its sender at the first use.
func (t *Transport) queue(peer fleet.VMID) chan replica.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.closed {
		return nil
	}
	if q := t.peers[peer]; q != nil {
		return q
	}
	redial := backoff.NewExponentialBackOff()
	redial.InitialInterval, redial.MaxInterval = minRedial, maxRedial
	s := &sender{t: t, peer: peer, queue: make(chan replica.Message, queueLength), redial: redial}
	t.peers[peer] = s.queue
	t.wg.Add(1)
	go s.run(t.ctx)
	return s.queue
}

func (s *sender) run(ctx context.Context) {
	defer s.t.wg.Done()
	defer s.hangUp()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			batch := s.collect(m)
			n := uint64(len(batch.Messages))
			if err := s.deliver(ctx, batch); err != nil {
				s.t.counters.dropped.Add(n)
				s.hangUp()
				continue
			}
			s.t.counters.sent.Add(n)
		}
	}
}

// collect encodes a message and those that wait behind it.
func (s *sender) collect(m replica.Message) *Batch {
	b := &Batch{From: s.t.Self}
	for size := 0; ; {
		data, err := replica.EncodeMessage(&m)
		if err != nil {
			s.t.counters.dropped.Add(1)
		} else {
			b.Messages = append(b.Messages, data)
			size += len(data)
		}
		if size >= maxBatch {
			return b
		}
		select {
		case m = <-s.queue:
		default:
			return b
		}
	}
}

func (s *sender) deliver(ctx context.Context, b *Batch) error {
	if s.client != nil && s.t.Keys != nil && s.t.Keys.Version() != s.version {
		s.hangUp()
	}
	if err := s.connect(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := s.client.Go(deliverCall, b, &Empty{}, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return &PeerError{Peer: s.peer, Op: "call", Err: TimeoutError{}}
	case <-call.Done:
	}
	if call.Error != nil {
		return &PeerError{Peer: s.peer, Op: "call", Err: call.Error}
	}
	return nil
}

// connect dials unless a connection exists. After a failure it refuses until
// a jittered exponential delay has passed, so that messages are dropped rather
// than kept until they are obsolete.
func (s *sender) connect(ctx context.Context) error {
	if s.client != nil {
		return nil
	}
	now := time.Now()
	if now.Before(s.retryAt) {
		return &PeerError{Peer: s.peer, Op: "dial", Err: TimeoutError{}}
	}
	s.t.counters.dials.Add(1)
	conn, err := s.dial(ctx)
	if err != nil {
		s.t.counters.dialErrors.Add(1)
		s.retryAt = now.Add(s.redial.NextBackOff())
		return &PeerError{Peer: s.peer, Op: "dial", Err: err}
	}
	s.redial.Reset()
	s.client = rpc.NewClient(conn)
	return nil
}

func (s *sender) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	address := s.t.Address(s.peer)
	if address == "" {
		return nil, &fleet.UnknownError{Type: "replica", Name: string(s.peer)}
	}
	if s.t.Keys == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	s.version = s.t.Keys.Version()
	d := tls.Dialer{Config: s.t.Keys.clientConfig(string(s.peer))}
	return d.DialContext(ctx, "tcp", address)
}

func (s *sender) hangUp() {
	if s.client != nil {
		s.client.Close()
		s.client = nil
	}
}
