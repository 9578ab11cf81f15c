package replica

import (
	"maps"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// This file defines the events by which a replica reports what it decides about the
// members of the log, and what it waits for. Events have no effect on any decision.

// Kinds of membership changes that a leader proposes.
const (
	MemberAdmitted ChangeKind = "Admitted"
	MemberPromoted ChangeKind = "Promoted"
	MemberRemoved  ChangeKind = "Removed"
	// MemberReplaced is the replacement of a member by another incarnation of its VM.
	MemberReplaced ChangeKind = "Replaced"
)

// Results of requests for pre-votes and votes.
const (
	VoteGranted VoteResult = iota
	// VoteOldTerm refuses a term that is not new.
	VoteOldTerm
	// VoteWithheld refuses while this replica leads, or has heard from a leader or was
	// started within the last ElectionTimeout.
	VoteWithheld
	// VoteLogBehind refuses a candidate whose log ends before that of this replica.
	VoteLogBehind
	// VoteForOther refuses because this replica has voted for another candidate of the
	// term.
	VoteForOther
	// VoteResults is the number of results.
	VoteResults
)

const (
	// eventDelay is the time for which a state must last before it is reported, and
	// eventInterval the minimum time between two reports of a state that lasts, both in
	// multiples of ElectionTimeout. An election takes less than eventDelay.
	eventDelay    = 3
	eventInterval = 10
)

type (
	// ChangeKind is the kind of a membership change that a leader proposes.
	ChangeKind string

	// VoteResult is the result of a request for a pre-vote or a vote.
	VoteResult int

	// Event is a MemberChanged, ChangeRefused, VotersSilent, LeaderUnknown,
	// NotAdmitted, JoinRedirected or VoteRefused.
	Event interface{ event() }

	// MemberChanged reports a membership change that this leader proposes. A change
	// that is not committed may be undone by another leader.
	MemberChanged struct {
		Kind   ChangeKind
		Member Identity
		// Former is the incarnation that a replaced member had.
		Former fleet.Incarnation
		// Index is the index of the entry with the new config.
		Index Index
		// Silence is the time since the former member was last heard, by this leader
		// and on the election clock. It is 0 for an admitted member.
		Silence time.Duration
		// Match is the last index that the member is known to hold, and Commit the
		// commit index of the leader.
		Match, Commit Index
		// VotersBefore and VotersAfter are sorted. SpareBefore and SpareAfter are the
		// numbers of voters that may still be lost, before and after the change.
		VotersBefore, VotersAfter []fleet.VMID
		SpareBefore, SpareAfter   int
	}

	// ChangeRefused reports that this leader could not make a membership change for
	// some election timeouts. Err is the MembershipError of the last attempt.
	ChangeRefused struct {
		Member fleet.VMID
		For    time.Duration
		Err    error
	}

	// VotersSilent reports the voters that this leader has not heard from within the
	// last ElectionTimeout, after a change.
	VotersSilent struct {
		Silent, Voters []fleet.VMID
		// Spare is the number of voters that may still be lost.
		Spare int
	}

	// LeaderUnknown reports that this voter has not known a leader for some election
	// timeouts, with the answers to its last request for votes.
	LeaderUnknown struct {
		Role string
		Term Term
		// For is the time on the election clock.
		For time.Duration
		// Request is the kind of the last request, PreVote or Vote.
		Request MessageKind
		Last    Position
		// Voters are those of the newest config of this replica. Each of the others
		// has granted the request, refused it, or not answered.
		Voters, Granted, Refused, Unanswered []fleet.VMID
		// RefusedTerm is the highest term of a refusal, 0 without refusals.
		RefusedTerm Term
	}

	// NotAdmitted reports that this learner has not heard from a leader for some
	// election timeouts.
	NotAdmitted struct {
		For time.Duration
		// Asked are the replicas that it asks for admission. Redirected are those that
		// have answered since the last such event that they don't lead.
		Asked, Redirected []fleet.VMID
		// Requests is the number of messages since the last such event.
		Requests uint64
	}

	// JoinRedirected reports requests for admission that reached this replica while it
	// did not lead, since the last such event.
	JoinRedirected struct {
		// From holds at most maxPeers senders.
		From     []fleet.VMID
		Requests uint64
		// Within is the time since the last such event, or since the start.
		Within time.Duration
		// Leader is the leader that this replica knows, or "".
		Leader fleet.VMID
	}

	// VoteRefused reports a request for a pre-vote or a vote that this replica refuses.
	VoteRefused struct {
		Candidate fleet.VMID
		Request   MessageKind
		Result    VoteResult
		// Term and Position are those of the request, OwnTerm and OwnLast the term and
		// the last entry of this replica.
		Term, OwnTerm     Term
		Position, OwnLast Position
		Leader            fleet.VMID
	}

	// throttle limits the rate of one kind of event.
	throttle struct {
		next time.Duration // on the election clock
	}

	// voteAnswer is a reply to a request for votes.
	voteAnswer struct {
		granted bool
		term    Term
	}

	// eventState is what a replica records for its events and counters. Times are on
	// the election clock.
	eventState struct {
		// leaderKnownAt is the last time at which a leader was known.
		leaderKnownAt time.Duration
		// request is the kind of the last request for votes, and answers its replies.
		request MessageKind
		answers map[fleet.VMID]voteAnswer
		// redirectedBy are the replicas that have answered requests for admission.
		redirectedBy map[fleet.VMID]bool
		joinsSent    uint64
		// joiners are the senders of requests that were redirected.
		joiners         map[fleet.VMID]bool
		joinsRedirected uint64
		joinsReportedAt time.Duration
		silent          []fleet.VMID
		// refusedSince and refusedAt are the times of the first and the last of the
		// refused attempts at a membership change, of which the leader makes one with
		// each heartbeat.
		refusedSince, refusedAt time.Duration

		leaderUnknown, notAdmitted, joinRedirected throttle
		votersSilent, changeRefused                throttle
		voteRefused                                [VoteResults]throttle
	}
)

var voteResultNames = [VoteResults]string{"granted", "old_term", "withheld", "log_behind", "voted_for_other"}

func (MemberChanged) event()  {}
func (ChangeRefused) event()  {}
func (VotersSilent) event()   {}
func (LeaderUnknown) event()  {}
func (NotAdmitted) event()    {}
func (JoinRedirected) event() {}
func (VoteRefused) event()    {}

// String returns the name of the result, as used for a label of metrics.
func (v VoteResult) String() string { return voteResultNames[v] }

// allow reports whether an event may be reported now, and if so, allows no other for
// the given interval.
func (t *throttle) allow(now, interval time.Duration) bool {
	if now < t.next {
		return false
	}
	t.next = now + interval
	return true
}

func (r *Replica) report(e Event) { r.output.Events = append(r.output.Events, e) }

// leaderUnknownFor returns the time on the election clock since a leader was last known.
func (r *Replica) leaderUnknownFor() time.Duration {
	if r.leader != "" {
		return 0
	}
	return r.electionClock - r.events.leaderKnownAt
}

// trackLeader records whether a leader is known. It is called with each Tick.
func (r *Replica) trackLeader() {
	if r.leader != "" {
		r.events.leaderKnownAt = r.electionClock
	}
	if r.role != roleLeader {
		r.events.silent = nil
	}
}

// observe records what a received message tells about elections and admissions.
func (r *Replica) observe(from Identity, m *Message) {
	s := &r.events
	switch m.Kind {
	case PreVoteReply, VoteReply:
		if s.answers != nil && r.config().isVoter(from) {
			s.answers[from.VM] = voteAnswer{granted: !m.Reject, term: m.Term}
		}
	case JoinReply:
		if m.Round != 0 {
			return
		}
		if s.redirectedBy == nil {
			s.redirectedBy = map[fleet.VMID]bool{}
		}
		if len(s.redirectedBy) < maxPeers {
			s.redirectedBy[from.VM] = true
		}
	case Join:
		r.observeJoin(from)
	}
}

func (r *Replica) observeJoin(from Identity) {
	s := &r.events
	if r.role == roleLeader {
		r.stats.JoinsReceived++
		return
	}
	r.stats.JoinsRedirected++
	s.joinsRedirected++
	if s.joiners == nil {
		s.joiners = map[fleet.VMID]bool{}
	}
	if len(s.joiners) < maxPeers {
		s.joiners[from.VM] = true
	}
	if !s.joinRedirected.allow(r.electionClock, eventInterval*r.opts.ElectionTimeout) {
		return
	}
	r.report(JoinRedirected{
		From: slices.Sorted(maps.Keys(s.joiners)), Requests: s.joinsRedirected, Within: r.electionClock - s.joinsReportedAt, Leader: r.leader,
	})
	s.joiners, s.joinsRedirected, s.joinsReportedAt = nil, 0, r.electionClock
}

// observeJoinsSent counts the requests for admission that were sent to peers, and
// reports a learner that is not admitted.
func (r *Replica) observeJoinsSent(peers []fleet.VMID) {
	s := &r.events
	asked := slices.DeleteFunc(slices.Sorted(slices.Values(peers)), func(vm fleet.VMID) bool { return vm == r.self.VM })
	r.stats.JoinsSent += uint64(len(asked))
	s.joinsSent += uint64(len(asked))
	waited := r.leaderUnknownFor()
	if r.role != roleLearner || waited < eventDelay*r.opts.ElectionTimeout || !s.notAdmitted.allow(r.electionClock, eventInterval*r.opts.ElectionTimeout) {
		return
	}
	r.report(NotAdmitted{For: waited, Asked: asked, Redirected: slices.Sorted(maps.Keys(s.redirectedBy)), Requests: s.joinsSent})
	s.redirectedBy, s.joinsSent = nil, 0
}

// observeRequest forgets the answers to the previous request for votes.
func (r *Replica) observeRequest(kind MessageKind) {
	r.events.request, r.events.answers = kind, map[fleet.VMID]voteAnswer{}
}

// observeElectionTimeout counts a lost election, and reports the answers to the last
// request for votes if no leader has been known for some time.
func (r *Replica) observeElectionTimeout() {
	s := &r.events
	r.stats.PreVotes++
	if r.role == roleCandidate {
		r.stats.ElectionsLost++
	}
	waited := r.leaderUnknownFor()
	if waited < eventDelay*r.opts.ElectionTimeout || !s.leaderUnknown.allow(r.electionClock, eventInterval*r.opts.ElectionTimeout) {
		return
	}
	e := LeaderUnknown{Role: r.Role(), Term: r.hard.Term, For: waited, Request: s.request, Last: r.lastPosition(), Voters: r.voterVMs()}
	for _, vm := range e.Voters {
		a, answered := s.answers[vm]
		switch {
		case vm == r.self.VM:
		case !answered:
			e.Unanswered = append(e.Unanswered, vm)
		case a.granted:
			e.Granted = append(e.Granted, vm)
		default:
			e.Refused = append(e.Refused, vm)
			e.RefusedTerm = max(e.RefusedTerm, a.term)
		}
	}
	r.report(e)
}

// observeVote counts a request for a pre-vote or a vote, and reports a refusal. It is
// called before a vote changes the state.
func (r *Replica) observeVote(from Identity, m *Message, granted bool) {
	result := VoteGranted
	switch {
	case granted:
	case m.Term < r.hard.Term || m.Kind == PreVote && m.Term == r.hard.Term:
		result = VoteOldTerm
	case !m.Transfer && r.withholdsVote():
		result = VoteWithheld
	case !r.upToDate(m.Position):
		result = VoteLogBehind
	default:
		result = VoteForOther
	}
	if m.Kind == PreVote {
		r.stats.PreVoteResults[result]++
	} else {
		r.stats.VoteResults[result]++
	}
	if result == VoteGranted || !r.events.voteRefused[result].allow(r.electionClock, eventInterval*r.opts.ElectionTimeout) {
		return
	}
	r.report(VoteRefused{
		Candidate: from.VM, Request: m.Kind, Result: result, Term: m.Term, OwnTerm: r.hard.Term,
		Position: m.Position, OwnLast: r.lastPosition(), Leader: r.leader,
	})
}

// observeSilence reports a change of the voters that the leader does not hear.
func (r *Replica) observeSilence() {
	s := &r.events
	silent := r.silentVoters()
	if slices.Equal(silent, s.silent) || !s.votersSilent.allow(r.electionClock, eventDelay*r.opts.ElectionTimeout) {
		return
	}
	s.silent = silent
	r.report(VotersSilent{Silent: silent, Voters: r.voterVMs(), Spare: r.spareVoters()})
}

// describeChange returns the event for a config that adds, changes or removes the
// member vm. It is called before the config is appended.
func (r *Replica) describeChange(vm fleet.VMID, next *Config) MemberChanged {
	before, after := r.config().find(vm), next.find(vm)
	e := MemberChanged{Commit: r.commit, VotersBefore: r.voterVMs(), SpareBefore: r.spareVoters()}
	switch {
	case before == nil:
		e.Kind, e.Member = MemberAdmitted, after.Identity
	case after == nil:
		e.Kind, e.Member = MemberRemoved, before.Identity
	case after.Incarnation != before.Incarnation:
		e.Kind, e.Member, e.Former = MemberReplaced, after.Identity, before.Incarnation
	default:
		e.Kind, e.Member = MemberPromoted, after.Identity
	}
	if before == nil {
		return e
	}
	if p := r.progressOf(before.Identity); p != nil {
		e.Silence, e.Match = r.electionClock-p.lastContact, p.match
	}
	return e
}

// observeChange counts and reports a change that has been appended.
func (r *Replica) observeChange(e MemberChanged) {
	switch e.Kind {
	case MemberAdmitted:
		r.stats.MembersAdmitted++
	case MemberPromoted:
		r.stats.MembersPromoted++
	case MemberRemoved:
		r.stats.MembersRemoved++
	case MemberReplaced:
		r.stats.MembersReplaced++
	}
	r.events.refusedSince = r.electionClock
	e.Index, e.VotersAfter, e.SpareAfter = r.lastIndex(), r.voterVMs(), r.spareVoters()
	r.report(e)
}

// observeRefusedChange reports a change that has been refused for some time. A refusal
// just after another change is usual.
func (r *Replica) observeRefusedChange(vm fleet.VMID, err error) {
	s := &r.events
	if r.electionClock-s.refusedAt >= r.opts.ElectionTimeout {
		s.refusedSince = r.electionClock
	}
	s.refusedAt = r.electionClock
	waited := r.electionClock - s.refusedSince
	if waited >= eventDelay*r.opts.ElectionTimeout && s.changeRefused.allow(r.electionClock, eventInterval*r.opts.ElectionTimeout) {
		r.report(ChangeRefused{Member: vm, For: waited, Err: err})
	}
}

// voterVMs returns the voters of the newest config, sorted.
func (r *Replica) voterVMs() []fleet.VMID {
	var vms []fleet.VMID
	for _, id := range r.config().voters() {
		vms = append(vms, id.VM)
	}
	slices.Sort(vms)
	return vms
}

// silentVoters returns the voters that this leader has not heard from within the last
// ElectionTimeout, sorted. It returns nil if this replica does not lead.
func (r *Replica) silentVoters() []fleet.VMID {
	if r.role != roleLeader {
		return nil
	}
	var vms []fleet.VMID
	for _, id := range r.config().voters() {
		if !r.recentlyActive(id) {
			vms = append(vms, id.VM)
		}
	}
	slices.Sort(vms)
	return vms
}
