package demo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

// entryProcesses is a fleet of real entry processes with static settings: VMs a
// and b in Monza, c in Lecco, and one target in each zone.
type entryProcesses struct {
	t             *testing.T
	binary        string
	fabric        *fabric
	lookup        func(ctx context.Context, n int) error
	vms           []fleet.VM
	settingsFiles []string
	running       []*exec.Cmd
	nextRequest   int
	views         []*fleet.View
}

// portsTried counts the ports that freePort tried. Each test process starts at
// a block of ports chosen by its process ID. It tries no port twice, because a
// port that freePort returned may not be bound yet when freePort is called
// again.
var portsTried atomic.Int64

// freePort returns a loopback address with a port that is free for UDP and TCP.
// The port is below the ephemeral ports of the kernel, so that no outgoing
// connection of another process can take the port while the process that
// listens on the port is being restarted.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	const first, count, block = 20000, 12000, 40
	for range 100 {
		port := first + (os.Getpid()*block+int(portsTried.Add(1)))%count
		address := fmt.Sprintf("127.0.0.1:%d", port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		udp.Close()
		return netip.MustParseAddrPort(address)
	}
	t.Fatal("found no free port in 100 attempts")
	return netip.AddrPort{}
}

func startProcesses(t *testing.T, ctx context.Context, group *errgroup.Group) *entryProcesses {
	p := &entryProcesses{t: t, binary: filepath.Join(t.TempDir(), "bamboowalk")}
	if out, err := exec.Command("go", "build", "-o", p.binary, "../../cmd/bamboowalk").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	server, caller, err := certificates()
	if err != nil {
		t.Fatal(err)
	}
	if p.fabric, err = newFabric(1); err != nil {
		t.Fatal(err)
	}
	group.Go(func() error { return p.fabric.run(ctx) })
	group.Go(func() error { return p.fabric.checkHealth(ctx) })
	targets := make(map[fleet.ZoneID]*target)
	for _, zone := range []fleet.ZoneID{"Monza", "Lecco"} {
		target, err := newTarget(zone, counterService, p.fabric.address(), newAuditLog(), func() []fleet.VM { return nil })
		if err != nil {
			t.Fatal(err)
		}
		targets[zone] = target
		group.Go(func() error { return target.serve(ctx, server, target.handler(0)) })
	}
	for _, id := range []fleet.VMID{"a", "b", "c"} {
		p.vms = append(p.vms, fleet.VM{ID: id, Control: freePort(t), Data: freePort(t), HTTP: freePort(t)})
	}
	p.lookup = func(ctx context.Context, n int) error {
		id := fmt.Sprint(n)
		return roundTrip(ctx, p.fabric, callerAddr(1, n), lookupVIP, caller, "GET", "/lookup/"+id, counterService, expectBody(responseBody(counterService, id)))
	}
	p.running = make([]*exec.Cmd, len(p.vms))
	for i, vm := range p.vms {
		p.fabric.add(vm)
		p.writeSettings(i, targets[p.zone(i)])
		p.start(i)
	}
	return p
}

func (p *entryProcesses) zone(i int) fleet.ZoneID {
	if i == 2 {
		return "Lecco"
	}
	return "Monza"
}

func (p *entryProcesses) writeSettings(i int, target *target) {
	var b strings.Builder
	vm := p.vms[i]
	fmt.Fprintf(&b, "ID = %q\nZone = %q\nControl = %q\nData = %q\nHTTP = %q\nFabric = [%q]\nQuietTime = \"500ms\"\n",
		vm.ID, p.zone(i), vm.Control, vm.Data, vm.HTTP, p.fabric.address())
	for j, vm := range p.vms {
		if j != 1 {
			fmt.Fprintf(&b, "[[Zones]]\nID = %q\nServices = [%q]\n", p.zone(j), counterService)
		}
		fmt.Fprintf(&b, "[[Zones.Members]]\nID = %q\nControl = %q\nData = %q\nHTTP = %q\n", vm.ID, vm.Control, vm.Data, vm.HTTP)
	}
	fmt.Fprintf(&b, "[[Services]]\nID = %q\nCredentialSHA256 = %q\n", counterService, strings.Repeat("0", 64))
	fmt.Fprintf(&b, "[[Services.Listeners]]\nAddress = %q\nProtocol = \"udp\"\nAnswers = \"Direct\"\n", lookupVIP)
	fmt.Fprint(&b, "Kind = { Name = \"Lookup\", Weight = 1.0, Deadline = \"1s\", IdleTimeout = \"5s\", Idempotent = true }\n")
	fmt.Fprintf(&b, "[[Services.Targets]]\nAddress = %q\nSlots = 3\nConnectionLimit = 100\n", target.address)
	file := filepath.Join(p.t.TempDir(), string(vm.ID)+".toml")
	if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
		p.t.Fatal(err)
	}
	settings, err := entry.Load(file)
	if err != nil {
		p.t.Fatal(err)
	}
	p.settingsFiles = append(p.settingsFiles, file)
	v := &fleet.View{Zone: settings.Zone, Zones: settings.Zones, Targets: settings.Targets, Listeners: settings.Listeners}
	if err := v.Freeze(); err != nil {
		p.t.Fatal(err)
	}
	p.views = append(p.views, v)
}

func (p *entryProcesses) start(i int) {
	cmd := exec.Command(p.binary, "entry", "--config", p.settingsFiles[i])
	cmd.Stderr = p.t.Output()
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.running[i] = cmd
	p.t.Cleanup(func() { cmd.Process.Kill() })
}

func (p *entryProcesses) waitHealthy(want int) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.fabric.healthyCount() == want {
			return
		}
	}
	p.t.Fatalf("got %d healthy processes, want %d", p.fabric.healthyCount(), want)
}

// runLookups sends count lookups, at most two at a time. If zone is not empty,
// it sends only lookups whose flow has this zone as the home zone.
func (p *entryProcesses) runLookups(name string, count int, zone fleet.ZoneID) {
	p.t.Helper()
	m := placement.New(p.views[0])
	ctx, cancel := context.WithTimeout(p.t.Context(), requestTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(2)
	for started := 0; started < count; p.nextRequest++ {
		n := p.nextRequest
		flow := fleet.FlowKey{Caller: callerAddr(1, n), VIP: lookupVIP, Protocol: fleet.UDP}
		if home := m.HomeZone(counterService, flow.Hash()); zone != "" && home.ID != zone {
			continue
		}
		started++
		group.Go(func() error { return p.lookup(ctx, n) })
	}
	if err := group.Wait(); err != nil {
		p.t.Errorf("%s: %v", name, err)
	}
}

// Guards against entry processes that do not form a working fleet, that fail when
// another process crashes, that do not serve after a restart, or that exit with
// an error after SIGTERM.
func TestProcesses(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	p := startProcesses(t, ctx, group)
	p.waitHealthy(3)
	p.runLookups("all processes", 20, "")

	p.running[1].Process.Kill()
	p.running[1].Wait()
	p.waitHealthy(2)
	p.runLookups("home zone Lecco while b is down", 10, "Lecco")

	p.start(1)
	p.waitHealthy(3)
	p.runLookups("after the restart of b", 20, "")

	for i, cmd := range p.running {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("process %s after SIGTERM: %v", p.vms[i].ID, err)
		}
	}
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
