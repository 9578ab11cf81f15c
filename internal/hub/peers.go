package hub

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// peersInterval is the time between two checks of the list of hubs.
	peersInterval = 200 * time.Millisecond
	// resubscribeDelay is the delay before the feed of another hub is opened
	// again after it has failed.
	resubscribeDelay = 200 * time.Millisecond
)

// followHubs subscribes to the feeds of all other hubs, so that every hub receives
// the announcements that targets have sent to any hub.
func (d *Daemon) followHubs(ctx context.Context) error {
	type follower struct {
		cancel context.CancelFunc
		done   chan struct{}
	}
	running := make(map[fleet.VMID]*follower)
	defer func() {
		for _, f := range running {
			f.cancel()
		}
	}()
	tick := time.NewTicker(peersInterval)
	defer tick.Stop()
	for {
		wanted := d.peers()
		for id, f := range running {
			if !wanted[id] {
				f.cancel()
			}
			// A follower that ends removes what its hub has reported, and must not do so
			// for the next one.
			select {
			case <-f.done:
				delete(running, id)
			default:
			}
		}
		for id := range wanted {
			if running[id] == nil {
				peerCtx, cancel := context.WithCancel(ctx)
				f := &follower{cancel, make(chan struct{})}
				running[id] = f
				go func() {
					defer close(f.done)
					d.followHub(peerCtx, id)
				}()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// peers returns the other hubs that are members of the log or seeds.
func (d *Daemon) peers() map[fleet.VMID]bool {
	ids := make(map[fleet.VMID]bool)
	for _, h := range d.store.Hubs() {
		ids[h.VM] = true
	}
	for _, seed := range d.currentSeeds() {
		ids[IDOf(seed)] = true
	}
	delete(ids, d.Settings.ID())
	return ids
}

func (d *Daemon) followHub(ctx context.Context, id fleet.VMID) {
	hello := &feed.Hello{VM: d.Settings.ID(), Zone: d.Settings.Zone, Role: feed.Control}
	for ctx.Err() == nil {
		sub, err := feed.Open(ctx, AddressOf(id, d.Settings.Feed), hello, feed.IdleTimeout)
		if err == nil {
			d.Log.Info("feed of a hub connected", zap.String("Hub", string(id)))
			err = d.mergeFeed(id, sub)
			sub.Close()
			d.store.RemoveHub(id)
			d.Log.Warn("feed of a hub lost", zap.String("Hub", string(id)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeDelay):
		}
	}
}

// mergeFeed merges the updates from the feed of a hub until that feed fails.
func (d *Daemon) mergeFeed(from fleet.VMID, sub *feed.Subscription) error {
	var sentSources []fleet.VMID
	for {
		u, err := sub.Next()
		if err != nil {
			return err
		}
		if u.Dropped > 0 {
			d.Log.Warn("invalid records of another hub left out", zap.String("Hub", string(from)), zap.Int("Records", u.Dropped))
		}
		if err := d.store.ApplyUpdate(from, u, time.Now()); err != nil {
			return err
		}
		ack := feed.Ack{Version: u.Version}
		if sources := d.store.Sources(); !slices.Equal(sources, sentSources) {
			ack.Sources, sentSources = sources, sources
		}
		if err := sub.Acknowledge(ack); err != nil {
			return err
		}
	}
}
