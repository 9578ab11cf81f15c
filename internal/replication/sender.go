package replication

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"github.com/cenkalti/backoff/v5"
)

const (
	// queueLength is the maximum number of messages queued for one peer, and of those in
	// one call. Further messages are dropped, which is safe because Raft sends them again.
	queueLength   = 256
	maxBatchBytes = 1 << 20
	// writeChunk is the number of bytes after which the progress of a call is recorded.
	// A link of 170 Mbit/s carries it in 3 ms.
	writeChunk = 64 << 10
	// sendBuffer is the size of the kernel's send buffer of a connection, of which Linux
	// allocates twice as much. Data in a larger one would look like progress although the
	// peer is gone, and like silence while they pass a slow link.
	sendBuffer = 256 << 10
	// minRate is the rate in bytes per second at which the buffered part of a call is
	// expected to arrive.
	minRate = 4 << 20

	// dialTimeout is some round trips between regions. A VM without power does not refuse
	// a connection, and the kernel repeats its first packet only after a second.
	dialTimeout = 250 * time.Millisecond
	// clientHandshakeTimeout allows for processors that run for a part of the time only.
	clientHandshakeTimeout = time.Second
	// stallTimeout is the time without progress after which the next messages are sent
	// over a new connection. A connection may go silent without a reset. A leader steps
	// down unless its heartbeats and their replies, which may meet two silent connections
	// one after the other, arrive within replica.DefaultElectionTimeout. Two processes
	// that run for a part of each 100 ms answer within the timeout. It doubles with each
	// stall up to maxStallTimeout, which is longer than deliverTimeout, so that a peer that
	// only answers late is not called over ever more connections.
	stallTimeout    = 200 * time.Millisecond
	maxStallTimeout = 8 * stallTimeout
	// callTimeout is the time after which a call that makes progress gives way to other
	// messages, and the time without progress after which a stalled call is given up.
	callTimeout = 5 * time.Second
	// maxStalled is the maximum number of stalled calls to one peer that go on. A process
	// that gets no processor time for a second stalls more than once.
	maxStalled = 2
	// maxStalledCall is the maximum duration of a stalled call that makes progress again.
	maxStalledCall = 30 * time.Second
	// controlLifetime is the time for which a message without commands is sent again
	// after a failure. A lost vote delays an election.
	controlLifetime = replica.DefaultElectionTimeout
	// Delays between dials, of which the longest and dialTimeout together stay below an
	// election timeout.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 150 * time.Millisecond
	// senderIdleTimeout is the time without messages after which a sender ends and closes
	// its connection.
	senderIdleTimeout = 10 * time.Second
)

type (
	// sender owns the queue and the outgoing connection to one peer.
	sender struct {
		t     *Transport
		peer  fleet.VMID
		queue chan replica.Message

		// batch holds the messages of the next call, those of failed calls first.
		batch         []outgoing
		batchBytes    int
		conn          *clientConn
		keyVersion    uint64
		redialBackoff *backoff.ExponentialBackOff
		retryAt       time.Time
		stallTimeout  time.Duration
		// stalled holds a value for each stalled call that goes on over an earlier connection.
		stalled chan struct{}

		// failures counts the failed calls and dials since the last success. reported
		// is set if one of them was logged, and the next may be logged at nextReport.
		failures     uint64
		reported     bool
		failingSince time.Time
		nextReport   time.Time
	}

	// outgoing is an encoded message. A control message holds no commands and no part of
	// a snapshot.
	outgoing struct {
		data    []byte
		control bool
		taken   time.Time
	}

	// clientConn is an outgoing connection that records its progress.
	clientConn struct {
		net.Conn
		client *rpc.Client
		// progress is the time in nanoseconds from start to the last data that passed.
		start    time.Time
		progress atomic.Int64
		// answered is set once a call has succeeded.
		answered bool
	}
)

func newSender(t *Transport, peer fleet.VMID) *sender {
	redialBackoff := backoff.NewExponentialBackOff()
	redialBackoff.InitialInterval, redialBackoff.MaxInterval = minRedialDelay, maxRedialDelay
	return &sender{
		t: t, peer: peer, queue: make(chan replica.Message, queueLength), redialBackoff: redialBackoff,
		stallTimeout: stallTimeout, stalled: make(chan struct{}, maxStalled),
	}
}

// run sends the queued messages until ctx is done or the peer has been idle.
func (s *sender) run(ctx context.Context) {
	defer s.t.wg.Done()
	defer s.disconnect()
	idleTimeout := cmp.Or(s.t.idleTimeout, senderIdleTimeout)
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		s.dropObsolete(time.Now())
		var retry <-chan time.Time
		repeated := len(s.batch) > 0
		if repeated {
			retry = time.After(time.Until(s.retryAt))
		}
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if s.t.removeIdle(s) {
				return
			}
			idle.Reset(idleTimeout)
			continue
		case <-retry:
		case m := <-s.queue:
			s.take(&m)
			idle.Reset(idleTimeout)
		}
		if time.Now().Before(s.retryAt) {
			continue
		}
		// Messages of failed calls don't wait for large ones.
		if !repeated {
			s.fill()
		}
		s.deliver(ctx)
	}
}

// take adds a message to the batch. While no dial is due, messages with commands or
// parts of snapshots are dropped instead, so that they don't fill the queues of the
// other peers.
func (s *sender) take(m *replica.Message) {
	now := time.Now()
	size := m.Size()
	s.t.queuedBytes.Add(-int64(size))
	data, err := replica.EncodeMessage(m)
	if err != nil || size > 0 && now.Before(s.retryAt) {
		s.t.counters.dropped.Add(1)
		return
	}
	if len(s.batch) >= queueLength {
		s.batchBytes -= len(s.batch[0].data)
		s.batch = s.batch[1:]
		s.t.counters.dropped.Add(1)
	}
	s.batch = append(s.batch, outgoing{data: data, control: size == 0, taken: now})
	s.batchBytes += len(data)
}

// fill adds queued messages, until the queue is empty or the batch is full.
func (s *sender) fill() {
	for s.batchBytes < maxBatchBytes && len(s.batch) < queueLength {
		select {
		case m := <-s.queue:
			s.take(&m)
		default:
			return
		}
	}
}

// dropObsolete drops the messages that are older than controlLifetime.
func (s *sender) dropObsolete(now time.Time) {
	n := s.keep(func(o *outgoing) bool { return now.Sub(o.taken) < controlLifetime })
	s.t.counters.dropped.Add(n)
}

// keep drops the messages of the batch for which wanted returns false, and returns their
// number.
func (s *sender) keep(wanted func(*outgoing) bool) uint64 {
	var kept []outgoing
	s.batchBytes = 0
	for i := range s.batch {
		if wanted(&s.batch[i]) {
			kept = append(kept, s.batch[i])
			s.batchBytes += len(s.batch[i].data)
		}
	}
	n := uint64(len(s.batch) - len(kept))
	s.batch = kept
	return n
}

// deliver sends the batch in one call. If that fails, the control messages stay in the
// batch, unless the peer has refused them.
func (s *sender) deliver(ctx context.Context) {
	if len(s.batch) == 0 {
		return
	}
	if s.conn != nil && s.t.Keys != nil && s.t.Keys.Version() != s.keyVersion {
		s.disconnect()
	}
	if err := s.connect(ctx); err != nil {
		if ctx.Err() == nil {
			s.reportFailure(err, time.Now())
		}
		var handshake *HandshakeError
		s.dropFailed(errors.As(err, &handshake))
		return
	}
	start := time.Now()
	done := s.conn.call(s.newBatch())
	buffered := time.Duration(min(s.batchBytes, 2*sendBuffer)) * time.Second / minRate
	err, ended := s.conn.wait(ctx, done, s.stallTimeout+buffered, callTimeout)
	switch {
	case ended && err == nil:
		s.succeeded(time.Since(start))
	case ended:
		s.reportFailure(&PeerError{Peer: s.peer, Op: "call", Err: err}, time.Now())
		s.failed()
	case ctx.Err() == nil:
		s.reportFailure(&PeerError{Peer: s.peer, Op: "call", Err: err}, time.Now())
		s.stall(ctx, done)
	}
}

func (s *sender) succeeded(d time.Duration) {
	s.t.counters.sent.Add(uint64(len(s.batch)))
	s.batch, s.batchBytes = nil, 0
	s.conn.answered = true
	s.redialBackoff.Reset()
	s.reportSuccess()
	if d < stallTimeout {
		s.stallTimeout = stallTimeout
	}
}

// failed ends a connection whose call has failed. The first call of a connection fails if
// the peer refuses the connection or the sender.
func (s *sender) failed() {
	s.dropFailed(!s.conn.answered)
	s.disconnect()
	s.retryAt = time.Now().Add(s.redialBackoff.NextBackOff())
}

// dropFailed drops the messages that are not sent again: all of them if the peer has
// refused them, otherwise all but the control messages.
func (s *sender) dropFailed(refused bool) {
	s.t.counters.dropped.Add(s.keep(func(o *outgoing) bool { return o.control && !refused }))
}

// stall lets a stalled call go on over its connection, because the peer may only be slow,
// and frees the sender for a new connection. If there are maxStalled such calls already,
// stall closes the connection instead.
func (s *sender) stall(ctx context.Context, done <-chan error) {
	s.t.counters.callTimeouts.Add(1)
	s.stallTimeout = min(2*s.stallTimeout, maxStallTimeout)
	s.retryAt = time.Now().Add(s.redialBackoff.NextBackOff())
	large := s.keep(func(o *outgoing) bool { return o.control })
	conn := s.conn
	s.conn = nil
	select {
	case s.stalled <- struct{}{}:
	default:
		conn.client.Close()
		s.t.counters.dropped.Add(large)
		return
	}
	s.t.wg.Go(func() {
		defer func() { <-s.stalled }()
		defer conn.client.Close()
		if err, ended := conn.wait(ctx, done, callTimeout, maxStalledCall); ended && err == nil {
			s.t.counters.sent.Add(large)
			return
		}
		s.t.counters.dropped.Add(large)
	})
}

func (s *sender) newBatch() *Batch {
	b := &Batch{From: s.t.Self}
	for i := range s.batch {
		b.Messages = append(b.Messages, s.batch[i].data)
	}
	return b
}

// connect dials the peer unless a connection exists. After a failed dial, the next one
// waits for a jittered exponential delay.
func (s *sender) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	s.t.counters.dials.Add(1)
	conn, err := s.dial(ctx)
	if err != nil {
		s.t.counters.dialErrors.Add(1)
		s.retryAt = time.Now().Add(s.redialBackoff.NextBackOff())
		return &PeerError{Peer: s.peer, Op: "dial", Err: err}
	}
	s.conn = &clientConn{Conn: conn, start: time.Now()}
	s.conn.client = rpc.NewClient(s.conn)
	return nil
}

func (s *sender) dial(ctx context.Context) (net.Conn, error) {
	address := s.t.Address(s.peer)
	if address == "" {
		return nil, &fleet.UnknownError{Type: "replica", Name: string(s.peer)}
	}
	dialContext := s.t.dialContext
	if dialContext == nil {
		dialContext = new(net.Dialer).DialContext
	}
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	conn, err := dialContext(dialCtx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without the limit, a stall is noticed later.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	if s.t.Keys == nil {
		return conn, nil
	}
	s.keyVersion = s.t.Keys.Version()
	tlsConn := tls.Client(conn, s.t.Keys.clientConfig(string(s.peer)))
	ctx, cancel := context.WithTimeout(ctx, clientHandshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		if ctx.Err() != nil {
			return nil, err
		}
		return nil, &HandshakeError{Err: err}
	}
	return tlsConn, nil
}

func (s *sender) disconnect() {
	if s.conn != nil {
		s.conn.client.Close()
		s.conn = nil
	}
}

// call starts a call. Writing may block, so the call has a goroutine of its own, which
// ends at the latest when the client is closed.
func (c *clientConn) call(b *Batch) <-chan error {
	c.recordProgress()
	done := make(chan error, 1)
	go func() { done <- c.client.Call(deliverMethod, b, &Empty{}) }()
	return done
}

// wait waits until a call has ended, and returns its error. If ctx is done, no data pass
// for the duration stall, or the call lasts longer than limit, ended is false.
func (c *clientConn) wait(ctx context.Context, done <-chan error, stall, limit time.Duration) (err error, ended bool) {
	deadline := time.After(limit)
	timer := time.NewTimer(stall)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			return err, true
		case <-ctx.Done():
			return ctx.Err(), false
		case <-deadline:
			return TimeoutError{}, false
		case <-timer.C:
			idle := time.Since(c.start) - time.Duration(c.progress.Load())
			if idle >= stall {
				return TimeoutError{}, false
			}
			timer.Reset(stall - idle)
		}
	}
}

func (c *clientConn) recordProgress() { c.progress.Store(int64(time.Since(c.start))) }

// Read records the progress.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordProgress()
	return n, err
}

// Write writes in chunks, and records the progress after each of them.
func (c *clientConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := c.Conn.Write(b[written:min(written+writeChunk, len(b))])
		written += n
		c.recordProgress()
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
