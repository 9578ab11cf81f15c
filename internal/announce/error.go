package announce

import (
	"errors"
	"fmt"
	"net/http"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Error codes of the HTTP interface.
const (
	CodeMalformed       = "Malformed"
	CodeInvalid         = "Invalid"
	CodeTooLarge        = "TooLarge"
	CodeTooMany         = "TooManyRequests"
	CodeWrongCredential = "WrongCredential"
	CodeUnknownService  = "UnknownService"
	CodeUnknownTarget   = "UnknownTarget"
	CodeAddressHeld     = "AddressHeld"
	CodeStale           = "Stale"
	CodeTransition      = "Transition"
	CodeFull            = "Full"
	CodeNoOwner         = "NoOwner"
	CodeUnavailable     = "Unavailable"
)

type (
	// Problem is the JSON form of an error.
	Problem struct {
		Code   string `json:"Code"`
		Reason string `json:"Reason"`
	}

	// MalformedError reports a body that can't be decoded as an announcement or,
	// in a response, as a grant.
	MalformedError struct{ Err error }

	// TooLargeError reports a body that exceeds Limit bytes.
	TooLargeError struct{ Limit int64 }

	// RateError reports a client IP address that exceeds the rate limit.
	RateError struct{}

	// CredentialError reports a wrong credential for a service.
	CredentialError struct{ Service fleet.ServiceID }

	// AddressHeldError reports an address that a target of another service uses.
	AddressHeldError struct {
		Address string
		Holder  fleet.ServiceID
	}

	// StaleError reports a call of an incarnation of a target that has restarted since.
	// Registered is the present incarnation.
	StaleError struct {
		Target     fleet.TargetID
		Registered fleet.Incarnation
	}

	// RegistryFullError reports a registry that has reached its target limit.
	RegistryFullError struct{ Limit int }

	// OwnerError reports that the target's owner can't be reached or, if Owner is
	// empty, is not known.
	OwnerError struct {
		Owner fleet.VMID
		Err   error
	}

	// RemoteError is an error response of an entry VM.
	RemoteError struct {
		Status int
		Problem
	}
)

// Error implements error.
func (e *MalformedError) Error() string { return fmt.Sprintf("body is not an announcement: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *MalformedError) Unwrap() error { return e.Err }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

// Error implements error.
func (e *RateError) Error() string { return "too many announcements" }

// Error implements error.
func (e *CredentialError) Error() string {
	return fmt.Sprintf("wrong credential for service %q", e.Service)
}

// Error implements error.
func (e *AddressHeldError) Error() string {
	return fmt.Sprintf("address %s is held by service %q", e.Address, e.Holder)
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("target %s has restarted as incarnation %d", e.Target, e.Registered)
}

// Error implements error.
func (e *RegistryFullError) Error() string {
	return fmt.Sprintf("%d targets are registered, the limit", e.Limit)
}

// Error implements error.
func (e *OwnerError) Error() string {
	if e.Owner == "" {
		return "the target's owner is not known yet"
	}
	return fmt.Sprintf("owner %s can't be reached: %v", e.Owner, e.Err)
}

// Unwrap returns the underlying error.
func (e *OwnerError) Unwrap() error { return e.Err }

// Error implements error.
func (e *RemoteError) Error() string { return e.Reason }

// classify returns the HTTP status and the JSON form of an error.
func classify(err error) (int, Problem) {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Status, remote.Problem
	}
	status, code := statusOf(err)
	return status, Problem{Code: code, Reason: err.Error()}
}

func statusOf(err error) (int, string) {
	var (
		malformed  *MalformedError
		field      *fleet.FieldError
		large      *TooLargeError
		rate       *RateError
		credential *CredentialError
		unknown    *fleet.UnknownError
		held       *AddressHeldError
		stale      *StaleError
		transition *chart.TransitionError
		full       *RegistryFullError
		owner      *OwnerError
	)
	switch {
	case errors.As(err, &malformed):
		return http.StatusBadRequest, CodeMalformed
	case errors.As(err, &field):
		return http.StatusBadRequest, CodeInvalid
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, CodeTooLarge
	case errors.As(err, &rate):
		return http.StatusTooManyRequests, CodeTooMany
	case errors.As(err, &credential):
		return http.StatusForbidden, CodeWrongCredential
	case errors.As(err, &unknown) && unknown.Type == "target":
		return http.StatusNotFound, CodeUnknownTarget
	case errors.As(err, &unknown):
		return http.StatusNotFound, CodeUnknownService
	case errors.As(err, &held):
		return http.StatusConflict, CodeAddressHeld
	case errors.As(err, &stale):
		return http.StatusConflict, CodeStale
	case errors.As(err, &transition):
		return http.StatusConflict, CodeTransition
	case errors.As(err, &full):
		return http.StatusInsufficientStorage, CodeFull
	case errors.As(err, &owner):
		return http.StatusServiceUnavailable, CodeNoOwner
	}
	return http.StatusServiceUnavailable, CodeUnavailable
}
