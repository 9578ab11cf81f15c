package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

// StatusPath is the HTTP path at which an entry VM serves its Status.
const StatusPath = "/Status"

type (
	// Status is the state of an entry VM, including the state of the zones in the
	// VM's view.
	Status struct {
		ID       fleet.VMID   `json:"ID"`
		Zone     fleet.ZoneID `json:"Zone"`
		Health   string       `json:"Health"`
		Epoch    fleet.Epoch  `json:"Epoch"`
		Sealed   bool         `json:"Sealed"`
		HasLease bool         `json:"HasLease"`
		// Voting reports whether this VM is a voting member of the council. A
		// rolling restart waits until Voting is true before it restarts the next VM.
		Voting   bool           `json:"Voting"`
		Revision fleet.Revision `json:"Revision"`
		// RevisionAt is the time at which this VM applied the settings revision
		// Revision, according to the VM's clock.
		RevisionAt time.Time    `json:"RevisionAt"`
		Members    []fleet.VMID `json:"Members"`
		Zones      []ZoneStatus `json:"Zones"`
		// KnownTargets is the number of targets in the view.
		KnownTargets int `json:"KnownTargets"`
		// Targets are the targets that this VM owns. If each VM listed all targets
		// of its zone, the lists of 2,900 VMs would take half a gigabyte.
		Targets    []TargetStatus `json:"Targets"`
		Flows      int            `json:"Flows"`
		Forwarded  uint64         `json:"Forwarded"`
		Refused    uint64         `json:"Refused"`
		Dropped    uint64         `json:"Dropped"`
		HeldStarts int            `json:"HeldStarts"`
	}

	// Voter is implemented by a Membership that knows whether this VM is a voting
	// member of the council.
	Voter interface {
		Voting() bool
	}

	// ZoneStatus is the state of a zone in this VM's view.
	ZoneStatus struct {
		ID        fleet.ZoneID            `json:"ID"`
		State     fleet.ZoneState         `json:"State"`
		Reachable bool                    `json:"Reachable"`
		VMs       int                     `json:"VMs"`
		Spare     map[fleet.ServiceID]int `json:"Spare,omitempty"`
	}

	// TargetStatus is a target and its owner.
	TargetStatus struct {
		ID    fleet.TargetID    `json:"ID"`
		State fleet.TargetState `json:"State"`
		Owner fleet.VMID        `json:"Owner"`
	}
)

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The status line is already sent, so a write error cannot be reported.
	_ = json.NewEncoder(w).Encode(d.status(time.Now()))
}

func (d *Daemon) status(now time.Time) *Status {
	s := &Status{ID: d.Settings.ID, Zone: d.Settings.Zone, Health: "healthy"}
	if reason := d.unhealthyReason(now); reason != "" {
		s.Health = reason
	}
	for _, shard := range d.shards {
		s.addStats(shard.stats.Load())
	}
	if voter, ok := d.Membership.(Voter); ok {
		s.Voting = voter.Voting()
	}
	v := d.view.Load()
	if v == nil {
		return s
	}
	s.Epoch, s.Sealed, s.Revision = v.Epoch, v.Sealed, v.Revision
	s.RevisionAt = time.Unix(0, d.revisionAt.Load())
	s.HasLease = now.UnixNano() < d.leaseUntil.Load()
	for i := range v.Members {
		s.Members = append(s.Members, v.Members[i].ID)
	}
	for i := range v.Zones {
		z := &v.Zones[i]
		s.Zones = append(s.Zones, ZoneStatus{ID: z.ID, State: z.State, Reachable: z.Reachable, VMs: len(z.Members), Spare: z.Spare})
	}
	s.KnownTargets = len(v.Targets)
	owners := placement.New(v)
	for i := range v.Targets {
		t := &v.Targets[i]
		if owner := owners.Owner(t.ID.Key()); owner == s.ID {
			s.Targets = append(s.Targets, TargetStatus{ID: t.ID, State: t.State, Owner: owner})
		}
	}
	return s
}

func (s *Status) addStats(stats *balancer.Stats) {
	s.Flows += stats.Flows
	s.Forwarded += stats.Forwarded
	s.HeldStarts += stats.Held
	for _, n := range stats.Refused {
		s.Refused += n
	}
	for _, n := range stats.Dropped {
		s.Dropped += n
	}
}

// UnreachableZones returns the IDs of the zones that this VM can't reach.
func (s *Status) UnreachableZones() []string {
	var out []string
	for _, z := range s.Zones {
		if !z.Reachable {
			out = append(out, string(z.ID))
		}
	}
	return out
}
