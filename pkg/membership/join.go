package membership

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// joinRetryInterval is the interval between two rounds of Join messages.
	joinRetryInterval = 300 * time.Millisecond
	// maxRemoteEntries is the maximum number of VMs of each other zone in the
	// reply to a Join. Without it, a reply would have thousands of entries at the design
	// scale of 2,900 entry VMs.
	maxRemoteEntries = 4
)

// join asks two random seeds for the member table. If no seed has sent its
// whole reply after half of JoinTime, the VM becomes alive without the table,
// as the first VM of a zone does.
func (m *Machine) join(now time.Time, out []Envelope) []Envelope {
	if now.Sub(m.startedAt) >= m.cfg.JoinTime/2 {
		m.becomeAlive("NoSeed", now)
		return out
	}
	if now.Before(m.nextJoin) {
		return out
	}
	m.nextJoin = now.Add(m.jitter(joinRetryInterval))
	seeds := slices.DeleteFunc(slices.Clone(m.cfg.Seeds), func(s fleet.VM) bool { return s.ID == m.cfg.Self.ID })
	m.cfg.Rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, s := range seeds[:min(2, len(seeds))] {
		msg := m.withHeader(Message{Kind: Join})
		msg.Updates = []Update{m.selfUpdate()}
		out = append(out, Envelope{To: s.ID, Message: msg})
	}
	return out
}

// handleJoin sends all entries of this zone and up to maxRemoteEntries of each
// other zone. The remaining entries of other zones follow in Sync messages.
func (m *Machine) handleJoin(from fleet.VMID, now time.Time) []Envelope {
	if m.table[from] == nil {
		return nil
	}
	remoteEntries := make(map[fleet.ZoneID]int)
	parts := []Message{m.withHeader(Message{Kind: JoinReply, Updates: []Update{m.selfUpdate()}})}
	remaining := MaxDatagram - 200
	for _, id := range m.ids {
		e := m.table[id]
		if e.zone != m.cfg.Zone {
			if remoteEntries[e.zone]++; remoteEntries[e.zone] > maxRemoteEntries || e.state != stateAlive {
				continue
			}
		}
		u := m.omitOwnZone(e.update())
		if remaining -= u.size(); remaining < 0 {
			parts = append(parts, m.withHeader(Message{Kind: JoinReply}))
			remaining = MaxDatagram - 100 - u.size()
		}
		last := &parts[len(parts)-1]
		last.Updates = append(last.Updates, u)
	}
	var out []Envelope
	for i := range parts {
		parts[i].Part, parts[i].Parts = uint16(i), uint16(len(parts))
		out = append(out, Envelope{To: from, Message: parts[i]})
	}
	return out
}

// handleJoinReply makes this VM alive once one seed has sent all parts of its
// reply.
func (m *Machine) handleJoinReply(from fleet.VMID, msg Message, now time.Time) {
	if m.state != stateJoining {
		return
	}
	if m.joinSeed != from && (m.joinSeed == "" || msg.Part == 0) {
		m.joinSeed, m.joinParts = from, make(map[uint16]bool)
	}
	if m.joinSeed != from {
		return
	}
	m.joinParts[msg.Part] = true
	if len(m.joinParts) >= int(msg.Parts) {
		m.becomeAlive("Joined", now)
	}
}

func (m *Machine) becomeAlive(cause string, now time.Time) {
	m.transitionSelf(eventHeartbeat, cause, now)
	m.shuffle()
}

// Leave begins a planned leave: the next view excludes this VM. This
// incarnation can't join again.
func (m *Machine) Leave(now time.Time) {
	if m.state == stateLeaving {
		return
	}
	m.refutation++
	m.transitionSelf(eventLeave, "Leave", now)
}

// SetFit announces to the zone whether this VM reaches a majority of the
// council. A VM that reaches no majority is kept out of views, because it can't
// hold a lease.
func (m *Machine) SetFit(fit bool) {
	if m.unfit == !fit {
		return
	}
	m.unfit = !fit
	m.refutation++
	m.generation++
	m.queueBroadcast(m.cfg.Self.ID)
}

func (m *Machine) transitionSelf(ev chart.Event, cause string, now time.Time) {
	next, err := vmChart.Next(m.state, ev)
	if err != nil {
		m.stats.InvalidTransitions++
		return
	}
	m.state = next
	m.generation++
	m.queueBroadcast(m.cfg.Self.ID)
	m.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindMember, Name: vmChart.StateName(next), Zone: m.cfg.Zone, VM: m.cfg.Self.ID, Cause: cause,
	}, now)
}

// refute handles an update about this VM. It refutes an update that would
// override the state of this VM, and returns false if the update is out of
// date.
func (m *Machine) refute(u *Update, now time.Time) bool {
	if u.Incarnation > m.cfg.Incarnation {
		m.markSuperseded(u.Incarnation, now)
		return true
	}
	if u.Incarnation == m.cfg.Incarnation && u.Refutation == m.refutation && u.State == m.state {
		return true
	}
	self := entry{incarnation: m.cfg.Incarnation, refutation: m.refutation, state: m.state}
	if !self.overriddenBy(u) {
		return false
	}
	m.refutation = u.Refutation + 1
	m.stats.SelfRefutations++
	m.queueBroadcast(m.cfg.Self.ID)
	return true
}

// markSuperseded stops this Machine, because another process uses the id of
// this VM with a higher incarnation, which the argument by holds.
func (m *Machine) markSuperseded(by fleet.Incarnation, now time.Time) {
	m.supersededBy = by
	m.stats.Conflicts++
	m.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindFault, Name: "Superseded", Zone: m.cfg.Zone, VM: m.cfg.Self.ID,
		Cause: "another process has this VM's id and a higher incarnation",
	}, now)
}
