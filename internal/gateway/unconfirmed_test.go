package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	logobserver "go.uber.org/zap/zaptest/observer"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/hub"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

// restoredHub is a hub that has restored a catalog with one route and one target.
type restoredHub struct {
	*feed.Store
	address netip.AddrPort
	stop    func()
}

// restoreHub starts the feed of a hub whose process has run for uptime.
func restoreHub(t *testing.T, address string, number catalog.Number, uptime time.Duration) *restoredHub {
	t.Helper()
	started := time.Now().Add(-uptime)
	rec := mirrorRecord(5, 1, fleet.TargetReady, false)
	earlier := feed.NewStore(feed.Hub{VM: "earlier"}, registry.New(time.Minute, started), started)
	if _, err := earlier.Merge(rec, started); err != nil {
		t.Fatal(err)
	}
	earlier.SetCatalog(&catalog.Catalog{
		Number: number, Services: []catalog.Service{{ID: "s"}},
		Routes: []catalog.Route{{Address: longRoute, Objective: time.Second, Deadline: time.Second, Shares: []catalog.Share{{Service: "s", Weight: 1}}}},
	})
	saved, err := earlier.Encode(started)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	h := &restoredHub{address: l.Addr().(*net.TCPAddr).AddrPort()}
	h.Store = feed.NewStore(feed.Hub{VM: hub.IDOf(h.address), Zone: "z0"}, registry.New(time.Minute, started), started)
	if err := h.Restore(saved, started); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- (&feed.Publisher{Store: h.Store, Listener: l}).Run(ctx) }()
	h.stop = func() { cancel(); <-done; done <- nil }
	t.Cleanup(h.stop)
	return h
}

// setCurrent makes the hub current, or not.
func (h *restoredHub) setCurrent(current bool) {
	h.SetHubs([]fleet.VMID{hub.IDOf(h.address)}, current)
}

// startEntry starts a VM that follows the hubs, and returns it once it has state.
func startEntry(t *testing.T, hubs ...*restoredHub) (*Daemon, *logobserver.ObservedLogs) {
	t.Helper()
	core, logs := logobserver.New(zapcore.InfoLevel)
	d := &Daemon{core: steering.New("z0", rand.New(rand.NewPCG(1, 1))), Log: zap.New(core)}
	f := &d.follower
	f.Hello = feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}
	f.Port, f.Log, f.Core, f.Apply = hubs[0].address.Port(), d.Log, d.core, d.applyMirror
	d.follow(hubs...)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	d.eventually(t, "state", func() bool { return d.ready.Load() })
	return d, logs
}

// follow makes the hubs the seeds of the VM.
func (d *Daemon) follow(hubs ...*restoredHub) {
	var seeds []netip.AddrPort
	for _, h := range hubs {
		seeds = append(seeds, h.address)
	}
	d.follower.setSeeds(seeds)
}

func (d *Daemon) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(4 * feed.IdleTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after %v", what, 4*feed.IdleTimeout)
		}
	}
}

// accepts reports whether the VM sends an opening packet to a target after some time
// without an update.
func (d *Daemon) accepts(caller uint16, after time.Duration) bool {
	p := steering.Packet{Flow: steering.FlowKey{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), caller), Route: longRoute}, Opening: true}
	return d.core.Decide(&p, time.Now().Add(after)).Op == steering.Forward
}

// Guards against a VM that goes on with configuration, targets and zone orders which were
// saved before a loss of power, and which no majority has confirmed since: others may
// have been acknowledged meanwhile.
func TestRestoredStateIsBounded(t *testing.T) {
	for _, test := range []struct {
		name   string
		uptime time.Duration
		// before is set if the hub was current since its start, and current if it
		// becomes current.
		before, current bool
		// now and later are set if new flows are accepted now, and after a minute.
		now, later bool
	}{
		{name: "hub has just restarted", now: true},
		{name: "hub has run for long without a majority", uptime: time.Minute},
		{name: "hub was current before a cut", uptime: time.Minute, before: true, now: true, later: true},
		{name: "election ends in time", current: true, now: true, later: true},
		{name: "election ends late", uptime: time.Minute, current: true, now: true, later: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := restoreHub(t, "127.0.0.1:0", 7, test.uptime)
			if test.before {
				h.setCurrent(true)
				h.setCurrent(false)
			}
			d, _ := startEntry(t, h)
			if test.current {
				h.setCurrent(true)
				d.eventually(t, "confirmed", func() bool { return d.accepts(1, time.Minute) })
			}
			if got := d.accepts(2, 0); got != test.now {
				t.Errorf("accepts new flows: got %v, want %v", got, test.now)
			}
			if got := d.Ready(); got != test.now {
				t.Errorf("ready: got %v, want %v", got, test.now)
			}
			if got := d.accepts(3, time.Minute); got != test.later {
				t.Errorf("accepts new flows later: got %v, want %v", got, test.later)
			}
		})
	}
}

// Guards against a VM that stops in a cut although its state was confirmed before: regions
// lose each other for an hour now and then.
func TestConfirmedStateOutlastsCut(t *testing.T) {
	h := restoreHub(t, "127.0.0.1:0", 7, 0)
	h.setCurrent(true)
	d, _ := startEntry(t, h)
	d.eventually(t, "confirmed", func() bool { return d.accepts(1, time.Minute) })
	h.setCurrent(false)
	restarted := restoreHub(t, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), h.address.Port()).String(), 6, time.Minute)
	d.follow(restarted)
	feeds := d.follower.feedsStarted.Load()
	h.stop()
	if !d.accepts(2, time.Hour) || !d.Ready() {
		t.Error("without a hub: got no new flows, want them")
	}
	d.eventually(t, "other hub", func() bool { return d.follower.feedsStarted.Load() > feeds })
	if !d.accepts(3, time.Hour) || !d.Ready() {
		t.Error("at a hub that has restarted: got no new flows, want them")
	}
}

// Guards against a VM that stops in a cut although another hub of its region can confirm
// its state, and against one that obeys a restarted hub for longer by changing hubs.
func TestStateIsConfirmedByAnotherHub(t *testing.T) {
	h := restoreHub(t, "127.0.0.1:0", 7, time.Minute)
	at := func(host byte) string {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, host}), h.address.Port()).String()
	}
	d, _ := startEntry(t, h)
	restarted := restoreHub(t, at(2), 8, 0)
	d.follow(h, restarted)
	d.eventually(t, "hub with a newer catalog", func() bool { return d.follower.number() == 8 })
	if d.accepts(1, 0) {
		t.Error("at a hub that has just restarted: got new flows, want none until the state is confirmed")
	}
	cut := restoreHub(t, at(3), 7, time.Minute)
	cut.setCurrent(true)
	cut.setCurrent(false)
	d.follow(h, restarted, cut)
	d.eventually(t, "confirmed", func() bool { return d.accepts(2, time.Minute) && d.Ready() })
}

// Guards against a VM that refuses new flows without a log line that says why.
func TestUnconfirmedStateIsLogged(t *testing.T) {
	h := restoreHub(t, "127.0.0.1:0", 7, time.Minute)
	d, logs := startEntry(t, h)
	d.logConfirmation(time.Now())
	d.logConfirmation(time.Now())
	refused := logs.FilterMessage("state not confirmed by a majority of hubs, new flows refused").All()
	if len(refused) != 1 || refused[0].ContextMap()["Age"].(time.Duration) < time.Minute || d.follower.unconfirmedAge(time.Now()) < time.Minute {
		t.Errorf("got lines %+v and age %v, want one line and an age above a minute", refused, d.follower.unconfirmedAge(time.Now()))
	}
	h.setCurrent(true)
	d.eventually(t, "confirmed", func() bool { return d.Ready() })
	d.logConfirmation(time.Now())
	if n := logs.FilterMessage("state confirmed by a majority of hubs, new flows accepted").Len(); n != 1 || d.follower.unconfirmedAge(time.Now()) != 0 {
		t.Errorf("got %d lines and age %v, want 1 and 0", n, d.follower.unconfirmedAge(time.Now()))
	}
}
