package hub

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxConnections is the maximum number of HTTP connections. With the connections of
// entry VMs and other hubs, which have a limit of their own, they leave some of the
// 4,096 file descriptors of a control VM free for the log.
const maxConnections = 2500

// limitListener accepts at most max connections at a time. It closes further
// connections at once, so that their clients call another hub instead of waiting.
type limitListener struct {
	net.Listener
	max int64

	open    atomic.Int64
	refused atomic.Uint64
}

// limitedConn is a connection that counts as open until it is closed.
type limitedConn struct {
	net.Conn
	l    *limitListener
	once sync.Once
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &limitedConn{Conn: conn, l: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		conn.Close()
	}
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}
