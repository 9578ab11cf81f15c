package steering

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

type (
	// Cookie identifies a target in a packet; 0 identifies none.
	Cookie uint32

	// Target is a target in a View.
	Target struct {
		fleet.Target
		Cookie Cookie
		// WarmAt is the time at which the target reaches full speed.
		WarmAt time.Time
		Silent bool
		// Sequence is the sequence number of the target's last announcement.
		Sequence registry.Sequence
		// ZoneRevision is that of the target's record.
		ZoneRevision catalog.ZoneRevision
		// rank orders the targets by the preference of this VM; lower is better.
		rank uint64
		// born is the start of the target's process, holders are the holders of its
		// warm-up, and part is the part of this VM.
		born    int64
		holders []uint32
		part    coldPart
		// Until partFrom, this VM uses at most formerPart, because the holders of the
		// warm-up have been replaced or are not known yet, or because this process has
		// just started.
		formerPart coldPart
		partFrom   time.Time
	}

	// route is a route with its services and their weights. total is the sum of
	// the weights.
	route struct {
		*catalog.Route
		services []*service
		weights  []uint32
		total    uint64
	}

	// service is a service with its targets that accept new flows, all and by zone,
	// in the order of their ranks.
	service struct {
		*catalog.Service
		targets []*Target
		zones   map[fleet.ZoneID][]*Target
		// held holds the targets of which this VM is a holder, and coldBudget is the
		// number of flows per second to a cold target, 0 if there is no limit.
		held       []*Target
		coldBudget int
		// allowed contains the zones whose targets the service includes. It is nil if
		// the service includes all targets.
		allowed map[fleet.ZoneID]bool
		// slots is the number of slots of the targets, and silent the number of
		// silent targets.
		slots, silent int
		// objective is the shortest objective of the routes to the service.
		objective time.Duration
		// changes counts the changes of targets, and wheels holds the wheels by zone.
		changes int
		wheels  map[fleet.ZoneID]*wheel
	}

	// View is a snapshot of the catalog and the targets as known to an entry VM.
	// Core.Change changes it; a Target in it is immutable.
	View struct {
		Catalog *catalog.Catalog

		routes   map[netip.AddrPort]*route
		services map[fleet.ServiceID]*service
		// restricted holds the services of the routes with regions.
		restricted map[fleet.ServiceID][]*service
		targets    map[Cookie]*Target
		// salt makes the ranks of this VM differ from those of other VMs. Its lower
		// half is the registry.HolderHash of this VM.
		salt    uint64
		builtAt time.Time
		// live is the number of targets that are not gone.
		live int
		// gates is nil if there are no zone orders. The lists of the services match
		// it; relist is called after each change.
		gates *zoneGates
	}
)

// CookieOf returns the cookie of an incarnation. Incarnations below 2^32 have
// distinct cookies. The cookies of other incarnations are hashes, and may
// therefore be equal to other cookies.
func CookieOf(id fleet.Incarnation) Cookie {
	if id>>32 == 0 {
		return Cookie(id)
	}
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], uint64(id))
	return Cookie(xxhash.Sum64(buf[:]) | 1)
}

// NewView returns a view of c, which may be nil, and the targets in records. If
// two targets have the same cookie, all VMs use the target with the lower
// incarnation, and the other target gets no flows.
//
// salt is the 64-bit xxHash of the VM's ID. It determines which targets the VM prefers
// and which it holds.
func NewView(c *catalog.Catalog, records []registry.Record, salt uint64, now time.Time) *View {
	v := &View{
		Catalog: c, salt: salt, builtAt: now, routes: make(map[netip.AddrPort]*route), services: make(map[fleet.ServiceID]*service),
		restricted: make(map[fleet.ServiceID][]*service), targets: make(map[Cookie]*Target, len(records)),
	}
	if c != nil {
		v.addCatalog(c)
	}
	for i := range records {
		t := v.newTarget(&records[i], now)
		if old := v.targets[t.Cookie]; old == nil || t.ID.Incarnation < old.ID.Incarnation {
			v.targets[t.Cookie] = t
		}
	}
	for _, t := range v.targets {
		v.count(t, 1)
		if s := v.services[t.ID.Service]; s != nil && t.TakesNewFlows() {
			s.append(t)
		}
	}
	for _, s := range v.services {
		s.sort()
	}
	return v
}

func (v *View) addCatalog(c *catalog.Catalog) {
	for i := range c.Services {
		v.services[c.Services[i].ID] = &service{Service: &c.Services[i], coldBudget: c.Services[i].ColdBudget(), zones: make(map[fleet.ZoneID][]*Target)}
	}
	for i := range c.Routes {
		r := &route{Route: &c.Routes[i]}
		for _, share := range r.Shares {
			s := v.services[share.Service]
			if s.objective == 0 || r.Objective < s.objective {
				s.objective = r.Objective
			}
			r.services = append(r.services, s)
			r.weights = append(r.weights, share.Weight)
			r.total += uint64(share.Weight)
		}
		v.routes[r.Address] = r
	}
}

func (v *View) newTarget(rec *registry.Record, now time.Time) *Target {
	k := CookieOf(rec.Target.ID.Incarnation)
	t := &Target{
		Target: rec.Target, Cookie: k, WarmAt: now.Add(rec.Warmup),
		Silent: rec.Silent, Sequence: rec.Sequence, ZoneRevision: rec.ZoneRevision, rank: rank(v.salt, k),
		born: rec.Born, holders: holdersOf(rec),
	}
	t.part = partOf(t.holders, uint32(v.salt))
	if rec.Warmup > 0 && len(t.holders) == 0 {
		t.partFrom = now.Add(replacementDelay) // a hub may be about to choose them
	}
	return t
}

// setTarget adds a target or replaces its former state.
func (v *View) setTarget(rec *registry.Record, now time.Time) {
	t := v.newTarget(rec, now)
	old := v.targets[t.Cookie]
	if old != nil && old.ID.Incarnation < t.ID.Incarnation {
		return
	}
	if old != nil {
		v.count(old, -1)
		if v.takesNewFlows(old) {
			v.eachService(old, (*service).remove)
		}
	}
	t.inherit(old, now)
	v.targets[t.Cookie] = t
	v.count(t, 1)
	if v.takesNewFlows(t) {
		v.eachService(t, (*service).add)
	}
}

// eachService calls f with each service that includes the target.
func (v *View) eachService(t *Target, f func(s *service, t *Target)) {
	if s := v.services[t.ID.Service]; s != nil {
		f(s, t)
	}
	for _, s := range v.restricted[t.ID.Service] {
		if s.takes(t.Zone) {
			f(s, t)
		}
	}
}

// count adds n to the number of live targets if t is not gone.
func (v *View) count(t *Target, n int) {
	if t.State != fleet.TargetGone {
		v.live += n
	}
}

// rank returns the rank of a target at the VM with the given salt.
func rank(salt uint64, k Cookie) uint64 {
	var buf [12]byte
	binary.BigEndian.PutUint64(buf[:], salt)
	binary.BigEndian.PutUint32(buf[8:], uint32(k))
	return xxhash.Sum64(buf[:])
}

// append adds t at the end of the lists, which are not sorted then.
// sort brings the lists into the order of ranks.
func (s *service) sort() {
	slices.SortFunc(s.targets, compareRanks)
	slices.SortFunc(s.held, compareRanks)
	for _, list := range s.zones {
		slices.SortFunc(list, compareRanks)
	}
}

func (s *service) append(t *Target) {
	s.targets = append(s.targets, t)
	s.zones[t.Zone] = append(s.zones[t.Zone], t)
	if t.part.holders > 0 {
		s.held = append(s.held, t)
	}
	s.count(t, 1)
}

func (s *service) add(t *Target) {
	s.targets = insert(s.targets, t)
	if t.part.holders > 0 {
		s.held = insert(s.held, t)
	}
	s.zones[t.Zone] = insert(s.zones[t.Zone], t)
	s.count(t, 1)
}

func (s *service) remove(t *Target) {
	s.targets = without(s.targets, t)
	if t.part.holders > 0 {
		s.held = without(s.held, t)
	}
	s.zones[t.Zone] = without(s.zones[t.Zone], t)
	s.count(t, -1)
}

// count adds t n times to the numbers of slots and of silent targets.
func (s *service) count(t *Target, n int) {
	s.changes++
	s.slots += n * t.Slots
	if t.Silent {
		s.silent += n
	}
}

func compareRanks(a, b *Target) int { return cmp.Compare(a.rank, b.rank) }

// insert adds t to a list in the order of ranks.
func insert(list []*Target, t *Target) []*Target {
	i, _ := slices.BinarySearchFunc(list, t, compareRanks)
	return slices.Insert(list, i, t)
}

// without removes t from a list in the order of ranks.
func without(list []*Target, t *Target) []*Target {
	i, _ := slices.BinarySearchFunc(list, t, compareRanks)
	for list[i] != t {
		i++
	}
	return slices.Delete(list, i, i+1)
}

// Target returns the target with the cookie c, or nil.
func (v *View) Target(c Cookie) *Target { return v.targets[c] }

// healthPath returns the health path of a service, or "/" for an unknown service.
func (v *View) healthPath(id fleet.ServiceID) string {
	if v.Catalog != nil {
		for i := range v.Catalog.Services {
			if v.Catalog.Services[i].ID == id {
				return v.Catalog.Services[i].HealthPath
			}
		}
	}
	return "/"
}

// penalizesSilence reports whether silentCost applies to the targets of the
// service. It does if at most one target that accepts new flows, or at most a
// share of maxSilentShare of these targets, is silent. If more targets are silent
// at once, it is more likely that their announcements were lost than that the
// targets have failed, and the other targets could not carry the load.
func (s *service) penalizesSilence() bool {
	return s.silent <= 1 || float64(s.silent) <= maxSilentShare*float64(len(s.targets))
}

// pick returns the service for a new flow. The service is selected by the
// weights of the route and a random number.
func (r *route) pick(random uint64) *service {
	n := random % r.total
	for i, w := range r.weights {
		if n < uint64(w) {
			return r.services[i]
		}
		n -= uint64(w)
	}
	return nil
}
