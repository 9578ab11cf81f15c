// Package replica is the replicated log of the control VMs: Raft with
// pre-vote, check-quorum and leader leases, over a write-ahead log.
//
// A Replica is a deterministic state machine. It has no goroutine, socket or
// clock; its owner passes messages, time and proposals in, and sends what an
// Output contains. Disk operations block the caller. Step, Propose, Read and
// Change only collect work, and Flush makes it durable with one sync before it
// releases anything, so that an owner that drains its queues before each Flush
// gets group commit. Handle and Tick include a Flush.
//
// Invariants:
//
//   - A message, result or read is released only after all that it depends on
//     (term, vote, entries, snapshot) is durable.
//   - A term has at most one leader, and a leader's log holds all committed
//     entries. Only entries of the leader's own term are counted for commit.
//   - Votes and acknowledgements count for a pair of VM and incarnation. A
//     replica that lost its disk has a new incarnation, so that nothing that
//     its former life acknowledged is attributed to it. It replaces its former
//     life as a learner, and is promoted once its durable match has reached
//     what was committed one heartbeat before.
//   - Consecutive configs differ by one voter. A config is proposed only when
//     the previous one and an entry of the leader's term are committed.
//   - A replica that heard from a leader within ElectionTimeout, or started
//     within it, neither grants a vote nor adopts the term of a candidate.
//     A replica that was cut off therefore disturbs no leader when it returns.
//   - A leader's lease lasts 90 % of ElectionTimeout from the sending of a
//     heartbeat round that a quorum has answered. Within it no other leader
//     can exist, and a read is current at once. Without it a read waits for a
//     round that starts after the read.
//
// Time: the argument now should have a monotonic clock reading. Only
// differences are used, except for Entry.Stamp. A replica keeps two clocks.
// The lease clock counts the whole difference between two calls, and a step
// backwards voids the lease. The promise clock, which measures elections and
// promises to a leader, counts at most 5 % of ElectionTimeout per call, so that
// a clock that jumps ahead or a process that was frozen breaks no promise. The
// owner must call Tick more often than that (every 20 ms at the defaults).
// Stamps are the leader's wall clock, raised to the last stamp of the log: a
// leader whose clock is ahead carries the stamps ahead until time catches up.
//
// Files: "wal-N" and "snapshot-N" in one directory. Each segment and snapshot
// is written under a temporary name, synced and renamed, and the directory is
// synced. A segment starts with identity, hard state and the retained entries,
// so that a restart reads the newest snapshot and the newest segment only. Each
// sync appends one frame with length, sequence and checksum. A damaged frame
// without a valid frame behind it is a torn tail and is dropped. Any other
// damage is a CorruptError, and the replica does not start. The owner then
// clears the directory, and the replica rejoins under a new incarnation. Any
// failed write or sync stops the replica for good, because the state of the
// file is unknown after it.
package replica
