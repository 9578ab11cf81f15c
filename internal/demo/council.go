package demo

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// detectTime is the time until the zone notices a crash, and sealTime the
	// time until the lease of the crashed VM has certainly ended (1.5 s with
	// the 10 % margin of section 5, counted from its last renewal).
	detectTime = time.Second
	sealTime   = 1650 * time.Millisecond
	// spreadTime bounds the delay with which a view reaches each VM.
	spreadTime = 80 * time.Millisecond
	// settleTime is the pause in which changes are batched into one epoch.
	settleTime = 200 * time.Millisecond
)

type (
	// council stands in for the agreement on views: one object decides for all
	// zones, and each VM hears of a view after its own delay.
	council struct {
		listeners []fleet.Listener
		services  []fleet.ServiceID

		mu     sync.Mutex
		random *rand.Rand
		zones  []*councilZone
	}

	councilZone struct {
		id       fleet.ZoneID
		epoch    fleet.Epoch
		sealed   bool
		sealedAt time.Time
		// members are in the view; vms also has those that left.
		members []fleet.VM
		vms     []*member
		targets []fleet.Target
		// reporter is the VM that last reported a target.
		reporter map[fleet.TargetID]fleet.VMID
		dirty    bool
		// unsealedUntil is the time before which a lost VM may hold a lease.
		unsealedUntil time.Time
	}

	// member is the Membership of one VM.
	member struct {
		council *council
		zone    *councilZone
		vm      fleet.VM
		updates chan entry.Update
	}
)

var _ entry.Membership = (*member)(nil)

func newCouncil(seed uint64, listeners []fleet.Listener, services []fleet.ServiceID) *council {
	return &council{listeners: listeners, services: services, random: rand.New(rand.NewPCG(seed, 2))}
}

// join adds a VM before the council runs.
func (c *council) join(id fleet.ZoneID, vm fleet.VM) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.zones, func(z *councilZone) bool { return z.id == id })
	if i < 0 {
		i = len(c.zones)
		c.zones = append(c.zones, &councilZone{id: id, dirty: true, reporter: make(map[fleet.TargetID]fleet.VMID)})
	}
	z := c.zones[i]
	m := &member{council: c, zone: z, vm: vm, updates: make(chan entry.Update, 64)}
	z.members = append(z.members, vm)
	z.vms = append(z.vms, m)
	return m
}

// run makes new views until ctx ends.
func (c *council) run(ctx context.Context) error {
	tick := time.NewTicker(settleTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			c.step(ctx, now)
		}
	}
}

func (c *council) step(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range c.zones {
		if z.dirty {
			z.dirty = false
			z.epoch++
			z.sealed = false
			z.sealedAt = now.Add(2 * spreadTime)
			if z.sealedAt.Before(z.unsealedUntil) {
				z.sealedAt = z.unsealedUntil
			}
			c.publish(ctx, z)
		}
		if !z.sealed && !now.Before(z.sealedAt) {
			z.sealed = true
			c.publish(ctx, z)
		}
	}
}

// publish sends the view of a zone to its VMs. The zone's own members are part
// of what the other zones see, which hear of them with their next view.
func (c *council) publish(ctx context.Context, z *councilZone) {
	for _, m := range z.vms {
		v := c.view(z, m.vm.ID)
		delay := time.Duration(c.random.Int64N(int64(spreadTime)))
		time.AfterFunc(delay, func() {
			select {
			case m.updates <- entry.Update{View: v, LeaseUntil: time.Now().Add(time.Hour)}:
			case <-ctx.Done():
			default:
			}
		})
	}
}

func (c *council) view(z *councilZone, self fleet.VMID) *fleet.View {
	v := &fleet.View{
		Zone: z.id, Self: self, Epoch: z.epoch, Sealed: z.sealed,
		Members:   slices.Clone(z.members),
		Targets:   slices.Clone(z.targets),
		Listeners: slices.Clone(c.listeners),
	}
	for _, other := range c.zones {
		v.Zones = append(v.Zones, fleet.Zone{
			ID: other.id, Weight: 1, State: fleet.In, Reachable: true,
			Members: slices.Clone(other.members), Services: c.services,
		})
	}
	if err := v.Freeze(); err != nil {
		panic(err) // the demo's own settings are wrong
	}
	return v
}

// remove takes a VM out of its zone's view; the other zones hear of it too.
func (c *council) remove(id fleet.VMID, lost bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range c.zones {
		n := len(z.members)
		z.members = slices.DeleteFunc(z.members, func(vm fleet.VM) bool { return vm.ID == id })
		if len(z.members) == n {
			continue
		}
		if lost {
			z.unsealedUntil = now.Add(sealTime - detectTime)
		}
		for _, each := range c.zones {
			each.dirty = true
		}
	}
}

// Run passes views on.
func (m *member) Run(ctx context.Context, apply func(entry.Update)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-m.updates:
			apply(u)
		}
	}
}

// Report takes the targets whose leases the VM keeps. A target that its owner
// no longer reports is gone; one whose owner left keeps its last state until
// its new owner reports it.
func (m *member) Report(targets []fleet.Target) {
	c, z := m.council, m.zone
	c.mu.Lock()
	defer c.mu.Unlock()
	// A VM outside the view has given up its leases, so that its report names
	// only what reached it late.
	if !slices.ContainsFunc(z.members, func(vm fleet.VM) bool { return vm.ID == m.vm.ID }) {
		return
	}
	z.targets = slices.DeleteFunc(z.targets, func(o fleet.Target) bool {
		return z.reporter[o.ID] == m.vm.ID && !slices.ContainsFunc(targets, func(t fleet.Target) bool { return t.ID == o.ID })
	})
	for _, t := range targets {
		z.targets = slices.DeleteFunc(z.targets, func(o fleet.Target) bool { return o.ID.Address == t.ID.Address })
		z.targets = append(z.targets, t)
		z.reporter[t.ID] = m.vm.ID
	}
	z.dirty = true
}

// Leave takes the VM out of the next view.
func (m *member) Leave() { m.council.remove(m.vm.ID, false, time.Now()) }

// owner returns the VM that owns a target in the present view.
func (c *council) zoneOf(id fleet.ZoneID) (members []fleet.VM, targets []fleet.Target, view *fleet.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, z := range c.zones {
		if z.id == id {
			return slices.Clone(z.members), slices.Clone(z.targets), c.view(z, "")
		}
	}
	return nil, nil, nil
}
