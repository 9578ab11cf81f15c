package feed

import (
	"context"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the wait for a connection. A VM without power does not
// refuse one.
const dialTimeout = 400 * time.Millisecond

// Subscription is the feed of one publisher. One goroutine calls Next.
type Subscription struct {
	// Greeting is what the publisher has said of itself.
	Greeting Greeting

	begun bool
	conn  steadyConn
	stop  func() bool
	mu    sync.Mutex // guards writes to conn
}

// Open connects to a publisher, says who asks, and waits for the greeting. The
// subscription ends with ctx.
func Open(ctx context.Context, address string, hello *Hello) (*Subscription, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Subscription{conn: steadyConn{conn}, stop: context.AfterFunc(ctx, func() { conn.Close() })}
	err = s.write(hello)
	if err == nil {
		err = read(s.conn, &s.Greeting)
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Next returns the next update, of which the publisher sends the first one once it
// is called; it fails after SilenceLimit in which nothing of one has come.
func (s *Subscription) Next() (*Update, error) {
	if !s.begun {
		s.begun = true
		if err := s.write(new(Ack)); err != nil {
			return nil, err
		}
	}
	u := new(Update)
	if err := read(s.conn, u); err != nil {
		return nil, err
	}
	return u, nil
}

// Acknowledge tells the publisher what has been taken over.
func (s *Subscription) Acknowledge(a Ack) error { return s.write(&a) }

// Close ends the subscription.
func (s *Subscription) Close() {
	s.stop()
	s.conn.Close()
}

func (s *Subscription) write(m message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return write(s.conn, m)
}
