package membership

import (
	"slices"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// zoneCopies is the number of messages to which a VM adds a new zone state. A
// VM that receives no copy gets the zone state of a later digest instead.
const zoneCopies = 4

type (
	// zoneTable is the part of a Machine that holds the states of all zones,
	// including the zone of this VM.
	zoneTable struct {
		zones        map[fleet.ZoneID]*zoneInfo
		zoneIDs      []fleet.ZoneID
		zoneCursor   int
		reports      map[fleet.VMID]report // at a delegate: free slots by VM
		ownFreeSlots map[fleet.ServiceID]int
		ownEpoch     fleet.Epoch
		digestSeq    uint64
		// digestCursor is the index in ids of the last entry sent in a digest.
		digestCursor int
	}

	zoneInfo struct {
		state      ZoneState
		heardAt    time.Time
		copiesLeft int
		versions   map[fleet.VMID]version // by delegate
	}

	version struct {
		incarnation fleet.Incarnation
		sequence    uint64
	}

	report struct {
		slots      []Slots
		receivedAt time.Time
	}
)

func (z *zoneTable) init() {
	z.zones = make(map[fleet.ZoneID]*zoneInfo)
	z.reports = make(map[fleet.VMID]report)
}

// SetSpare sets the free slots per service of the targets that this VM owns.
func (m *Machine) SetSpare(spare map[fleet.ServiceID]int) { m.ownFreeSlots = spare }

// SetEpoch sets the zone epoch that digests to other zones carry.
func (m *Machine) SetEpoch(e fleet.Epoch) { m.ownEpoch = e }

// delegates returns the VMs that exchange digests for this zone: the first
// Config.Delegates VMs, in order of id, that are Alive and not seeds. Seeds are
// usually council members, which already carry the load of the leases. They
// become delegates only if there are too few other VMs.
func (m *Machine) delegates() []fleet.VMID {
	var list, seeds []fleet.VMID
	add := func(id fleet.VMID) {
		if slices.ContainsFunc(m.cfg.Seeds, func(s fleet.VM) bool { return s.ID == id }) {
			seeds = append(seeds, id)
		} else {
			list = append(list, id)
		}
	}
	selfAdded := m.state != stateAlive
	for _, id := range m.ids {
		if len(list) >= m.cfg.Delegates {
			break
		}
		if !selfAdded && m.cfg.Self.ID < id {
			selfAdded = true
			add(m.cfg.Self.ID)
		}
		if e := m.table[id]; e.zone == m.cfg.Zone && e.state == stateAlive {
			add(id)
		}
	}
	if !selfAdded {
		add(m.cfg.Self.ID)
	}
	list = append(list, seeds...)
	return list[:min(len(list), m.cfg.Delegates)]
}

// sendReports sends the free slots of this VM's targets to the delegates.
func (m *Machine) sendReports(now time.Time, out []Envelope) []Envelope {
	if len(m.cfg.Remote) == 0 || len(m.ownFreeSlots) == 0 {
		return out
	}
	list := sortedSlots(m.ownFreeSlots)
	msg := m.withHeader(Message{Kind: Report, Spare: list[:min(len(list), maxServices)]})
	for _, id := range m.delegates() {
		if id == m.cfg.Self.ID {
			m.reports[id] = report{slots: msg.Spare, receivedAt: now}
			continue
		}
		out = append(out, Envelope{To: id, Message: msg})
	}
	return out
}

func (m *Machine) handleReport(from fleet.VMID, msg Message, now time.Time) {
	if e := m.table[from]; e != nil && e.zone == m.cfg.Zone {
		m.reports[from] = report{slots: msg.Spare, receivedAt: now}
	}
}

// sendDigests does nothing unless this VM is a delegate. A delegate records the
// state of this zone and sends digests to two VMs of each other zone.
func (m *Machine) sendDigests(now time.Time, out []Envelope) []Envelope {
	if len(m.cfg.Remote) == 0 || m.state != stateAlive || !slices.Contains(m.delegates(), m.cfg.Self.ID) {
		return out
	}
	m.digestSeq++
	state := ZoneState{
		Zone: m.cfg.Zone, Delegate: m.cfg.Self.ID, Incarnation: m.cfg.Incarnation,
		Sequence: m.digestSeq, Epoch: m.ownEpoch, Spare: m.totalFreeSlots(now),
	}
	m.mergeZone(&state, now)
	for _, r := range m.cfg.Remote {
		for _, id := range m.remotePeers(r) {
			out = append(out, Envelope{To: id, Message: m.newDigest(state)})
		}
	}
	return out
}

func (m *Machine) totalFreeSlots(now time.Time) []Slots {
	sum := make(map[fleet.ServiceID]int)
	for id, r := range m.reports {
		if now.Sub(r.receivedAt) > 4*m.cfg.SyncInterval {
			delete(m.reports, id)
			continue
		}
		for _, s := range r.slots {
			sum[s.Service] += int(s.Free)
		}
	}
	list := sortedSlots(sum)
	if len(list) <= maxServices {
		return list
	}
	// A datagram holds only maxServices services; consecutive digests rotate
	// through the list.
	start := int(m.digestSeq) * maxServices % len(list)
	return append(slices.Clone(list[start:]), list[:start]...)[:maxServices]
}

// newDigest returns a digest with entries of this zone: first those that
// changed recently, then the entries that follow digestCursor.
func (m *Machine) newDigest(state ZoneState) Message {
	msg := m.withHeader(Message{Kind: Digest, Zone: m.cfg.Zone, Zones: []ZoneState{state}})
	msg.Updates = []Update{m.selfUpdate()}
	size := MaxDatagram - 250 - state.size()
	add := func(e *entry) bool {
		u := m.omitOwnZone(e.update())
		if e.zone != m.cfg.Zone || slices.ContainsFunc(msg.Updates, func(o Update) bool { return o.ID == u.ID }) {
			return true
		}
		if size -= u.size(); size < 0 {
			return false
		}
		msg.Updates = append(msg.Updates, u)
		return true
	}
	for _, b := range m.broadcasts {
		if e := m.table[b.id]; e != nil && !add(e) {
			return msg
		}
	}
	for range len(m.ids) {
		m.digestCursor = (m.digestCursor + 1) % len(m.ids)
		if !add(m.table[m.ids[m.digestCursor]]) {
			m.digestCursor--
			break
		}
	}
	return msg
}

// remotePeers returns up to two random VMs of another zone that the table lists
// as Alive. If there are fewer than two such VMs, seeds of that zone make up the
// number.
func (m *Machine) remotePeers(r RemoteZone) []fleet.VMID {
	var list []fleet.VMID
	for _, id := range m.ids {
		if e := m.table[id]; e.zone == r.ID && e.state == stateAlive {
			list = append(list, id)
		}
	}
	for _, s := range r.Seeds {
		if len(list) < 2 && !slices.Contains(list, s.ID) {
			list = append(list, s.ID)
		}
	}
	m.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(2, len(list))]
}

func (m *Machine) handleDigest(from fleet.VMID, msg Message, now time.Time) {
	if msg.Zone == m.cfg.Zone || !slices.ContainsFunc(m.cfg.Remote, func(r RemoteZone) bool { return r.ID == msg.Zone }) {
		m.stats.Conflicts++
		return
	}
	m.stats.Digests++
	for _, u := range msg.Updates {
		// A zone is authoritative only for its own VMs.
		if u.Zone == "" || u.Zone == msg.Zone {
			u.Zone = msg.Zone
			m.merge(u, now)
		}
	}
	m.mergeZone(&msg.Zones[0], now)
}

// mergeZone records a zone state if it is newer than all others from the same
// delegate. If its epoch is lower than the recorded epoch of the zone, the
// state only shows that the zone is reachable.
func (m *Machine) mergeZone(s *ZoneState, now time.Time) {
	z := m.zones[s.Zone]
	if z == nil {
		if len(m.zones) > len(m.cfg.Remote) {
			return
		}
		z = &zoneInfo{versions: make(map[fleet.VMID]version)}
		m.zones[s.Zone] = z
		m.zoneIDs = append(m.zoneIDs, s.Zone)
		slices.Sort(m.zoneIDs)
	}
	old := z.versions[s.Delegate]
	if s.Incarnation < old.incarnation || (s.Incarnation == old.incarnation && s.Sequence <= old.sequence) {
		return
	}
	if len(z.versions) > 64 {
		clear(z.versions)
	}
	z.versions[s.Delegate] = version{s.Incarnation, s.Sequence}
	z.heardAt, z.copiesLeft = now, zoneCopies
	if s.Epoch >= z.state.Epoch {
		z.state = *s
	}
}

// piggybackZone adds the state of one other zone that has copies left to a
// message within this zone.
func (m *Machine) piggybackZone(msg *Message) {
	for range m.zoneIDs {
		m.zoneCursor = (m.zoneCursor + 1) % len(m.zoneIDs)
		z := m.zones[m.zoneIDs[m.zoneCursor]]
		if z.copiesLeft > 0 && z.state.Zone != m.cfg.Zone {
			z.copiesLeft--
			msg.Zones = append(msg.Zones, z.state)
			return
		}
	}
}

// Zones returns the other zones with their reachability, live members and free
// slots. The caller adds weight, state and services from the settings.
func (m *Machine) Zones(now time.Time) []fleet.Zone {
	var out []fleet.Zone
	for _, r := range m.cfg.Remote {
		zone := fleet.Zone{ID: r.ID, State: fleet.ZoneIn}
		if z := m.zones[r.ID]; z != nil {
			zone.Reachable = now.Sub(z.heardAt) < 4*m.cfg.DigestInterval
			zone.Spare = make(map[fleet.ServiceID]int, len(z.state.Spare))
			for _, s := range z.state.Spare {
				zone.Spare[s.Service] = int(s.Free)
			}
		}
		for _, id := range m.ids {
			if e := m.table[id]; e.zone == r.ID && (e.state == stateAlive || e.state == stateSuspect) {
				zone.Members = append(zone.Members, e.vm)
			}
		}
		out = append(out, zone)
	}
	slices.SortFunc(out, func(a, b fleet.Zone) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// ZoneEpoch returns the highest epoch that another zone has reported, or 0 if
// it has reported none.
func (m *Machine) ZoneEpoch(id fleet.ZoneID) fleet.Epoch {
	if z := m.zones[id]; z != nil {
		return z.state.Epoch
	}
	return 0
}
