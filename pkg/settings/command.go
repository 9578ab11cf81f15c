package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Limits of operation ids.
const (
	// OperationLifetime is the minimum time for which the result of an
	// operation is kept for retries, counted from the id's time of issue. A
	// write with an older id is rejected unless its result is still stored,
	// because the write may have been applied before its result was removed.
	OperationLifetime = 15 * time.Minute
	// maxClockSkew is how far an id's time of issue may be ahead of the
	// timestamp of the log entry.
	maxClockSkew       = time.Minute
	maxOperationLength = 64
)

type (
	// OperationID identifies one write. It consists of the time of issue in
	// Unix milliseconds, a dash, and a random part.
	OperationID string

	// Write is the command that puts or deletes one document.
	Write struct {
		Operation OperationID `json:"Operation" cbor:"1,keyasint"`
		Path      Path        `json:"Path" cbor:"2,keyasint"`
		// Expect is the revision that the document must have when the write is
		// applied; 0 means that the document must not exist.
		Expect fleet.Revision `json:"Expect" cbor:"3,keyasint"`
		Text   string         `json:"Text" cbor:"4,keyasint"`
		Delete bool           `json:"Delete" cbor:"5,keyasint"`
		// KeyHash is the SHA-256 hash of the writer's key in hexadecimal; the
		// key itself is never written to the log.
		KeyHash string `json:"-" cbor:"6,keyasint"`
		// Root is true if the replica that received the write has verified that
		// the writer's key is the operators' root key.
		Root bool `json:"-" cbor:"7,keyasint"`
	}

	// Result is the outcome of a write. If the write was accepted, Revision is
	// the new revision of the document. If the write was rejected, Code names
	// the type of the error, and the other fields hold the error's fields.
	Result struct {
		Revision  fleet.Revision `json:"Revision,omitempty" cbor:"1,keyasint,omitempty"`
		Code      Code           `json:"Code,omitempty" cbor:"2,keyasint,omitempty"`
		Path      Path           `json:"Path,omitempty" cbor:"3,keyasint,omitempty"`
		Expect    fleet.Revision `json:"Expect,omitempty" cbor:"4,keyasint,omitempty"`
		Current   fleet.Revision `json:"Current,omitempty" cbor:"5,keyasint,omitempty"`
		Faults    []Fault        `json:"Faults,omitempty" cbor:"6,keyasint,omitempty"`
		Limit     string         `json:"Limit,omitempty" cbor:"7,keyasint,omitempty"`
		Value     int            `json:"Value,omitempty" cbor:"8,keyasint,omitempty"`
		Max       int            `json:"Max,omitempty" cbor:"9,keyasint,omitempty"`
		Operation OperationID    `json:"Operation,omitempty" cbor:"10,keyasint,omitempty"`
		Reason    string         `json:"Reason,omitempty" cbor:"11,keyasint,omitempty"`
	}

	// DecodeError reports bytes that are not a valid encoding of Type, or a
	// value that can't be encoded.
	DecodeError struct {
		Type string
		Err  error
	}
)

// Error names the type and the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Type, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// NewOperationID returns an id with the time of issue now and the given
// random part.
func NewOperationID(now time.Time, random uint64) OperationID {
	return OperationID(fmt.Sprintf("%d-%016x", now.UnixMilli(), random))
}

// Time returns the time of issue, or an OperationError if the id is malformed.
func (id OperationID) Time() (time.Time, error) {
	millis, random, ok := strings.Cut(string(id), "-")
	ms, err := strconv.ParseInt(millis, 10, 64)
	if !ok || err != nil || ms < 0 || random == "" || len(id) > maxOperationLength {
		return time.Time{}, &OperationError{Operation: string(id), Reason: "must be a time in milliseconds, a dash and a random part"}
	}
	return time.UnixMilli(ms), nil
}

// HashKey returns the SHA-256 hash of a key in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Validate checks the path, the form of the operation id, and the size of the
// text. It returns a PathError, an OperationError or a LimitError.
func (w *Write) Validate() error {
	if _, err := ParsePath(string(w.Path)); err != nil {
		return err
	}
	if _, err := w.Operation.Time(); err != nil {
		return err
	}
	if len(w.Text) > MaxDocumentSize {
		return &LimitError{Limit: "document size in bytes", Value: len(w.Text), Max: MaxDocumentSize}
	}
	return nil
}

// Encode returns the command for the replicated log.
func (w *Write) Encode() []byte { return mustMarshal(w) }

// DecodeWrite decodes and validates a command. It returns a DecodeError for
// bytes that can't be decoded, or else the error of Validate.
func DecodeWrite(b []byte) (*Write, error) {
	w := new(Write)
	if err := cbor.Unmarshal(b, w); err != nil {
		return nil, &DecodeError{Type: "Write", Err: err}
	}
	if err := w.Validate(); err != nil {
		return nil, err
	}
	return w, nil
}

// DecodeResult decodes a result, or returns a DecodeError.
func DecodeResult(b []byte) (*Result, error) {
	r := new(Result)
	if err := cbor.Unmarshal(b, r); err != nil {
		return nil, &DecodeError{Type: "Result", Err: err}
	}
	return r, nil
}

// Encode returns the encoded result.
func (r *Result) Encode() []byte { return mustMarshal(r) }

// Err returns the typed error that the result holds, or nil.
func (r *Result) Err() error {
	switch r.Code {
	case "":
		return nil
	case CodeConflict:
		return &ConflictError{Path: r.Path, Expect: r.Expect, Current: r.Current}
	case CodeExpired:
		return &OperationExpiredError{Operation: r.Operation}
	case CodeReused:
		return &OperationReusedError{Operation: r.Operation}
	case CodeForbidden:
		return &ForbiddenError{Path: r.Path}
	case CodeInvalid:
		return &InvalidError{Faults: r.Faults}
	case CodeLimit:
		return &LimitError{Limit: r.Limit, Value: r.Value, Max: r.Max}
	case CodeNotFound:
		return &NotFoundError{Path: r.Path}
	case CodePath:
		return &PathError{Path: string(r.Path), Reason: r.Reason}
	case CodeOperation:
		return &OperationError{Operation: string(r.Operation), Reason: r.Reason}
	}
	return &OtherError{Code: r.Code, Reason: r.Reason}
}

// ResultOf converts a typed error to a result; Result.Err converts the result
// back. An error of any other type gets CodeOther, with the error's text as
// the reason.
func ResultOf(err error) Result {
	var (
		conflict  *ConflictError
		expired   *OperationExpiredError
		reused    *OperationReusedError
		forbidden *ForbiddenError
		invalid   *InvalidError
		limit     *LimitError
		notFound  *NotFoundError
		path      *PathError
		operation *OperationError
	)
	switch {
	case errors.As(err, &conflict):
		return Result{Code: CodeConflict, Path: conflict.Path, Expect: conflict.Expect, Current: conflict.Current}
	case errors.As(err, &expired):
		return Result{Code: CodeExpired, Operation: expired.Operation}
	case errors.As(err, &reused):
		return Result{Code: CodeReused, Operation: reused.Operation}
	case errors.As(err, &forbidden):
		return Result{Code: CodeForbidden, Path: forbidden.Path}
	case errors.As(err, &invalid):
		return Result{Code: CodeInvalid, Faults: invalid.Faults}
	case errors.As(err, &limit):
		return Result{Code: CodeLimit, Limit: limit.Limit, Value: limit.Value, Max: limit.Max}
	case errors.As(err, &notFound):
		return Result{Code: CodeNotFound, Path: notFound.Path}
	case errors.As(err, &path):
		return Result{Code: CodePath, Path: Path(path.Path), Reason: path.Reason}
	case errors.As(err, &operation):
		return Result{Code: CodeOperation, Operation: OperationID(operation.Operation), Reason: operation.Reason}
	}
	return Result{Code: CodeOther, Reason: err.Error()}
}

// encoding is deterministic and keeps times to the nanosecond, so that a
// replica restored from a snapshot equals one that has applied the log.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	mode, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustMarshal encodes a value of one of this package's types. Encoding these
// types can't fail.
func mustMarshal(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
