package registry

import (
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// Sequence orders the announcements of one process of a target.
	Sequence uint64

	// Version counts the changes in one Registry. An announcement that only renews
	// a target is not a change.
	Version uint64

	// Heard tells another registry that a target has renewed its announcement,
	// without the record, which the other registry has. Age is the time in
	// milliseconds since the announcement.
	Heard struct {
		_      struct{} `cbor:",toarray"`
		Target fleet.Incarnation
		Age    uint32
	}

	// Leave is a target's call that it has stopped.
	Leave struct {
		Target fleet.Incarnation
		// Born is the Record.Born of the process that has stopped, or 0 if the call does
		// not tell it. The call may then be a late one of an earlier process of the
		// target.
		Born int64
	}

	// Record describes one target. Its durations are relative to the time at
	// which the record was created, so that the clocks of two VMs are never
	// compared.
	Record struct {
		Target fleet.Target `cbor:"1,keyasint"`
		// Born is the start of the target's process in Unix milliseconds.
		Born     int64    `cbor:"2,keyasint"`
		Sequence Sequence `cbor:"3,keyasint"`
		// Warmup is the remaining time until the target reaches full speed.
		Warmup time.Duration `cbor:"4,keyasint,omitempty"`
		// Age is the time since the target's last announcement, or since its end
		// if the target is gone.
		Age time.Duration `cbor:"5,keyasint,omitempty"`
		// Silent is set if the target has sent no announcement for longer than
		// Registry.SilenceLimit.
		Silent bool `cbor:"6,keyasint,omitempty"`
		// Holders lists the entry VMs that share the budget of the target while it is
		// cold, by their HolderHash. It is empty if the target is not cold or its
		// service states no cold rate.
		Holders []uint32 `cbor:"7,keyasint,omitempty"`
		// ZoneRevision is the revision of the last restore of the target's zone that
		// was in force at the VM that received the announcement, 0 if there was none.
		ZoneRevision catalog.ZoneRevision `cbor:"8,keyasint,omitempty"`
		// Left is set if the target is gone because its process has said so. Otherwise
		// its end was inferred, and an announcement of the process refutes it.
		Left bool `cbor:"9,keyasint,omitempty"`
		// Revision counts the ends of the process that its announcements have refuted, and
		// Era the later starts of the target that announcements of the process have.
		Revision uint32 `cbor:"10,keyasint,omitempty"`
		Era      uint32 `cbor:"11,keyasint,omitempty"`
	}
)

// Validate returns a fleet.FieldError for the first value out of range.
func (r *Record) Validate() error {
	if err := r.Target.Validate(); err != nil {
		return err
	}
	if r.Target.ID.Incarnation == 0 {
		return &fleet.FieldError{Type: "Record", Field: "Target.ID.Incarnation", Reason: "must not be 0"}
	}
	if r.Warmup < 0 || r.Age < 0 {
		return &fleet.FieldError{Type: "Record", Field: "Warmup", Reason: fmt.Sprintf("%v and Age %v must not be negative", r.Warmup, r.Age)}
	}
	return nil
}

// Gone reports whether the target has stopped or lost its address.
func (r *Record) Gone() bool { return r.Target.State == fleet.TargetGone }

// State returns the state of the target, or StateSilent if the target is silent.
func (r *Record) State() fleet.TargetState {
	if r.Silent {
		return StateSilent
	}
	return r.Target.State
}

// NewerThan reports whether r is newer than o, a record of the same target.
func (r *Record) NewerThan(o *Record) bool {
	switch {
	case r.Era != o.Era:
		return r.Era > o.Era
	case r.Born != o.Born:
		return r.Born > o.Born
	case r.Revision != o.Revision:
		return r.Revision > o.Revision
	}
	if o.Gone() || r.Gone() {
		return r.Gone() && !o.Gone()
	}
	return r.Sequence > o.Sequence
}
