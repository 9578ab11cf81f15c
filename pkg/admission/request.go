package admission

import (
	"fmt"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Results of a started request.
const (
	// Completed means that the target answered.
	Completed Result = iota + 1
	// Shed means that the target refused the request without running it.
	Shed
	// Cancelled means that the caller or an owner cancelled the request.
	Cancelled
	// Expired means that the deadline or idle timeout passed.
	Expired
)

// Causes of a refusal; the set is bounded, since it is a metric label.
const (
	// CauseUnknownKind means that the target does not serve the kind.
	CauseUnknownKind Cause = "UnknownKind"
	// CauseNotServing means that the target takes no new flows.
	CauseNotServing Cause = "NotServing"
	// CauseDeadline means that the request can't end by its deadline.
	CauseDeadline Cause = "Deadline"
	// CauseQueueFull means that the kind's queue has reached its bound.
	CauseQueueFull Cause = "QueueFull"
)

type (
	// Result says how a started request ended.
	Result uint8

	// Cause is the reason of a refusal.
	Cause string

	// Request is one request as its owner sees it.
	Request struct {
		Flow     fleet.FlowKey
		Kind     fleet.KindName
		Arrived  time.Time
		Deadline time.Time
		// Bytes is the memory of the packets held while the request waits.
		Bytes int
	}

	// RefusalError reports a request that was refused and surely not run.
	RefusalError struct {
		Flow  fleet.FlowKey
		Kind  fleet.KindName
		Cause Cause
	}
)

// Error returns the kind, the flow and the cause.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("%s request of %s refused: %s", e.Kind, e.Flow, e.Cause)
}
