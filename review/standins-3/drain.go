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
	clockStep = 2400 * time.Millisecond
	drainMs   = 4 * time.Second
	// drainBackends is the number of backends of the service, of two slots each.
	drainBackends = 4
	drainWork     = 40 * time.Millisecond
	// loadPerS is what 3.3 of them can serve.
	loadPerS   = 165
	beforeLoad = 8 * time.Second
	// serveAfterAck is the time for which the draining backend goes on serving after the
	// acknowledgement: drainMs and a little longer. It then leaves and exits.
	serveAfterAck = drainMs + 3*time.Second
	afterExit     = 4 * time.Second
	// margin is left for packets and requests on their way.
	margin = 500 * time.Millisecond
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
	first := w.backendAt(1, 1, "i-0000b001", "svc-a")
	first.born = time.Now().Add(step).UnixMilli()
	starts := []*backend{first}
	for n := 2; n <= drainBackends; n++ {
		starts = append(starts, w.backendAt(n, 1, fmt.Sprintf("i-0000b00%d", n), "svc-a"))
	}
	for _, b := range starts {
		b.work = drainWork
		if err := w.startBackend(b); err != nil {
			return result{err: err}
		}
	}
	time.Sleep(1500 * time.Millisecond)
	first.crash()
	w.rec.printf("backend %s crashes; the time of day is right again", first.id)
	time.Sleep(500 * time.Millisecond)
	target := w.backendAt(1, 1, first.id, "svc-a")
	target.work = drainWork
	if err := w.startBackend(target); err != nil {
		return result{err: err}
	}
	if status := w.put(w.config(7, w.route("r-a", 443, `"service":"svc-a"`))); status != 200 {
		return result{err: fmt.Errorf("the configuration got %d", status)}
	}
	if err := w.awaitReady(); err != nil {
		return result{err: err}
	}
	time.Sleep(beforeLoad)
	c, err := w.newClients(1)
	if err != nil {
		return result{err: err}
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	unanswered := make(map[string]bool)
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
					id := fmt.Sprintf("r-%d", n)
					if f.request("POST", id, unsafeMs*time.Millisecond) == noAnswer {
						mu.Lock()
						unanswered[id] = true
						mu.Unlock()
					}
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
	status, _, _ := w.call("POST", "/instances/"+target.id+"/leave", "", 0, 3*time.Second)
	target.crash()
	w.rec.printf("%s leaves (%d) and exits", target.id, status)
	time.Sleep(afterExit)
	close(stop)
	wg.Wait()
	target.mu.Lock()
	defer target.mu.Unlock()
	late, lost := 0, 0
	for _, r := range target.runs {
		if r.at.Sub(acked) <= drainMs+margin {
			continue
		}
		late++
		if unanswered[r.request] {
			lost++
		}
	}
	w.rec.printf("%s ran %d requests, %d of them later than %v after the acknowledgement; %d of these were never answered", target.id, len(target.runs), late, drainMs+margin, lost)
	if late > 0 {
		return result{broken: []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %v after %s had acknowledged that it is draining; %d were never answered", late, target.id, drainMs, at, lost)}}
	}
	return result{}
}
