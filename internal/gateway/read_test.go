package gateway

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/pkg/steering"
)

func newSuspensible(conn *net.UDPConn) *Daemon {
	d := &Daemon{Log: zap.NewNop(), conn: conn, core: steering.New("z0", rand.New(rand.NewPCG(1, 1)))}
	d.suspension.Resumed = d.resumed
	return d
}

// Guards against opening packets that wait in the socket while the process is suspended
// and are forwarded when it runs again: another VM has forwarded a copy to another target
// by then. Also guards against the loss of packets that arrive after the suspension.
func TestOpeningPacketsOfSuspension(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sender, err := net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	r, err := newPacketReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	d := newSuspensible(conn)
	send := func(n int) {
		for range n {
			if _, err := sender.Write([]byte("packet")); err != nil {
				t.Fatal(err)
			}
		}
	}
	// later shifts the clock of the daemon: the process does not run for that time.
	later := time.Duration(0)
	read := func() (waited bool) {
		n, err := r.read(make([]byte, bufferSize))
		if err != nil || n != len("packet") {
			t.Fatalf("read: got %d bytes, %v", n, err)
		}
		now := time.Now().Add(later)
		d.suspension.Observe(now)
		return d.suspension.MaxAge(r.emptyAt.Add(later), now) > 0
	}
	r.emptyAt = time.Now()
	d.suspension.Observe(time.Now())
	send(1)
	if read() {
		t.Error("packet without a suspension: got one that waited")
	}
	send(3)
	empty := r.emptyAt
	later = 3500 * time.Millisecond
	for i := range 3 {
		r.emptyAt = empty.Add(-later)
		if !read() {
			t.Errorf("packet %d that waited during the suspension: got a new one", i)
		}
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		send(1)
	}()
	if read() {
		t.Error("packet after the suspension: got one that waited")
	}
}

// Guards against the first opening packet after a suspension that is dropped although the
// socket was empty when the process ran again.
func TestFirstPacketAfterSuspension(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sender, err := net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	r, err := newPacketReader(conn)
	if err != nil {
		t.Fatal(err)
	}
	d := newSuspensible(conn)
	d.suspension.Observe(time.Now())
	old := make(chan bool, 1)
	go func() {
		if _, err := r.read(make([]byte, bufferSize)); err != nil {
			t.Error(err)
		}
		now := time.Now()
		d.suspension.Observe(now)
		old <- d.suspension.MaxAge(r.emptyAt, now) > 0
	}()
	time.Sleep(800 * time.Millisecond) // without a call of Observe
	d.suspension.Observe(time.Now())
	time.Sleep(50 * time.Millisecond)
	d.suspension.Observe(time.Now())
	if _, err := sender.Write([]byte("packet")); err != nil {
		t.Fatal(err)
	}
	if <-old {
		t.Error("first packet after a suspension with an empty socket: got one that waited")
	}
}
