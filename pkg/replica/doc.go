// Package replica implements the replicated log of the control VMs: Raft with
// pre-vote, check-quorum and leader leases, on top of a write-ahead log.
//
// A Replica is a deterministic state machine without goroutines, sockets or a
// clock of its own. The caller passes in messages, the time and proposals, and
// sends the messages of each Output. Disk operations block the caller. Step,
// Propose, Read and ChangeMembership only queue work, except that Step stores a
// completely received snapshot at once. Flush makes the queued work durable with
// one sync and then returns its results, so a caller that empties its queues
// before each Flush gets group commit. Handle and Tick include a Flush.
//
// Invariants:
//
//   - A message, result or read is returned only after everything it depends on
//     (term, vote, entries, snapshot) is durable.
//   - A term has at most one leader, and a leader's log holds all committed
//     entries. A leader commits by counting copies only of entries of its own
//     term.
//   - Votes and acknowledgements count for a pair of VM and incarnation. A
//     replica that lost its disk starts with a new incarnation, so nothing that
//     the old incarnation acknowledged counts for the new one. The new
//     incarnation replaces the old one as a learner. The leader promotes
//     the learner once the learner's durable log reaches the commit index of the
//     previous heartbeat.
//   - Consecutive configs differ by at most one voter. A config is proposed
//     only after the previous config and an entry of the leader's own term are
//     committed.
//   - For ElectionTimeout after its start and after each message from a leader,
//     a replica neither grants votes nor adopts the term of a candidate, except
//     in a leadership transfer. A replica that returns from a network partition
//     therefore does not disrupt the leader.
//   - A lease lasts 90 % of ElectionTimeout. It starts when the leader sends a
//     heartbeat round that a quorum then answers. No other leader can exist
//     during the lease, so the leader serves reads without another round.
//     Without a lease, a read waits for a round that starts after the read.
//
// Time: the argument now should have a monotonic clock reading. Only
// differences are used, except for Entry.Stamp. A replica keeps two clocks. The
// lease clock adds the whole difference between two calls; a step backwards
// invalidates the lease. The election clock drives elections, heartbeats and
// the period in which votes are withheld. It adds at most 2.5 % of
// ElectionTimeout per call, so a clock that jumps ahead or a process that was
// suspended does not cut that period short. The caller must call Tick at shorter
// intervals than this limit: every 20 ms with the defaults. Stamps are the
// leader's wall clock, but never less than the last stamp of the log. If the
// clock of a leader was ahead, later stamps stay constant until the wall clock
// catches up.
//
// Files: one directory holds "wal-N" and "snapshot-N". Each segment and snapshot
// is written to a temporary file, synced and renamed, and then the directory is
// synced. A segment starts with the replica's identity, its hard state and the
// retained entries, so a restart reads only the newest snapshot and the newest
// segment. Each sync appends one frame with length, sequence number and
// checksum, and then an empty frame, the sync marker, which is not synced
// itself. After the first frame, a damaged frame that no valid frame follows is
// a torn tail and is dropped, and a torn sync marker before the last frame is
// skipped. Any other damage is a CorruptError, and the replica does not start;
// the caller then clears the directory, and the replica rejoins with a new
// incarnation. A failed write or sync stops the replica permanently, because
// the content of the file is unknown afterwards.
package replica
