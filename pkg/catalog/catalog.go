package catalog

import (
	"fmt"
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// Number is the version number of a catalog document; the document with the
	// highest number is in force.
	Number uint64

	// Share assigns a part of a route's new flows to a service, in proportion to
	// the weight.
	Share struct {
		Service fleet.ServiceID `cbor:"1,keyasint"`
		Weight  uint32          `cbor:"2,keyasint"`
	}

	// Route distributes the new flows of one address over services.
	Route struct {
		Name    string         `cbor:"1,keyasint"`
		Address netip.AddrPort `cbor:"2,keyasint"`
		Kind    fleet.KindName `cbor:"3,keyasint"`
		// Idempotent is set if a request may be executed more than once.
		Idempotent bool          `cbor:"4,keyasint"`
		Urgency    fleet.Urgency `cbor:"5,keyasint"`
		// Objective is the time within which a request should be answered, and
		// Deadline the time after which its answer is useless to the caller.
		Objective time.Duration `cbor:"6,keyasint"`
		Deadline  time.Duration `cbor:"7,keyasint"`
		Shares    []Share       `cbor:"8,keyasint"`
		// Regions lists the regions whose targets may serve the route, all if empty.
		// A region that no zone belongs to is allowed.
		Regions []fleet.RegionID `cbor:"9,keyasint,omitempty"`
	}

	// Service is a set of targets that serve the same requests.
	Service struct {
		ID              fleet.ServiceID `cbor:"1,keyasint"`
		HealthPath      string          `cbor:"2,keyasint"`
		ConnectionLimit int             `cbor:"3,keyasint"`
		// ColdRate is the number of requests per second that a cold target can serve,
		// 0 if there is no stated limit. A target is cold for ColdTime after its start.
		ColdRate float64       `cbor:"4,keyasint,omitempty"`
		ColdTime time.Duration `cbor:"5,keyasint,omitempty"`
	}

	// Catalog is one numbered version of the configuration. It must not be
	// modified after Validate.
	Catalog struct {
		Number      Number        `cbor:"1,keyasint"`
		Routes      []Route       `cbor:"2,keyasint"`
		Services    []Service     `cbor:"3,keyasint"`
		IdleTimeout time.Duration `cbor:"4,keyasint"`
	}
)

// maxColdBudget bounds Service.ColdBudget. It exceeds what a target can serve.
const maxColdBudget = 100_000

// ColdBudget returns the number of flows that may be opened to a cold target of the
// service in any second: the integer part of ColdRate, but at least 1. It returns 0 if
// there is no limit.
func (s *Service) ColdBudget() int {
	if s.ColdRate <= 0 {
		return 0
	}
	return int(min(max(s.ColdRate, 1), maxColdBudget))
}

// Validate returns a fleet.FieldError for the first value out of range, and a
// fleet.UnknownError for a route to a service that does not exist.
func (c *Catalog) Validate() error {
	services := make(map[fleet.ServiceID]bool, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		if s.ID == "" || services[s.ID] {
			return &fleet.FieldError{Type: "Service", Field: "ID", Reason: fmt.Sprintf("%q must be unique and not empty", s.ID)}
		}
		if !(s.ColdRate >= 0) || s.ColdTime < 0 {
			return &fleet.FieldError{Type: "Service", Field: "ColdRate", Reason: fmt.Sprintf("%v and ColdTime %v must not be negative", s.ColdRate, s.ColdTime)}
		}
		services[s.ID] = true
	}
	addresses := make(map[netip.AddrPort]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		if addresses[r.Address] {
			return &fleet.FieldError{Type: "Route", Field: "Address", Reason: fmt.Sprintf("%s stands twice", r.Address)}
		}
		addresses[r.Address] = true
	}
	return nil
}

func (r *Route) validate(services map[fleet.ServiceID]bool) error {
	if !r.Address.IsValid() || r.Address.Port() == 0 {
		return &fleet.FieldError{Type: "Route", Field: "Address", Reason: "must be an IP address and a port"}
	}
	if r.Deadline <= 0 {
		return &fleet.FieldError{Type: "Route", Field: "Deadline", Reason: "must be above 0"}
	}
	var total uint64
	for _, s := range r.Shares {
		if !services[s.Service] {
			return &fleet.UnknownError{Type: "service", Name: string(s.Service)}
		}
		total += uint64(s.Weight)
	}
	if total == 0 {
		return &fleet.FieldError{Type: "Route", Field: "Shares", Reason: "must have a weight above 0"}
	}
	return nil
}
