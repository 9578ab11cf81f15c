package demo

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	serviceHeader = "Demo-Service"
	sheetChunk    = 48 << 10
	sheetPause    = 100 * time.Millisecond
	// serviceTime is the time that a target works on a lookup or order.
	serviceTime = 5 * time.Millisecond
)

type (
	// callerConn is the net.PacketConn of one caller: one 5-tuple, one request.
	callerConn struct {
		*pipe
		fabric *fabric
		source netip.AddrPort
	}

	// contentError reports a response that is not the one asked for.
	contentError struct{ got, want string }
)

var (
	_ net.PacketConn = (*callerConn)(nil)
	_ receiver       = (*callerConn)(nil)
)

func (e *contentError) Error() string { return fmt.Sprintf("got response %q, want %q", e.got, e.want) }

// deliver takes a reply; a reply without a packet is a refusal.
func (c *callerConn) deliver(in geneve.Inner, packet []byte) {
	if packet == nil {
		c.fail(&net.OpError{Op: "read", Net: "udp", Err: os.NewSyscallError("recvfrom", syscall.ECONNREFUSED)})
		return
	}
	c.push(datagram{data: append([]byte(nil), in.Data...), from: net.UDPAddrFromAddrPort(in.Source)})
}

// WriteTo sends a UDP payload to a VIP by way of the fabric.
func (c *callerConn) WriteTo(b []byte, to net.Addr) (int, error) {
	packet, err := geneve.BuildUDP(c.source, callerOf(to), b)
	if err != nil {
		return 0, err
	}
	c.fabric.send(packet)
	return len(b), nil
}

// LocalAddr returns the caller's address.
func (c *callerConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.source) }

// roundTrip sends one HTTP/3 request on its own QUIC connection and returns
// the response body.
func roundTrip(ctx context.Context, f *fabric, source, vip netip.AddrPort, roots *tls.Config, method, path string, service fleet.ServiceID, check func(io.Reader) error) error {
	conn := &callerConn{pipe: newPipe(), fabric: f, source: source}
	f.register(source, conn)
	defer f.unregister(source)
	transport := &quic.Transport{Conn: conn}
	defer transport.Close()
	h3 := &http3.Transport{
		TLSClientConfig: roots.Clone(),
		QUICConfig:      quicConfig(),
		Dial: func(ctx context.Context, _ string, tc *tls.Config, qc *quic.Config) (*quic.Conn, error) {
			return transport.Dial(ctx, net.UDPAddrFromAddrPort(vip), tc, qc)
		},
	}
	defer h3.Close()
	req, err := http.NewRequestWithContext(ctx, method, "https://"+serverName+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(serviceHeader, string(service))
	resp, err := h3.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &contentError{got: resp.Status, want: "200"}
	}
	return check(resp.Body)
}

// content is the response to a lookup or order.
func content(service fleet.ServiceID, id string) string { return string(service) + " " + id }

func expectContent(want string) func(io.Reader) error {
	return func(r io.Reader) error {
		got, err := io.ReadAll(io.LimitReader(r, 1<<16))
		if err != nil {
			return err
		}
		if string(got) != want {
			return &contentError{got: string(got), want: want}
		}
		return nil
	}
}

// sheetStream is the content of a sheet, which follows from its id.
func sheetStream(id string) io.Reader {
	h := fnv.New64a()
	h.Write([]byte(id))
	var seed [32]byte
	copy(seed[:], strconv.FormatUint(h.Sum64(), 16))
	return rand.NewChaCha8(seed)
}

// expectSheet compares each byte with the sheet asked for.
func expectSheet(id string, size int) func(io.Reader) error {
	return func(r io.Reader) error {
		want, got := make([]byte, sheetChunk), make([]byte, sheetChunk)
		stream := sheetStream(id)
		for left := size; left > 0; left -= sheetChunk {
			n := min(left, sheetChunk)
			if _, err := io.ReadFull(r, got[:n]); err != nil {
				return fmt.Errorf("%d bytes before the end: %w", left, err)
			}
			if _, err := io.ReadFull(stream, want[:n]); err != nil {
				return err
			}
			if !bytes.Equal(got[:n], want[:n]) {
				return &contentError{got: "other bytes", want: "sheet " + id}
			}
		}
		return nil
	}
}

// handler serves lookups, orders and sheets at a target.
func (t *target) handler(sheetSize int) http.Handler {
	mux := http.NewServeMux()
	run := func(w http.ResponseWriter, r *http.Request) {
		t.note(r)
		select {
		case <-time.After(serviceTime):
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, content(t.service, r.PathValue("id")))
	}
	mux.HandleFunc("GET /lookup/{id}", run)
	mux.HandleFunc("POST /order/{id}", run)
	mux.HandleFunc("GET /sheet/{id}", func(w http.ResponseWriter, r *http.Request) {
		t.note(r)
		writeSheet(w, r, sheetSize)
	})
	return mux
}

// note records the run of a request.
func (t *target) note(r *http.Request) {
	id := r.PathValue("id")
	t.ledger.ran(id)
	if r.Header.Get(serviceHeader) != string(t.service) {
		t.ledger.wrongService(id, t.service)
	}
}

func writeSheet(w http.ResponseWriter, r *http.Request, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	stream := sheetStream(r.PathValue("id"))
	tick := time.NewTicker(sheetPause)
	defer tick.Stop()
	for left := size; left > 0; left -= sheetChunk {
		if _, err := io.CopyN(w, stream, int64(min(left, sheetChunk))); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}

// isRefusal reports whether the system said that the request was not run.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || (err != nil && strings.Contains(err.Error(), syscall.ECONNREFUSED.Error()))
}
