package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// leaderState holds the state that is used only while the replica leads.
	leaderState struct {
		progress     map[fleet.VMID]*progress
		joinRequests map[fleet.VMID]fleet.Incarnation
		// noopIndex is the index of the first entry of the leader's own term.
		noopIndex    Index
		round        uint64 // newest heartbeat round, counted from 1
		heartbeatDue bool
		// lastCheck is the time of the last periodic check on the election clock. The
		// heartbeats that reads cause don't count: with frequent reads, no check would
		// be made.
		lastCheck time.Duration
		// roundTimes holds the time on the lease clock at which each heartbeat
		// round was sent, starting with firstRound. Rounds before minLeaseRound
		// give no lease.
		roundTimes    []time.Duration
		firstRound    uint64
		minLeaseRound uint64
		reads         []pendingRead
		// challenges holds the last challenge that was sent to each VM.
		challenges    map[fleet.VMID]joinChallenge
		lastChallenge uint64
	}

	// joinChallenge is a number that an incarnation must repeat in order to replace
	// another one of its VM.
	joinChallenge struct {
		incarnation fleet.Incarnation
		number      uint64
		sent        time.Duration // on the election clock
	}

	// progress is the replication state of one member. All entries up to match
	// are durable at that member, and next is the index of the next entry to
	// send.
	progress struct {
		incarnation fleet.Incarnation
		match, next Index
		// probing is set until the member confirms that its log matches up to
		// next-1. Until then, the leader sends the member only Append messages
		// without entries, one per heartbeat or rejection.
		probing bool
		// probeNow makes the leader send an Append without entries at once,
		// instead of at the next heartbeat.
		probeNow    bool
		round       uint64        // newest round that the member has answered
		lastContact time.Duration // on the election clock
		// admittedRound is the newest heartbeat round when this leader learnt of the
		// member.
		admittedRound uint64
		// goal is the index that a learner must reach in order to be promoted, and
		// goalSet is the time on the election clock at which it was the commit index.
		goal     Index
		goalSet  time.Duration
		transfer *snapshotTransfer
		// inflight holds the batches that the member has not acknowledged, and
		// inflightBytes is their size.
		inflight      []sentBatch
		inflightBytes int
	}

	// sentBatch is a batch of entries that was sent. last is the index of its last entry.
	sentBatch struct {
		last Index
		size int
	}

	// snapshotTransfer is a snapshot file that is being sent to one member.
	snapshotTransfer struct {
		at       Position
		data     []byte
		offset   int
		lastSent time.Duration // on the election clock
	}

	pendingRead struct {
		id    ReadID
		index Index
		round uint64
	}
)

func (r *Replica) becomeLeader() {
	r.leaderState = leaderState{
		progress:      map[fleet.VMID]*progress{},
		joinRequests:  map[fleet.VMID]fleet.Incarnation{},
		challenges:    map[fleet.VMID]joinChallenge{},
		firstRound:    1,
		minLeaseRound: 1,
		heartbeatDue:  true,
		lastCheck:     r.electionClock,
		noopIndex:     r.lastIndex() + 1,
	}
	r.leader = r.self.VM
	r.stats.LeaderChanges++
	r.appendNewEntry(NoopEntry, nil)
	r.updateProgress()
}

// updateProgress brings the progress table in line with the newest config.
func (r *Replica) updateProgress() {
	members := r.config().Members
	for vm := range r.progress {
		if r.config().find(vm) == nil {
			delete(r.progress, vm)
		}
	}
	for _, m := range members {
		p := r.progress[m.VM]
		if m.Identity == r.self || p != nil && p.incarnation == m.Incarnation {
			continue
		}
		// A new member counts as recently active at first. An unreachable
		// member stops counting as active after ElectionTimeout without contact.
		r.progress[m.VM] = &progress{incarnation: m.Incarnation, next: r.lastIndex() + 1, probing: true, lastContact: r.electionClock,
			admittedRound: r.round, goal: r.commit, goalSet: r.electionClock}
	}
}

func (r *Replica) progressOf(id Identity) *progress {
	if p := r.progress[id.VM]; p != nil && p.incarnation == id.Incarnation {
		return p
	}
	return nil
}

func (r *Replica) recentlyActive(id Identity) bool {
	if id == r.self {
		return true
	}
	p := r.progressOf(id)
	return p != nil && r.electionClock-p.lastContact < r.opts.ElectionTimeout
}

// heard reports whether a member is recently active and has answered this leader. After
// an election, members count as recently active before they have.
func (r *Replica) heard(id Identity) bool {
	p := r.progressOf(id)
	return id == r.self || p != nil && p.round > 0 && r.recentlyActive(id)
}

func (r *Replica) checkLeader() error {
	if r.stopErr != nil {
		return r.stopErr
	}
	if r.role != roleLeader {
		return &NotLeaderError{Leader: r.leader}
	}
	return nil
}

// Propose appends a command to the log. The caller must not change the command
// afterwards. A later Output holds a Result with the returned id. Propose
// returns a NotLeaderError, TooLargeError, BusyError or StoppedError if it did
// not append the command.
func (r *Replica) Propose(command []byte, now time.Time) (ProposalID, error) {
	r.advanceClocks(now)
	if err := r.checkLeader(); err != nil {
		return 0, err
	}
	if len(command) > r.opts.MaxCommand {
		return 0, &TooLargeError{Size: len(command), Limit: r.opts.MaxCommand}
	}
	if r.unappliedBytes+len(command) > r.opts.MaxPending {
		return 0, &BusyError{Pending: r.unappliedBytes, Limit: r.opts.MaxPending}
	}
	r.stats.Proposals++
	return r.appendNewEntry(CommandEntry, command), nil
}

func (r *Replica) appendNewEntry(kind EntryKind, data []byte) ProposalID {
	e := Entry{
		Index: r.lastIndex() + 1,
		Term:  r.hard.Term,
		Kind:  kind,
		Stamp: max(r.lastStamp(), r.lastCall.UnixNano()),
		Data:  data,
	}
	r.appendEntry(e)
	if kind == NoopEntry {
		return 0
	}
	r.lastProposalID++
	r.pendingProposals[e.Index] = r.lastProposalID
	return r.lastProposalID
}

// Read requests a linearizable read. A later Output holds a Read with the
// returned id. If that Read has no error, the state machine then reflects all
// writes acknowledged before this call. Read returns a NotLeaderError if this
// replica does not lead, and a StoppedError if it has stopped.
func (r *Replica) Read(now time.Time) (ReadID, error) {
	r.advanceClocks(now)
	if err := r.checkLeader(); err != nil {
		return 0, err
	}
	r.lastReadID++
	r.stats.Reads++
	read := pendingRead{id: r.lastReadID, index: max(r.commit, r.noopIndex)}
	if !r.opts.QuorumReads && r.leaseValid() {
		r.stats.ReadsByLease++
	} else {
		read.round = r.round + 1
		r.heartbeatDue = true
	}
	r.reads = append(r.reads, read)
	return read.id, nil
}

// Transfer transfers the leadership to the recently active voter with the
// highest match index, for a planned shutdown. It returns a NotLeaderError if
// this replica does not lead, a StoppedError if it has stopped, and a
// MembershipError if no other voter is recently active.
func (r *Replica) Transfer(now time.Time) error {
	r.advanceClocks(now)
	if err := r.checkLeader(); err != nil {
		return err
	}
	return r.transfer()
}

func (r *Replica) transfer() error {
	var candidate Identity
	match := Index(0)
	_, next := r.config().voterSets()
	for _, id := range next {
		p := r.progressOf(id)
		if p != nil && p.match > match && r.recentlyActive(id) {
			candidate, match = id, p.match
		}
	}
	if candidate.VM == "" {
		return &MembershipError{VM: r.self.VM, Reason: "no other voter is reachable"}
	}
	// In a transfer, voters grant votes although they heard from this leader
	// within the last ElectionTimeout. The leader therefore steps down, which gives up
	// its lease, before the queued message leaves: r.send only queues it, and
	// the caller sends it after the next Flush.
	r.send(candidate.VM, Message{Kind: TimeoutNow, Term: r.hard.Term, To: candidate.Incarnation})
	r.stepDown(eventTransfer)
	return nil
}

func (r *Replica) failPending() {
	for _, index := range slices.Sorted(maps.Keys(r.pendingProposals)) {
		err := &OutcomeUnknownError{Index: index}
		r.output.Results = append(r.output.Results, Result{ID: r.pendingProposals[index], Index: index, Err: err})
	}
	clear(r.pendingProposals)
	for _, read := range r.reads {
		r.output.Reads = append(r.output.Reads, Read{ID: read.id, Err: &NotLeaderError{Leader: r.leader}})
	}
	r.reads = nil
}

func (r *Replica) tickLeader() {
	if r.electionClock-r.lastCheck < r.opts.Heartbeat {
		return
	}
	r.lastCheck = r.electionClock
	if !r.config().hasQuorum(r.recentlyActive) {
		r.stats.QuorumLosses++
		r.stepDown(eventQuorumLost)
		return
	}
	r.observeSilence()
	r.heartbeatDue = true
	r.manageMembers()
}

// broadcast sends missing entries to each member, and a heartbeat if one is due.
func (r *Replica) broadcast() {
	heartbeat := r.heartbeatDue
	if heartbeat {
		r.heartbeatDue = false
		r.round++
		r.roundTimes = append(r.roundTimes, r.leaseClock)
		r.trimRounds()
	}
	for _, m := range r.config().Members {
		if p := r.progress[m.VM]; p != nil {
			r.replicate(&m, p, heartbeat)
		}
	}
}

func (r *Replica) replicate(m *Member, p *progress, heartbeat bool) {
	to, upTo := m.VM, r.sendableIndex(m)
	if !r.recentlyActive(m.Identity) {
		r.suspend(p)
	}
	if p.transfer != nil {
		if heartbeat && r.electionClock-p.transfer.lastSent >= 2*r.opts.Heartbeat {
			r.sendChunk(to, p)
		}
		return
	}
	heartbeat = heartbeat || p.probeNow
	p.probeNow = false
	for heartbeat || !p.probing && p.next <= upTo && r.hasWindow(p) {
		if p.next <= r.base.Index {
			r.startTransfer(to, p)
			return
		}
		prev := Position{Index: p.next - 1, Term: r.termAt(p.next - 1)}
		var entries []Entry
		if !p.probing && r.hasWindow(p) {
			entries = r.batch(p.next, upTo)
			p.recordSent(entries)
		}
		r.send(to, Message{Kind: Append, Term: r.hard.Term, To: p.incarnation, Position: prev, Commit: r.commit, Entries: entries, Round: r.round})
		p.next += Index(len(entries))
		heartbeat = false
	}
}

// sendableIndex returns the index up to which entries are sent to a member. Learners get
// only committed entries. Otherwise, a learner could be the only one that still holds an
// entry of the newest term. It would reject a candidate that counts it as a voter by a
// config that is not committed, could not become a candidate itself, and no leader could
// be elected although a quorum has its disks.
func (r *Replica) sendableIndex(m *Member) Index {
	if m.Voter {
		return r.lastIndex()
	}
	return r.commit
}

// suspend ends the sending of entries or of a snapshot to a member that does not answer:
// they would only accumulate. Heartbeats without entries then ask the member where its
// log ends, from the start of the log on if that is later than the next entry to send.
func (r *Replica) suspend(p *progress) {
	p.transfer = nil
	p.probing = true
	p.next = max(p.next, r.base.Index+1)
	p.recordAcknowledged(p.next)
}

// hasWindow reports whether the entries that a member has not acknowledged leave room for
// another batch.
func (r *Replica) hasWindow(p *progress) bool {
	return p.next <= p.match+maxInflight && p.inflightBytes < maxInflightBatches*r.opts.MaxBatch
}

func (p *progress) recordSent(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	b := sentBatch{last: entries[len(entries)-1].Index}
	for i := range entries {
		b.size += len(entries[i].Data)
	}
	p.inflight = append(p.inflight, b)
	p.inflightBytes += b.size
}

// recordAcknowledged removes the batches up to an index.
func (p *progress) recordAcknowledged(upTo Index) {
	n := 0
	for n < len(p.inflight) && p.inflight[n].last <= upTo {
		p.inflightBytes -= p.inflight[n].size
		n++
	}
	p.inflight = p.inflight[n:]
}

// batch returns a copy of the next entries to send, starting with index from and up to
// upTo: at most MaxBatch bytes, but at least one entry if there is one.
func (r *Replica) batch(from, upTo Index) []Entry {
	if from > upTo {
		return nil
	}
	rest := r.log[from-r.base.Index-1 : upTo-r.base.Index]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > r.opts.MaxBatch {
			rest = rest[:i]
			break
		}
	}
	return slices.Clone(rest)
}

func (r *Replica) startTransfer(to fleet.VMID, p *progress) {
	s, data, err := readSnapshot(r.opts.FS)
	if err == nil && s == nil {
		err = &CorruptError{File: snapshotPrefix, Reason: "the snapshot that precedes the log is missing"}
	}
	if err != nil {
		r.stop(err)
		return
	}
	p.transfer = &snapshotTransfer{at: s.At, data: data}
	r.sendChunk(to, p)
}

func (r *Replica) sendChunk(to fleet.VMID, p *progress) {
	t := p.transfer
	t.lastSent = r.electionClock
	end := min(t.offset+r.opts.ChunkSize, len(t.data))
	r.stats.ChunksSent++
	r.send(to, Message{
		Kind: SnapshotChunk, Term: r.hard.Term, To: p.incarnation, Position: t.at, Commit: r.commit, Round: r.round,
		Offset: uint64(t.offset), Total: uint64(len(t.data)), Data: t.data[t.offset:end],
	})
}

func (r *Replica) handleChunkReply(from Identity, m *Message) {
	p := r.recordReply(from, m)
	if p == nil || p.transfer == nil || p.transfer.at != m.Position || m.Offset >= uint64(len(p.transfer.data)) {
		return
	}
	// The next chunk is sent at once only if the offset has advanced, so that a
	// duplicate reply does not duplicate the remaining chunks. A lost chunk is
	// resent with a later heartbeat.
	advanced := int(m.Offset) > p.transfer.offset
	p.transfer.offset = int(m.Offset)
	if advanced {
		r.sendChunk(from.VM, p)
	}
}

// recordReply updates and returns the progress of the sender. It returns nil if
// the sender's incarnation is not a member, or if the reply has a round that
// this leader has not started.
func (r *Replica) recordReply(from Identity, m *Message) *progress {
	p := r.progressOf(from)
	if p == nil || m.Round > r.round {
		r.stats.MessagesIgnored++
		return nil
	}
	p.lastContact = r.electionClock
	p.round = max(p.round, m.Round)
	// The member runs, so no other incarnation does.
	delete(r.joinRequests, from.VM)
	return p
}

func (r *Replica) handleAppendReply(from Identity, m *Message) {
	p := r.recordReply(from, m)
	if p == nil {
		return
	}
	if m.Reject {
		// A rejection is obsolete if the member has since confirmed the entry,
		// or if next has since been lowered by another rejection.
		if m.Position.Index <= p.match || p.probing && m.Position.Index+1 != p.next {
			return
		}
		// What was sent after the conflict is sent again.
		p.recordAcknowledged(p.next)
		p.next = max(min(m.ConflictHint, m.Position.Index-1), p.match) + 1
		p.probing, p.probeNow = true, true
		return
	}
	if m.Position.Index > r.lastIndex() {
		r.stop(&InvariantError{Reason: fmt.Sprintf("%s acknowledged entry %d, which was never sent", from.VM, m.Position.Index)})
		return
	}
	p.match = max(p.match, m.Position.Index)
	p.recordAcknowledged(p.match)
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.transfer != nil && p.match >= p.transfer.at.Index {
		p.transfer = nil
		p.next = p.match + 1
	}
	if !r.config().isVoter(from) {
		r.manageMembers()
	}
}

func (r *Replica) advanceCommit() {
	match := quorumValue(r.config(), func(id Identity) Index {
		if id == r.self {
			return r.lastIndex()
		}
		if p := r.progressOf(id); p != nil {
			return p.match
		}
		return 0
	})
	if match > r.commit && r.termAt(match) == r.hard.Term {
		r.commit = match
	}
}

// quorumRound returns the newest heartbeat round that a quorum has answered.
func (r *Replica) quorumRound() uint64 {
	return quorumValue(r.config(), func(id Identity) uint64 {
		if id == r.self {
			return r.round
		}
		if p := r.progressOf(id); p != nil {
			return p.round
		}
		return 0
	})
}

// leaseValid reports whether, by the lease, no other leader can exist now. The
// lease is 10 % shorter than the time for which voters withhold votes, to
// tolerate clocks that run at different rates.
func (r *Replica) leaseValid() bool {
	round := r.quorumRound()
	if round < r.minLeaseRound || round < r.firstRound {
		return false
	}
	sent := r.roundTimes[round-r.firstRound]
	return r.leaseClock-sent < r.opts.ElectionTimeout*9/10
}

// invalidateLease excludes all rounds so far from the lease. It is called after
// the clock stepped back, when the time since these rounds were sent is
// unknown.
func (r *Replica) invalidateLease() { r.minLeaseRound = r.round + 1 }

func (r *Replica) trimRounds() {
	round := r.quorumRound()
	if round > r.firstRound {
		r.roundTimes = slices.Clone(r.roundTimes[round-r.firstRound:])
		r.firstRound = round
	}
}

func (r *Replica) serveReads() {
	if r.role != roleLeader || len(r.reads) == 0 {
		return
	}
	round := r.quorumRound()
	r.reads = slices.DeleteFunc(r.reads, func(read pendingRead) bool {
		if r.applied < read.index || round < read.round {
			return false
		}
		r.output.Reads = append(r.output.Reads, Read{ID: read.id, Index: r.applied})
		return true
	})
}
