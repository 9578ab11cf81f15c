package replica

import (
	"slices"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// eventsOf returns the events of one type that a VM has reported since the last clear.
func eventsOf[E Event](c *memberCluster, vm fleet.VMID) []E {
	var events []E
	for _, e := range c.events[vm] {
		if e, ok := e.(E); ok {
			events = append(events, e)
		}
	}
	return events
}

// nextChange returns the first membership change that the leader reports.
func (c *memberCluster) nextChange(when string, kind ChangeKind, vm fleet.VMID) MemberChanged {
	c.t.Helper()
	for _, e := range eventsOf[MemberChanged](c, c.leader().self.VM) {
		if e.Kind == kind && e.Member.VM == vm {
			return e
		}
	}
	c.t.Fatalf("%s: got events %+v, want %s of %s", when, c.events[c.leader().self.VM], kind, vm)
	return MemberChanged{}
}

// without returns the VMs other than the given ones.
func without(vms []fleet.VMID, gone ...fleet.VMID) []fleet.VMID {
	return slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VMID) bool { return slices.Contains(gone, vm) })
}

// followers returns those of the given VMs that do not lead.
func (c *memberCluster) followers(vms ...fleet.VMID) []fleet.VMID {
	return without(vms, c.leader().self.VM)
}

// Guards against logs that do not tell who was admitted, promoted, replaced and removed,
// why, and how many more voters could be lost (hypothesis 1 of the incident no-leader).
func TestMembershipEvents(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	leader, gone := c.leader(), c.followers(sixVMs...)[0]
	before := leader.Stats()
	all := slices.Sorted(slices.Values(sixVMs))

	clear(c.events)
	c.lose(gone)
	c.run(1500 * time.Millisecond)
	silent := eventsOf[VotersSilent](c, leader.self.VM)
	if len(silent) != 1 || !slices.Equal(silent[0].Silent, []fleet.VMID{gone}) || silent[0].Spare != 1 {
		t.Errorf("a silent voter: got %+v, want one event with %s and 1 spare voter", silent, gone)
	}
	if s := leader.Stats(); s.SilentVoters != 1 || s.SpareVoters != 1 || s.Tolerance != 2 {
		t.Errorf("a silent voter: got %d silent, %d spare and tolerance %d, want 1, 1 and 2", s.SilentVoters, s.SpareVoters, s.Tolerance)
	}
	c.run(3 * time.Second)
	removed := c.nextChange("after the silence", MemberRemoved, gone)
	if removed.Silence < 3*time.Second || removed.Silence > 4*time.Second {
		t.Errorf("removed: got a silence of %v, want about 3s", removed.Silence)
	}
	if !slices.Equal(removed.VotersBefore, all) || !slices.Equal(removed.VotersAfter, without(all, gone)) {
		t.Errorf("removed: got voters %v and %v, want those without %s", removed.VotersBefore, removed.VotersAfter, gone)
	}
	if removed.SpareBefore != 1 || removed.SpareAfter != 2 {
		t.Errorf("removed: got %d and %d spare voters, want 1 and 2", removed.SpareBefore, removed.SpareAfter)
	}

	clear(c.events)
	c.start("x", leader.self.VM)
	c.run(time.Second)
	admitted, promoted := c.nextChange("a newcomer", MemberAdmitted, "x"), c.nextChange("a newcomer", MemberPromoted, "x")
	if len(admitted.VotersAfter) != 5 || len(promoted.VotersAfter) != 6 || promoted.Match == 0 || promoted.Index <= admitted.Index {
		t.Errorf("a newcomer: got %+v and %+v, want 5 voters, then 6 with x", admitted, promoted)
	}

	clear(c.events)
	former := leader.config().find("x").Incarnation
	c.lose("x")
	c.run(500 * time.Millisecond)
	c.start("x", leader.self.VM)
	c.run(time.Second)
	replaced := c.nextChange("a lost disk", MemberReplaced, "x")
	if replaced.Former != former || replaced.Member.Incarnation == former || slices.Contains(replaced.VotersAfter, "x") {
		t.Errorf("a lost disk: got %+v, want another incarnation that does not vote", replaced)
	}
	s := leader.Stats()
	got := []uint64{s.MembersAdmitted - before.MembersAdmitted, s.MembersPromoted - before.MembersPromoted,
		s.MembersReplaced - before.MembersReplaced, s.MembersRemoved - before.MembersRemoved}
	if want := []uint64{1, 2, 1, 1}; !slices.Equal(got, want) {
		t.Errorf("admitted, promoted, replaced and removed: got %d, want %d", got, want)
	}
}

// Guards against replicas without a leader whose logs do not tell who votes, who does
// not answer and who refuses, or that report it at a rate that grows with the elections.
func TestLeaderUnknownEvents(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	lost := c.followers(sixVMs...)[:4]
	rest := slices.Sorted(slices.Values(without(sixVMs, lost...)))
	c.lose(lost...)
	clear(c.events)
	c.run(30 * time.Second)
	for i, vm := range rest {
		events := eventsOf[LeaderUnknown](c, vm)
		// The first event follows 3 s after the leader stepped down, the others 10 s later each.
		if len(events) < 2 || len(events) > 3 {
			t.Errorf("%s: got %d events in 30 s, want 2 or 3", vm, len(events))
			continue
		}
		e := events[0]
		if e.For < 3*time.Second || e.For > 6*time.Second || e.Request != PreVote || !slices.Equal(e.Voters, slices.Sorted(slices.Values(sixVMs))) {
			t.Errorf("%s: got %+v, want the six voters after 3 s", vm, e)
		}
		// Entries may differ, so that one of the two refuses the other.
		answered := slices.Concat(e.Granted, e.Refused)
		if want := []fleet.VMID{rest[1-i]}; !slices.Equal(answered, want) {
			t.Errorf("%s: got answers of %v, want of %v", vm, answered, want)
		}
		if want := slices.Sorted(slices.Values(lost)); !slices.Equal(e.Unanswered, want) {
			t.Errorf("%s: got no answers of %v, want %v", vm, e.Unanswered, want)
		}
		s := c.replicas[vm].Stats()
		if s.LeaderUnknownFor < 20*time.Second || s.PreVotes < 10 {
			t.Errorf("%s: got no leader for %v and %d requests, want about 28 s and 10 or more", vm, s.LeaderUnknownFor, s.PreVotes)
		}
	}
}

// Guards against a refusal that neither the candidate nor the voter reports with its
// reason: a log that ends early looks like one that is cut off.
func TestVoteRefusedEvents(t *testing.T) {
	c := newMemberCluster(t, Options{Tolerance: 1}, "a", "b", "c")
	behind := without([]fleet.VMID{"a", "b", "c"}, c.leader().self.VM)[0]
	c.cut[behind] = true
	c.propose()
	leader := c.leader()
	lost := without([]fleet.VMID{"a", "b", "c"}, behind, leader.self.VM)[0]
	c.lose(lost)
	clear(c.events)
	r, reject := c.replicas[behind], Message{Kind: PreVoteReply, From: leader.self.Incarnation, Reject: true}
	for range 100 {
		c.run(100 * time.Millisecond)
		reject.Term = r.hard.Term
		c.deliver(behind, r.Handle(leader.self.VM, reject, c.now))
	}
	unknown := eventsOf[LeaderUnknown](c, behind)
	if len(unknown) == 0 || !slices.Equal(unknown[0].Refused, []fleet.VMID{leader.self.VM}) || !slices.Equal(unknown[0].Unanswered, []fleet.VMID{lost}) {
		t.Errorf("at the candidate: got %+v, want refused by %s and no answer of %s", unknown, leader.self.VM, lost)
	}

	clear(c.events)
	before := leader.Stats()
	request := Message{Kind: PreVote, Term: leader.hard.Term + 1, From: r.self.Incarnation, Position: r.lastPosition()}
	for range 50 {
		c.deliver(leader.self.VM, leader.Handle(behind, request, c.now))
	}
	events := eventsOf[VoteRefused](c, leader.self.VM)
	if len(events) != 1 || events[0].Candidate != behind || events[0].Result != VoteLogBehind || events[0].OwnLast.Index <= events[0].Position.Index {
		t.Errorf("50 requests with a log that is behind: got %+v, want one event with the positions", events)
	}
	if got, want := leader.Stats().PreVoteResults[VoteLogBehind]-before.PreVoteResults[VoteLogBehind], uint64(50); got != want {
		t.Errorf("refusals: got %d, want %d", got, want)
	}
}

// Guards against a newcomer that is not admitted, and neither it nor the replicas that it
// asks report whom it asks (hypothesis 2), or report each of its requests.
func TestAdmissionEvents(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 2}, sixVMs...)
	seed := c.followers(sixVMs...)[0]
	clear(c.events)
	c.start("x", "gone1", "gone2")
	c.run(20 * time.Second)
	events := eventsOf[NotAdmitted](c, "x")
	if len(events) != 2 {
		t.Fatalf("got %d events of a newcomer in 20 s, want 2", len(events))
	}
	if want := []fleet.VMID{"gone1", "gone2"}; !slices.Equal(events[0].Asked, want) || len(events[0].Redirected) > 0 {
		t.Errorf("got asked %v and redirected by %v, want %v and none", events[0].Asked, events[0].Redirected, want)
	}
	if s := c.replicas["x"].Stats(); s.JoinsSent < 60 || s.LeaderUnknownFor < 15*time.Second {
		t.Errorf("got %d requests in %v, want about two each 0.5 s for 20 s", s.JoinsSent, s.LeaderUnknownFor)
	}

	leader := c.leader()
	leaderBefore := leader.Stats()
	c.replicas["x"].SetPeers([]fleet.VMID{seed})
	before := c.replicas[seed].Stats().JoinsRedirected
	for range 40 {
		c.deliver(seed, c.replicas[seed].Handle("x", Message{Kind: Join, From: 5}, c.now))
	}
	redirected := eventsOf[JoinRedirected](c, seed)
	if len(redirected) != 1 || !slices.Contains(redirected[0].From, "x") || redirected[0].Leader != leader.self.VM {
		t.Errorf("40 requests at a follower: got %+v, want one event with x and the leader", redirected)
	}
	if got := c.replicas[seed].Stats().JoinsRedirected - before; got != 40 {
		t.Errorf("redirected requests: got %d, want 40", got)
	}
	c.run(2 * time.Second)
	s := leader.Stats()
	if got, want := s.MembersAdmitted-leaderBefore.MembersAdmitted, uint64(1); got != want || s.JoinsReceived == leaderBefore.JoinsReceived {
		t.Errorf("leader: got %d admitted after %d requests, want %d", got, s.JoinsReceived-leaderBefore.JoinsReceived, want)
	}
	if s := c.replicas["x"].Stats(); s.LeaderUnknownFor != 0 {
		t.Errorf("admitted: got no leader for %v, want 0", s.LeaderUnknownFor)
	}
}

// Guards against a member that waits for its admission while the leader can't change the
// config, without a word about the cause.
func TestRefusedChangeEvents(t *testing.T) {
	c := newMemberCluster(t, Options{RemoveAfter: 3 * time.Second, Tolerance: 1}, "a", "b", "c")
	leader := c.leader()
	// A config that is never committed refuses all others.
	leader.configs[len(leader.configs)-1].index = leader.lastIndex() + 1e6
	clear(c.events)
	c.start("x", leader.self.VM)
	c.run(2 * time.Second)
	if events := eventsOf[ChangeRefused](c, leader.self.VM); len(events) > 0 {
		t.Errorf("after 2 s: got %+v, want no event", events)
	}
	c.run(20 * time.Second)
	events := eventsOf[ChangeRefused](c, leader.self.VM)
	if len(events) != 2 || events[0].Member != "x" || events[0].Err == nil || events[0].For < 3*time.Second {
		t.Errorf("after 22 s: got %+v, want two events with x and the reason", events)
	}
}

// Guards against time that the election clock leaves out without being counted
// (hypothesis 4): elections then take several times longer for no visible reason.
func TestClockLeftOut(t *testing.T) {
	c := newMemberCluster(t, Options{Tolerance: 1}, "a", "b", "c")
	r := c.leader()
	before := r.Stats().ClockLeftOut
	c.run(5 * time.Second)
	if got := r.Stats().ClockLeftOut - before; got != 0 {
		t.Errorf("a call each 20 ms: got %v left out, want 0", got)
	}
	limit := r.opts.ElectionTimeout / 10
	for range 10 {
		c.now = c.now.Add(limit + 30*time.Millisecond)
		r.Tick(c.now)
	}
	if got, want := r.Stats().ClockLeftOut-before, 300*time.Millisecond; got != want {
		t.Errorf("ten calls 30 ms too late: got %v left out, want %v", got, want)
	}
}

// Guards against elections that are lost without being counted.
func TestElectionsLost(t *testing.T) {
	c := newMemberCluster(t, Options{Tolerance: 1}, "a", "b", "c")
	leader := c.leader()
	for _, vm := range without([]fleet.VMID{"a", "b", "c"}, leader.self.VM) {
		r := c.replicas[vm]
		r.Step(leader.self.VM, Message{Kind: TimeoutNow, Term: r.hard.Term, From: leader.self.Incarnation}, c.now)
		// The leader of a newer term wins.
		r.Step(leader.self.VM, Message{Kind: Append, Term: r.hard.Term + 1, From: leader.self.Incarnation}, c.now)
		if s := r.Stats(); s.ElectionsLost != 1 || s.Elections == 0 {
			t.Errorf("%s: got %d lost of %d elections, want 1", vm, s.ElectionsLost, s.Elections)
		}
	}
}
