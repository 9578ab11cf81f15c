package membership

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// joinRetry is the interval between two rounds of Join messages.
	joinRetry = 300 * time.Millisecond
	// joinRemote bounds the VMs of each other zone in the reply to a Join,
	// which would have thousands of entries at design scale.
	joinRemote = 4
)

// join asks seeds for the member table. Without any reply within JoinTime the
// VM is the first one of its zone.
func (m *Machine) join(now time.Time, out []Envelope) []Envelope {
	if now.Sub(m.started) >= m.cfg.JoinTime/2 {
		m.becomeAlive("NoSeed", now)
		return out
	}
	if now.Before(m.nextJoin) {
		return out
	}
	m.nextJoin = now.Add(m.jitter(joinRetry))
	seeds := slices.DeleteFunc(slices.Clone(m.cfg.Seeds), func(s fleet.VM) bool { return s.ID == m.cfg.Self.ID })
	m.cfg.Rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, s := range seeds[:min(2, len(seeds))] {
		msg := m.header(Message{Kind: Join})
		msg.Updates = []Update{m.selfUpdate()}
		out = append(out, Envelope{To: s.ID, Message: msg})
	}
	return out
}

// handleJoin sends the own zone's entries and a few of each other zone; Sync
// brings the rest.
func (m *Machine) handleJoin(from fleet.VMID, now time.Time) []Envelope {
	if m.table[from] == nil {
		return nil
	}
	remote := make(map[fleet.ZoneID]int)
	parts := []Message{m.header(Message{Kind: JoinReply, Updates: []Update{m.selfUpdate()}})}
	left := MaxDatagram - 200
	for _, id := range m.ids {
		e := m.table[id]
		if e.zone != m.cfg.Zone {
			if remote[e.zone]++; remote[e.zone] > joinRemote || e.state != stateAlive {
				continue
			}
		}
		u := m.compact(e.update())
		if left -= u.size(); left < 0 {
			parts = append(parts, m.header(Message{Kind: JoinReply}))
			left = MaxDatagram - 100 - u.size()
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

// handleJoinReply becomes alive once one seed has sent its whole table.
func (m *Machine) handleJoinReply(from fleet.VMID, msg Message, now time.Time) {
	if m.state != stateJoining {
		return
	}
	if m.joinFrom != from && (m.joinFrom == "" || msg.Part == 0) {
		m.joinFrom, m.joinParts = from, make(map[uint16]bool)
	}
	if m.joinFrom != from {
		return
	}
	m.joinParts[msg.Part] = true
	if len(m.joinParts) >= int(msg.Parts) {
		m.becomeAlive("Joined", now)
	}
}

func (m *Machine) becomeAlive(cause string, now time.Time) {
	m.moveSelf(eventHeartbeat, cause, now)
	m.shuffle()
}

// Leave begins a planned leave: the next view excludes this VM. It is final
// for this incarnation.
func (m *Machine) Leave(now time.Time) {
	if m.state == stateLeaving {
		return
	}
	m.refutation++
	m.moveSelf(eventLeave, "Leave", now)
}

func (m *Machine) moveSelf(ev chart.Event, cause string, now time.Time) {
	next, err := vmChart.Next(m.state, ev)
	if err != nil {
		m.stats.InvalidTransitions++
		return
	}
	m.state = next
	m.generation++
	m.broadcast(m.cfg.Self.ID)
	m.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindMember, Name: vmChart.StateName(next), Zone: m.cfg.Zone, VM: m.cfg.Self.ID, Cause: cause,
	}, now)
}

// refute answers a statement about this VM itself; it reports false where the
// sender knows less than the VM has already said.
func (m *Machine) refute(u *Update, now time.Time) bool {
	if u.Incarnation > m.cfg.Incarnation {
		m.supersede(u.Incarnation, now)
		return true
	}
	if u.Incarnation == m.cfg.Incarnation && u.Refutation == m.refutation && u.State == m.state {
		return true
	}
	self := entry{incarnation: m.cfg.Incarnation, refutation: m.refutation, state: m.state}
	if !self.newer(u) {
		return false
	}
	m.refutation = u.Refutation + 1
	m.stats.SelfRefutations++
	m.broadcast(m.cfg.Self.ID)
	return true
}

// supersede stops a process whose id is used by a later incarnation.
func (m *Machine) supersede(by fleet.Incarnation, now time.Time) {
	m.superseded = by
	m.stats.Conflicts++
	m.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindFault, Name: "Superseded", Zone: m.cfg.Zone, VM: m.cfg.Self.ID,
		Cause: "another process has this VM's id and a higher incarnation",
	}, now)
}
