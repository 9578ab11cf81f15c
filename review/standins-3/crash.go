package main

import (
	"fmt"
	"sync"
	"time"
)

// The case "crash": three times, the only backend of a service starts, drains and leaves.
// Before it starts, one heartbeat with its id comes from another writer, and names a
// service that the configuration does not have.
const (
	crashRounds = 3
	// foreignBefore is the time from the other writer's heartbeat to the start of the
	// backend, and upTime the time from there to its drain.
	foreignBefore = time.Second
	upTime        = 2500 * time.Millisecond
	// drainMs is that of the site, and margin is left for requests on their way.
	drainMs = 4 * time.Second
	margin  = 500 * time.Millisecond
	// goneAfter is the time from the leave call until the system takes the backend for gone.
	goneAfter    = 5 * time.Second
	restartDelay = 500 * time.Millisecond
)

// watchCore restarts core processes that end by themselves, as the platform does, and
// counts their ends by machine.
func (w *world) watchCore(stop chan struct{}) func() [zones]int {
	var mu sync.Mutex
	var ends [zones]int
	var wg sync.WaitGroup
	for n := range zones {
		wg.Go(func() {
			for {
				done := make(chan error, 1)
				cmd := w.core(n)
				go func() { done <- cmd.Wait() }()
				select {
				case <-stop:
					return
				case err := <-done:
					mu.Lock()
					ends[n]++
					mu.Unlock()
					w.rec.printf("core-%d ended by itself: %v", n+1, err)
				}
				time.Sleep(restartDelay)
				if err := w.restartCore(n); err != nil {
					w.rec.printf("core-%d: %v", n+1, err)
					return
				}
			}
		})
	}
	return func() [zones]int {
		mu.Lock()
		defer mu.Unlock()
		return ends
	}
}

// load keeps one client in each zone busy until stop is closed.
func (w *world) load(stop chan struct{}) error {
	for zone := 1; zone <= zones; zone++ {
		c, err := w.newClients(zone)
		if err != nil {
			return err
		}
		for k := range 2 {
			go func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					if f := c.open(w.routeAddr(443)); f != nil {
						f.request("GET", fmt.Sprintf("r-%d-%d-%d", zone, k, n), unsafeMs*time.Millisecond)
						f.end()
					}
				}
			}()
		}
	}
	return nil
}

// announceForeign sends a heartbeat of another writer with the id of a backend.
func (w *world) announceForeign(b *backend) {
	body := fmt.Sprintf(`{"service":"svc-other","addr":%q,"zone":%q,"version":"v1","slots":2,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`,
		b.addr, zoneNames[b.zone-1], time.Now().UnixMilli())
	status, answer, at := w.call("POST", "/instances/"+b.id+"/heartbeat", body, 0, 3*time.Second)
	w.rec.printf("another writer: heartbeat of %s with %s -> %d from %s %s", b.id, body, status, at, answer)
}

func playCrash(w *world, trouble bool) result {
	w.contracts = []string{"base", "drain", "config", "cost", "recover", "health", "flows"}
	if err := w.start(); err != nil {
		return result{err: err}
	}
	for n := 1; n <= 3; n++ {
		if err := w.startBackend(w.backendAt(n, n, fmt.Sprintf("i-0000d00%d", n), "svc-a")); err != nil {
			return result{err: err}
		}
	}
	routes := w.route("r-a", 443, `"service":"svc-a"`) + "," + w.route("r-b", 444, `"service":"svc-b"`)
	if status := w.put(w.config(7, routes)); status != 200 {
		return result{err: fmt.Errorf("the configuration got %d", status)}
	}
	if err := w.awaitReady(); err != nil {
		return result{err: err}
	}
	stop := make(chan struct{})
	ends := w.watchCore(stop)
	defer close(stop)
	if err := w.load(stop); err != nil {
		return result{err: err}
	}
	time.Sleep(4 * time.Second)
	for round := 1; round <= crashRounds; round++ {
		b := w.backendAt(3+round, 1, fmt.Sprintf("i-0000d10%d", round), "svc-b")
		if trouble {
			w.announceForeign(b)
		}
		time.Sleep(foreignBefore)
		b.born = time.Now().UnixMilli()
		if err := w.startBackend(b); err != nil {
			return result{err: err}
		}
		time.Sleep(upTime)
		acked, at := b.drain()
		if acked.IsZero() {
			return result{err: fmt.Errorf("the drain of %s was not acknowledged", b.id)}
		}
		w.rec.printf("the drain of %s is acknowledged by %s", b.id, at)
		time.Sleep(drainMs + margin)
		status, _, _ := w.call("POST", "/instances/"+b.id+"/leave", "", 0, 3*time.Second)
		b.crash()
		w.rec.printf("backend %s leaves: %d", b.id, status)
		time.Sleep(goneAfter)
		w.rec.printf("round %d: ends of core processes by themselves: %v", round, ends())
	}
	res, half := result{}, 0
	for _, n := range ends() {
		if n >= crashRounds {
			half++
		}
	}
	if 2*half > zones {
		res.broken = append(res.broken, fmt.Sprintf("Fault: on %d of %d core machines, processes ended by themselves three times or more: %v", half, zones, ends()))
	}
	return res
}
