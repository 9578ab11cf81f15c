package lease

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// resend is the interval at which a proposer repeats its messages to the
	// council members that did not reply.
	resend = 60 * time.Millisecond
	// pendingTime is how long a proposer keeps a target report that no view
	// shows; the owner repeats it.
	pendingTime = 2 * time.Second
	// maxPending bounds the target reports that wait for a view.
	maxPending = 4096
	// maxFailures is the number of failed ballots after which a proposer no
	// longer claims to be one, so that others try.
	maxFailures = 3
)

type (
	change struct {
		target fleet.Target
		at     time.Time
	}

	// proposal is one ballot of this VM. It counts no reply after
	// BallotTimeout, on which the recovery of council members relies.
	proposal struct {
		epoch    fleet.Epoch
		ballot   Ballot
		started  time.Time
		sent     time.Time
		voters   []Voter
		accept   bool // in phase 2
		replies  map[fleet.VMID]bool
		accepted Ballot // highest accepted ballot among the promises
		value    *Delta
	}

	proposer struct {
		join, stay []fleet.Member // ordered by id
		candidates bool
		pending    map[fleet.TargetKey]change
		proposal   *proposal
		rounds     uint32
		needSince  time.Time
		heard      time.Time // last sign of another proposer
		failures   int       // ballots since the last success
		lastEpoch  time.Time
		backoff    time.Time
	}
)

// SetCandidates sets the VMs that a new view may take in, and those that stay
// if they are members already; see membership.Machine.Candidates.
func (m *Machine) SetCandidates(join, stay []fleet.Member) {
	m.join, m.stay, m.candidates = join, stay, true
}

func (m *Machine) handleReport(msg *Message, now time.Time) {
	d := &msg.Deltas[0]
	for i := range d.Set {
		t := d.Set[i].target(d.Services, m.cfg.Zone)
		if len(m.pending) >= maxPending {
			m.stats.TargetsDropped++
			return
		}
		m.pending[t.ID.Key()] = change{target: t, at: now}
	}
}

// rank is this VM's place among the live council members: 0 proposes at once,
// the others later if nothing happens. A VM that leaves comes last.
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

func (m *Machine) isProposer() bool { return m.intact && m.candidates && m.rank() == 0 }

func (m *Machine) tickProposer(now time.Time) {
	m.prune(now)
	if p := m.proposal; p != nil {
		m.driveProposal(p, now)
		return
	}
	if !m.intact || !m.candidates || !m.current() || now.Before(m.backoff) {
		return
	}
	// A proposer that hears no majority would only collect promises, which
	// stop leases.
	if now.Sub(m.lastEpoch) < m.cfg.EpochInterval || !m.Connected(now) {
		return
	}
	stalled := m.vote.epoch == m.view.Epoch+1 && now.Sub(m.vote.since) > m.cfg.BallotTimeout
	d := m.difference(m.view.Epoch + 1)
	if d == nil && !stalled {
		m.needSince = time.Time{}
		return
	}
	// What the proposer leaves out, such as a VM that flaps, is its decision;
	// the others only act where there is none.
	if m.rank() > 0 && !stalled && now.Sub(m.heard) < 2*m.cfg.RenewInterval {
		m.needSince = time.Time{}
		return
	}
	if m.needSince.IsZero() {
		m.needSince = now
	}
	if now.Sub(m.needSince) < time.Duration(m.rank())*m.cfg.RankDelay {
		return
	}
	if d == nil {
		d = &Delta{Base: m.view.Epoch, Epoch: m.view.Epoch + 1}
	}
	m.start(&proposal{epoch: m.view.Epoch + 1, value: d}, now)
}

// difference returns the delta from the view to what this VM knows, as far as
// one delta holds it, or nil.
func (m *Machine) difference(epoch fleet.Epoch) *Delta {
	b := newBuilder(m.view.Epoch, epoch)
	m.addMembers(b)
	m.addTargets(b)
	if b.empty() {
		return nil
	}
	return &b.delta
}

func (m *Machine) addMembers(b *builder) {
	for _, mem := range m.view.Members {
		if !hasLife(m.join, mem) && !hasLife(m.stay, mem) && !b.leave(mem.VM.ID) {
			return
		}
	}
	for _, mem := range m.join {
		i, ok := findMember(m.view.Members, mem.VM.ID)
		if ok && m.view.Members[i] == mem {
			continue
		}
		if !b.join(mem) {
			return
		}
	}
}

func hasLife(list []fleet.Member, mem fleet.Member) bool {
	i, ok := findMember(list, mem.VM.ID)
	return ok && list[i].Incarnation == mem.Incarnation
}

func (m *Machine) addTargets(b *builder) {
	for _, key := range sortedKeys(m.pending) {
		t := m.pending[key].target
		i, ok := findTarget(m.view.Targets, t.ID)
		switch {
		case t.State == fleet.TargetGone && ok:
			if !b.drop(key) {
				return
			}
		case t.State != fleet.TargetGone && (!ok || m.view.Targets[i] != t):
			if !b.set(&t) {
				return
			}
		default:
			delete(m.pending, key)
		}
	}
}

func (m *Machine) proposeForm(epoch fleet.Epoch, voters []Voter, now time.Time) {
	if m.proposal != nil || !m.candidates || now.Before(m.backoff) {
		return
	}
	b := newBuilder(m.view.Epoch, epoch)
	for _, v := range voters {
		b.vote(v)
	}
	b.take(encodedSize(voters)) // the message repeats them
	m.addMembers(b)
	m.start(&proposal{epoch: epoch, value: &b.delta, voters: voters}, now)
}

func (m *Machine) start(p *proposal, now time.Time) {
	m.rounds = max(m.rounds, m.vote.promised.Round, m.form.promised.Round) + 1
	p.ballot = Ballot{Round: m.rounds, VM: m.self}
	p.started, p.replies = now, make(map[fleet.VMID]bool)
	m.proposal = p
	m.stats.Ballots++
	m.record(timeline.KindView, "Proposed", "", now)
	m.sendProposal(p, now)
}

func (m *Machine) sendProposal(p *proposal, now time.Time) {
	p.sent = now
	ballot := p.ballot
	msg := Message{Kind: Prepare, Epoch: p.epoch, Ballot: &ballot, Voters: p.voters}
	if p.accept {
		msg.Kind, msg.Deltas = Accept, []Delta{*p.value}
	}
	for _, id := range m.council.Members {
		if !p.replies[id] {
			m.send(id, msg)
		}
	}
}

func (m *Machine) driveProposal(p *proposal, now time.Time) {
	if m.expired(p, now) {
		return
	}
	if now.Sub(p.sent) >= resend {
		m.sendProposal(p, now)
	}
}

// expired ends a ballot whose time is over; the next one waits for a random
// time, so that two proposers do not disturb each other for long.
func (m *Machine) expired(p *proposal, now time.Time) bool {
	if now.Sub(p.started) < m.cfg.BallotTimeout {
		return false
	}
	m.fail(now)
	return true
}

func (m *Machine) fail(now time.Time) {
	m.proposal = nil
	m.stats.BallotsFailed++
	m.failures++
	m.backoff = now.Add(50*time.Millisecond + time.Duration(m.cfg.Rand.Int64N(int64(200*time.Millisecond))))
}

// ballotOf returns the ballot that a reply belongs to, or nil.
func (m *Machine) ballotOf(msg *Message, accept bool, now time.Time) *proposal {
	p := m.proposal
	if p == nil || p.accept != accept || p.epoch != msg.Epoch || p.ballot != *msg.Ballot || m.expired(p, now) {
		return nil
	}
	return p
}

func (m *Machine) handlePromise(from fleet.VMID, msg *Message, now time.Time) {
	p := m.ballotOf(msg, false, now)
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
	p.accept = true
	clear(p.replies)
	m.sendProposal(p, now)
}

func (m *Machine) handleAccepted(from fleet.VMID, msg *Message, now time.Time) {
	p := m.ballotOf(msg, true, now)
	if p == nil {
		return
	}
	p.replies[from] = true
	if len(p.replies) < m.quorum() || p.value.Base != m.view.Epoch {
		return
	}
	m.proposal, m.failures = nil, 0
	if len(p.voters) > 0 {
		m.stats.Formations++
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
	m.note(msg.Epoch, from, now)
	p := m.proposal
	if p == nil {
		return
	}
	if msg.Ballot != nil {
		if msg.Ballot.compare(p.ballot) <= 0 {
			return
		}
		m.rounds = max(m.rounds, msg.Ballot.Round)
	}
	if msg.Ballot != nil || msg.Epoch >= p.epoch {
		m.fail(now)
	}
}

// prune drops target reports that no view took.
func (m *Machine) prune(now time.Time) {
	for key, c := range m.pending {
		if now.Sub(c.at) > pendingTime {
			delete(m.pending, key)
		}
	}
}
