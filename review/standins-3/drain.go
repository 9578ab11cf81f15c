package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "drain": a backend starts while the time of day of its machine is ahead,
// crashes, and starts again under its id after the time of day has jumped back. Later it
// drains.
const (
	clockStep  = 2400 * time.Millisecond
	drainMs    = 4 * time.Second
	loadPerS   = 70
	beforeLoad = 8 * time.Second
	// serveAfterAck is the time for which the draining backend goes on serving after the
	// acknowledgement, and margin is left for packets and requests on their way.
	serveAfterAck = 9 * time.Second
	margin        = 500 * time.Millisecond
)

func playDrain(w *world, trouble bool) result {
	w.contracts = []string{"base", "drain", "config", "cost", "recover", "health", "flows", "places"}
	if err := w.start(); err != nil {
		return result{err: err}
	}
	step := time.Duration(0)
	if trouble {
		step = clockStep
	}
	other := w.backendAt(1, 1, "i-0000b001", "svc-a")
	first := w.backendAt(2, 1, "i-0000b002", "svc-a")
	first.born = time.Now().Add(step).UnixMilli()
	for _, b := range []*backend{other, first} {
		if err := w.startBackend(b); err != nil {
			return result{err: err}
		}
	}
	time.Sleep(1500 * time.Millisecond)
	first.crash()
	w.rec.printf("backend %s crashes; the time of day is right again", first.id)
	time.Sleep(500 * time.Millisecond)
	target := w.backendAt(2, 1, first.id, "svc-a")
	if err := w.startBackend(target); err != nil {
		return result{err: err}
	}
	if status := w.put(w.config(7, w.route("r-a", 443, `"service":"svc-a"`))); status != 200 {
		return result{err: fmt.Errorf("the configuration got %d", status)}
	}
	if err := w.awaitReady(); err != nil {
		return result{err: err}
	}
	for _, b := range []*backend{other, target} {
		b.work = 40 * time.Millisecond
	}
	time.Sleep(beforeLoad)
	c, err := w.newClients(1)
	if err != nil {
		return result{err: err}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second / loadPerS)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() {
				if f := c.open(w.routeAddr(443)); f != nil {
					f.request("GET", fmt.Sprintf("r-%d", n), unsafeMs*time.Millisecond)
					f.end()
				}
			})
		}
	})
	time.Sleep(2 * time.Second)
	acked, at := target.drain()
	if acked.IsZero() {
		close(stop)
		return result{err: fmt.Errorf("the drain was not acknowledged")}
	}
	w.rec.printf("the drain of %s is acknowledged by %s", target.id, at)
	time.Sleep(serveAfterAck)
	close(stop)
	wg.Wait()
	target.mu.Lock()
	defer target.mu.Unlock()
	late := 0
	for _, r := range target.runs {
		if r.at.Sub(acked) > drainMs+margin {
			late++
		}
	}
	w.rec.printf("%s ran %d requests, %d of them later than %v after the acknowledgement", target.id, len(target.runs), late, drainMs+margin)
	if late > 0 {
		return result{broken: []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %v after %s had acknowledged that it is draining", late, target.id, drainMs, at)}}
	}
	return result{}
}
