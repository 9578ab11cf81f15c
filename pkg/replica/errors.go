package replica

import (
	"fmt"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// CorruptError reports stored bytes that were durable and no longer match
	// their checksum, or a file that is missing. Offset is in bytes.
	CorruptError struct {
		File   string
		Offset int64
		Reason string
	}

	// DiskError reports a failed operation on a file or, where File is empty,
	// on the data directory.
	DiskError struct {
		Op   string
		File string
		Err  error
	}

	// StoppedError reports that the replica has stopped for good; Err is the
	// failure that stopped it.
	StoppedError struct{ Err error }

	// NotLeaderError reports a request that only a leader takes; Leader is
	// empty where no leader is known.
	NotLeaderError struct{ Leader fleet.VMID }

	// OutcomeUnknownError reports that the replica lost its leadership before
	// the entry at Index committed. The entry may still commit.
	OutcomeUnknownError struct{ Index Index }

	// TooLargeError reports a command above the limit, in bytes.
	TooLargeError struct{ Size, Limit int }

	// BusyError reports that uncommitted entries fill their limit, in bytes.
	BusyError struct{ Pending, Limit int }

	// ChangeError reports a refused change of the replicas.
	ChangeError struct {
		VM     fleet.VMID
		Reason string
	}

	// DecodeError reports bytes that are not a valid encoding of What.
	DecodeError struct {
		What string
		Err  error
	}

	// InvariantError reports a violated invariant of the protocol. The replica
	// stops rather than continue on a log that it can't trust.
	InvariantError struct{ Reason string }

	// NotEmptyError reports a bootstrap of a directory that holds a log.
	NotEmptyError struct{ File string }
)

// Error names the file and the offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", e.File, e.Offset, e.Reason)
}

// Error names the operation and the file.
func (e *DiskError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Err) }

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }

// Error returns the cause of the stop.
func (e *StoppedError) Error() string { return fmt.Sprintf("replica stopped: %v", e.Err) }

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Err }

// Error names the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}

// Error names the entry.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("leadership lost before entry %d committed; its outcome is unknown", e.Index)
}

// Error names size and limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("command of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
}

// Error names size and limit.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d bytes of uncommitted entries reach the limit of %d bytes", e.Pending, e.Limit)
}

// Error names the VM and the reason.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change of replica %s refused: %s", e.VM, e.Reason)
}

// Error names what failed to decode.
func (e *DecodeError) Error() string { return fmt.Sprintf("invalid %s: %v", e.What, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Error returns the reason.
func (e *InvariantError) Error() string { return "invariant violated: " + e.Reason }

// Error names the file that was found.
func (e *NotEmptyError) Error() string {
	return fmt.Sprintf("data directory already holds a log in %s", e.File)
}
