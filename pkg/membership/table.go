package membership

import (
	"cmp"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// The state chart of an entry VM. A state is sent as its index in the chart
// file, so new states may only be appended there.
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

	stateRanks = map[chart.State]int{stateJoining: 0, stateAlive: 1, stateSuspect: 2, stateLeaving: 3, stateDead: 4}
)

const numStates = 5

type (
	// entry is one row of the member table. Its state changes only by
	// transitions of the chart.
	entry struct {
		vm           fleet.VM
		zone         fleet.ZoneID
		incarnation  fleet.Incarnation
		refutation   uint32
		state        chart.State
		unfit        bool      // according to the VM itself
		since        time.Time // time of the last state change
		deadline     time.Time // end of the Joining, Suspect or Dead state
		heardAt      time.Time // last datagram from the VM itself
		directPings  int       // pings by pingSuspect since the VM became Suspect
		selfDetected bool      // this VM itself set the Suspect or Dead state, rather than merging an update

		flaps     int           // unplanned absences, minus one per HoldDecay without a flap
		decayAt   time.Time     // when flaps decreases next
		nextHold  time.Duration // hold-down after the next return
		holdUntil time.Time     // until then, the VM joins no new view
	}

	// Member is the state of one VM as this VM knows it.
	Member struct {
		fleet.Member
		Zone  fleet.ZoneID
		State string // a state of the chart entryvm
		// HeldDown reports whether the VM is in its hold-down after a flap and
		// so may not join a view yet.
		HeldDown bool
		// Unfit is the VM's own statement that it reaches no majority of the
		// council.
		Unfit bool
	}

	// broadcast is a VM whose entry is queued for piggybacking.
	broadcast struct {
		id         fleet.VMID
		copiesLeft int
	}
)

func (e *entry) update() Update {
	u := Update{ID: e.vm.ID, Zone: e.zone, Incarnation: e.incarnation, Refutation: e.refutation, State: e.state, Unfit: e.unfit}
	if e.state != stateDead {
		u.Control, u.Data = e.vm.Control, e.vm.Data
	}
	return u
}

// overriddenBy reports whether an update overrides the entry.
func (e *entry) overriddenBy(u *Update) bool {
	if c := cmp.Compare(u.Incarnation, e.incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(u.Refutation, e.refutation); c != 0 {
		return c > 0
	}
	return stateRanks[u.State] > stateRanks[e.state]
}

// merge applies an update if it overrides the table entry. It returns false if
// the update does not override the entry, so that the sender can be corrected.
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
	if !e.overriddenBy(&u) {
		return false
	}
	// A VM that was Alive gets SuspicionTime to refute its death, so that a
	// peer with a broken link can't remove the VM by one statement.
	if u.State == stateDead && e.state == stateAlive && u.Incarnation == e.incarnation && e.zone == m.cfg.Zone {
		u.State = stateSuspect
	}
	if u.Control.IsValid() {
		e.vm.Control, e.vm.Data = u.Control, u.Data
	}
	restarted := u.Incarnation > e.incarnation
	e.incarnation, e.refutation, e.selfDetected = u.Incarnation, u.Refutation, false
	if restarted {
		m.restart(e, now)
	}
	m.transitionTo(e, u.State, "Gossip", now)
	m.updateFitness(e, u.Unfit, now)
	m.queueBroadcast(e.vm.ID)
	return true
}

func (m *Machine) insert(u Update, now time.Time) {
	if u.State == stateDead || len(m.table) >= m.cfg.MaxMembers {
		return
	}
	if !u.Control.IsValid() {
		// Without an address the VM can't be probed. A later update has the
		// address.
		return
	}
	e := &entry{
		vm: fleet.VM{ID: u.ID, Control: u.Control, Data: u.Data}, zone: u.Zone,
		incarnation: u.Incarnation, refutation: u.Refutation,
		state: vmChart.Initial(), unfit: u.Unfit, since: now, deadline: now.Add(m.cfg.JoinTime),
	}
	m.table[u.ID] = e
	m.withDeadline[u.ID] = struct{}{}
	i, _ := slices.BinarySearch(m.ids, u.ID)
	m.ids = slices.Insert(m.ids, i, u.ID)
	if e.zone == m.cfg.Zone {
		m.peerCount++
		// A new VM gets a random place in the probe order of the current round.
		m.probeOrder = slices.Insert(m.probeOrder, m.cfg.Rand.IntN(len(m.probeOrder)+1), u.ID)
	}
	m.generation++
	m.record(e, "Join", now)
	m.transitionTo(e, u.State, "Join", now)
	m.queueBroadcast(u.ID)
}

func (m *Machine) removeEntry(id fleet.VMID) {
	if m.table[id].zone == m.cfg.Zone {
		m.peerCount--
	}
	delete(m.table, id)
	delete(m.withDeadline, id)
	if i, ok := slices.BinarySearch(m.ids, id); ok {
		m.ids = slices.Delete(m.ids, i, i+1)
	}
	m.generation++
}

// restart begins a new incarnation of a VM. It counts a flap if the VM
// was Alive or Suspect until then, because the end of the previous incarnation
// was then neither planned nor detected as a death. Detected deaths were already
// counted by transition.
func (m *Machine) restart(e *entry, now time.Time) {
	if e.state == stateAlive || e.state == stateSuspect {
		m.countFlap(e, now)
	}
	m.transition(e, eventRestart, "Restart", now)
}

// transitionTo applies the shortest sequence of events that leads to a state.
// If there is no such sequence, transitionTo counts an invalid transition and
// changes nothing.
func (m *Machine) transitionTo(e *entry, to chart.State, cause string, now time.Time) {
	if e.state == to {
		return
	}
	path := eventPaths[e.state][to]
	if path == nil {
		m.stats.InvalidTransitions++
		return
	}
	for _, ev := range path {
		m.transition(e, ev, cause, now)
	}
}

func (m *Machine) transition(e *entry, ev chart.Event, cause string, now time.Time) {
	next, err := vmChart.Next(e.state, ev)
	if err != nil {
		m.stats.InvalidTransitions++
		return
	}
	prev := e.state
	e.state, e.since = next, now
	if next == stateAlive || next == stateLeaving {
		delete(m.withDeadline, e.vm.ID)
	} else {
		m.withDeadline[e.vm.ID] = struct{}{}
	}
	switch next {
	case stateJoining:
		e.deadline = now.Add(m.cfg.JoinTime)
	case stateSuspect:
		e.deadline, e.directPings = now.Add(m.cfg.SuspicionTime), 0
		m.stats.Suspicions++
	case stateDead:
		e.deadline = now.Add(m.cfg.DeadRetention)
		if prev != stateLeaving {
			m.countFlap(e, now)
		}
		m.stats.Deaths++
	case stateAlive:
		if prev == stateSuspect {
			m.stats.Refutations++
		}
		if prev != stateSuspect {
			m.startHold(e, now)
		}
	}
	m.generation++
	m.record(e, cause, now)
}

// countFlap counts an unplanned absence. If the count is then two or more,
// countFlap sets the hold-down that begins with the next return: HoldBase for a
// count of two, and twice as much for each further flap, up to HoldMax.
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
	e.nextHold = hold
}

// startHold begins the hold-down of a VM that has returned.
func (m *Machine) startHold(e *entry, now time.Time) {
	if e.nextHold <= 0 {
		return
	}
	e.holdUntil, e.nextHold = now.Add(e.nextHold), 0
	m.stats.HoldDowns++
}

// updateFitness applies a VM's own statement about its fitness. Becoming unfit
// counts as a flap, because the VM is then absent from views as after a death.
func (m *Machine) updateFitness(e *entry, unfit bool, now time.Time) {
	if e.unfit == unfit {
		return
	}
	e.unfit = unfit
	m.generation++
	if unfit {
		m.countFlap(e, now)
		m.record(e, "Unfit", now)
		return
	}
	m.startHold(e, now)
	m.record(e, "Fit", now)
}

func (m *Machine) record(e *entry, cause string, now time.Time) {
	m.cfg.Recorder.Record(timeline.Event{
		Kind: timeline.KindMember, Name: vmChart.StateName(e.state), Zone: e.zone, VM: e.vm.ID, Cause: cause,
	}, now)
}

// queueBroadcast queues the entry of a VM, or the state of this VM, for
// piggybacking. The number of copies grows with the logarithm of the size of
// the zone, because gossip needs that many copies to reach all VMs.
func (m *Machine) queueBroadcast(id fleet.VMID) {
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b broadcast) bool { return b.id == id })
	copies := m.cfg.MinCopies
	for n := len(m.probeOrder); n > 0; n >>= 1 {
		copies++
	}
	m.broadcasts = append(m.broadcasts, broadcast{id: id, copiesLeft: copies})
}

// eventPaths[a][b] is the shortest sequence of events that leads from state a
// to state b without a restart, or nil.
var eventPaths = findEventPaths()

func findEventPaths() [numStates][numStates][]chart.Event {
	var out [numStates][numStates][]chart.Event
	for from := range chart.State(numStates) {
		queue := []chart.State{from}
		for len(queue) > 0 {
			s := queue[0]
			queue = queue[1:]
			for _, ev := range []chart.Event{eventHeartbeat, eventTimeout, eventLeave} {
				next, err := vmChart.Next(s, ev)
				if err != nil || next == from || out[from][next] != nil {
					continue
				}
				out[from][next] = append(slices.Clone(out[from][s]), ev)
				queue = append(queue, next)
			}
		}
	}
	return out
}
