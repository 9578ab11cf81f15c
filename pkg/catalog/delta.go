package catalog

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// maxHistory is the maximum number of catalogs from which a History can create
// deltas. A receiver with an older catalog gets the full catalog.
const maxHistory = 128

// maxRemoved is the maximum number of removed routes that a History keeps for receivers
// with an older catalog.
const maxRemoved = 1 << 14

type (
	// Delta contains the changes from catalog From to catalog To. A full delta
	// contains the whole catalog To and needs no earlier catalog.
	Delta struct {
		From Number `cbor:"1,keyasint,omitempty"`
		To   Number `cbor:"2,keyasint"`
		Full bool   `cbor:"3,keyasint,omitempty"`
		// Routes are the new and the changed routes.
		Routes  []Route          `cbor:"4,keyasint,omitempty"`
		Removed []netip.AddrPort `cbor:"5,keyasint,omitempty"`
		// Services are all services if any of them has changed, otherwise nil.
		Services    []Service     `cbor:"6,keyasint,omitempty"`
		IdleTimeout time.Duration `cbor:"7,keyasint,omitempty"`
	}

	// DeltaError reports a delta that does not apply to the current catalog.
	DeltaError struct{ Have, From, To Number }

	// History creates deltas from past catalogs to the newest catalog. It is not
	// safe for concurrent use.
	//
	// Invariant: changed[a] is the number of the catalog that last added or
	// changed the route of address a. removed[a] is the number of the catalog
	// that removed the route of address a; trim discards old entries.
	History struct {
		newest  *Catalog
		routes  map[netip.AddrPort]*Route
		changed map[netip.AddrPort]Number
		removed map[netip.AddrPort]Number
		// servicesChanged is the number of the catalog that last changed a
		// service.
		servicesChanged Number
		// retained lists the numbers from which deltas can be created, oldest
		// first.
		retained []Number
	}
)

// Error returns the numbers of the delta and of the current catalog.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from catalog %d to %d does not apply to catalog %d", e.From, e.To, e.Have)
}

// Newest returns the newest catalog, or nil.
func (h *History) Newest() *Catalog { return h.newest }

// Number returns the number of the newest catalog, or 0 if there is none.
func (h *History) Number() Number {
	if h.newest == nil {
		return 0
	}
	return h.newest.Number
}

// Add makes c the newest catalog and returns true if its number is higher than
// the number of the current newest catalog. Otherwise it returns false.
func (h *History) Add(c *Catalog) bool {
	if c.Number <= h.Number() {
		return false
	}
	routes := make(map[netip.AddrPort]*Route, len(c.Routes))
	if h.newest == nil {
		h.changed, h.removed = make(map[netip.AddrPort]Number), make(map[netip.AddrPort]Number)
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		routes[r.Address] = r
		delete(h.removed, r.Address)
		if old := h.routes[r.Address]; old == nil || !r.equal(old) {
			h.changed[r.Address] = c.Number
		}
	}
	for address := range h.routes {
		if routes[address] == nil {
			delete(h.changed, address)
			h.removed[address] = c.Number
		}
	}
	if h.newest == nil || !slices.Equal(c.Services, h.newest.Services) {
		h.servicesChanged = c.Number
	}
	h.newest, h.routes = c, routes
	h.retained = append(h.retained, c.Number)
	h.trim()
	return true
}

// trim limits the retained numbers to maxHistory, and the removed routes to maxRemoved.
// It discards the removed routes that are needed only for deltas from discarded numbers.
func (h *History) trim() {
	if n := len(h.retained) - maxHistory; n > 0 {
		h.forget(n)
	}
	for len(h.removed) > maxRemoved && len(h.retained) > 1 {
		h.forget((len(h.retained) + 1) / 2)
	}
}

// forget discards the n oldest retained numbers.
func (h *History) forget(n int) {
	h.retained = slices.Clone(h.retained[n:])
	maps.DeleteFunc(h.removed, func(_ netip.AddrPort, n Number) bool { return n <= h.retained[0] })
}

// Delta returns the delta from a catalog number to the newest catalog, or nil if
// the newest number is not higher. The delta is full if from is not retained.
func (h *History) Delta(from Number) *Delta {
	if h.Number() <= from {
		return nil
	}
	c := h.newest
	d := &Delta{From: from, To: c.Number, IdleTimeout: c.IdleTimeout}
	if !slices.Contains(h.retained, from) {
		d.From, d.Full, d.Routes, d.Services = 0, true, c.Routes, c.Services
		return d
	}
	if h.servicesChanged > from {
		d.Services = c.Services
	}
	for i := range c.Routes {
		if h.changed[c.Routes[i].Address] > from {
			d.Routes = append(d.Routes, c.Routes[i])
		}
	}
	for address, n := range h.removed {
		if n > from {
			d.Removed = append(d.Removed, address)
		}
	}
	return d
}

// Apply returns the catalog that results from applying d to c. A full delta
// applies to any c, also to nil; another delta applies only to the catalog with
// the number d.From. Apply returns a DeltaError if d does not apply to c, and
// the errors of Validate for the resulting catalog.
func (c *Catalog) Apply(d *Delta) (*Catalog, error) {
	if d.Full {
		next := &Catalog{Number: d.To, Routes: d.Routes, Services: d.Services, IdleTimeout: d.IdleTimeout}
		return next, next.Validate()
	}
	if c == nil || c.Number != d.From {
		e := &DeltaError{From: d.From, To: d.To}
		if c != nil {
			e.Have = c.Number
		}
		return nil, e
	}
	next := &Catalog{Number: d.To, Services: c.Services, IdleTimeout: d.IdleTimeout}
	if d.Services != nil {
		next.Services = d.Services
	}
	replaced := make(map[netip.AddrPort]bool, len(d.Routes)+len(d.Removed))
	for i := range d.Routes {
		replaced[d.Routes[i].Address] = true
	}
	for _, address := range d.Removed {
		replaced[address] = true
	}
	next.Routes = make([]Route, 0, len(c.Routes)+len(d.Routes))
	for i := range c.Routes {
		if !replaced[c.Routes[i].Address] {
			next.Routes = append(next.Routes, c.Routes[i])
		}
	}
	next.Routes = append(next.Routes, d.Routes...)
	return next, next.Validate()
}

// equal reports whether two routes with the same address are equal.
func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Kind == o.Kind && r.Idempotent == o.Idempotent && r.Urgency == o.Urgency &&
		r.Objective == o.Objective && r.Deadline == o.Deadline && slices.Equal(r.Shares, o.Shares) && slices.Equal(r.Regions, o.Regions)
}
