package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

type (
	// client stands for the clients of a zone, which share an address.
	client struct {
		w     *world
		zone  string
		addr  netip.Addr
		conn  *net.UDPConn
		mu    sync.Mutex
		port  uint16
		flows map[netip.AddrPort]*flow
	}

	// flow is the client's end of a flow.
	flow struct {
		c       *client
		key     flowKey
		mu      sync.Mutex
		changed chan struct{}
		seq     uint32 // next sequence number to send
		rcvNext uint32
		start   uint32
		echo    uint32 // the last echo that was received on the flow
		open    bool
		refused bool
		broken  string // why the flow broke
		// brokenAt is the time of the reset, and sentAt that of the last request.
		brokenAt, sentAt time.Time
		acked            uint32
		answer           []byte
		openAt           time.Time
		// lateAnswers counts the SYN+ACKs that arrived when the flow was open.
		lateAnswers int
	}
)

func (w *world) addClient(zone string) (*client, error) {
	c := &client{w: w, zone: zone, addr: w.ip(w.zoneIndex(zone), 200), port: 20000, flows: map[netip.AddrPort]*flow{}}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, w.dataPort)))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	w.clients = append(w.clients, c)
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 4096)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok || !p.sumOK && !p.isReset0 {
			c.w.note("BROKEN MIXED: a client got a packet that its sender didn't write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst]
		c.mu.Unlock()
		if f != nil && f.key.route == p.src {
			f.handle(&p)
		}
	}
}

func (c *client) newFlow(route netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{c: c, key: flowKey{netip.AddrPortFrom(c.addr, c.port), route}, start: rand.Uint32(), changed: make(chan struct{})}
	c.flows[f.key.client] = f
	return f
}

func (f *flow) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// handle processes a packet of the flow. "The client and the backend each place in their
// own packets the last echo that they received on a flow."
func (f *flow) handle(p *packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.notify()
	if p.isReset0 {
		if f.open {
			f.broken, f.brokenAt = "a reset of the system", time.Now()
		} else {
			f.refused = true
		}
		return
	}
	f.echo = p.echo
	switch {
	case p.flags&rst != 0 && !f.open:
		f.refused = true
	case p.flags&rst != 0:
		f.broken, f.brokenAt = "a reset of backend "+string(p.data), time.Now()
	case p.flags&(syn|ack) == syn|ack:
		if f.open {
			f.lateAnswers++
			return
		}
		if p.ack == f.start+1 {
			f.open, f.openAt, f.seq, f.rcvNext, f.acked = true, time.Now(), f.start+1, p.seq+1, f.start+1
		}
	case f.open:
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
		if len(p.data) > 0 && p.seq == f.rcvNext {
			f.rcvNext += uint32(len(p.data))
			f.answer = p.data
		}
		if len(p.data) > 0 {
			f.transmit(&packet{seq: f.seq, flags: ack})
		}
	}
}

// transmit sends a packet through the entry VM that the router selects. f.mu is held.
func (f *flow) transmit(p *packet) {
	p.src, p.dst, p.echo = f.key.client, f.key.route, f.echo
	if p.flags&syn == 0 {
		p.ack = f.rcvNext
	}
	if to := f.c.w.route(f.c.zone, f.key); to != nil {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(to.ip, f.c.w.dataPort))
	}
}

// wait waits until done returns true, which is called with f.mu held, at most until end.
func (f *flow) wait(end time.Time, done func() bool) bool {
	for {
		f.mu.Lock()
		ok, changed := done(), f.changed
		f.mu.Unlock()
		if ok {
			return true
		}
		d := time.Until(end)
		if d <= 0 {
			return false
		}
		select {
		case <-changed:
		case <-time.After(d):
		}
	}
}

// connect opens the flow: a SYN, copies after 200 and 600 ms, and the end after 1.4 s.
func (f *flow) connect() bool {
	start := time.Now()
	for n, next := range []time.Duration{200, 600, 1400} {
		f.mu.Lock()
		if !f.open {
			f.transmit(&packet{seq: f.start, ack: uint32(n), flags: syn})
		}
		f.mu.Unlock()
		if f.wait(start.Add(next*time.Millisecond), func() bool { return f.open || f.refused }) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// request sends a request on the open flow and waits for its answer.
func (f *flow) request(method, id string, size int, deadline time.Duration) bool {
	data := fmt.Appendf(nil, "%s / HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, f.key.route, id, size, strings.Repeat("y", size))
	end := time.Now().Add(deadline)
	f.c.w.requestSent(f, id)
	f.mu.Lock()
	first := f.seq
	f.sentAt = time.Now()
	f.seq += uint32(len(data))
	f.answer = nil
	f.mu.Unlock()
	wait := 200 * time.Millisecond
	for {
		f.mu.Lock()
		if int32(f.acked-(first+uint32(len(data)))) < 0 {
			f.transmit(&packet{seq: first, flags: ack, data: data})
		}
		f.mu.Unlock()
		next := time.Now().Add(wait)
		if next.After(end) {
			next = end
		}
		if f.wait(next, func() bool { return f.answer != nil || f.broken != "" }) || !time.Now().Before(end) {
			break
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.answer != nil
	if ok && headerOf(f.answer, "Request-Id") != id {
		f.c.w.note("BROKEN MIXED: request %s got the answer of %s", id, headerOf(f.answer, "Request-Id"))
	}
	f.c.w.requestEnded(f, id, ok)
	return ok
}

// foreignReset reports whether the last request was answered with a reset that the flow's
// backend, own, did not send. f.mu is held.
func (f *flow) foreignReset(own *backend) bool {
	return f.broken != "" && f.broken != "a reset of backend "+own.id && !f.brokenAt.Before(f.sentAt)
}

// close ends the flow with a FIN.
func (f *flow) close() {
	f.mu.Lock()
	if f.open && f.broken == "" {
		f.transmit(&packet{seq: f.seq, flags: ack | fin})
	}
	f.mu.Unlock()
	time.AfterFunc(500*time.Millisecond, func() {
		f.c.mu.Lock()
		delete(f.c.flows, f.key.client)
		f.c.mu.Unlock()
	})
}
