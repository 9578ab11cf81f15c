package feed

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds the wait for a connection. A VM without power does not refuse
// connections but leaves them unanswered.
const dialTimeout = 400 * time.Millisecond

// Subscription is a connection to one publisher. Next must not be called
// concurrently.
type Subscription struct {
	// Greeting is the publisher's response to the Hello.
	Greeting Greeting

	started bool
	conn    stallTimeoutConn
	r       *bufio.Reader
	stop    func() bool
	mu      sync.Mutex // guards writes to conn
}

// Open connects to a publisher, sends hello and waits for the greeting. The
// connection is closed when ctx ends.
func Open(ctx context.Context, address string, hello *Hello) (*Subscription, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Subscription{conn: stallTimeoutConn{conn}, stop: context.AfterFunc(ctx, func() { conn.Close() })}
	s.r = bufio.NewReaderSize(s.conn, readBufferSize)
	err = s.write(hello)
	if err == nil {
		err = read(s.r, &s.Greeting)
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Next returns the next update. The first call requests updates from the
// publisher. Next fails if no data arrive for IdleTimeout.
func (s *Subscription) Next() (*Update, error) {
	if !s.started {
		s.started = true
		if err := s.write(new(Ack)); err != nil {
			return nil, err
		}
	}
	u := new(Update)
	if err := read(s.r, u); err != nil {
		return nil, err
	}
	return u, nil
}

// Acknowledge sends an Ack to the publisher.
func (s *Subscription) Acknowledge(a Ack) error { return s.write(&a) }

// Close closes the connection.
func (s *Subscription) Close() {
	s.stop()
	s.conn.Close()
}

func (s *Subscription) write(m message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return write(s.conn, m)
}
