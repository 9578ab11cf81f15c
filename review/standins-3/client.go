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

// copyTimes are the times of the SYN's copies, and openTimeout is the time after which an
// attempt to open a flow ends.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout = 1400 * time.Millisecond
	noAnswer    = "no answer"
)

// clients are the clients of one zone, which share an address. The router of the zone
// forwards their packets to the front machine of the zone.
type clients struct {
	w      *world
	zone   int
	addr   netip.Addr
	conn   *net.UDPConn
	router netip.AddrPort

	mu    sync.Mutex
	port  uint16
	flows map[netip.AddrPort]*flow
}

// flow is a flow of a client.
type flow struct {
	c       *clients
	key     flowKey
	isn     uint32
	changed chan struct{}

	mu                        sync.Mutex
	open, reset               bool
	echo, serverISN, received uint32
	next, acked               uint32
	in                        string
}

func (w *world) newClients(zone int) (*clients, error) {
	c := &clients{w: w, zone: zone, addr: netip.MustParseAddr(w.ip(partClient, zone)), port: 30000, flows: make(map[netip.AddrPort]*flow)}
	c.router = netip.MustParseAddrPort(w.address(partFront, zone, portData))
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, uint16(w.port+portData))))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go c.receive()
	return c, nil
}

func (c *clients) receive() {
	buf := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := decode(buf[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst]
		c.mu.Unlock()
		if f != nil && p.src == f.key.route {
			f.handle(p, from)
		}
	}
}

// open opens a flow to a route. It returns nil if no backend has answered in time, or
// after a reset.
func (c *clients) open(route netip.AddrPort) *flow {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, key: flowKey{netip.AddrPortFrom(c.addr, c.port), route}, isn: rand.Uint32(), changed: make(chan struct{}, 1)}
	f.next, f.acked = f.isn+1, f.isn+1
	c.flows[f.key.client] = f
	c.mu.Unlock()
	started := time.Now()
	for n, at := range copyTimes {
		if f.await(started.Add(at), f.decided) {
			break
		}
		f.transmit(&packet{seq: f.isn, ack: uint32(n), flags: flagSYN})
	}
	f.await(started.Add(openTimeout), f.decided)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.open {
		c.forget(f)
		return nil
	}
	return f
}

func (c *clients) forget(f *flow) {
	c.mu.Lock()
	delete(c.flows, f.key.client)
	c.mu.Unlock()
}

func (f *flow) decided() bool { return f.open || f.reset }

// await waits until done returns true or the given time has come, and reports the former.
// done is called with the lock held.
func (f *flow) await(until time.Time, done func() bool) bool {
	for {
		f.mu.Lock()
		ok := done()
		f.mu.Unlock()
		left := time.Until(until)
		if ok || left <= 0 {
			return ok
		}
		select {
		case <-f.changed:
		case <-time.After(left):
		}
	}
}

func (f *flow) transmit(p *packet) {
	p.src, p.dst = f.key.client, f.key.route
	f.c.w.transmit(f.c.conn, p.encode(), f.c.router)
}

func (f *flow) handle(p *packet, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer func() {
		select {
		case f.changed <- struct{}{}:
		default:
		}
	}()
	if p.flags&flagRST != 0 {
		f.reset = true
		f.c.w.rec.printf("client %v gets a reset from %v, sum %d", f.key.client, from, p.sum)
		return
	}
	f.echo = p.echo // the last echo that was received on the flow
	switch {
	case p.flags&(flagSYN|flagACK) == flagSYN|flagACK && !f.open:
		f.open, f.serverISN, f.received = true, p.seq, p.seq+1
		f.transmit(&packet{seq: f.next, ack: f.received, echo: f.echo, flags: flagACK})
		f.c.w.rec.printf("client %v opens its flow with the SYN+ACK of %v, echo %08x", f.key.client, from, p.echo)
	case p.flags&flagSYN != 0 && p.seq == f.serverISN:
		f.transmit(&packet{seq: f.next, ack: f.received, echo: f.echo, flags: flagACK})
	case p.flags&flagSYN != 0:
		f.c.w.rec.printf("client %v gets the SYN+ACK of %v on its open flow, echo %08x", f.key.client, from, p.echo)
	default:
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
		if len(p.data) == 0 {
			return
		}
		if p.seq == f.received {
			f.received += uint32(len(p.data))
			f.in += string(p.data)
		}
		f.transmit(&packet{seq: f.next, ack: f.received, echo: f.echo, flags: flagACK})
	}
}

// request sends a request on the flow and waits for the answer until the deadline. It
// returns the answer's status line, or noAnswer if there was none.
func (f *flow) request(method, id string, deadline time.Duration) string {
	text := fmt.Sprintf("%s / HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", method, f.key.route, id)
	end := time.Now().Add(deadline)
	f.mu.Lock()
	seq := f.next
	f.next += uint32(len(text))
	after := f.next
	f.c.w.rec.printf("client %v sends %s, echo %08x", f.key.client, id, f.echo)
	f.transmit(&packet{seq: seq, ack: f.received, echo: f.echo, flags: flagACK, data: []byte(text)})
	f.mu.Unlock()
	repeat(func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if int32(f.acked-after) >= 0 || f.reset || time.Now().After(end) {
			return false
		}
		f.c.w.rec.printf("client %v sends %s again, echo %08x", f.key.client, id, f.echo)
		f.transmit(&packet{seq: seq, ack: f.received, echo: f.echo, flags: flagACK, data: []byte(text)})
		return true
	})
	status := ""
	f.await(end, func() bool {
		if head, _, ok := strings.Cut(f.in, "\r\n\r\n"); ok && strings.Contains(head, "Request-Id: "+id) {
			status, _, _ = strings.Cut(head, "\r\n")
			f.in = ""
		}
		return status != "" || f.reset
	})
	if status == "" {
		status = noAnswer
	}
	f.c.w.rec.printf("client %v: %s ends with %q", f.key.client, id, status)
	return status
}

// end closes the flow.
func (f *flow) end() {
	f.mu.Lock()
	f.transmit(&packet{seq: f.next, ack: f.received, echo: f.echo, flags: flagACK | flagFIN})
	f.mu.Unlock()
	f.c.forget(f)
}
