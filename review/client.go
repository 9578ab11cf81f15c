package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// clients are the clients of one zone, which share an address.
type clients struct {
	w    *world
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[netip.AddrPort]*flow
}

// flow is one flow of a client. A request and its response are one packet each.
type flow struct {
	c          *clients
	key        netip.AddrPort
	route      netip.AddrPort
	mu         sync.Mutex
	changed    chan struct{}
	openedAt   time.Time
	seq, ack   uint32
	isn        uint32
	peer       uint32
	echo       uint32
	opened     bool
	refused    bool
	acked      uint32
	responses  int
	resetAt    time.Time
	resetKind  string
	straySyns  int
	lastPacket time.Time
}

func (w *world) newClients(zone string) (*clients, error) {
	c := &clients{w: w, zone: zone, ip: w.address(4, w.zoneIndex(zone), 0), port: uint16(20000 + rand.IntN(5000)), flows: map[netip.AddrPort]*flow{}}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, uint16(w.dataPort)))); err != nil {
		return nil, err
	}
	w.wg.Go(c.receive)
	go func() {
		<-w.stopped
		c.conn.Close()
	}()
	return c, nil
}

func (c *clients) receive() {
	buf := make([]byte, 4096)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, intact := decode(buf[:n])
		if !intact && !p.systemReset() {
			c.w.logf("MIXED: client %s got a packet from %s that its sender did not write", c.zone, from)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst]
		c.mu.Unlock()
		if f != nil && f.route == p.src {
			f.handle(&p, from)
		}
	}
}

// handle processes a packet. The client keeps the last echo that it has received on the
// flow.
func (f *flow) handle(p *packet, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.notify()
	f.lastPacket = time.Now()
	if p.flags&flagRst != 0 {
		kind := "backend " + from.String()
		if p.systemReset() {
			kind = "system " + from.String()
		}
		if !f.opened {
			f.refused = true
			return
		}
		if f.resetAt.IsZero() {
			f.resetAt, f.resetKind = time.Now(), kind
			f.c.w.logf("client %s got an RST on the open flow from %s", f.key, kind)
		}
		return
	}
	f.echo = p.echo
	switch {
	case p.flags&(flagSyn|flagAck) == flagSyn|flagAck:
		if f.opened {
			if p.seq+1 != f.peer {
				f.straySyns++
				f.c.w.logf("client %s got another SYN+ACK from %s after the flow was open", f.key, from)
			}
			return
		}
		if p.ack != f.isn+1 {
			return
		}
		f.opened, f.openedAt = true, time.Now()
		f.seq, f.acked, f.ack, f.peer = f.isn+1, f.isn+1, p.seq+1, p.seq+1
		f.transmit(flagAck, nil)
	default:
		if !f.opened {
			return
		}
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
		if len(p.data) > 0 {
			if p.seq == f.ack {
				f.ack += uint32(len(p.data))
				f.responses++
			}
			f.transmit(flagAck, nil)
		}
	}
}

func (f *flow) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *flow) transmit(flags byte, data []byte) *vm {
	return f.c.w.route(f.c.zone, &packet{src: f.key, dst: f.route, seq: f.seq, ack: f.ack, echo: f.echo, flags: flags, data: data})
}

// wait waits until done returns true, at most for limit.
func (f *flow) wait(limit time.Duration, done func() bool) bool {
	end := time.After(limit)
	for {
		f.mu.Lock()
		ok, changed := done(), f.changed
		f.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-end:
			return false
		case <-f.c.w.stopped:
			return false
		}
	}
}

// open opens a flow: a SYN, and copies after 200 and 600 ms. After 1.4 s, or with an
// RST, the attempt ends.
func (c *clients) open(route netip.AddrPort) *flow {
	c.mu.Lock()
	c.port++
	f := &flow{c: c, key: netip.AddrPortFrom(c.ip, c.port), route: route, changed: make(chan struct{}), isn: rand.Uint32()}
	c.flows[f.key] = f
	c.mu.Unlock()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		v := c.w.route(c.zone, &packet{src: f.key, dst: route, seq: f.isn, ack: uint32(i), flags: flagSyn})
		c.w.logf("client %s sends SYN copy %d to route %s via %s", f.key, i, route, v.name)
		if f.wait(wait, func() bool { return f.opened || f.refused }) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.opened {
		return nil
	}
	return f
}

// do sends a request on the open flow and reports whether it was answered in time.
func (f *flow) do(id, method string, deadline time.Duration) bool {
	data := []byte(fmt.Sprintf("%s /r HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", method, id))
	f.mu.Lock()
	if !f.resetAt.IsZero() {
		f.mu.Unlock()
		return false
	}
	want := f.responses + 1
	first := f.seq
	f.mu.Unlock()
	end := time.Now().Add(deadline)
	for delay := 200 * time.Millisecond; time.Now().Before(end); delay = min(2*delay, 1600*time.Millisecond) {
		f.mu.Lock()
		if int32(f.acked-first) <= 0 && f.responses < want {
			f.seq = first
			v := f.transmit(flagAck, data)
			f.c.w.logf("client %s sends request %s via %s with echo %08x", f.key, id, v.name, f.echo)
		}
		f.seq = first + uint32(len(data))
		f.mu.Unlock()
		if f.wait(min(delay, time.Until(end)), func() bool { return f.responses >= want || !f.resetAt.IsZero() }) {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.responses >= want
	f.c.w.logf("client %s request %s answered: %v", f.key, id, ok)
	return ok
}
