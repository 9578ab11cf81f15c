package gateway

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/hub"
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
