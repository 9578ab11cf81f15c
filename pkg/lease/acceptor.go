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

// maxLives bounds the VM lives whose acknowledgements are kept.
const maxLives = 4096

type (
	// life is one life of a VM.
	life struct {
		vm          fleet.VMID
		incarnation fleet.Incarnation
	}

	grant struct {
		epoch fleet.Epoch
		until time.Time
	}

	// vote is the acceptor's part of one ballot instance.
	vote struct {
		epoch    fleet.Epoch
		promised Ballot
		accepted Ballot
		value    *Delta
		since    time.Time
	}

	// acceptor is a council member's memory. It is lost by a restart and then
	// counts for nothing before it is recovered (role intact).
	acceptor struct {
		intact    bool
		fresh     bool
		waitUntil time.Time // before, leases of an earlier life may be valid
		retired   map[fleet.VMID]bool
		vote      vote // for view.Epoch + 1
		form      vote // for a first view
		grants    map[life]grant
		acked     map[life]fleet.Epoch
		clean     fleet.Epoch // no lease granted by this VM before it is valid
		peers     map[fleet.VMID]fleet.Epoch
		snapshots [2][]Delta

		round     uint32
		nextRound time.Time
		states    map[fleet.VMID]*Message
		ready     time.Time // since when each round allowed a first view
		complete  bool      // the present round does
	}
)

func (a *acceptor) reset() {
	a.intact, a.fresh = false, false
	a.vote, a.form, a.clean = vote{}, vote{}, 0
	a.grants = make(map[life]grant)
	a.acked = make(map[life]fleet.Epoch)
	a.peers = make(map[fleet.VMID]fleet.Epoch)
	a.states = make(map[fleet.VMID]*Message)
	a.retired = make(map[fleet.VMID]bool)
	a.ready = time.Time{}
}

// begin starts the life of a council member in a new council.
func (a *acceptor) begin(m *Machine, first bool, now time.Time) {
	a.reset()
	a.waitUntil, a.nextRound = now.Add(m.grantTime()), now
	if first {
		return
	}
	// Leases of the old council: it is known to have stopped once a majority
	// of it has the new revision; else the settings need their time.
	a.waitUntil = now.Add(m.cfg.SettingsTime + m.grantTime())
	// A process that is younger than the spreading of settings may have voted
	// in this council in an earlier life.
	a.fresh = now.Sub(m.born) >= 2*m.cfg.SettingsTime
	a.retired[m.self] = true
}

func (m *Machine) role(now time.Time) Role {
	switch {
	case m.intact:
		return roleIntact
	case now.Before(m.waitUntil):
		return roleWaiting
	case m.fresh && !m.current():
		return roleFresh
	}
	return roleNew
}

func (m *Machine) handleRequest(from fleet.VMID, msg *Message, now time.Time) {
	m.note(msg.Epoch, from, now)
	key := life{from, msg.Incarnation}
	if len(m.acked) >= maxLives && m.acked[key] == 0 {
		return
	}
	if msg.Epoch > m.acked[key] {
		m.acked[key] = msg.Epoch
		m.checkClean(now)
	}
	reply := Message{Kind: Grant, Seq: msg.Seq}
	if m.current() {
		reply.Epoch = m.view.Epoch
	}
	if m.mayGrant(from, msg) {
		m.stats.Granted++
		m.grants[key] = grant{epoch: m.view.Epoch, until: now.Add(m.grantTime())}
		reply.Flags |= flagGranted
	} else {
		m.stats.Refused++
	}
	if m.sealed {
		reply.Flags |= flagSealed
	}
	if m.isProposer() && m.failures < maxFailures {
		reply.Flags |= flagProposer
	}
	m.send(from, reply)
}

// mayGrant refuses a lease once a later epoch is promised, so that the old
// epoch can end.
func (m *Machine) mayGrant(from fleet.VMID, msg *Message) bool {
	if !m.intact || !m.current() || msg.Epoch != m.view.Epoch || m.vote.epoch == m.view.Epoch+1 {
		return false
	}
	incarnation, ok := m.view.Member(from)
	return ok && incarnation == msg.Incarnation
}

// checkClean finds out whether every lease that this VM granted before the
// view's epoch has ended, and tells the council.
func (m *Machine) checkClean(now time.Time) {
	if !m.intact || !m.current() || m.clean >= m.view.Epoch {
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
	m.clean = m.view.Epoch
	m.toCouncil(Message{Kind: Clean, Epoch: m.clean})
}

func (m *Machine) handleClean(from fleet.VMID, msg *Message, now time.Time) {
	m.note(msg.Epoch, from, now)
	if msg.Epoch > m.peers[from] {
		m.peers[from] = msg.Epoch
	}
	m.checkSealed(now)
}

// checkSealed seals the view once a majority of the council is clean. A lease
// needs a majority too, and the two share a member that knows it has ended.
func (m *Machine) checkSealed(now time.Time) {
	if m.sealed || !m.current() {
		return
	}
	n := 0
	for _, id := range m.council.Members {
		if m.peers[id] >= m.view.Epoch {
			n++
		}
	}
	if n < m.quorum() {
		return
	}
	m.seal(now)
	for _, id := range m.share(m.view, nil) {
		m.send(id, Message{Kind: Sealed, Epoch: m.view.Epoch})
	}
}

// share returns the VMs outside the council that this council member pushes
// to: each VM has one such council member among those in the view.
func (m *Machine) share(v, prev *View) []fleet.VMID {
	own, pushers := -1, 0
	for _, id := range m.council.Members {
		if _, ok := v.Member(id); !ok {
			continue
		}
		if id == m.self {
			own = pushers
		}
		pushers++
	}
	var out []fleet.VMID
	i := 0
	add := func(id fleet.VMID) {
		if m.inCouncil(id) {
			return
		}
		if pushers > 0 && i%pushers == own {
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

// acceptorAdopted follows a new view.
func (m *Machine) acceptorAdopted(prev *View, d *Delta, now time.Time) {
	if m.vote.epoch <= m.view.Epoch {
		m.vote = vote{}
	}
	if m.form.epoch <= m.view.Epoch {
		m.form = vote{}
	}
	if m.proposal != nil && m.proposal.epoch <= m.view.Epoch {
		m.proposal = nil
	}
	for key, e := range m.acked {
		if i, ok := m.view.Member(key.vm); (!ok || i != key.incarnation) && e < m.view.Epoch {
			delete(m.acked, key)
		}
	}
	m.needSince = time.Time{}
	m.lastEpoch = now
	if d != nil && !m.intact && m.current() && slices.Contains(d.Voters, Voter{VM: m.self, Incarnation: m.cfg.Incarnation}) {
		m.becomeIntact("Formed", now)
	}
	if d != nil && m.current() {
		for _, id := range m.share(m.view, prev) {
			m.send(id, Message{Kind: Deltas, Deltas: []Delta{*d}})
		}
	}
	m.checkClean(now)
	m.checkSealed(now)
}

// snapshot returns the chunks of the full view, or of an earlier one whose
// transfer has begun.
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
	v := m.voteFor(from, msg, now)
	if v == nil {
		return
	}
	if msg.Ballot.compare(v.promised) < 0 {
		m.nack(from, v)
		return
	}
	v.promised = *msg.Ballot
	reply := Message{Kind: Promise, Epoch: msg.Epoch, Ballot: msg.Ballot}
	if v.value != nil {
		accepted := v.accepted
		reply.Accepted, reply.Deltas = &accepted, []Delta{*v.value}
	}
	m.send(from, reply)
}

func (m *Machine) handleAccept(from fleet.VMID, msg *Message, now time.Time) {
	v := m.voteFor(from, msg, now)
	if v == nil {
		return
	}
	if msg.Ballot.compare(v.promised) < 0 {
		m.nack(from, v)
		return
	}
	d := &msg.Deltas[0]
	if d.Base != m.view.Epoch {
		m.note(d.Base, from, now)
		return
	}
	v.promised, v.accepted, v.value = *msg.Ballot, *msg.Ballot, d
	m.send(from, Message{Kind: Accepted, Epoch: msg.Epoch, Ballot: msg.Ballot})
}

// voteFor returns the instance in which this VM may vote on a message, or nil.
func (m *Machine) voteFor(from fleet.VMID, msg *Message, now time.Time) *vote {
	if msg.Epoch <= m.view.Epoch {
		m.send(from, Message{Kind: Nack, Epoch: m.view.Epoch})
		return nil
	}
	if len(msg.Voters) > 0 {
		return m.formVote(msg, now)
	}
	if !m.intact {
		return nil
	}
	if msg.Epoch > m.view.Epoch+1 {
		m.note(msg.Epoch-1, from, now)
		return nil
	}
	if m.vote.epoch != msg.Epoch {
		m.vote = vote{epoch: msg.Epoch, since: now}
	}
	return &m.vote
}

func (m *Machine) formVote(msg *Message, now time.Time) *vote {
	if m.role(now) == roleWaiting || msg.Epoch < m.form.epoch || revisionOf(msg.Epoch) != m.council.Revision {
		return nil
	}
	if !slices.Contains(msg.Voters, Voter{VM: m.self, Incarnation: m.cfg.Incarnation}) {
		return nil
	}
	if m.form.epoch != msg.Epoch {
		m.form = vote{epoch: msg.Epoch, since: now}
	}
	return &m.form
}

func (m *Machine) nack(to fleet.VMID, v *vote) {
	promised := v.promised
	m.send(to, Message{Kind: Nack, Epoch: m.view.Epoch, Ballot: &promised})
}

// Recovery.

func (m *Machine) tickAcceptor(now time.Time) {
	m.checkClean(now)
	if now.Before(m.nextRound) {
		return
	}
	m.nextRound = now.Add(m.cfg.RenewInterval)
	if m.intact {
		if !m.sealed && m.current() && m.clean >= m.view.Epoch {
			m.toCouncil(Message{Kind: Clean, Epoch: m.clean}) // the first one may be lost
		}
		return
	}
	m.round++
	clear(m.states)
	if !m.complete {
		m.ready = time.Time{}
	}
	m.complete = false
	msg := Message{Kind: Recover, Seq: m.round}
	m.toCouncil(msg)
	for _, id := range m.old {
		if !m.inCouncil(id) {
			m.send(id, msg)
		}
	}
}

// handleRecover tells a council member that has no state what this VM knows.
// A VM outside the council answers too, as a member of the old one.
func (m *Machine) handleRecover(from fleet.VMID, msg *Message, now time.Time) {
	if msg.Revision < m.council.Revision {
		return
	}
	reply := Message{
		Kind: State, Seq: msg.Seq, Incarnation: m.cfg.Incarnation,
		Role: m.role(now), Epoch: m.view.Epoch, Known: m.known,
	}
	if !m.inCouncil(m.self) {
		reply.Role = roleWaiting
	}
	if m.vote.epoch == m.view.Epoch+1 {
		promised := m.vote.promised
		reply.Ballot = &promised
		if m.vote.value != nil {
			accepted := m.vote.accepted
			reply.Accepted, reply.Deltas = &accepted, []Delta{*m.vote.value}
		}
	}
	m.send(from, reply)
}

func (m *Machine) handleState(from fleet.VMID, msg *Message, now time.Time) {
	if m.intact || msg.Seq != m.round || !m.inCouncil(m.self) {
		return
	}
	if msg.Revision == m.council.Revision {
		m.noteRetired(from, now)
	}
	if !m.inCouncil(from) || msg.Revision != m.council.Revision || now.Before(m.waitUntil) {
		return
	}
	m.note(msg.Known, from, now)
	m.states[from] = msg
	if len(m.states) < m.quorum() {
		return
	}
	if !m.recoverFrom(now) {
		m.tryForm(now)
	}
}

// noteRetired shortens the wait of a new council once a majority of the old
// one has stopped to grant leases.
func (m *Machine) noteRetired(from fleet.VMID, now time.Time) {
	if !slices.Contains(m.old, from) || m.retired[from] {
		return
	}
	m.retired[from] = true
	n := 0
	for _, id := range m.old {
		if m.retired[id] {
			n++
		}
	}
	if n > len(m.old)/2 {
		m.waitUntil = minTime(m.waitUntil, now.Add(m.grantTime()))
	}
}

// recoverFrom copies the state of a majority of the council without this VM.
// Whatever a majority accepted with this VM's earlier vote is known to one of
// them; ballots that were open then have timed out during the wait.
func (m *Machine) recoverFrom(now time.Time) bool {
	n := 0
	var top *Message
	var topID fleet.VMID
	for _, id := range sortedKeys(m.states) {
		s := m.states[id]
		if s.Role != roleIntact || id == m.self {
			continue
		}
		n++
		if top == nil || s.Epoch > top.Epoch {
			top, topID = s, id
		}
	}
	if n < m.quorum() {
		return false
	}
	if m.view.Epoch < top.Epoch {
		m.note(top.Epoch, topID, now)
		return true
	}
	m.vote = vote{}
	for _, s := range m.states {
		if s.Role != roleIntact || s.Epoch != m.view.Epoch || s.Ballot == nil {
			continue
		}
		m.vote.epoch, m.vote.since = m.view.Epoch+1, now
		if s.Ballot.compare(m.vote.promised) > 0 {
			m.vote.promised = *s.Ballot
		}
		if s.Accepted != nil && s.Accepted.compare(m.vote.accepted) > 0 {
			m.vote.accepted, m.vote.value = *s.Accepted, &s.Deltas[0]
		}
	}
	m.stats.Recoveries++
	m.becomeIntact("Recovered", now)
	return true
}

func (m *Machine) becomeIntact(cause string, now time.Time) {
	m.intact = true
	m.grants = make(map[life]grant)
	m.record(timeline.KindElection, "Voting", cause, now)
	m.checkClean(now)
}

// tryForm starts a first view, if the whole council has answered and none of
// it waits, or if a majority has certainly never voted in this council.
func (m *Machine) tryForm(now time.Time) {
	var voters, fresh []Voter
	base, baseID, intact := m.view.Epoch, m.self, 0
	for _, id := range m.council.Members {
		s := m.states[id]
		if s == nil || s.Role == roleWaiting {
			continue
		}
		v := Voter{VM: id, Incarnation: s.Incarnation}
		voters = append(voters, v)
		if s.Epoch > base {
			base, baseID = s.Epoch, id
		}
		switch s.Role {
		case roleFresh:
			fresh = append(fresh, v)
		case roleIntact:
			intact++
		}
	}
	lowest := fleet.Epoch(m.council.Revision) << 32
	epoch := max(m.known, lowest) + formationGap + formationOffset(voters)
	if len(voters) < len(m.council.Members) {
		if len(fresh) < m.quorum() || intact > 0 || m.known >= lowest {
			return
		}
		voters, epoch = fresh, lowest+1
	}
	if base > m.view.Epoch {
		m.note(base, baseID, now)
		return
	}
	m.complete = true
	if m.ready.IsZero() {
		m.ready = now
	}
	rank := slices.IndexFunc(voters, func(v Voter) bool { return v.VM == m.self })
	if rank >= 0 && now.Sub(m.ready) >= time.Duration(rank)*m.cfg.RankDelay {
		m.proposeForm(epoch, voters, now)
	}
}

// formationOffset spreads first views of different voters, so that an epoch
// that only a VM out of reach remembers is not used again.
func formationOffset(voters []Voter) fleet.Epoch {
	h := xxhash.New()
	for _, v := range voters {
		fmt.Fprintf(h, "%s %d\n", v.VM, v.Incarnation)
	}
	return fleet.Epoch(h.Sum64() % formationSpread)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
