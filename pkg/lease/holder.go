package lease

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// fetchDelay leaves time for a pushed delta before a VM asks for it.
	fetchDelay = 50 * time.Millisecond
	// fetchRetry is the interval between two attempts to get a view.
	fetchRetry = 100 * time.Millisecond
	// firstRetry is the first interval of requests without a lease; it doubles
	// up to RenewInterval.
	firstRetry = 30 * time.Millisecond
	// reportInterval is the interval of target reports that no view shows yet.
	reportInterval = 300 * time.Millisecond
	// maxRequests bounds the requests whose sending time is kept.
	maxRequests = 32
)

func (m *Machine) tickHolder(now time.Time) {
	m.noteLease(now)
	if !now.Before(m.nextRenew) {
		m.renew(now)
	}
	if m.known > m.view.Epoch && now.Sub(m.knownAt) >= fetchDelay && now.Sub(m.fetchAt) >= fetchRetry {
		m.fetch(m.knownBy, now)
	}
	if !now.Before(m.nextReport) {
		m.nextReport = now.Add(reportInterval)
		m.reportTargets()
	}
}

// renew asks all council members. Without a lease it repeats soon, since a
// council member that has not adopted the view yet can't grant.
func (m *Machine) renew(now time.Time) {
	m.seq++
	m.requests = append(m.requests, request{seq: m.seq, at: now})
	if len(m.requests) > maxRequests {
		m.requests = slices.Delete(m.requests, 0, 1)
	}
	wait := m.cfg.RenewInterval
	if i, ok := m.view.Member(m.self); ok && i == m.cfg.Incarnation && !m.LeaseUntil(now).After(now) {
		wait = min(wait, firstRetry<<min(m.retries, 10))
		m.retries++
	}
	m.nextRenew = now.Add(m.jittered(wait))
	m.toCouncil(Message{Kind: Request, Seq: m.seq, Epoch: m.view.Epoch, Incarnation: m.cfg.Incarnation})
}

// jittered varies an interval by 5 %, so that the VMs of a zone spread out.
func (m *Machine) jittered(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(m.cfg.Rand.Int64N(int64(d/10)+1))
}

func (m *Machine) handleGrant(from fleet.VMID, msg *Message, now time.Time) {
	if !m.inCouncil(from) {
		return
	}
	m.answered[from] = now
	m.note(msg.Epoch, from, now)
	if msg.Flags&flagProposer != 0 {
		m.proposerID = from
		if from != m.self {
			m.heard = now
		}
	}
	if msg.Epoch != m.view.Epoch || msg.Epoch == 0 {
		return
	}
	if msg.Flags&flagSealed != 0 {
		m.seal(now)
	}
	// The incarnation rules out a grant to an earlier life of this VM.
	if i, ok := m.view.Member(m.self); !ok || i != m.cfg.Incarnation || msg.Flags&flagGranted == 0 {
		return
	}
	for _, r := range m.requests {
		if r.seq == msg.Seq && r.at.After(m.granted[from]) {
			m.granted[from] = r.at
		}
	}
	m.noteLease(now)
}

// LeaseUntil returns until when this VM holds a lease in the epoch of its
// view, by its own clock; the zero time means that it holds none.
func (m *Machine) LeaseUntil(now time.Time) time.Time {
	if len(m.granted) < m.quorum() || !m.current() {
		return time.Time{}
	}
	times := make([]time.Time, 0, MaxCouncil)
	for _, at := range m.granted {
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	until := times[m.quorum()-1].Add(m.cfg.LeaseTime * holderNumerator / holderDenominator)
	if !until.After(now) {
		return time.Time{}
	}
	return until
}

// Connected reports whether a majority of the council answered this VM within
// LeaseTime; the daemon passes it to membership.Machine.SetFit.
func (m *Machine) Connected(now time.Time) bool {
	n := 0
	for _, at := range m.answered {
		if now.Sub(at) < m.cfg.LeaseTime {
			n++
		}
	}
	return m.council.Revision != 0 && n >= m.quorum()
}

func (m *Machine) noteLease(now time.Time) {
	has := m.LeaseUntil(now).After(now)
	if has == m.hadLease {
		return
	}
	m.hadLease = has
	if has {
		m.retries = 0
		// Ends the quick repetition of requests.
		m.nextRenew = m.requests[len(m.requests)-1].at.Add(m.jittered(m.cfg.RenewInterval))
		m.record(timeline.KindLease, "Gained", "", now)
		return
	}
	m.stats.LeasesLost++
	m.record(timeline.KindLease, "Lost", "no majority of the council renewed it", now)
}

func (m *Machine) handleSealed(from fleet.VMID, msg *Message, now time.Time) {
	if !m.inCouncil(from) {
		return
	}
	m.note(msg.Epoch, from, now)
	if msg.Epoch == m.view.Epoch {
		m.seal(now)
	}
}

func (m *Machine) seal(now time.Time) {
	if m.sealed || m.view.Epoch == 0 {
		return
	}
	m.sealed, m.lastSealed = true, m.view
	m.stats.Seals++
	m.record(timeline.KindView, "Sealed", "", now)
}

// adopt takes over a later view. From here on this VM decides nothing in an
// earlier epoch; the request that follows is its acknowledgement.
func (m *Machine) adopt(v *View, d *Delta, now time.Time) {
	if v.Epoch <= m.view.Epoch {
		return
	}
	prev := m.view
	m.view, m.sealed, m.hadLease = v, false, false
	clear(m.granted)
	m.retries = 0
	m.note(v.Epoch, m.self, now)
	m.stats.Adopted++
	m.record(timeline.KindView, "Adopted", "", now)
	if d != nil {
		m.history = append(m.history, *d)
		if len(m.history) > historySize {
			m.history = slices.Delete(m.history, 0, 1)
		}
	}
	m.renew(now)
	if m.inCouncil(m.self) {
		m.acceptorAdopted(prev, d, now)
	}
}

func (m *Machine) handleDeltas(from fleet.VMID, msg *Message, now time.Time) {
	if !m.inCouncil(from) {
		return
	}
	for i := range msg.Deltas {
		d := &msg.Deltas[i]
		m.note(d.Epoch, from, now)
		if d.Base > m.view.Epoch && len(m.early) < fetchWindow*fetchWindow {
			m.early[d.Base] = d
			continue
		}
		if d.Base == m.view.Epoch {
			m.adopt(m.view.apply(d, m.cfg.Zone), d, now)
		}
	}
	m.applyEarly(now)
}

// applyEarly takes over deltas that arrived before their predecessor.
func (m *Machine) applyEarly(now time.Time) {
	for d := m.early[m.view.Epoch]; d != nil; d = m.early[m.view.Epoch] {
		delete(m.early, d.Base)
		m.adopt(m.view.apply(d, m.cfg.Zone), d, now)
	}
	for base := range m.early {
		if base < m.view.Epoch {
			delete(m.early, base)
		}
	}
}

func (m *Machine) fetch(from fleet.VMID, now time.Time) {
	m.fetchAt = now
	// The next attempt goes to another council member, as this one may be gone.
	i, _ := slices.BinarySearch(m.council.Members, from)
	m.knownBy = m.council.Members[(i+1)%len(m.council.Members)]
	if from == m.self {
		return
	}
	m.stats.Fetches++
	msg := Message{Kind: Fetch, Epoch: m.view.Epoch}
	if a := &m.assembly; a.epoch > m.view.Epoch && now.Sub(a.at) < time.Second {
		msg.Known = a.epoch
		for i, p := range a.parts {
			if p == nil {
				msg.Part = uint16(i)
				break
			}
		}
		a.end = int(msg.Part) + fetchWindow
	}
	m.send(from, msg)
}

// handleFetch sends deltas if few datagrams hold them, else parts of the full
// view.
func (m *Machine) handleFetch(from fleet.VMID, msg *Message) {
	if msg.Epoch >= m.view.Epoch {
		return
	}
	if packs := pack(m.chain(msg.Epoch)); len(packs) > 0 && len(packs) <= fetchWindow {
		for _, p := range packs {
			m.send(from, Message{Kind: Deltas, Deltas: p})
		}
		return
	}
	parts := m.snapshot(msg.Known)
	start := int(msg.Part)
	if msg.Known != parts[0].Epoch {
		start = 0
	}
	for i := start; i < min(start+fetchWindow, len(parts)); i++ {
		m.stats.ChunksSent++
		m.send(from, Message{
			Kind: Chunk, Epoch: parts[i].Epoch, Part: uint16(i), Parts: uint16(len(parts)), Deltas: parts[i : i+1],
		})
	}
}

// chain returns the deltas that lead from an epoch to the view.
func (m *Machine) chain(from fleet.Epoch) []Delta {
	i := slices.IndexFunc(m.history, func(d Delta) bool { return d.Base == from })
	if i < 0 || m.history[len(m.history)-1].Epoch != m.view.Epoch {
		return nil
	}
	for j := i + 1; j < len(m.history); j++ {
		if m.history[j].Base != m.history[j-1].Epoch {
			return nil
		}
	}
	return m.history[i:]
}

// pack groups consecutive deltas by what one datagram holds.
func pack(chain []Delta) [][]Delta {
	var out [][]Delta
	for len(chain) > 0 {
		n, size := 1, encodedSize(chain[0])
		for n < len(chain) {
			if size += encodedSize(chain[n]); size > deltaBudget {
				break
			}
			n++
		}
		out = append(out, chain[:n])
		chain = chain[n:]
	}
	return out
}

func (m *Machine) handleChunk(from fleet.VMID, msg *Message, now time.Time) {
	if !m.inCouncil(from) || msg.Epoch <= m.view.Epoch {
		return
	}
	m.note(msg.Epoch, from, now)
	a := &m.assembly
	if a.epoch != msg.Epoch || len(a.parts) != int(msg.Parts) {
		if a.epoch > m.view.Epoch && now.Sub(a.at) < 3*fetchRetry {
			return
		}
		*a = assembly{epoch: msg.Epoch, parts: make([]*Delta, msg.Parts), end: fetchWindow}
	}
	a.parts[msg.Part], a.at = &msg.Deltas[0], now
	missing := slices.Index(a.parts, nil)
	if missing < 0 {
		m.assemble(now)
		return
	}
	// A complete window asks for the next one at once.
	if missing >= a.end {
		m.fetch(from, now)
	}
}

func (m *Machine) assemble(now time.Time) {
	v := &View{}
	for _, p := range m.assembly.parts {
		v = v.apply(p, m.cfg.Zone)
	}
	m.assembly = assembly{}
	m.adopt(v, nil, now)
	m.applyEarly(now)
}

// SetTarget states what the view should say about a target that this VM owns;
// it is reported until a view shows it. State Gone removes the target. Only one
// VM may state a target at a time; see ForgetTarget. It returns a FieldError.
func (m *Machine) SetTarget(t fleet.Target) error {
	if err := t.Validate(); err != nil {
		return err
	}
	if len(t.ID.Service) > maxService {
		return invalid("Target", "ID.Service", "must have at most 128 bytes")
	}
	m.wanted[t.ID.Key()] = t
	return nil
}

// ForgetTarget ends the reports about a target, after its owner changed.
func (m *Machine) ForgetTarget(id fleet.TargetID) { delete(m.wanted, id.Key()) }

// reportTargets sends the differences between the wanted targets and the view
// to the proposer, as many as one datagram holds.
func (m *Machine) reportTargets() {
	if len(m.wanted) == 0 {
		return
	}
	b := newBuilder(0, 1)
	for _, key := range sortedKeys(m.wanted) {
		t := m.wanted[key]
		i, ok := findTarget(m.view.Targets, t.ID)
		switch {
		case t.State == fleet.TargetGone && !ok:
			delete(m.wanted, key)
		case t.State == fleet.TargetGone || !ok || m.view.Targets[i] != t:
			b.set(&t)
		}
	}
	if b.empty() {
		return
	}
	msg := Message{Kind: Report, Deltas: []Delta{b.delta}}
	if m.proposerID != "" {
		m.send(m.proposerID, msg)
		return
	}
	m.toCouncil(msg)
}
