package hub

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// peersInterval is the time between two looks at the list of hubs.
	peersInterval = 200 * time.Millisecond
	// resubscribeDelay is the pause before the feed of another hub is tried
	// again.
	resubscribeDelay = 200 * time.Millisecond
)

// followHubs follows the feeds of all other hubs, so that every hub learns what
// targets have told one of them.
func (d *Daemon) followHubs(ctx context.Context) error {
	running := make(map[fleet.VMID]context.CancelFunc)
	defer func() {
		for _, cancel := range running {
			cancel()
		}
	}()
	tick := time.NewTicker(peersInterval)
	defer tick.Stop()
	for {
		wanted := d.others()
		for id := range wanted {
			if running[id] == nil {
				peer, cancel := context.WithCancel(ctx)
				running[id] = cancel
				go d.followHub(peer, id)
			}
		}
		for id, cancel := range running {
			if !wanted[id] {
				cancel()
				delete(running, id)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// others returns the hubs besides this one that the log or the seeds name.
func (d *Daemon) others() map[fleet.VMID]bool {
	ids := make(map[fleet.VMID]bool)
	for _, id := range d.board.Controls() {
		ids[id] = true
	}
	for _, seed := range d.currentSeeds() {
		ids[IDOf(seed)] = true
	}
	delete(ids, d.Settings.ID())
	return ids
}

func (d *Daemon) followHub(ctx context.Context, id fleet.VMID) {
	hello := &feed.Hello{VM: d.Settings.ID(), Zone: d.Settings.Zone, Role: feed.Control}
	connected := false
	for ctx.Err() == nil {
		err := feed.Subscribe(ctx, AddressOf(id, d.Settings.Feed), hello, func(u *feed.Update) (feed.Ack, error) {
			if !connected {
				connected = true
				d.Log.Info("feed of a hub connected", zap.String("Hub", string(id)))
			}
			return feed.Ack{Version: u.Version}, d.board.Take(u, time.Now())
		})
		if connected {
			connected = false
			d.Log.Warn("feed of a hub lost", zap.String("Hub", string(id)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeDelay):
		}
	}
}
