package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/probe"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// staticLeaseTime is the duration of the lease that StaticMembership grants.
// The members of a static view never change, so the lease need not expire.
const staticLeaseTime = 100 * 365 * 24 * time.Hour

// retentionSlack is the time after a request's deadline during which late
// duplicates of the request may still arrive (docs/design.md, section 3,
// refusal retention time).
const retentionSlack = 2 * time.Second

type (
	// Update is a change of the view, the lease or the settings. View is frozen,
	// or nil if the view did not change. LeaseUntil is the end of the lease, or
	// the zero time without a lease. Services holds the credential digests of the
	// services, or is nil if the digests did not change.
	Update struct {
		View       *fleet.View
		LeaseUntil time.Time
		Services   map[fleet.ServiceID]announce.Credential
		// Probes holds the probe endpoints of the services, or is nil if the
		// endpoints did not change.
		Probes map[fleet.ServiceID]probe.Endpoint

		// applied receives one value from each shard that has applied the update.
		applied chan struct{}
	}

	// Membership agrees with the other VMs of the zone on views and leases.
	Membership interface {
		// Run passes each change to apply until ctx is done. After apply has
		// returned, no decision is made in an earlier view, so the view may be
		// acknowledged.
		Run(ctx context.Context, apply func(Update)) error
		// Report sets the targets whose announcement leases this VM keeps.
		Report(targets []fleet.Target)
		// Leave requests a view without this VM; it does not wait for the view.
		Leave()
	}

	// StaticMembership is a Membership with the fixed members of the settings.
	// Targets that are announced to this VM are known only to this VM. A VM
	// needs the lease to decide about non-idempotent requests. A restarted VM has
	// lost its records of earlier decisions, so it gets the lease only when
	// callers no longer retry requests from before the restart.
	StaticMembership struct {
		Settings *Settings

		mu      sync.Mutex
		targets []fleet.Target
		changed chan struct{}
		once    sync.Once
	}
)

var _ Membership = (*StaticMembership)(nil)

// Run applies the view from the settings, and a new view after each report and
// when the lease starts.
func (m *StaticMembership) Run(ctx context.Context, apply func(Update)) error {
	m.init()
	leaseTimer := time.NewTimer(m.leaseDelay())
	defer leaseTimer.Stop()
	var leaseUntil time.Time
	for {
		v, err := m.view()
		if err != nil {
			return fmt.Errorf("build view from settings: %w", err)
		}
		apply(Update{View: v, LeaseUntil: leaseUntil})
		select {
		case <-ctx.Done():
			return nil
		case <-m.changed:
		case now := <-leaseTimer.C:
			leaseUntil = now.Add(staticLeaseTime)
		}
	}
}

// leaseDelay returns the time during which callers may still retry a request
// from before a restart: the longest among the deadlines of all non-idempotent
// kinds, plus retentionSlack. It returns 0 if all kinds are idempotent.
func (m *StaticMembership) leaseDelay() time.Duration {
	var longest time.Duration
	for i := range m.Settings.Listeners {
		if k := &m.Settings.Listeners[i].Kind; !k.Idempotent {
			longest = max(longest, k.Deadline+retentionSlack)
		}
	}
	return longest
}

// Report replaces the targets that were announced to this VM.
func (m *StaticMembership) Report(targets []fleet.Target) {
	m.init()
	m.mu.Lock()
	m.targets = targets
	m.mu.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Leave does nothing, because the members never change.
func (m *StaticMembership) Leave() {}

func (m *StaticMembership) init() {
	m.once.Do(func() { m.changed = make(chan struct{}, 1) })
}

func (m *StaticMembership) view() (*fleet.View, error) {
	s := m.Settings
	v := &fleet.View{
		Zone:      s.Zone,
		Self:      s.ID,
		Epoch:     1,
		Sealed:    true,
		Zones:     slices.Clone(s.Zones),
		Listeners: slices.Clone(s.Listeners),
		Targets:   m.allTargets(),
	}
	for _, z := range s.Zones {
		if z.ID == s.Zone {
			v.Members = slices.Clone(z.Members)
		}
	}
	return v, v.Freeze()
}

// allTargets returns the targets of the settings and the announced targets. An
// announced target replaces a target of the settings that has the same address.
func (m *StaticMembership) allTargets() []fleet.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.targets)
	for _, t := range m.Settings.Targets {
		sameAddress := func(o fleet.Target) bool { return o.ID.Address == t.ID.Address }
		if !slices.ContainsFunc(out, sameAddress) {
			out = append(out, t)
		}
	}
	return out
}
