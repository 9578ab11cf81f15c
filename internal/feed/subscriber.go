package feed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// dialTimeout bounds the wait for a connection. A VM without power does not refuse
// connections but leaves them unanswered, and a packet to it is repeated by the
// kernel after a second only. It is some round trips between regions.
const dialTimeout = 150 * time.Millisecond

// GreetingTimeoutError reports a publisher that has accepted a connection but has
// sent no greeting in time. Unlike a publisher without power, it may only be slow.
type GreetingTimeoutError struct {
	Address string
	After   time.Duration
}

// Error returns the address of the publisher and the time.
func (e *GreetingTimeoutError) Error() string {
	return fmt.Sprintf("publisher %s: no greeting within %v", e.Address, e.After)
}

// Subscription is a connection to one publisher. Next must not be called
// concurrently.
type Subscription struct {
	// Greeting is the publisher's response to the Hello.
	Greeting Greeting

	started bool
	conn    *stallTimeoutConn
	r       *bufio.Reader
	stop    func() bool
	mu      sync.Mutex // guards writes to conn
}

// Open connects to a publisher, sends hello and waits for the greeting, at most for
// patience. The connection is closed when ctx ends. Open returns a
// GreetingTimeoutError if the publisher has accepted the connection but has sent no
// greeting in time.
func Open(ctx context.Context, address string, hello *Hello, patience time.Duration) (*Subscription, error) {
	conn, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return Greet(ctx, conn, hello, patience)
}

// Dial connects to a publisher.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Greet sends hello over a connection from Dial and waits for the greeting, as Open
// does. It closes conn if it fails.
func Greet(ctx context.Context, conn net.Conn, hello *Hello, patience time.Duration) (*Subscription, error) {
	s := &Subscription{conn: &stallTimeoutConn{conn, patience}, stop: context.AfterFunc(ctx, func() { conn.Close() })}
	s.r = bufio.NewReaderSize(s.conn, readBufferSize)
	err := s.write(hello)
	if err == nil {
		err = read(s.r, &s.Greeting)
	}
	if err != nil {
		s.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = &GreetingTimeoutError{Address: conn.RemoteAddr().String(), After: patience}
		}
		return nil, err
	}
	s.conn.readTimeout = IdleTimeout
	return s, nil
}

// Next returns the next update without its invalid records. The first call requests
// updates from the publisher. Next fails if no data arrive for IdleTimeout.
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
	u.dropInvalid()
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
