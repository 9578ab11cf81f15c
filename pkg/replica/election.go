package replica

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Step takes one message. What it causes is released by the next Flush.
func (r *Replica) Step(from fleet.VMID, m Message, now time.Time) {
	r.advance(now)
	if r.fault != nil {
		return
	}
	r.stats.MessagesReceived++
	if m.To != 0 && m.To != r.self.Incarnation {
		r.stats.MessagesIgnored++
		return
	}
	sender := Identity{VM: from, Incarnation: m.From}
	switch m.Kind {
	case PreVote:
		r.handlePreVote(sender, &m)
	case Vote:
		r.handleVote(sender, &m)
	case Join:
		r.handleJoin(sender)
	case Append, Chunk, TimeoutNow:
		r.handleFromLeader(sender, &m)
	default:
		r.handleReply(sender, &m)
	}
}

func (r *Replica) handleReply(from Identity, m *Message) {
	granted := m.Kind == PreVoteReply && !m.Reject
	if m.Term > r.hard.Term && !granted {
		r.follow(m.Term, "")
		return
	}
	switch {
	case m.Kind == PreVoteReply && r.role == rolePreCandidate && m.Term == r.hard.Term+1:
		r.countVote(from, m)
	case m.Kind == VoteReply && r.role == roleCandidate && m.Term == r.hard.Term:
		r.countVote(from, m)
	case m.Kind == AppendReply && r.role == roleLeader && m.Term == r.hard.Term:
		r.handleAppendReply(from, m)
	case m.Kind == ChunkReply && r.role == roleLeader && m.Term == r.hard.Term:
		r.handleChunkReply(from, m)
	default:
		r.stats.MessagesIgnored++
	}
}

// handleFromLeader checks the term of a message that only a leader sends. A
// leader of an old term learns the new one from the reply.
func (r *Replica) handleFromLeader(from Identity, m *Message) {
	if m.Term < r.hard.Term {
		r.stats.MessagesIgnored++
		r.reply(from, Message{Kind: AppendReply, Reject: true})
		return
	}
	if m.Kind == TimeoutNow {
		r.handleTimeoutNow(m)
		return
	}
	if m.Term == r.hard.Term && r.role == roleLeader {
		r.stop(&InvariantError{Reason: "two leaders in one term"})
		return
	}
	if m.Term > r.hard.Term || r.leader != from.VM || r.role == rolePreCandidate || r.role == roleCandidate {
		r.follow(m.Term, from.VM)
	}
	r.heard = r.promise
	r.resetElection()
	if m.Kind == Append {
		r.handleAppend(from, m)
		return
	}
	r.handleChunk(from, m)
}

// follow enters the term of another replica; leader is empty if unknown.
func (r *Replica) follow(term Term, leader fleet.VMID) {
	switch {
	case leader != "":
		r.loseLeadership(eventLeaderSeen)
	default:
		r.loseLeadership(eventHigherTerm)
	}
	if term > r.hard.Term {
		r.setHard(hardState{Term: term})
	}
	if leader != "" && leader != r.leader {
		r.stats.LeaderChanges++
	}
	r.leader = leader
	r.followConfig()
}

// loseLeadership fires an event that makes the replica a follower.
func (r *Replica) loseLeadership(e chart.Event) {
	was := r.role
	r.fire(e)
	r.leader, r.votes = "", nil
	if was == roleLeader {
		r.failWaiting()
		r.leading = leading{}
		r.resetElection()
	}
}

func (r *Replica) resetElection() {
	spread := time.Duration(r.o.Rand.Int64N(int64(r.o.ElectionTimeout)))
	r.electionDeadline = r.promise + r.o.ElectionTimeout + spread
}

// campaign asks for pre-votes, which change no term.
func (r *Replica) campaign() {
	r.fire(eventElectionTimeout)
	r.leader = ""
	r.resetElection()
	r.requestVotes(PreVote, r.hard.Term+1, false)
	if r.o.Admit {
		// A voter that was removed while it was silent can't know it, nor that
		// none of the voters it knows is left.
		r.askForAdmission()
	}
}

func (r *Replica) handleTimeoutNow(m *Message) {
	if m.Term != r.hard.Term || r.role != roleFollower && r.role != rolePreCandidate {
		r.stats.MessagesIgnored++
		return
	}
	r.fire(eventTransfer)
	r.elect(true)
}

// elect starts an election in a new term.
func (r *Replica) elect(transfer bool) {
	r.stats.Elections++
	r.leader = ""
	r.setHard(hardState{Term: r.hard.Term + 1, Vote: r.self})
	r.resetElection()
	r.requestVotes(Vote, r.hard.Term, transfer)
}

func (r *Replica) requestVotes(kind MessageKind, term Term, transfer bool) {
	r.votes = map[Identity]bool{r.self: true}
	for _, id := range r.config().voters() {
		if id == r.self {
			continue
		}
		r.send(id.VM, Message{Kind: kind, Term: term, To: id.Incarnation, At: r.lastPosition(), Transfer: transfer})
	}
	r.checkVotes()
}

func (r *Replica) countVote(from Identity, m *Message) {
	if m.Reject {
		return
	}
	r.votes[from] = true
	r.checkVotes()
}

func (r *Replica) checkVotes() {
	if !r.config().reached(func(id Identity) bool { return r.votes[id] }) {
		return
	}
	if r.role == rolePreCandidate {
		r.fire(eventPreVoteWon)
		r.elect(false)
		return
	}
	r.fire(eventVoteWon)
	r.lead()
}

// promised reports whether a leader may rely on this replica to vote for
// nobody else. A replica that has just started may have forgotten a leader.
func (r *Replica) promised() bool {
	return r.role == roleLeader || r.promise-r.heard < r.o.ElectionTimeout
}

func (r *Replica) handlePreVote(from Identity, m *Message) {
	reject := m.Term <= r.hard.Term || r.promised() || !r.upToDate(m.At)
	reply := Message{Kind: PreVoteReply, Reject: reject}
	if !reject {
		reply.Term = m.Term
	}
	r.reply(from, reply)
}

func (r *Replica) handleVote(from Identity, m *Message) {
	if m.Term >= r.hard.Term && !m.Transfer && r.promised() {
		r.stats.MessagesIgnored++
		return
	}
	if m.Term > r.hard.Term {
		r.follow(m.Term, "")
	}
	free := r.hard.Vote == Identity{} || r.hard.Vote == from
	grant := m.Term == r.hard.Term && free && r.upToDate(m.At)
	if grant {
		r.setHard(hardState{Term: r.hard.Term, Vote: from})
		r.resetElection()
	}
	r.reply(from, Message{Kind: VoteReply, Reject: !grant})
}

func (r *Replica) upToDate(at Position) bool {
	last := r.lastPosition()
	return at.Term > last.Term || at.Term == last.Term && at.Index >= last.Index
}

// reply sends a message of the current term, unless another term is set.
func (r *Replica) reply(to Identity, m Message) {
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	m.To = to.Incarnation
	r.send(to.VM, m)
}

// announce asks for admission while no leader replicates to this replica.
func (r *Replica) announce() {
	heard := r.leader != "" && r.promise-r.heard < r.o.ElectionTimeout
	if heard || r.promise-r.lastJoin < r.o.ElectionTimeout/2 {
		return
	}
	r.askForAdmission()
}

// askForAdmission announces this replica to all others that it knows. A leader
// ignores it from a member of the present incarnation.
func (r *Replica) askForAdmission() {
	r.lastJoin = r.promise
	peers := slices.Clone(r.o.Peers)
	for _, m := range r.config().Members {
		if !slices.Contains(peers, m.VM) {
			peers = append(peers, m.VM)
		}
	}
	for _, vm := range peers {
		if vm != r.self.VM {
			r.send(vm, Message{Kind: Join, Term: r.hard.Term})
		}
	}
}

func (r *Replica) handleJoin(from Identity) {
	if r.role == roleLeader && from.Incarnation > r.joining[from.VM] {
		r.joining[from.VM] = from.Incarnation
	}
}
