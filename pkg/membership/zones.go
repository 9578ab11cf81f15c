package membership

import (
	"slices"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// zoneCopies is the number of times that a VM passes a zone state on; the next
// digest repairs what the copies miss.
const zoneCopies = 4

type (
	// zoneView is what a Machine knows of zones, its own included.
	zoneView struct {
		zones     map[fleet.ZoneID]*zoneInfo
		zoneIDs   []fleet.ZoneID
		zoneTurn  int
		reports   map[fleet.VMID]report // at a delegate: free slots by VM
		ownSpare  map[fleet.ServiceID]int
		ownEpoch  fleet.Epoch
		digestSeq uint64
		// digestCursor points to the next entry that a digest carries.
		digestCursor int
	}

	zoneInfo struct {
		state  ZoneState
		heard  time.Time
		copies int
		seen   map[fleet.VMID]version // by delegate
	}

	version struct {
		incarnation fleet.Incarnation
		sequence    uint64
	}

	report struct {
		spare []Slots
		at    time.Time
	}
)

func (z *zoneView) init() {
	z.zones = make(map[fleet.ZoneID]*zoneInfo)
	z.reports = make(map[fleet.VMID]report)
}

// SetSpare sets the free slots of the targets that this VM owns.
func (m *Machine) SetSpare(spare map[fleet.ServiceID]int) { m.ownSpare = spare }

// SetEpoch sets the zone epoch that digests to other zones carry.
func (m *Machine) SetEpoch(e fleet.Epoch) { m.ownEpoch = e }

// delegates returns the VMs that speak for the own zone: the first ones in
// order of id that are no seeds, since seeds carry the leases; seeds where the
// others do not suffice.
func (m *Machine) delegates() []fleet.VMID {
	var list, seeds []fleet.VMID
	add := func(id fleet.VMID) {
		if slices.ContainsFunc(m.cfg.Seeds, func(s fleet.VM) bool { return s.ID == id }) {
			seeds = append(seeds, id)
		} else {
			list = append(list, id)
		}
	}
	selfDone := m.state != stateAlive
	for _, id := range m.ids {
		if len(list) >= m.cfg.Delegates {
			break
		}
		if !selfDone && m.cfg.Self.ID < id {
			selfDone = true
			add(m.cfg.Self.ID)
		}
		if e := m.table[id]; e.zone == m.cfg.Zone && e.state == stateAlive {
			add(id)
		}
	}
	if !selfDone {
		add(m.cfg.Self.ID)
	}
	list = append(list, seeds...)
	return list[:min(len(list), m.cfg.Delegates)]
}

// sendReports tells the delegates the free slots of this VM's targets.
func (m *Machine) sendReports(now time.Time, out []Envelope) []Envelope {
	if len(m.cfg.Remote) == 0 || len(m.ownSpare) == 0 {
		return out
	}
	list := sortedSlots(m.ownSpare)
	msg := m.header(Message{Kind: Report, Spare: list[:min(len(list), maxServices)]})
	for _, id := range m.delegates() {
		if id == m.cfg.Self.ID {
			m.reports[id] = report{spare: msg.Spare, at: now}
			continue
		}
		out = append(out, Envelope{To: id, Message: msg})
	}
	return out
}

func (m *Machine) handleReport(from fleet.VMID, msg Message, now time.Time) {
	if e := m.table[from]; e != nil && e.zone == m.cfg.Zone {
		m.reports[from] = report{spare: msg.Spare, at: now}
	}
}

// sendDigests is a delegate's message to two VMs of each other zone, and the
// own zone's state for the peers inside.
func (m *Machine) sendDigests(now time.Time, out []Envelope) []Envelope {
	if len(m.cfg.Remote) == 0 || m.state != stateAlive || !slices.Contains(m.delegates(), m.cfg.Self.ID) {
		return out
	}
	m.digestSeq++
	state := ZoneState{
		Zone: m.cfg.Zone, Delegate: m.cfg.Self.ID, Incarnation: m.cfg.Incarnation,
		Sequence: m.digestSeq, Epoch: m.ownEpoch, Spare: m.sumSpare(now),
	}
	m.mergeZone(&state, now)
	for _, r := range m.cfg.Remote {
		for _, id := range m.remotePeers(r) {
			out = append(out, Envelope{To: id, Message: m.digest(state)})
		}
	}
	return out
}

func (m *Machine) sumSpare(now time.Time) []Slots {
	sum := make(map[fleet.ServiceID]int)
	for id, r := range m.reports {
		if now.Sub(r.at) > 4*m.cfg.SyncInterval {
			delete(m.reports, id)
			continue
		}
		for _, s := range r.spare {
			sum[s.Service] += int(s.Free)
		}
	}
	list := sortedSlots(sum)
	if len(list) <= maxServices {
		return list
	}
	// A datagram holds a part of the services; digests take turns.
	start := int(m.digestSeq) * maxServices % len(list)
	return append(slices.Clone(list[start:]), list[:start]...)[:maxServices]
}

// digest builds a digest with the own zone's entries in turn, recent changes
// first.
func (m *Machine) digest(state ZoneState) Message {
	msg := m.header(Message{Kind: Digest, Zone: m.cfg.Zone, Zones: []ZoneState{state}})
	msg.Updates = []Update{m.selfUpdate()}
	size := MaxDatagram - 250 - state.size()
	add := func(e *entry) bool {
		u := m.compact(e.update())
		if e.zone != m.cfg.Zone || slices.ContainsFunc(msg.Updates, func(o Update) bool { return o.ID == u.ID }) {
			return true
		}
		if size -= u.size(); size < 0 {
			return false
		}
		msg.Updates = append(msg.Updates, u)
		return true
	}
	for _, b := range m.queue {
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

// remotePeers returns two VMs of another zone, known ones or seeds.
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
		// A zone speaks with authority only about its own VMs.
		if u.Zone == "" || u.Zone == msg.Zone {
			u.Zone = msg.Zone
			m.merge(u, now)
		}
	}
	m.mergeZone(&msg.Zones[0], now)
}

// mergeZone takes over a zone state that is newer than any other from its
// delegate.
func (m *Machine) mergeZone(s *ZoneState, now time.Time) {
	z := m.zones[s.Zone]
	if z == nil {
		if len(m.zones) > len(m.cfg.Remote) {
			return
		}
		z = &zoneInfo{seen: make(map[fleet.VMID]version)}
		m.zones[s.Zone] = z
		m.zoneIDs = append(m.zoneIDs, s.Zone)
		slices.Sort(m.zoneIDs)
	}
	old := z.seen[s.Delegate]
	if s.Incarnation < old.incarnation || (s.Incarnation == old.incarnation && s.Sequence <= old.sequence) {
		return
	}
	if len(z.seen) > 64 {
		clear(z.seen)
	}
	z.seen[s.Delegate] = version{s.Incarnation, s.Sequence}
	z.heard, z.copies = now, zoneCopies
	if s.Epoch >= z.state.Epoch {
		z.state = *s
	}
}

// fillZone piggybacks one zone state on a message inside the zone.
func (m *Machine) fillZone(msg *Message) {
	for range m.zoneIDs {
		m.zoneTurn = (m.zoneTurn + 1) % len(m.zoneIDs)
		z := m.zones[m.zoneIDs[m.zoneTurn]]
		if z.copies > 0 && z.state.Zone != m.cfg.Zone {
			z.copies--
			msg.Zones = append(msg.Zones, z.state)
			return
		}
	}
}

// Zones returns the other zones with reachability, live members and free
// slots; the caller adds weight, state and services from the settings.
func (m *Machine) Zones(now time.Time) []fleet.Zone {
	var out []fleet.Zone
	for _, r := range m.cfg.Remote {
		zone := fleet.Zone{ID: r.ID, State: fleet.In}
		if z := m.zones[r.ID]; z != nil {
			zone.Reachable = now.Sub(z.heard) < 4*m.cfg.DigestInterval
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

// ZoneEpoch returns the epoch that another zone last reported.
func (m *Machine) ZoneEpoch(id fleet.ZoneID) fleet.Epoch {
	if z := m.zones[id]; z != nil {
		return z.state.Epoch
	}
	return 0
}
