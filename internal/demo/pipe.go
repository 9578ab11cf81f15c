package demo

import (
	"net"
	"os"
	"sync"
	"time"
)

// pipeSize bounds the datagrams that wait for a reader; more are dropped, as a
// socket buffer would.
const pipeSize = 1024

type (
	datagram struct {
		data []byte
		from net.Addr
	}

	// pipe is the receiving half of a net.PacketConn.
	pipe struct {
		in     chan datagram
		closed chan struct{}
		once   sync.Once

		mu      sync.Mutex
		err     error
		expired chan struct{}
		timer   *time.Timer
	}
)

func newPipe() *pipe {
	return &pipe{
		in:      make(chan datagram, pipeSize),
		closed:  make(chan struct{}),
		expired: make(chan struct{}),
	}
}

// push delivers a datagram, or drops it where the pipe is full or closed.
func (p *pipe) push(d datagram) {
	select {
	case p.in <- d:
	default:
	}
}

// ReadFrom returns the next datagram.
func (p *pipe) ReadFrom(b []byte) (int, net.Addr, error) {
	p.mu.Lock()
	expired := p.expired
	p.mu.Unlock()
	select {
	case d := <-p.in:
		return copy(b, d.data), d.from, nil
	case <-p.closed:
		p.mu.Lock()
		defer p.mu.Unlock()
		return 0, nil, p.err
	case <-expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline ends reads at t, also one that waits already; a zero t means
// no end.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil && !p.timer.Stop() {
		<-p.expired // the timer has fired
	}
	p.timer = nil
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
	p.timer = time.AfterFunc(d, func() { close(expired) })
	return nil
}

// SetDeadline is SetReadDeadline, since writes do not block.
func (p *pipe) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetWriteDeadline does nothing, since writes do not block.
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing: pipeSize bounds the buffer. quic-go warns where
// the method is missing.
func (p *pipe) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, since writes do not block.
func (p *pipe) SetWriteBuffer(int) error { return nil }

// fail ends reads with an error.
func (p *pipe) fail(err error) {
	p.once.Do(func() {
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.closed)
	})
}

// Close ends reads.
func (p *pipe) Close() error {
	p.fail(net.ErrClosed)
	return nil
}
