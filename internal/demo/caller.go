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
	serviceHeader      = "Demo-Service"
	sheetChunkSize     = 48 << 10
	sheetChunkInterval = 100 * time.Millisecond
	// serviceTime is the time that a target takes to process a lookup or HTTP/3
	// order.
	serviceTime = 5 * time.Millisecond
)

type (
	// callerConn is the net.PacketConn of one caller, which sends a single
	// request from its own 5-tuple.
	callerConn struct {
		*packetQueue
		fabric *fabric
		source netip.AddrPort
	}

	// mismatchError reports a response that does not match the request.
	mismatchError struct{ got, want string }
)

var (
	_ net.PacketConn = (*callerConn)(nil)
	_ receiver       = (*callerConn)(nil)
)

func (e *mismatchError) Error() string { return fmt.Sprintf("got response %q, want %q", e.got, e.want) }

// deliver queues the payload of a reply for ReadFrom. A nil packet means that
// the request was refused and makes reads fail with ECONNREFUSED.
func (c *callerConn) deliver(in geneve.Inner, packet []byte) {
	if packet == nil {
		c.closeWithError(&net.OpError{Op: "read", Net: "udp", Err: os.NewSyscallError("recvfrom", syscall.ECONNREFUSED)})
		return
	}
	c.enqueue(datagram{data: append([]byte(nil), in.Data...), from: net.UDPAddrFromAddrPort(in.Source)})
}

// WriteTo sends a UDP payload to a VIP through the fabric.
func (c *callerConn) WriteTo(b []byte, to net.Addr) (int, error) {
	packet, err := geneve.BuildUDP(c.source, addrPortOf(to), b)
	if err != nil {
		return 0, err
	}
	c.fabric.send(packet)
	return len(b), nil
}

// LocalAddr returns the caller's address.
func (c *callerConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.source) }

// roundTrip sends one HTTP/3 request on a new QUIC connection and passes the
// response body to check. It returns a mismatchError if the status is not 200.
func roundTrip(ctx context.Context, f *fabric, source, vip netip.AddrPort, tlsConfig *tls.Config, method, path string, service fleet.ServiceID, check func(io.Reader) error) error {
	conn := &callerConn{packetQueue: newPacketQueue(), fabric: f, source: source}
	f.register(source, conn)
	defer f.unregister(source)
	transport := &quic.Transport{Conn: conn}
	defer transport.Close()
	h3 := &http3.Transport{
		TLSClientConfig: tlsConfig.Clone(),
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
		return &mismatchError{got: resp.Status, want: "200"}
	}
	return check(resp.Body)
}

// responseBody returns the expected response to a lookup or order.
func responseBody(service fleet.ServiceID, id string) string { return string(service) + " " + id }

func expectBody(want string) func(io.Reader) error {
	return func(r io.Reader) error {
		got, err := io.ReadAll(io.LimitReader(r, 1<<16))
		if err != nil {
			return err
		}
		if string(got) != want {
			return &mismatchError{got: string(got), want: want}
		}
		return nil
	}
}

// sheetStream returns the content of a sheet: an endless pseudorandom stream
// seeded with a hash of the sheet's ID.
func sheetStream(id string) io.Reader {
	h := fnv.New64a()
	h.Write([]byte(id))
	var seed [32]byte
	copy(seed[:], strconv.FormatUint(h.Sum64(), 16))
	return rand.NewChaCha8(seed)
}

// expectSheet returns a check that compares the first size bytes of the
// response with the requested sheet.
func expectSheet(id string, size int) func(io.Reader) error {
	return func(r io.Reader) error {
		want, got := make([]byte, sheetChunkSize), make([]byte, sheetChunkSize)
		stream := sheetStream(id)
		for remaining := size; remaining > 0; remaining -= sheetChunkSize {
			n := min(remaining, sheetChunkSize)
			if _, err := io.ReadFull(r, got[:n]); err != nil {
				return fmt.Errorf("reading sheet, %d bytes remaining: %w", remaining, err)
			}
			if _, err := io.ReadFull(stream, want[:n]); err != nil {
				return err
			}
			if !bytes.Equal(got[:n], want[:n]) {
				return &mismatchError{got: "different bytes", want: "sheet " + id}
			}
		}
		return nil
	}
}

// handler returns the HTTP handler of a target, which serves lookups, orders
// and sheets.
func (t *target) handler(sheetSize int) http.Handler {
	mux := http.NewServeMux()
	serveBody := func(w http.ResponseWriter, r *http.Request) {
		t.recordRequest(r)
		select {
		case <-time.After(serviceTime):
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, responseBody(t.service, r.PathValue("id")))
	}
	mux.HandleFunc("GET /lookup/{id}", serveBody)
	mux.HandleFunc("POST /order/{id}", serveBody)
	mux.HandleFunc("GET /sheet/{id}", func(w http.ResponseWriter, r *http.Request) {
		t.recordRequest(r)
		writeSheet(w, r, sheetSize)
	})
	return mux
}

// recordRequest records that the target executes a request, and whether the
// request was meant for another service.
func (t *target) recordRequest(r *http.Request) {
	id := r.PathValue("id")
	t.audit.recordRun(id)
	if r.Header.Get(serviceHeader) != string(t.service) {
		t.audit.recordWrongService(id, t.service)
	}
}

func writeSheet(w http.ResponseWriter, r *http.Request, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	stream := sheetStream(r.PathValue("id"))
	tick := time.NewTicker(sheetChunkInterval)
	defer tick.Stop()
	for remaining := size; remaining > 0; remaining -= sheetChunkSize {
		if _, err := io.CopyN(w, stream, int64(min(remaining, sheetChunkSize))); err != nil {
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

// isRefusal reports whether the load balancer refused the request. No target may
// execute a refused request, which checkGuarantees checks. isRefusal also searches
// the text of the error, because the error may contain the text of ECONNREFUSED
// without wrapping it.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || (err != nil && strings.Contains(err.Error(), syscall.ECONNREFUSED.Error()))
}
