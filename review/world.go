package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
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

// Bounds of a small deployment.
const (
	heartbeat    = 1200 * time.Millisecond
	stableWindow = 4 * time.Second
	drainTime    = 3 * time.Second
	graceTime    = 6 * time.Second
)

// errBlocked reports a case that could not run.
var errBlocked = errors.New("the case could not run")

// world is the platform with the processes of the system.
type world struct {
	repo, dir string
	zones     []string
	network   byte
	lock      net.Listener

	dataPort, readyPort, controlPort, firstPort int

	entries, controls []*vm
	router            *net.UDPConn
	links             *links

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	backends map[*backend]bool
	stopped  chan struct{}
	wg       sync.WaitGroup
}

// vm is a machine of the system with its process.
type vm struct {
	name, zone, role string
	ip               netip.Addr
	cmd              *exec.Cmd
	exited           chan struct{}
	// inRotation and misses are guarded by world.mu.
	inRotation bool
	misses     int
	// firstPort is the first of the ports for connections to other machines, if it has
	// ports of its own.
	firstPort int
}

// newWorld reserves addresses, and starts the routers. The processes are started by
// start.
func newWorld(repo, recordPath string, zones []string, entriesPerZone int) (*world, error) {
	w := &world{repo: repo, zones: zones, started: time.Now(), backends: map[*backend]bool{}, stopped: make(chan struct{})}
	var err error
	if w.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for i := range 50 {
		w.network = byte((os.Getpid()+i)%50*4 + 10)
		at := fmt.Sprintf("127.%d.255.254:19998", w.network)
		if w.lock, err = net.Listen("tcp4", at); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w.setPorts()
	if w.router, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, err
	}
	for z, zone := range zones {
		w.controls = append(w.controls, &vm{name: fmt.Sprintf("core-%s-1", zone), zone: zone, role: "control", ip: w.address(2, z, 0)})
		for i := range entriesPerZone {
			w.entries = append(w.entries, &vm{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, role: "entry", ip: w.address(1, z, i)})
		}
	}
	w.wg.Go(w.pollReady)
	return w, nil
}

// setPorts chooses a block of free ports.
func (w *world) setPorts() {
	base := 0
	for i := range 100 {
		base = 15000 + (os.Getpid()+i)%100*48
		if free(w.address(1, 0, 0), base, 47) {
			break
		}
	}
	w.dataPort, w.readyPort, w.controlPort, w.firstPort = base, base+1, base+2, base+3
}

func free(ip netip.Addr, base, n int) bool {
	for port := base; port < base+n; port++ {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, uint16(port)).String())
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (w *world) address(class byte, zone, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network + class, byte(zone + 1), byte(n + 1)})
}

func (w *world) zoneIndex(zone string) int {
	for i, z := range w.zones {
		if z == zone {
			return i
		}
	}
	return 0
}

// logf writes a line of the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

var sectionPattern = regexp.MustCompile(`(?s){{#zones}}(.*?){{/zones}}`)

// settings fills in a template of the deploy folder.
func (w *world) settings(v *vm, first bool) (string, error) {
	text, err := os.ReadFile(filepath.Join(w.repo, "deploy", v.role+".toml"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, c := range w.controls {
		seeds = append(seeds, c.at(w.controlPort))
	}
	fields := map[string]any{
		"node": v.name, "zone": v.zone, "ip": v.ip.String(), "seeds": seeds, "bootstrap": first,
		"listen.datagramAddr": v.at(w.dataPort), "listen.readyAddr": v.at(w.readyPort), "listen.control": v.at(w.controlPort),
		"portRange": v.ports(w.firstPort), "bounds.graceS": int(graceTime.Seconds()),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "flows"},
		"dataDir":   filepath.Join(w.dir, v.name), "heartbeatMs": heartbeat.Milliseconds(),
	}
	out := sectionPattern.ReplaceAllStringFunc(string(text), func(s string) string {
		inner := sectionPattern.FindStringSubmatch(s)[1]
		var all strings.Builder
		for _, zone := range w.zones {
			all.WriteString(strings.NewReplacer("{{@}}", zone, "{{.}}", "ph-visayas").Replace(inner))
		}
		return all.String()
	})
	for name, value := range fields {
		j, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		out = strings.ReplaceAll(out, "{{"+name+"|json}}", string(j))
		out = strings.ReplaceAll(out, "{{"+name+"}}", strings.Trim(string(j), `"`))
	}
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("%w: the template of %s has an unknown placeholder", errBlocked, v.role)
	}
	return out, nil
}

// ports returns the range of ports for connections to other machines.
func (v *vm) ports(first int) []int {
	if v.firstPort != 0 {
		return []int{v.firstPort, v.firstPort + 1}
	}
	return []int{first, first + 15}
}

func (v *vm) at(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// start starts the process of a VM with the command of the deploy file.
func (w *world) start(v *vm, first bool) error {
	text, err := w.settings(v, first)
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, v.name+".settings")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(w.dir, v.name), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.cmd = exec.Command("target/bamboowalkd", v.role)
	v.cmd.Dir = w.repo
	v.cmd.Env = []string{"BAMBOOWALK_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	// The process ends with this one, however it ends.
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.exited = make(chan struct{})
	if err := v.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errBlocked, err)
	}
	cmd, exited := v.cmd, v.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	w.logf("process %s started", v.name)
	return nil
}

func (w *world) startAll() error {
	for _, v := range append(append([]*vm(nil), w.controls...), w.entries...) {
		if err := w.start(v, v.role == "control"); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) signal(v *vm, sig syscall.Signal) {
	w.logf("signal %v to %s", sig, v.name)
	_ = v.cmd.Process.Signal(sig)
}

// stop ends all processes that were started. keep leaves the logs in place.
func (w *world) stop(keep bool) {
	close(w.stopped)
	for _, v := range append(append([]*vm(nil), w.controls...), w.entries...) {
		if v.cmd == nil || v.cmd.Process == nil {
			continue
		}
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
	w.mu.Lock()
	var all []*backend
	for b := range w.backends {
		all = append(all, b)
	}
	w.mu.Unlock()
	for _, b := range all {
		b.end()
	}
	w.router.Close()
	w.lock.Close()
	w.wg.Wait()
	w.record.Close()
	if !keep {
		os.RemoveAll(w.dir)
	}
}

func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

// pollReady checks each entry VM twice per second. After two misses, it is out of
// rotation until it responds with 200 again.
func (w *world) pollReady() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for w.sleep(500 * time.Millisecond) {
		var group sync.WaitGroup
		for _, v := range w.entries {
			group.Go(func() {
				ok := false
				if r, err := client.Get("http://" + v.at(w.readyPort) + "/ready"); err == nil {
					ok = r.StatusCode == http.StatusOK
					r.Body.Close()
				}
				w.setReady(v, ok)
			})
		}
		group.Wait()
	}
}

func (w *world) setReady(v *vm, ok bool) {
	w.mu.Lock()
	before := v.inRotation
	if ok {
		v.inRotation, v.misses = true, 0
	} else if v.misses++; v.misses >= 2 {
		v.inRotation = false
	}
	after := v.inRotation
	w.mu.Unlock()
	if before != after {
		w.logf("%s in rotation: %v", v.name, after)
	}
}

// route sends a packet of a client to the entry VM that the router selects.
func (w *world) route(zone string, p *packet) *vm {
	w.mu.Lock()
	var in, all []*vm
	for _, v := range w.entries {
		if v.zone == zone {
			all = append(all, v)
			if v.inRotation {
				in = append(in, v)
			}
		}
	}
	w.mu.Unlock()
	if 2*len(in) < len(all) {
		in = all
	}
	var best *vm
	var highest uint64
	for _, v := range in {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %s %s", p.src, p.dst, v.name)
		// The low bits of the sum are mixed, so that similar names differ.
		sum := h.Sum64()
		sum ^= sum >> 29
		sum *= 0xbf58476d1ce4e5b9
		sum ^= sum >> 32
		if best == nil || sum > highest {
			best, highest = v, sum
		}
	}
	_, _ = w.router.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(best.ip, uint16(w.dataPort)))
	return best
}

// waitReady waits until all entry VMs are in rotation.
func (w *world) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		w.mu.Lock()
		for _, v := range w.entries {
			if v.inRotation {
				n++
			}
		}
		w.mu.Unlock()
		if n == len(w.entries) {
			return nil
		}
	}
	return fmt.Errorf("%w: not all entry VMs are ready after %v", errBlocked, limit)
}
