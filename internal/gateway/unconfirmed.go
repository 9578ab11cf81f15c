package gateway

import (
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/catalog"
)

// unconfirmedLimit is the time after the start of a hub for which an entry VM accepts new
// flows by state that the hub has restored and no majority has confirmed. It bridges an
// election, which takes 1 to 2 s, and is shorter than the 4 s after which the users'
// platform expects that machines obey what was acknowledged.
const unconfirmedLimit = 3 * time.Second

// confirmation tells whether the state of an entry VM was confirmed by a majority of the
// hubs: a hub that this VM has followed was current since the start of its process, or
// such a hub has no newer state. It stays confirmed while hubs lose their majority, and
// when this VM follows a hub that has restarted, because catalog and zones never go back.
type confirmation struct {
	confirmed bool
	// since is the earliest start of the hubs that this VM has followed, if the state is
	// not confirmed.
	since time.Time
}

// update changes the confirmation after an update of a hub.
func (c *confirmation) update(s *hubFeed, u *feed.Update) {
	switch {
	case c.confirmed:
	case u.Current || s.unconfirmedSince.IsZero():
		*c = confirmation{confirmed: true}
	case c.since.IsZero() || s.unconfirmedSince.Before(c.since):
		c.since = s.unconfirmedSince
	}
}

// greet changes the confirmation after a greeting of a hub that this VM does not follow.
// number and revision are those of this VM's catalog and zones.
func (c *confirmation) greet(g *feed.Greeting, number catalog.Number, revision catalog.ZoneRevision) {
	if g.UnconfirmedFor <= 0 && g.Number > 0 && g.Number <= number && g.ZoneRevision <= revision {
		*c = confirmation{confirmed: true}
	}
}

// refuseFrom returns the time from which new flows are refused, or the zero time.
func (c *confirmation) refuseFrom() time.Time {
	if c.since.IsZero() {
		return time.Time{}
	}
	return c.since.Add(unconfirmedLimit)
}

// updateConfirmation changes the confirmation before an update of a hub is applied.
func (f *follower) updateConfirmation(s *hubFeed, u *feed.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmation.update(s, u)
	f.Core.RefuseFrom(f.confirmation.refuseFrom())
}

// greeted changes the confirmation after a greeting of a hub.
func (f *follower) greeted(g *feed.Greeting) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmation.greet(g, f.mirror.number(), f.mirror.zones.Revision)
	f.Core.RefuseFrom(f.confirmation.refuseFrom())
}

// unconfirmedAge returns the time since the start of the hub that has restored this VM's
// state, or 0 if the state is confirmed or there is none.
func (f *follower) unconfirmedAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmation.since.IsZero() {
		return 0
	}
	return now.Sub(f.confirmation.since)
}

// logConfirmation logs when new flows begin to be refused because the state is not
// confirmed, and when they are accepted again.
func (d *Daemon) logConfirmation(now time.Time) {
	refuses := d.core.Refuses(now)
	if refuses == d.refusing {
		return
	}
	d.refusing = refuses
	if !refuses {
		d.Log.Info("state confirmed by a majority of hubs, new flows accepted")
		return
	}
	d.Log.Warn("state not confirmed by a majority of hubs, new flows refused",
		zap.Duration("Age", d.follower.unconfirmedAge(now)), zap.Uint64("Number", uint64(d.follower.number())),
		zap.Uint64("Revision", uint64(d.follower.zoneRevision())))
}
