package feed

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// silentProxy forwards connections to an address. Once silent is set, it reads and
// discards what arrives on the connections that exist, without closing them.
func silentProxy(t *testing.T, address string, silent *atomic.Bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	forward := func(to, from net.Conn) {
		buf := make([]byte, 4<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if silent.Load() {
				// The connection ends with the test.
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
	}
	wg.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			mu.Lock()
			conns = append(conns, near, far)
			mu.Unlock()
			wg.Go(func() { forward(near, far) })
			wg.Go(func() { forward(far, near) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return l.Addr().String()
}

// Guards against a feed whose connection has gone silent without a reset, and that one of
// its sides goes on to count as connected: the subscriber would not change to another hub,
// and the hub would keep a place and the reports of a subscriber that is gone.
func TestSilentFeed(t *testing.T) {
	const margin = 300 * time.Millisecond
	for _, role := range []Role{Control, Entry} {
		store, address := publish(t, "a")
		silent := new(atomic.Bool)
		s := open(t, silentProxy(t, address, silent), &Hello{VM: "b", Role: role})
		s.waitUpdate("first update", func(*Update) bool { return true })
		connected := func() bool {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.connections["b"] != nil
		}
		if !connected() {
			t.Fatalf("role %v: got no connection, want one", role)
		}
		silent.Store(true)
		start := time.Now()
		for {
			if _, err := s.Next(); err != nil {
				break
			}
		}
		if d := time.Since(start); d > IdleTimeout+margin {
			t.Errorf("role %v: subscriber noticed after %v, want at most %v", role, d, IdleTimeout+margin)
		}
		for connected() && time.Since(start) < 2*waitTimeout {
			time.Sleep(time.Millisecond)
		}
		if d := time.Since(start); d > IdleTimeout+HeartbeatInterval+margin {
			t.Errorf("role %v: publisher noticed after %v, want at most %v", role, d, IdleTimeout+HeartbeatInterval+margin)
		}
	}
}
