package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

// StatusPath is where an entry VM serves its Status.
const StatusPath = "/Status"

type (
	// Status is what an entry VM knows of itself and its zone.
	Status struct {
		ID       fleet.VMID   `json:"ID"`
		Zone     fleet.ZoneID `json:"Zone"`
		Health   string       `json:"Health"`
		Epoch    fleet.Epoch  `json:"Epoch"`
		Sealed   bool         `json:"Sealed"`
		HasLease bool         `json:"HasLease"`
		// Voting is set at a council member that votes; a rolling restart waits
		// for it before the next one.
		Voting   bool           `json:"Voting"`
		Revision fleet.Revision `json:"Revision"`
		// RevisionAt is when this VM put the revision in force, by its clock.
		RevisionAt time.Time    `json:"RevisionAt"`
		Members    []fleet.VMID `json:"Members"`
		Zones      []ZoneStatus `json:"Zones"`
		// KnownTargets is the number of targets in the view.
		KnownTargets int `json:"KnownTargets"`
		// Targets are those that this VM owns; all targets of a zone at each of
		// its VMs would be half a gigabyte for 2,900 VMs.
		Targets    []TargetStatus `json:"Targets"`
		Flows      int            `json:"Flows"`
		Forwarded  uint64         `json:"Forwarded"`
		Refused    uint64         `json:"Refused"`
		Dropped    uint64         `json:"Dropped"`
		HeldStarts int            `json:"HeldStarts"`
	}

	// Voter is a Membership that knows whether this VM votes.
	Voter interface {
		Voting() bool
	}

	// ZoneStatus is another zone as this VM sees it.
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
	// The status line is out already, so a failed write has no one to tell.
	_ = json.NewEncoder(w).Encode(d.status(time.Now()))
}

func (d *Daemon) status(now time.Time) *Status {
	s := &Status{ID: d.Settings.ID, Zone: d.Settings.Zone, Health: "healthy"}
	if reason := d.unhealthy(now); reason != "" {
		s.Health = reason
	}
	for _, shard := range d.shards {
		s.add(shard.stats.Load())
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

func (s *Status) add(stats *balancer.Stats) {
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

// CutZones returns the zones that this VM can't reach.
func (s *Status) CutZones() []string {
	var out []string
	for _, z := range s.Zones {
		if !z.Reachable {
			out = append(out, string(z.ID))
		}
	}
	return out
}
