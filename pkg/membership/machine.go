package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

type (
	// RemoteZone names the VMs through which another zone is first contacted.
	RemoteZone struct {
		ID    fleet.ZoneID
		Seeds []fleet.VM
	}

	// Config holds the settings of a Machine. Zero durations and counts are
	// replaced by the default given at the field.
	Config struct {
		Self        fleet.VM
		Zone        fleet.ZoneID
		Incarnation fleet.Incarnation // must increase with each restart
		Seeds       []fleet.VM        // VMs of this zone to join through, usually the council
		Remote      []RemoteZone
		Rand        *rand.Rand
		Recorder    timeline.Recorder // default: timeline.Discard

		ProbeInterval  time.Duration // 250 ms
		ProbeTimeout   time.Duration // 150 ms for a direct probe; doubled for the indirect probe after it
		SuspicionTime  time.Duration // 600 ms from Suspect to Dead
		JoinTime       time.Duration // 2 s after which a VM that is still Joining becomes Dead
		SyncInterval   time.Duration // 1 s
		DigestInterval time.Duration // 1 s; use 5 s at the design scale of 2,900 entry VMs
		DeadRetention  time.Duration // 2 h from Dead to removal of the entry; must exceed the longest partition
		HoldBase       time.Duration // 2 s; first hold-down, see the package comment
		HoldMax        time.Duration // 1 min; maximum hold-down
		HoldDecay      time.Duration // 1 min; each HoldDecay without a flap cancels one earlier flap
		Fanout         int           // 2 probes per interval
		IndirectProbes int           // 3 peers asked for each indirect probe
		MinCopies      int           // 4 copies of an update, plus one per doubling of the zone's size
		Piggyback      int           // 12 updates per datagram
		Delegates      int           // 3 VMs that exchange digests for the zone
		MaxMembers     int           // 4096; maximum number of table entries
	}

	// probe is a Ping that has not been acknowledged yet.
	probe struct {
		id       fleet.VMID
		seq      uint32
		deadline time.Time
		indirect bool
	}

	// relay is an indirect probe that this VM runs for another VM.
	relay struct {
		origin    fleet.VMID
		originSeq uint32
		target    fleet.VMID
		seq       uint32
		deadline  time.Time
	}

	// Stats holds the counters of a Machine, which never decrease, and the
	// gauge Members.
	Stats struct {
		Members            int // VMs of this zone that are Alive or Suspect, including this VM
		Probes             uint64
		IndirectProbes     uint64
		Suspicions         uint64
		Refutations        uint64 // changes of other VMs from Suspect back to Alive
		SelfRefutations    uint64 // updates about this VM that it refuted
		Deaths             uint64
		HoldDowns          uint64
		InvalidTransitions uint64
		Conflicts          uint64 // other processes with this VM's id, updates that give a VM another zone, digests of unexpected zones
		Stalls             uint64 // pauses during which this process did not run
		Digests            uint64 // received from other zones
	}

	// Machine is the membership state machine of one VM. Invariants: the pair
	// (incarnation, refutation) of an entry never decreases; an entry changes
	// state only by transitions of the state chart; a datagram holds a bounded
	// number of updates and at most MaxDatagram bytes.
	Machine struct {
		cfg          Config
		table        map[fleet.VMID]*entry // all VMs except this one
		ids          []fleet.VMID          // keys of table, sorted
		probeOrder   []fleet.VMID          // live VMs of this zone, shuffled
		nextInOrder  int
		peerCount    int                     // entries of this zone
		withDeadline map[fleet.VMID]struct{} // entries that are Joining, Suspect or Dead
		broadcasts   []broadcast
		probes       []probe
		relays       []relay

		state        chart.State // of this VM
		refutation   uint32
		unfit        bool
		supersededBy fleet.Incarnation
		seq          uint32
		generation   uint64
		stats        Stats

		startedAt  time.Time
		lastTick   time.Time
		lastHeard  time.Time
		nextProbe  time.Time
		nextJoin   time.Time
		nextSync   time.Time
		nextDigest time.Time
		syncCursor int
		joinSeed   fleet.VMID
		joinParts  map[uint16]bool

		zoneTable
	}
)

// New returns a Machine that starts to join its zone.
func New(cfg Config, now time.Time) *Machine {
	cfg.setDefaults()
	m := &Machine{
		cfg: cfg, table: make(map[fleet.VMID]*entry), withDeadline: make(map[fleet.VMID]struct{}), state: vmChart.Initial(),
		startedAt: now, lastTick: now, lastHeard: now,
		nextProbe: now, nextJoin: now, nextSync: now.Add(cfg.SyncInterval), nextDigest: now,
	}
	m.zoneTable.init()
	m.seq = cfg.Rand.Uint32() >> 8
	return m
}

func (c *Config) setDefaults() {
	if c.Recorder == nil {
		c.Recorder = timeline.Discard{}
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ProbeInterval, 250 * time.Millisecond},
		{&c.ProbeTimeout, 150 * time.Millisecond},
		{&c.SuspicionTime, 600 * time.Millisecond},
		{&c.JoinTime, 2 * time.Second},
		{&c.SyncInterval, time.Second},
		{&c.DigestInterval, time.Second},
		{&c.DeadRetention, 2 * time.Hour},
		{&c.HoldBase, 2 * time.Second},
		{&c.HoldMax, time.Minute},
		{&c.HoldDecay, time.Minute},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	for _, d := range []struct {
		field *int
		value int
	}{{&c.Fanout, 2}, {&c.IndirectProbes, 3}, {&c.MinCopies, 4}, {&c.Piggyback, 12}, {&c.Delegates, 3}, {&c.MaxMembers, 4096}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
}

// Handle processes a message from a peer and returns the messages to send.
func (m *Machine) Handle(from fleet.VMID, msg Message, now time.Time) []Envelope {
	m.detectStall(now)
	if m.supersededBy != 0 || from == m.cfg.Self.ID {
		return nil
	}
	m.endIsolation(now)
	m.lastHeard = now
	if msg.Kind == Digest {
		m.handleDigest(from, msg, now)
		return nil
	}
	e := m.table[from]
	if e != nil {
		e.heardAt = now
	}
	// Updates from a dead VM or an earlier incarnation about other VMs are out
	// of date. Keep only the updates about the sender and those about this VM.
	// This VM must see the latter to refute them.
	if e != nil && (e.state == stateDead || msg.Incarnation < e.incarnation) {
		msg.Updates = slices.DeleteFunc(msg.Updates, func(u Update) bool {
			return u.ID != from && u.ID != m.cfg.Self.ID
		})
		msg.Zones = nil
	}
	if e != nil && (e.state == stateSuspect || e.state == stateDead) && msg.Kind != Join {
		// The message header carries the sender's Refutation, so the header
		// refutes the suspicion even if the update with the refutation was
		// lost.
		u := e.update()
		u.Incarnation, u.Refutation, u.State, u.Unfit = msg.Incarnation, msg.Refutation, stateAlive, msg.Unfit
		m.merge(u, now)
	}
	corrections := m.mergeUpdates(&msg, now)
	switch msg.Kind {
	case Ping:
		return m.newEnvelope(from, Message{Kind: Ack, Seq: msg.Seq, Updates: corrections, Unknown: m.table[from] == nil}, now)
	case Ack:
		return m.handleAck(from, msg, now)
	case PingReq:
		return m.handlePingReq(from, msg, now)
	case Join:
		return m.handleJoin(from, now)
	case JoinReply:
		m.handleJoinReply(from, msg, now)
	case Report:
		m.handleReport(from, msg, now)
	}
	return nil
}

// mergeUpdates merges the updates and zone states of a message and returns
// corrections for the updates that are out of date.
func (m *Machine) mergeUpdates(msg *Message, now time.Time) []Update {
	var corrections []Update
	for _, u := range msg.Updates {
		if u.Zone == "" {
			u.Zone = m.cfg.Zone
		}
		if !m.merge(u, now) && len(corrections) < m.cfg.Piggyback/2 {
			corrections = m.appendCorrection(corrections, &u)
		}
	}
	for i := range msg.Zones {
		m.mergeZone(&msg.Zones[i], now)
	}
	return corrections
}

// appendCorrection appends an update that overrides the out-of-date update u.
// It is taken from the state of this VM if u is about this VM, or else from the
// table entry. If the table entry equals u, nothing is appended.
func (m *Machine) appendCorrection(list []Update, u *Update) []Update {
	if u.ID == m.cfg.Self.ID {
		return append(list, m.selfUpdate())
	}
	e := m.table[u.ID]
	if e == nil || (e.incarnation == u.Incarnation && e.refutation == u.Refutation && e.state == u.State) {
		return list
	}
	return append(list, m.omitOwnZone(e.update()))
}

func (m *Machine) handleAck(from fleet.VMID, msg Message, now time.Time) []Envelope {
	target := from
	if msg.Target != "" {
		target = msg.Target
	}
	m.probes = slices.DeleteFunc(m.probes, func(p probe) bool { return p.id == target && p.seq == msg.Seq })
	var out []Envelope
	for i, r := range m.relays {
		if r.target == from && r.seq == msg.Seq {
			out = m.newEnvelope(r.origin, Message{Kind: Ack, Seq: r.originSeq, Target: from}, now)
			m.relays = slices.Delete(m.relays, i, i+1)
			break
		}
	}
	if msg.Unknown {
		env := m.ping(from)
		env[0].Message.Updates = []Update{m.selfUpdate()}
		out = append(out, env...)
	}
	return out
}

func (m *Machine) handlePingReq(from fleet.VMID, msg Message, now time.Time) []Envelope {
	if m.table[msg.Target] == nil || len(m.relays) >= 64 {
		return nil
	}
	m.seq++
	m.relays = append(m.relays, relay{
		origin: from, originSeq: msg.Seq, target: msg.Target, seq: m.seq, deadline: now.Add(m.cfg.ProbeTimeout),
	})
	return m.newEnvelope(msg.Target, Message{Kind: Ping, Seq: m.seq}, now)
}

// Tick runs the timers that are due and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Envelope {
	m.detectStall(now)
	if m.supersededBy != 0 {
		return nil
	}
	var out []Envelope
	out = m.checkProbes(now, out)
	out = m.checkDeadlines(now, out)
	if m.state == stateJoining {
		out = m.join(now, out)
	}
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.jitter(m.cfg.ProbeInterval))
		out = m.startProbes(now, out)
	}
	if !now.Before(m.nextSync) {
		m.nextSync = now.Add(m.jitter(m.cfg.SyncInterval))
		out = m.sync(now, out)
	}
	if !now.Before(m.nextDigest) {
		m.nextDigest = now.Add(m.jitter(m.cfg.DigestInterval))
		out = m.sendDigests(now, out)
	}
	return out
}

// detectStall handles a pause of 2 * ProbeInterval or longer in which this
// process did not run. Missing messages are then no sign of failed peers, so
// detectStall discards the open probes and sets the deadlines of all Joining
// and Suspect VMs to SuspicionTime from now.
func (m *Machine) detectStall(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap < 2*m.cfg.ProbeInterval {
		return
	}
	m.stats.Stalls++
	m.probes = nil
	m.lastHeard = m.lastHeard.Add(gap)
	for id := range m.withDeadline {
		if e := m.table[id]; e.state != stateDead {
			e.deadline = now.Add(m.cfg.SuspicionTime)
		}
	}
}

// isolated reports whether the table has at least two other VMs of this zone
// and this VM has received nothing for ProbeInterval + ProbeTimeout or longer.
// It is then more likely that this VM is disconnected than that all peers have
// failed.
func (m *Machine) isolated(now time.Time) bool {
	return m.peerCount > 1 && now.Sub(m.lastHeard) >= m.cfg.ProbeInterval+m.cfg.ProbeTimeout
}

// endIsolation is called when a message arrives. If this VM was isolated until
// then, endIsolation reverts the Suspect and Dead states that this VM has set
// since the previous message. It also subtracts one flap from the count of each
// VM whose state it reverts, and cancels the hold-down after the VM's return.
func (m *Machine) endIsolation(now time.Time) {
	if !m.isolated(now) {
		return
	}
	for _, id := range m.ids {
		e := m.table[id]
		if e.selfDetected && e.since.After(m.lastHeard) && e.zone == m.cfg.Zone {
			e.selfDetected = false
			e.flaps, e.nextHold = max(e.flaps-1, 0), 0
			m.transitionTo(e, stateAlive, "IsolationEnd", now)
		}
	}
	m.probes = nil
}

func (m *Machine) startProbes(now time.Time, out []Envelope) []Envelope {
	// The probe order is empty if no peer was live when the order was last
	// built.
	if len(m.probeOrder) == 0 {
		m.shuffle()
	}
	for range min(m.cfg.Fanout, len(m.probeOrder)) {
		id, ok := m.nextPeer()
		if !ok {
			break
		}
		m.stats.Probes++
		env := m.ping(id)
		m.probes = append(m.probes, probe{id: id, seq: m.seq, deadline: now.Add(m.cfg.ProbeTimeout)})
		out = append(out, m.piggyback(env, now)...)
	}
	return out
}

// nextPeer returns the next live VM of the probe order, and false if there is
// none. It shuffles the probe order again at the end of each round, so that
// each live peer is probed once per round.
func (m *Machine) nextPeer() (fleet.VMID, bool) {
	for range len(m.probeOrder) + 1 {
		if m.nextInOrder >= len(m.probeOrder) {
			m.shuffle()
			if len(m.probeOrder) == 0 {
				return "", false
			}
		}
		id := m.probeOrder[m.nextInOrder]
		m.nextInOrder++
		if e := m.table[id]; e != nil && e.state != stateDead {
			return id, true
		}
	}
	return "", false
}

func (m *Machine) shuffle() {
	m.probeOrder, m.nextInOrder = m.probeOrder[:0], 0
	for _, id := range m.ids {
		if e := m.table[id]; e.zone == m.cfg.Zone && e.state != stateDead {
			m.probeOrder = append(m.probeOrder, id)
		}
	}
	m.cfg.Rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
}

func (m *Machine) checkProbes(now time.Time, out []Envelope) []Envelope {
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now.After(r.deadline) })
	pending := m.probes[:0]
	var failed []fleet.VMID
	for _, p := range m.probes {
		switch {
		case now.Before(p.deadline):
			pending = append(pending, p)
		case !p.indirect:
			p.indirect, p.deadline = true, now.Add(2*m.cfg.ProbeTimeout)
			pending = append(pending, p)
			out = m.probeIndirectly(p, now, out)
		default:
			failed = append(failed, p.id)
		}
	}
	m.probes = pending
	for _, id := range failed {
		out = m.suspect(id, now, out)
	}
	return out
}

func (m *Machine) probeIndirectly(p probe, now time.Time, out []Envelope) []Envelope {
	m.stats.IndirectProbes++
	for _, id := range m.randomPeers(m.cfg.IndirectProbes, p.id) {
		out = append(out, m.newEnvelope(id, Message{Kind: PingReq, Seq: p.seq, Target: p.id}, now)...)
	}
	return out
}

func (m *Machine) suspect(id fleet.VMID, now time.Time, out []Envelope) []Envelope {
	e := m.table[id]
	if e == nil || now.Sub(e.heardAt) < m.cfg.ProbeTimeout {
		return out
	}
	switch e.state {
	case stateAlive:
		e.selfDetected = true
		m.transition(e, eventTimeout, "NoAck", now)
	case stateLeaving:
		e.selfDetected = true
		m.transition(e, eventTimeout, "NoAck", now)
	default:
		return out
	}
	m.queueBroadcast(id)
	// Ping the suspect at once, so that it can refute the suspicion in time.
	return append(out, m.piggyback(m.ping(id), now)...)
}

// checkDeadlines marks VMs of this zone as Dead when the deadline of their
// Suspect or Joining state has passed, and removes the entries of VMs that have
// been dead for DeadRetention. It calls pingSuspect for the entries whose
// deadline has not passed.
func (m *Machine) checkDeadlines(now time.Time, out []Envelope) []Envelope {
	var expired []fleet.VMID
	for _, id := range slices.Sorted(maps.Keys(m.withDeadline)) {
		e := m.table[id]
		if now.Before(e.deadline) {
			out = m.pingSuspect(e, now, out)
			continue
		}
		if e.state == stateDead {
			expired = append(expired, id)
			continue
		}
		if e.zone != m.cfg.Zone {
			continue
		}
		e.selfDetected = true
		m.transition(e, eventTimeout, "Deadline", now)
		m.queueBroadcast(id)
	}
	for _, id := range expired {
		m.removeEntry(id)
	}
	return out
}

// pingSuspect sends a suspect a direct Ping after one third and after two thirds
// of SuspicionTime. Most VMs have received the refutation by then. Without the
// pings, the few VMs that missed the refutation would declare the suspect dead.
func (m *Machine) pingSuspect(e *entry, now time.Time, out []Envelope) []Envelope {
	if e.state != stateSuspect || e.zone != m.cfg.Zone || e.directPings >= 2 {
		return out
	}
	if now.Sub(e.since) < time.Duration(e.directPings+1)*m.cfg.SuspicionTime/3 {
		return out
	}
	e.directPings++
	return append(out, m.piggyback(m.ping(e.vm.ID), now)...)
}

// sync sends the next table entries to a random peer, to make up for lost
// updates. To reunite the parts of a zone after a partition, sync also pings
// one VM that is dead, or a seed that is not in the table. Finally it sends the
// free slots of this VM's targets to the delegates.
func (m *Machine) sync(now time.Time, out []Envelope) []Envelope {
	if m.state == stateJoining {
		return out
	}
	for _, id := range m.randomPeers(1, "") {
		out = append(out, Envelope{To: id, Message: m.syncMessage(&m.syncCursor, 400)})
	}
	var absent []fleet.VMID
	for _, id := range m.ids {
		if e := m.table[id]; e.state == stateDead && e.zone == m.cfg.Zone {
			absent = append(absent, id)
		}
	}
	for _, s := range m.cfg.Seeds {
		if m.table[s.ID] == nil && s.ID != m.cfg.Self.ID {
			absent = append(absent, s.ID)
		}
	}
	if len(absent) > 0 {
		out = append(out, m.piggyback(m.ping(absent[m.cfg.Rand.IntN(len(absent))]), now)...)
	}
	return m.sendReports(now, out)
}

// syncMessage returns a Sync with the entries that follow a cursor, up to size
// bytes, and advances the cursor.
func (m *Machine) syncMessage(cursor *int, size int) Message {
	msg := m.withHeader(Message{Kind: Sync})
	for range len(m.ids) {
		*cursor = (*cursor + 1) % len(m.ids)
		u := m.omitOwnZone(m.table[m.ids[*cursor]].update())
		if size -= u.size(); size < 0 {
			*cursor--
			break
		}
		msg.Updates = append(msg.Updates, u)
	}
	return msg
}

// ping returns a Ping without piggybacked updates.
func (m *Machine) ping(id fleet.VMID) []Envelope {
	m.seq++
	return []Envelope{{To: id, Message: m.withHeader(Message{Kind: Ping, Seq: m.seq})}}
}

func (m *Machine) newEnvelope(to fleet.VMID, msg Message, now time.Time) []Envelope {
	return m.piggyback([]Envelope{{To: to, Message: m.withHeader(msg)}}, now)
}

func (m *Machine) withHeader(msg Message) Message {
	msg.Incarnation, msg.Refutation, msg.Unfit = m.cfg.Incarnation, m.refutation, m.unfit
	return msg
}

// omitOwnZone clears the zone of an update if it is the zone of the sender.
func (m *Machine) omitOwnZone(u Update) Update {
	if u.Zone == m.cfg.Zone {
		u.Zone = ""
	}
	return u
}

func (m *Machine) selfUpdate() Update {
	return Update{
		ID: m.cfg.Self.ID, Control: m.cfg.Self.Control, Data: m.cfg.Self.Data,
		Incarnation: m.cfg.Incarnation, Refutation: m.refutation, State: m.state, Unfit: m.unfit,
	}
}

// piggyback adds updates to each envelope. The first one is the entry of the
// receiver if its state is Suspect or Dead, so that the receiver can refute the
// state. The queued updates with the most copies left follow. While this VM is
// isolated, only the update about itself is added. piggyback also adds up to
// one zone state.
func (m *Machine) piggyback(list []Envelope, now time.Time) []Envelope {
	for i := range list {
		m.piggybackOne(&list[i], now)
	}
	return list
}

func (m *Machine) piggybackOne(env *Envelope, now time.Time) {
	msg := &env.Message
	isolated := m.isolated(now)
	if e := m.table[env.To]; e != nil && !isolated && (e.state == stateSuspect || e.state == stateDead) {
		msg.Updates = append(msg.Updates, m.omitOwnZone(e.update()))
	}
	slices.SortStableFunc(m.broadcasts, func(a, b broadcast) int { return b.copiesLeft - a.copiesLeft })
	for i := range m.broadcasts {
		if len(msg.Updates) >= m.cfg.Piggyback {
			break
		}
		b := &m.broadcasts[i]
		if b.id == m.cfg.Self.ID {
			msg.Updates = append(msg.Updates, m.selfUpdate())
			b.copiesLeft--
			continue
		}
		e := m.table[b.id]
		if isolated {
			continue
		}
		b.copiesLeft--
		if e != nil && b.id != env.To {
			msg.Updates = append(msg.Updates, m.omitOwnZone(e.update()))
		}
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b broadcast) bool { return b.copiesLeft <= 0 })
	m.piggybackZone(msg)
}

// randomPeers returns up to n random peers of this zone that are Alive. The VM
// with the id except is not among them.
func (m *Machine) randomPeers(n int, except fleet.VMID) []fleet.VMID {
	var out []fleet.VMID
	for range 4 * n {
		if len(out) == n || len(m.probeOrder) == 0 {
			break
		}
		id := m.probeOrder[m.cfg.Rand.IntN(len(m.probeOrder))]
		e := m.table[id]
		if e == nil || e.state != stateAlive || id == except || slices.Contains(out, id) {
			continue
		}
		out = append(out, id)
	}
	return out
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return d - d/10 + time.Duration(m.cfg.Rand.Int64N(int64(d/5)+1))
}
