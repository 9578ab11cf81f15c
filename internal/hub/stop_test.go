package hub

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against calls that a hub has received and leaves without an answer when it
// is stopped as planned under load.
func TestPlannedStopAnswersCalls(t *testing.T) {
	const clients = 40
	c := newCluster(t, 1)
	var handled, answered, cut, lateAnswers atomic.Int64
	c.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		time.Sleep(2 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	c.startAll(true)
	var stopping atomic.Bool
	var wg sync.WaitGroup
	address := c.address(0).String()
	c.eventually("the hub answers", func() error {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err
	})
	for range clients {
		wg.Go(func() {
			for {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return // the hub has stopped
				}
				for first, again := true, true; again; first = false {
					again, err = call(conn)
					switch {
					case first && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.ErrUnexpectedEOF)):
						// The connection waited to be accepted when the hub closed its
						// port.
					case err == nil:
						answered.Add(1)
						if stopping.Load() {
							lateAnswers.Add(1)
						}
					default:
						cut.Add(1)
					}
					time.Sleep(3 * time.Millisecond)
				}
				conn.Close()
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stopping.Store(true)
	c.hubs[0].stop()
	wg.Wait()
	if cut.Load() != 0 || handled.Load() != answered.Load() {
		t.Errorf("got %d calls without an answer, %d that were handled and %d that were answered, want none and the same", cut.Load(), handled.Load(), answered.Load())
	}
	if lateAnswers.Load() == 0 {
		t.Error("got no answer after the stop began, want calls of that time answered")
	}
}

// call sends a call and reads the response. It reports whether the connection may be
// used again.
func call(conn net.Conn) (bool, error) {
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: hub\r\n\r\n"); err != nil {
		return false, err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, err
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false, err
	}
	return !r.Close, nil
}
