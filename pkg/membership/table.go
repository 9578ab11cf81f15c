package membership

import (
	"cmp"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// The chart of an entry VM; states travel as their index in the chart file,
// so new states are only ever appended there.
var (
	vmChart = chart.MustLoad(chart.EntryVM)

	stateJoining = vmChart.MustState("Joining")
	stateAlive   = vmChart.MustState("Alive")
	stateSuspect = vmChart.MustState("Suspect")
	stateLeaving = vmChart.MustState("Leaving")
	stateDead    = vmChart.MustState("Dead")

	eventHeartbeat = vmChart.MustEvent("Heartbeat")
	eventTimeout   = vmChart.MustEvent("Timeout")
	eventLeave     = vmChart.MustEvent("Leave")
	eventRestart   = vmChart.MustEvent("Restart")

	ranks = map[chart.State]int{stateJoining: 0, stateAlive: 1, stateSuspect: 2, stateLeaving: 3, stateDead: 4}
)

const numStates = 5

type (
	// entry is one row of the member table. state is only changed along the
	// transitions of the chart.
	entry struct {
		vm          fleet.VM
		zone        fleet.ZoneID
		incarnation fleet.Incarnation
		refutation  uint32
		state       chart.State
		since       time.Time // of the state
		deadline    time.Time // of Suspect, Joining and Dead
		heard       time.Time // last datagram from the VM itself
		ownMark     bool      // this VM itself detected Suspect or Dead

		flaps   int // deaths that were not planned, less the stable times since
		decayAt time.Time
		holdFor time.Duration // from the next return
		hold    time.Time     // no new view takes the VM before
	}

	// Member is one VM as this VM sees it.
	Member struct {
		fleet.Member
		Zone  fleet.ZoneID
		State string // a state of the chart entryvm
		// Held tells that the VM has flapped and joins no view yet.
		Held bool
	}

	// broadcast is an update that is still to be piggybacked.
	broadcast struct {
		id   fleet.VMID
		left int
	}
)

func (e *entry) update() Update {
	u := Update{ID: e.vm.ID, Zone: e.zone, Incarnation: e.incarnation, Refutation: e.refutation, State: e.state}
	if e.state != stateDead {
		u.Control, u.Data = e.vm.Control, e.vm.Data
	}
	return u
}

// newer reports whether an update overrides the entry.
func (e *entry) newer(u *Update) bool {
	if c := cmp.Compare(u.Incarnation, e.incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(u.Refutation, e.refutation); c != 0 {
		return c > 0
	}
	return ranks[u.State] > ranks[e.state]
}

// merge takes over an update that is newer than the table and reports false
// where the table is as new or newer.
func (m *Machine) merge(u Update, now time.Time) bool {
	if u.ID == m.cfg.Self.ID {
		return m.refute(&u, now)
	}
	e := m.table[u.ID]
	if e == nil {
		m.insert(u, now)
		return true
	}
	if e.zone != u.Zone {
		m.stats.Conflicts++
		return true
	}
	if !e.newer(&u) {
		return false
	}
	// A VM that looked alive gets the suspicion time to object, so that a peer
	// with a broken link can't remove it by one statement.
	if u.State == stateDead && e.state == stateAlive && u.Incarnation == e.incarnation && e.zone == m.cfg.Zone {
		u.State = stateSuspect
	}
	if u.Control.IsValid() {
		e.vm.Control, e.vm.Data = u.Control, u.Data
	}
	restarted := u.Incarnation > e.incarnation
	e.incarnation, e.refutation, e.ownMark = u.Incarnation, u.Refutation, false
	if restarted {
		m.restart(e, now)
	}
	m.moveTo(e, u.State, "Gossip", now)
	m.broadcast(e.vm.ID)
	return true
}

func (m *Machine) insert(u Update, now time.Time) {
	if u.State == stateDead || len(m.table) >= m.cfg.MaxMembers {
		return
	}
	if !u.Control.IsValid() {
		// Without an address the VM can't be probed; an update that has it follows.
		return
	}
	e := &entry{
		vm: fleet.VM{ID: u.ID, Control: u.Control, Data: u.Data}, zone: u.Zone,
		incarnation: u.Incarnation, refutation: u.Refutation,
		state: vmChart.Initial(), since: now, deadline: now.Add(m.cfg.JoinTime),
	}
	m.table[u.ID] = e
	m.timed[u.ID] = struct{}{}
	i, _ := slices.BinarySearch(m.ids, u.ID)
	m.ids = slices.Insert(m.ids, i, u.ID)
	if e.zone == m.cfg.Zone {
		m.peers++
		// A newcomer gets a random place in the current round of probes.
		m.order = slices.Insert(m.order, m.cfg.Rand.IntN(len(m.order)+1), u.ID)
	}
	m.generation++
	m.record(e, "Join", now)
	m.moveTo(e, u.State, "Join", now)
	m.broadcast(u.ID)
}

func (m *Machine) forget(id fleet.VMID) {
	if m.table[id].zone == m.cfg.Zone {
		m.peers--
	}
	delete(m.table, id)
	delete(m.timed, id)
	if i, ok := slices.BinarySearch(m.ids, id); ok {
		m.ids = slices.Delete(m.ids, i, i+1)
	}
	m.generation++
}

// restart begins a new life of a VM. An unplanned one counts as a flap where
// its death was not noticed.
func (m *Machine) restart(e *entry, now time.Time) {
	if e.state == stateAlive || e.state == stateSuspect {
		m.countFlap(e, now)
	}
	m.step(e, eventRestart, "Restart", now)
}

// moveTo walks along the chart to a state; a pair without a path is counted
// and changes nothing.
func (m *Machine) moveTo(e *entry, to chart.State, cause string, now time.Time) {
	if e.state == to {
		return
	}
	path := paths[e.state][to]
	if path == nil {
		m.stats.InvalidTransitions++
		return
	}
	for _, ev := range path {
		m.step(e, ev, cause, now)
	}
}

func (m *Machine) step(e *entry, ev chart.Event, cause string, now time.Time) {
	next, err := vmChart.Next(e.state, ev)
	if err != nil {
		m.stats.InvalidTransitions++
		return
	}
	prev := e.state
	e.state, e.since = next, now
	if next == stateAlive || next == stateLeaving {
		delete(m.timed, e.vm.ID)
	} else {
		m.timed[e.vm.ID] = struct{}{}
	}
	switch next {
	case stateJoining:
		e.deadline = now.Add(m.cfg.JoinTime)
	case stateSuspect:
		e.deadline = now.Add(m.cfg.SuspicionTime)
		m.stats.Suspicions++
	case stateDead:
		e.deadline = now.Add(m.cfg.ForgetTime)
		if prev != stateLeaving {
			m.countFlap(e, now)
		}
		m.stats.Deaths++
	case stateAlive:
		if prev == stateSuspect {
			m.stats.Refutations++
		}
		if e.holdFor > 0 && prev != stateSuspect {
			e.hold, e.holdFor = now.Add(e.holdFor), 0
			m.stats.HoldDowns++
		}
	}
	m.generation++
	m.record(e, cause, now)
}

// countFlap raises the hold-down after the next return: none after the first unplanned death, then
// HoldBase doubled for each further one, at most HoldMax.
func (m *Machine) countFlap(e *entry, now time.Time) {
	for e.flaps > 0 && now.After(e.decayAt) {
		e.flaps--
		e.decayAt = e.decayAt.Add(m.cfg.HoldDecay)
	}
	e.flaps++
	e.decayAt = now.Add(m.cfg.HoldDecay)
	if e.flaps < 2 {
		return
	}
	hold := m.cfg.HoldMax
	if e.flaps < 10 {
		hold = min(hold, m.cfg.HoldBase<<(e.flaps-2))
	}
	e.holdFor = hold
}

func (m *Machine) record(e *entry, cause string, now time.Time) {
	m.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindMember, Name: vmChart.StateName(e.state), Zone: e.zone, VM: e.vm.ID, Cause: cause,
	}, now)
}

// broadcast queues a table entry for piggybacking; the number of copies grows
// with the logarithm of the zone, as epidemic spreading needs.
func (m *Machine) broadcast(id fleet.VMID) {
	m.queue = slices.DeleteFunc(m.queue, func(b broadcast) bool { return b.id == id })
	copies := m.cfg.Copies
	for n := len(m.order); n > 0; n >>= 1 {
		copies++
	}
	m.queue = append(m.queue, broadcast{id: id, left: copies})
}

// paths[a][b] is the shortest sequence of events that leads from a to b
// without a restart, or nil.
var paths = findPaths()

func findPaths() [numStates][numStates][]chart.Event {
	var out [numStates][numStates][]chart.Event
	for from := range chart.State(numStates) {
		todo := []chart.State{from}
		for len(todo) > 0 {
			s := todo[0]
			todo = todo[1:]
			for _, ev := range []chart.Event{eventHeartbeat, eventTimeout, eventLeave} {
				next, err := vmChart.Next(s, ev)
				if err != nil || next == from || out[from][next] != nil {
					continue
				}
				out[from][next] = append(slices.Clone(out[from][s]), ev)
				todo = append(todo, next)
			}
		}
	}
	return out
}
