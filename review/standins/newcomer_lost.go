package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// newcomerLost takes one of three hubs away for good, and then starts successors at new
// addresses with empty disks. Each successor but the last is gone for good soon after its
// start, as its machine has failed too. Two operators change the configuration meanwhile.
// Two of the three hubs run all the while. It is broken if they acknowledge no change and
// return no configuration for stuckTime, although a last successor runs.
func newcomerLost(record string, trouble bool) (int, error) {
	const (
		stuckTime    = 16 * time.Second
		documentSize = 200 << 10
		operators    = 2
		gap          = 80 * time.Millisecond
		attemptTime  = 70 * time.Second
		pause        = 200 * time.Millisecond
	)
	w, err := newWorld(record, "zone-a", "zone-b", "zone-c")
	if err != nil {
		return 0, err
	}
	for _, z := range w.zones {
		w.addHub(z, 1)
	}
	if err := w.startAll(); err != nil {
		w.stop()
		return 0, err
	}
	defer w.stop()
	if s, _ := w.order("POST", "/config/put", w.config(1, "unsafe", "booking"), 15*time.Second); s != 200 {
		return 0, errCannotRun
	}
	time.Sleep(6 * time.Second)
	padding := bytes.Repeat([]byte(" "), documentSize)
	gone, stay := w.hubs[0], w.hubs[1:3]
	var version atomic.Int64
	var lastAck atomic.Int64
	version.Store(1)
	lastAck.Store(time.Now().UnixNano())
	// Orders go to the hubs that stay, until one acknowledges.
	operator := func() {
		for w.ctx.Err() == nil {
			v := version.Add(1)
			body := append(w.config(int(v), "unsafe", "booking"), padding...)
			for i := int(v); w.ctx.Err() == nil; i++ {
				url := "http://" + w.control(stay[i%2]) + "/config/put"
				s, loc, _ := call(w.ctx, "POST", url, body, time.Second)
				if s == 307 {
					s, _, _ = call(w.ctx, "POST", loc, body, time.Second)
				}
				if s == 200 {
					lastAck.Store(time.Now().UnixNano())
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(gap)
		}
	}
	for range operators {
		go operator()
	}
	time.Sleep(time.Second)
	if trouble {
		gone.signal(syscall.SIGKILL)
		<-gone.done
		w.note("%s is gone for good", gone.name)
	}
	w.seeds = []string{w.control(stay[0]), w.control(stay[1])}
	add := func(n int) *proc {
		p := &proc{w: w, name: fmt.Sprintf("core-zone-a-%d", n), zone: "zone-a", role: "control", ip: w.ip(1, 10+n)}
		w.hubs = append(w.hubs, p)
		return p
	}
	quiet := func() time.Duration { return time.Since(time.Unix(0, lastAck.Load())) }
	n := 2
	for begin := time.Now(); trouble && time.Since(begin) < attemptTime; n++ {
		p := add(n)
		if err := p.run(); err != nil {
			return 0, err
		}
		// A hub asks for admission 0.5 s after its start, and has a vote 0.1 s later.
		life := 500*time.Millisecond + rand.N(300*time.Millisecond)
		time.Sleep(life)
		p.signal(syscall.SIGKILL)
		<-p.done
		os.RemoveAll(w.dir + "/" + p.name)
		w.note("successor %s is gone for good after %v", p.name, life)
		time.Sleep(pause)
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && quiet() > 500*time.Millisecond; {
			time.Sleep(20 * time.Millisecond)
		}
		if quiet() > 3*time.Second {
			n++
			break
		}
	}
	last := gone
	if trouble {
		last = add(n)
		if err := last.run(); err != nil {
			return 0, err
		}
		w.note("successor %s stays", last.name)
	}
	time.Sleep(stuckTime)
	w.note("%d successors were lost; no acknowledgement for %v", n-2, quiet())
	reads, asked := 0, 0
	for end := time.Now().Add(8 * time.Second); asked < 30 && time.Now().Before(end); asked++ {
		h := []*proc{stay[0], stay[1], last}[asked%3]
		s, loc, answer := call(w.ctx, "GET", "http://"+w.control(h)+"/config/get", nil, time.Second)
		if s == 307 {
			s, _, answer = call(w.ctx, "GET", loc, nil, time.Second)
		}
		var d struct {
			Version int `json:"version"`
		}
		if s == 200 && json.Unmarshal(answer, &d) == nil {
			reads++
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.note("%d of %d reads of the configuration were answered", reads, asked)
	if reads == 0 && quiet() > stuckTime-time.Second {
		w.note("BROKEN CONFIG: the configuration does not come, and no change is acknowledged, while %s and %s run", stay[0].name, stay[1].name)
		return 1, nil
	}
	return 0, nil
}
