package cluster

import (
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/internal/probe"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/lease"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// publish tells the traffic side what has changed.
func (c *Cluster) publish(now time.Time) {
	config := c.store.Config()
	c.setCouncil(config, now)
	v := c.leases.View()
	u := entry.Update{LeaseUntil: c.leases.LeaseUntil(now)}
	if v.Epoch != 0 && c.changed(v, config) {
		u.View = c.buildView(config, now)
	}
	if u.View != nil && config.Revision != c.last.revision {
		u.Services = credentials(config)
		u.Probes = endpoints(config)
		c.Log.Info("settings are in force", zap.Uint64("revision", uint64(config.Revision)))
	}
	if u.View == nil && !c.leaseChanged(u.LeaseUntil) {
		return
	}
	if u.View != nil {
		c.remember(u.View, config)
	}
	c.last.until = u.LeaseUntil
	c.apply(u)
}

// reachable returns the live VMs of the zone where no majority of the council
// has answered for isolationTime, and nil otherwise. No epoch can follow then,
// so that the VMs left serve idempotent work by themselves; nobody decides
// about other work, since no lease is granted either.
func (c *Cluster) reachable(now time.Time) []fleet.VM {
	if c.leases.Connected(now) || c.leases.View().Epoch == 0 {
		c.connected = now
		return nil
	}
	if now.Sub(c.connected) < isolationTime {
		return nil
	}
	var vms []fleet.VM
	for _, m := range c.members.Members(now) {
		if m.VM.ID == c.Self.ID || m.State == "Alive" || m.State == "Suspect" {
			vms = append(vms, m.VM)
		}
	}
	return sortedVMs(vms)
}

func (c *Cluster) changed(v *lease.View, config *settings.Config) bool {
	return !slices.Equal(c.isolated, c.last.members) || v.Epoch != c.last.epoch || c.leases.Sealed() != c.last.sealed ||
		config.Revision != c.last.revision || c.zonesSeen != c.last.zonesSeen
}

func (c *Cluster) leaseChanged(until time.Time) bool {
	if until.IsZero() || c.last.until.IsZero() {
		return until.IsZero() != c.last.until.IsZero()
	}
	return until.Sub(c.last.until) >= leaseStep
}

func (c *Cluster) remember(built *fleet.View, config *settings.Config) {
	c.last.members, c.last.zonesSeen = c.isolated, c.zonesSeen
	c.last.epoch, c.last.sealed = built.Epoch, c.leases.Sealed()
	c.last.revision, c.last.view = config.Revision, built
	c.current.Store(built)
	c.forgetTargets()
}

// forgetTargets ends the reports about targets that have another owner now.
func (c *Cluster) forgetTargets() {
	owners := c.owners()
	for key, t := range c.targets {
		if c.last.view.Target(key) != nil && owners.Owner(key) != c.Self.ID {
			c.leases.ForgetTarget(t.ID)
			delete(c.targets, key)
		}
	}
}

func (c *Cluster) buildView(config *settings.Config, now time.Time) *fleet.View {
	built, err := c.leases.BuildView(c.zones, config.Listeners, config.Revision)
	if err == nil {
		if c.isolated != nil {
			built.Members, built.Sealed = c.isolated, false
		}
		built.Members = withHTTP(built.Members, config.Zone(c.Zone))
		err = built.Freeze()
	}
	if err != nil {
		c.Log.Error("view can't be built", zap.Error(err))
		c.Recorder.Record(timeline.Event{Kind: timeline.KindFault, Name: "ViewRejected", Detail: err.Error()}, now)
		return nil
	}
	return built
}

// withHTTP adds the HTTP addresses that the settings name, to which announcements
// are forwarded. Membership does not carry them, since its datagrams are small.
func withHTTP(members []fleet.VM, zone *settings.ZoneConfig) []fleet.VM {
	if zone == nil {
		return members
	}
	members = slices.Clone(members)
	for i := range members {
		m := &members[i]
		j := slices.IndexFunc(zone.EntryVMs, func(vm fleet.VM) bool { return vm.ID == m.ID })
		if j >= 0 && !m.HTTP.IsValid() {
			m.HTTP = zone.EntryVMs[j].HTTP
		}
	}
	return members
}

// setCouncil follows the council in the settings.
func (c *Cluster) setCouncil(config *settings.Config, now time.Time) {
	z := config.Zone(c.Zone)
	if z == nil || z.CouncilRevision <= c.last.council {
		return
	}
	c.last.council = z.CouncilRevision
	c.leases.SetCouncil(lease.Council{Revision: z.CouncilRevision, Members: z.Council}, now)
}

// seeZones joins what the settings say about zones with what membership sees.
func (c *Cluster) seeZones(config *settings.Config, members []fleet.VM, now time.Time) []fleet.Zone {
	seen := c.members.Zones(now)
	out := make([]fleet.Zone, 0, len(config.Zones))
	for i := range config.Zones {
		z := &config.Zones[i]
		zone := fleet.Zone{ID: z.ID, Weight: z.Weight, State: z.State, Services: z.Services}
		if z.ID == c.Zone {
			zone.Reachable = true
			zone.Members = members
			if members == nil {
				zone.Members = c.ownMembers()
			}
		} else if j := slices.IndexFunc(seen, func(s fleet.Zone) bool { return s.ID == z.ID }); j >= 0 {
			zone.Reachable = seen[j].Reachable
			zone.Members = sortedVMs(seen[j].Members)
			zone.Spare = seen[j].Spare
		}
		out = append(out, zone)
	}
	return out
}

// sameZones reports whether a new view is not worth its cost: free slots of
// other zones change all the time, so that only their magnitude counts.
func sameZones(a, b []fleet.Zone) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Zone) bool {
		return x.ID == y.ID && x.Weight == y.Weight && x.State == y.State && x.Reachable == y.Reachable &&
			slices.Equal(x.Members, y.Members) && slices.Equal(x.Services, y.Services) &&
			maps.EqualFunc(x.Spare, y.Spare, func(n, m int) bool { return bits.Len(uint(n)) == bits.Len(uint(m)) })
	})
}

func (c *Cluster) ownMembers() []fleet.VM {
	var vms []fleet.VM
	for _, m := range c.leases.View().Members {
		vms = append(vms, m.VM)
	}
	return sortedVMs(vms)
}

func sortedVMs(vms []fleet.VM) []fleet.VM {
	vms = slices.Clone(vms)
	slices.SortFunc(vms, func(a, b fleet.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return vms
}

// credentials returns the targets' credentials by service. The settings have
// checked their form.
func credentials(config *settings.Config) map[fleet.ServiceID]announce.Credential {
	out := make(map[fleet.ServiceID]announce.Credential, len(config.Services))
	for id, s := range config.Services {
		var credential announce.Credential
		if credential.UnmarshalText([]byte(s.Credential)) == nil {
			out[id] = credential
		}
	}
	return out
}

// endpoints returns how each service's targets are probed.
func endpoints(config *settings.Config) map[fleet.ServiceID]probe.Endpoint {
	out := make(map[fleet.ServiceID]probe.Endpoint)
	for id, s := range config.Services {
		if p := s.Probe; p.Interval > 0 {
			out[id] = probe.Endpoint{HealthPath: p.HealthPath, LoadPath: p.LoadPath, Port: p.Port, Interval: p.Interval, Timeout: p.Timeout}
		}
	}
	return out
}

// Voting reports whether this VM is a council member that votes.
func (c *Cluster) Voting() bool { return c.voting.Load() }

// ReportSpare states the free slots of this VM's targets by service, which the
// other zones hear of.
func (c *Cluster) ReportSpare(spare map[fleet.ServiceID]int) { c.spare.Store(&spare) }

// View returns the view in force, or nil before the first one.
func (c *Cluster) View() *fleet.View { return c.current.Load() }
