package replica

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Stats holds the metrics of a replica. Counters count from the call of Open.
type Stats struct {
	// Gauges. Sizes are in bytes.
	Role       string
	Term       Term
	Leader     fleet.VMID
	Commit     Index
	Applied    Index
	LastIndex  Index
	FirstIndex Index
	Voters     int
	Learners   int
	// SyncedVoters is the number of voters whose durable log holds the newest
	// config. It is 0 if this replica does not lead, or if the newest config or
	// the first entry of the leader's term is not yet committed. After the loss
	// of a replica, the cluster is fully replicated again once all voters are
	// synced and there is no learner.
	SyncedVoters int
	// SilentVoters is the number of voters that have not answered this leader within the
	// last ElectionTimeout, and SpareVoters the number of voters that may still be lost
	// before no quorum answers. Both are 0 if this replica does not lead.
	SilentVoters int
	SpareVoters  int
	// Tolerance is Options.Tolerance.
	Tolerance int
	// LeaderUnknownFor is the time on the election clock since this replica last knew a
	// leader, 0 while it knows one.
	LeaderUnknownFor time.Duration
	SegmentBytes     int64
	SnapshotBytes    uint64
	// LogBytes is the size of the entries in memory, and PendingBytes the size of
	// those that are not yet applied. Transfers is the number of snapshots that are
	// being sent.
	LogBytes     int
	PendingBytes int
	Transfers    int
	HoldsLease   bool

	// Counters, except for TornBytes and ReplayedEntries, which are set once,
	// when the replica is opened.
	Elections          uint64
	ElectionsLost      uint64
	PreVotes           uint64 // rounds of requests for pre-votes
	LeaderChanges      uint64
	QuorumLosses       uint64
	Proposals          uint64
	Reads              uint64
	ReadsByLease       uint64
	Syncs              uint64
	SyncedEntries      uint64
	SegmentsWritten    uint64
	Snapshots          uint64
	SnapshotsInstalled uint64
	ChunksSent         uint64
	MessagesSent       uint64
	MessagesReceived   uint64
	// MessagesIgnored counts messages to another incarnation, of an old term,
	// from an unknown sender or not expected in the current role, and Vote
	// messages received while votes are withheld.
	MessagesIgnored uint64
	// PreVoteResults and VoteResults count the requests of other replicas.
	PreVoteResults [VoteResults]uint64
	VoteResults    [VoteResults]uint64
	// JoinsSent, JoinsReceived and JoinsRedirected count requests for admission: those
	// sent, those received as the leader, and those answered with the replicas that
	// this one knows.
	JoinsSent       uint64
	JoinsReceived   uint64
	JoinsRedirected uint64
	// The following count the membership changes that this leader proposed.
	MembersAdmitted uint64
	MembersPromoted uint64
	MembersRemoved  uint64
	MembersReplaced uint64
	// ClockLeftOut is the time that the election clock has left out, because this
	// replica was called too rarely.
	ClockLeftOut time.Duration
	// ClockStepsBack counts the calls whose time was before the time of the
	// previous call.
	ClockStepsBack uint64
	// TornBytes is the size of the torn tail dropped when the replica was opened.
	TornBytes uint64
	// ReplayedEntries is the number of log entries read when the replica was
	// opened.
	ReplayedEntries uint64
}

// Stats returns the current gauges and counters.
func (r *Replica) Stats() Stats {
	s := r.stats
	s.Role, s.Term, s.Leader = r.Role(), r.hard.Term, r.leader
	s.Commit, s.Applied = r.commit, r.applied
	s.LastIndex, s.FirstIndex = r.lastIndex(), r.base.Index+1
	s.Voters = len(r.config().voters())
	s.Learners = len(r.config().Members) - s.Voters
	s.SyncedVoters = r.syncedVoters()
	if r.role == roleLeader {
		s.SilentVoters, s.SpareVoters = len(r.silentVoters()), r.spareVoters()
	}
	s.Tolerance, s.LeaderUnknownFor = r.opts.Tolerance, r.leaderUnknownFor()
	s.SegmentBytes, s.PendingBytes = r.wal.size, r.unappliedBytes
	for i := range r.log {
		s.LogBytes += len(r.log[i].Data)
	}
	for _, p := range r.progress {
		if p.transfer != nil {
			s.Transfers++
		}
	}
	s.HoldsLease = r.role == roleLeader && r.leaseValid()
	return s
}
