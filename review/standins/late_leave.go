package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateLeave restarts a backend under its id after a planned end. Its call to leave waits
// at a frozen hub and is handled when the new process already serves flows. The new process
// is then cut off from the hubs, but not from the entry VMs, for 5 s.
func lateLeave(record string, trouble bool) (int, error) {
	const (
		freeze = 3500 * time.Millisecond
		cut    = 5 * time.Second
	)
	w, err := small(record, true, 2, 2, 40*time.Millisecond, "booking")
	if err != nil {
		return 0, err
	}
	defer w.stop()
	b, hub := w.backends[0], w.hubs[0]
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); b.acked.IsZero() && time.Now().Before(end); {
		b.beat(b.ctx)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(drainBound + 500*time.Millisecond)
	begin := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
	if trouble {
		hub.signal(syscall.SIGSTOP)
	}
	status, _, _ := call(w.ctx, "POST", "http://"+w.control(hub)+"/instances/"+b.id+"/leave", nil, time.Second)
	w.note("backend %s has left with status %d, and ends", b.id, status)
	b.crash()
	// The process starts after the other hubs have noticed that this one is silent.
	at(1900 * time.Millisecond)
	b.mu.Lock()
	b.state, b.beatAddr, b.acked = "ready", w.control(w.hubs[1]), time.Time{}
	b.mu.Unlock()
	if err := b.run(); err != nil {
		return 0, err
	}
	w.note("backend %s starts again", b.id)
	at(2300 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	broken, served, flows, own := 0, 0, 0, 0
	next := make(chan struct{})
	for n := range 120 {
		c := w.clients[n%len(w.clients)]
		wg.Go(func() {
			f := c.newFlow(w.routeAt(0))
			defer f.close()
			if !f.connect() || !f.request("POST", fmt.Sprintf("a-%d", n), 900, 2*time.Second) {
				return
			}
			<-next
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			ok := f.request("POST", fmt.Sprintf("b-%d", n), 900, 2*time.Second)
			at := backendOf(f.key)
			f.mu.Lock()
			defer f.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			flows++
			if at == b {
				own++
			}
			if ok {
				served++
			}
			if f.foreignReset(at) {
				broken++
				w.note("BROKEN FLOW: flow %v, open at backend %s since %.1f s, got %s", f.key, at.id, time.Since(f.openAt).Seconds(), f.broken)
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	at(freeze - 100*time.Millisecond)
	if trouble {
		w.note("backend %s is cut off from the hubs", b.id)
		b.setCut(true)
	}
	at(freeze)
	if trouble {
		hub.signal(syscall.SIGCONT)
	}
	at(freeze + cut)
	if trouble {
		w.note("backend %s reaches the hubs again", b.id)
		b.setCut(false)
	}
	// Half a second more than the time for which disruptions excuse.
	at(freeze + cut + stableWindow + 500*time.Millisecond)
	close(next)
	wg.Wait()
	w.note("%d flows with a second request, %d of them served, %d at %s, %d flows broken", flows, served, own, b.id, broken)
	return broken, nil
}
