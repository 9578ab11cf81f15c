package feed

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// updateInterval is the minimum time between two updates to one subscriber,
	// so that changes in quick succession are sent as one update.
	updateInterval = 20 * time.Millisecond
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
	timedConn := stallTimeoutConn{conn}
	var hello Hello
	if read(timedConn, &hello) != nil {
		return
	}
	if hello.Role == Control {
		p.Store.setZone(hello.VM, hello.Zone)
	}
	if write(timedConn, p.Store.greeting()) != nil {
		return
	}
	// A subscriber that has chosen another publisher closes the connection
	// instead of sending an Ack.
	if read(timedConn, new(Ack)) != nil {
		return
	}
	go func() {
		defer cancel()
		p.receive(timedConn, &hello)
	}()
	p.Store.addSubscribers(hello.Role, 1)
	defer p.Store.addSubscribers(hello.Role, -1)
	c := &cursor{role: hello.Role, number: hello.Number}
	p.send(ctx, timedConn, c)
	if hello.Role == Control {
		p.Store.removeAck(hello.VM)
	} else {
		p.Store.report(hello.VM, new(Ack))
	}
}

// receive processes acknowledgements until the connection fails.
func (p *Publisher) receive(conn io.Reader, hello *Hello) {
	for {
		var ack Ack
		if read(conn, &ack) != nil {
			return
		}
		if hello.Role == Control {
			p.Store.recordAck(hello.VM, ack.Version)
		} else {
			p.Store.report(hello.VM, &ack)
		}
	}
}

func (p *Publisher) send(ctx context.Context, conn io.Writer, c *cursor) {
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	var changed <-chan struct{}
	for {
		heartbeatDue := false
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
			heartbeatDue = true
		}
		changed = p.Store.changeChan(c.role)
		now := time.Now()
		u := p.Store.next(c, now)
		switch {
		case u == nil && !heartbeatDue:
			continue
		case u == nil:
			u = p.Store.heartbeat(c)
		}
		if write(conn, u) != nil {
			return
		}
		heartbeat.Reset(HeartbeatInterval)
		time.Sleep(updateInterval)
	}
}
