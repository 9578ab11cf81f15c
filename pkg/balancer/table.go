package balancer

import (
	"net/netip"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Flags of a flow entry.
const (
	// flagSlot is set while the flow occupies a slot of its target.
	flagSlot uint8 = 1 << iota
	// flagTentative is set while an offer may still be returned.
	flagTentative
	// flagFinCaller and flagFinTarget are set after a FIN from that side. In
	// state Away, flagFinCaller is also set after a reset.
	flagFinCaller
	flagFinTarget
	// flagProvenNotRun is set if a refusal may report NotRun, since no target
	// can have run the request.
	flagProvenNotRun
	// flagReplicated is set once the exception is queued for the standby.
	flagReplicated
	// flagRetried is set once the retry of a shed request has been scheduled.
	flagRetried
	// flagInferred is set if the flow was adopted because of a packet other
	// than the start packet. The destination of the flow is then only inferred,
	// and a non-idempotent request must not start there.
	flagInferred
)

// noEntry is the index that stands for a missing entry.
const noEntry = ^uint32(0)

type (
	// flowEntry is the state of one flow, in 48 bytes without pointers. Times
	// are milliseconds modulo 2^32 (see tick).
	flowEntry struct {
		hash     fleet.FlowHash
		caller   [16]byte
		port     uint16
		listener uint16 // index of the listener
		dest     uint16 // index of the flow's destination; in state Moved, index of the VM
		state    chart.State
		flags    uint8
		lastSeen uint32 // time of the last packet
		expires  uint32 // deadline, or the end of the retention time
		epoch    uint32 // low 32 bits of the epoch of the last pass (Away), the return (Returned) or the move (Moved)
		instance uint32 // Instance of the start packet, 0 if unknown
	}

	// flowTable maps flows to entries by open addressing with linear probing.
	// The slots hold indexes into a slab of entries, so an entry keeps its
	// index until it is removed.
	flowTable struct {
		slots   []uint32 // index + 1 of the entry, 0 if free
		entries []flowEntry
		free    []uint32
		max     int
	}
)

// initialSlots is the number of slots of a new table. The number doubles before
// more than three quarters of the slots are in use.
const initialSlots = 1024

func newFlowTable(maxFlows int) flowTable {
	return flowTable{slots: make([]uint32, initialSlots), max: maxFlows}
}

func (t *flowTable) len() int { return len(t.entries) - len(t.free) }

// find returns the index of the flow's entry, or noEntry.
func (t *flowTable) find(h fleet.FlowHash, key *fleet.FlowKey, listeners []listenerInfo) uint32 {
	mask := uint32(len(t.slots) - 1)
	for at := hashSlot(h) & mask; ; at = (at + 1) & mask {
		s := t.slots[at]
		if s == 0 {
			return noEntry
		}
		if e := &t.entries[s-1]; e.hash == h && e.matches(key, listeners) {
			return s - 1
		}
	}
}

// matches compares the whole 5-tuple, since the hash is not keyed and a
// caller may choose ports whose flows collide.
func (e *flowEntry) matches(key *fleet.FlowKey, listeners []listenerInfo) bool {
	l := &listeners[e.listener]
	return e.port == key.Caller.Port() && e.caller == key.Caller.Addr().As16() &&
		l.Address == key.VIP && l.Protocol == key.Protocol
}

// add adds an entry for a flow that has none. It returns noEntry if the table
// is full.
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
	at := hashSlot(h) & mask
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

// remove removes the entry and shifts later entries of its probe sequence
// into the gap.
func (t *flowTable) remove(i uint32) {
	mask := uint32(len(t.slots) - 1)
	at := hashSlot(t.entries[i].hash) & mask
	for t.slots[at] != i+1 {
		at = (at + 1) & mask
	}
	for next := (at + 1) & mask; t.slots[next] != 0; next = (next + 1) & mask {
		ideal := hashSlot(t.entries[t.slots[next]-1].hash) & mask
		if (next-ideal)&mask >= (next-at)&mask {
			t.slots[at] = t.slots[next]
			at = next
		}
	}
	t.slots[at] = 0
	t.entries[i] = flowEntry{state: stateGone}
	t.free = append(t.free, i)
}

func (e *flowEntry) live() bool { return e.state != stateGone }

// hashSlot folds the hash to 32 bits. XOR suffices, because all bits of the
// hash are well mixed.
func hashSlot(h fleet.FlowHash) uint32 { return uint32(h) ^ uint32(h>>32) }

// callerAddr returns the address and port of the flow's caller.
func callerAddr(e *flowEntry) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(e.caller).Unmap(), e.port)
}
