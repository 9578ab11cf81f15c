package feed

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxSubscribers is the maximum number of connections; at the design scale,
	// 2,900 entry VMs share 16 control VMs, some of which may be down.
	maxSubscribers = 1024
	// acceptRetryDelay is the delay after a failure to accept a connection.
	acceptRetryDelay = 100 * time.Millisecond
)

// Publisher serves the subscribers of a store. Exported fields must be set before
// Run.
type Publisher struct {
	Store    *Store
	Listener net.Listener

	subscribers atomic.Int64
}

// Run serves until ctx ends. It closes the listener, and returns net.ErrClosed if
// the listener was closed before ctx ended.
func (p *Publisher) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { p.Listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for {
		conn, err := p.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// The process may have no free file descriptors for a while.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if p.subscribers.Load() >= maxSubscribers {
			conn.Close()
			continue
		}
		p.subscribers.Add(1)
		wg.Go(func() {
			defer p.subscribers.Add(-1)
			p.serve(ctx, conn)
		})
	}
}

// serve answers the Hello of a subscriber, and sends updates until the
// connection fails or ctx ends.
func (p *Publisher) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	timedConn := &stallTimeoutConn{conn, IdleTimeout}
	r := bufio.NewReaderSize(timedConn, readBufferSize)
	var hello Hello
	if read(r, &hello) != nil {
		return
	}
	if hello.Role == Control {
		p.Store.setZone(hello.VM, hello.Zone)
	}
	if write(timedConn, p.Store.greeting(time.Now())) != nil {
		return
	}
	// A subscriber that has chosen another publisher closes the connection
	// instead of sending an Ack.
	if read(r, new(Ack)) != nil {
		return
	}
	p.Store.connect(&hello)
	received := make(chan struct{})
	if hello.Role == Entry {
		p.Store.setEntryVM(&hello, hello.ZoneRevision)
		defer func() {
			// An acknowledgement that is being processed must not add the VM again.
			conn.Close()
			<-received
			p.Store.removeEntryVM(&hello)
		}()
	}
	go func() {
		defer close(received)
		defer cancel()
		p.receive(r, &hello)
	}()
	p.Store.addSubscribers(hello.Role, 1)
	defer p.Store.addSubscribers(hello.Role, -1)
	c := &cursor{vm: hello.VM, role: hello.Role, state: state{number: hello.Number}}
	p.send(ctx, timedConn, c)
	p.Store.disconnect(&hello, time.Now())
}

// receive processes acknowledgements until the connection fails.
func (p *Publisher) receive(conn io.Reader, hello *Hello) {
	for {
		var ack Ack
		if read(conn, &ack) != nil {
			return
		}
		p.Store.acknowledge(hello, &ack, time.Now())
		if hello.Role == Entry {
			p.Store.setEntryVM(hello, ack.ZoneRevision)
		}
	}
}

// send sends updates to a subscriber. Heartbeats to hubs are sent at a fixed
// interval, because they carry the renewals of targets; those to entry VMs only
// while nothing changes.
func (p *Publisher) send(ctx context.Context, conn io.Writer, c *cursor) {
	heartbeat := time.NewTimer(HeartbeatInterval)
	defer heartbeat.Stop()
	for ctx.Err() == nil {
		changed := p.Store.changeChan(c.role)
		frame, wait, err := p.Store.next(c, time.Now())
		switch {
		case err != nil:
			return
		case frame != nil:
			if c.role == Entry {
				heartbeat.Reset(HeartbeatInterval)
			}
		default:
			if !p.await(ctx, changed, heartbeat.C, wait) {
				continue
			}
			heartbeat.Reset(HeartbeatInterval)
			if frame, err = p.Store.heartbeat(c, time.Now()); err != nil {
				return
			}
		}
		if _, err := conn.Write(frame); err != nil {
			return
		}
	}
}

// await waits for a change, for the next heartbeat or, if wait is not 0, for that
// time, and reports whether the heartbeat is due.
func (p *Publisher) await(ctx context.Context, changed <-chan struct{}, heartbeat <-chan time.Time, wait time.Duration) bool {
	var waited <-chan time.Time
	if wait > 0 {
		changed, waited = nil, time.After(wait)
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-waited:
	case <-heartbeat:
		return true
	}
	return false
}
