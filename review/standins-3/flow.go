package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// The case "flow": clients keep flows open, with a pause of less than idleTimeoutMs
// between two requests, while others open a flow for each request. The link of a backend
// loses the first SYN+ACK of one of the long flows, the only datagram that is lost, so that
// two backends take its SYN.
const (
	longFlows = 4
	// shortFlows is the number of clients with a flow for each request.
	shortFlows = 3
	flowPause  = 5 * time.Second
	// clientDelay is that of the site file, client_ms.
	clientDelay = 3 * time.Millisecond
	reorderMs   = 2 * time.Second
	minForeign  = 3
	unsafeMs    = 3000
)

func (w *world) config(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"svc-a","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false},{"name":"svc-b","healthPath":"/health","maxConns":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, routes)
}

func (w *world) route(name string, port int, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":"/%d/","kind":"unsafe","timeoutMs":%d,"sloMs":500,"priority":1,%s,"maxAttempts":2}`,
		name, w.ip(partRoute, 1), port, unsafeMs, service)
}

func (w *world) routeAddr(port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", w.ip(partRoute, 1), port))
}

func (w *world) backendAt(n, zone int, id, service string) *backend {
	return &backend{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), work: 25 * time.Millisecond,
		addr: netip.MustParseAddrPort(w.address(partBackend, n, portControl)),
	}
}

func playFlow(w *world, trouble bool) result {
	w.contracts = []string{"base", "drain", "config", "cost", "recover", "health", "flows"}
	w.clientDelay, w.links = clientDelay, make(chan datagram, 1024)
	go w.runLinks()
	var mu sync.Mutex
	losing := false // whether the next SYN+ACK is lost
	if err := w.start(); err != nil {
		return result{err: err}
	}
	for n := 1; n <= 3; n++ {
		b := w.backendAt(n, 1, fmt.Sprintf("i-0000a0%02d", n), "svc-a")
		if trouble {
			b.loses = func(_ *backend, _ flowKey, p *packet) bool {
				mu.Lock()
				defer mu.Unlock()
				lost := losing && p.flags&flagSYN != 0
				losing = losing && !lost
				return lost
			}
		}
		if err := w.startBackend(b); err != nil {
			return result{err: err}
		}
	}
	if status := w.put(w.config(7, w.route("r-a", 443, `"service":"svc-a"`))); status != 200 {
		return result{err: fmt.Errorf("the configuration got %d", status)}
	}
	if err := w.awaitReady(); err != nil {
		return result{err: err}
	}
	c, err := w.newClients(1)
	if err != nil {
		return result{err: err}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	results := make([]error, longFlows)
	keys := make([]flowKey, longFlows)
	for i := range longFlows {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			if i == 1 {
				mu.Lock()
				losing = true
				mu.Unlock()
			}
			f := c.open(w.routeAddr(443))
			if f == nil {
				results[i] = fmt.Errorf("flow %d did not open", i)
				return
			}
			keys[i] = f.key
			if status := f.request("POST", fmt.Sprintf("first-%d", i), unsafeMs*time.Millisecond); status != "HTTP/1.1 200 OK" {
				results[i] = fmt.Errorf("first request of flow %d: %s", i, status)
				return
			}
			time.Sleep(flowPause)
			f.request("POST", fmt.Sprintf("second-%d", i), unsafeMs*time.Millisecond)
			f.end()
		})
	}
	stop := make(chan struct{})
	var short sync.WaitGroup
	for i := range shortFlows {
		short.Go(func() {
			// The short flows begin once the long ones are open, so that one of the
			// latter meets the loss.
			time.Sleep(longFlows * 500 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if f := c.open(w.routeAddr(443)); f != nil {
					f.request("GET", fmt.Sprintf("short-%d-%d", i, n), unsafeMs*time.Millisecond)
					f.end()
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	short.Wait()
	w.rec.printf("%d datagrams of clients and backends", w.datagrams.Load())
	res := result{}
	for i, key := range keys {
		if results[i] != nil {
			res.err = results[i]
			continue
		}
		if b := w.misdirected(key); b != "" {
			res.broken = append(res.broken, b)
		}
	}
	return res
}

// misdirected reports whether, for reorderMs, three or more packets of an open flow have
// reached other backends and none its own.
func (w *world) misdirected(key flowKey) string {
	var all []arrival
	var own *backend
	for _, b := range w.backends {
		b.mu.Lock()
		for _, a := range b.arrivals {
			if a.key == key {
				all = append(all, a)
			}
		}
		if f := b.flows[key]; f != nil && f.open {
			own = b
		}
		b.mu.Unlock()
	}
	if own == nil {
		return ""
	}
	for _, first := range all {
		if first.own {
			continue
		}
		foreign, reached := 0, false
		for _, a := range all {
			if since := a.at.Sub(first.at); since >= 0 && since <= reorderMs {
				reached = reached || a.own
				if !a.own {
					foreign++
				}
			}
		}
		if foreign >= minForeign && !reached {
			return fmt.Sprintf("FLOW: for %v, %d packets of the flow of %v, open at %s, reached other backends and none its own", reorderMs, foreign, key.client, own.id)
		}
	}
	return ""
}
