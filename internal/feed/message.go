package feed

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a publisher while
	// nothing changes.
	HeartbeatInterval = 200 * time.Millisecond
	// IdleTimeout is the time without received data after which a subscriber
	// considers its publisher unreachable. It covers five heartbeat intervals and
	// some delay.
	IdleTimeout = 1200 * time.Millisecond
	// maxFrame is the maximum size of a message in bytes before compression. A
	// message with 4,300 routes and 23,000 records has about 3 MB.
	maxFrame = 8 << 20
)

// Roles of a subscriber.
const (
	Entry   Role = "Entry"
	Control Role = "Control"
)

type (
	// Role is the kind of a subscriber. It determines which changes the
	// subscriber receives.
	Role string

	// Hello is the first message of a subscriber.
	Hello struct {
		VM   fleet.VMID   `cbor:"1,keyasint"`
		Zone fleet.ZoneID `cbor:"2,keyasint"`
		Role Role         `cbor:"3,keyasint"`
		// Number is the number of the subscriber's catalog, 0 if it has none.
		Number catalog.Number `cbor:"4,keyasint"`
		// ZoneRevision is the revision of the subscriber's zones.
		ZoneRevision catalog.ZoneRevision `cbor:"5,keyasint,omitempty"`
	}

	// Greeting is the response to a Hello. Subscribers compare the greetings of
	// publishers before they request updates, which may be large.
	Greeting struct {
		// Number is the number of the publisher's catalog, 0 if it has none.
		Number catalog.Number `cbor:"1,keyasint"`
		// Current is set while the publisher is in contact with a majority of the
		// control VMs.
		Current bool `cbor:"2,keyasint,omitempty"`
		// ZoneRevision is the revision of the publisher's zones.
		ZoneRevision catalog.ZoneRevision `cbor:"3,keyasint,omitempty"`
		// UnconfirmedFor is the time since the start of the publisher's process if the
		// publisher has not been Current since then, so that no majority of the control
		// VMs has confirmed the state that it has restored. It is 0 if the publisher has
		// been Current, and if its version does not know the field.
		UnconfirmedFor time.Duration `cbor:"4,keyasint,omitempty"`
	}

	// Update holds the changes since the previous update. The first update of a
	// connection holds all targets, and the changes of the catalog since
	// Hello.Number. A heartbeat is an update without changes.
	Update struct {
		// Catalog is nil if the catalog has not changed. In a feed to a
		// control VM, only the first update can hold a catalog.
		Catalog *catalog.Delta    `cbor:"1,keyasint,omitempty"`
		Records []registry.Record `cbor:"2,keyasint,omitempty"`
		// Version is the version of the publisher's targets, which the subscriber
		// sends back in the Ack.
		Version registry.Version `cbor:"3,keyasint"`
		// Full is set if Records holds all targets that the publisher knows.
		// Complete is set if every live target has had time to announce itself to
		// the publisher, or to a control VM from which the publisher has received
		// an update with Full and Complete set.
		Full     bool `cbor:"4,keyasint,omitempty"`
		Complete bool `cbor:"5,keyasint,omitempty"`
		// Current is set while the publisher is in contact with a majority of
		// the control VMs.
		Current bool `cbor:"6,keyasint,omitempty"`
		// Hubs lists the control VMs; it is empty if the list has not changed.
		Hubs []Hub `cbor:"7,keyasint,omitempty"`
		// Reports is nil if the reports have not changed.
		Reports *Reports `cbor:"8,keyasint,omitempty"`
		// Heard lists the targets that have renewed their announcements since the
		// last heartbeat. It is sent only to hubs, in heartbeats. Renewals that
		// reached the publisher through a hub in Ack.Sources are left out.
		Heard []registry.Heard `cbor:"9,keyasint,omitempty"`
		// Zones is nil if the zones have not changed or there was no zone order. A
		// subscriber applies only a higher revision than its own.
		Zones *catalog.Zones `cbor:"10,keyasint,omitempty"`
		// Bindings lists the contested flows that entry VMs have reported. An update to a
		// hub lists those that were reported to the publisher.
		Bindings []fleet.FlowBinding `cbor:"11,keyasint,omitempty"`
		// Dropped is the number of invalid records that were left out of Records when the
		// update was received.
		Dropped int `cbor:"-"`
	}

	// Reports holds the aggregated reports of entry VMs about targets.
	Reports struct {
		// EntryVMs is the number of connected entry VMs. An update to a hub counts
		// the entry VMs that are connected to the publisher. An update to an entry
		// VM counts those that are connected to any hub.
		EntryVMs int `cbor:"1,keyasint,omitempty"`
		// Suspects holds, for each suspected target, the number of entry VMs that
		// suspect the target and are connected to the publisher. Suspects is sent
		// only to hubs.
		Suspects []ReportCount `cbor:"2,keyasint,omitempty"`
		// SharedSuspects lists the targets that several entry VMs suspect. It is
		// sent only to entry VMs.
		SharedSuspects []fleet.Incarnation `cbor:"3,keyasint,omitempty"`
		// Overdue and SharedOverdue correspond to Suspects and SharedSuspects, for
		// targets with overdue requests.
		Overdue       []ReportCount       `cbor:"4,keyasint,omitempty"`
		SharedOverdue []fleet.Incarnation `cbor:"5,keyasint,omitempty"`
		// Failed holds, for each suspected target, the number of entry VMs that are
		// connected to the publisher and whose health checks of the target have failed.
		// Answered holds the number of such entry VMs that have had an answer from the
		// target since. Both are sent only to hubs.
		Failed   []FailedCount `cbor:"8,keyasint,omitempty"`
		Answered []ReportCount `cbor:"13,keyasint,omitempty"`
		// Lost lists the lost targets, and Candidates the targets that any entry VM
		// suspects or whose announcement is late. Both are sent only to entry VMs.
		Lost       []fleet.Incarnation `cbor:"9,keyasint,omitempty"`
		Candidates []fleet.Incarnation `cbor:"12,keyasint,omitempty"`
		// Sums holds the sums of the load reports of the entry VMs that are connected to
		// the publisher. It is sent only to hubs.
		Sums *capacity.Sums `cbor:"6,keyasint,omitempty"`
		// Load holds the load of all entry VMs, or what has changed in it. It is sent
		// only to entry VMs, and nil if the publisher knows no figures.
		Load *capacity.Load `cbor:"7,keyasint,omitempty"`
	}

	// Hub is a control VM; Zone is empty if it is not known.
	Hub struct {
		VM   fleet.VMID   `cbor:"1,keyasint"`
		Zone fleet.ZoneID `cbor:"2,keyasint,omitempty"`
	}

	// Ack acknowledges an update. The first Ack on a connection acknowledges
	// nothing and requests the updates.
	Ack struct {
		Version registry.Version `cbor:"1,keyasint"`
		Number  catalog.Number   `cbor:"2,keyasint"`
		// Suspects lists the targets that the entry VM suspects.
		Suspects []fleet.Incarnation `cbor:"3,keyasint,omitempty"`
		// Overdue lists the targets at which requests that the entry VM forwarded
		// were recently overdue.
		Overdue []fleet.Incarnation `cbor:"4,keyasint,omitempty"`
		// Sources lists the hubs whose feeds a hub receives. It is empty if the
		// list has not changed since the last Ack of the connection.
		Sources []fleet.VMID `cbor:"5,keyasint,omitempty"`
		// ZoneRevision is the revision of the zones that the entry VM has applied.
		ZoneRevision catalog.ZoneRevision `cbor:"6,keyasint,omitempty"`
		// Failed lists those of Suspects that could not be reached by a health check.
		Failed []fleet.Incarnation `cbor:"8,keyasint,omitempty"`
		// Answered lists the targets in Reports.Candidates that have answered this entry
		// VM since they were listed there.
		Answered []fleet.Incarnation `cbor:"12,keyasint,omitempty"`
		// Load holds the measurements of the entry VM since its last report, if one is due.
		Load *capacity.Report `cbor:"7,keyasint,omitempty"`
		// Bindings lists contested flows that the entry VM has not reported yet.
		Bindings []fleet.FlowBinding `cbor:"13,keyasint,omitempty"`
	}

	// MessageError reports a message that can't be encoded or decoded, or that is
	// invalid.
	MessageError struct {
		Type   string
		Reason string
		Err    error
	}
)

// Equal reports whether two acknowledgements say the same. One with a load report or with
// bindings always says something new.
func (a *Ack) Equal(o *Ack) bool {
	return a.Load == nil && len(a.Bindings) == 0 && a.Version == o.Version && a.Number == o.Number && slices.Equal(a.Suspects, o.Suspects) &&
		slices.Equal(a.Overdue, o.Overdue) && slices.Equal(a.Sources, o.Sources) && a.ZoneRevision == o.ZoneRevision &&
		slices.Equal(a.Failed, o.Failed) && slices.Equal(a.Answered, o.Answered)
}

// Error returns the type of the message, the reason and the cause.
func (e *MessageError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("feed message %s: %s: %v", e.Type, e.Reason, e.Err)
	}
	return fmt.Sprintf("feed message %s: %s", e.Type, e.Reason)
}

// Unwrap returns the cause, if any.
func (e *MessageError) Unwrap() error { return e.Err }

// Validate returns a MessageError if the VM is empty or the role is unknown.
func (h *Hello) Validate() error {
	if h.VM == "" || h.Role != Entry && h.Role != Control {
		return &MessageError{Type: "Hello", Reason: "VM is empty or role is unknown"}
	}
	return nil
}

// dropInvalid removes the records that are not valid, so that one odd record does not end
// a feed, or the start from saved state, for all targets.
func (u *Update) dropInvalid() {
	before := len(u.Records)
	u.Records = slices.DeleteFunc(u.Records, func(r registry.Record) bool { return r.Validate() != nil })
	u.Dropped = before - len(u.Records)
	u.Bindings = validBindings(u.Bindings)
}

func validBindings(list []fleet.FlowBinding) []fleet.FlowBinding {
	return slices.DeleteFunc(list, func(b fleet.FlowBinding) bool { return b.Validate() != nil })
}

// Validate returns a MessageError for invalid zones or an invalid load. A catalog
// delta is validated when it is applied, and a record when it is merged.
func (u *Update) Validate() error {
	if u.Zones != nil {
		if err := u.Zones.Validate(); err != nil {
			return &MessageError{Type: "Update", Reason: "invalid zones", Err: err}
		}
	}
	if u.Reports == nil {
		return nil
	}
	if err := errors.Join(u.Reports.Sums.Validate(), u.Reports.Load.Validate()); err != nil {
		return &MessageError{Type: "Update", Reason: "invalid load", Err: err}
	}
	return nil
}

// Validate accepts every greeting.
func (*Greeting) Validate() error { return nil }

// Validate returns a MessageError for an invalid load report.
func (a *Ack) Validate() error {
	if err := a.Load.Validate(); err != nil {
		return &MessageError{Type: "Ack", Reason: "invalid load report", Err: err}
	}
	return nil
}
