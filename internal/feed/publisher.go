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
	// updateInterval is the least time between two updates of one subscriber,
	// so that a series of changes makes one update.
	updateInterval = 20 * time.Millisecond
	// maxSubscribers bounds the connections; at the design scale 2,900 entry
	// VMs share 16 control VMs, of which some may be down.
	maxSubscribers = 1024
	// acceptPause is the pause after a connection could not be accepted.
	acceptPause = 100 * time.Millisecond
)

// Publisher serves the subscribers of a board. Exported fields are set before
// Run.
type Publisher struct {
	Board    *Board
	Listener net.Listener

	subscribers atomic.Int64
}

// Run serves until ctx ends; it returns the error of the listener where that
// fails before.
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
			// Descriptors may be used up for a while.
			time.Sleep(acceptPause)
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

// serve sends updates until the connection fails or ctx ends.
func (p *Publisher) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	steady := steadyConn{conn}
	var hello Hello
	if read(steady, &hello) != nil {
		return
	}
	if hello.Role == Control {
		p.Board.introduce(hello.VM, hello.Zone)
	}
	if write(steady, p.Board.greeting()) != nil {
		return
	}
	// A subscriber that has chosen another publisher closes the connection here.
	if read(steady, new(Ack)) != nil {
		return
	}
	go func() {
		defer cancel()
		p.receive(steady, &hello)
	}()
	p.Board.subscribed(hello.Role, 1)
	defer p.Board.subscribed(hello.Role, -1)
	c := &cursor{role: hello.Role, number: hello.Number}
	p.send(ctx, steady, c)
	if hello.Role == Control {
		p.Board.forget(hello.VM)
	} else {
		p.Board.report(hello.VM, new(Ack))
	}
}

// receive takes acknowledgements until the connection fails.
func (p *Publisher) receive(conn io.Reader, hello *Hello) {
	for {
		var ack Ack
		if read(conn, &ack) != nil {
			return
		}
		if hello.Role == Control {
			p.Board.confirm(hello.VM, ack.Version)
		} else {
			p.Board.report(hello.VM, &ack)
		}
	}
}

func (p *Publisher) send(ctx context.Context, conn io.Writer, c *cursor) {
	beat := time.NewTimer(0)
	defer beat.Stop()
	var news <-chan struct{}
	for {
		due := false
		select {
		case <-ctx.Done():
			return
		case <-news:
		case <-beat.C:
			due = true
		}
		news = p.Board.news(c.role)
		now := time.Now()
		u := p.Board.next(c, now)
		switch {
		case u == nil && !due:
			continue
		case u == nil:
			u = p.Board.beat(c)
		}
		if write(conn, u) != nil {
			return
		}
		beat.Reset(BeatInterval)
		time.Sleep(updateInterval)
	}
}
