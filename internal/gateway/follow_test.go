package gateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/hub"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

// unresponsiveListener accepts the first toIgnore connections but does not
// return them. Therefore, the clients of these connections get no greeting.
type unresponsiveListener struct {
	net.Listener
	toIgnore int
}

func (l *unresponsiveListener) Accept() (net.Conn, error) {
	for ; l.toIgnore > 0; l.toIgnore-- {
		if _, err := l.Listener.Accept(); err != nil {
			return nil, err
		}
	}
	return l.Listener.Accept()
}

// Guards against entry VMs that keep following a hub without a catalog although
// other hubs have one. This happens if a hub that has lost its disk starts first.
func TestHubWithoutCatalog(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	now := time.Now()
	empty := publishOn(t, ctx, "127.0.0.1:0", nil)
	full := publishOn(t, ctx, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), empty.Port()).String(), &catalog.Catalog{Number: 7})
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: empty.Port(), Log: zap.NewNop(),
		Core:  steering.New("z0", nil),
		Apply: func(*mirror, *mirrorChange, time.Time) {},
	}
	f.setSeeds([]netip.AddrPort{empty})
	go f.run(ctx)
	for f.feedsStarted.Load() == 0 && time.Since(now) < feed.IdleTimeout {
		time.Sleep(5 * time.Millisecond)
	}
	f.setSeeds([]netip.AddrPort{empty, full})
	for f.number() == 0 && time.Since(now) < 2*feed.IdleTimeout {
		time.Sleep(5 * time.Millisecond)
	}
	if got := f.number(); got != 7 {
		t.Errorf("after %v: got catalog %d, want 7", time.Since(now), got)
	}
}

// Guards against entry VMs that open more and more connections to hubs that do
// not respond because they are overloaded.
func TestFewAttempts(t *testing.T) {
	const hubs = 8
	var accepted atomic.Int64
	var seeds []netip.AddrPort
	port := uint16(0)
	for i := range hubs {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), port)
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		at := l.Addr().(*net.TCPAddr).AddrPort()
		port, seeds = at.Port(), append(seeds, at)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				accepted.Add(1)
			}
		}()
	}
	ctx, cancel := context.WithCancel(t.Context())
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: port, Log: zap.NewNop(),
		Core: steering.New("z0", nil), Apply: func(*mirror, *mirrorChange, time.Time) {},
	}
	f.setSeeds(seeds)
	done := make(chan error, 1)
	go func() { done <- f.run(ctx) }()
	time.Sleep(feed.IdleTimeout / 2)
	if n := accepted.Load(); n > hubs/2 {
		t.Errorf("got %d connections to %d unresponsive hubs, want at most %d", n, hubs, hubs/2)
	}
	cancel()
	<-done
}

// Guards against entry VMs that never get a feed from an overloaded hub: each would
// give up before its turn and connect again, which adds to the load.
func TestSlowHubIsWaitedFor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const greetingDelay = 3 * feed.IdleTimeout / 2
	now := time.Now()
	address := l.Addr().(*net.TCPAddr).AddrPort()
	store := feed.NewStore(feed.Hub{VM: hub.IDOf(address), Zone: "z0"}, registry.New(time.Minute, now), now)
	store.SetCatalog(&catalog.Catalog{Number: 7})
	ctx, cancel := context.WithCancel(t.Context())
	slow := &slowListener{Listener: l, delay: greetingDelay}
	p := &feed.Publisher{Store: store, Listener: slow}
	done := make(chan error, 2)
	go func() { done <- p.Run(ctx) }()
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: address.Port(), Log: zap.NewNop(),
		Core: steering.New("z0", nil), Apply: func(*mirror, *mirrorChange, time.Time) {},
	}
	f.setSeeds([]netip.AddrPort{address})
	go func() { done <- f.run(ctx) }()
	for f.number() == 0 && time.Since(now) < 4*greetingDelay {
		time.Sleep(5 * time.Millisecond)
	}
	if got := f.number(); got != 7 {
		t.Errorf("after %v: got catalog %d, want 7", time.Since(now), got)
	}
	// One attempt of each round gives up; the next one waits longer.
	if n := slow.accepted.Load(); n > searchRounds+1 {
		t.Errorf("got %d connections to the slow hub, want at most %d", n, searchRounds+1)
	}
	cancel()
	<-done
	<-done
}

// slowListener returns connections whose first read takes at least delay.
type slowListener struct {
	net.Listener
	delay    time.Duration
	accepted atomic.Int64
}

type slowConn struct {
	net.Conn
	once  sync.Once
	delay time.Duration
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &slowConn{Conn: conn, delay: l.delay}, nil
}

func (c *slowConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// publishOn starts the feed of a hub on an address, with a catalog that may be nil.
// It returns the address with the port in use.
func publishOn(t *testing.T, ctx context.Context, address string, c *catalog.Catalog) netip.AddrPort {
	t.Helper()
	at, _ := publishStore(t, ctx, address, c)
	return at
}

// publishStore is publishOn, and also returns the store of the hub.
func publishStore(t *testing.T, ctx context.Context, address string, c *catalog.Catalog) (netip.AddrPort, *feed.Store) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().(*net.TCPAddr).AddrPort()
	now := time.Now()
	store := feed.NewStore(feed.Hub{VM: hub.IDOf(at), Zone: "z0"}, registry.New(time.Minute, now), now)
	if c != nil {
		store.SetCatalog(c)
	}
	p := &feed.Publisher{Store: store, Listener: l}
	go p.Run(ctx)
	return at, store
}

// Guards against entry VMs that keep waiting for a response from a hub that was
// down at the first attempt, although the hub has started since.
func TestHubStartsLater(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	now := time.Now()
	address := l.Addr().(*net.TCPAddr).AddrPort()
	self := hub.IDOf(address)
	store := feed.NewStore(feed.Hub{VM: self, Zone: "z0"}, registry.New(time.Minute, now), now)
	store.SetHubs([]fleet.VMID{self}, true)
	p := &feed.Publisher{Store: store, Listener: &unresponsiveListener{l, 1}}
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	connected := make(chan struct{}, 1)
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: address.Port(), Log: zap.NewNop(),
		Core:  steering.New("z0", nil),
		Apply: func(*mirror, *mirrorChange, time.Time) {},
	}
	f.setSeeds([]netip.AddrPort{address})
	go f.run(ctx)
	go func() {
		for f.feedsStarted.Load() == 0 && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		connected <- struct{}{}
	}()
	select {
	case <-connected:
	case <-time.After(feed.IdleTimeout / 2):
		t.Errorf("no feed after %v, want one from a second attempt", feed.IdleTimeout/2)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a VM that stays without a feed, and with an earlier catalog, although
// a hub has answered: other hubs were silent before and are not to be called yet.
func TestUsableHubIsTakenAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	now := time.Now()
	usable := publishOn(t, ctx, "127.0.0.1:0", &catalog.Catalog{Number: 7})
	silent := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), usable.Port())
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: usable.Port(), Log: zap.NewNop(),
		Core: steering.New("z0", nil), Apply: func(*mirror, *mirrorChange, time.Time) {},
	}
	f.beginGreeting(hub.IDOf(silent), now)
	f.unanswered[hub.IDOf(silent)].next = now.Add(8 * feed.IdleTimeout)
	s := f.search(ctx, []fleet.VMID{hub.IDOf(silent), hub.IDOf(usable)}, 1)
	if d := time.Since(now); s == nil || s.hub != hub.IDOf(usable) || d > feed.IdleTimeout/2 {
		t.Errorf("after %v: got %+v, want the hub that answers within %v", d, s, feed.IdleTimeout/2)
	}
	s.close()
	now = time.Now()
	if s := f.search(ctx, []fleet.VMID{hub.IDOf(silent)}, 3); s != nil || time.Since(now) > feed.IdleTimeout/2 {
		t.Errorf("search without a hub that may be called: got %+v after %v, want none at once", s, time.Since(now))
	}
}

// Guards against entry VMs that follow a hub with older zone orders although another
// hub has the newer ones, and against hubs that don't learn which orders an entry VM
// has applied.
func TestHubWithOlderZones(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	now := time.Now()
	behind, behindStore := publishStore(t, ctx, "127.0.0.1:0", &catalog.Catalog{Number: 7})
	behindStore.SetHubs([]fleet.VMID{hub.IDOf(behind)}, true)
	ahead, store := publishStore(t, ctx, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), behind.Port()).String(), &catalog.Catalog{Number: 7})
	store.SetZones(catalog.Zones{Revision: 3, Evacuated: []fleet.ZoneID{"z1"}})
	d := &Daemon{core: steering.New("z0", nil), Log: zap.NewNop()}
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: behind.Port(), Log: zap.NewNop(),
		Core: d.core, Apply: d.applyMirror,
	}
	f.mirror.zones.Revision = 2
	s := f.search(ctx, []fleet.VMID{hub.IDOf(behind), hub.IDOf(ahead)}, 1)
	if s == nil || s.hub != hub.IDOf(ahead) {
		t.Fatalf("got %+v, want the hub with the newer zone orders", s)
	}
	go f.follow(ctx, s)
	for time.Since(now) < 4*feed.IdleTimeout {
		if vms := store.EntryVMs(); len(vms) == 1 && vms[0].Revision == 3 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	want := []feed.EntryVM{{VM: "front-1", Zone: "z0", Revision: 3}}
	if got := store.EntryVMs(); !slices.Equal(got, want) {
		t.Errorf("entry VMs of the hub: got %+v, want %+v", got, want)
	}
	if revision, evacuated := f.Core.Zones(); revision != 3 || evacuated != 1 {
		t.Errorf("zones of the core: got revision %d with %d evacuated, want 3 with 1", revision, evacuated)
	}
}

// Guards against a VM that starts while no hub has a majority and obeys an older catalog
// or older zone orders although it could learn of newer ones, and against one that goes
// back to an older catalog when the hub with the newest one is gone.
func TestNewestHubWithoutMajority(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	older, _ := publishStore(t, ctx, "127.0.0.1:0", &catalog.Catalog{Number: 7})
	at := func(host byte) string {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, host}), older.Port()).String()
	}
	newestCtx, stopNewest := context.WithCancel(ctx)
	newest, _ := publishStore(t, newestCtx, at(2), &catalog.Catalog{Number: 9})
	between, _ := publishStore(t, ctx, at(3), &catalog.Catalog{Number: 8})
	ids := []fleet.VMID{hub.IDOf(older), hub.IDOf(newest), hub.IDOf(between)}
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: older.Port(), Log: zap.NewNop(),
		Core: steering.New("z0", nil), Apply: func(*mirror, *mirrorChange, time.Time) {},
	}
	for i := range ids {
		s := f.search(ctx, append(ids[i:len(ids):len(ids)], ids[:i]...), 1)
		if s == nil || s.hub != hub.IDOf(newest) {
			t.Errorf("search that begins at hub %d: got %+v, want the hub with the newest catalog", i, s)
		}
		s.close()
	}
	// The VM knows only one hub when it starts.
	f.setSeeds([]netip.AddrPort{older})
	go f.run(ctx)
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(4 * feed.IdleTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: got catalog %d and zones %d", what, f.number(), f.zoneRevision())
			}
		}
	}
	waitFor("start", func() bool { return f.number() == 7 })
	f.setSeeds([]netip.AddrPort{older, between, newest})
	waitFor("hub with a newer catalog", func() bool { return f.number() == 9 })
	zones, store := publishStore(t, newestCtx, at(4), &catalog.Catalog{Number: 6})
	store.SetZones(catalog.Zones{Revision: 3})
	f.setSeeds([]netip.AddrPort{older, zones, newest})
	waitFor("hub with newer zone orders", func() bool { return f.zoneRevision() == 3 })
	f.setSeeds([]netip.AddrPort{older})
	started := f.feedsStarted.Load()
	stopNewest()
	waitFor("older hub", func() bool { return f.feedsStarted.Load() > started })
	time.Sleep(feed.IdleTimeout / 2)
	if f.number() != 9 || f.zoneRevision() != 3 {
		t.Errorf("at an older hub: got catalog %d and zones %d, want 9 and 3", f.number(), f.zoneRevision())
	}
}
