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
	// Expired means that the deadline or the idle timeout passed.
	Expired
)

// Causes of a refusal. The set is bounded, since a cause is a metric label.
const (
	// CauseUnknownKind means that the target does not serve the kind.
	CauseUnknownKind Cause = "UnknownKind"
	// CauseNotServing means that the target accepts no new flows.
	CauseNotServing Cause = "NotServing"
	// CauseDeadline means that the request is expected to miss its deadline, or
	// that the packets of the request alone exceed the queue's byte limit.
	CauseDeadline Cause = "Deadline"
	// CauseQueueFull means that the kind's queue has reached its limit in
	// requests, bytes or expected wait, and no queued request could be evicted.
	CauseQueueFull Cause = "QueueFull"
)

type (
	// Result says how a started request ended.
	Result uint8

	// Cause is the reason for a refusal.
	Cause string

	// Request is a request as the owner of its target sees it.
	Request struct {
		Flow     fleet.FlowKey
		Kind     fleet.KindName
		Arrived  time.Time
		Deadline time.Time
		// Bytes is the size of the packets held while the request is queued.
		Bytes int
	}

	// RefusalError reports a request that was refused and not run.
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
