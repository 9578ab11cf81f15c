package control_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/fakedisk"
	"bamboowalk.org/bamboowalk/internal/operator"
	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/internal/settingsfile"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

const (
	rootKey  = "root"
	zoneText = "Weight = 1.0\nState = \"In\"\nCouncil = [\"a\"]\nCouncilRevision = 1\n[[EntryVMs]]\nID = \"a\"\nControl = \"127.0.0.1:1\"\nData = \"127.0.0.1:2\"\nHTTP = \"127.0.0.1:3\"\n"
)

// testFleet runs control daemons on loopback addresses, each with its own data
// directory.
type testFleet struct {
	t              *testing.T
	daemonSettings []*control.Settings
	sockets        []*control.Sockets
	stops          []func()
	disks          []*fakedisk.Disk
}

func newFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{t: t, stops: make([]func(), n)}
	var replicas []control.ReplicaAddress
	for i := range n {
		s := openSockets(t)
		f.sockets = append(f.sockets, s)
		replicas = append(replicas, control.ReplicaAddress{
			ID: fleet.VMID(fmt.Sprintf("control-%d", i)), Replication: addressOf(s.Replication), HTTP: addressOf(s.HTTP),
		})
	}
	for i := range n {
		f.daemonSettings = append(f.daemonSettings, &control.Settings{
			ID: replicas[i].ID, Data: filepath.Join(t.TempDir(), "data"), HTTP: replicas[i].HTTP,
			Control: addressOf(f.sockets[i].PullListener), Replicas: replicas, RootKeyHash: settings.HashKey(rootKey),
		})
		f.disks = append(f.disks, new(fakedisk.Disk))
		f.start(i, f.sockets[i], true)
	}
	t.Cleanup(func() {
		for i := range n {
			f.stop(i)
		}
	})
	return f
}

func openSockets(t *testing.T) *control.Sockets {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	s := &control.Sockets{HTTP: listen(), Replication: listen()}
	// The UDP port and the TCP port of the control address must have the same
	// number.
	for range 20 {
		s.PullListener = listen()
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addressOf(s.PullListener)))
		if err == nil {
			s.ControlConn = conn
			return s
		}
		s.PullListener.Close()
	}
	t.Fatal("no port is free for both UDP and TCP")
	return nil
}

func addressOf(l net.Listener) netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) }

func (f *testFleet) start(i int, s *control.Sockets, bootstrap bool) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	d := &control.Daemon{
		Settings: f.daemonSettings[i], Sockets: s, Bootstrap: bootstrap, FS: f.disks[i].Open(f.daemonSettings[i].Data),
	}
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			f.t.Errorf("%s: got %v, want no error", f.daemonSettings[i].ID, err)
		}
	}()
	f.stops[i] = sync.OnceFunc(func() {
		cancel()
		<-done
	})
}

func (f *testFleet) stop(i int) { f.stops[i]() }

func (f *testFleet) client() *operator.Client {
	c := &operator.Client{Key: rootKey, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: 20 * time.Second}
	for _, s := range f.daemonSettings {
		c.Servers = append(c.Servers, "http://"+s.HTTP.String())
	}
	return c
}

func put(t *testing.T, c *operator.Client, name string) fleet.Revision {
	t.Helper()
	r, err := c.Put(context.Background(), settings.Path("/Zones/"+name), 0, zoneText)
	if err != nil {
		t.Fatalf("put %s: got %v, want no error", name, err)
	}
	return r
}

// Guards against an accepted write that is lost when the replicas restart one
// after the other, one of them after the loss of its disk. Also guards against
// a replica that has lost its disk and votes as if it still had its log
// entries.
func TestRollingRestart(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(t, 3)
	defer func() {
		for i := range 3 {
			f.stop(i)
		}
	}()
	c := f.client()
	put(t, c, "Monza")
	for i := range 3 {
		f.stop(i)
		if i == 1 {
			if err := os.RemoveAll(f.daemonSettings[i].Data); err != nil {
				t.Fatal(err)
			}
		}
		last := put(t, c, fmt.Sprintf("Z%d", i))
		sockets, err := control.Open(f.daemonSettings[i])
		if err != nil {
			t.Fatal(err)
		}
		f.start(i, sockets, false)
		f.waitForRevision(i, last)
	}
	docs, err := c.List(context.Background(), "/Zones")
	if err != nil || len(docs) != 4 {
		t.Errorf("documents: got %d, %v, want 4", len(docs), err)
	}
}

// waitForRevision waits until a replica has applied a revision and is a voter.
func (f *testFleet) waitForRevision(i int, want fleet.Revision) {
	f.t.Helper()
	var got control.Status
	for range 400 {
		got = f.status(i)
		if got.Revision >= want && (got.Role == "Follower" || got.Role == "Leader") {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	f.t.Fatalf("%s: got %+v after 10 s, want a voter at revision %d", f.daemonSettings[i].ID, got, want)
}

func (f *testFleet) status(i int) control.Status {
	var s control.Status
	if err := f.client().GetJSON(context.Background(), "http://"+f.daemonSettings[i].HTTP.String()+control.StatusPath, &s); err != nil {
		return control.Status{}
	}
	return s
}

// Guards against entry VMs that can't pull the settings from a replica.
func TestSpreadFromReplica(t *testing.T) {
	f := newFleet(t, 1)
	want := put(t, f.client(), "Monza")
	store := settings.NewStore()
	pull := spread.Message{Pull: &spread.Pull{From: store.Revision()}}
	_, answer, err := peer.Pull(context.Background(), "entry", f.daemonSettings[0].Control, pull)
	if err != nil || answer.Push == nil {
		t.Fatalf("pull: got %+v, %v, want a delta", answer, err)
	}
	if _, err := store.Apply(&answer.Push.Delta); err != nil || store.Revision() != want {
		t.Errorf("got revision %d, %v, want %d", store.Revision(), err, want)
	}
	if got := store.Config().Zone("Monza"); got == nil {
		t.Error("zone Monza: got none, want one")
	}
}

// Guards against a bootstrap that overwrites the state of an existing fleet.
func TestBootstrapRefusesUsedDirectory(t *testing.T) {
	f := newFleet(t, 1)
	put(t, f.client(), "Monza")
	f.stop(0)
	sockets, err := control.Open(f.daemonSettings[0])
	if err != nil {
		t.Fatal(err)
	}
	d := &control.Daemon{Settings: f.daemonSettings[0], Sockets: sockets, Bootstrap: true}
	if err := d.Run(context.Background()); err == nil || !strings.Contains(err.Error(), "bootstrap") {
		t.Errorf("got %v, want a bootstrap error", err)
	}
}

// Guards against faults of a settings file that are reported one by one
// instead of all at once.
func TestSettingsFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "control.toml")
	text := "ID = \"x\"\nHTTP = \"here\"\nLogFormat = \"XML\"\nColour = 1\nRootKeyFile = \"absent\"\n[[Replicas]]\nID = \"a\"\n[[Replicas]]\nID = \"a\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := control.LoadSettings(file)
	var fe *settingsfile.Error
	if !errors.As(err, &fe) {
		t.Fatalf("got %v, want settingsfile.Error", err)
	}
	for _, key := range []string{"Colour", "Data", "HTTP", "Control", "LogFormat", "RootKeyFile", "Replicas", "Replicas[1].ID", "Replicas[0].HTTP", "ID"} {
		found := false
		for _, f := range fe.Faults {
			found = found || f.Key == key
		}
		if !found {
			t.Errorf("got faults %v, want one for %s", fe.Faults, key)
		}
	}
}
