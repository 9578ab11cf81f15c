package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

type (
	flowKey struct{ client, route netip.AddrPort }

	// backend is a backend as PROTOCOL.md describes it, which serves requests of one
	// packet each.
	backend struct {
		w       *world
		service string
		zone    string
		id      string
		num     uint64
		addr    netip.AddrPort
		born    int64
		work    time.Duration
		conn    *net.UDPConn
		server  *http.Server
		ctx     context.Context
		cancel  context.CancelFunc
		// onRun and onSyn, if set, are called with each request that begins to run and
		// each SYN that is answered.
		onRun func(b *backend, key flowKey, id string)
		onSyn func(b *backend, key flowKey, copies uint32)

		mu       sync.Mutex
		seq      uint64
		state    string
		beatAddr string
		flows    map[flowKey]*serverFlow
		acked    time.Time // acknowledgement of draining
		cut      bool      // cut off from the hubs
	}

	serverFlow struct {
		seq, rcvNext uint32
		start        uint32
		open, ended  bool
		echo         uint32
		sent         []byte
		sentSeq      uint32
		timer        *time.Timer
		tries        int
	}
)

// String returns the client's and the route's address.
func (k flowKey) String() string { return k.client.String() + " to " + k.route.String() }

func mix(key flowKey, ip netip.Addr) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, key.client, key.route, ip)
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

func (w *world) addBackend(service, zone string, n int, work time.Duration) (*backend, error) {
	num := uint64(rand.Uint32() | 1)
	b := &backend{w: w, service: service, zone: zone, num: num, id: fmt.Sprintf("i-%08x", num),
		addr: netip.AddrPortFrom(w.ip(w.zoneIndex(zone), 100+n), w.dataPort), work: work, state: "ready"}
	return b, b.run()
}

// run starts the process of the backend.
func (b *backend) run() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.addr))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", b.addr.String())
	if err != nil {
		conn.Close()
		return err
	}
	b.mu.Lock()
	b.conn, b.born, b.seq, b.flows = conn, time.Now().UnixMilli(), 0, map[flowKey]*serverFlow{}
	b.ctx, b.cancel = context.WithCancel(b.w.ctx)
	b.server = &http.Server{Handler: http.HandlerFunc(b.health)}
	b.mu.Unlock()
	b.w.mu.Lock()
	b.w.backends = append(b.w.backends, b)
	b.w.mu.Unlock()
	go b.server.Serve(l)
	go b.receive(conn)
	go b.heartbeats(b.ctx)
	return nil
}

func (b *backend) crash() {
	b.cancel()
	b.conn.Close()
	b.server.Close()
}

// setCut sets whether the backend is cut off from the hubs.
func (b *backend) setCut(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
}

func (b *backend) isCut() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Server-Load", "2,0,0")
	if b.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *backend) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		b.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval - 100*time.Millisecond + rand.N(200*time.Millisecond)):
		}
	}
}

// beat sends one heartbeat, to one hub after the other until one acknowledges it.
func (b *backend) beat(ctx context.Context) bool {
	b.mu.Lock()
	if b.cut {
		b.mu.Unlock()
		return false
	}
	b.seq++
	state := b.state
	body, _ := json.Marshal(map[string]any{"service": b.service, "addr": b.addr.String(), "zone": b.zone, "version": "v1", "slots": 2,
		"state": state, "coldLeftMs": 0, "seq": b.seq, "born": b.born})
	first := b.beatAddr
	b.mu.Unlock()
	addrs := []string{}
	if first != "" {
		addrs = append(addrs, first)
	}
	for _, i := range rand.Perm(len(b.w.hubs)) {
		addrs = append(addrs, b.w.control(b.w.hubs[i]))
	}
	for _, a := range addrs {
		if b.isCut() {
			return false
		}
		status, _, answer := call(ctx, http.MethodPost, "http://"+a+"/instances/"+b.id+"/heartbeat", body, time.Second)
		b.mu.Lock()
		if status/100 == 2 {
			var r struct {
				At string `json:"heartbeatAddr"`
			}
			_ = json.Unmarshal(answer, &r)
			if r.At != "" {
				b.beatAddr = r.At
			} else {
				b.beatAddr = a
			}
			if state == "draining" && b.acked.IsZero() {
				b.acked = time.Now()
				b.w.note("backend %s: draining acknowledged by %s", b.id, a)
			}
			b.mu.Unlock()
			return true
		}
		b.beatAddr = ""
		b.mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

func (b *backend) receive(conn *net.UDPConn) {
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if num := binary.BigEndian.Uint64(buf); num != 0 && num != b.num {
			continue
		}
		p, ok := decode(buf[8:n])
		if !ok || !p.sumOK {
			b.w.note("BROKEN UNASKED: backend %s got a packet that its sender didn't write so", b.id)
			continue
		}
		b.handle(&p)
	}
}

func (b *backend) send(p *packet) {
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), b.w.dataPort))
}

func (b *backend) handle(p *packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := b.flows[key]
	if p.flags&(syn|ack) == syn {
		if f == nil || f.ended {
			f = &serverFlow{start: rand.Uint32()}
			b.flows[key] = f
		}
		if !f.open {
			f.seq, f.rcvNext, f.echo = f.start+1, p.seq+1, p.echo
			if b.onSyn != nil {
				b.onSyn(b, key, p.ack)
			}
			b.send(&packet{src: p.dst, dst: p.src, seq: f.start, ack: p.seq + 1, echo: p.echo, flags: syn | ack})
		}
		return
	}
	if f == nil || !f.open && p.ack != f.start+1 || f.ended && len(p.data) > 0 {
		if p.flags&rst == 0 {
			b.w.note("backend %s resets flow %v, which it does not hold", b.id, key)
			b.send(&packet{src: p.dst, dst: p.src, seq: p.ack, ack: p.seq, echo: p.echo, flags: rst, data: []byte(b.id)})
		}
		return
	}
	if !f.open {
		f.open = true
		b.w.flowOpened(key, b)
	}
	f.echo = p.echo
	if p.flags&rst != 0 {
		f.ended = true
		return
	}
	if f.sent != nil && int32(p.ack-(f.sentSeq+uint32(len(f.sent)))) >= 0 {
		f.sent = nil
		f.timer.Stop()
	}
	switch {
	case len(p.data) > 0 && p.seq == f.rcvNext:
		f.rcvNext += uint32(len(p.data))
		b.send(&packet{src: p.dst, dst: p.src, seq: f.seq, ack: f.rcvNext, echo: f.echo, flags: ack})
		b.serve(key, f, p.data)
	case p.flags&fin != 0:
		if p.seq == f.rcvNext && !f.ended {
			f.rcvNext++
			f.ended = true
		}
		b.send(&packet{src: p.dst, dst: p.src, seq: f.seq, ack: f.rcvNext, echo: f.echo, flags: ack | fin})
	case len(p.data) > 0:
		b.send(&packet{src: p.dst, dst: p.src, seq: f.seq, ack: f.rcvNext, echo: f.echo, flags: ack})
	}
}

// serve runs a request, which is one packet, and answers it. b.mu is held.
func (b *backend) serve(key flowKey, f *serverFlow, data []byte) {
	id := headerOf(data, "Request-Id")
	b.w.requestRun(b, key, id)
	if b.onRun != nil {
		b.onRun(b, key, id)
	}
	time.AfterFunc(b.work, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.ctx.Err() != nil || f.ended {
			return
		}
		body := strings.Repeat("x", 500)
		f.sent = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nResponse-Signature: %s/%s\r\nContent-Length: %d\r\n\r\n%s", id, b.id, b.id, id, len(body), body)
		f.sentSeq, f.tries = f.seq, 0
		f.seq += uint32(len(f.sent))
		b.sendAnswer(key, f)
	})
}

// sendAnswer sends the answer, and again until it is acknowledged. b.mu is held.
func (b *backend) sendAnswer(key flowKey, f *serverFlow) {
	if f.sent == nil || f.tries > 8 || b.ctx.Err() != nil {
		return
	}
	b.send(&packet{src: key.route, dst: key.client, seq: f.sentSeq, ack: f.rcvNext, echo: f.echo, flags: ack, data: f.sent})
	wait := min(200*time.Millisecond<<f.tries, 1600*time.Millisecond)
	f.tries++
	f.timer = time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.sendAnswer(key, f)
	})
}

func headerOf(data []byte, name string) string {
	for line := range strings.SplitSeq(string(data), "\r\n") {
		if v, ok := strings.CutPrefix(line, name+": "); ok {
			return v
		}
	}
	return ""
}
