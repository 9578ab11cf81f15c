package entry

import (
	"encoding"
	"errors"
	"fmt"
	"net/netip"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/settingsfile"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// checker converts the contents of a settings file and collects the faults.
type checker struct{ *settingsfile.Checker }

func (c *checker) settings(f *file) *Settings {
	s := &Settings{
		ID:           fleet.VMID(c.NonEmpty("ID", f.ID)),
		Zone:         fleet.ZoneID(c.NonEmpty("Zone", f.Zone)),
		Control:      c.Address("Control", f.Control),
		Data:         c.Address("Data", f.Data),
		HTTP:         c.Address("HTTP", f.HTTP),
		Shards:       c.Count("Shards", f.Shards, 1, maxShards),
		Log:          c.Log(f.LogFormat, f.LogLevel),
		DrainTime:    c.Duration("DrainTime", f.DrainTime, defaultDrainTime),
		QuietTime:    c.Duration("QuietTime", f.QuietTime, defaultQuietTime),
		LeaseTime:    c.Duration("LeaseTime", f.LeaseTime, defaultLeaseTime),
		TargetLimit:  c.Count("TargetLimit", f.TargetLimit, defaultTargetLimit, 1<<20),
		AnnounceRate: defaultAnnounceRate,
		Services:     make(map[fleet.ServiceID]announce.Credential, len(f.Services)),
	}
	if f.AnnounceRate != nil {
		s.AnnounceRate = c.Positive("AnnounceRate", *f.AnnounceRate)
	}
	c.fabric(s, f)
	for i := range f.Zones {
		s.Zones = append(s.Zones, c.zone(fmt.Sprintf("Zones[%d]", i), &f.Zones[i]))
	}
	for i := range f.Replicas {
		s.Replicas = append(s.Replicas, c.replica(fmt.Sprintf("Replicas[%d]", i), &f.Replicas[i]))
	}
	if len(s.Replicas) > 0 && len(f.Services) > 0 {
		c.AddFault("Services", "must not be set with Replicas, because the control VMs provide the services")
	}
	for i := range f.Services {
		c.service(fmt.Sprintf("Services[%d]", i), &f.Services[i], s)
	}
	c.checkReferences(s)
	return s
}

func (c *checker) fabric(s *Settings, f *file) {
	if len(f.Fabric) == 0 {
		c.AddFault("Fabric", "must name at least one address")
	}
	for i, text := range f.Fabric {
		s.Fabric = append(s.Fabric, c.Address(fmt.Sprintf("Fabric[%d]", i), text))
	}
	for i, text := range f.FabricSources {
		var p netip.Prefix
		c.unmarshalText(fmt.Sprintf("FabricSources[%d]", i), text, &p)
		s.FabricSources = append(s.FabricSources, p)
	}
}

func (c *checker) replica(key string, f *fileReplica) Replica {
	return Replica{
		ID:      fleet.VMID(c.NonEmpty(key+".ID", f.ID)),
		Control: c.Address(key+".Control", f.Control),
	}
}

func (c *checker) zone(key string, f *fileZone) fleet.Zone {
	z := fleet.Zone{
		ID:        fleet.ZoneID(c.NonEmpty(key+".ID", f.ID)),
		Weight:    1,
		State:     fleet.ZoneIn,
		Reachable: true,
	}
	if f.Weight != nil {
		z.Weight = c.Positive(key+".Weight", *f.Weight)
	}
	if f.State != "" {
		z.State = fleet.ZoneState(f.State)
	}
	if z.State != fleet.ZoneIn && z.State != fleet.ZoneOut {
		c.AddFault(key+".State", "must be In or Out")
	}
	for _, id := range f.Services {
		z.Services = append(z.Services, fleet.ServiceID(id))
	}
	for i := range f.Members {
		z.Members = append(z.Members, c.member(fmt.Sprintf("%s.Members[%d]", key, i), &f.Members[i]))
	}
	return z
}

func (c *checker) member(key string, f *fileMember) fleet.VM {
	return fleet.VM{
		ID:      fleet.VMID(c.NonEmpty(key+".ID", f.ID)),
		Control: c.Address(key+".Control", f.Control),
		Data:    c.Address(key+".Data", f.Data),
		HTTP:    c.Address(key+".HTTP", f.HTTP),
	}
}

func (c *checker) service(key string, f *fileService, s *Settings) {
	id := fleet.ServiceID(c.NonEmpty(key+".ID", f.ID))
	if _, duplicate := s.Services[id]; duplicate {
		c.AddFault(key+".ID", "duplicate service %q", id)
	}
	var credential announce.Credential
	c.unmarshalText(key+".CredentialSHA256", f.CredentialSHA256, &credential)
	s.Services[id] = credential
	for i := range f.Listeners {
		s.Listeners = append(s.Listeners, c.listener(fmt.Sprintf("%s.Listeners[%d]", key, i), id, &f.Listeners[i]))
	}
	for i := range f.Targets {
		s.Targets = append(s.Targets, c.target(fmt.Sprintf("%s.Targets[%d]", key, i), id, s.Zone, &f.Targets[i]))
	}
}

func (c *checker) listener(key string, id fleet.ServiceID, f *fileListener) fleet.Listener {
	l := fleet.Listener{
		Address: c.Address(key+".Address", f.Address),
		Service: id,
		Answers: fleet.AnswerPath(f.Answers),
		Kind: fleet.Kind{
			Name:        fleet.KindName(f.Kind.Name),
			Urgency:     fleet.Urgency(f.Kind.Urgency),
			Weight:      f.Kind.Weight,
			Share:       f.Kind.Share,
			Deadline:    c.Duration(key+".Kind.Deadline", f.Kind.Deadline, 0),
			IdleTimeout: c.Duration(key+".Kind.IdleTimeout", f.Kind.IdleTimeout, 0),
			Idempotent:  f.Kind.Idempotent,
		},
	}
	c.unmarshalText(key+".Protocol", f.Protocol, &l.Protocol)
	if f.Kind.Urgency < 0 || f.Kind.Urgency > 255 {
		c.AddFault(key+".Kind.Urgency", "must be between 0 and 255")
	}
	if l.Answers != fleet.Direct && l.Answers != fleet.Through {
		c.AddFault(key+".Answers", "must be Direct or Through")
	}
	c.reportInvalid(key+".Kind", l.Kind.Validate())
	return l
}

func (c *checker) target(key string, id fleet.ServiceID, zone fleet.ZoneID, f *fileTarget) fleet.Target {
	t := fleet.Target{
		ID:              fleet.TargetID{Service: id, Address: c.Address(key+".Address", f.Address), Incarnation: 1},
		Zone:            zone,
		Slots:           f.Slots,
		ConnectionLimit: f.ConnectionLimit,
		State:           fleet.TargetReady,
	}
	if f.Slots < 1 {
		c.AddFault(key+".Slots", "must be at least 1")
	}
	if f.ConnectionLimit < 1 {
		c.AddFault(key+".ConnectionLimit", "must be at least 1")
	}
	return t
}

// checkReferences checks values of the settings that refer to other values.
func (c *checker) checkReferences(s *Settings) {
	selfFound := false
	vms := make(map[fleet.VMID]bool)
	for i, z := range s.Zones {
		for j, m := range z.Members {
			if vms[m.ID] {
				c.AddFault(fmt.Sprintf("Zones[%d].Members[%d].ID", i, j), "duplicate VM %q", m.ID)
			}
			vms[m.ID] = true
			if m.ID == s.ID {
				selfFound = true
				c.checkSelf(fmt.Sprintf("Zones[%d].Members[%d]", i, j), s, z.ID, m)
			}
		}
		for j, id := range z.Services {
			if _, ok := s.Services[id]; !ok {
				c.AddFault(fmt.Sprintf("Zones[%d].Services[%d]", i, j), "unknown service %q", id)
			}
		}
	}
	if !selfFound {
		c.AddFault("ID", "no member of Zones has the ID %q", s.ID)
	}
	c.checkListeners(s)
}

func (c *checker) checkSelf(key string, s *Settings, zone fleet.ZoneID, m fleet.VM) {
	if zone != s.Zone {
		c.AddFault(key+".ID", "is this VM's ID, but this VM is in zone %q", s.Zone)
	}
	if m.Data != s.Data || m.HTTP != s.HTTP || m.Control != s.Control {
		c.AddFault(key, "must have the Control, Data and HTTP addresses of this VM")
	}
}

func (c *checker) checkListeners(s *Settings) {
	seen := make(map[fleet.ListenerKey]bool)
	for _, l := range s.Listeners {
		key := fleet.ListenerKey{Address: l.Address, Protocol: l.Protocol}
		if seen[key] && l.Address.IsValid() {
			c.AddFault("Services", "duplicate listener %s %s", l.Protocol, l.Address)
		}
		seen[key] = true
	}
}

// unmarshalText decodes text into v and reports a fault if that fails.
func (c *checker) unmarshalText(key, text string, v encoding.TextUnmarshaler) {
	c.reportInvalid(key, v.UnmarshalText([]byte(text)))
}

// reportInvalid reports err, if any, as a fault. A FieldError of a Kind is
// reported at the key of its field.
func (c *checker) reportInvalid(key string, err error) {
	var field *fleet.FieldError
	switch {
	case err == nil:
	case errors.As(err, &field) && field.Type == "Kind":
		// Checker.Duration has already reported the faults of these two fields.
		if field.Field != "Deadline" && field.Field != "IdleTimeout" {
			c.AddFault(key+"."+field.Field, "%s", field.Reason)
		}
	case errors.As(err, &field):
		c.AddFault(key, "%s", field.Reason)
	default:
		c.AddFault(key, "%v", err)
	}
}
