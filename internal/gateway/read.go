package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
)

// runInterval is the time between two calls of steering.Suspension.Observe.
const runInterval = 50 * time.Millisecond

// packetReader reads packets from a socket and notes when the socket was empty: no packet
// that is read later arrived before that time.
type packetReader struct {
	socket  *net.UDPConn
	conn    syscall.RawConn
	emptyAt time.Time

	// buf, n and err are the arguments and results of tryRead, which is kept as a value
	// because each read would otherwise allocate it.
	buf     []byte
	n       int
	err     error
	tryRead func(fd uintptr) bool
}

func newPacketReader(conn *net.UDPConn) (*packetReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &packetReader{socket: conn, conn: raw}
	r.tryRead = func(fd uintptr) bool {
		for {
			r.n, r.err = syscall.Read(int(fd), r.buf)
			switch r.err {
			case syscall.EINTR:
				continue
			case syscall.EAGAIN:
				r.emptyAt = time.Now()
				return false
			}
			return true
		}
	}
	return r, nil
}

// read waits for the next packet and reads it into buf. It returns the error of the socket.
func (r *packetReader) read(buf []byte) (int, error) {
	r.buf = buf
	for {
		err := r.conn.Read(r.tryRead)
		if err == nil {
			return r.n, r.err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		// Daemon.resumed has asked to look again whether the socket is empty.
		if err := r.socket.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
}

// runTicks calls call at an interval until ctx ends.
func runTicks(ctx context.Context, interval time.Duration, call func(now time.Time)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			call(time.Now())
		}
	}
}

// resumed drops the opening packets that this VM held during a suspension of the process.
// It makes a reader that waits for packets look again whether the socket is empty: the next
// packet would otherwise count as one that may have waited during the suspension.
func (d *Daemon) resumed(gap time.Duration, now time.Time) {
	held := d.core.Resume(now)
	d.stale.Add(uint64(held))
	d.Log.Info("process did not run", zap.Duration(logging.After, gap), zap.Int("Held", held), zap.Uint64("Stale", d.stale.Load()))
	// The error of a closed socket is that of the next read.
	_ = d.conn.SetReadDeadline(time.Now())
}
