package settings

import (
	"fmt"
	"strings"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Codes of errors on the wire.
const (
	CodeConflict  Code = "Conflict"
	CodeExpired   Code = "OperationExpired"
	CodeReused    Code = "OperationReused"
	CodeForbidden Code = "Forbidden"
	CodeInvalid   Code = "Invalid"
	CodeLimit     Code = "LimitExceeded"
	CodeNotFound  Code = "NotFound"
	CodePath      Code = "BadPath"
	CodeOperation Code = "BadOperation"
	CodeOther     Code = "Other"
)

type (
	// Code identifies a type of error on the wire.
	Code string

	// ConflictError reports a write that expects a revision other than the
	// current one.
	ConflictError struct {
		Path    Path
		Expect  fleet.Revision
		Current fleet.Revision
	}

	// OperationExpiredError reports an operation id that is so old that its
	// result may have been removed.
	OperationExpiredError struct {
		Operation OperationID
	}

	// OperationReusedError reports an operation id that was already used for
	// another write.
	OperationReusedError struct {
		Operation OperationID
	}

	// ForbiddenError reports a write that the writer's key does not allow.
	ForbiddenError struct {
		Path Path
	}

	// Fault is one error in a document. Line is 0 if the line is unknown.
	Fault struct {
		Path   Path   `json:"Path" cbor:"1,keyasint"`
		Key    string `json:"Key" cbor:"2,keyasint"`
		Line   int    `json:"Line,omitempty" cbor:"3,keyasint"`
		Reason string `json:"Reason" cbor:"4,keyasint"`
	}

	// InvalidError reports all faults of a document.
	InvalidError struct {
		Faults []Fault
	}

	// LimitError reports a size or a rate above its limit.
	LimitError struct {
		Limit string
		Value int
		Max   int
	}

	// NotFoundError reports a path without a document.
	NotFoundError struct {
		Path Path
	}

	// PathError reports a path that no document can have.
	PathError struct {
		Path   string
		Reason string
	}

	// OtherError holds the code and the reason of a result whose code has no
	// other error type in this package.
	OtherError struct {
		Code   Code
		Reason string
	}

	// OperationError reports an operation id that is malformed or whose time
	// of issue is in the future.
	OperationError struct {
		Operation string
		Reason    string
	}
)

// Error names the path and both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: the write expects revision %d, but the current revision is %d", e.Path, e.Expect, e.Current)
}

// Error names the operation id.
func (e *OperationExpiredError) Error() string {
	return fmt.Sprintf("operation id %s has expired; the write was not applied by this request", e.Operation)
}

// Error names the operation id.
func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("operation id %s was already used for another write", e.Operation)
}

// Error names the path.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%s: the key does not allow writes to this path", e.Path)
}

// Error names the path, the line, the key and the reason.
func (f Fault) Error() string {
	if f.Line > 0 {
		return fmt.Sprintf("%s:%d: %s: %s", f.Path, f.Line, f.Key, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.Path, f.Key, f.Reason)
}

// Error lists all faults.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

// Error names the limit, the value and the maximum.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s is %d, but at most %d is allowed", e.Limit, e.Value, e.Max)
}

// Error names the path.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s: no such document", e.Path) }

// Error names the path and the reason.
func (e *PathError) Error() string { return fmt.Sprintf("path %q: %s", e.Path, e.Reason) }

// Error names the code and the reason.
func (e *OtherError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Reason) }

// Error names the operation id and the reason.
func (e *OperationError) Error() string {
	return fmt.Sprintf("operation id %q: %s", e.Operation, e.Reason)
}
