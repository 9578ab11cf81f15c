package replica

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Step processes one message. The next Flush returns the resulting output.
func (r *Replica) Step(from fleet.VMID, m Message, now time.Time) {
	r.advanceClocks(now)
	if r.stopErr != nil {
		return
	}
	r.stats.MessagesReceived++
	if m.To != 0 && m.To != r.self.Incarnation {
		r.stats.MessagesIgnored++
		return
	}
	sender := Identity{VM: from, Incarnation: m.From}
	r.observe(sender, &m)
	switch m.Kind {
	case PreVote:
		r.handlePreVote(sender, &m)
	case Vote:
		r.handleVote(sender, &m)
	case Join:
		r.handleJoin(sender, &m)
	case JoinReply:
		r.handleJoinReply(sender, &m)
	case Append, SnapshotChunk, TimeoutNow:
		r.handleFromLeader(sender, &m)
	default:
		r.handleReply(sender, &m)
	}
}

func (r *Replica) handleReply(from Identity, m *Message) {
	granted := m.Kind == PreVoteReply && !m.Reject
	if m.Term > r.hard.Term && !granted {
		r.becomeFollower(m.Term, "")
		return
	}
	switch {
	case m.Kind == PreVoteReply && r.role == rolePreCandidate && m.Term == r.hard.Term+1:
		r.countVote(from, m)
	case m.Kind == VoteReply && r.role == roleCandidate && m.Term == r.hard.Term:
		r.countVote(from, m)
	case m.Kind == AppendReply && r.role == roleLeader && m.Term == r.hard.Term:
		r.handleAppendReply(from, m)
	case m.Kind == SnapshotChunkReply && r.role == roleLeader && m.Term == r.hard.Term:
		r.handleChunkReply(from, m)
	default:
		r.stats.MessagesIgnored++
	}
}

// handleFromLeader processes a message that only a leader sends. A leader of an
// old term learns the current term from the reply.
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
		r.stop(&InvariantError{Reason: "a term has two leaders"})
		return
	}
	if m.Term > r.hard.Term || r.leader != from.VM || r.role == rolePreCandidate || r.role == roleCandidate {
		r.becomeFollower(m.Term, from.VM)
	}
	r.lastContact = r.electionClock
	r.leaderCommit = m.Commit
	r.namedPeers = nil
	r.resetElection()
	if m.Kind == Append {
		r.handleAppend(from, m)
		return
	}
	r.handleChunk(from, m)
}

// becomeFollower steps down and adopts term if it is higher than the current
// term. The argument leader is empty if the leader of the term is unknown.
func (r *Replica) becomeFollower(term Term, leader fleet.VMID) {
	switch {
	case leader != "":
		r.stepDown(eventLeaderSeen)
	default:
		r.stepDown(eventHigherTerm)
	}
	if term > r.hard.Term {
		r.setHardState(hardState{Term: term})
	}
	if leader != "" && leader != r.leader {
		r.stats.LeaderChanges++
	}
	r.leader = leader
	r.updateRole()
}

// stepDown fires an event that makes a leader or candidate a follower. A learner
// remains a learner.
func (r *Replica) stepDown(e chart.Event) {
	prevRole := r.role
	r.fire(e)
	r.leader, r.votes = "", nil
	if prevRole == roleCandidate {
		r.stats.ElectionsLost++
	}
	if prevRole == roleLeader {
		r.failPending()
		r.leaderState = leaderState{}
		r.resetElection()
	}
}

func (r *Replica) resetElection() {
	jitter := time.Duration(r.opts.Rand.Int64N(int64(r.opts.ElectionTimeout)))
	r.electionDeadline = r.electionClock + r.opts.ElectionTimeout + jitter
}

// startPreVote requests pre-votes, which do not change the term.
func (r *Replica) startPreVote() {
	r.observeElectionTimeout()
	r.fire(eventElectionTimeout)
	r.leader = ""
	r.resetElection()
	r.requestVotes(PreVote, r.hard.Term+1, false)
	if r.opts.AutoAdmit {
		// This replica may have been removed while it was unreachable, and does
		// not know of its removal. The voters that it asks for pre-votes may all
		// have been replaced, so it also requests admission.
		r.requestAdmission()
	}
}

func (r *Replica) handleTimeoutNow(m *Message) {
	if m.Term != r.hard.Term || r.role != roleFollower && r.role != rolePreCandidate {
		r.stats.MessagesIgnored++
		return
	}
	r.fire(eventTransfer)
	r.startElection(true)
}

// startElection requests votes in a new term. The argument transfer marks an
// election that the previous leader asked for.
func (r *Replica) startElection(transfer bool) {
	r.stats.Elections++
	r.leader = ""
	r.setHardState(hardState{Term: r.hard.Term + 1, Vote: r.self})
	r.resetElection()
	r.requestVotes(Vote, r.hard.Term, transfer)
}

func (r *Replica) requestVotes(kind MessageKind, term Term, transfer bool) {
	r.observeRequest(kind)
	r.votes = map[Identity]bool{r.self: true}
	r.sendVoteRequests(kind, term, transfer)
	r.checkVotes()
}

// repeatVoteRequests asks the voters again that have not granted their vote, every second
// heartbeat. A lost request, or a voter that still withheld its vote, would otherwise cost
// another ElectionTimeout or two.
func (r *Replica) repeatVoteRequests() {
	switch {
	case r.electionClock-r.votesRequested < 2*r.opts.Heartbeat:
	case r.role == rolePreCandidate:
		r.sendVoteRequests(PreVote, r.hard.Term+1, false)
	case r.role == roleCandidate:
		r.sendVoteRequests(Vote, r.hard.Term, false)
	}
}

func (r *Replica) sendVoteRequests(kind MessageKind, term Term, transfer bool) {
	r.votesRequested = r.electionClock
	for _, id := range r.config().voters() {
		if r.votes[id] {
			continue
		}
		r.send(id.VM, Message{Kind: kind, Term: term, To: id.Incarnation, Position: r.lastPosition(), Transfer: transfer})
	}
}

func (r *Replica) countVote(from Identity, m *Message) {
	if m.Reject {
		return
	}
	r.votes[from] = true
	r.checkVotes()
}

func (r *Replica) checkVotes() {
	if !r.config().hasQuorum(func(id Identity) bool { return r.votes[id] }) {
		return
	}
	if r.role == rolePreCandidate {
		r.fire(eventPreVoteWon)
		r.startElection(false)
		return
	}
	r.fire(eventVoteWon)
	r.becomeLeader()
}

// withholdsVote reports whether the replica must not vote for another replica:
// it leads, or it heard from a leader within the last ElectionTimeout. It also
// withholds votes for the first ElectionTimeout after a start, since it may have
// heard from a leader just before a restart.
func (r *Replica) withholdsVote() bool {
	return r.role == roleLeader || r.electionClock-r.lastContact < r.opts.ElectionTimeout
}

func (r *Replica) handlePreVote(from Identity, m *Message) {
	reject := m.Term <= r.hard.Term || r.withholdsVote() || !r.upToDate(m.Position)
	r.observeVote(from, m, !reject)
	reply := Message{Kind: PreVoteReply, Reject: reject}
	if !reject {
		reply.Term = m.Term
	}
	r.reply(from, reply)
}

func (r *Replica) handleVote(from Identity, m *Message) {
	if m.Term >= r.hard.Term && !m.Transfer && r.withholdsVote() {
		r.observeVote(from, m, false)
		r.stats.MessagesIgnored++
		return
	}
	if m.Term > r.hard.Term {
		r.becomeFollower(m.Term, "")
	}
	voteAvailable := r.hard.Vote == Identity{} || r.hard.Vote == from
	grant := m.Term == r.hard.Term && voteAvailable && r.upToDate(m.Position)
	r.observeVote(from, m, grant)
	if grant {
		r.setHardState(hardState{Term: r.hard.Term, Vote: from})
		r.resetElection()
	}
	r.reply(from, Message{Kind: VoteReply, Reject: !grant})
}

func (r *Replica) upToDate(at Position) bool {
	last := r.lastPosition()
	return at.Term > last.Term || at.Term == last.Term && at.Index >= last.Index
}

// reply sends m as a reply. It sets the term to the current term if m has none.
func (r *Replica) reply(to Identity, m Message) {
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	m.To = to.Incarnation
	r.send(to.VM, m)
}

// tickLearner requests admission if the learner knows no leader or has not
// heard from the leader within the last ElectionTimeout. The requests are at least half
// an ElectionTimeout apart.
func (r *Replica) tickLearner() {
	if r.leader != "" && r.electionClock-r.lastContact < r.opts.ElectionTimeout {
		return
	}
	r.leader = ""
	if r.electionClock-r.lastJoin >= r.opts.ElectionTimeout/2 {
		r.requestAdmission()
	}
}

// requestAdmission sends a Join message to all known replicas. The message has
// no effect if this incarnation is already a member.
func (r *Replica) requestAdmission() {
	r.lastJoin = r.electionClock
	peers := r.knownPeers()
	for _, vm := range r.namedPeers {
		if !slices.Contains(peers, vm) {
			peers = append(peers, vm)
		}
	}
	for _, vm := range peers {
		if vm != r.self.VM {
			r.send(vm, Message{Kind: Join, Term: r.hard.Term})
		}
	}
	r.observeJoinsSent(peers)
}

// knownPeers returns the members of the config and Options.Peers.
func (r *Replica) knownPeers() []fleet.VMID {
	var peers []fleet.VMID
	for _, m := range r.config().Members {
		peers = append(peers, m.VM)
	}
	for _, vm := range r.opts.Peers {
		if !slices.Contains(peers, vm) {
			peers = append(peers, vm)
		}
	}
	return peers
}

// handleJoin records a request for admission, if this replica leads. Otherwise, it
// tells the sender which replicas this one knows: none of those that the sender
// knows may lead, or even be a member.
//
// A member is replaced by another incarnation of its VM only if that one runs and the
// member does not answer. A request may arrive late, from an incarnation that has ended,
// so its sender must repeat a number. The other incarnation may be the lower one, if the
// clock of the VM was ahead.
func (r *Replica) handleJoin(from Identity, m *Message) {
	if r.role != roleLeader {
		peers := r.knownPeers()
		r.reply(from, Message{Kind: JoinReply, Peers: peers[:min(len(peers), maxPeers)]})
		return
	}
	member := r.config().find(from.VM)
	switch {
	case member == nil:
		r.joinRequests[from.VM] = max(r.joinRequests[from.VM], from.Incarnation)
	case member.Incarnation == from.Incarnation || r.heard(member.Identity):
	case r.answersChallenge(from, m):
		r.joinRequests[from.VM] = from.Incarnation
	case m.Round == 0:
		// Only a request without a number gets another: two answers in flight would
		// otherwise invalidate each other for ever.
		r.lastChallenge++
		r.challenges[from.VM] = joinChallenge{from.Incarnation, r.lastChallenge, r.electionClock}
		r.reply(from, Message{Kind: JoinReply, Position: Position{Term: r.hard.Term}, Round: r.lastChallenge})
	}
}

// answersChallenge reports whether a Join repeats the number that was sent to the same
// incarnation in this term, within the last ElectionTimeout.
func (r *Replica) answersChallenge(from Identity, m *Message) bool {
	c := r.challenges[from.VM]
	return m.Round != 0 && m.Round == c.number && m.Position.Term == r.hard.Term &&
		from.Incarnation == c.incarnation && r.electionClock-c.sent < r.opts.ElectionTimeout
}

// handleJoinReply answers the challenge of a leader, or records the replicas to ask for
// admission. They are not passed on in turn, so that the name of a replica that is gone
// does not circulate.
func (r *Replica) handleJoinReply(from Identity, m *Message) {
	if m.Round != 0 {
		r.send(from.VM, Message{Kind: Join, Term: r.hard.Term, To: from.Incarnation, Position: m.Position, Round: m.Round})
		return
	}
	for _, vm := range m.Peers {
		if len(r.namedPeers) < maxPeers && !slices.Contains(r.namedPeers, vm) {
			r.namedPeers = append(r.namedPeers, vm)
		}
	}
}
