package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// Map is the placement computed from one view. It is immutable after New
	// and safe for concurrent use.
	Map struct {
		view     *fleet.View
		members  []member
		services map[fleet.ServiceID]*service
		zones    map[fleet.ZoneID][]member
		owners   map[fleet.TargetKey]owners
	}

	member struct {
		id   fleet.VMID
		hash uint64
	}

	owners struct{ owner, standby fleet.VMID }

	// Candidate is a target on which a flow may be placed. Target is nil if
	// there is no such target.
	Candidate struct {
		Target         *fleet.Target
		Key            fleet.TargetKey
		Owner, Standby fleet.VMID
	}

	// service holds the targets of a service that accept new flows, with the
	// hashes of their ids in keys, and the zones that can be home zones of the
	// service's flows.
	service struct {
		keys       []uint64
		candidates []Candidate
		zones      []weightedZone
		// equalWeights is set if all zones have the same weight. HomeZone then
		// compares the scores without computing logarithms.
		equalWeights bool
	}

	weightedZone struct {
		zone   *fleet.Zone
		hash   uint64
		weight float64
	}
)

// New computes the placement of a frozen view.
func New(v *fleet.View) *Map {
	m := &Map{
		view:     v,
		members:  hashMembers(v.Members),
		services: make(map[fleet.ServiceID]*service),
		zones:    make(map[fleet.ZoneID][]member, len(v.Zones)),
		owners:   make(map[fleet.TargetKey]owners, len(v.Targets)),
	}
	for i := range v.Targets {
		m.addTarget(&v.Targets[i])
	}
	for i := range v.Zones {
		m.addZone(&v.Zones[i])
	}
	for _, s := range m.services {
		s.equalWeights = !slices.ContainsFunc(s.zones, func(w weightedZone) bool { return w.weight != s.zones[0].weight })
	}
	return m
}

// View returns the view that the map was computed from.
func (m *Map) View() *fleet.View { return m.view }

// Candidates returns the two targets of the view's zone with the highest scores
// among those that accept new flows.
func (m *Map) Candidates(s fleet.ServiceID, h fleet.FlowHash) (first, second Candidate) {
	sv := m.services[s]
	if sv == nil {
		return first, second
	}
	i, j := topTwoKeys(uint64(h), sv.keys)
	if i >= 0 {
		first = sv.candidates[i]
	}
	if j >= 0 {
		second = sv.candidates[j]
	}
	return first, second
}

// HomeZone returns the home zone of a flow. The flow's hash selects it among the
// zones that have the service, have a weight above 0 and are not Out. Each of
// these zones is selected for a share of the hashes in proportion to its weight.
// HomeZone returns nil if there is no such zone.
func (m *Map) HomeZone(s fleet.ServiceID, h fleet.FlowHash) *fleet.Zone {
	sv := m.services[s]
	if sv == nil || len(sv.zones) == 0 {
		return nil
	}
	best, bestScore := 0, math.Inf(-1)
	for i := range sv.zones {
		// The top 53 bits convert to a float64 without rounding.
		u := float64(score(uint64(h), sv.zones[i].hash)>>11) + 0.5
		if !sv.equalWeights {
			u = -sv.zones[i].weight / math.Log(u/(1<<53))
		}
		if u > bestScore {
			best, bestScore = i, u
		}
	}
	return sv.zones[best].zone
}

// Relay returns the member of a zone that receives the packets of the flow from
// other zones, or "" if the zone has no known member.
func (m *Map) Relay(z fleet.ZoneID, h fleet.FlowHash) fleet.VMID {
	o, _ := topTwoMembers(m.zones[z], uint64(h))
	return o
}

// Owner returns the member that owns the target and decides on admission to it,
// or "" if the view has no members. The target need not be in the view.
func (m *Map) Owner(t fleet.TargetKey) fleet.VMID {
	if o, ok := m.owners[t]; ok {
		return o.owner
	}
	o, _ := topTwoMembers(m.members, uint64(t))
	return o
}

// Standby returns the member that ranks second for the target, or "" if the
// view has fewer than two members.
func (m *Map) Standby(t fleet.TargetKey) fleet.VMID {
	if o, ok := m.owners[t]; ok {
		return o.standby
	}
	_, s := topTwoMembers(m.members, uint64(t))
	return s
}

// RankedOwners returns up to n members in descending order of their score for the
// target. The first member is the owner.
func (m *Map) RankedOwners(t fleet.TargetKey, n int) []fleet.VMID {
	all := slices.Clone(m.members)
	slices.SortFunc(all, func(a, b member) int { return cmp.Compare(score(uint64(t), b.hash), score(uint64(t), a.hash)) })
	out := make([]fleet.VMID, 0, n)
	for _, mb := range all[:min(n, len(all))] {
		out = append(out, mb.id)
	}
	return out
}

// SameRouting reports whether both maps give every flow the same home zone and
// the same candidates; owners may differ.
func (m *Map) SameRouting(other *Map) bool {
	if len(m.services) != len(other.services) {
		return false
	}
	for id, a := range m.services {
		b := other.services[id]
		if b == nil || !slices.Equal(a.keys, b.keys) || !sameZones(a.zones, b.zones) {
			return false
		}
	}
	return true
}

// SameHomeZones reports whether both maps give every flow to a service of m the
// same home zone.
func (m *Map) SameHomeZones(other *Map) bool {
	for id, a := range m.services {
		if b := other.services[id]; b == nil || !sameZones(a.zones, b.zones) {
			return false
		}
	}
	return true
}

func sameZones(a, b []weightedZone) bool {
	return slices.EqualFunc(a, b, func(x, y weightedZone) bool { return x.hash == y.hash && x.weight == y.weight })
}

func (m *Map) addTarget(t *fleet.Target) {
	key := t.ID.Key()
	o, s := topTwoMembers(m.members, uint64(key))
	m.owners[key] = owners{owner: o, standby: s}
	if !t.TakesNewFlows() {
		return
	}
	sv := m.service(t.ID.Service)
	sv.keys = append(sv.keys, uint64(key))
	sv.candidates = append(sv.candidates, Candidate{Target: t, Key: key, Owner: o, Standby: s})
}

func (m *Map) addZone(z *fleet.Zone) {
	m.zones[z.ID] = hashMembers(z.Members)
	if z.State == fleet.ZoneOut || !(z.Weight > 0) {
		return
	}
	for _, id := range z.Services {
		sv := m.service(id)
		sv.zones = append(sv.zones, weightedZone{zone: z, hash: xxhash.Sum64String(string(z.ID)), weight: z.Weight})
	}
}

func (m *Map) service(id fleet.ServiceID) *service {
	sv := m.services[id]
	if sv == nil {
		sv = &service{}
		m.services[id] = sv
	}
	return sv
}

func hashMembers(vms []fleet.VM) []member {
	members := make([]member, len(vms))
	for i := range vms {
		members[i] = member{id: vms[i].ID, hash: xxhash.Sum64String(string(vms[i].ID))}
	}
	return members
}

func topTwoMembers(members []member, key uint64) (first, second fleet.VMID) {
	var firstScore, secondScore uint64
	for i := range members {
		s := score(key, members[i].hash)
		switch {
		case first == "" || s > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = members[i].id, s
		case second == "" || s > secondScore:
			second, secondScore = members[i].id, s
		}
	}
	return first, second
}

func topTwoKeys(h uint64, keys []uint64) (first, second int) {
	first, second = -1, -1
	var firstScore, secondScore uint64
	for i, key := range keys {
		s := score(h, key)
		switch {
		case first < 0 || s > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, s
		case second < 0 || s > secondScore:
			second, secondScore = i, s
		}
	}
	return first, second
}

// score mixes two hashes with the finalizer of splitmix64. It uses no seed; equal
// pairs therefore have equal scores on all VMs.
func score(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
