package lease

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// maxIncarnations is the maximum number of VM incarnations whose acknowledged
// epochs are kept.
const maxIncarnations = 4096

type (
	// vmIncarnation identifies one run of the process of a VM.
	vmIncarnation struct {
		vm          fleet.VMID
		incarnation fleet.Incarnation
	}

	grant struct {
		epoch fleet.Epoch
		until time.Time
	}

	// instanceState is the acceptor state of one ballot instance. A ballot
	// instance chooses the view of one epoch.
	instanceState struct {
		epoch    fleet.Epoch
		promised Ballot
		accepted Ballot
		value    *Delta
		since    time.Time
	}

	// acceptor is the state of a council member, kept only in memory. After a
	// restart the member does not vote until it has recovered this state or
	// has adopted a first view in which it is a voter.
	acceptor struct {
		voting          bool
		neverVoted      bool                // no incarnation of this VM can have voted in this council
		waitUntil       time.Time           // until then, leases of an earlier incarnation or council may be valid
		stoppedGranting map[fleet.VMID]bool // members of the previous council that no longer grant leases
		nextView        instanceState       // ballot instance of epoch view.Epoch + 1
		firstView       instanceState       // ballot instance of a first view
		grants          map[vmIncarnation]grant
		acked           map[vmIncarnation]fleet.Epoch // highest epoch in a Request of the VM incarnation
		oldLeasesEnded  fleet.Epoch                   // highest epoch for which this VM sent OldLeasesEnded
		peerLeasesEnded map[fleet.VMID]fleet.Epoch    // by council member: epoch of its last OldLeasesEnded
		snapshots       [2][]Delta

		recoveryRound         uint32
		nextRound             time.Time
		stateReplies          map[fleet.VMID]*Message // in the current recovery round
		firstViewAllowedSince time.Time               // since then, every recovery round allowed a first view
		firstViewAllowed      bool                    // the current recovery round allows a first view
	}
)

func (a *acceptor) reset() {
	a.voting, a.neverVoted = false, false
	a.nextView, a.firstView, a.oldLeasesEnded = instanceState{}, instanceState{}, 0
	a.grants = make(map[vmIncarnation]grant)
	a.acked = make(map[vmIncarnation]fleet.Epoch)
	a.peerLeasesEnded = make(map[fleet.VMID]fleet.Epoch)
	a.stateReplies = make(map[fleet.VMID]*Message)
	a.stoppedGranting = make(map[fleet.VMID]bool)
	a.firstViewAllowedSince = time.Time{}
}

// resetForCouncil discards the acceptor state when a new council is set. It
// sets waitUntil, because leases that were granted before may still be valid.
// The argument first reports whether this is the first council of the process.
func (a *acceptor) resetForCouncil(m *Machine, first bool, now time.Time) {
	a.reset()
	a.waitUntil, a.nextRound = now.Add(m.grantDuration()), now
	if first {
		return
	}
	// The members of the previous council stop granting leases when they
	// receive the new revision, which takes at most SettingsPropagationTime.
	// The wait is shortened once a majority of them is known to have the
	// revision; see noteStoppedGranting.
	a.waitUntil = now.Add(m.cfg.SettingsPropagationTime + m.grantDuration())
	// If this process started less than 2 * SettingsPropagationTime ago, an
	// earlier incarnation may have received this revision and voted in this
	// council.
	a.neverVoted = now.Sub(m.startedAt) >= 2*m.cfg.SettingsPropagationTime
	a.stoppedGranting[m.self] = true
}

func (m *Machine) role(now time.Time) Role {
	switch {
	case m.voting:
		return roleVoting
	case now.Before(m.waitUntil):
		return roleWaiting
	case m.neverVoted && !m.viewCurrent():
		return roleNeverVoted
	}
	return roleMayHaveVoted
}

func (m *Machine) handleRequest(from fleet.VMID, msg *Message, now time.Time) {
	m.noteEpoch(msg.Epoch, from, now)
	key := vmIncarnation{from, msg.Incarnation}
	if len(m.acked) >= maxIncarnations && m.acked[key] == 0 {
		return
	}
	if msg.Epoch > m.acked[key] {
		m.acked[key] = msg.Epoch
		m.checkOldLeases(now)
	}
	reply := Message{Kind: Grant, Seq: msg.Seq}
	if m.viewCurrent() {
		reply.Epoch = m.view.Epoch
	}
	if m.mayGrant(from, msg) {
		m.stats.Granted++
		m.grants[key] = grant{epoch: m.view.Epoch, until: now.Add(m.grantDuration())}
		reply.Flags |= flagGranted
	} else {
		m.stats.Refused++
	}
	if m.sealed {
		reply.Flags |= flagSealed
	}
	if m.isProposer() && m.failedBallots < maxFailures {
		reply.Flags |= flagProposer
	}
	m.send(from, reply)
}

// mayGrant reports whether this VM may grant a requested lease. It refuses all
// leases once a ballot for the next epoch has started, so that the leases of
// the current epoch expire.
func (m *Machine) mayGrant(from fleet.VMID, msg *Message) bool {
	if !m.voting || !m.viewCurrent() || msg.Epoch != m.view.Epoch || m.nextView.epoch == m.view.Epoch+1 {
		return false
	}
	incarnation, ok := m.view.Member(from)
	return ok && incarnation == msg.Incarnation
}

// checkOldLeases sends OldLeasesEnded to the council once no lease that this VM
// granted in an earlier epoch can be valid: each such lease has expired, or its
// holder has acknowledged the epoch of the view.
func (m *Machine) checkOldLeases(now time.Time) {
	if !m.voting || !m.viewCurrent() || m.oldLeasesEnded >= m.view.Epoch {
		return
	}
	for key, g := range m.grants {
		if g.epoch < m.view.Epoch && now.After(g.until) {
			delete(m.grants, key)
			continue
		}
		if g.epoch < m.view.Epoch && m.acked[key] < m.view.Epoch {
			return
		}
	}
	m.oldLeasesEnded = m.view.Epoch
	m.sendToCouncil(Message{Kind: OldLeasesEnded, Epoch: m.oldLeasesEnded})
}

func (m *Machine) handleOldLeasesEnded(from fleet.VMID, msg *Message, now time.Time) {
	m.noteEpoch(msg.Epoch, from, now)
	if msg.Epoch > m.peerLeasesEnded[from] {
		m.peerLeasesEnded[from] = msg.Epoch
	}
	m.checkSealed(now)
}

// checkSealed seals the view once a majority of the council has sent
// OldLeasesEnded. Each lease in an earlier epoch was also granted by a
// majority, so at least one of its grantors has sent OldLeasesEnded.
func (m *Machine) checkSealed(now time.Time) {
	if m.sealed || !m.viewCurrent() {
		return
	}
	n := 0
	for _, id := range m.council.Members {
		if m.peerLeasesEnded[id] >= m.view.Epoch {
			n++
		}
	}
	if n < m.quorum() {
		return
	}
	m.seal(now)
	for _, id := range m.pushRecipients(m.view, nil) {
		m.send(id, Message{Kind: Sealed, Epoch: m.view.Epoch})
	}
}

// pushRecipients returns the VMs outside the council to which this council
// member pushes deltas and Sealed. Each such VM of v, and each one that is in
// prev but not in v, is assigned to one of the council members in v. prev may
// be nil.
func (m *Machine) pushRecipients(v, prev *View) []fleet.VMID {
	ownIndex, pushers := -1, 0
	for _, id := range m.council.Members {
		if _, ok := v.Member(id); !ok {
			continue
		}
		if id == m.self {
			ownIndex = pushers
		}
		pushers++
	}
	var out []fleet.VMID
	i := 0
	add := func(id fleet.VMID) {
		if m.inCouncil(id) {
			return
		}
		if pushers > 0 && i%pushers == ownIndex {
			out = append(out, id)
		}
		i++
	}
	for _, mem := range v.Members {
		add(mem.VM.ID)
	}
	if prev == nil {
		return out
	}
	for _, mem := range prev.Members {
		if _, ok := v.Member(mem.VM.ID); !ok {
			add(mem.VM.ID)
		}
	}
	return out
}

// acceptorAfterAdopt updates the acceptor and the proposer after the adoption
// of a view. It pushes the delta d, unless d is nil or the view was chosen by
// an earlier council.
func (m *Machine) acceptorAfterAdopt(prev *View, d *Delta, now time.Time) {
	if m.nextView.epoch <= m.view.Epoch {
		m.nextView = instanceState{}
	}
	if m.firstView.epoch <= m.view.Epoch {
		m.firstView = instanceState{}
	}
	if m.proposal != nil && m.proposal.epoch <= m.view.Epoch {
		m.proposal = nil
	}
	for key, e := range m.acked {
		if i, ok := m.view.Member(key.vm); (!ok || i != key.incarnation) && e < m.view.Epoch {
			delete(m.acked, key)
		}
	}
	m.changeSince = time.Time{}
	m.lastAdopted = now
	if d != nil && !m.voting && m.viewCurrent() && slices.Contains(d.Voters, Voter{VM: m.self, Incarnation: m.cfg.Incarnation}) {
		m.startVoting("Formed", now)
	}
	if d != nil && m.viewCurrent() {
		for _, id := range m.pushRecipients(m.view, prev) {
			m.send(id, Message{Kind: Deltas, Deltas: []Delta{*d}})
		}
	}
	m.checkOldLeases(now)
	m.checkSealed(now)
}

// snapshot returns the chunks of the full view of epoch want if they are still
// kept, so that a transfer can continue, or else the chunks of the current
// view.
func (m *Machine) snapshot(want fleet.Epoch) []Delta {
	for _, s := range m.snapshots {
		if len(s) > 0 && s[0].Epoch == want {
			return s
		}
	}
	for _, s := range m.snapshots {
		if len(s) > 0 && s[0].Epoch == m.view.Epoch {
			return s
		}
	}
	m.snapshots[1] = m.snapshots[0]
	m.snapshots[0] = m.view.chunks()
	return m.snapshots[0]
}

// Ballots.

func (m *Machine) handlePrepare(from fleet.VMID, msg *Message, now time.Time) {
	inst := m.instanceFor(from, msg, now)
	if inst == nil {
		return
	}
	if msg.Ballot.compare(inst.promised) < 0 {
		m.sendNack(from, inst)
		return
	}
	inst.promised = *msg.Ballot
	reply := Message{Kind: Promise, Epoch: msg.Epoch, Ballot: msg.Ballot}
	if inst.value != nil {
		accepted := inst.accepted
		reply.Accepted, reply.Deltas = &accepted, []Delta{*inst.value}
	}
	m.send(from, reply)
}

func (m *Machine) handleAccept(from fleet.VMID, msg *Message, now time.Time) {
	inst := m.instanceFor(from, msg, now)
	if inst == nil {
		return
	}
	if msg.Ballot.compare(inst.promised) < 0 {
		m.sendNack(from, inst)
		return
	}
	d := &msg.Deltas[0]
	if d.Base != m.view.Epoch {
		m.noteEpoch(d.Base, from, now)
		return
	}
	inst.promised, inst.accepted, inst.value = *msg.Ballot, *msg.Ballot, d
	m.send(from, Message{Kind: Accepted, Epoch: msg.Epoch, Ballot: msg.Ballot})
}

// instanceFor returns the ballot instance of a Prepare or Accept, or nil if
// this VM may not vote in the instance. If this VM has already adopted the
// epoch of the message or a later one, instanceFor sends a Nack.
func (m *Machine) instanceFor(from fleet.VMID, msg *Message, now time.Time) *instanceState {
	if msg.Epoch <= m.view.Epoch {
		m.send(from, Message{Kind: Nack, Epoch: m.view.Epoch})
		return nil
	}
	if len(msg.Voters) > 0 {
		return m.firstViewInstance(msg, now)
	}
	if !m.voting {
		return nil
	}
	if msg.Epoch > m.view.Epoch+1 {
		m.noteEpoch(msg.Epoch-1, from, now)
		return nil
	}
	if m.nextView.epoch != msg.Epoch {
		m.nextView = instanceState{epoch: msg.Epoch, since: now}
	}
	return &m.nextView
}

func (m *Machine) firstViewInstance(msg *Message, now time.Time) *instanceState {
	if m.role(now) == roleWaiting || msg.Epoch < m.firstView.epoch || revisionOf(msg.Epoch) != m.council.Revision {
		return nil
	}
	if !slices.Contains(msg.Voters, Voter{VM: m.self, Incarnation: m.cfg.Incarnation}) {
		return nil
	}
	if m.firstView.epoch != msg.Epoch {
		m.firstView = instanceState{epoch: msg.Epoch, since: now}
	}
	return &m.firstView
}

func (m *Machine) sendNack(to fleet.VMID, inst *instanceState) {
	promised := inst.promised
	m.send(to, Message{Kind: Nack, Epoch: m.view.Epoch, Ballot: &promised})
}

// Recovery.

func (m *Machine) tickAcceptor(now time.Time) {
	m.checkOldLeases(now)
	if now.Before(m.nextRound) {
		return
	}
	m.nextRound = now.Add(m.cfg.RenewInterval)
	if m.voting {
		if !m.sealed && m.viewCurrent() && m.oldLeasesEnded >= m.view.Epoch {
			m.sendToCouncil(Message{Kind: OldLeasesEnded, Epoch: m.oldLeasesEnded}) // repeated, as a datagram may be lost
		}
		return
	}
	m.recoveryRound++
	clear(m.stateReplies)
	if !m.firstViewAllowed {
		m.firstViewAllowedSince = time.Time{}
	}
	m.firstViewAllowed = false
	msg := Message{Kind: Recover, Seq: m.recoveryRound}
	m.sendToCouncil(msg)
	for _, id := range m.prevCouncil {
		if !m.inCouncil(id) {
			m.send(id, msg)
		}
	}
}

// handleRecover sends the acceptor state of this VM to a council member that
// has none. A VM outside the council replies too, because it may be a member
// of the previous council: the Revision of the reply shows whether this VM has
// the new revision.
func (m *Machine) handleRecover(from fleet.VMID, msg *Message, now time.Time) {
	if msg.Revision < m.council.Revision {
		return
	}
	reply := Message{
		Kind: State, Seq: msg.Seq, Incarnation: m.cfg.Incarnation,
		Role: m.role(now), Epoch: m.view.Epoch, HighestEpoch: m.highestEpoch,
	}
	if !m.inCouncil(m.self) {
		reply.Role = roleWaiting
	}
	if m.nextView.epoch == m.view.Epoch+1 {
		promised := m.nextView.promised
		reply.Ballot = &promised
		if m.nextView.value != nil {
			accepted := m.nextView.accepted
			reply.Accepted, reply.Deltas = &accepted, []Delta{*m.nextView.value}
		}
	}
	m.send(from, reply)
}

func (m *Machine) handleState(from fleet.VMID, msg *Message, now time.Time) {
	if m.voting || msg.Seq != m.recoveryRound || !m.inCouncil(m.self) {
		return
	}
	if msg.Revision == m.council.Revision {
		m.noteStoppedGranting(from, now)
	}
	if !m.inCouncil(from) || msg.Revision != m.council.Revision || now.Before(m.waitUntil) {
		return
	}
	m.noteEpoch(msg.HighestEpoch, from, now)
	m.stateReplies[from] = msg
	if len(m.stateReplies) < m.quorum() {
		return
	}
	if !m.tryRecover(now) {
		m.tryFirstView(now)
	}
}

// noteStoppedGranting records that a member of the previous council has the
// current revision and therefore no longer grants leases of the previous
// council. Once a majority of the previous council has the revision,
// noteStoppedGranting lowers waitUntil to grantDuration from now.
func (m *Machine) noteStoppedGranting(from fleet.VMID, now time.Time) {
	if !slices.Contains(m.prevCouncil, from) || m.stoppedGranting[from] {
		return
	}
	m.stoppedGranting[from] = true
	n := 0
	for _, id := range m.prevCouncil {
		if m.stoppedGranting[id] {
			n++
		}
	}
	if n > len(m.prevCouncil)/2 {
		m.waitUntil = minTime(m.waitUntil, now.Add(m.grantDuration()))
	}
}

// tryRecover copies the acceptor state from a majority of the council, not
// counting this VM, and reports whether such a majority has replied. If the
// vote of an earlier incarnation of this VM helped to choose a value, one of
// these members has accepted the value. Ballots in which an earlier incarnation
// voted have timed out during the wait. If these members have a later view than
// this VM, tryRecover copies nothing yet, because this VM must fetch the view
// first.
func (m *Machine) tryRecover(now time.Time) bool {
	n := 0
	var latest *Message
	var latestID fleet.VMID
	for _, id := range sortedKeys(m.stateReplies) {
		s := m.stateReplies[id]
		if s.Role != roleVoting || id == m.self {
			continue
		}
		n++
		if latest == nil || s.Epoch > latest.Epoch {
			latest, latestID = s, id
		}
	}
	if n < m.quorum() {
		return false
	}
	if m.view.Epoch < latest.Epoch {
		m.noteEpoch(latest.Epoch, latestID, now)
		return true
	}
	m.nextView = instanceState{}
	for _, s := range m.stateReplies {
		if s.Role != roleVoting || s.Epoch != m.view.Epoch || s.Ballot == nil {
			continue
		}
		m.nextView.epoch, m.nextView.since = m.view.Epoch+1, now
		if s.Ballot.compare(m.nextView.promised) > 0 {
			m.nextView.promised = *s.Ballot
		}
		if s.Accepted != nil && s.Accepted.compare(m.nextView.accepted) > 0 {
			m.nextView.accepted, m.nextView.value = *s.Accepted, &s.Deltas[0]
		}
	}
	m.stats.Recoveries++
	m.startVoting("Recovered", now)
	return true
}

func (m *Machine) startVoting(cause string, now time.Time) {
	m.voting = true
	m.grants = make(map[vmIncarnation]grant)
	m.record(timeline.KindElection, "Voting", cause, now)
	m.checkOldLeases(now)
}

// tryFirstView proposes a first view if the whole council has replied and no
// member is waiting. A majority suffices if its members have certainly never
// voted in this council, no member that replied is voting, and this VM knows no
// epoch of this council.
func (m *Machine) tryFirstView(now time.Time) {
	var voters, neverVoted []Voter
	base, baseID, voting := m.view.Epoch, m.self, 0
	for _, id := range m.council.Members {
		s := m.stateReplies[id]
		if s == nil || s.Role == roleWaiting {
			continue
		}
		v := Voter{VM: id, Incarnation: s.Incarnation}
		voters = append(voters, v)
		if s.Epoch > base {
			base, baseID = s.Epoch, id
		}
		switch s.Role {
		case roleNeverVoted:
			neverVoted = append(neverVoted, v)
		case roleVoting:
			voting++
		}
	}
	firstEpoch := fleet.Epoch(m.council.Revision) << 32
	epoch := max(m.highestEpoch, firstEpoch) + firstViewGap + firstViewOffset(voters)
	if len(voters) < len(m.council.Members) {
		if len(neverVoted) < m.quorum() || voting > 0 || m.highestEpoch >= firstEpoch {
			return
		}
		voters, epoch = neverVoted, firstEpoch+1
	}
	if base > m.view.Epoch {
		m.noteEpoch(base, baseID, now)
		return
	}
	m.firstViewAllowed = true
	if m.firstViewAllowedSince.IsZero() {
		m.firstViewAllowedSince = now
	}
	rank := slices.IndexFunc(voters, func(v Voter) bool { return v.VM == m.self })
	if rank >= 0 && now.Sub(m.firstViewAllowedSince) >= time.Duration(rank)*m.cfg.RankDelay {
		m.proposeFirstView(epoch, voters, now)
	}
}

// firstViewOffset derives an epoch offset from the voters, so that first views
// with different voters rarely share an epoch. Without the offset, a first view
// could get the epoch of an earlier first view that only an unreachable VM
// knows.
func firstViewOffset(voters []Voter) fleet.Epoch {
	h := xxhash.New()
	for _, v := range voters {
		fmt.Fprintf(h, "%s %d\n", v.VM, v.Incarnation)
	}
	return fleet.Epoch(h.Sum64() % firstViewRange)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
