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

// staticLease is the lease that Static gives: its view never changes hands, so
// that the lease never ends.
const staticLease = 100 * 365 * 24 * time.Hour

// retentionSlack is the time beyond a deadline for which late duplicates are
// expected (section 3, refusal retention time).
const retentionSlack = 2 * time.Second

type (
	// Update is a change of what membership says. View is frozen, or nil where
	// only the lease changes. Services holds the targets' credentials, or is
	// nil where they did not change.
	Update struct {
		View       *fleet.View
		LeaseUntil time.Time
		Services   map[fleet.ServiceID]announce.Credential
		// Probes says how targets are probed, or is nil where that did not
		// change.
		Probes map[fleet.ServiceID]probe.Endpoint

		// applied gets a value from each shard that has the update.
		applied chan struct{}
	}

	// Membership agrees with the other VMs of the zone on views and leases.
	Membership interface {
		// Run passes each change to apply until ctx ends. Once apply returns, no
		// decision is made in an earlier view any more, so that the view may be
		// acknowledged.
		Run(ctx context.Context, apply func(Update)) error
		// Report tells the zone the targets whose leases this VM keeps.
		Report(targets []fleet.Target)
		// Leave asks for a view without this VM; it does not wait.
		Leave()
	}

	// Static is a Membership from settings: the members are always those of
	// the settings, and targets that this VM hears of are known to this VM
	// only. A VM that restarts has lost its records of earlier decisions, so
	// that it gets its lease, without which it decides about no non-idempotent
	// request, only once callers no longer repeat what an earlier life decided.
	Static struct {
		Settings *Settings

		mu      sync.Mutex
		targets []fleet.Target
		changed chan struct{}
		once    sync.Once
	}
)

var _ Membership = (*Static)(nil)

// Run passes the view of the settings and one more after each report.
func (m *Static) Run(ctx context.Context, apply func(Update)) error {
	m.init()
	safe := time.NewTimer(m.quarantine())
	defer safe.Stop()
	var lease time.Time
	for {
		v, err := m.view()
		if err != nil {
			return fmt.Errorf("view from settings: %w", err)
		}
		apply(Update{View: v, LeaseUntil: lease})
		select {
		case <-ctx.Done():
			return nil
		case <-m.changed:
		case now := <-safe.C:
			lease = now.Add(staticLease)
		}
	}
}

// quarantine returns the time for which a request of an earlier life may still
// be repeated: the longest deadline of a non-idempotent kind and the slack of
// the refusal retention time.
func (m *Static) quarantine() time.Duration {
	var longest time.Duration
	for i := range m.Settings.Listeners {
		if k := &m.Settings.Listeners[i].Kind; !k.Idempotent {
			longest = max(longest, k.Deadline+retentionSlack)
		}
	}
	return longest
}

// Report replaces the targets that were announced to this VM.
func (m *Static) Report(targets []fleet.Target) {
	m.init()
	m.mu.Lock()
	m.targets = targets
	m.mu.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Leave does nothing, since the members never change.
func (m *Static) Leave() {}

func (m *Static) init() {
	m.once.Do(func() { m.changed = make(chan struct{}, 1) })
}

func (m *Static) view() (*fleet.View, error) {
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

// allTargets returns the targets of the settings and those announced; an
// announcement replaces the entry of the settings with its address.
func (m *Static) allTargets() []fleet.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Clone(m.targets)
	for _, t := range m.Settings.Targets {
		known := func(o fleet.Target) bool { return o.ID.Address == t.ID.Address }
		if !slices.ContainsFunc(out, known) {
			out = append(out, t)
		}
	}
	return out
}
