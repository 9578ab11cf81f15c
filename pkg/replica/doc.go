// Package replica implements the replicated log of the control VMs: Raft with
// pre-vote, check-quorum and leader leases, on top of a write-ahead log.
//
// A Replica is a deterministic state machine without goroutines, sockets or a
// clock of its own. The caller passes in messages, the time and proposals, and
// sends the messages of each Output. Disk operations block the caller. Step,
// Propose, Read and ChangeMembership only queue work, except that Step stores a
// completely received snapshot at once. Flush makes the queued work durable
// with one sync and then returns its results, so a caller that empties its
// queues before each Flush gets group commit. Handle and Tick end with a Flush.
//
// A config is the set of members of the cluster. Members are voters or
// learners; learners receive the log, but do not vote. An incarnation numbers
// the data directories that a VM has had: a replica that lost its disk starts
// with a new incarnation, which is higher unless its clock was ahead before.
//
// Invariants:
//
//   - A message, result or read is returned only after everything it depends on
//     (term, vote, entries, snapshot) is durable.
//   - A term has at most one leader, and a leader's log holds all committed
//     entries. A leader counts durable copies only of entries of its own term.
//     When such an entry is committed, so are all entries before it.
//   - Votes and acknowledgements count for a pair of VM and incarnation, so
//     nothing that an old incarnation acknowledged counts for the new one. The
//     new incarnation is a learner and replaces the old one in the config. The
//     leader promotes the learner once the learner's durable log has reached the
//     first entry of the leader's term and a commit index that is less than
//     ElectionTimeout old. Learners get committed entries only.
//   - Consecutive configs differ by at most one voter, or one of them is joint: a
//     quorum is then one of the old and one of the new voters. A config is proposed
//     only after the previous config and an entry of the leader's own term are
//     committed, except that the removal of a voter does not wait for a change of
//     learners.
//   - No step of an admission needs the newcomer, which may fail at any moment: when
//     a learner is promoted, the other voters have a quorum of the new config. A voter
//     that may be its predecessor is replaced in a joint config.
//   - For ElectionTimeout after the start of a replica, and after each Append
//     or SnapshotChunk from the current leader, the replica neither grants
//     votes nor adopts the term of a candidate, except in a leadership
//     transfer. A replica that returns from a network partition therefore does
//     not disrupt the leader.
//   - A heartbeat round consists of the messages that the leader sends to all
//     members at one heartbeat. A lease lasts 90 % of ElectionTimeout. It
//     starts when the leader sends a heartbeat round that a quorum then
//     answers. No other leader can exist during the lease, so the leader serves
//     reads without another round. Without a lease, a read waits until a quorum
//     has answered a heartbeat round that was sent after the read was
//     requested.
//
// Events: each Output holds the events by which a replica reports what it decides
// about the members of the log, and what it waits for. They have no effect on
// decisions. Their number is limited by the election clock, so that a caller may
// write a log line for each.
//
// Time: the argument now should have a monotonic clock reading. Only
// differences are used, except for Entry.Stamp. A replica keeps two clocks. The
// lease clock advances by the whole difference between the times of two calls.
// A negative difference does not move the clocks, but invalidates the lease.
// The election clock drives elections, heartbeats and the period in which votes
// are withheld. It advances by at most 2.5 % of ElectionTimeout per call, so a
// clock that jumps ahead or a process that was suspended does not cut that
// period short. The caller must call Tick every 2 % of ElectionTimeout (20 ms
// by default). That is below the limit of 2.5 % (25 ms by default), so the
// election clock does not run too slowly. With Options.QuorumReads, the limit is
// 10 %, so that it does not run too slowly either on a processor that runs the
// process only every 100 ms: without leases, that period is not needed for safety.
// The stamp of an entry is the time of
// the leader's wall clock, but not less than the stamp before it. If the clock
// of a leader was ahead, later stamps stay constant until the wall clock
// catches up.
//
// Memory: Options.Memory bounds the log. The entries since the last snapshot, those
// kept for followers that lag behind and those that can't be committed yet have limits
// in bytes. A member that has not answered for ElectionTimeout gets heartbeats only,
// and neither entries nor a snapshot are kept for it.
//
// Files: one directory holds "wal-N" and "snapshot-N". Each segment and
// snapshot is written to a temporary file, synced and renamed, and then the
// directory is synced. The files "wal-N" are the segments of the log. A segment
// starts with the replica's identity, its hard state and the retained entries,
// so a restart reads only the newest snapshot and the newest segment. The
// retained entries are in frames of their own, so that a rewrite does not hold
// them in memory a second time; segments of earlier versions, which have them in
// the first frame, are read as well. Each sync appends one frame with length,
// sequence number and checksum, and then an empty frame, the sync marker, which is
// not synced itself. A damaged frame that holds none of the retained entries is a
// torn tail, and is dropped, if no valid frame follows it. A damaged sync marker is
// skipped if the only valid frame after it is the record directly after the marker.
// Any other damage is a CorruptError, and the replica does not start; the caller
// then clears the directory, and the replica rejoins with a new incarnation. A
// failed write or sync stops the
// replica permanently, because the content of the file is unknown afterwards.
package replica
