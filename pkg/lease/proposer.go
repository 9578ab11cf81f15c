package lease

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// resendInterval is the interval at which a proposer repeats a Prepare or
	// Accept to the council members that have not replied.
	resendInterval = 60 * time.Millisecond
	// pendingTimeout is how long a council member keeps a target report that no
	// view includes yet. The owner of the target repeats the report.
	pendingTimeout = 2 * time.Second
	// maxPending is the maximum number of target reports that a council member
	// keeps.
	maxPending = 4096
	// maxFailures is the number of failed ballots in a row after which a proposer
	// stops setting flagProposer, so that other council members propose.
	maxFailures = 3
)

type (
	targetReport struct {
		target     fleet.Target
		receivedAt time.Time
	}

	// proposal is one ballot of this VM. Replies that arrive BallotTimeout or
	// more after the start of the ballot do not count. A restarted council member can therefore assume, after its wait,
	// that the ballots in which its earlier incarnation voted have ended.
	proposal struct {
		epoch     fleet.Epoch
		ballot    Ballot
		started   time.Time
		lastSent  time.Time
		voters    []Voter
		accepting bool // whether the ballot is in phase 2
		replies   map[fleet.VMID]bool
		accepted  Ballot // highest accepted ballot among the promises
		value     *Delta
	}

	proposer struct {
		join, stay      []fleet.Member // see SetCandidates; ordered by id
		hasCandidates   bool
		pendingTargets  map[fleet.TargetKey]targetReport
		proposal        *proposal
		lastRound       uint32
		changeSince     time.Time // when a change to propose was first seen; zero if there is none
		proposerHeardAt time.Time // time of the last Grant with flagProposer from another VM
		failedBallots   int       // failed ballots since the last success
		lastAdopted     time.Time // time when the current view was adopted
		backoffUntil    time.Time
	}
)

// SetCandidates sets the VMs that may join a new view, and the VMs that may
// only stay if they are members already; see membership.Machine.Candidates.
func (m *Machine) SetCandidates(join, stay []fleet.Member) {
	m.join, m.stay, m.hasCandidates = join, stay, true
}

func (m *Machine) handleReport(msg *Message, now time.Time) {
	d := &msg.Deltas[0]
	for i := range d.Set {
		t := d.Set[i].target(d.Services, m.cfg.Zone)
		if len(m.pendingTargets) >= maxPending {
			m.stats.TargetsDropped++
			return
		}
		m.pendingTargets[t.ID.Key()] = targetReport{target: t, receivedAt: now}
	}
}

// rank returns the position of this VM among the council members that are
// candidates, in order of id. Rank 0 proposes at once. A higher rank proposes
// only if it hears of no proposer or if a ballot has stalled, and only after a
// delay of RankDelay per rank. A VM that is no candidate, for example because
// it is leaving, ranks last.
func (m *Machine) rank() int {
	n := 0
	_, joins := findMember(m.join, m.self)
	if _, stays := findMember(m.stay, m.self); !joins && !stays {
		return len(m.council.Members)
	}
	for _, id := range m.council.Members {
		if id == m.self {
			return n
		}
		if _, ok := findMember(m.join, id); ok {
			n++
		} else if _, ok := findMember(m.stay, id); ok {
			n++
		}
	}
	return n
}

func (m *Machine) isProposer() bool { return m.voting && m.hasCandidates && m.rank() == 0 }

func (m *Machine) tickProposer(now time.Time) {
	m.prunePending(now)
	if p := m.proposal; p != nil {
		m.continueProposal(p, now)
		return
	}
	if !m.voting || !m.hasCandidates || !m.viewCurrent() || now.Before(m.backoffUntil) {
		return
	}
	// Without a connection to a majority the ballot would not complete, but the
	// members that promise would stop granting leases.
	if now.Sub(m.lastAdopted) < m.cfg.EpochInterval || !m.Connected(now) {
		return
	}
	stalled := m.nextView.epoch == m.view.Epoch+1 && now.Sub(m.nextView.since) > m.cfg.BallotTimeout
	d := m.buildDelta(m.view.Epoch + 1)
	if d == nil && !stalled {
		m.changeSince = time.Time{}
		return
	}
	// The proposer decides which changes to leave out, such as the return of a
	// flapping VM. Other members propose only if they hear of no proposer or if
	// a ballot has stalled.
	if m.rank() > 0 && !stalled && now.Sub(m.proposerHeardAt) < 2*m.cfg.RenewInterval {
		m.changeSince = time.Time{}
		return
	}
	if m.changeSince.IsZero() {
		m.changeSince = now
	}
	if now.Sub(m.changeSince) < time.Duration(m.rank())*m.cfg.RankDelay {
		return
	}
	if d == nil {
		d = &Delta{Base: m.view.Epoch, Epoch: m.view.Epoch + 1}
	}
	m.startProposal(&proposal{epoch: m.view.Epoch + 1, value: d}, now)
}

// buildDelta returns a delta that adds the VMs that may join, removes members
// that are no candidates, and applies the pending target reports. The delta
// includes as many changes as fit. If nothing changes, buildDelta returns nil.
func (m *Machine) buildDelta(epoch fleet.Epoch) *Delta {
	b := newDeltaBuilder(m.view.Epoch, epoch)
	m.addMembers(b)
	m.addTargets(b)
	if b.empty() {
		return nil
	}
	return &b.delta
}

func (m *Machine) addMembers(b *deltaBuilder) {
	for _, mem := range m.view.Members {
		if !containsMember(m.join, mem) && !containsMember(m.stay, mem) && !b.addLeave(mem.VM.ID) {
			return
		}
	}
	for _, mem := range m.join {
		i, ok := findMember(m.view.Members, mem.VM.ID)
		if ok && m.view.Members[i] == mem {
			continue
		}
		if !b.addJoin(mem) {
			return
		}
	}
}

func containsMember(list []fleet.Member, mem fleet.Member) bool {
	i, ok := findMember(list, mem.VM.ID)
	return ok && list[i].Incarnation == mem.Incarnation
}

func (m *Machine) addTargets(b *deltaBuilder) {
	for _, key := range sortedKeys(m.pendingTargets) {
		t := m.pendingTargets[key].target
		i, ok := findTarget(m.view.Targets, t.ID)
		switch {
		case t.State == fleet.TargetGone && ok:
			if !b.addDrop(key) {
				return
			}
		case t.State != fleet.TargetGone && (!ok || m.view.Targets[i] != t):
			if !b.addTarget(&t) {
				return
			}
		default:
			delete(m.pendingTargets, key)
		}
	}
}

func (m *Machine) proposeFirstView(epoch fleet.Epoch, voters []Voter, now time.Time) {
	if m.proposal != nil || !m.hasCandidates || now.Before(m.backoffUntil) {
		return
	}
	b := newDeltaBuilder(m.view.Epoch, epoch)
	for _, v := range voters {
		b.addVoter(v)
	}
	b.reserve(encodedSize(voters)) // an Accept also holds the voters outside the delta
	m.addMembers(b)
	m.startProposal(&proposal{epoch: epoch, value: &b.delta, voters: voters}, now)
}

func (m *Machine) startProposal(p *proposal, now time.Time) {
	m.lastRound = max(m.lastRound, m.nextView.promised.Round, m.firstView.promised.Round) + 1
	p.ballot = Ballot{Round: m.lastRound, VM: m.self}
	p.started, p.replies = now, make(map[fleet.VMID]bool)
	m.proposal = p
	m.stats.Ballots++
	m.record(timeline.KindView, "Proposed", "", now)
	m.sendProposal(p, now)
}

func (m *Machine) sendProposal(p *proposal, now time.Time) {
	p.lastSent = now
	ballot := p.ballot
	msg := Message{Kind: Prepare, Epoch: p.epoch, Ballot: &ballot, Voters: p.voters}
	if p.accepting {
		msg.Kind, msg.Deltas = Accept, []Delta{*p.value}
	}
	for _, id := range m.council.Members {
		if !p.replies[id] {
			m.send(id, msg)
		}
	}
}

func (m *Machine) continueProposal(p *proposal, now time.Time) {
	if m.expireProposal(p, now) {
		return
	}
	if now.Sub(p.lastSent) >= resendInterval {
		m.sendProposal(p, now)
	}
}

// expireProposal calls failProposal if the ballot started BallotTimeout or more
// ago, and reports whether it did.
func (m *Machine) expireProposal(p *proposal, now time.Time) bool {
	if now.Sub(p.started) < m.cfg.BallotTimeout {
		return false
	}
	m.failProposal(now)
	return true
}

// failProposal abandons the current ballot. The random delay before the next
// ballot keeps two proposers from preempting each other repeatedly.
func (m *Machine) failProposal(now time.Time) {
	m.proposal = nil
	m.stats.BallotsFailed++
	m.failedBallots++
	m.backoffUntil = now.Add(50*time.Millisecond + time.Duration(m.cfg.Rand.Int64N(int64(200*time.Millisecond))))
}

// matchProposal returns the open proposal that a reply belongs to, or nil.
func (m *Machine) matchProposal(msg *Message, accepting bool, now time.Time) *proposal {
	p := m.proposal
	if p == nil || p.accepting != accepting || p.epoch != msg.Epoch || p.ballot != *msg.Ballot || m.expireProposal(p, now) {
		return nil
	}
	return p
}

func (m *Machine) handlePromise(from fleet.VMID, msg *Message, now time.Time) {
	p := m.matchProposal(msg, false, now)
	if p == nil {
		return
	}
	p.replies[from] = true
	if msg.Accepted != nil && msg.Accepted.compare(p.accepted) > 0 {
		p.accepted, p.value = *msg.Accepted, &msg.Deltas[0]
	}
	if len(p.replies) < m.quorum() {
		return
	}
	p.accepting = true
	clear(p.replies)
	m.sendProposal(p, now)
}

func (m *Machine) handleAccepted(from fleet.VMID, msg *Message, now time.Time) {
	p := m.matchProposal(msg, true, now)
	if p == nil {
		return
	}
	p.replies[from] = true
	if len(p.replies) < m.quorum() || p.value.Base != m.view.Epoch {
		return
	}
	m.proposal, m.failedBallots = nil, 0
	if len(p.voters) > 0 {
		m.stats.FirstViews++
	}
	d := p.value
	for _, id := range m.council.Members {
		if id != m.self {
			m.send(id, Message{Kind: Deltas, Deltas: []Delta{*d}})
		}
	}
	m.adopt(m.view.apply(d, m.cfg.Zone), d, now)
}

func (m *Machine) handleNack(from fleet.VMID, msg *Message, now time.Time) {
	m.noteEpoch(msg.Epoch, from, now)
	p := m.proposal
	if p == nil {
		return
	}
	if msg.Ballot != nil {
		if msg.Ballot.compare(p.ballot) <= 0 {
			return
		}
		m.lastRound = max(m.lastRound, msg.Ballot.Round)
	}
	if msg.Ballot != nil || msg.Epoch >= p.epoch {
		m.failProposal(now)
	}
}

// prunePending drops target reports that have been pending for longer than
// pendingTimeout.
func (m *Machine) prunePending(now time.Time) {
	for key, r := range m.pendingTargets {
		if now.Sub(r.receivedAt) > pendingTimeout {
			delete(m.pendingTargets, key)
		}
	}
}
