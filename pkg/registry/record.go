package registry

import (
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// Sequence orders the announcements of one life of a target.
	Sequence uint64

	// Version numbers the changes of one Registry value.
	Version uint64

	// Record is what is known of one target. Durations are relative to the
	// moment at which the record was made, so that no clocks are compared.
	Record struct {
		Target fleet.Target `cbor:"1,keyasint"`
		// Born is the start of the target's process in Unix milliseconds.
		Born     int64    `cbor:"2,keyasint"`
		Sequence Sequence `cbor:"3,keyasint"`
		// Warmup is the time for which the target remains slow after its start.
		Warmup time.Duration `cbor:"4,keyasint,omitempty"`
		// Age is the time since the target was heard.
		Age time.Duration `cbor:"5,keyasint,omitempty"`
		// Silent is set where the target has not been heard for too long.
		Silent bool `cbor:"6,keyasint,omitempty"`
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

// Gone reports whether the target has ended.
func (r *Record) Gone() bool { return r.Target.State == fleet.TargetGone }

// State returns the state of the target, or StateSilent where it is not heard.
func (r *Record) State() fleet.TargetState {
	if r.Silent {
		return StateSilent
	}
	return r.Target.State
}

// newerThan reports whether r tells later news of the same target than o.
func (r *Record) newerThan(o *Record) bool {
	if r.Born != o.Born {
		return r.Born > o.Born
	}
	if o.Gone() || r.Gone() {
		return r.Gone() && !o.Gone()
	}
	return r.Sequence > o.Sequence
}
