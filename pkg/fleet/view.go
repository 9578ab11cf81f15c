package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
)

type (
	// VM is an entry VM with the addresses at which its peers reach it.
	VM struct {
		ID VMID `toml:"ID" json:"ID" cbor:"1,keyasint"`
		// Control receives heartbeats, leases and other control messages over
		// UDP.
		Control netip.AddrPort `toml:"Control" json:"Control" cbor:"2,keyasint"`
		// Data receives packets from the network fabric and from peers over
		// UDP.
		Data netip.AddrPort `toml:"Data" json:"Data" cbor:"3,keyasint"`
		// HTTP serves announcements of targets, health checks and metrics.
		HTTP netip.AddrPort `toml:"HTTP" json:"HTTP" cbor:"4,keyasint"`
	}

	// Member is one incarnation of an entry VM. Each restart gets a new
	// incarnation.
	Member struct {
		VM          VM          `json:"VM" cbor:"1,keyasint"`
		Incarnation Incarnation `json:"Incarnation" cbor:"2,keyasint"`
	}

	// Zone is an availability zone as this VM sees it.
	Zone struct {
		ID        ZoneID
		Weight    float64
		State     ZoneState
		Reachable bool
		// Members are the zone's live entry VMs, sorted by id.
		Members []VM
		// Services lists the services that the settings place in the zone.
		Services []ServiceID
		// Spare maps each service to the number of its free slots that the zone
		// last reported.
		Spare map[ServiceID]int
	}

	// ListenerKey identifies a listener.
	ListenerKey struct {
		Address  netip.AddrPort
		Protocol Protocol
	}
)

// View is what one VM knows of the fleet. It may be modified until Freeze;
// after that it is shared without locks and must not change. After Freeze,
// Members, Zones and Targets are sorted by id, and no two listeners have the
// same address and protocol.
type View struct {
	Zone      ZoneID
	Self      VMID
	Epoch     Epoch
	Sealed    bool
	Revision  Revision
	Members   []VM
	Zones     []Zone
	Targets   []Target
	Listeners []Listener

	listeners map[ListenerKey]*Listener
	targets   map[TargetKey]*Target
	byService map[ServiceID][]*Target
	members   map[VMID]*VM
	zones     map[ZoneID]*Zone
}

// Freeze sorts and indexes the view. It returns a FieldError for a value out of
// range or for a duplicate listener.
func (v *View) Freeze() error {
	slices.SortFunc(v.Members, func(a, b VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(v.Zones, func(a, b Zone) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(v.Targets, func(a, b Target) int { return compareTargets(a.ID, b.ID) })
	if err := v.indexListeners(); err != nil {
		return err
	}
	if err := v.indexTargets(); err != nil {
		return err
	}
	v.members = make(map[VMID]*VM, len(v.Members))
	for i := range v.Members {
		v.members[v.Members[i].ID] = &v.Members[i]
	}
	v.zones = make(map[ZoneID]*Zone, len(v.Zones))
	for i := range v.Zones {
		v.zones[v.Zones[i].ID] = &v.Zones[i]
	}
	return nil
}

func (v *View) indexListeners() error {
	v.listeners = make(map[ListenerKey]*Listener, len(v.Listeners))
	for i := range v.Listeners {
		l := &v.Listeners[i]
		if err := l.Validate(); err != nil {
			return err
		}
		key := ListenerKey{Address: l.Address, Protocol: l.Protocol}
		if v.listeners[key] != nil {
			return &FieldError{Type: "View", Field: "Listeners", Reason: l.Address.String() + " stands twice"}
		}
		v.listeners[key] = l
	}
	return nil
}

func (v *View) indexTargets() error {
	v.targets = make(map[TargetKey]*Target, len(v.Targets))
	v.byService = make(map[ServiceID][]*Target)
	for i := range v.Targets {
		t := &v.Targets[i]
		if err := t.Validate(); err != nil {
			return err
		}
		v.targets[t.ID.Key()] = t
		v.byService[t.ID.Service] = append(v.byService[t.ID.Service], t)
	}
	return nil
}

// Listener returns the listener with the address and protocol, or nil.
func (v *View) Listener(address netip.AddrPort, p Protocol) *Listener {
	return v.listeners[ListenerKey{Address: address, Protocol: p}]
}

// Target returns the target with the key, or nil.
func (v *View) Target(key TargetKey) *Target { return v.targets[key] }

// ServiceTargets returns the service's targets in this VM's zone, sorted by id.
// Callers must not modify the slice.
func (v *View) ServiceTargets(s ServiceID) []*Target { return v.byService[s] }

// Member returns the member with the id in this VM's zone and epoch, or nil.
func (v *View) Member(id VMID) *VM { return v.members[id] }

// ZoneByID returns the zone with the id, or nil.
func (v *View) ZoneByID(id ZoneID) *Zone { return v.zones[id] }

func compareTargets(a, b TargetID) int {
	if c := strings.Compare(string(a.Service), string(b.Service)); c != 0 {
		return c
	}
	if c := a.Address.Compare(b.Address); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}
