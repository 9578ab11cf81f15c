package demo

import (
	"net"
	"os"
	"sync"
	"time"
)

// packetQueueSize is the maximum number of queued datagrams. A full queue drops
// new datagrams, like a socket buffer.
const packetQueueSize = 1024

type (
	datagram struct {
		data []byte
		from net.Addr
	}

	// packetQueue is the receiving half of a net.PacketConn, backed by a queue.
	packetQueue struct {
		datagrams chan datagram
		closed    chan struct{}
		closeOnce sync.Once

		mu            sync.Mutex
		err           error
		expired       chan struct{}
		deadlineTimer *time.Timer
	}
)

func newPacketQueue() *packetQueue {
	return &packetQueue{
		datagrams: make(chan datagram, packetQueueSize),
		closed:    make(chan struct{}),
		expired:   make(chan struct{}),
	}
}

// enqueue adds a datagram to the queue, or drops it if the queue is full.
func (p *packetQueue) enqueue(d datagram) {
	select {
	case p.datagrams <- d:
	default:
	}
}

// ReadFrom waits for the next datagram. It returns os.ErrDeadlineExceeded after
// the read deadline. Once the queue is closed, it returns the error passed to
// closeWithError.
func (p *packetQueue) ReadFrom(b []byte) (int, net.Addr, error) {
	p.mu.Lock()
	expired := p.expired
	p.mu.Unlock()
	select {
	case d := <-p.datagrams:
		return copy(b, d.data), d.from, nil
	case <-p.closed:
		p.mu.Lock()
		defer p.mu.Unlock()
		return 0, nil, p.err
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline makes reads fail at t, including a pending read. A zero t
// means no deadline.
func (p *packetQueue) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.deadlineTimer != nil && !p.deadlineTimer.Stop() {
		<-p.expired // the timer fired: wait for its function to finish
	}
	p.deadlineTimer = nil
	select {
	case <-p.expired:
		p.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return nil
	}
	expired := p.expired
	d := time.Until(t)
	if d <= 0 {
		close(expired)
		return nil
	}
	p.deadlineTimer = time.AfterFunc(d, func() { close(expired) })
	return nil
}

// SetDeadline sets the read deadline only, since writes do not block.
func (p *packetQueue) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetWriteDeadline does nothing, since writes do not block.
func (p *packetQueue) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing, since the queue has a fixed size. quic-go logs a
// warning if the method is missing.
func (p *packetQueue) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, since writes do not block.
func (p *packetQueue) SetWriteBuffer(int) error { return nil }

// closeWithError makes pending and later reads return err. Only the first call
// has an effect.
func (p *packetQueue) closeWithError(err error) {
	p.closeOnce.Do(func() {
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.closed)
	})
}

// Close makes pending and later reads return net.ErrClosed.
func (p *packetQueue) Close() error {
	p.closeWithError(net.ErrClosed)
	return nil
}
