package replica

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Defaults of Options.
const (
	DefaultElectionTimeout = time.Second
	DefaultHeartbeat       = 100 * time.Millisecond
	// DefaultSnapshotEvery and DefaultKeepEntries together bound the number of
	// applied entries that a restart replays, unless a snapshot was being sent.
	DefaultSnapshotEvery = 256
	DefaultKeepEntries   = 64
	DefaultMaxCommand    = 1 << 20
	DefaultMaxBatch      = 256 << 10
	DefaultChunkSize     = 256 << 10
	// DefaultMemory is less than the memory of the smallest control VMs, 280 MB.
	DefaultMemory = 256 << 20

	// maxTotalBytes is the maximum size of the snapshot that a message may name. A
	// replica installs only snapshots that fit into its memory.
	maxTotalBytes = 1 << 30
	// maxInflight and maxInflightBatches are the number of unacknowledged entries, and
	// their size in multiples of MaxBatch, at which the leader stops sending further
	// batches to a follower.
	maxInflight        = 4096
	maxInflightBatches = 16
	// maxPeers is the maximum number of replicas that a JoinReply names, and of those
	// that a replica asks for admission because a JoinReply has named them.
	maxPeers = 64
	// entryOverhead is the size in bytes of an entry beside its data, in memory.
	entryOverhead = 64
)

// Parts of Options.Memory, as divisors. The log holds at most the retained entries, those
// since the last snapshot and those not yet applied: an eighth of the memory. A start
// holds it twice, as bytes of the file and as entries.
const (
	keepBytesPart     = 32
	snapshotBytesPart = 32
	maxPendingPart    = 16
	// A received snapshot is held three times while it is installed.
	maxSnapshotPart = 8
	maxSegmentPart  = 4
)

var (
	roles = chart.MustLoad(chart.Replica)

	roleFollower     = roles.MustState("Follower")
	rolePreCandidate = roles.MustState("PreCandidate")
	roleCandidate    = roles.MustState("Candidate")
	roleLeader       = roles.MustState("Leader")
	roleLearner      = roles.MustState("Learner")
	roleStopped      = roles.MustState("Stopped")

	eventElectionTimeout = roles.MustEvent("ElectionTimeout")
	eventPreVoteWon      = roles.MustEvent("PreVoteWon")
	eventVoteWon         = roles.MustEvent("VoteWon")
	eventHigherTerm      = roles.MustEvent("HigherTerm")
	eventLeaderSeen      = roles.MustEvent("LeaderSeen")
	eventQuorumLost      = roles.MustEvent("QuorumLost")
	eventTransfer        = roles.MustEvent("Transfer")
	eventPromote         = roles.MustEvent("Promote")
	eventDemote          = roles.MustEvent("Demote")
	eventStop            = roles.MustEvent("Stop")
)

type (
	// Options configures a replica. Zero values of durations, counts and sizes
	// mean the defaults, except for RemoveAfter.
	Options struct {
		Self fleet.VMID
		// Incarnation is used only if the data directory is empty. It must differ from
		// all earlier incarnations of this replica; the wall clock in nanoseconds is
		// suitable.
		Incarnation fleet.Incarnation
		// Peers lists the replicas that this replica asks for admission, besides the
		// members of its config and the replicas that those name. SetPeers changes it.
		Peers        []fleet.VMID
		FS           FS
		StateMachine StateMachine
		Rand         *rand.Rand

		ElectionTimeout time.Duration
		Heartbeat       time.Duration
		// A snapshot is taken once SnapshotEvery entries or SnapshotBytes bytes
		// have been applied since the last snapshot, whichever comes first.
		SnapshotEvery int
		SnapshotBytes int
		// KeepEntries and KeepBytes limit the number and the size in bytes of the
		// entries before a new snapshot that stay in the log, for followers that lag
		// behind.
		KeepEntries int
		KeepBytes   int
		// AutoAdmit lets the leader add every replica that sends a Join message,
		// first as a learner. If it is false, an operator adds replicas with
		// ChangeMembership.
		AutoAdmit bool
		// RemoveAfter is the time without contact after which the leader
		// removes a member; 0 disables removal. A voter is removed after
		// ElectionTimeout if too few more may be lost (see removableMember). A removed
		// replica must be admitted again when it returns, so RemoveAfter needs AutoAdmit.
		RemoveAfter time.Duration
		// Tolerance is the number of replicas that may lose their disks at the same
		// time, 1 if it is less. It needs 2*Tolerance+1 replicas or more: a silent voter
		// may still have its disk, so an odd number of voters up to that is not reduced.
		Tolerance int
		// QuorumReads makes each read wait for a heartbeat round answered by a
		// quorum. It is needed where the clock may stop while a machine is
		// suspended: after the machine resumes, an expired lease would look valid.
		QuorumReads bool
		// MaxCommand is the maximum size of one command, and MaxPending the
		// maximum total size of the entries that are not yet applied. MaxBatch
		// is the maximum total size of the entries in one message, except that a
		// message may always hold one entry. ChunkSize is the maximum size of
		// the part of a snapshot in one message. All are in bytes.
		MaxCommand int
		MaxPending int
		MaxBatch   int
		ChunkSize  int
		// Memory is the memory of the VM in bytes. The defaults of SnapshotBytes,
		// KeepBytes and MaxPending, and the limits of segments and of received
		// snapshots are fixed parts of it.
		Memory int
	}

	// Replica is one replica of the log. It is not safe for concurrent use.
	//
	// The log holds the entries after base, and
	// base.Index <= snap.At.Index <= applied <= commit <= lastIndex.
	Replica struct {
		opts    Options
		self    Identity
		role    chart.State
		stopErr error
		stats   Stats
		wal     *wal

		hard    hardState
		base    Position
		log     []Entry
		configs []configEntry
		snap    snapshotMeta

		commit, applied    Index
		appliedStamp       int64
		bytesSinceSnapshot int
		// unappliedBytes is the total size of the entries after applied.
		unappliedBytes int

		// lastCall is the time passed to the last call. The package comment
		// describes electionClock and leaseClock.
		lastCall      time.Time
		electionClock time.Duration
		leaseClock    time.Duration

		leader           fleet.VMID
		lastContact      time.Duration // on the election clock
		electionDeadline time.Duration
		lastJoin         time.Duration
		// leaderCommit is the commit index in the last message of the leader, 0 before
		// the first.
		leaderCommit Index
		// namedPeers are the replicas that JoinReply messages have named since a
		// leader was last heard from.
		namedPeers []fleet.VMID
		votes      map[Identity]bool
		// votesRequested is the time on the election clock of the last vote requests.
		votesRequested time.Duration
		incoming       *incomingSnapshot

		leaderState

		pendingProposals map[Index]ProposalID
		lastProposalID   ProposalID
		lastReadID       ReadID
		output           Output
		events           eventState
	}
)

// Open starts a replica from its data directory. If the directory holds no log, the
// replica starts as a learner with Options.Incarnation and asks its peers for
// admission. Open returns a fleet.FieldError for missing options, a CorruptError
// for damaged files, a DiskError for failed file operations, and a StoppedError
// for an invalid config in the log.
func Open(o Options, now time.Time) (*Replica, error) {
	o.setDefaults()
	if o.Self == "" || o.FS == nil || o.StateMachine == nil || o.Rand == nil {
		return nil, &fleet.FieldError{Type: "Options", Field: "Self", Reason: "must be set, as must FS, StateMachine and Rand"}
	}
	r := &Replica{opts: o, role: roles.Initial(), lastCall: now, pendingProposals: map[Index]ProposalID{}}
	r.wal = &wal{fs: o.FS, stats: &r.stats}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.resetElection()
	r.rebuildConfigs()
	return r, r.stopErr
}

func (o *Options) setDefaults() {
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, DefaultElectionTimeout)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.SnapshotEvery = cmp.Or(o.SnapshotEvery, DefaultSnapshotEvery)
	o.Memory = cmp.Or(o.Memory, DefaultMemory)
	o.SnapshotBytes = cmp.Or(o.SnapshotBytes, o.Memory/snapshotBytesPart)
	o.KeepEntries = cmp.Or(o.KeepEntries, DefaultKeepEntries)
	o.KeepBytes = cmp.Or(o.KeepBytes, o.Memory/keepBytesPart)
	o.MaxCommand = cmp.Or(o.MaxCommand, DefaultMaxCommand)
	o.MaxPending = cmp.Or(o.MaxPending, o.Memory/maxPendingPart)
	o.MaxBatch = cmp.Or(o.MaxBatch, DefaultMaxBatch)
	o.ChunkSize = cmp.Or(o.ChunkSize, DefaultChunkSize)
	o.Tolerance = max(o.Tolerance, 1)
}

func (r *Replica) load() error {
	snap, _, err := readSnapshot(r.opts.FS)
	if err != nil {
		return err
	}
	number, err := newestNumber(r.opts.FS, walPrefix)
	if err != nil {
		return err
	}
	if number == 0 && snap != nil {
		// Bootstrap did not end. This replica has neither voted nor acknowledged anything,
		// and starts as one without a log.
		if err := removeOlderFiles(r.opts.FS, snapshotPrefix, uint64(snap.At.Index)+1); err != nil {
			return err
		}
		snap = nil
	}
	state := &walState{self: Identity{VM: r.opts.Self, Incarnation: r.opts.Incarnation}}
	name := fileName(walPrefix, number)
	if number > 0 {
		if state, err = r.readSegment(name); err != nil {
			return err
		}
	}
	r.self, r.hard, r.base, r.log = state.self, state.hard, state.base, state.log
	switch {
	case r.self.VM != r.opts.Self:
		return &CorruptError{File: name, Reason: fmt.Sprintf("the log belongs to replica %s", r.self.VM)}
	case snap == nil && r.base.Index > 0 || snap != nil && r.base.Index > snap.At.Index:
		return &CorruptError{File: snapshotPrefix, Reason: "the snapshot that precedes the log is missing"}
	}
	if snap != nil {
		if err := r.restore(snap); err != nil {
			return err
		}
	}
	r.stats.ReplayedEntries, r.stats.TornBytes = uint64(len(r.log)), uint64(state.tornBytes)
	// A log of an earlier version may hold more than this version keeps.
	if compactTo := r.compactionIndex(r.snap.At.Index); compactTo > r.base.Index {
		r.compact(compactTo)
	}
	r.countUnapplied()
	r.wal.number = number
	if err := r.removeTempFiles(); err != nil {
		return err
	}
	return r.wal.rewrite(r.self, r.base, r.hard, r.log)
}

func (r *Replica) readSegment(name string) (*walState, error) {
	data, err := r.opts.FS.ReadFile(name)
	if err != nil {
		return nil, &DiskError{Op: "read", File: name, Err: err}
	}
	return decodeWAL(name, data)
}

// restore loads the snapshot at startup. A crash after a received snapshot is
// stored, but before the new segment is written, may leave a log that ends
// before the snapshot or conflicts with it. Such a log is dropped.
func (r *Replica) restore(s *snapshot) error {
	if s.At.Index > r.lastIndex() || r.termAt(s.At.Index) != s.At.Term {
		r.base, r.log = s.At, nil
	}
	r.snap = s.snapshotMeta
	r.commit, r.applied, r.appliedStamp = s.At.Index, s.At.Index, s.Stamp
	r.stats.SnapshotBytes = s.Size
	if err := r.opts.StateMachine.Restore(s.state); err != nil {
		return &DiskError{Op: "restore", File: fileName(snapshotPrefix, uint64(s.At.Index)), Err: err}
	}
	return nil
}

func (r *Replica) removeTempFiles() error {
	names, err := r.opts.FS.List()
	if err != nil {
		return &DiskError{Op: "list", Err: err}
	}
	for _, name := range names {
		if !strings.HasSuffix(name, tmpSuffix) {
			continue
		}
		if err := r.opts.FS.Remove(name); err != nil {
			return &DiskError{Op: "remove", File: name, Err: err}
		}
	}
	return nil
}

// SetPeers replaces Options.Peers.
func (r *Replica) SetPeers(peers []fleet.VMID) { r.opts.Peers = peers }

// Self returns the VM and incarnation of the replica.
func (r *Replica) Self() Identity { return r.self }

// Role returns the name of the current role, a state of the replica state chart.
func (r *Replica) Role() string { return roles.StateName(r.role) }

// Leader returns the current leader, or an empty id if none is known.
func (r *Replica) Leader() fleet.VMID { return r.leader }

// CaughtUp reports whether a leader is known, and this replica has applied what had been
// committed when the leader sent its last message. A leader must have committed an entry of
// its own term.
func (r *Replica) CaughtUp() bool {
	if r.role == roleLeader {
		return r.applied >= r.noopIndex
	}
	return r.leader != "" && r.leaderCommit > 0 && r.applied >= r.leaderCommit
}

// Members returns the members of the newest config in the log, committed or not.
func (r *Replica) Members() []Member { return append([]Member(nil), r.config().Members...) }

// Handle calls Step and then Flush.
func (r *Replica) Handle(from fleet.VMID, m Message, now time.Time) Output {
	r.Step(from, m, now)
	return r.Flush(now)
}

// Tick handles the timers that have expired and then calls Flush. The caller
// must call Tick every ElectionTimeout/50.
func (r *Replica) Tick(now time.Time) Output {
	r.advanceClocks(now)
	r.trackLeader()
	switch r.role {
	case roleStopped:
	case roleLeader:
		r.tickLeader()
	case roleLearner:
		r.tickLearner()
	default:
		if r.electionClock >= r.electionDeadline {
			r.startPreVote()
		} else {
			r.repeatVoteRequests()
		}
	}
	return r.Flush(now)
}

// Flush makes all queued work durable, applies committed entries, and returns
// the messages, results and reads that may now be sent. After a failure, Output
// holds a StoppedError and the remaining results and reads, but no messages.
func (r *Replica) Flush(now time.Time) Output {
	r.advanceClocks(now)
	for r.stopErr == nil {
		r.persist()
		if r.role == roleLeader {
			committed := r.configCommitted()
			r.advanceCommit()
			if !committed && r.configCommitted() {
				// The next change does not wait for a heartbeat: after the promotion of a
				// newcomer, each quorum needs it until a silent voter is removed.
				r.manageMembers()
			}
		}
		if r.role == roleLeader {
			r.broadcast()
		}
		r.apply()
		if r.stopErr == nil && !r.wal.dirty() {
			break
		}
	}
	r.serveReads()
	out := r.output
	r.output = Output{}
	if r.stopErr != nil {
		out = Output{Results: out.Results, Reads: out.Reads, Events: out.Events, Err: r.stopErr}
	}
	r.stats.MessagesSent += uint64(len(out.Envelopes))
	return out
}

// persist syncs the pending WAL record, and starts a new segment if the current
// one has reached maxSegmentBytes.
func (r *Replica) persist() {
	if !r.wal.dirty() {
		return
	}
	if err := r.wal.sync(); err != nil {
		r.stop(err)
		return
	}
	if r.wal.size < int64(r.opts.Memory/maxSegmentPart) {
		return
	}
	if err := r.wal.rewrite(r.self, r.base, r.hard, r.log); err != nil {
		r.stop(err)
	}
}

// stop stops the replica permanently. Pending proposals fail with an
// OutcomeUnknownError, and pending reads with a NotLeaderError.
func (r *Replica) stop(err error) {
	if r.stopErr != nil {
		return
	}
	r.stopErr = &StoppedError{Err: err}
	r.wal.close()
	r.leader = ""
	r.fire(eventStop)
	r.failPending()
}

// fire changes the role by one transition of the state chart, and stops the
// replica if the chart has no such transition.
func (r *Replica) fire(e chart.Event) {
	next, err := roles.Next(r.role, e)
	if err != nil {
		r.stop(err)
		return
	}
	r.role = next
}

// advanceClocks advances the election and lease clocks to now, as described in
// the package comment.
func (r *Replica) advanceClocks(now time.Time) {
	d := now.Sub(r.lastCall)
	r.lastCall = now
	limit := r.opts.ElectionTimeout / 40
	if r.opts.QuorumReads {
		// Without leases, no read depends on the time for which votes are withheld.
		limit = r.opts.ElectionTimeout / 10
	}
	switch {
	case d < 0:
		r.stats.ClockStepsBack++
		r.invalidateLease()
	case d > limit:
		r.leaseClock += d
		r.electionClock += limit
		r.stats.ClockLeftOut += d - limit
	default:
		r.leaseClock += d
		r.electionClock += d
	}
}

func (r *Replica) lastIndex() Index { return r.base.Index + Index(len(r.log)) }

func (r *Replica) lastPosition() Position {
	last := r.lastIndex()
	return Position{Index: last, Term: r.termAt(last)}
}

// termAt returns the term of the entry at index i, which may be the index of
// base. It returns 0 if i is before base or after the end of the log.
func (r *Replica) termAt(i Index) Term {
	switch {
	case i == r.base.Index:
		return r.base.Term
	case i < r.base.Index || i > r.lastIndex():
		return 0
	}
	return r.entry(i).Term
}

func (r *Replica) entry(i Index) *Entry { return &r.log[i-r.base.Index-1] }

func (r *Replica) lastStamp() int64 {
	if len(r.log) == 0 {
		return max(r.appliedStamp, r.snap.Stamp)
	}
	return r.log[len(r.log)-1].Stamp
}

func (r *Replica) setHardState(h hardState) {
	r.hard = h
	r.wal.pending.Hard = &h
}

func (r *Replica) appendEntry(e Entry) {
	r.log = append(r.log, e)
	r.unappliedBytes += len(e.Data)
	r.wal.pending.Entries = append(r.wal.pending.Entries, e)
	r.trackConfig(&e)
}

// truncate removes the entries from index on, which conflict with the leader's
// log.
func (r *Replica) truncate(index Index) {
	if index <= r.commit {
		r.stop(&InvariantError{Reason: fmt.Sprintf("committed entry %d conflicts with the log of the leader", index)})
		return
	}
	for _, e := range r.log[index-r.base.Index-1:] {
		r.unappliedBytes -= len(e.Data)
	}
	r.log = r.log[:index-r.base.Index-1]
	for r.configs[len(r.configs)-1].index >= index {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

// countUnapplied sets unappliedBytes after the log has been replaced.
func (r *Replica) countUnapplied() {
	r.unappliedBytes = 0
	for i := r.applied + 1; i <= r.lastIndex(); i++ {
		r.unappliedBytes += len(r.entry(i).Data)
	}
}

// apply applies the committed entries and takes a snapshot when one is due.
func (r *Replica) apply() {
	for r.stopErr == nil && r.applied < r.commit {
		e := r.entry(r.applied + 1)
		var value []byte
		if e.Kind == CommandEntry {
			value = r.opts.StateMachine.Apply(e.Index, e.Data, timeFromStamp(e.Stamp))
		}
		r.applied, r.appliedStamp = e.Index, e.Stamp
		r.bytesSinceSnapshot += len(e.Data)
		r.unappliedBytes -= len(e.Data)
		if id, ok := r.pendingProposals[e.Index]; ok {
			delete(r.pendingProposals, e.Index)
			r.output.Results = append(r.output.Results, Result{ID: id, Index: e.Index, Value: value})
		}
	}
	due := int(r.applied-r.snap.At.Index) >= r.opts.SnapshotEvery || r.bytesSinceSnapshot >= r.opts.SnapshotBytes
	if r.stopErr != nil || !due {
		return
	}
	if err := r.takeSnapshot(); err != nil {
		r.stop(err)
	}
}

func (r *Replica) send(to fleet.VMID, m Message) {
	m.From = r.self.Incarnation
	r.output.Envelopes = append(r.output.Envelopes, Envelope{To: to, Message: m})
}
