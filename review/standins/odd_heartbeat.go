package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// oddHeartbeat moves a route to another service while flows are open, and then sends one
// heartbeat of another writer, which names no known service but the address of a backend
// that serves open flows.
func oddHeartbeat(record string, trouble bool) (int, error) {
	w, err := small(record, false, 2, 2, 40*time.Millisecond, "booking", "stable")
	if err != nil {
		return 0, err
	}
	defer w.stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, served, flows := 0, 0, 0
	next := make(chan struct{})
	for n := range 90 {
		c := w.clients[n%len(w.clients)]
		wg.Go(func() {
			f := c.newFlow(w.routeAt(0))
			defer f.close()
			if !f.connect() || !f.request("POST", fmt.Sprintf("a-%d", n), 900, 2*time.Second) {
				return
			}
			<-next
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
			ok := f.request("POST", fmt.Sprintf("b-%d", n), 900, 2*time.Second)
			own := backendOf(f.key)
			f.mu.Lock()
			defer f.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			flows++
			if ok {
				served++
			}
			if f.foreignReset(own) {
				broken++
				w.note("BROKEN FLOW: flow %v, open at backend %s since %.1f s, got %s", f.key, own.id, time.Since(f.openAt).Seconds(), f.broken)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	// The route stays, and its open flows with it; only new flows go to the other service.
	status, _ := w.order("POST", "/config/put", w.config(8, "unsafe", "stable", "stable"), 10*time.Second)
	w.note("configuration 8, which sends the route to stable, acknowledged with %d", status)
	if status != 200 {
		return 0, errCannotRun
	}
	time.Sleep(configBound + time.Second)
	victim := w.backends[0]
	if trouble {
		body, _ := json.Marshal(map[string]any{"service": "unnamed", "addr": victim.addr.String(), "zone": victim.zone, "version": "v1", "slots": 2,
			"state": "ready", "coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli()})
		status, _, answer := call(w.ctx, "POST", "http://"+w.control(w.hubs[0])+"/instances/i-0badf00d/heartbeat", body, time.Second)
		w.note("heartbeat of another writer: %s: %d %s", body, status, answer)
	}
	time.Sleep(time.Second)
	close(next)
	wg.Wait()
	if trouble {
		// Not judged: the backend is not used again when its service is back.
		status, _ := w.order("POST", "/config/put", w.config(9, "unsafe", "booking", "stable"), 10*time.Second)
		time.Sleep(configBound)
		used := 0
		for n := range 60 {
			f := w.clients[n%len(w.clients)].newFlow(w.routeAt(0))
			if f.connect() && f.request("POST", fmt.Sprintf("c-%d", n), 900, 2*time.Second) && backendOf(f.key) == victim {
				used++
			}
			f.close()
		}
		w.note("configuration 9, which sends the route to booking again, acknowledged with %d; backend %s, alive all the while, served %d of 60 requests", status, victim.id, used)
	}
	w.note("%d flows with a second request, %d of them served, %d flows broken", flows, served, broken)
	return broken, nil
}
