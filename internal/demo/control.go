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
	replicas = 3
	rootKey  = "demo root key"
	// inForceLimit is the time within which a change is in force everywhere.
	inForceLimit = 8 * time.Second
	inForcePoll  = 20 * time.Millisecond
)

type (
	// controlPlane runs the control VMs and writes settings as an operator.
	controlPlane struct {
		folder   string
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

// newControlPlane opens the ports of the control VMs.
func newControlPlane(log *zap.Logger) (*controlPlane, error) {
	folder, err := os.MkdirTemp("", "bamboowalk-demo-")
	if err != nil {
		return nil, fmt.Errorf("folder of the control VMs: %w", err)
	}
	p := &controlPlane{folder: folder, client: &operator.Client{
		Key: rootKey, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: inForceLimit,
	}}
	var addresses []control.ReplicaAddress
	var sockets []*control.Sockets
	for i := range replicas {
		s, err := openControl()
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
			ID: addresses[i].ID, Data: filepath.Join(folder, string(addresses[i].ID)),
			HTTP: addresses[i].HTTP, Control: tcpAddress(s.PullListener),
			Replicas: addresses, RootKeyHash: settings.HashKey(rootKey),
		}}
		vm.daemon = &control.Daemon{Settings: vm.settings, Sockets: s, Bootstrap: true, Log: log}
		p.replicas = append(p.replicas, vm)
	}
	return p, nil
}

func openControl() (*control.Sockets, error) {
	s := new(control.Sockets)
	var err error
	if s.HTTP, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	if s.Replication, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.ControlConn, s.PullListener, err = openPair()
	return s, err
}

// openPair opens a port that is free for both UDP and TCP.
func openPair() (conn *net.UDPConn, listener net.Listener, err error) {
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
		own, cancel := context.WithCancel(context.WithoutCancel(ctx))
		vm.cancel = cancel
		go func() { vm.done <- vm.daemon.Run(own) }()
	}
}

// stop ends the control VMs and removes their files.
func (p *controlPlane) stop() error {
	var first error
	for _, vm := range p.replicas {
		vm.cancel()
		if err := <-vm.done; err != nil && first == nil {
			first = fmt.Errorf("control VM %s: %w", vm.settings.ID, err)
		}
		vm.done <- nil
	}
	if err := os.RemoveAll(p.folder); err != nil && first == nil {
		first = err
	}
	return first
}

// stopLeader stops the replica that leads, and returns its id.
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

// configure writes the settings of the demo.
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
	for id, all := range byService {
		team, name, _ := strings.Cut(string(id), "/")
		if err := p.put(ctx, "/Teams/"+team+"/Services/"+name, serviceText(all)); err != nil {
			return err
		}
		for i, l := range all {
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
		return fmt.Errorf("settings %s: %w", path, err)
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
		council = append(council, fmt.Sprintf("%q", v.vm.ID))
		fmt.Fprintf(&b, "[[EntryVMs]]\nID = %q\nControl = %q\nData = %q\nHTTP = %q\n", v.vm.ID, v.vm.Control, v.vm.Data, v.vm.HTTP)
	}
	return fmt.Sprintf("Weight = 1.0\nState = \"In\"\nCouncilRevision = 1\nCouncil = [%s]\n%s", strings.Join(council, ", "), b.String())
}

func serviceText(all []fleet.Listener) string {
	var names []string
	for _, zone := range zones {
		names = append(names, fmt.Sprintf("%q", zone))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Credential = %q\nZones = [%s]\n", settings.HashKey(credential), strings.Join(names, ", "))
	seen := make(map[fleet.KindName]bool)
	for _, l := range all {
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

// changeSettings writes one more document and measures the time until it is in
// force at all entry VMs that run.
func (d *Demo) changeSettings(ctx context.Context) {
	d.changes++
	path := settings.Path(fmt.Sprintf("/Teams/Lutto/Listeners/Extra-%d", d.changes))
	extra := listeners()[0]
	extra.Address = netip.AddrPortFrom(extra.Address.Addr(), uint16(9000+d.changes))
	begin := time.Now()
	revision, err := d.control.client.Put(ctx, path, 0, listenerText("Counter", extra))
	if err != nil {
		d.failConfig("write %s: %v", path, err)
		return
	}
	accepted := time.Now()
	for d.lowestRevision() < revision {
		if time.Since(accepted) > inForceLimit {
			d.failConfig("revision %d was not in force everywhere after %v", revision, inForceLimit)
			return
		}
		if sleep(ctx, inForcePoll) != nil {
			return
		}
	}
	d.note("settings", "revision %d accepted after %d ms, in force at all entry VMs %d ms later",
		revision, accepted.Sub(begin).Milliseconds(), time.Since(accepted).Milliseconds())
}

// lowestRevision returns the lowest revision in force at the entry VMs that
// run.
func (d *Demo) lowestRevision() fleet.Revision {
	lowest := ^fleet.Revision(0)
	for _, v := range d.running() {
		revision := fleet.Revision(0)
		if view := v.cluster.View(); view != nil {
			revision = view.Revision
		}
		lowest = min(lowest, revision)
	}
	return lowest
}

func (d *Demo) running() []*vm {
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

func (d *Demo) failConfig(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configFailures = append(d.configFailures, fmt.Sprintf(format, args...))
}
