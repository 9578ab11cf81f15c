package timeline

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Kinds of events; the set is bounded, since the kind is a metric label.
const (
	KindStart    Kind = "Start"    // a process started
	KindStop     Kind = "Stop"     // a process stopped or began to leave the view
	KindMember   Kind = "Member"   // a VM's membership state changed
	KindView     Kind = "View"     // view proposed, adopted, sealed or applied
	KindLease    Kind = "Lease"    // a VM gained or lost its lease
	KindOwner    Kind = "Owner"    // the VM that owns a target changed
	KindTarget   Kind = "Target"   // a target's state changed
	KindSettings Kind = "Settings" // a settings revision took effect
	KindRefuse   Kind = "Refuse"   // a request was refused
	KindFlow     Kind = "Flow"     // flow taken over, or its deadline passed
	KindLimit    Kind = "Limit"    // a limit or queue changed
	KindElection Kind = "Election" // a replica changed its role or term
	KindSnapshot Kind = "Snapshot" // a replica wrote or loaded a snapshot
	KindFault    Kind = "Fault"    // an error that needs an operator
)

type (
	// Kind classifies events.
	Kind string

	// Stamp is a timestamp of a hybrid logical clock: wall time in nanoseconds
	// since the Unix epoch, and a counter that orders stamps of equal wall time.
	Stamp struct {
		Wall    int64  `json:"Wall" cbor:"1,keyasint"`
		Counter uint32 `json:"Counter" cbor:"2,keyasint"`
	}

	// Event is one entry of the timeline; fields that do not apply are empty.
	Event struct {
		Stamp    Stamp           `json:"Stamp"`
		Process  fleet.VMID      `json:"Process"`
		Sequence uint64          `json:"Sequence"`
		Kind     Kind            `json:"Kind"`
		Name     string          `json:"Name"`
		Zone     fleet.ZoneID    `json:"Zone,omitempty"`
		VM       fleet.VMID      `json:"VM,omitempty"`
		Target   string          `json:"Target,omitempty"`
		Service  fleet.ServiceID `json:"Service,omitempty"`
		Flow     string          `json:"Flow,omitempty"`
		Epoch    fleet.Epoch     `json:"Epoch,omitempty"`
		Revision fleet.Revision  `json:"Revision,omitempty"`
		Cause    string          `json:"Cause,omitempty"`
		Detail   string          `json:"Detail,omitempty"`
	}

	// Recorder records events. Record sets Stamp, Process and Sequence.
	Recorder interface {
		Record(e Event, now time.Time)
	}

	// Discard is a Recorder that drops every event.
	Discard struct{}
)

var _ Recorder = Discard{}

// Record drops the event.
func (Discard) Record(Event, time.Time) {}
