package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployments that the cases name, the longest of each (SYSTEM.md,
// demands/LATER.md).
const (
	heartbeatInterval = 1200 * time.Millisecond
	stableWindow      = 5 * time.Second
	drainBound        = 4 * time.Second
	configBound       = 4 * time.Second
	probeInterval     = 500 * time.Millisecond
	probeTimeout      = 300 * time.Millisecond
	restartDelay      = 300 * time.Millisecond
)

var errCannotRun = errors.New("the case can't run")

type (
	// world is a small deployment on loopback addresses: processes of the system, and
	// stand-ins for platform, clients, backends and operator in this process.
	world struct {
		dir, repo string
		net       byte // second octet of all addresses
		zones     []string
		dataPort, readyPort, controlPort,
		firstPort uint16
		contracts []string
		tolerance int

		record *os.File
		recMu  sync.Mutex
		start  time.Time

		mu       sync.Mutex
		hubs     []*proc
		fronts   []*proc
		backends []*backend
		clients  []*client
		seeds    []string
		ctx      context.Context
		cancel   context.CancelFunc
		wg       sync.WaitGroup
		resets   []string
	}

	// proc is a process of the system on a machine of its own.
	proc struct {
		w        *world
		name     string
		zone     string
		role     string // "entry" or "control"
		ip       netip.Addr
		first    bool
		mu       sync.Mutex
		cmd      *exec.Cmd
		done     chan struct{}
		frozen   time.Time // end of the last disturbance
		rotation bool
		misses   int
		log      *os.File
	}
)

func newWorld(recordPath string, zones ...string) (*world, error) {
	repo, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bamboowalk-review-")
	if err != nil {
		return nil, err
	}
	rec, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, repo: repo, net: freeNet(), zones: zones, record: rec, start: time.Now(), tolerance: 1,
		contracts: []string{"base", "drain", "config", "cost", "recover", "flows"}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	if err := w.findPorts(); err != nil {
		return nil, err
	}
	return w, nil
}

// freeNet returns the second octet of addresses that no other run of a case uses: the
// metrics port of the templates is the same in all of them.
func freeNet() byte {
	for range 100 {
		n := byte(20 + rand.IntN(200))
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.11:9100", n))
		if err == nil {
			l.Close()
			return n
		}
	}
	return 19
}

// findPorts chooses ports that are free on all addresses.
func (w *world) findPorts() error {
	for range 50 {
		base := uint16(20000 + rand.IntN(10000))
		ok := true
		for i := uint16(0); i < 20 && ok; i++ {
			l, err := net.Listen("tcp4", fmt.Sprintf(":%d", base+i))
			if err != nil {
				ok = false
				break
			}
			l.Close()
			u, err := net.ListenPacket("udp4", fmt.Sprintf(":%d", base+i))
			if err != nil {
				ok = false
				break
			}
			u.Close()
		}
		if ok {
			w.dataPort, w.readyPort, w.controlPort, w.firstPort = base, base+1, base+2, base+4
			return nil
		}
	}
	return errCannotRun
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.recMu.Lock()
	defer w.recMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) ip(zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(zone), byte(n)})
}

// zoneIndex returns the index of a zone, counted from 1.
func (w *world) zoneIndex(zone string) int {
	for i, z := range w.zones {
		if z == zone {
			return i + 1
		}
	}
	return 0
}

func (w *world) addHub(zone string, n int) *proc {
	p := &proc{w: w, name: fmt.Sprintf("core-%s-%d", zone, n), zone: zone, role: "control", ip: w.ip(w.zoneIndex(zone), 10+n)}
	w.hubs = append(w.hubs, p)
	return p
}

func (w *world) addFront(zone string, n int) *proc {
	p := &proc{w: w, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, role: "entry", ip: w.ip(w.zoneIndex(zone), 50+n)}
	w.fronts = append(w.fronts, p)
	return p
}

func (w *world) control(p *proc) string { return netip.AddrPortFrom(p.ip, w.controlPort).String() }

var (
	placeholder = regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`)
	zoneSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
)

// settings fills in the template of the deploy file for a process.
func (p *proc) settings() (string, error) {
	w := p.w
	text, err := os.ReadFile(filepath.Join(w.repo, "deploy", p.role+".toml"))
	if err != nil {
		return "", err
	}
	at := func(port uint16) string { return netip.AddrPortFrom(p.ip, port).String() }
	fields := map[string]any{
		"node": p.name, "zone": p.zone, "ip": p.ip.String(), "seeds": w.seeds, "portRange": []uint16{w.firstPort, w.firstPort + 15},
		"bootstrap": p.first, "dataDir": filepath.Join(w.dir, p.name), "heartbeatMs": heartbeatInterval.Milliseconds(),
		"contracts": w.contracts, "faultTolerance.machines": w.tolerance, "bounds.graceS": 6, "limits.memoryMb": 280,
		"listen.datagramAddr": at(w.dataPort), "listen.readyAddr": at(w.readyPort), "listen.control": at(w.controlPort),
	}
	filled := zoneSection.ReplaceAllStringFunc(string(text), func(s string) string {
		line := zoneSection.FindStringSubmatch(s)[1]
		var all strings.Builder
		for _, z := range w.zones {
			all.WriteString(strings.NewReplacer("{{@}}", z, "{{.}}", "region-1").Replace(line))
		}
		return all.String()
	})
	var missing error
	filled = placeholder.ReplaceAllStringFunc(filled, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := fields[m[1]]
		if !ok {
			missing = fmt.Errorf("unknown field %s", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	return filled, missing
}

// run starts the process with the command of the deploy file.
func (p *proc) run() error {
	w := p.w
	text, err := p.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, p.name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if p.role == "control" {
		if err := os.MkdirAll(filepath.Join(w.dir, p.name), 0o700); err != nil {
			return err
		}
	}
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(w.dir, p.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command("target/bamboowalkd", p.role)
	cmd.Dir = w.repo
	cmd.Env = []string{"BAMBOOWALK_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	if p.role == "control" {
		cmd.Env = append(cmd.Env, "BAMBOOWALK_MEMORY_MB=280")
	}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		w.note("process %s ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = time.Now()
	p.w.note("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (p *proc) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// disturbedAt returns the time of the last signal to the process.
func (p *proc) disturbedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// startAll starts all processes, for the first time.
func (w *world) startAll() error {
	for i, h := range w.hubs {
		if i < 3 {
			w.seeds = append(w.seeds, w.control(h))
		}
	}
	for _, p := range append(append([]*proc(nil), w.hubs...), w.fronts...) {
		p.first = true
		if err := p.run(); err != nil {
			return err
		}
		// All later starts are not the first one of the system.
		p.first = false
	}
	w.wg.Go(w.probe)
	return nil
}

// stop ends all processes and removes the folder.
func (w *world) stop() {
	w.cancel()
	for _, p := range append(append([]*proc(nil), w.hubs...), w.fronts...) {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			select {
			case <-p.done:
			default:
				_ = p.cmd.Process.Signal(syscall.SIGCONT)
				_ = p.cmd.Process.Kill()
			}
		}
		done := p.done
		p.mu.Unlock()
		if done != nil {
			<-done
		}
	}
	for _, b := range w.backends {
		b.crash()
	}
	for _, c := range w.clients {
		c.conn.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
	w.record.Close()
}

// probe does the platform's readiness checks: twice a second at each entry VM, out of
// rotation after two misses, back at the next 200.
func (w *world) probe() {
	c := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, p := range w.fronts {
		go func() {
			time.Sleep(rand.N(probeInterval))
			tick := time.NewTicker(probeInterval)
			defer tick.Stop()
			for w.ctx.Err() == nil {
				r, err := c.Get("http://" + netip.AddrPortFrom(p.ip, w.readyPort).String() + "/ready")
				ok := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					r.Body.Close()
				}
				w.mu.Lock()
				before := p.rotation
				switch {
				case ok:
					p.misses, p.rotation = 0, true
				default:
					if p.misses++; p.misses >= 2 {
						p.rotation = false
					}
				}
				now := p.rotation
				w.mu.Unlock()
				if before != now {
					w.note("router: %s in rotation: %v", p.name, now)
				}
				select {
				case <-w.ctx.Done():
				case <-tick.C:
				}
			}
		}()
	}
	<-w.ctx.Done()
}

// route returns the entry VM that gets a packet: the one with the highest hash of the
// four addresses and ports ("steady") among those of the zone that are in rotation, or
// among all if fewer than half are.
func (w *world) route(zone string, key flowKey) *proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all, in []*proc
	for _, p := range w.fronts {
		if p.zone != zone {
			continue
		}
		all = append(all, p)
		if p.rotation {
			in = append(in, p)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *proc
	var bestHash uint64
	for _, p := range in {
		if h := mix(key, p.ip); best == nil || h > bestHash {
			best, bestHash = p, h
		}
	}
	return best
}

func (w *world) readyFronts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, p := range w.fronts {
		if p.rotation {
			n++
		}
	}
	return n
}

// call makes an HTTP call and returns status, Location and body; status 0 means no answer.
func call(ctx context.Context, method, url string, body []byte, timeout time.Duration) (int, string, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", nil
	}
	req.Header.Set("Content-Type", "application/json")
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	r, err := c.Do(req)
	if err != nil {
		return 0, "", nil
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, "", nil
	}
	return r.StatusCode, r.Header.Get("Location"), b
}

// order makes a call of the operator: it follows two redirects, and goes on with the next
// hub after 0.2 s if there is no clear answer, until the deadline.
func (w *world) order(method, path string, body []byte, d time.Duration) (int, []byte) {
	end := time.Now().Add(d)
	status, answer := 0, []byte(nil)
	for i := 0; time.Now().Before(end); i++ {
		url := "http://" + w.control(w.hubs[i%len(w.hubs)]) + path
		for range 3 {
			var location string
			status, location, answer = call(w.ctx, method, url, body, time.Second)
			if status != http.StatusTemporaryRedirect || location == "" {
				break
			}
			url = location
		}
		if status != 0 && status < 500 && status != 307 && status != 408 && status != 429 {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, answer
}
