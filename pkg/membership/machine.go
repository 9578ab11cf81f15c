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
	// RemoteZone names VMs at which another zone can be reached at first.
	RemoteZone struct {
		ID    fleet.ZoneID
		Seeds []fleet.VM
	}

	// Config holds the settings of a Machine; zero durations and counts get
	// the defaults that are named at each field.
	Config struct {
		Self        fleet.VM
		Zone        fleet.ZoneID
		Incarnation fleet.Incarnation // must rise with each restart
		Seeds       []fleet.VM        // VMs of the own zone, usually the council
		Remote      []RemoteZone
		Rand        *rand.Rand
		Recorder    timeline.Recorder // default: timeline.Discard

		ProbeInterval  time.Duration // 250 ms
		ProbeTimeout   time.Duration // 150 ms; direct, then again indirect
		SuspicionTime  time.Duration // 700 ms
		JoinTime       time.Duration // 2 s from Joining to Dead without progress
		SyncInterval   time.Duration // 1 s
		DigestInterval time.Duration // 1 s; 5 s at design scale
		ForgetTime     time.Duration // 2 h from Dead to removal; longer than a partition
		HoldBase       time.Duration // 2 s
		HoldMax        time.Duration // 1 min
		HoldDecay      time.Duration // 1 min of stability forgives one flap
		Fanout         int           // 2 probes per interval
		Indirect       int           // 3 helpers per indirect probe
		Copies         int           // 4 copies of an update at least
		Piggyback      int           // 12 updates per datagram
		Delegates      int           // 3 VMs that exchange digests for the zone
		MaxMembers     int           // 4096 table entries
	}

	// probe is one outstanding question to a peer.
	probe struct {
		id       fleet.VMID
		seq      uint32
		deadline time.Time
		indirect bool
	}

	// relay is a probe that this VM runs for another one.
	relay struct {
		origin    fleet.VMID
		originSeq uint32
		target    fleet.VMID
		seq       uint32
		deadline  time.Time
	}

	// Stats counts what a Machine did; all values but Members rise only.
	Stats struct {
		Members            int // own zone, Alive or Suspect, with self
		Probes             uint64
		IndirectProbes     uint64
		Suspicions         uint64
		Refutations        uint64 // suspicions of others that proved wrong
		SelfRefutations    uint64
		Deaths             uint64
		HoldDowns          uint64
		InvalidTransitions uint64
		Conflicts          uint64 // statements about this VM or a zone that contradict
		Stalls             uint64 // times this process did not run
		Digests            uint64 // received from other zones
	}

	// Machine is the membership state machine of one VM. Invariants: the
	// (incarnation, refutation) of an entry never falls; an entry changes
	// state only along the chart; a datagram holds a bounded number of
	// updates and at most MaxDatagram bytes.
	Machine struct {
		cfg   Config
		table map[fleet.VMID]*entry // all but self
		ids   []fleet.VMID          // keys of table in order
		order []fleet.VMID          // own zone, shuffled; next points into it
		next  int
		peers int                     // entries of the own zone
		timed map[fleet.VMID]struct{} // entries whose deadline matters
		queue []broadcast
		probe []probe
		relay []relay

		state      chart.State // of self
		refutation uint32
		superseded fleet.Incarnation
		seq        uint32
		generation uint64
		stats      Stats

		started    time.Time
		lastTick   time.Time
		lastHeard  time.Time
		nextProbe  time.Time
		nextJoin   time.Time
		nextSync   time.Time
		nextDigest time.Time
		syncCursor int
		joinFrom   fleet.VMID
		joinParts  map[uint16]bool

		zoneView
	}
)

// New returns a Machine that starts to join its zone.
func New(cfg Config, now time.Time) *Machine {
	cfg.setDefaults()
	m := &Machine{
		cfg: cfg, table: make(map[fleet.VMID]*entry), timed: make(map[fleet.VMID]struct{}), state: vmChart.Initial(),
		started: now, lastTick: now, lastHeard: now,
		nextProbe: now, nextJoin: now, nextSync: now.Add(cfg.SyncInterval), nextDigest: now,
	}
	m.zoneView.init()
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
		{&c.SuspicionTime, 700 * time.Millisecond},
		{&c.JoinTime, 2 * time.Second},
		{&c.SyncInterval, time.Second},
		{&c.DigestInterval, time.Second},
		{&c.ForgetTime, 2 * time.Hour},
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
	}{{&c.Fanout, 2}, {&c.Indirect, 3}, {&c.Copies, 4}, {&c.Piggyback, 12}, {&c.Delegates, 3}, {&c.MaxMembers, 4096}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
}

// Handle takes a message from a peer.
func (m *Machine) Handle(from fleet.VMID, msg Message, now time.Time) []Envelope {
	m.noteStall(now)
	if m.superseded != 0 || from == m.cfg.Self.ID {
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
		e.heard = now
	}
	// What a dead VM says about others is as old as its absence; only what it
	// says about itself and what this VM must object to counts.
	if e != nil && (e.state == stateDead || msg.Incarnation < e.incarnation) {
		msg.Updates = slices.DeleteFunc(msg.Updates, func(u Update) bool {
			return u.ID != from && u.ID != m.cfg.Self.ID
		})
		msg.Zones = nil
	}
	if e != nil && (e.state == stateSuspect || e.state == stateDead) && msg.Kind != Join {
		// The sender objects to a suspicion, even where its own update is lost.
		u := e.update()
		u.Incarnation, u.Refutation, u.State = msg.Incarnation, msg.Refutation, stateAlive
		m.merge(u, now)
	}
	stale := m.mergeAll(&msg, now)
	switch msg.Kind {
	case Ping:
		return m.reply(from, Message{Kind: Ack, Seq: msg.Seq, Updates: stale, Unknown: m.table[from] == nil}, now)
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

// mergeAll returns what the sender should know in place of its stale updates.
func (m *Machine) mergeAll(msg *Message, now time.Time) []Update {
	var stale []Update
	for _, u := range msg.Updates {
		if u.Zone == "" {
			u.Zone = m.cfg.Zone
		}
		if !m.merge(u, now) && len(stale) < m.cfg.Piggyback/2 {
			stale = m.correct(stale, &u)
		}
	}
	for i := range msg.Zones {
		m.mergeZone(&msg.Zones[i], now)
	}
	return stale
}

// correct adds what this VM knows better than an update.
func (m *Machine) correct(list []Update, u *Update) []Update {
	if u.ID == m.cfg.Self.ID {
		return append(list, m.selfUpdate())
	}
	e := m.table[u.ID]
	if e == nil || (e.incarnation == u.Incarnation && e.refutation == u.Refutation && e.state == u.State) {
		return list
	}
	return append(list, m.compact(e.update()))
}

func (m *Machine) handleAck(from fleet.VMID, msg Message, now time.Time) []Envelope {
	target := from
	if msg.Target != "" {
		target = msg.Target
	}
	m.probe = slices.DeleteFunc(m.probe, func(p probe) bool { return p.id == target && p.seq == msg.Seq })
	var out []Envelope
	for i, r := range m.relay {
		if r.target == from && r.seq == msg.Seq {
			out = m.reply(r.origin, Message{Kind: Ack, Seq: r.originSeq, Target: from}, now)
			m.relay = slices.Delete(m.relay, i, i+1)
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
	if m.table[msg.Target] == nil || len(m.relay) >= 64 {
		return nil
	}
	m.seq++
	m.relay = append(m.relay, relay{
		origin: from, originSeq: msg.Seq, target: msg.Target, seq: m.seq, deadline: now.Add(m.cfg.ProbeTimeout),
	})
	return m.reply(msg.Target, Message{Kind: Ping, Seq: m.seq}, now)
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) []Envelope {
	m.noteStall(now)
	if m.superseded != 0 {
		return nil
	}
	var out []Envelope
	out = m.checkProbes(now, out)
	m.checkDeadlines(now)
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

// noteStall restarts the timers after the process did not run for a while,
// since the silence was its own.
func (m *Machine) noteStall(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap < 2*m.cfg.ProbeInterval {
		return
	}
	m.stats.Stalls++
	m.probe = nil
	m.lastHeard = m.lastHeard.Add(gap)
	for id := range m.timed {
		if e := m.table[id]; e.state != stateDead {
			e.deadline = now.Add(m.cfg.SuspicionTime)
		}
	}
}

// isolated reports whether nothing was heard for so long that this VM, not
// its peers, is likely to be cut off.
func (m *Machine) isolated(now time.Time) bool {
	return m.peers > 1 && now.Sub(m.lastHeard) >= m.cfg.ProbeInterval+m.cfg.ProbeTimeout
}

// endIsolation takes back the marks that this VM set while it heard nothing.
func (m *Machine) endIsolation(now time.Time) {
	if !m.isolated(now) {
		return
	}
	for _, id := range m.ids {
		e := m.table[id]
		if e.ownMark && e.since.After(m.lastHeard) && e.zone == m.cfg.Zone {
			e.ownMark = false
			e.flaps, e.holdFor = max(e.flaps-1, 0), 0
			m.moveTo(e, stateAlive, "IsolationEnd", now)
		}
	}
	m.probe = nil
}

func (m *Machine) startProbes(now time.Time, out []Envelope) []Envelope {
	for range min(m.cfg.Fanout, len(m.order)) {
		id, ok := m.nextPeer()
		if !ok {
			break
		}
		m.stats.Probes++
		env := m.ping(id)
		m.probe = append(m.probe, probe{id: id, seq: m.seq, deadline: now.Add(m.cfg.ProbeTimeout)})
		out = append(out, m.fill(env, now)...)
	}
	return out
}

// nextPeer returns the next VM of a shuffled round, so that each live peer is
// probed once per round.
func (m *Machine) nextPeer() (fleet.VMID, bool) {
	for range len(m.order) + 1 {
		if m.next >= len(m.order) {
			m.shuffle()
			if len(m.order) == 0 {
				return "", false
			}
		}
		id := m.order[m.next]
		m.next++
		if e := m.table[id]; e != nil && e.state != stateDead {
			return id, true
		}
	}
	return "", false
}

func (m *Machine) shuffle() {
	m.order, m.next = m.order[:0], 0
	for _, id := range m.ids {
		if e := m.table[id]; e.zone == m.cfg.Zone && e.state != stateDead {
			m.order = append(m.order, id)
		}
	}
	m.cfg.Rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
}

func (m *Machine) checkProbes(now time.Time, out []Envelope) []Envelope {
	m.relay = slices.DeleteFunc(m.relay, func(r relay) bool { return now.After(r.deadline) })
	keep := m.probe[:0]
	var failed []fleet.VMID
	for _, p := range m.probe {
		switch {
		case now.Before(p.deadline):
			keep = append(keep, p)
		case !p.indirect:
			p.indirect, p.deadline = true, now.Add(2*m.cfg.ProbeTimeout)
			keep = append(keep, p)
			out = m.askOthers(p, now, out)
		default:
			failed = append(failed, p.id)
		}
	}
	m.probe = keep
	for _, id := range failed {
		out = m.suspect(id, now, out)
	}
	return out
}

func (m *Machine) askOthers(p probe, now time.Time, out []Envelope) []Envelope {
	m.stats.IndirectProbes++
	for _, id := range m.randomPeers(m.cfg.Indirect, p.id) {
		out = append(out, m.reply(id, Message{Kind: PingReq, Seq: p.seq, Target: p.id}, now)...)
	}
	return out
}

func (m *Machine) suspect(id fleet.VMID, now time.Time, out []Envelope) []Envelope {
	e := m.table[id]
	if e == nil || now.Sub(e.heard) < m.cfg.ProbeTimeout {
		return out
	}
	switch e.state {
	case stateAlive:
		e.ownMark = true
		m.step(e, eventTimeout, "NoAck", now)
	case stateLeaving:
		e.ownMark = true
		m.step(e, eventTimeout, "NoAck", now)
	default:
		return out
	}
	m.broadcast(id)
	// The suspect hears of it first, so that it can object in time.
	return append(out, m.fill(m.ping(id), now)...)
}

// checkDeadlines ends suspicions, joins that make no progress, and entries of
// VMs long dead.
func (m *Machine) checkDeadlines(now time.Time) {
	var forgotten []fleet.VMID
	for _, id := range slices.Sorted(maps.Keys(m.timed)) {
		e := m.table[id]
		if now.Before(e.deadline) {
			continue
		}
		if e.state == stateDead {
			forgotten = append(forgotten, id)
			continue
		}
		if e.zone != m.cfg.Zone {
			continue
		}
		e.ownMark = true
		m.step(e, eventTimeout, "Deadline", now)
		m.broadcast(id)
	}
	for _, id := range forgotten {
		m.forget(id)
	}
}

// sync pushes the next table entries to a random peer, which repairs updates
// that were lost, and tries a dead VM and a seed, which joins parts of a zone
// that were cut from each other.
func (m *Machine) sync(now time.Time, out []Envelope) []Envelope {
	if m.state == stateJoining {
		return out
	}
	for _, id := range m.randomPeers(1, "") {
		out = append(out, Envelope{To: id, Message: m.tablePart(&m.syncCursor, 400)})
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
		out = append(out, m.fill(m.ping(absent[m.cfg.Rand.IntN(len(absent))]), now)...)
	}
	return m.sendReports(now, out)
}

// tablePart returns a Sync with the entries that follow a cursor, about size
// bytes of them.
func (m *Machine) tablePart(cursor *int, size int) Message {
	msg := m.header(Message{Kind: Sync})
	for range len(m.ids) {
		*cursor = (*cursor + 1) % len(m.ids)
		u := m.compact(m.table[m.ids[*cursor]].update())
		if size -= u.size(); size < 0 {
			*cursor--
			break
		}
		msg.Updates = append(msg.Updates, u)
	}
	return msg
}

// ping returns a probe without piggybacked updates.
func (m *Machine) ping(id fleet.VMID) []Envelope {
	m.seq++
	return []Envelope{{To: id, Message: m.header(Message{Kind: Ping, Seq: m.seq})}}
}

func (m *Machine) reply(to fleet.VMID, msg Message, now time.Time) []Envelope {
	return m.fill([]Envelope{{To: to, Message: m.header(msg)}}, now)
}

func (m *Machine) header(msg Message) Message {
	msg.Incarnation, msg.Refutation = m.cfg.Incarnation, m.refutation
	return msg
}

// compact leaves out the zone of an update where it is the sender's.
func (m *Machine) compact(u Update) Update {
	if u.Zone == m.cfg.Zone {
		u.Zone = ""
	}
	return u
}

func (m *Machine) selfUpdate() Update {
	return Update{
		ID: m.cfg.Self.ID, Control: m.cfg.Self.Control, Data: m.cfg.Self.Data,
		Incarnation: m.cfg.Incarnation, Refutation: m.refutation, State: m.state,
	}
}

// fill piggybacks updates on each envelope: what the receiver must object to
// first, then the queue by copies left, then one zone state.
func (m *Machine) fill(list []Envelope, now time.Time) []Envelope {
	for i := range list {
		m.fillOne(&list[i], now)
	}
	return list
}

func (m *Machine) fillOne(env *Envelope, now time.Time) {
	msg := &env.Message
	isolated := m.isolated(now)
	if e := m.table[env.To]; e != nil && !isolated && (e.state == stateSuspect || e.state == stateDead) {
		msg.Updates = append(msg.Updates, m.compact(e.update()))
	}
	slices.SortStableFunc(m.queue, func(a, b broadcast) int { return b.left - a.left })
	for i := range m.queue {
		if len(msg.Updates) >= m.cfg.Piggyback {
			break
		}
		b := &m.queue[i]
		if b.id == m.cfg.Self.ID {
			msg.Updates = append(msg.Updates, m.selfUpdate())
			b.left--
			continue
		}
		e := m.table[b.id]
		if isolated {
			continue
		}
		b.left--
		if e != nil && b.id != env.To {
			msg.Updates = append(msg.Updates, m.compact(e.update()))
		}
	}
	m.queue = slices.DeleteFunc(m.queue, func(b broadcast) bool { return b.left <= 0 })
	m.fillZone(msg)
}

// randomPeers returns up to n live peers of the own zone.
func (m *Machine) randomPeers(n int, except fleet.VMID) []fleet.VMID {
	var out []fleet.VMID
	for range 4 * n {
		if len(out) == n || len(m.order) == 0 {
			break
		}
		id := m.order[m.cfg.Rand.IntN(len(m.order))]
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
