package replica

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// leading is the state that only a leader has.
	leading struct {
		progress map[fleet.VMID]*progress
		joining  map[fleet.VMID]fleet.Incarnation
		// noop is the index of the first entry of the own term.
		noop     Index
		round    uint64
		wantBeat bool
		lastBeat time.Duration // by the promise clock
		// beatCommit is the commit index at the last heartbeat.
		beatCommit Index
		// sent holds the lease clock at the sending of the rounds from
		// firstSent on. Rounds below void prove no lease.
		sent      []time.Duration
		firstSent uint64
		void      uint64
		reads     []pendingRead
		// pendingBytes is the size of the commands that wait for commit.
		pendingBytes int
	}

	// progress is what the leader knows of one member. All entries up to match
	// are durable at that member.
	progress struct {
		inc         fleet.Incarnation
		match, next Index
		// probing is set while next is a guess; then only empty messages are
		// sent, one per heartbeat or rejection.
		probing  bool
		probeNow bool
		round    uint64
		heard    time.Duration // by the promise clock
		transfer *transfer
	}

	// transfer is a snapshot file that is being sent.
	transfer struct {
		at     Position
		data   []byte
		offset int
		sent   time.Duration // by the promise clock
	}

	pendingRead struct {
		id    ReadID
		index Index
		round uint64
	}
)

func (r *Replica) lead() {
	r.leading = leading{
		progress:  map[fleet.VMID]*progress{},
		joining:   map[fleet.VMID]fleet.Incarnation{},
		firstSent: 1,
		void:      1,
		wantBeat:  true,
		noop:      r.lastIndex() + 1,
	}
	r.leader = r.self.VM
	r.stats.LeaderChanges++
	r.appendOwn(NoopEntry, nil)
	r.followProgress()
}

// followProgress adapts the progress table to the newest config.
func (r *Replica) followProgress() {
	members := r.config().Members
	for vm := range r.progress {
		if r.config().find(vm) == nil {
			delete(r.progress, vm)
		}
	}
	for _, m := range members {
		p := r.progress[m.VM]
		if m.Identity == r.self || p != nil && p.inc == m.Incarnation {
			continue
		}
		// A new leader assumes contact, and finds out within ElectionTimeout.
		r.progress[m.VM] = &progress{inc: m.Incarnation, next: r.lastIndex() + 1, probing: true, heard: r.promise}
	}
}

func (r *Replica) progressOf(id Identity) *progress {
	if p := r.progress[id.VM]; p != nil && p.inc == id.Incarnation {
		return p
	}
	return nil
}

func (r *Replica) heardRecently(id Identity) bool {
	if id == r.self {
		return true
	}
	p := r.progressOf(id)
	return p != nil && r.promise-p.heard < r.o.ElectionTimeout
}

func (r *Replica) mustLead() error {
	if r.fault != nil {
		return r.fault
	}
	if r.role != roleLeader {
		return &NotLeaderError{Leader: r.leader}
	}
	return nil
}

// Propose appends a command, which the replica owns from then on. Its Result
// comes with a later Output. It returns a NotLeaderError, TooLargeError,
// BusyError or StoppedError if the command is certainly not run.
func (r *Replica) Propose(command []byte, now time.Time) (ProposalID, error) {
	r.advance(now)
	if err := r.mustLead(); err != nil {
		return 0, err
	}
	if len(command) > r.o.MaxCommand {
		return 0, &TooLargeError{Size: len(command), Limit: r.o.MaxCommand}
	}
	if r.pendingBytes+len(command) > r.o.MaxPending {
		return 0, &BusyError{Pending: r.pendingBytes, Limit: r.o.MaxPending}
	}
	r.stats.Proposals++
	return r.appendOwn(CommandEntry, command), nil
}

func (r *Replica) appendOwn(kind EntryKind, data []byte) ProposalID {
	e := Entry{
		Index: r.lastIndex() + 1,
		Term:  r.hard.Term,
		Kind:  kind,
		Stamp: max(r.lastStamp(), r.last.UnixNano()),
		Data:  data,
	}
	r.appendEntry(e)
	if kind == NoopEntry {
		return 0
	}
	r.pendingBytes += len(data)
	r.proposals++
	r.waiting[e.Index] = r.proposals
	return r.proposals
}

// Read asks for a moment at which the state machine holds all that was
// acknowledged before this call; a Read with the returned id comes with a
// later Output. It returns a NotLeaderError or StoppedError.
func (r *Replica) Read(now time.Time) (ReadID, error) {
	r.advance(now)
	if err := r.mustLead(); err != nil {
		return 0, err
	}
	r.readIDs++
	r.stats.Reads++
	read := pendingRead{id: r.readIDs, index: max(r.commit, r.noop)}
	if !r.o.QuorumReads && r.leaseValid() {
		r.stats.ReadsByLease++
	} else {
		read.round = r.round + 1
		r.wantBeat = true
	}
	r.reads = append(r.reads, read)
	return read.id, nil
}

// Transfer gives up the leadership in favour of the voter with the longest
// log, for a planned shutdown. It returns a NotLeaderError or ChangeError.
func (r *Replica) Transfer(now time.Time) error {
	r.advance(now)
	if err := r.mustLead(); err != nil {
		return err
	}
	var best Identity
	match := Index(0)
	for _, id := range r.config().voters() {
		p := r.progressOf(id)
		if p != nil && p.match > match && r.heardRecently(id) {
			best, match = id, p.match
		}
	}
	if best.VM == "" {
		return &ChangeError{VM: r.self.VM, Reason: "no other voter is reachable"}
	}
	// Followers vote in spite of their promise, so that the leadership and its
	// lease must end first.
	r.send(best.VM, Message{Kind: TimeoutNow, Term: r.hard.Term, To: best.Incarnation})
	r.loseLeadership(eventTransfer)
	return nil
}

func (r *Replica) failWaiting() {
	for _, index := range slices.Sorted(maps.Keys(r.waiting)) {
		err := &OutcomeUnknownError{Index: index}
		r.out.Results = append(r.out.Results, Result{ID: r.waiting[index], Index: index, Err: err})
	}
	clear(r.waiting)
	for _, read := range r.reads {
		r.out.Reads = append(r.out.Reads, Read{ID: read.id, Err: &NotLeaderError{Leader: r.leader}})
	}
	r.reads = nil
}

func (r *Replica) tickLeader() {
	if r.promise-r.lastBeat < r.o.Heartbeat {
		return
	}
	if !r.config().reached(r.heardRecently) {
		r.stats.QuorumLosses++
		r.loseLeadership(eventQuorumLost)
		return
	}
	r.manageMembers()
	r.beatCommit = r.commit
	r.wantBeat = true
}

// broadcast sends to each member what it lacks, and a heartbeat if one is due.
func (r *Replica) broadcast() {
	beat := r.wantBeat
	if beat {
		r.wantBeat = false
		r.lastBeat = r.promise
		r.round++
		r.sent = append(r.sent, r.lease)
		r.trimRounds()
	}
	for _, m := range r.config().Members {
		if p := r.progress[m.VM]; p != nil {
			r.replicate(m.VM, p, beat)
		}
	}
}

func (r *Replica) replicate(to fleet.VMID, p *progress, beat bool) {
	if p.transfer != nil {
		if beat && r.promise-p.transfer.sent >= 2*r.o.Heartbeat {
			r.sendChunk(to, p)
		}
		return
	}
	beat = beat || p.probeNow
	p.probeNow = false
	for beat || !p.probing && p.next <= r.lastIndex() && p.next <= p.match+maxInflight {
		if p.next <= r.base.Index {
			r.startTransfer(to, p)
			return
		}
		prev := Position{Index: p.next - 1, Term: r.termAt(p.next - 1)}
		var entries []Entry
		if !p.probing {
			entries = r.batch(p.next)
		}
		r.send(to, Message{Kind: Append, Term: r.hard.Term, To: p.inc, At: prev, Commit: r.commit, Entries: entries, Round: r.round})
		p.next += Index(len(entries))
		beat = false
	}
}

// batch returns a copy of the entries from index on, up to MaxBatch bytes.
func (r *Replica) batch(from Index) []Entry {
	rest := r.log[from-r.base.Index-1:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > r.o.MaxBatch {
			rest = rest[:i]
			break
		}
	}
	return slices.Clone(rest)
}

func (r *Replica) startTransfer(to fleet.VMID, p *progress) {
	s, data, err := readSnapshot(r.o.FS)
	if err == nil && s == nil {
		err = &CorruptError{File: snapshotPrefix, Reason: "the snapshot before the log is missing"}
	}
	if err != nil {
		r.stop(err)
		return
	}
	p.transfer = &transfer{at: s.At, data: data}
	r.sendChunk(to, p)
}

func (r *Replica) sendChunk(to fleet.VMID, p *progress) {
	t := p.transfer
	t.sent = r.promise
	end := min(t.offset+r.o.ChunkSize, len(t.data))
	r.stats.ChunksSent++
	r.send(to, Message{
		Kind: Chunk, Term: r.hard.Term, To: p.inc, At: t.at, Commit: r.commit, Round: r.round,
		Offset: uint64(t.offset), Total: uint64(len(t.data)), Data: t.data[t.offset:end],
	})
}

func (r *Replica) handleChunkReply(from Identity, m *Message) {
	p := r.acknowledged(from, m)
	if p == nil || p.transfer == nil || p.transfer.at != m.At || m.Offset >= uint64(len(p.transfer.data)) {
		return
	}
	// Only progress is answered at once, so that a duplicated reply doesn't
	// double the chunks; a heartbeat resends.
	ahead := int(m.Offset) > p.transfer.offset
	p.transfer.offset = int(m.Offset)
	if ahead {
		r.sendChunk(from.VM, p)
	}
}

// acknowledged notes contact with a member, or returns nil for a stranger.
func (r *Replica) acknowledged(from Identity, m *Message) *progress {
	p := r.progressOf(from)
	if p == nil || m.Round > r.round {
		r.stats.MessagesIgnored++
		return nil
	}
	p.heard = r.promise
	p.round = max(p.round, m.Round)
	return p
}

func (r *Replica) handleAppendReply(from Identity, m *Message) {
	p := r.acknowledged(from, m)
	if p == nil {
		return
	}
	if m.Reject {
		// All but the first of several rejections in flight are obsolete.
		if m.At.Index <= p.match || p.probing && m.At.Index+1 != p.next {
			return
		}
		p.next = max(min(m.Hint, m.At.Index-1), p.match) + 1
		p.probing, p.probeNow = true, true
		return
	}
	if m.At.Index > r.lastIndex() {
		r.stop(&InvariantError{Reason: fmt.Sprintf("%s acknowledges entry %d, which was never sent", from.VM, m.At.Index)})
		return
	}
	p.match = max(p.match, m.At.Index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.transfer != nil && p.match >= p.transfer.at.Index {
		p.transfer = nil
		p.next = p.match + 1
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

// quorumRound returns the newest round that a quorum has answered.
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

// leaseValid reports whether no other leader can exist now. The lease is 10 %
// shorter than the promise of the voters, for clocks of different rates.
func (r *Replica) leaseValid() bool {
	round := r.quorumRound()
	if round < r.void || round < r.firstSent {
		return false
	}
	sent := r.sent[round-r.firstSent]
	return r.lease-sent < r.o.ElectionTimeout*9/10
}

// voidLease discards the rounds so far, whose age is unknown.
func (r *Replica) voidLease() { r.void = r.round + 1 }

func (r *Replica) trimRounds() {
	round := r.quorumRound()
	if round > r.firstSent {
		r.sent = slices.Clone(r.sent[round-r.firstSent:])
		r.firstSent = round
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
		r.out.Reads = append(r.out.Reads, Read{ID: read.id, Index: r.applied})
		return true
	})
}
