package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// backend is one incarnation of a backend.
type backend struct {
	w             *world
	service, zone string
	id            string
	at            netip.AddrPort
	number        uint64
	born          int64
	conn          *net.UDPConn
	server        *http.Server
	// dial, if not nil, opens the connections of its calls.
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	seq   int
	state string
	next  string
	flows map[[2]netip.AddrPort]*backendFlow
	// resets counts the resets that this backend has sent, by client.
	resets map[netip.AddrPort]int
	runs   map[string]string
	// endedAt is zero while the backend lives.
	endedAt time.Time
	// drainAt is the time of the acknowledgement of the drain.
	drainAt time.Time
}

// backendFlow is a flow at a backend. Requests and responses are one packet each.
type backendFlow struct {
	open           bool
	isn            uint32
	rcvNext        uint32
	sndNext        uint32
	echo           uint32
	lastAck        uint32
	response       *packet
	responseNumber int
}

// newID returns an id that no backend has.
func newID() string { return fmt.Sprintf("i-%010x", rand.Uint64()>>24|1<<39) }

// startBackend starts a backend at an address.
func (w *world) startBackend(service, zone, id string, at netip.AddrPort, dial func(ctx context.Context, network, addr string) (net.Conn, error)) (*backend, error) {
	b := &backend{
		w: w, service: service, zone: zone, id: id, at: at, born: time.Now().UnixMilli(), state: "ready", dial: dial,
		flows: map[[2]netip.AddrPort]*backendFlow{}, resets: map[netip.AddrPort]int{}, runs: map[string]string{},
	}
	var err error
	if b.number, err = strconv.ParseUint(strings.TrimPrefix(id, "i-"), 16, 64); err != nil {
		return nil, err
	}
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return nil, err
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.server = &http.Server{Handler: http.HandlerFunc(b.health)}
	b.wg.Go(func() { _ = b.server.Serve(l) })
	b.wg.Go(b.receive)
	b.wg.Go(b.beat)
	w.mu.Lock()
	w.backends[b] = true
	w.mu.Unlock()
	w.logf("backend %s of %s started at %s, born %d", id, service, at, b.born)
	return b, nil
}

// end stops the backend without a word.
func (b *backend) end() {
	b.mu.Lock()
	ended := !b.endedAt.IsZero()
	if !ended {
		b.endedAt = time.Now()
	}
	b.mu.Unlock()
	if ended {
		return
	}
	b.cancel()
	b.conn.Close()
	b.server.Close()
	b.wg.Wait()
	b.w.mu.Lock()
	delete(b.w.backends, b)
	b.w.mu.Unlock()
}

func (b *backend) health(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Instance-Id", b.id)
	rw.Header().Set("Server-Load", "2,0,0")
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state != "ready" {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *backend) beat() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-timer.C:
		}
		b.heartbeat()
		timer.Reset(heartbeat*9/10 + rand.N(heartbeat/5))
	}
}

// daemons returns the addresses that the backend calls, in order.
func (b *backend) daemons() []string {
	var own, others []string
	for _, c := range b.w.controls {
		if c.zone == b.zone {
			own = append(own, c.at(b.w.controlPort))
		} else {
			others = append(others, c.at(b.w.controlPort))
		}
	}
	list := append(own, others...)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != "" {
		list = append([]string{b.next}, list...)
	}
	return list
}

// heartbeat reports whether a daemon has acknowledged a heartbeat.
func (b *backend) heartbeat() bool {
	body := b.beatBody()
	for _, d := range b.daemons() {
		status, answer := b.call(d, "/instances/"+b.id+"/heartbeat", body)
		if status == http.StatusOK {
			var a struct{ HeartbeatAddr string }
			_ = json.Unmarshal(answer, &a)
			b.mu.Lock()
			b.next = a.HeartbeatAddr
			b.mu.Unlock()
			return true
		}
		b.mu.Lock()
		b.next = ""
		b.mu.Unlock()
	}
	return false
}

func (b *backend) beatBody() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "addr": b.at.String(), "zone": b.zone, "version": "v1", "slots": 2, "state": b.state,
		"coldLeftMs": 0, "seq": b.seq, "born": b.born,
	})
	return body
}

// heartbeatOn sends a heartbeat on a connection, which stays open.
func (b *backend) heartbeatOn(conn net.Conn) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+b.at.String()+"/instances/"+b.id+"/heartbeat", bytes.NewReader(b.beatBody()))
	if err != nil {
		return err
	}
	if err := r.Write(conn); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// call makes one call, which fails after a second.
func (b *backend) call(daemon, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(b.ctx, time.Second)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: b.dial, DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, answer
}

// drain says that the backend leaves, until a daemon acknowledges it.
func (b *backend) drain(limit time.Duration) bool {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if b.heartbeat() {
			b.w.logf("draining of %s acknowledged", b.id)
			b.mu.Lock()
			b.drainAt = time.Now()
			b.mu.Unlock()
			return true
		}
	}
	return false
}

func (b *backend) receive() {
	buf := make([]byte, 4096)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		number := binary.BigEndian.Uint64(buf)
		if number != 0 && number != b.number {
			continue
		}
		p, intact := decode(buf[8:n])
		if !intact {
			b.w.logf("UNASKED: backend %s got a packet from %s that its sender did not write", b.id, from)
			continue
		}
		b.handle(&p, from)
	}
}

func (b *backend) send(p *packet) {
	to := netip.AddrPortFrom(p.dst.Addr(), uint16(b.w.dataPort))
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), to)
}

func (b *backend) handle(p *packet, via netip.AddrPort) {
	key := [2]netip.AddrPort{p.src, p.dst}
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	if p.flags&(flagSyn|flagAck) == flagSyn {
		if f == nil {
			f = &backendFlow{isn: rand.Uint32(), rcvNext: p.seq + 1}
			f.sndNext = f.isn + 1
			b.flows[key] = f
			if late := time.Since(b.drainAt); !b.drainAt.IsZero() && late > drainTime {
				b.w.logf("DRAIN: backend %s got SYN of %s via %s, %v after the acknowledgement of its drain", b.id, p.src, via.Addr(), late)
			}
		}
		b.w.logf("backend %s got SYN copy %d of %s via %s", b.id, p.ack, p.src, via.Addr())
		b.send(&packet{src: p.dst, dst: p.src, seq: f.isn, ack: f.rcvNext, echo: p.echo, flags: flagSyn | flagAck})
		return
	}
	if f == nil || !f.open && p.ack != f.sndNext {
		if p.flags&flagRst == 0 {
			b.resets[p.src]++
			b.w.logf("backend %s (%s) got a packet of flow %s, which it does not hold, via %s, and sends an RST", b.id, b.service, p.src, via.Addr())
			b.send(&packet{src: p.dst, dst: p.src, seq: p.ack, ack: p.seq, echo: p.echo, flags: flagRst})
		}
		return
	}
	f.echo = p.echo
	if p.flags&flagRst != 0 {
		delete(b.flows, key)
		return
	}
	if !f.open {
		f.open = true
		b.w.logf("flow %s opened at backend %s", p.src, b.id)
		b.w.flowOpened(p.src, b)
	}
	f.lastAck = p.ack
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.rcvNext {
		f.rcvNext += uint32(len(p.data))
		id := requestID(p.data)
		f.responseNumber++
		b.runs[id] = p.dst.String()
		b.w.logf("backend %s (%s) runs request %s for route %s", b.id, b.service, id, p.dst)
		b.w.requestRun(id, p.dst, b)
		body := strings.Repeat("x", 600)
		data := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, b.id, len(body), body)
		f.response = &packet{src: p.dst, dst: p.src, seq: f.sndNext, ack: f.rcvNext, flags: flagAck, data: []byte(data)}
		f.sndNext += uint32(len(data))
		b.wg.Go(func() { b.respond(key, f, f.responseNumber) })
		return
	}
	// A repeated packet: acknowledge it again.
	b.send(&packet{src: p.dst, dst: p.src, seq: f.sndNext, ack: f.rcvNext, echo: f.echo, flags: flagAck})
}

// respond sends the response after the work, and repeats it until it is acknowledged.
func (b *backend) respond(key [2]netip.AddrPort, f *backendFlow, number int) {
	delay := 30 * time.Millisecond
	for n := range 9 {
		select {
		case <-b.ctx.Done():
			return
		case <-time.After(delay):
		}
		b.mu.Lock()
		done := b.flows[key] != f || f.responseNumber != number || n > 0 && int32(f.lastAck-f.sndNext) >= 0
		if !done {
			p := *f.response
			p.echo = f.echo
			b.send(&p)
		}
		b.mu.Unlock()
		if done {
			return
		}
		delay = min(200*time.Millisecond<<n, 1600*time.Millisecond)
	}
}

func requestID(data []byte) string {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(data)))
	if err != nil {
		return ""
	}
	return r.Header.Get("Request-Id")
}
