package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is the memoryMb of a control VM.
	memoryLimit = 280
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// ackLimit is ackMs of the sheet, after which the operators stop to read back.
	ackLimit = 5 * time.Second
	// stormLimit is the time after which the operators make no more changes.
	stormLimit = 88 * time.Second
)

// memory returns the peak of the resident memory of a process in MB.
func memory(v *vm) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// enforceMemory kills the process of a VM that uses more memory than it may, and starts
// it again, as the platform does.
func (d *deployment) enforceMemory(v *vm, kills chan<- string) {
	for d.sleep(20 * time.Millisecond) {
		used := memory(v)
		if used <= memoryLimit {
			continue
		}
		d.logf("%s uses %d MB of %d and is killed; it has %d MB of files", v.name, used, memoryLimit, d.diskUse(v))
		d.signal(v, syscall.SIGKILL)
		<-v.exited
		kills <- v.name
		if !d.sleep(restartDelay) {
			return
		}
		if err := d.start(v, false); err != nil {
			d.logf("%v", err)
			return
		}
	}
}

// diskUse returns the size of the files of a VM in MB.
func (w *world) diskUse(v *vm) int {
	var n int64
	_ = filepath.Walk(filepath.Join(w.dir, v.name), func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			n += info.Size()
		}
		return nil
	})
	return int(n >> 20)
}

// leader returns the control VM that acknowledges a configuration without a redirect.
func (w *world) leader(body []byte) *vm {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, c := range w.controls {
		r, err := client.Post("http://"+c.at(w.controlPort)+"/config/put", "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return c
		}
	}
	return nil
}

// get reads the configuration from one daemon after the other.
func (w *world) get() ([]byte, bool) {
	client := &http.Client{Timeout: time.Second}
	for _, c := range w.controls {
		r, err := client.Get("http://" + c.at(w.controlPort) + "/config/get")
		if err != nil {
			continue
		}
		body, err := io.ReadAll(r.Body)
		r.Body.Close()
		if r.StatusCode == http.StatusOK && err == nil {
			return body, true
		}
	}
	return nil, false
}

// storm has two operators each make a change every gap, until one of them has had no
// acknowledgement for ackLimit, or stormLimit has passed. It returns the newest
// acknowledged version.
func (d *deployment) storm(routes []route, gap time.Duration) int {
	var mu sync.Mutex
	var group sync.WaitGroup
	acked, failed := 0, false
	for range 2 {
		group.Go(func() {
			for time.Since(d.started) < stormLimit {
				last := time.Now()
				mu.Lock()
				if failed {
					mu.Unlock()
					return
				}
				d.version += 3
				version, number := d.version, d.version/3
				routes[0].timeoutMs = 1500 + number%7
				body := configuration(version, routes, []string{"booking", "stable"})
				mu.Unlock()
				err := d.put(body, ackLimit)
				mu.Lock()
				if err != nil {
					d.logf("version %d has not been acknowledged for %v", version, ackLimit)
					failed = true
				} else {
					acked = max(acked, version)
				}
				mu.Unlock()
				if number%50 == 0 {
					for _, v := range d.controls {
						d.logf("after %d changes of %d bytes: peak of %s %d MB, files %d MB", number, len(body), v.name, memory(v), d.diskUse(v))
					}
				}
				time.Sleep(gap - time.Since(last))
			}
		})
	}
	group.Wait()
	return acked
}

// absent cuts the leader of the control VMs off while the operator makes hundreds of
// changes.
func absent(d *deployment, trouble bool) (int, error) {
	const gap = 80 * time.Millisecond
	routes := d.routes()
	for i := range 110 + 2*250 {
		routes = append(routes, route{fmt.Sprintf("r-idle%04d", i), "safe", "booking", netip.AddrPortFrom(d.address(5, i/200, i%200+10), 8080), 1500})
	}
	kills := make(chan string, 100)
	for _, v := range d.controls {
		go d.enforceMemory(v, kills)
	}
	leader := d.leader(configuration(d.version, d.routes(), []string{"booking", "stable"}))
	if leader == nil {
		return 0, fmt.Errorf("%w: no leader", errBlocked)
	}
	if trouble {
		d.logf("%s, which leads, is cut off from all machines", leader.name)
		d.links.set(leader.name, true)
	}
	acked := 0
	for time.Since(d.started) < stormLimit {
		acked = max(acked, d.storm(routes, gap))
		d.logf("the newest acknowledged version is %d; processes were killed for their memory %d times", acked, len(kills))
		if !d.readBack(acked) {
			return 1, nil
		}
	}
	return 0, nil
}

// readBack reports whether a version or a newer one can be read within stableWindow.
func (d *deployment) readBack(acked int) bool {
	for end := time.Now().Add(stableWindow); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		body, ok := d.get()
		var doc struct{ Version int }
		if ok && json.Unmarshal(body, &doc) == nil {
			d.logf("version %d was read back", doc.Version)
			if doc.Version >= acked {
				return true
			}
		}
	}
	d.logf("CONFIG: version %d was not read back for %v, from any daemon", acked, stableWindow)
	return false
}
