package gateway

import (
	"context"
	"net"
	"net/netip"
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

// deafListener ignores its first connections, as a VM without power does.
type deafListener struct {
	net.Listener
	deaf int
}

func (l *deafListener) Accept() (net.Conn, error) {
	for ; l.deaf > 0; l.deaf-- {
		if _, err := l.Listener.Accept(); err != nil {
			return nil, err
		}
	}
	return l.Listener.Accept()
}

// Guards against entry VMs that stay without a catalog at a hub that has lost its
// disk and was the first to start, although others have one.
func TestHubWithoutCatalog(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	now := time.Now()
	empty := publishOn(t, ctx, "127.0.0.1:0", nil)
	full := publishOn(t, ctx, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), empty.Port()).String(), &catalog.Catalog{Number: 7})
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: empty.Port(), Log: zap.NewNop(),
		Core:  steering.New("z0", nil),
		Apply: func(*mirror, time.Time) {},
	}
	f.setSeeds([]netip.AddrPort{empty})
	go f.run(ctx)
	for f.feeds.Load() == 0 && time.Since(now) < feed.SilenceLimit {
		time.Sleep(5 * time.Millisecond)
	}
	f.setSeeds([]netip.AddrPort{empty, full})
	for f.number() == 0 && time.Since(now) < 2*feed.SilenceLimit {
		time.Sleep(5 * time.Millisecond)
	}
	if got := f.number(); got != 7 {
		t.Errorf("after %v: got catalog %d, want 7", time.Since(now), got)
	}
}

// Guards against many entry VMs that open connection after connection to hubs which
// are slow since many ask them.
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
		Core: steering.New("z0", nil), Apply: func(*mirror, time.Time) {},
	}
	f.setSeeds(seeds)
	done := make(chan error, 1)
	go func() { done <- f.run(ctx) }()
	time.Sleep(feed.SilenceLimit / 2)
	if n := accepted.Load(); n > hubs/2 {
		t.Errorf("got %d connections to %d silent hubs, want at most %d", n, hubs, hubs/2)
	}
	cancel()
	<-done
}

// publishOn starts a hub's feed on an address, with a catalog that may be nil.
func publishOn(t *testing.T, ctx context.Context, address string, c *catalog.Catalog) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().(*net.TCPAddr).AddrPort()
	now := time.Now()
	board := feed.NewBoard(feed.Hub{VM: hub.IDOf(at), Zone: "z0"}, registry.New(time.Minute, now), now)
	if c != nil {
		board.SetCatalog(c)
	}
	p := &feed.Publisher{Board: board, Listener: l}
	go p.Run(ctx)
	return at
}

// Guards against entry VMs that wait for a hub that was down when they asked,
// although it has started since.
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
	board := feed.NewBoard(feed.Hub{VM: self, Zone: "z0"}, registry.New(time.Minute, now), now)
	board.SetHubs([]fleet.VMID{self}, true)
	p := &feed.Publisher{Board: board, Listener: &deafListener{l, 1}}
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	connected := make(chan struct{}, 1)
	f := &follower{
		Hello: feed.Hello{VM: "front-1", Zone: "z0", Role: feed.Entry}, Port: address.Port(), Log: zap.NewNop(),
		Core:  steering.New("z0", nil),
		Apply: func(*mirror, time.Time) {},
	}
	f.setSeeds([]netip.AddrPort{address})
	go f.run(ctx)
	go func() {
		for f.feeds.Load() == 0 && ctx.Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		connected <- struct{}{}
	}()
	select {
	case <-connected:
	case <-time.After(feed.SilenceLimit / 2):
		t.Errorf("no feed after %v, want one by a second attempt", feed.SilenceLimit/2)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
