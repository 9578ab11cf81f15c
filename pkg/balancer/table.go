package balancer

import (
	"net/netip"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Flags of a flow entry.
const (
	// flagSlot is set while the flow counts against a slot of its target.
	flagSlot uint8 = 1 << iota
	// flagTentative is set while an offer may still come back.
	flagTentative
	// flagFinCaller and flagFinTarget are set after a FIN from that side; on an
	// entry that is Away, flagFinCaller is also set after a reset.
	flagFinCaller
	flagFinTarget
	// flagSure is set where a refusal may say NotRun, since no other VM can have
	// forwarded the flow.
	flagSure
	// flagReplicated is set once the standby was sent the exception.
	flagReplicated
	// flagRetried is set on a flow that waits for the retry of a shed request.
	flagRetried
	// flagInferred: the flow was adopted by a packet that does not start it, so
	// that its place is inferred. A non-idempotent request does not start there.
	flagInferred
)

// noEntry marks the end of a list and a missing entry.
const noEntry = ^uint32(0)

type (
	// flowEntry is the state of one flow, 48 bytes without pointers. Times are
	// milliseconds modulo 2^32 (see tick).
	flowEntry struct {
		hash     fleet.FlowHash
		caller   [16]byte
		port     uint16
		listener uint16 // index of the listener
		place    uint16 // index of the place where the flow is, or of the VM that it moved to
		state    chart.State
		flags    uint8
		seen     uint32 // time of the last packet
		until    uint32 // deadline, or the end of the retention time
		epoch    uint32 // low bits of the epoch of the last offer, or of the VM that it moved to
		instance uint32 // instance of the start packet, 0 where it is not known
	}

	// flowTable maps flows to entries: open addressing with linear probing over
	// indices into a slab, so that an entry keeps its index while it lives.
	flowTable struct {
		slots   []uint32 // index + 1 of the entry, 0 where free
		entries []flowEntry
		free    []uint32
		max     int
	}
)

// firstSlots is the size of an empty table; it doubles at three quarters.
const firstSlots = 1024

func newFlowTable(maxFlows int) flowTable {
	return flowTable{slots: make([]uint32, firstSlots), max: maxFlows}
}

func (t *flowTable) len() int { return len(t.entries) - len(t.free) }

// find returns the index of the flow's entry, or noEntry.
func (t *flowTable) find(h fleet.FlowHash, key *fleet.FlowKey, listeners []listenerInfo) uint32 {
	mask := uint32(len(t.slots) - 1)
	for at := slotOf(h) & mask; ; at = (at + 1) & mask {
		s := t.slots[at]
		if s == 0 {
			return noEntry
		}
		if e := &t.entries[s-1]; e.hash == h && e.matches(key, listeners) {
			return s - 1
		}
	}
}

// matches compares the whole 5-tuple, since the hash is not keyed and a caller
// may choose ports that collide.
func (e *flowEntry) matches(key *fleet.FlowKey, listeners []listenerInfo) bool {
	l := &listeners[e.listener]
	return e.port == key.Caller.Port() && e.caller == key.Caller.Addr().As16() &&
		l.Address == key.VIP && l.Protocol == key.Protocol
}

// add makes an entry for a flow that has none; it returns noEntry where the
// table is full.
func (t *flowTable) add(h fleet.FlowHash) uint32 {
	if t.len() >= t.max {
		return noEntry
	}
	if (t.len()+1)*4 > len(t.slots)*3 {
		t.grow()
	}
	var i uint32
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = uint32(len(t.entries))
		t.entries = append(t.entries, flowEntry{})
	}
	t.entries[i] = flowEntry{hash: h}
	t.insert(h, i)
	return i
}

func (t *flowTable) insert(h fleet.FlowHash, i uint32) {
	mask := uint32(len(t.slots) - 1)
	at := slotOf(h) & mask
	for t.slots[at] != 0 {
		at = (at + 1) & mask
	}
	t.slots[at] = i + 1
}

func (t *flowTable) grow() {
	t.slots = make([]uint32, 2*len(t.slots))
	for i := range t.entries {
		if t.entries[i].live() {
			t.insert(t.entries[i].hash, uint32(i))
		}
	}
}

// remove frees the entry and closes the gap in its probe sequence.
func (t *flowTable) remove(i uint32) {
	mask := uint32(len(t.slots) - 1)
	at := slotOf(t.entries[i].hash) & mask
	for t.slots[at] != i+1 {
		at = (at + 1) & mask
	}
	for next := (at + 1) & mask; t.slots[next] != 0; next = (next + 1) & mask {
		home := slotOf(t.entries[t.slots[next]-1].hash) & mask
		if (next-home)&mask >= (next-at)&mask {
			t.slots[at] = t.slots[next]
			at = next
		}
	}
	t.slots[at] = 0
	t.entries[i] = flowEntry{state: stateGone}
	t.free = append(t.free, i)
}

func (e *flowEntry) live() bool { return e.state != stateGone }

// slotOf folds the hash, whose bits are all well mixed.
func slotOf(h fleet.FlowHash) uint32 { return uint32(h) ^ uint32(h>>32) }

// callerAddr returns the caller's address and port.
func callerAddr(e *flowEntry) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(e.caller).Unmap(), e.port)
}
