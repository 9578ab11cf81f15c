package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of all machines of a world, as offsets from its first port.
const (
	portControl = iota
	portReady
	portData
	portMetrics
	portFeed // the first of portRange
	portReplication
	portsUsed
)

// Parts of the loopback addresses 127.block.part.n.
const (
	partCore = iota + 1
	partFront
	partBackend
	partClient
	partRoute
)

const (
	zones     = 3
	heartbeat = 1200 * time.Millisecond
	startTime = 20 * time.Second
)

var zoneNames = [zones]string{"zone-a", "zone-b", "zone-c"}

// world is a small deployment: in each of three zones a core machine, a front machine,
// clients and backends. Clients reach the front machine of their zone.
type world struct {
	rec   *record
	dir   string
	block int
	port  int
	// contracts is the list of contracts in the settings.
	contracts []string
	backends  []*backend
	client    *http.Client
	// clientDelay is the delay of the links of clients, one way.
	clientDelay time.Duration
	links       chan datagram
	// datagrams counts those that clients and backends have sent.
	datagrams atomic.Int64

	mu     sync.Mutex
	procs  []*exec.Cmd
	cores  [zones]*exec.Cmd
	closed bool
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, client: &http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
	for range 50 {
		w.block, w.port = 100+rand.IntN(100), 20000+rand.IntN(10000)
		if w.portsFree() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (w *world) portsFree() bool {
	for i := range portsUsed {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", w.ip(partCore, 1), w.port+i))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (w *world) ip(part, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.block, part, n) }

func (w *world) address(part, n, port int) string {
	return fmt.Sprintf("%s:%d", w.ip(part, n), w.port+port)
}

func quoted(list []string) string { return `["` + strings.Join(list, `", "`) + `"]` }

// settings returns the part of the settings that both templates of the deploy folder have.
func (w *world) settings(zone, ip string) string {
	var seeds []string
	for n := 1; n <= zones; n++ {
		seeds = append(seeds, w.address(partCore, n, portControl))
	}
	return fmt.Sprintf("Zone = %q\nMetrics = \"%s:%d\"\nSeeds = %s\nPorts = [%d, %d]\nContracts = %s\n",
		zone, ip, w.port+portMetrics, quoted(seeds), w.port+portFeed, w.port+portFeed+15, quoted(w.contracts))
}

func regions() string {
	text := "[Regions]\n"
	for _, z := range zoneNames {
		text += fmt.Sprintf("%q = \"region\"\n", z)
	}
	return text
}

// start starts all daemons, with the commands and the settings of the deploy file.
func (w *world) start() error {
	for n := range zones {
		if err := w.startCore(n, true); err != nil {
			return err
		}
	}
	for n := 1; n <= zones; n++ {
		name := fmt.Sprintf("front-%d", n)
		text := w.settings(zoneNames[n-1], w.ip(partFront, n)) +
			fmt.Sprintf("ID = %q\nData = %q\nHTTP = %q\nStopTime = \"6s\"\n",
				name, w.address(partFront, n, portData), w.address(partFront, n, portReady)) + regions()
		if err := w.run(name, "entry", text); err != nil {
			return err
		}
	}
	return nil
}

// startCore starts the process of a core machine. first is set at the first start of the
// system.
func (w *world) startCore(n int, first bool) error {
	name := fmt.Sprintf("core-%d", n+1)
	data := filepath.Join(w.dir, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	text := w.settings(zoneNames[n], w.ip(partCore, n+1)) +
		fmt.Sprintf("HTTP = %q\nData = %q\nFirst = %v\nAnnounceInterval = \"%dms\"\nTolerance = \"1\"\n",
			w.address(partCore, n+1, portControl), data, first, heartbeat.Milliseconds()) + regions()
	return w.run(name, "control", text)
}

// restartCore starts the process of a core machine again.
func (w *world) restartCore(n int) error {
	w.mu.Lock()
	closed := w.closed
	w.mu.Unlock()
	if closed {
		return fmt.Errorf("the world has ended")
	}
	return w.startCore(n, false)
}

// core returns the process that a core machine runs.
func (w *world) core(n int) *exec.Cmd {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cores[n]
}

func (w *world) run(name, role, settings string) error {
	path := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/bamboowalkd", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "BAMBOOWALK_SETTINGS=" + path}
	if role == "control" {
		cmd.Env = append(cmd.Env, "BAMBOOWALK_MEMORY_MB=280")
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs = append(w.procs, cmd)
	if n, ok := strings.CutPrefix(name, "core-"); ok {
		i, _ := strconv.Atoi(n)
		w.cores[i-1] = cmd
	}
	w.rec.printf("%s started", name)
	return nil
}

// close ends all processes and backends, and removes the temporary folder.
func (w *world) close() {
	for _, b := range w.backends {
		b.crash()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, p := range w.procs {
		_ = p.Process.Kill()
	}
	for _, p := range w.procs {
		_ = p.Wait()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// call makes a call to the control machines, beginning with the first one given: it
// follows two redirects, and moves on after a failure, a 5xx or a second without an
// answer. It returns the status and the body of the first other answer.
func (w *world) call(method, path, body string, first int, limit time.Duration) (int, string, string) {
	end := time.Now().Add(limit)
	for i := first; time.Now().Before(end); i++ {
		host := w.address(partCore, i%zones+1, portControl)
		status, text, at := w.callOne(method, "http://"+host+path, body)
		if status > 0 && status < 500 {
			return status, text, at
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, "", ""
}

func (w *world) callOne(method, url, body string) (int, string, string) {
	for range 3 {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			return 0, "", ""
		}
		req.Header.Set("Content-Type", "application/json")
		c := http.Client{Timeout: time.Second, Transport: w.client.Transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		resp, err := c.Do(req)
		if err != nil {
			return 0, "", ""
		}
		var text bytes.Buffer
		_, err = io.Copy(&text, resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, "", ""
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, text.String(), req.URL.Host
		}
		url = resp.Header.Get("Location")
	}
	return 0, "", ""
}

// put sends a configuration until it is acknowledged or refused.
func (w *world) put(text string) int {
	status, answer, at := w.call(http.MethodPost, "/config/put", text, 0, startTime)
	w.rec.printf("operator: PUT %s -> %d from %s %s", text, status, at, strings.TrimSpace(answer))
	return status
}

// awaitReady waits until all front machines are ready.
func (w *world) awaitReady() error {
	end := time.Now().Add(startTime)
	for n := 1; n <= zones; n++ {
		url := "http://" + w.address(partFront, n, portReady) + "/ready"
		for {
			if status, _, _ := w.callOne(http.MethodGet, url, ""); status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("front-%d is not ready", n)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.rec.printf("all front machines are ready")
	return nil
}

// datagram is one on its way over the link of a client.
type datagram struct {
	conn *net.UDPConn
	data []byte
	to   netip.AddrPort
	due  time.Time
}

// transmit sends a datagram over the link of a client. The links keep their order.
func (w *world) transmit(conn *net.UDPConn, b []byte, to netip.AddrPort) {
	w.datagrams.Add(1)
	if w.clientDelay == 0 {
		conn.WriteToUDPAddrPort(b, to)
		return
	}
	w.links <- datagram{conn, b, to, time.Now().Add(w.clientDelay)}
}

// runLinks delivers the datagrams that are on their way.
func (w *world) runLinks() {
	for d := range w.links {
		time.Sleep(time.Until(d.due))
		d.conn.WriteToUDPAddrPort(d.data, d.to)
	}
}
