package lease

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// fetchDelay is how long a VM that knows of a later epoch waits for a pushed
	// delta before it sends a Fetch.
	fetchDelay = 50 * time.Millisecond
	// fetchRetryInterval is the minimum interval between two Fetch messages.
	fetchRetryInterval = 100 * time.Millisecond
	// minRetryInterval is the first interval between lease requests while a
	// member of the view has no lease. The interval doubles with each request,
	// up to RenewInterval.
	minRetryInterval = 30 * time.Millisecond
	// reportInterval is the interval at which a VM repeats its target reports
	// until a view includes the reported changes.
	reportInterval = 300 * time.Millisecond
	// maxRequests is the maximum number of lease requests whose sending time is
	// kept; the oldest is dropped first.
	maxRequests = 32
)

func (m *Machine) tickHolder(now time.Time) {
	m.updateLease(now)
	if !now.Before(m.nextRenew) {
		m.renew(now)
	}
	if m.highestEpoch > m.view.Epoch && now.Sub(m.highestEpochAt) >= fetchDelay && now.Sub(m.lastFetch) >= fetchRetryInterval {
		m.fetch(m.fetchFrom, now)
	}
	if !now.Before(m.nextReport) {
		m.nextReport = now.Add(reportInterval)
		m.reportTargets()
	}
}

// renew sends a lease request to all council members. A member of the view that
// has no lease sends the next request early, because council members that had
// not adopted the view yet may have refused the last request.
func (m *Machine) renew(now time.Time) {
	m.seq++
	m.requests = append(m.requests, request{seq: m.seq, sentAt: now})
	if len(m.requests) > maxRequests {
		m.requests = slices.Delete(m.requests, 0, 1)
	}
	wait := m.cfg.RenewInterval
	if i, ok := m.view.Member(m.self); ok && i == m.cfg.Incarnation && !m.LeaseUntil(now).After(now) {
		wait = min(wait, minRetryInterval<<min(m.retries, 10))
		m.retries++
	}
	m.nextRenew = now.Add(m.jittered(wait))
	m.sendToCouncil(Message{Kind: Request, Seq: m.seq, Epoch: m.view.Epoch, Incarnation: m.cfg.Incarnation})
}

// jittered varies an interval by up to 5 % in each direction, so that the VMs
// of a zone do not send at the same time.
func (m *Machine) jittered(d time.Duration) time.Duration {
	return d - d/20 + time.Duration(m.cfg.Rand.Int64N(int64(d/10)+1))
}

func (m *Machine) handleGrant(from fleet.VMID, msg *Message, now time.Time) {
	if !m.inCouncil(from) {
		return
	}
	m.lastReply[from] = now
	m.noteEpoch(msg.Epoch, from, now)
	if msg.Flags&flagProposer != 0 {
		m.proposerID = from
		if from != m.self {
			m.proposerHeardAt = now
		}
	}
	if msg.Epoch != m.view.Epoch || msg.Epoch == 0 {
		return
	}
	if msg.Flags&flagSealed != 0 {
		m.seal(now)
	}
	// A grant counts only if the view lists this incarnation of this VM.
	if i, ok := m.view.Member(m.self); !ok || i != m.cfg.Incarnation || msg.Flags&flagGranted == 0 {
		return
	}
	for _, r := range m.requests {
		if r.seq == msg.Seq && r.sentAt.After(m.grantedRequestAt[from]) {
			m.grantedRequestAt[from] = r.sentAt
		}
	}
	m.updateLease(now)
}

// LeaseUntil returns the end of this VM's lease in the epoch of the view, by
// the clock of this VM. The zero time means that the VM holds no lease.
func (m *Machine) LeaseUntil(now time.Time) time.Time {
	if len(m.grantedRequestAt) < m.quorum() || !m.viewCurrent() {
		return time.Time{}
	}
	times := make([]time.Time, 0, MaxCouncil)
	for _, at := range m.grantedRequestAt {
		times = append(times, at)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	until := times[m.quorum()-1].Add(m.cfg.LeaseTime * holderNumerator / holderDenominator)
	if !until.After(now) {
		return time.Time{}
	}
	return until
}

// Connected reports whether each VM of a majority of the council has replied to
// this VM within the last LeaseTime. The daemon passes the result to membership.Machine.SetFit.
func (m *Machine) Connected(now time.Time) bool {
	n := 0
	for _, at := range m.lastReply {
		if now.Sub(at) < m.cfg.LeaseTime {
			n++
		}
	}
	return m.council.Revision != 0 && n >= m.quorum()
}

func (m *Machine) updateLease(now time.Time) {
	hasLease := m.LeaseUntil(now).After(now)
	if hasLease == m.hadLease {
		return
	}
	m.hadLease = hasLease
	if hasLease {
		m.retries = 0
		// Return from the retry interval to RenewInterval.
		m.nextRenew = m.requests[len(m.requests)-1].sentAt.Add(m.jittered(m.cfg.RenewInterval))
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
	m.noteEpoch(msg.Epoch, from, now)
	if msg.Epoch == m.view.Epoch {
		m.seal(now)
	}
}

func (m *Machine) seal(now time.Time) {
	if m.sealed || m.view.Epoch == 0 {
		return
	}
	m.sealed, m.lastSealed = true, m.view
	m.stats.SealedViews++
	m.record(timeline.KindView, "Sealed", "", now)
}

// adopt replaces the view by v if v is later. From then on this VM decides
// nothing in an earlier epoch. adopt also sends a lease request, which
// acknowledges the new epoch.
func (m *Machine) adopt(v *View, d *Delta, now time.Time) {
	if v.Epoch <= m.view.Epoch {
		return
	}
	prev := m.view
	m.view, m.sealed, m.hadLease = v, false, false
	clear(m.grantedRequestAt)
	m.retries = 0
	m.noteEpoch(v.Epoch, m.self, now)
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
		m.acceptorAfterAdopt(prev, d, now)
	}
}

func (m *Machine) handleDeltas(from fleet.VMID, msg *Message, now time.Time) {
	if !m.inCouncil(from) {
		return
	}
	for i := range msg.Deltas {
		d := &msg.Deltas[i]
		m.noteEpoch(d.Epoch, from, now)
		if d.Base > m.view.Epoch && len(m.bufferedDeltas) < fetchWindow*fetchWindow {
			m.bufferedDeltas[d.Base] = d
			continue
		}
		if d.Base == m.view.Epoch {
			m.adopt(m.view.apply(d, m.cfg.Zone), d, now)
		}
	}
	m.applyBuffered(now)
}

// applyBuffered applies the buffered deltas that continue the current view, one
// after the other, and discards deltas to earlier views.
func (m *Machine) applyBuffered(now time.Time) {
	for d := m.bufferedDeltas[m.view.Epoch]; d != nil; d = m.bufferedDeltas[m.view.Epoch] {
		delete(m.bufferedDeltas, d.Base)
		m.adopt(m.view.apply(d, m.cfg.Zone), d, now)
	}
	for base := range m.bufferedDeltas {
		if base < m.view.Epoch {
			delete(m.bufferedDeltas, base)
		}
	}
}

func (m *Machine) fetch(from fleet.VMID, now time.Time) {
	m.lastFetch = now
	// The next Fetch goes to another council member, because from may be down.
	i, _ := slices.BinarySearch(m.council.Members, from)
	m.fetchFrom = m.council.Members[(i+1)%len(m.council.Members)]
	if from == m.self {
		return
	}
	m.stats.Fetches++
	msg := Message{Kind: Fetch, Epoch: m.view.Epoch}
	if a := &m.reassembly; a.epoch > m.view.Epoch && now.Sub(a.lastChunk) < time.Second {
		msg.HighestEpoch = a.epoch
		for i, p := range a.parts {
			if p == nil {
				msg.Part = uint16(i)
				break
			}
		}
		a.windowEnd = int(msg.Part) + fetchWindow
	}
	m.send(from, msg)
}

// handleFetch sends the missing deltas if they fit into fetchWindow datagrams,
// or else up to fetchWindow chunks of the full view.
func (m *Machine) handleFetch(from fleet.VMID, msg *Message) {
	if msg.Epoch >= m.view.Epoch {
		return
	}
	if groups := packDeltas(m.deltasSince(msg.Epoch)); len(groups) > 0 && len(groups) <= fetchWindow {
		for _, p := range groups {
			m.send(from, Message{Kind: Deltas, Deltas: p})
		}
		return
	}
	chunks := m.snapshot(msg.HighestEpoch)
	start := int(msg.Part)
	if msg.HighestEpoch != chunks[0].Epoch {
		start = 0
	}
	for i := start; i < min(start+fetchWindow, len(chunks)); i++ {
		m.stats.ChunksSent++
		m.send(from, Message{
			Kind: Chunk, Epoch: chunks[i].Epoch, Part: uint16(i), Parts: uint16(len(chunks)), Deltas: chunks[i : i+1],
		})
	}
}

// deltasSince returns the deltas that lead from the view of an epoch to the
// current view, or nil if the history lacks some of these deltas.
func (m *Machine) deltasSince(from fleet.Epoch) []Delta {
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

// packDeltas groups consecutive deltas so that each group fits into a datagram.
func packDeltas(deltas []Delta) [][]Delta {
	var out [][]Delta
	for len(deltas) > 0 {
		n, size := 1, encodedSize(deltas[0])
		for n < len(deltas) {
			if size += encodedSize(deltas[n]); size > maxDeltaSize {
				break
			}
			n++
		}
		out = append(out, deltas[:n])
		deltas = deltas[n:]
	}
	return out
}

func (m *Machine) handleChunk(from fleet.VMID, msg *Message, now time.Time) {
	if !m.inCouncil(from) || msg.Epoch <= m.view.Epoch {
		return
	}
	m.noteEpoch(msg.Epoch, from, now)
	a := &m.reassembly
	if a.epoch != msg.Epoch || len(a.parts) != int(msg.Parts) {
		if a.epoch > m.view.Epoch && now.Sub(a.lastChunk) < 3*fetchRetryInterval {
			return
		}
		*a = reassembly{epoch: msg.Epoch, parts: make([]*Delta, msg.Parts), windowEnd: fetchWindow}
	}
	a.parts[msg.Part], a.lastChunk = &msg.Deltas[0], now
	firstMissing := slices.Index(a.parts, nil)
	if firstMissing < 0 {
		m.reassemble(now)
		return
	}
	// All chunks of the window have arrived: request the next window.
	if firstMissing >= a.windowEnd {
		m.fetch(from, now)
	}
}

func (m *Machine) reassemble(now time.Time) {
	v := &View{}
	for _, p := range m.reassembly.parts {
		v = v.apply(p, m.cfg.Zone)
	}
	m.reassembly = reassembly{}
	m.adopt(v, nil, now)
	m.applyBuffered(now)
}

// SetTarget sets the desired entry of a target that this VM owns. The VM
// reports the entry until a view includes it. State Gone removes the target.
// Only one VM at a time may report a target, because the views would alternate
// between the entries of two VMs: a VM that no longer owns the target must call
// ForgetTarget. SetTarget returns a FieldError if the target
// is invalid.
func (m *Machine) SetTarget(t fleet.Target) error {
	if err := t.Validate(); err != nil {
		return err
	}
	if len(t.ID.Service) > maxServiceLen {
		return invalid("Target", "ID.Service", "must have at most 128 bytes")
	}
	m.desiredTargets[t.ID.Key()] = t
	return nil
}

// ForgetTarget ends the reports about a target. A VM must call it when it no
// longer owns the target.
func (m *Machine) ForgetTarget(id fleet.TargetID) { delete(m.desiredTargets, id.Key()) }

// reportTargets sends the desired targets that the view does not include yet to
// the proposer, or to the whole council if the proposer is unknown. It sends as
// many as fit into one datagram.
func (m *Machine) reportTargets() {
	if len(m.desiredTargets) == 0 {
		return
	}
	b := newDeltaBuilder(0, 1)
	for _, key := range sortedKeys(m.desiredTargets) {
		t := m.desiredTargets[key]
		i, ok := findTarget(m.view.Targets, t.ID)
		switch {
		case t.State == fleet.TargetGone && !ok:
			delete(m.desiredTargets, key)
		case t.State == fleet.TargetGone || !ok || m.view.Targets[i] != t:
			b.addTarget(&t)
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
	m.sendToCouncil(msg)
}
