package steering

import (
	"encoding/binary"
	"net/netip"
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
	}

	// route is a route with its services and their weights. total is the sum of
	// the weights.
	route struct {
		*catalog.Route
		services []*service
		weights  []uint32
		total    uint64
	}

	// service is a service with its targets, except those that are gone.
	service struct {
		*catalog.Service
		targets []*Target
		// slots is the total number of slots of the targets that accept new flows.
		slots int
		// available is the number of targets that accept new flows, and silent the
		// number of silent targets among these.
		available, silent int
	}

	// View is an immutable snapshot of the catalog and the targets as known to an
	// entry VM.
	View struct {
		Catalog *catalog.Catalog

		routes  map[netip.AddrPort]*route
		targets map[Cookie]*Target
		// live is the number of targets that are not gone.
		live int
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
func NewView(c *catalog.Catalog, records []registry.Record, now time.Time) *View {
	v := &View{Catalog: c, routes: make(map[netip.AddrPort]*route), targets: make(map[Cookie]*Target)}
	for i := range records {
		rec := &records[i]
		t := &Target{
			Target: rec.Target,
			Cookie: CookieOf(rec.Target.ID.Incarnation),
			WarmAt: now.Add(rec.Warmup),
			Silent: rec.Silent, Sequence: rec.Sequence,
		}
		existing := v.targets[t.Cookie]
		if existing == nil || t.ID.Incarnation < existing.ID.Incarnation {
			v.targets[t.Cookie] = t
		}
	}
	for _, t := range v.targets {
		if t.State != fleet.TargetGone {
			v.live++
		}
	}
	if c == nil {
		return v
	}
	services := make(map[fleet.ServiceID]*service, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].ID] = &service{Service: &c.Services[i]}
	}
	for _, t := range v.targets {
		if s := services[t.ID.Service]; s != nil && t.State != fleet.TargetGone {
			s.targets = append(s.targets, t)
			if t.TakesNewFlows() {
				s.slots += t.Slots
				s.available++
				if t.Silent {
					s.silent++
				}
			}
		}
	}
	for i := range c.Routes {
		r := &route{Route: &c.Routes[i]}
		for _, share := range r.Shares {
			r.services = append(r.services, services[share.Service])
			r.weights = append(r.weights, share.Weight)
			r.total += uint64(share.Weight)
		}
		v.routes[r.Address] = r
	}
	return v
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

// Ready reports whether the view has a catalog and at least one target.
func (v *View) Ready() bool { return v.Catalog != nil && len(v.targets) > 0 }

// penalizesSilence reports whether silentCost applies to the targets of the
// service. It does if at most one target that accepts new flows, or at most a
// share of maxSilentShare of these targets, is silent. If more targets are silent
// at once, it is more likely that their announcements were lost than that the
// targets have failed, and the other targets could not carry the load.
func (s *service) penalizesSilence() bool {
	return s.silent <= 1 || float64(s.silent) <= maxSilentShare*float64(s.available)
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
