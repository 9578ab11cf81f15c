package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

func newSocket(t *testing.T, id fleet.VMID) *Socket {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return &Socket{Self: id, Conn: conn, Clock: new(timeline.Clock)}
}

func (s *Socket) address() netip.AddrPort { return s.Conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Guards against malformed datagrams that stop the receiver or reach a
// protocol, and against a receiver whose logical clock stays behind the stamp
// of a received frame.
func TestSocket(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := newSocket(t, "a"), newSocket(t, "b")
	defer a.Conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	now := time.Now()
	if _, err := a.Conn.WriteToUDPAddrPort([]byte("garbage"), b.address()); err != nil {
		t.Fatal(err)
	}
	a.Send(b.address(), Lease, make([]byte, MaxDatagram), now)
	a.Send(b.address(), Lease, []byte("body"), now.Add(time.Second))
	var got ReceivedFrame
	if err := b.Receive(ctx, func(r ReceivedFrame) { got = r; cancel() }); err != nil {
		t.Fatalf("Receive: got %v, want no error", err)
	}
	if got.From != "a" || got.Channel != Lease || string(got.Body) != "body" || got.Address != a.address() {
		t.Errorf("got %+v, want the frame from a", got)
	}
	if invalid, _, _ := b.Discarded(); invalid != 1 {
		t.Errorf("invalid datagrams: got %d, want 1", invalid)
	}
	if _, _, tooLarge := a.Discarded(); tooLarge != 1 {
		t.Errorf("too large frames: got %d, want 1", tooLarge)
	}
	if later := b.Clock.Now(now); later.Compare(got.Stamp) <= 0 {
		t.Errorf("receiver's stamp: got %v, want one after %v", later, got.Stamp)
	}
}

// Guards against pulls that lose a delta, hang, or leave goroutines behind, and
// against malformed requests that stop the server or are not counted as
// rejected connections.
func TestPull(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	want := settings.NewStore().Delta(0)
	server := &PullServer{Self: "a", Listener: listener, Answer: func(from fleet.VMID, m spread.Message) (spread.Message, error) {
		if from != "b" || m.Pull == nil {
			return spread.Message{}, &fleet.UnknownError{Type: "VM", Name: string(from)}
		}
		return spread.Message{Push: &spread.Push{Delta: *want}}, nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- server.Run(ctx) }()
	address := netip.MustParseAddrPort(listener.Addr().String())
	message := spread.Message{Pull: &spread.Pull{}}
	from, got, err := Pull(ctx, "b", address, message)
	if err != nil || from != "a" || got.Push == nil || got.Push.Delta.Full != want.Full {
		t.Errorf("got %v, %+v, %v, want a delta from a", from, got, err)
	}
	var pe *PullError
	if _, _, err := Pull(ctx, "c", address, message); !errors.As(err, &pe) {
		t.Errorf("refused pull: got %v, want PullError", err)
	}
	for _, malformed := range []string{"garbage\n", strings.Repeat("\xfc\x7f\xff\xff\xff", maxRequestSize)} {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		// The server may close the connection before all bytes are written.
		_, _ = conn.Write([]byte(malformed))
		if err := conn.(*net.TCPConn).CloseWrite(); err == nil {
			_, _ = io.ReadAll(conn)
		}
		conn.Close()
	}
	if from, _, err := Pull(ctx, "b", address, message); err != nil || from != "a" {
		t.Errorf("pull after malformed requests: got %v, %v, want a delta from a", from, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("Run: got %v, want no error", err)
	}
	// One refused pull and two connections with malformed requests.
	if got, want := server.RejectedConns(), uint64(3); got != want {
		t.Errorf("rejected connections: got %d, want %d", got, want)
	}
	if _, _, err := Pull(context.Background(), "b", address, message); !errors.As(err, &pe) {
		t.Errorf("pull from a stopped server: got %v, want PullError", err)
	}
}

// Guards against a panic on malformed bytes, and against a decoded frame that
// is not valid.
func FuzzDecodeFrame(f *testing.F) {
	b, err := (&Frame{Channel: Spread, From: "a"}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := DecodeFrame(b); err == nil && got.Validate() != nil {
			t.Errorf("got frame %+v, want a valid one", got)
		}
	})
}
