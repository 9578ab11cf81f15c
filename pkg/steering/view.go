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
	// Cookie names a target in a packet; 0 names none.
	Cookie uint32

	// Target is one target of a View.
	Target struct {
		fleet.Target
		Cookie Cookie
		// WarmAt is the time from which the target works at full speed.
		WarmAt time.Time
		Silent bool
		// Sequence is that of the announcement by which the target is known.
		Sequence registry.Sequence
	}

	// route is a route with its targets.
	route struct {
		*catalog.Route
		services []*service
		weights  []uint32
		total    uint64
	}

	// service is a service with its targets, the doubtful ones included.
	service struct {
		*catalog.Service
		targets []*Target
		// slots is the number of slots of the targets that take new flows.
		slots int
		// open is the number of those targets, and silent that of the ones among
		// them that are not heard.
		open, silent int
	}

	// View is what an entry VM knows of the catalog and the targets. It is
	// immutable.
	View struct {
		Catalog *catalog.Catalog

		routes  map[netip.AddrPort]*route
		targets map[Cookie]*Target
		// live is the number of targets that have not ended.
		live int
	}
)

// CookieOf returns the cookie of an incarnation. Incarnations below 2^32 have
// distinct cookies.
func CookieOf(id fleet.Incarnation) Cookie {
	if id>>32 == 0 {
		return Cookie(id)
	}
	var buf [8]byte
	binary.BigEndian.PutUint64(buf[:], uint64(id))
	return Cookie(xxhash.Sum64(buf[:]) | 1)
}

// NewView builds a view; c may be nil. Of two targets with the same cookie,
// the one with the lower incarnation is used and the other one gets no flows,
// which all VMs decide alike.
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
		known := v.targets[t.Cookie]
		if known == nil || t.ID.Incarnation < known.ID.Incarnation {
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
				s.open++
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

// Target returns the target with a cookie, or nil.
func (v *View) Target(c Cookie) *Target { return v.targets[c] }

// healthPath returns the health path of a service, "/" where it is unknown.
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

// Ready reports whether the view has a catalog and a target.
func (v *View) Ready() bool { return v.Catalog != nil && len(v.targets) > 0 }

// trustsSilence reports whether silence speaks against a target: a single one, or
// a small part of all. Where more are silent at once, it is likelier that their
// announcements are cut off, and the others could not carry their load.
func (s *service) trustsSilence() bool {
	return s.silent <= 1 || float64(s.silent) <= maxSilentShare*float64(s.open)
}

// pick returns the service of a new flow, by the weights of its route.
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
