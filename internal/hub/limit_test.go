package hub

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a hub that runs out of memory or file descriptors because targets
// open connections faster than it can serve them, and against clients that wait for
// a hub which can't serve them.
func TestConnectionLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := &limitListener{Listener: inner, max: 2}
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	dial := func() net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	third := dial()
	if err := third.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if n, err := third.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection above the limit: got %d bytes and error %v, want EOF", n, err)
	}
	if got := l.refused.Load(); got != 1 {
		t.Errorf("refused connections: got %d, want 1", got)
	}
	first.Close()
	first.Close()
	dial()
	select {
	case <-accepted:
	case <-time.After(waitTimeout):
		t.Error("connection after another was closed: not accepted")
	}
	if got := l.open.Load(); got != 2 {
		t.Errorf("open connections: got %d, want 2", got)
	}
}
