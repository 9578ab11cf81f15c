package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/hub"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// retryDelay is the pause after a failed attempt to follow a hub.
	retryDelay = 50 * time.Millisecond
	// staleLimit is the time for which a feed is kept although its hub has no
	// contact with a majority: an election may be going on.
	staleLimit = time.Second
	// searchPause is the time for which a stale feed is kept before another
	// search, where no hub is known to be current.
	searchPause = 3 * time.Second
)

// follower keeps the mirror up to date from one hub at a time.
type follower struct {
	hello feed.Hello
	port  uint16
	log   *zap.Logger
	// apply takes a changed mirror.
	apply func(m *mirror, now time.Time)

	mu     sync.Mutex
	seeds  []fleet.VMID
	hubs   []fleet.VMID
	mirror mirror
	// failed holds the time of the last failure of a hub, and stale the time at
	// which it was last without a majority.
	failed map[fleet.VMID]time.Time
	stale  map[fleet.VMID]time.Time
}

// staleError ends the feed of a hub that has lost the majority.
type staleError struct{ hub fleet.VMID }

// Error names the hub.
func (e *staleError) Error() string { return "hub " + string(e.hub) + " is without a majority" }

// setSeeds replaces the addresses from the settings.
func (f *follower) setSeeds(seeds []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = f.seeds[:0:0]
	for _, s := range seeds {
		f.seeds = append(f.seeds, hub.IDOf(s))
	}
}

// run follows hubs until ctx ends.
func (f *follower) run(ctx context.Context) error {
	f.failed, f.stale = make(map[fleet.VMID]time.Time), make(map[fleet.VMID]time.Time)
	for ctx.Err() == nil {
		id := f.pick()
		err := f.follow(ctx, id)
		if ctx.Err() != nil {
			return nil
		}
		f.log.Warn("feed lost", zap.String("Hub", string(id)), zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

// pick returns the hub to follow next: one that has neither failed nor been
// without a majority, else the one for which that is longest ago. Known hubs
// come in the order of their distance, seeds last.
func (f *follower) pick() fleet.VMID {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := slices.Clone(f.hubs)
	for _, s := range f.seeds {
		if !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	var best fleet.VMID
	var bestAt time.Time
	for _, id := range candidates {
		at := f.failed[id]
		if s := f.stale[id]; s.After(at) {
			at = s
		}
		if best == "" || at.Before(bestAt) {
			best, bestAt = id, at
		}
	}
	return best
}

func (f *follower) follow(ctx context.Context, id fleet.VMID) error {
	hello := f.hello
	hello.Number = f.mirror.number()
	var staleSince time.Time
	first := true
	err := feed.Subscribe(ctx, hub.AddressOf(id, f.port), &hello, func(u *feed.Update) (feed.Ack, error) {
		now := time.Now()
		if first {
			first = false
			f.log.Info("feed connected", zap.String("Hub", string(id)), zap.Bool("Current", u.Current),
				zap.Bool("Complete", u.Complete), zap.Int("Targets", len(u.Records)))
		}
		f.take(u, now)
		switch {
		case u.Current:
			staleSince = time.Time{}
		case staleSince.IsZero():
			staleSince = now
		case now.Sub(staleSince) > f.patience(id, now):
			f.mu.Lock()
			f.stale[id] = now
			f.mu.Unlock()
			return feed.Ack{}, &staleError{id}
		}
		return feed.Ack{Version: u.Version, Number: f.mirror.number()}, nil
	})
	f.mu.Lock()
	f.failed[id] = time.Now()
	f.mu.Unlock()
	return err
}

// patience returns how long a stale feed is kept.
func (f *follower) patience(id fleet.VMID, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hubs {
		if h != id && now.Sub(f.stale[h]) > searchPause && now.Sub(f.failed[h]) > searchPause {
			return staleLimit
		}
	}
	return searchPause
}

func (f *follower) take(u *feed.Update, now time.Time) {
	if len(u.Controls) > 0 {
		f.mu.Lock()
		f.hubs = u.Controls
		f.mu.Unlock()
	}
	if f.mirror.take(u, now) {
		f.apply(&f.mirror, now)
	}
}
