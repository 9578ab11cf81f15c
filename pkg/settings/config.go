package settings

import (
	"slices"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// ServiceConfig is a service document with the id of the service.
	ServiceConfig struct {
		ID fleet.ServiceID
		Service
	}

	// ZoneConfig is a zone document with the zone's id, the document's revision
	// and the ids of the services that list the zone.
	ZoneConfig struct {
		ID       fleet.ZoneID
		Revision fleet.Revision
		Services []fleet.ServiceID
		Zone
	}
)

// Config is the configuration that the documents of one revision define. It
// must not be modified. Listeners and Zones are ordered by the paths of their
// documents.
type Config struct {
	Revision  fleet.Revision
	Listeners []fleet.Listener
	Services  map[fleet.ServiceID]*ServiceConfig
	Zones     []ZoneConfig
}

// Zone returns the zone with the id, or nil.
func (c *Config) Zone(id fleet.ZoneID) *ZoneConfig {
	for i := range c.Zones {
		if c.Zones[i].ID == id {
			return &c.Zones[i]
		}
	}
	return nil
}

func compile(t *tree) *Config {
	c := &Config{Revision: t.revision, Services: make(map[fleet.ServiceID]*ServiceConfig)}
	servicesByZone := make(map[fleet.ZoneID][]fleet.ServiceID)
	for _, p := range t.paths("") {
		if s, ok := t.nodes[p].content.(*Service); ok {
			id := p.Service()
			c.Services[id] = &ServiceConfig{ID: id, Service: *s}
			for _, zone := range s.Zones {
				servicesByZone[zone] = append(servicesByZone[zone], id)
			}
		}
	}
	for _, p := range t.paths("/Teams") {
		if l, ok := t.nodes[p].content.(*Listener); ok {
			c.addListener(p, l)
		}
	}
	for _, p := range t.paths("/Zones") {
		id := fleet.ZoneID(p.Name())
		services := slices.Sorted(slices.Values(servicesByZone[id]))
		c.Zones = append(c.Zones, ZoneConfig{
			ID: id, Revision: t.nodes[p].Revision, Services: services, Zone: *t.nodes[p].content.(*Zone),
		})
	}
	return c
}

func (c *Config) addListener(p Path, l *Listener) {
	id := serviceID(p.Team(), l.Service)
	s := c.Services[id]
	if s == nil {
		return
	}
	kind := s.kind(l.Kind)
	if kind == nil {
		return
	}
	c.Listeners = append(c.Listeners, fleet.Listener{
		Address: l.Address, Protocol: l.Protocol, Service: id, Kind: *kind, Answers: l.Answers,
	})
}
