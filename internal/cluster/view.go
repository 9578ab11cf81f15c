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

// publish passes changes of the view, the settings and the lease to the entry
// daemon.
func (c *Cluster) publish(now time.Time) {
	config := c.store.Config()
	c.setCouncil(config, now)
	v := c.leases.View()
	u := entry.Update{LeaseUntil: c.leases.LeaseUntil(now)}
	if v.Epoch != 0 && c.viewChanged(v, config) {
		u.View = c.buildView(config, now)
	}
	if u.View != nil && config.Revision != c.published.revision {
		u.Services = credentials(config)
		u.Probes = probeEndpoints(config)
		c.Log.Info("applying settings", zap.Uint64("revision", uint64(config.Revision)))
	}
	if u.View == nil && !c.leaseChanged(u.LeaseUntil) {
		return
	}
	if u.View != nil {
		c.recordPublished(u.View, config)
	}
	c.published.leaseUntil = u.LeaseUntil
	c.apply(u)
}

// findIsolatedMembers returns nil unless this VM is isolated: it has a view, and
// has not been connected to a majority of the council for isolationTimeout. If
// this VM is isolated, findIsolatedMembers returns this VM and the VMs of the
// zone that it considers alive or suspected. Without a majority no new epoch is
// formed and no lease is granted, so an isolated VM serves only idempotent
// requests.
func (c *Cluster) findIsolatedMembers(now time.Time) []fleet.VM {
	if c.leases.Connected(now) || c.leases.View().Epoch == 0 {
		c.lastConnected = now
		return nil
	}
	if now.Sub(c.lastConnected) < isolationTimeout {
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

func (c *Cluster) viewChanged(v *lease.View, config *settings.Config) bool {
	return !slices.Equal(c.isolatedMembers, c.published.members) || v.Epoch != c.published.epoch || c.leases.Sealed() != c.published.sealed ||
		config.Revision != c.published.revision || c.zonesVersion != c.published.zonesVersion
}

func (c *Cluster) leaseChanged(until time.Time) bool {
	if until.IsZero() || c.published.leaseUntil.IsZero() {
		return until.IsZero() != c.published.leaseUntil.IsZero()
	}
	return until.Sub(c.published.leaseUntil) >= minLeaseExtension
}

func (c *Cluster) recordPublished(built *fleet.View, config *settings.Config) {
	c.published.members, c.published.zonesVersion = c.isolatedMembers, c.zonesVersion
	c.published.epoch, c.published.sealed = built.Epoch, c.leases.Sealed()
	c.published.revision, c.published.view = config.Revision, built
	c.currentView.Store(built)
	c.forgetTargets()
}

// forgetTargets stops reporting targets that the view gives to another owner.
func (c *Cluster) forgetTargets() {
	owners := c.owners()
	for key, t := range c.targets {
		if c.published.view.Target(key) != nil && owners.Owner(key) != c.Self.ID {
			c.leases.ForgetTarget(t.ID)
			delete(c.targets, key)
		}
	}
}

func (c *Cluster) buildView(config *settings.Config, now time.Time) *fleet.View {
	built, err := c.leases.BuildView(c.zones, config.Listeners, config.Revision)
	if err == nil {
		if c.isolatedMembers != nil {
			built.Members, built.Sealed = c.isolatedMembers, false
		}
		built.Members = withHTTPAddresses(built.Members, config.Zone(c.Zone))
		err = built.Freeze()
	}
	if err != nil {
		c.Log.Error("cannot build view", zap.Error(err))
		c.Recorder.Record(timeline.Event{Kind: timeline.KindFault, Name: "ViewRejected", Detail: err.Error()}, now)
		return nil
	}
	return built
}

// withHTTPAddresses returns the members, and takes HTTP addresses that they lack
// from the settings of their zone. Announcements are forwarded to these addresses.
// Membership messages omit the addresses to keep the datagrams small.
func withHTTPAddresses(members []fleet.VM, zone *settings.ZoneConfig) []fleet.VM {
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

// setCouncil passes a newer council from the settings to the lease protocol.
func (c *Cluster) setCouncil(config *settings.Config, now time.Time) {
	z := config.Zone(c.Zone)
	if z == nil || z.CouncilRevision <= c.published.councilRevision {
		return
	}
	c.published.councilRevision = z.CouncilRevision
	c.leases.SetCouncil(lease.Council{Revision: z.CouncilRevision, Members: z.Council}, now)
}

// buildZones returns the zones of the settings with the members and the
// reachability of each zone, and the free slots of other zones. The members of
// this VM's zone are the VMs in isolated, or the members of the view of the
// lease protocol if isolated is nil.
func (c *Cluster) buildZones(config *settings.Config, isolated []fleet.VM, now time.Time) []fleet.Zone {
	observed := c.members.Zones(now)
	out := make([]fleet.Zone, 0, len(config.Zones))
	for i := range config.Zones {
		z := &config.Zones[i]
		zone := fleet.Zone{ID: z.ID, Weight: z.Weight, State: z.State, Services: z.Services}
		if z.ID == c.Zone {
			zone.Reachable = true
			zone.Members = isolated
			if isolated == nil {
				zone.Members = c.zoneMembers()
			}
		} else if j := slices.IndexFunc(observed, func(s fleet.Zone) bool { return s.ID == z.ID }); j >= 0 {
			zone.Reachable = observed[j].Reachable
			zone.Members = sortedVMs(observed[j].Members)
			zone.Spare = observed[j].Spare
		}
		out = append(out, zone)
	}
	return out
}

// zonesEquivalent reports whether a change from a to b requires no new view.
// The free slots of other zones change constantly, so only the bit lengths of
// their numbers are compared.
func zonesEquivalent(a, b []fleet.Zone) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Zone) bool {
		return x.ID == y.ID && x.Weight == y.Weight && x.State == y.State && x.Reachable == y.Reachable &&
			slices.Equal(x.Members, y.Members) && slices.Equal(x.Services, y.Services) &&
			maps.EqualFunc(x.Spare, y.Spare, func(n, m int) bool { return bits.Len(uint(n)) == bits.Len(uint(m)) })
	})
}

func (c *Cluster) zoneMembers() []fleet.VM {
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

// credentials returns the credential digests by service. It skips digests that
// can't be decoded, but none should occur, because package settings validates
// the digests.
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

// probeEndpoints returns the probe endpoint of each service that has a probe
// interval.
func probeEndpoints(config *settings.Config) map[fleet.ServiceID]probe.Endpoint {
	out := make(map[fleet.ServiceID]probe.Endpoint)
	for id, s := range config.Services {
		if p := s.Probe; p.Interval > 0 {
			out[id] = probe.Endpoint{HealthPath: p.HealthPath, LoadPath: p.LoadPath, Port: p.Port, Interval: p.Interval, Timeout: p.Timeout}
		}
	}
	return out
}

// Voting reports whether this VM is a voting member of the council.
func (c *Cluster) Voting() bool { return c.voting.Load() }

// ReportSpare sets, by service, the number of free slots of the targets that
// this VM owns. The numbers are sent to other zones.
func (c *Cluster) ReportSpare(spare map[fleet.ServiceID]int) { c.spare.Store(&spare) }

// View returns the view that was last passed to the entry daemon, or nil before
// the first view.
func (c *Cluster) View() *fleet.View { return c.currentView.Load() }
