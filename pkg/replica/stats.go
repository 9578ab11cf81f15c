package replica

import "bamboowalk.org/bamboowalk/pkg/fleet"

// Stats is a copy of a replica's gauges and counters since its start.
type Stats struct {
	// Gauges.
	Role          string
	Term          Term
	Leader        fleet.VMID
	Commit        Index
	Applied       Index
	LastIndex     Index
	FirstIndex    Index
	Voters        int
	Learners      int
	SegmentBytes  int64
	SnapshotBytes uint64
	PendingBytes  int
	HoldsLease    bool

	// Counters.
	Elections        uint64
	LeaderChanges    uint64
	QuorumLosses     uint64
	Proposals        uint64
	Reads            uint64
	ReadsByLease     uint64
	Syncs            uint64
	SyncedEntries    uint64
	Segments         uint64
	Snapshots        uint64
	Installed        uint64
	ChunksSent       uint64
	MessagesSent     uint64
	MessagesReceived uint64
	// MessagesIgnored counts messages for another incarnation, of an old term,
	// or refused because of a promise to a leader.
	MessagesIgnored uint64
	ClockJumps      uint64
	// TornBytes is the size of the torn tail that the start dropped.
	TornBytes uint64
	// ReplayedEntries is the number of log entries read by the start.
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
	s.SegmentBytes, s.PendingBytes = r.wal.size, r.pendingBytes
	s.HoldsLease = r.role == roleLeader && r.leaseValid()
	return s
}
