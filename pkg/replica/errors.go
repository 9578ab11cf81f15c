package replica

import (
	"fmt"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// CorruptError reports stored data that is damaged or inconsistent, or a
	// file that is missing. Offset is the position in File, in bytes.
	CorruptError struct {
		File   string
		Offset int64
		Reason string
	}

	// DiskError reports a failed operation on a file, or on the data directory
	// if File is empty. It also reports a failed Snapshot or Restore of the
	// state machine.
	DiskError struct {
		Op   string
		File string
		Err  error
	}

	// StoppedError reports that the replica has stopped permanently. Err is the
	// failure that stopped it.
	StoppedError struct{ Err error }

	// NotLeaderError reports a request to a replica that is not the leader, or a
	// read that the replica had not served when it lost the leadership or
	// stopped. Leader is empty if no leader is known.
	NotLeaderError struct{ Leader fleet.VMID }

	// OutcomeUnknownError reports that the replica lost the leadership or
	// stopped before it applied the entry at Index. The entry may still commit.
	OutcomeUnknownError struct{ Index Index }

	// TooLargeError reports a command, or an RPC of package replication, that
	// exceeds its size limit. Both values are in bytes.
	TooLargeError struct{ Size, Limit int }

	// BusyError reports a command for which there is no room. Pending is the
	// total size of the entries that are not yet applied, and Limit is
	// Options.MaxPending, both in bytes.
	BusyError struct{ Pending, Limit int }

	// MembershipError reports a refused membership change, leadership transfer or
	// Bootstrap.
	MembershipError struct {
		VM     fleet.VMID
		Reason string
	}

	// DecodeError reports a value that can't be encoded, or data that is not a
	// valid encoding. Type names the type of the value.
	DecodeError struct {
		Type string
		Err  error
	}

	// InvariantError reports a violated invariant of the protocol or of the WAL
	// format. The replica stops or does not start, because the log may be
	// invalid.
	InvariantError struct{ Reason string }

	// NotEmptyError reports a Bootstrap of a directory that already holds the
	// log segment File.
	NotEmptyError struct{ File string }
)

// Error returns the file, the offset and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", e.File, e.Offset, e.Reason)
}

// Error returns the operation, the file and the cause.
func (e *DiskError) Error() string { return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Err) }

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }

// Error returns the failure that stopped the replica.
func (e *StoppedError) Error() string { return fmt.Sprintf("replica stopped: %v", e.Err) }

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Err }

// Error returns the leader, if known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}

// Error returns the index of the entry.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("leadership lost or replica stopped before entry %d was applied; its outcome is unknown", e.Index)
}

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("command of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
}

// Error returns the pending size and the limit.
func (e *BusyError) Error() string {
	return fmt.Sprintf("no room for the command: %d bytes of entries are not yet applied, limit is %d bytes", e.Pending, e.Limit)
}

// Error returns the VM and the reason.
func (e *MembershipError) Error() string {
	return fmt.Sprintf("membership or leadership change refused for replica %s: %s", e.VM, e.Reason)
}

// Error returns the type of the value and the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("invalid %s: %v", e.Type, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Error returns the reason.
func (e *InvariantError) Error() string { return "invariant violated: " + e.Reason }

// Error returns the segment that was found.
func (e *NotEmptyError) Error() string {
	return fmt.Sprintf("data directory already holds a log in %s", e.File)
}
