package fleet

import (
	"net/netip"
	"time"
)

// Paths by which a target's answers reach the caller.
const (
	// Direct answers go from the target to the caller.
	Direct AnswerPath = "Direct"
	// Through answers pass through an entry VM, which matches each answer to
	// its flow.
	Through AnswerPath = "Through"
)

// Outcomes of a request that was not answered.
const (
	// NotRun means that no packet of the request was sent to any target, and
	// that none will be.
	NotRun Outcome = "NotRun"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "Unknown"
	// DeadlinePassed means that the answer did not arrive before the deadline.
	DeadlinePassed Outcome = "DeadlinePassed"
)

// States of a zone in the settings.
const (
	// ZoneIn is the normal state of a zone.
	ZoneIn ZoneState = "In"
	// ZoneOut is set by an operator who knows that the zone is switched off.
	ZoneOut ZoneState = "Out"
)

// States of a target, named as in the target state chart.
const (
	TargetAnnounced TargetState = "Announced"
	TargetCold      TargetState = "Cold"
	TargetReady     TargetState = "Ready"
	TargetDraining  TargetState = "Draining"
	TargetGone      TargetState = "Gone"
)

type (
	// AnswerPath says how a target's answers reach the caller.
	AnswerPath string
	// Outcome classifies a request that was not answered.
	Outcome string
	// ZoneState says whether a zone can be the home zone of flows.
	ZoneState string
	// TargetState is a state of the target state chart.
	TargetState string
)

// Kind is a kind of work with its urgency, limits and retry semantics.
type Kind struct {
	Name        KindName      `toml:"Name" json:"Name" cbor:"1,keyasint"`
	Urgency     Urgency       `toml:"Urgency" json:"Urgency" cbor:"2,keyasint"`
	Weight      float64       `toml:"Weight" json:"Weight" cbor:"3,keyasint"`
	Share       float64       `toml:"Share" json:"Share" cbor:"4,keyasint"`
	Deadline    time.Duration `toml:"Deadline" json:"Deadline" cbor:"5,keyasint"`
	IdleTimeout time.Duration `toml:"IdleTimeout" json:"IdleTimeout" cbor:"6,keyasint"`
	Idempotent  bool          `toml:"Idempotent" json:"Idempotent" cbor:"7,keyasint"`
}

// Validate returns a FieldError for the first value out of range.
func (k *Kind) Validate() error {
	switch {
	case k.Name == "":
		return &FieldError{Type: "Kind", Field: "Name", Reason: "must not be empty"}
	case !(k.Weight > 0):
		return &FieldError{Type: "Kind", Field: "Weight", Reason: "must be above 0"}
	case !(k.Share >= 0 && k.Share <= 1):
		return &FieldError{Type: "Kind", Field: "Share", Reason: "must be between 0 and 1"}
	case k.Deadline <= 0:
		return &FieldError{Type: "Kind", Field: "Deadline", Reason: "must be above 0"}
	case k.IdleTimeout <= 0:
		return &FieldError{Type: "Kind", Field: "IdleTimeout", Reason: "must be above 0"}
	}
	return nil
}

// Listener maps an address, protocol and port to a service and a kind.
type Listener struct {
	Address  netip.AddrPort `toml:"Address" json:"Address" cbor:"1,keyasint"`
	Protocol Protocol       `toml:"Protocol" json:"Protocol" cbor:"2,keyasint"`
	Service  ServiceID      `toml:"Service" json:"Service" cbor:"3,keyasint"`
	Kind     Kind           `toml:"Kind" json:"Kind" cbor:"4,keyasint"`
	Answers  AnswerPath     `toml:"Answers" json:"Answers" cbor:"5,keyasint"`
}

// Validate returns a FieldError for the first value out of range.
func (l *Listener) Validate() error {
	switch {
	case !l.Address.IsValid() || l.Address.Port() == 0:
		return &FieldError{Type: "Listener", Field: "Address", Reason: "must be an IP address and port"}
	case l.Protocol != TCP && l.Protocol != UDP:
		return &FieldError{Type: "Listener", Field: "Protocol", Reason: "must be tcp or udp"}
	case l.Service == "":
		return &FieldError{Type: "Listener", Field: "Service", Reason: "must not be empty"}
	case l.Answers != Direct && l.Answers != Through:
		return &FieldError{Type: "Listener", Field: "Answers", Reason: "must be Direct or Through"}
	}
	return l.Kind.Validate()
}

// Target is one announced target of a zone.
type Target struct {
	ID              TargetID    `json:"ID" cbor:"1,keyasint"`
	Zone            ZoneID      `json:"Zone" cbor:"2,keyasint"`
	Slots           int         `json:"Slots" cbor:"3,keyasint"`
	ConnectionLimit int         `json:"ConnectionLimit" cbor:"4,keyasint"`
	State           TargetState `json:"State" cbor:"5,keyasint"`
}

// Validate returns a FieldError for the first value out of range.
func (t *Target) Validate() error {
	switch {
	case t.ID.Service == "":
		return &FieldError{Type: "Target", Field: "ID.Service", Reason: "must not be empty"}
	case !t.ID.Address.IsValid() || t.ID.Address.Port() == 0:
		return &FieldError{Type: "Target", Field: "ID.Address", Reason: "must be an IP address and port"}
	case t.Zone == "":
		return &FieldError{Type: "Target", Field: "Zone", Reason: "must not be empty"}
	case t.Slots < 1:
		return &FieldError{Type: "Target", Field: "Slots", Reason: "must be at least 1"}
	case t.ConnectionLimit < 1:
		return &FieldError{Type: "Target", Field: "ConnectionLimit", Reason: "must be at least 1"}
	}
	switch t.State {
	case TargetAnnounced, TargetCold, TargetReady, TargetDraining, TargetGone:
		return nil
	}
	return &FieldError{Type: "Target", Field: "State", Reason: "is not a state of the target chart"}
}

// TakesNewFlows reports whether new flows may be placed on the target.
func (t *Target) TakesNewFlows() bool {
	return t.State == TargetReady || t.State == TargetCold
}
