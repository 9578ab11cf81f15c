// Command standin plays one case: it starts the processes of a small deployment and
// stand-ins of routers, clients, backends and the operator on loopback addresses. It
// exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"cebu-a", "mandaue-b", "lapu-c"}

// deployment is a running small deployment.
type deployment struct {
	*world
	booking, stable netip.AddrPort
	clients         []*clients
	backends        map[string][]*backend
	version         int
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	cases := map[string]func(d *deployment, trouble bool) (int, error){
		"absent": absent, "fields": missingFields, "leave": lateLeave, "freeze": freeze,
	}
	run := cases[os.Args[1]]
	if run == nil {
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Args[3], zones, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d := &deployment{world: w, backends: map[string][]*backend{}}
	go d.limit(110 * time.Second)
	broken := 0
	err = d.setUp()
	if err == nil {
		broken, err = run(d, os.Getenv("TROUBLE") != "0")
	}
	w.logf("the rule was broken %d times; error: %v", broken, err)
	w.stop(os.Getenv("KEEP") == "1")
	fmt.Printf("broken %d times; error: %v\n", broken, err)
	switch {
	case err != nil:
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

// limit ends all processes and this one after a time, or when this one is told to end.
func (d *deployment) limit(after time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-d.stopped:
		return
	case <-signals:
	case <-time.After(after):
	}
	d.logf("the case could not run: it took too long, or was told to end")
	os.RemoveAll(d.dir)
	os.Exit(2) // which ends the processes that were started
}

// setUp starts all processes, four backends of service booking and one of service
// stable in each zone, and puts the first configuration.
func (d *deployment) setUp() error {
	host := d.address(5, 0, 0)
	d.booking, d.stable = netip.AddrPortFrom(host, 443), netip.AddrPortFrom(host, 8443)
	seen.services[d.booking], seen.services[d.stable] = "booking", "stable"
	if os.Args[1] == "absent" {
		if err := d.useLinks(); err != nil {
			return err
		}
	}
	if err := d.startAll(); err != nil {
		return err
	}
	for z, zone := range zones {
		for i := range 5 {
			service := "booking"
			if i == 4 {
				service = "stable"
			}
			b, err := d.startBackend(service, zone, newID(), netip.AddrPortFrom(d.address(3, z, i), uint16(d.dataPort)), nil)
			if err != nil {
				return err
			}
			d.backends[zone] = append(d.backends[zone], b)
		}
		c, err := d.newClients(zone)
		if err != nil {
			return err
		}
		d.clients = append(d.clients, c)
	}
	d.version = 7
	if err := d.put(configuration(d.version, d.routes(), []string{"booking", "stable"}), 10*time.Second); err != nil {
		return err
	}
	if err := d.waitReady(15 * time.Second); err != nil {
		return err
	}
	if os.Args[1] != "absent" {
		time.Sleep(stableWindow + time.Second)
	}
	return nil
}

func (d *deployment) routes() []route {
	return []route{
		{"reserve", "unsafe", "booking", d.booking, 2000},
		{"routesheet", "download", "stable", d.stable, 5000},
	}
}

// longFlow opens a flow at a time, sends a request, pauses, and sends another one. It
// returns the flow, or nil if it did not open, and whether the second request was
// answered.
func (d *deployment) longFlow(c *clients, name string, second time.Time) (*flow, bool) {
	f := c.open(d.booking)
	if f == nil {
		d.logf("client %s: no flow", name)
		return nil, false
	}
	if !f.do(name+"-1", "POST", 2*time.Second) {
		return nil, false
	}
	time.Sleep(time.Until(second))
	return f, f.do(name+"-2", "POST", 2*time.Second)
}

// longFlows opens n long flows at equal distances in a time, with the second requests
// at the given time or shortly after.
func (d *deployment) longFlows(c *clients, n int, span time.Duration, second time.Time) []*flow {
	var mu sync.Mutex
	var group sync.WaitGroup
	var flows []*flow
	answered := 0
	for i := range n {
		group.Go(func() {
			f, ok := d.longFlow(c, fmt.Sprintf("%s-%d", c.zone, i), second.Add(rand.N(500*time.Millisecond)))
			mu.Lock()
			defer mu.Unlock()
			if f != nil {
				flows = append(flows, f)
			}
			if ok {
				answered++
			}
		})
		time.Sleep(span / time.Duration(n))
	}
	group.Wait()
	d.logf("%d long flows were open, %d of their second requests were answered", len(flows), answered)
	return flows
}

// resets counts the open flows that were reset after a time although their backend
// lives and has sent no reset.
func (d *deployment) resets(flows []*flow, after time.Time) int {
	n := 0
	for _, f := range flows {
		f.mu.Lock()
		at, kind := f.resetAt, f.resetKind
		f.mu.Unlock()
		b, lives := d.backendOf(f.key, at)
		if at.IsZero() || at.Before(after) || !lives || b.ownReset(f.key) {
			continue
		}
		n++
		d.logf("FLOW: flow %s, open at backend %s, which lives, was reset by %s", f.key, b.id, kind)
	}
	return n
}

// freeze suspends one of the nine entry VMs for 3.5 s while clients open flows.
func freeze(d *deployment, trouble bool) (int, error) {
	c := d.clients[0]
	victim := d.entries[0]
	start := time.Now()
	thawed := start.Add(3500 * time.Millisecond)
	if trouble {
		d.signal(victim, syscall.SIGSTOP)
		go func() {
			time.Sleep(time.Until(thawed))
			d.signal(victim, syscall.SIGCONT)
		}()
	}
	flows := d.longFlows(c, 120, 1500*time.Millisecond, thawed.Add(stableWindow+2*time.Second))
	if len(flows) < 40 {
		return 0, fmt.Errorf("%w: only %d flows opened", errBlocked, len(flows))
	}
	return d.resets(flows, thawed.Add(stableWindow)), nil
}

// link carries the connections of a backend. While it is cut, new connections hang and
// bytes are held up; they are sent again as TCP does, with a doubling delay.
type link struct {
	mu    sync.Mutex
	cutAt time.Time
	cut   bool
}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

// dial connects to a daemon through a proxy.
func (l *link) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	for wait := 10 * time.Millisecond; l.isCut(); wait = 50 * time.Millisecond {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
	}
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer front.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := front.Accept(); err == nil {
			accepted <- c
		}
		close(accepted)
	}()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", front.Addr().String())
	if err != nil {
		return nil, err
	}
	in := <-accepted
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	if err != nil {
		conn.Close()
		return nil, err
	}
	go l.carry(out, in)
	go l.carry(in, out)
	return conn, nil
}

// carry copies bytes and the end of a direction.
func (l *link) carry(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for delay := 200 * time.Millisecond; l.isCut(); delay *= 2 {
			time.Sleep(delay)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}

// lateLeave cuts a backend off for 5.5 s as it sends its leave. The backend exits, and
// starts again under its id.
func lateLeave(d *deployment, trouble bool) (int, error) {
	zone := zones[0]
	old := d.backends[zone][0]
	l := new(link)
	old.end()
	x, err := d.startBackend("booking", zone, newID(), old.at, l.dial)
	if err != nil {
		return 0, err
	}
	time.Sleep(stableWindow)
	if !x.drain(5 * time.Second) {
		return 0, fmt.Errorf("%w: the drain was not acknowledged", errBlocked)
	}
	time.Sleep(drainTime + 200*time.Millisecond)
	// The call is on its way when the cut begins: the request is held up on a connection
	// that has carried a heartbeat.
	conn, err := l.dial(x.ctx, "tcp4", x.daemons()[0])
	if err != nil {
		return 0, err
	}
	if err := x.heartbeatOn(conn); err != nil {
		return 0, fmt.Errorf("%w: %w", errBlocked, err)
	}
	d.logf("backend %s leaves", x.id)
	healed := time.Now().Add(5500 * time.Millisecond)
	left := make(chan int, 1)
	go func() {
		status := 0
		for i, daemon := range x.daemons() {
			if trouble && i == 0 {
				l.set(true)
				d.logf("backend %s is cut off from all machines", x.id)
				fmt.Fprintf(conn, "POST /instances/%s/leave HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", x.id, daemon)
				time.Sleep(time.Second)
				conn.Close()
				continue
			}
			if status, _ = x.call(daemon, "/instances/"+x.id+"/leave", nil); status == 200 {
				break
			}
		}
		left <- status
	}()
	d.logf("the last leave was answered with status %d", <-left)
	x.end()
	d.logf("backend %s has exited", x.id)
	time.Sleep(500 * time.Millisecond)
	// Its packets are cut off as well until the cut heals: no machine knows of it.
	y, err := d.startBackend("booking", zone, x.id, x.at, l.dial)
	if err != nil {
		return 0, err
	}
	if trouble {
		time.Sleep(time.Until(healed))
		d.logf("the cut heals")
		l.set(false)
	}
	flows := d.longFlows(d.clients[0], 400, 4*time.Second, time.Now().Add(4*time.Second+stableWindow+2*time.Second))
	if len(flows) < 200 {
		return 0, fmt.Errorf("%w: only %d flows opened", errBlocked, len(flows))
	}
	y.mu.Lock()
	d.logf("backend %s has run %d requests since its start", y.id, len(y.runs))
	y.mu.Unlock()
	return d.resets(flows, healed.Add(stableWindow)), nil
}

// missingFields sends the heartbeat of another writer, in which fields are missing and
// which names another service, under the id of a backend.
func missingFields(d *deployment, trouble bool) (int, error) {
	c := d.clients[0]
	x := d.backends[zones[0]][0]
	if trouble {
		d.foreignBeat(x.id, fmt.Sprintf(`{"service":"stable","addr":%q,"zone":%q,"slots":2,"state":"ready","seq":1,"born":%d}`,
			x.at, x.zone, time.Now().UnixMilli()))
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			if f := c.open(d.stable); f != nil {
				f.do(fmt.Sprintf("sheet-%d", i), "GET", 5*time.Second)
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	group.Wait()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	return len(seen.foreign), nil
}

// foreignBeat sends a heartbeat that no backend has written.
func (d *deployment) foreignBeat(id, body string) {
	b := &backend{w: d.world, ctx: context.Background()}
	for _, control := range d.controls {
		status, answer := b.call(control.at(d.controlPort), "/instances/"+id+"/heartbeat", []byte(body))
		d.logf("heartbeat of another writer to %s for id %s: %s answered with %d %s", control.name, id, body, status, answer)
		if status == 200 {
			return
		}
	}
}
