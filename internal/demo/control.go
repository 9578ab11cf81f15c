package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/operator"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
)

const (
	replicaCount = 3
	rootKey      = "demo root key"
	// inForceLimit is the maximum time from the acceptance of a change of the
	// settings until the change is in force at all running entry VMs.
	inForceLimit        = 8 * time.Second
	inForcePollInterval = 20 * time.Millisecond
)

type (
	// controlPlane runs the control VMs and writes settings with the client
	// that operators use.
	controlPlane struct {
		dir      string
		replicas []*controlVM
		client   *operator.Client
	}

	controlVM struct {
		settings *control.Settings
		daemon   *control.Daemon
		cancel   context.CancelFunc
		done     chan error
	}
)

// newControlPlane creates the control VMs and opens their ports, without
// starting them.
func newControlPlane(log *zap.Logger) (*controlPlane, error) {
	dir, err := os.MkdirTemp("", "bamboowalk-demo-")
	if err != nil {
		return nil, fmt.Errorf("creating data directory of the control VMs: %w", err)
	}
	p := &controlPlane{dir: dir, client: &operator.Client{
		Key: rootKey, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: inForceLimit,
	}}
	var addresses []control.ReplicaAddress
	var sockets []*control.Sockets
	for i := range replicaCount {
		s, err := openControlSockets()
		if err != nil {
			return nil, err
		}
		sockets = append(sockets, s)
		addresses = append(addresses, control.ReplicaAddress{
			ID:          fleet.VMID(fmt.Sprintf("control-%d", i+1)),
			Replication: tcpAddress(s.Replication),
			HTTP:        tcpAddress(s.HTTP),
		})
		p.client.Servers = append(p.client.Servers, "http://"+s.HTTP.Addr().String())
	}
	for i, s := range sockets {
		vm := &controlVM{done: make(chan error, 1), settings: &control.Settings{
			ID: addresses[i].ID, Data: filepath.Join(dir, string(addresses[i].ID)),
			HTTP: addresses[i].HTTP, Control: tcpAddress(s.PullListener),
			Replicas: addresses, RootKeyHash: settings.HashKey(rootKey),
		}}
		vm.daemon = &control.Daemon{Settings: vm.settings, Sockets: s, Bootstrap: true, Log: log}
		p.replicas = append(p.replicas, vm)
	}
	return p, nil
}

func openControlSockets() (*control.Sockets, error) {
	s := new(control.Sockets)
	var err error
	if s.HTTP, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if s.Replication, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.ControlConn, s.PullListener, err = listenSamePort()
	return s, err
}

// listenSamePort listens on the same port for UDP and TCP. It makes at most 20
// attempts.
func listenSamePort() (conn *net.UDPConn, listener net.Listener, err error) {
	for range 20 {
		if conn, err = listenUDP(); err != nil {
			return nil, nil, err
		}
		if listener, err = net.Listen("tcp", conn.LocalAddr().String()); err == nil {
			return conn, listener, nil
		}
		conn.Close()
	}
	return nil, nil, err
}

func tcpAddress(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

func (p *controlPlane) start(ctx context.Context) {
	for _, vm := range p.replicas {
		vmCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		vm.cancel = cancel
		go func() { vm.done <- vm.daemon.Run(vmCtx) }()
	}
}

// stop stops the control VMs, removes their files and returns the first error.
func (p *controlPlane) stop() error {
	var firstErr error
	for _, vm := range p.replicas {
		vm.cancel()
		if err := <-vm.done; err != nil && firstErr == nil {
			firstErr = fmt.Errorf("control VM %s: %w", vm.settings.ID, err)
		}
		vm.done <- nil
	}
	if err := os.RemoveAll(p.dir); err != nil && firstErr == nil {
		firstErr = err
	}
	return firstErr
}

// stopLeader stops the control VM that leads the replicated log, without
// waiting for the VM to exit. It returns the ID of the VM, or "" if no control
// VM reports that it is the leader.
func (p *controlPlane) stopLeader(ctx context.Context) fleet.VMID {
	for _, vm := range p.replicas {
		var s control.Status
		err := p.client.GetJSON(ctx, "http://"+vm.settings.HTTP.String()+control.StatusPath, &s)
		if err == nil && s.Role == "Leader" {
			vm.cancel()
			return vm.settings.ID
		}
	}
	return ""
}

// configure writes the settings documents of the zones, services and listeners.
func (p *controlPlane) configure(ctx context.Context, vms []*vm) error {
	for _, zone := range zones {
		if err := p.put(ctx, "/Zones/"+string(zone), zoneText(zone, vms)); err != nil {
			return err
		}
	}
	byService := make(map[fleet.ServiceID][]fleet.Listener)
	for _, l := range listeners() {
		byService[l.Service] = append(byService[l.Service], l)
	}
	for id, serviceListeners := range byService {
		team, name, _ := strings.Cut(string(id), "/")
		if err := p.put(ctx, "/Teams/"+team+"/Services/"+name, serviceText(serviceListeners)); err != nil {
			return err
		}
		for i, l := range serviceListeners {
			path := fmt.Sprintf("/Teams/%s/Listeners/%s-%d", team, name, i)
			if err := p.put(ctx, path, listenerText(name, l)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *controlPlane) put(ctx context.Context, path, text string) error {
	if _, err := p.client.Put(ctx, settings.Path(path), 0, text); err != nil {
		return fmt.Errorf("writing settings %s: %w", path, err)
	}
	return nil
}

func zoneText(zone fleet.ZoneID, vms []*vm) string {
	var council []string
	var b strings.Builder
	for _, v := range vms {
		if v.zone != zone {
			continue
		}
		council = append(council, fmt.Sprintf("%q", v.member.ID))
		fmt.Fprintf(&b, "[[EntryVMs]]\nID = %q\nControl = %q\nData = %q\nHTTP = %q\n", v.member.ID, v.member.Control, v.member.Data, v.member.HTTP)
	}
	return fmt.Sprintf("Weight = 1.0\nState = \"In\"\nCouncilRevision = 1\nCouncil = [%s]\n%s", strings.Join(council, ", "), b.String())
}

func serviceText(serviceListeners []fleet.Listener) string {
	var names []string
	for _, zone := range zones {
		names = append(names, fmt.Sprintf("%q", zone))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Credential = %q\nZones = [%s]\n", settings.HashKey(credential), strings.Join(names, ", "))
	seen := make(map[fleet.KindName]bool)
	for _, l := range serviceListeners {
		k := l.Kind
		if seen[k.Name] {
			continue
		}
		seen[k.Name] = true
		fmt.Fprintf(&b, "[[Kinds]]\nName = %q\nUrgency = %d\nWeight = %f\nShare = %f\nDeadline = %q\nIdleTimeout = %q\nIdempotent = %v\n",
			k.Name, k.Urgency, k.Weight, k.Share, k.Deadline, k.IdleTimeout, k.Idempotent)
	}
	return b.String()
}

func listenerText(service string, l fleet.Listener) string {
	return fmt.Sprintf("Address = %q\nProtocol = %q\nService = %q\nKind = %q\nAnswers = %q\n", l.Address, l.Protocol, service, l.Kind.Name, l.Answers)
}

// changeSettings adds a listener and measures the time until the change is in
// force at all running entry VMs. It records the time as an event, or a failure
// if the change is rejected or not in force within inForceLimit.
func (d *Demo) changeSettings(ctx context.Context) {
	d.settingsChanges++
	path := settings.Path(fmt.Sprintf("/Teams/Lutto/Listeners/Extra-%d", d.settingsChanges))
	extra := listeners()[0]
	extra.Address = netip.AddrPortFrom(extra.Address.Addr(), uint16(9000+d.settingsChanges))
	begin := time.Now()
	revision, err := d.control.client.Put(ctx, path, 0, listenerText("Counter", extra))
	if err != nil {
		d.addConfigFailure("writing %s: %v", path, err)
		return
	}
	accepted := time.Now()
	for d.lowestRevisionInForce() < revision {
		if time.Since(accepted) > inForceLimit {
			d.addConfigFailure("revision %d was not in force everywhere after %v", revision, inForceLimit)
			return
		}
		if sleep(ctx, inForcePollInterval) != nil {
			return
		}
	}
	d.recordEvent("settings", "revision %d accepted after %d ms, in force at all entry VMs %d ms later",
		revision, accepted.Sub(begin).Milliseconds(), time.Since(accepted).Milliseconds())
}

// lowestRevisionInForce returns the lowest revision of the settings in the
// views of the running entry VMs. A VM without a view counts as revision 0.
func (d *Demo) lowestRevisionInForce() fleet.Revision {
	lowest := ^fleet.Revision(0)
	for _, v := range d.runningVMs() {
		revision := fleet.Revision(0)
		if view := v.cluster.View(); view != nil {
			revision = view.Revision
		}
		lowest = min(lowest, revision)
	}
	return lowest
}

func (d *Demo) runningVMs() []*vm {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*vm
	for _, v := range d.vms {
		if !v.down {
			out = append(out, v)
		}
	}
	return out
}

func (d *Demo) addConfigFailure(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configFailures = append(d.configFailures, fmt.Sprintf(format, args...))
}
