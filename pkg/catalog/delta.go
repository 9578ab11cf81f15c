package catalog

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// maxHeld is the number of past catalogs from which a History makes deltas. A
// reader that is further behind gets the whole catalog.
const maxHeld = 128

type (
	// Delta turns the catalog From into the catalog To; a full one needs no
	// catalog to start from.
	Delta struct {
		From Number `cbor:"1,keyasint,omitempty"`
		To   Number `cbor:"2,keyasint"`
		Full bool   `cbor:"3,keyasint,omitempty"`
		// Routes are those that are new or have changed.
		Routes  []Route          `cbor:"4,keyasint,omitempty"`
		Removed []netip.AddrPort `cbor:"5,keyasint,omitempty"`
		// Services are all services where one of them has changed.
		Services    []Service     `cbor:"6,keyasint,omitempty"`
		IdleTimeout time.Duration `cbor:"7,keyasint,omitempty"`
	}

	// DeltaError reports a delta that does not start from the catalog at hand.
	DeltaError struct{ Have, From, To Number }

	// History makes deltas that lead to the newest catalog. One goroutine uses
	// it.
	//
	// Invariant: a route in changed or removed differs between the number that
	// stands there and the held number before it, and no other route does.
	History struct {
		newest  *Catalog
		routes  map[netip.AddrPort]*Route
		changed map[netip.AddrPort]Number
		removed map[netip.AddrPort]Number
		// services is the number of the last change of a service.
		services Number
		// held lists the numbers from which deltas can be made, oldest first.
		held []Number
	}
)

// Error names the numbers.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from catalog %d to %d does not apply to catalog %d", e.From, e.To, e.Have)
}

// Newest returns the newest catalog, or nil.
func (h *History) Newest() *Catalog { return h.newest }

// Number returns the number of the newest catalog, 0 where there is none.
func (h *History) Number() Number {
	if h.newest == nil {
		return 0
	}
	return h.newest.Number
}

// Add takes a catalog and reports whether its number is the highest.
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
		h.services = c.Number
	}
	h.newest, h.routes = c, routes
	h.held = append(h.held, c.Number)
	h.trim()
	return true
}

// trim forgets what only deltas from too old catalogs need.
func (h *History) trim() {
	if len(h.held) <= maxHeld {
		return
	}
	h.held = slices.Clone(h.held[len(h.held)-maxHeld:])
	maps.DeleteFunc(h.removed, func(_ netip.AddrPort, n Number) bool { return n <= h.held[0] })
}

// Delta returns what leads from a catalog to the newest one, or nil where that
// has no higher number.
func (h *History) Delta(from Number) *Delta {
	if h.Number() <= from {
		return nil
	}
	c := h.newest
	d := &Delta{From: from, To: c.Number, IdleTimeout: c.IdleTimeout}
	if !slices.Contains(h.held, from) {
		d.From, d.Full, d.Routes, d.Services = 0, true, c.Routes, c.Services
		return d
	}
	if h.services > from {
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

// Apply returns the catalog that the delta leads to from c, which may be nil
// for a full delta. It returns a DeltaError, and the errors of Validate.
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

// equal reports whether two routes of one address are the same.
func (r *Route) equal(o *Route) bool {
	return r.Name == o.Name && r.Kind == o.Kind && r.Idempotent == o.Idempotent && r.Urgency == o.Urgency &&
		r.Objective == o.Objective && r.Deadline == o.Deadline && slices.Equal(r.Shares, o.Shares)
}
