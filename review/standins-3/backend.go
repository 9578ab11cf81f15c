package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// queueLength is the number of requests that wait for a slot of a backend.
const queueLength = 8

type flowKey struct{ client, route netip.AddrPort }

// backendFlow is a flow at a backend. It is open once the backend has the end of the
// handshake.
type backendFlow struct {
	isn, next, received uint32
	echo                uint32
	open, lost          bool
	acked               uint32
	in                  []byte
}

// arrival is a packet other than a SYN that has reached a backend.
type arrival struct {
	at  time.Time
	key flowKey
	// own is set if the flow is open at the backend.
	own bool
}

// run is a request that a backend has run.
type run struct {
	at      time.Time
	request string
}

// backend is one incarnation of a backend.
type backend struct {
	w       *world
	id      string
	service string
	zone    int
	addr    netip.AddrPort
	born    int64
	work    time.Duration
	// loses, if not nil, reports whether the link loses a packet that the backend sends.
	loses func(b *backend, key flowKey, p *packet) bool

	conn   *net.UDPConn
	server *http.Server
	slots  chan struct{}
	ended  chan struct{}
	once   sync.Once

	mu       sync.Mutex
	seq      uint64
	draining bool
	waiting  int
	flows    map[flowKey]*backendFlow
	arrivals []arrival
	runs     []run
}

// startBackend starts a backend, which announces itself until it ends.
func (w *world) startBackend(b *backend) error {
	b.w, b.ended, b.flows, b.slots = w, make(chan struct{}), make(map[flowKey]*backendFlow), make(chan struct{}, 2)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.addr))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", b.addr.String())
	if err != nil {
		conn.Close()
		return err
	}
	b.conn = conn
	b.server = &http.Server{Handler: http.HandlerFunc(b.health)}
	go b.server.Serve(l)
	go b.receive()
	go b.announceOften()
	w.backends = append(w.backends, b)
	w.rec.printf("backend %s of %s started at %s, born %d", b.id, b.service, b.addr, b.born)
	return nil
}

// crash ends the backend, which tells nobody.
func (b *backend) crash() {
	b.once.Do(func() {
		close(b.ended)
		b.conn.Close()
		b.server.Close()
	})
}

func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Server-Load", "2,0,8")
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *backend) announceOften() {
	for {
		b.announce()
		select {
		case <-b.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// announce sends a heartbeat and returns the machine that has acknowledged it, or "".
func (b *backend) announce() string {
	b.mu.Lock()
	b.seq++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":2,"state":%q,"coldLeftMs":0,"seq":%d,"born":%d}`,
		b.service, b.addr, zoneNames[b.zone-1], state, b.seq, b.born)
	seq := b.seq
	b.mu.Unlock()
	status, _, at := b.w.call(http.MethodPost, "/instances/"+b.id+"/heartbeat", body, b.zone-1, 3*time.Second)
	b.w.rec.printf("backend %s: heartbeat %d, %s, born %d -> %d from %s", b.id, seq, state, b.born, status, at)
	if status != http.StatusOK {
		return ""
	}
	return at
}

// drain announces that the backend is draining, and returns the time of the
// acknowledgement and the machine that gave it.
func (b *backend) drain() (time.Time, string) {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	for range 5 {
		if at := b.announce(); at != "" {
			return time.Now(), at
		}
	}
	return time.Time{}, ""
}

func (b *backend) identity() uint64 {
	var n uint64
	fmt.Sscanf(b.id[strings.LastIndexByte(b.id, '-')+1:], "%x", &n)
	return n
}

func (b *backend) receive() {
	buf := make([]byte, 4096)
	for {
		n, err := b.conn.Read(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		id := binary.BigEndian.Uint64(buf)
		p, err := decode(buf[8:n])
		if id != 0 && id != b.identity() || err != nil || p.sum != p.keyedSum() {
			continue
		}
		b.handle(p)
	}
}

func (b *backend) send(key flowKey, p *packet) {
	p.src, p.dst = key.route, key.client
	if b.loses != nil && b.loses(b, key, p) {
		b.w.rec.printf("the link loses a packet of %s to %v: flags %d, seq %d", b.id, key.client, p.flags, p.seq)
		return
	}
	to := netip.AddrPortFrom(key.client.Addr(), uint16(b.w.port+portData))
	b.w.transmit(b.conn, p.encode(), to)
}

func (b *backend) handle(p *packet) {
	key := flowKey{p.src, p.dst}
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	if p.flags&(flagSYN|flagACK) == flagSYN {
		if f == nil {
			f = &backendFlow{isn: rand.Uint32(), received: p.seq + 1}
			f.next = f.isn + 1
			b.flows[key] = f
			b.w.rec.printf("backend %s takes SYN %d of %v", b.id, p.ack, key.client)
			repeat(func() bool { return b.repeatSYN(key, f) })
		}
		f.echo = p.echo
		b.sendSYN(key, f)
		return
	}
	switch {
	case f == nil && p.flags&flagRST == 0:
		b.w.rec.printf("backend %s resets the unknown flow of %v", b.id, key.client)
		b.send(key, &packet{seq: p.ack, echo: p.echo, flags: flagRST})
		return
	case f == nil:
		return
	case !f.open && p.ack == f.isn+1:
		f.open = true
		b.w.rec.printf("the flow of %v opens at backend %s", key.client, b.id)
	}
	b.arrivals = append(b.arrivals, arrival{time.Now(), key, f.open})
	if !f.open {
		b.w.rec.printf("backend %s gets a packet of the flow of %v, which is not open here: flags %d, %d bytes", b.id, key.client, p.flags, len(p.data))
		return // The packet acknowledges another backend's SYN+ACK.
	}
	f.echo = p.echo
	if int32(p.ack-f.acked) > 0 || f.acked == 0 {
		f.acked = p.ack
	}
	if p.flags&flagFIN != 0 && p.seq == f.received {
		f.received++
		b.send(key, &packet{seq: f.next, ack: f.received, echo: f.echo, flags: flagFIN | flagACK})
		f.next++
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.received {
		f.received += uint32(len(p.data))
		f.in = append(f.in, p.data...)
	}
	b.send(key, &packet{seq: f.next, ack: f.received, echo: f.echo, flags: flagACK})
	if end := bytes.Index(f.in, []byte("\r\n\r\n")); end >= 0 {
		request := string(f.in[:end])
		f.in = f.in[end+4:]
		b.begin(key, f, request)
	}
}

func (b *backend) sendSYN(key flowKey, f *backendFlow) {
	b.send(key, &packet{seq: f.isn, ack: f.received, echo: f.echo, flags: flagSYN | flagACK})
}

// repeatSYN repeats the SYN+ACK while it is not acknowledged.
func (b *backend) repeatSYN(key flowKey, f *backendFlow) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.open {
		return false
	}
	select {
	case <-b.ended:
		return false
	default:
	}
	b.sendSYN(key, f)
	return true
}

// begin starts a request when a slot is free. It refuses the request if the queue is full.
func (b *backend) begin(key flowKey, f *backendFlow, request string) {
	id := requestID(request)
	if b.waiting >= queueLength {
		b.respond(key, f, fmt.Sprintf("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
		return
	}
	b.waiting++
	go func() {
		b.slots <- struct{}{}
		defer func() { <-b.slots }()
		b.mu.Lock()
		b.waiting--
		b.runs = append(b.runs, run{time.Now(), id})
		b.mu.Unlock()
		b.w.rec.printf("backend %s runs %s", b.id, id)
		time.Sleep(b.work)
		b.mu.Lock()
		defer b.mu.Unlock()
		body := "answer of " + b.id + " to " + id
		b.respond(key, f, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
	}()
}

func (b *backend) respond(key flowKey, f *backendFlow, text string) {
	seq := f.next
	f.next += uint32(len(text))
	end := f.next
	b.send(key, &packet{seq: seq, ack: f.received, echo: f.echo, flags: flagACK, data: []byte(text)})
	repeat(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		if int32(f.acked-end) >= 0 {
			return false
		}
		b.send(key, &packet{seq: seq, ack: f.received, echo: f.echo, flags: flagACK, data: []byte(text)})
		return true
	})
}

func requestID(request string) string {
	for _, line := range strings.Split(request, "\r\n") {
		if id, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			return id
		}
	}
	return ""
}
