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
	// DefaultSnapshotEvery bounds what a restart replays.
	DefaultSnapshotEvery = 256
	DefaultSnapshotBytes = 8 << 20
	DefaultKeepEntries   = 64
	DefaultMaxCommand    = 1 << 20
	DefaultMaxPending    = 16 << 20
	DefaultMaxBatch      = 256 << 10
	DefaultChunkSize     = 256 << 10

	// maxSnapshot bounds the memory that a received snapshot takes, in bytes.
	maxSnapshot = 1 << 30
	// segmentBytes is the size at which a segment is rewritten although no
	// snapshot is due.
	segmentBytes = 64 << 20
	// maxInflight bounds the entries sent to a follower but not acknowledged.
	maxInflight = 4096
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
	// Options configures a replica; zero numbers mean the defaults.
	Options struct {
		Self fleet.VMID
		// Incarnation is adopted if the data directory is empty. It must be
		// above that of any former life of this replica; the wall clock in
		// nanoseconds is suitable.
		Incarnation fleet.Incarnation
		// Peers are asked for admission by a replica that is no voter.
		Peers   []fleet.VMID
		FS      FS
		Machine StateMachine
		Rand    *rand.Rand

		ElectionTimeout time.Duration
		Heartbeat       time.Duration
		// SnapshotEvery and SnapshotBytes are the entries and bytes applied
		// between two snapshots.
		SnapshotEvery int
		SnapshotBytes int
		// KeepEntries is the number of applied entries kept for followers.
		KeepEntries int
		// Admit lets the leader add every replica that announces itself, as a
		// learner first. Without it an operator adds replicas by Change.
		Admit bool
		// ReplaceAfter is the silence after which the leader removes a voter
		// whose place a learner can take, or without which the number of voters
		// is odd; 0 removes none. A removed replica that comes back is admitted
		// anew, so that ReplaceAfter needs Admit.
		ReplaceAfter time.Duration
		// QuorumReads lets each read wait for a round of a quorum. It is needed
		// where the clock may stand still while a machine is suspended, since a
		// lease then seems to last on.
		QuorumReads bool
		// MaxCommand, MaxPending, MaxBatch and ChunkSize are in bytes:
		// one command, all uncommitted commands, the entries of one message,
		// and the part of a snapshot in one message.
		MaxCommand int
		MaxPending int
		MaxBatch   int
		ChunkSize  int
	}

	// Replica is one replica of the log. It is not safe for concurrent use.
	//
	// The log holds the entries from base.Index+1 on, and
	// base.Index <= snap.At.Index <= applied <= commit <= lastIndex.
	Replica struct {
		o     Options
		self  Identity
		role  chart.State
		fault error
		stats Stats
		wal   *wal

		hard    hardState
		base    Position
		log     []Entry
		configs []configEntry
		snap    snapshotMeta

		commit, applied    Index
		appliedStamp       int64
		bytesSinceSnapshot int

		// last is the time of the last call, promise and lease the two clocks
		// that package documentation describes.
		last    time.Time
		promise time.Duration
		lease   time.Duration

		leader           fleet.VMID
		heard            time.Duration // by the promise clock
		electionDeadline time.Duration
		lastJoin         time.Duration
		votes            map[Identity]bool
		incoming         *incoming

		leading

		waiting   map[Index]ProposalID
		proposals ProposalID
		readIDs   ReadID
		out       Output
	}
)

// Open starts a replica from its data directory. A replica with an empty
// directory is a learner under a new incarnation, and asks its peers for
// admission. Open returns a CorruptError for damaged files, and a DiskError.
func Open(o Options, now time.Time) (*Replica, error) {
	o.setDefaults()
	if o.Self == "" || o.FS == nil || o.Machine == nil || o.Rand == nil {
		return nil, &fleet.FieldError{Type: "Options", Field: "Self", Reason: "must be set, with FS, Machine and Rand"}
	}
	r := &Replica{o: o, role: roles.Initial(), last: now, waiting: map[Index]ProposalID{}}
	r.wal = &wal{fs: o.FS, stats: &r.stats}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.resetElection()
	r.indexConfigs()
	return r, r.fault
}

func (o *Options) setDefaults() {
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, DefaultElectionTimeout)
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.SnapshotEvery = cmp.Or(o.SnapshotEvery, DefaultSnapshotEvery)
	o.SnapshotBytes = cmp.Or(o.SnapshotBytes, DefaultSnapshotBytes)
	o.KeepEntries = cmp.Or(o.KeepEntries, DefaultKeepEntries)
	o.MaxCommand = cmp.Or(o.MaxCommand, DefaultMaxCommand)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	o.MaxBatch = cmp.Or(o.MaxBatch, DefaultMaxBatch)
	o.ChunkSize = cmp.Or(o.ChunkSize, DefaultChunkSize)
}

func (r *Replica) load() error {
	snap, _, err := readSnapshot(r.o.FS)
	if err != nil {
		return err
	}
	number, err := newest(r.o.FS, walPrefix)
	if err != nil {
		return err
	}
	state := &walState{self: Identity{VM: r.o.Self, Incarnation: r.o.Incarnation}}
	name := fileName(walPrefix, number)
	if number > 0 {
		if state, err = r.readSegment(name); err != nil {
			return err
		}
	}
	r.self, r.hard, r.base, r.log = state.self, state.hard, state.base, state.log
	switch {
	case number == 0 && snap != nil:
		return &CorruptError{File: walPrefix, Reason: "a snapshot exists, but no segment"}
	case r.self.VM != r.o.Self:
		return &CorruptError{File: name, Reason: fmt.Sprintf("the log is of replica %s", r.self.VM)}
	case snap == nil && r.base.Index > 0 || snap != nil && r.base.Index > snap.At.Index:
		return &CorruptError{File: snapshotPrefix, Reason: "the snapshot before the log is missing"}
	}
	if snap != nil {
		if err := r.restore(snap); err != nil {
			return err
		}
	}
	r.stats.ReplayedEntries, r.stats.TornBytes = uint64(len(r.log)), uint64(state.torn)
	r.wal.number = number
	if err := r.removeTemporary(); err != nil {
		return err
	}
	return r.wal.rewrite(r.self, r.base, r.hard, r.log)
}

func (r *Replica) readSegment(name string) (*walState, error) {
	data, err := r.o.FS.ReadFile(name)
	if err != nil {
		return nil, &DiskError{Op: "read", File: name, Err: err}
	}
	return decodeWAL(name, data)
}

// restore adopts the snapshot. A crash between the storing of a received
// snapshot and the new segment leaves a log that does not reach the snapshot
// or disagrees with it; that log is dropped.
func (r *Replica) restore(s *snapshot) error {
	if s.At.Index > r.lastIndex() || r.termAt(s.At.Index) != s.At.Term {
		r.base, r.log = s.At, nil
	}
	r.snap = s.snapshotMeta
	r.commit, r.applied, r.appliedStamp = s.At.Index, s.At.Index, s.Stamp
	r.stats.SnapshotBytes = s.Size
	if err := r.o.Machine.Restore(s.state); err != nil {
		return &DiskError{Op: "restore", File: fileName(snapshotPrefix, uint64(s.At.Index)), Err: err}
	}
	return nil
}

func (r *Replica) removeTemporary() error {
	names, err := r.o.FS.List()
	if err != nil {
		return &DiskError{Op: "list", Err: err}
	}
	for _, name := range names {
		if !strings.HasSuffix(name, tmpSuffix) {
			continue
		}
		if err := r.o.FS.Remove(name); err != nil {
			return &DiskError{Op: "remove", File: name, Err: err}
		}
	}
	return nil
}

// Self returns the replica's name and incarnation.
func (r *Replica) Self() Identity { return r.self }

// Role returns the state of the role chart.
func (r *Replica) Role() string { return roles.StateName(r.role) }

// Leader returns the leader that this replica follows, or an empty id.
func (r *Replica) Leader() fleet.VMID { return r.leader }

// Members returns the newest config of the log.
func (r *Replica) Members() []Member { return append([]Member(nil), r.config().Members...) }

// Handle is Step and Flush.
func (r *Replica) Handle(from fleet.VMID, m Message, now time.Time) Output {
	r.Step(from, m, now)
	return r.Flush(now)
}

// Tick runs timers, and Flush. The owner calls it every ElectionTimeout/50.
func (r *Replica) Tick(now time.Time) Output {
	r.advance(now)
	switch r.role {
	case roleStopped:
	case roleLeader:
		r.tickLeader()
	case roleLearner:
		r.announce()
	default:
		if r.promise >= r.electionDeadline {
			r.campaign()
		}
	}
	return r.Flush(now)
}

// Flush makes all collected work durable with one sync, applies what is
// committed, and returns what may be released. After a failure it returns a
// StoppedError and nothing else but failed results and reads.
func (r *Replica) Flush(now time.Time) Output {
	r.advance(now)
	for r.fault == nil {
		r.persist()
		if r.role == roleLeader {
			r.advanceCommit()
			r.broadcast()
		}
		r.apply()
		if r.fault == nil && !r.wal.dirty() {
			break
		}
	}
	r.serveReads()
	out := r.out
	r.out = Output{}
	if r.fault != nil {
		out = Output{Results: out.Results, Reads: out.Reads, Err: r.fault}
	}
	r.stats.MessagesSent += uint64(len(out.Envelopes))
	return out
}

// persist makes the pending batch durable.
func (r *Replica) persist() {
	if !r.wal.dirty() {
		return
	}
	if err := r.wal.sync(); err != nil {
		r.stop(err)
		return
	}
	if r.wal.size < segmentBytes {
		return
	}
	if err := r.wal.rewrite(r.self, r.base, r.hard, r.log); err != nil {
		r.stop(err)
	}
}

// stop ends the replica for good. Waiting results have an unknown outcome.
func (r *Replica) stop(err error) {
	if r.fault != nil {
		return
	}
	r.fault = &StoppedError{Err: err}
	r.leader = ""
	r.fire(eventStop)
	r.failWaiting()
}

// fire runs one transition of the role chart.
func (r *Replica) fire(e chart.Event) {
	next, err := roles.Next(r.role, e)
	if err != nil {
		r.stop(err)
		return
	}
	r.role = next
}

// advance moves both clocks; see the package documentation.
func (r *Replica) advance(now time.Time) {
	d := now.Sub(r.last)
	r.last = now
	limit := r.o.ElectionTimeout / 40
	switch {
	case d < 0:
		r.stats.ClockJumps++
		r.voidLease()
	case d > limit:
		r.lease += d
		r.promise += limit
	default:
		r.lease += d
		r.promise += d
	}
}

func (r *Replica) lastIndex() Index { return r.base.Index + Index(len(r.log)) }

func (r *Replica) lastPosition() Position {
	last := r.lastIndex()
	return Position{Index: last, Term: r.termAt(last)}
}

// termAt returns the term of an entry, or 0 for one outside the log.
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

func (r *Replica) setHard(h hardState) {
	r.hard = h
	r.wal.batch.Hard = &h
}

func (r *Replica) appendEntry(e Entry) {
	r.log = append(r.log, e)
	r.wal.batch.Entries = append(r.wal.batch.Entries, e)
	r.noteConfig(&e)
}

// truncate drops the entries from index on, which conflict with the leader's.
func (r *Replica) truncate(index Index) {
	if index <= r.commit {
		r.stop(&InvariantError{Reason: fmt.Sprintf("committed entry %d conflicts with the leader", index)})
		return
	}
	r.log = r.log[:index-r.base.Index-1]
	for r.configs[len(r.configs)-1].index >= index {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

// apply runs the committed entries and takes a snapshot when one is due.
func (r *Replica) apply() {
	for r.fault == nil && r.applied < r.commit {
		e := r.entry(r.applied + 1)
		var value []byte
		if e.Kind == CommandEntry {
			value = r.o.Machine.Apply(e.Index, e.Data, stampTime(e.Stamp))
		}
		r.applied, r.appliedStamp = e.Index, e.Stamp
		r.bytesSinceSnapshot += len(e.Data)
		if id, ok := r.waiting[e.Index]; ok {
			delete(r.waiting, e.Index)
			r.pendingBytes -= len(e.Data)
			r.out.Results = append(r.out.Results, Result{ID: id, Index: e.Index, Value: value})
		}
	}
	due := int(r.applied-r.snap.At.Index) >= r.o.SnapshotEvery || r.bytesSinceSnapshot >= r.o.SnapshotBytes
	if r.fault != nil || !due {
		return
	}
	if err := r.takeSnapshot(); err != nil {
		r.stop(err)
	}
}

func (r *Replica) send(to fleet.VMID, m Message) {
	m.From = r.self.Incarnation
	r.out.Envelopes = append(r.out.Envelopes, Envelope{To: to, Message: m})
}
