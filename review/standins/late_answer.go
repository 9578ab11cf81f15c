package main

import (
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// config returns a configuration that sends the route at the i-th address to the i-th of
// the services given, and names no other service.
func (w *world) config(version int, kind string, services ...string) []byte {
	routes, list := "", ""
	named := map[string]bool{}
	for i, s := range services {
		if i > 0 {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r-%d","host":%q,"pathPrefix":"/%d/","kind":%q,"timeoutMs":2000,"sloMs":200,"priority":1,"service":%q,"maxAttempts":2}`,
			i, w.routeAt(i).Addr().String(), w.routeAt(i).Port(), kind, s)
		if named[s] {
			continue
		}
		if len(named) > 0 {
			list += ","
		}
		named[s] = true
		list += fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":4444,"protocol":"h1","tls":false}`, s)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, routes, list)
}

// routeAt returns the i-th route address.
func (w *world) routeAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(w.ip(0, 1), uint16(443+i))
}

// small starts a deployment of three zones, each with a hub, the given number of entry
// VMs and of backends of each service, and clients. health adds the contract of that name.
func small(record string, health bool, fronts, backends int, work time.Duration, services ...string) (*world, error) {
	w, err := newWorld(record, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return nil, err
	}
	if health {
		w.contracts = append(w.contracts, "health")
	}
	for _, z := range w.zones {
		w.addHub(z, 1)
		for n := range fronts {
			w.addFront(z, n+1)
		}
	}
	if err := w.startAll(); err != nil {
		w.stop()
		return nil, err
	}
	for s, service := range services {
		for _, z := range w.zones {
			for n := range backends {
				if _, err := w.addBackend(service, z, s*backends+n+1, work); err != nil {
					w.stop()
					return nil, err
				}
			}
		}
	}
	for _, z := range w.zones {
		if _, err := w.addClient(z); err != nil {
			w.stop()
			return nil, err
		}
	}
	status, _ := w.order("POST", "/config/put", w.config(7, "unsafe", services...), 15*time.Second)
	w.note("configuration 7 acknowledged with %d", status)
	for end := time.Now().Add(15 * time.Second); w.readyFronts() < len(w.fronts); {
		if time.Now().After(end) || status != 200 {
			w.stop()
			return nil, errCannotRun
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return w, nil
}

// lateAnswer freezes the three entry VMs of a zone, one at a time for 1.1 s, twice each,
// while clients open flows, which they keep open, with a pause of 7 s between two requests.
func lateAnswer(record string, trouble bool) (int, error) {
	const (
		freeze  = 1100 * time.Millisecond
		between = 4100 * time.Millisecond
		pause   = 7 * time.Second
		rate    = 8 * time.Millisecond
	)
	w, err := small(record, false, 3, 2, 40*time.Millisecond, "booking")
	if err != nil {
		return 0, err
	}
	defer w.stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, flows, served, late := 0, 0, 0, 0
	c := w.clients[0]
	one := func(n int) {
		f := c.newFlow(w.routeAt(0))
		defer f.close()
		if !f.connect() || !f.request("POST", fmt.Sprintf("a-%d", n), 900, 2*time.Second) {
			return
		}
		time.Sleep(pause)
		via := w.route(c.zone, f.key)
		ok := f.request("POST", fmt.Sprintf("b-%d", n), 900, 2*time.Second)
		own := backendOf(f.key)
		inTouch := time.Since(via.disturbedAt()) > stableWindow+time.Second
		f.mu.Lock()
		defer f.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		flows++
		if ok {
			served++
		}
		if f.lateAnswers > 0 {
			late++
		}
		if f.foreignReset(own) && inTouch {
			broken++
			w.note("BROKEN FLOW: flow %v, open at backend %s since %.1f s, got %s; the request went through %s, which ran for the last %.1f s",
				f.key, own.id, time.Since(f.openAt).Seconds(), f.broken, via.name, time.Since(via.disturbedAt()).Seconds())
		}
	}
	if trouble {
		wg.Go(func() {
			time.Sleep(2 * time.Second)
			for n := range 6 {
				p := w.fronts[n%3]
				p.signal(syscall.SIGSTOP)
				time.Sleep(freeze)
				p.signal(syscall.SIGCONT)
				time.Sleep(between - freeze)
			}
		})
	}
	tick := time.NewTicker(rate)
	defer tick.Stop()
	for n, begin := 0, time.Now(); time.Since(begin) < 25*time.Second; n++ {
		<-tick.C
		wg.Go(func() { one(n) })
	}
	wg.Wait()
	w.note("%d flows with a second request, %d of them served, %d flows got an answer to a SYN when they were open, %d flows broken", flows, served, late, broken)
	return broken, nil
}
