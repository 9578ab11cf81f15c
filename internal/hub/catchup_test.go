package hub

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// Guards against calls of targets that have waited while this hub was suspended: a call to
// leave would count for the process that has started since. Also guards against a hub that
// goes on to refuse calls.
func TestCallsAfterSuspension(t *testing.T) {
	const suspension = 3 * time.Second
	started := time.Now().Add(-suspension) // the last time at which the hub ran
	d := &Daemon{Settings: &Settings{}, store: feed.NewStore(feed.Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, started), started)}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	rec := registry.Record{Target: fleet.Target{
		ID: fleet.TargetID{Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1}, Zone: "z0", Slots: 1, ConnectionLimit: 1, State: fleet.TargetReady,
	}, Born: 1, Sequence: 1}
	refused := func(err error) bool {
		var e catchingUpError
		return errors.As(err, &e)
	}
	if _, err := d.Announce(ctx, rec); !refused(err) {
		t.Errorf("announcement just after the suspension: got %v, want a catchingUpError", err)
	}
	if err := d.Leave(ctx, registry.Leave{Target: 1}); !refused(err) {
		t.Errorf("leave just after the suspension: got %v, want a catchingUpError", err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		d.store.Tick(time.Now())
		if _, err := d.Announce(ctx, rec); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatalf("announcement 5 s after the suspension: got %v", err)
		}
	}
}
