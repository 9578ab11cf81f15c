package balancer

import (
	"cmp"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// exceptionKey identifies a replicated exception by the index of the flow's
	// first candidate and a part of the flow's hash.
	exceptionKey struct {
		first       uint16
		fingerprint uint32
	}

	// replicatedException is an exception that another VM reported. It is inexact, since
	// two flows can have the same fingerprint.
	replicatedException struct {
		dest uint16
		seen uint32
	}

	// batches collects exceptions until the next flush.
	batches struct {
		flows     []batchFlow
		records   map[batchKey][]exceptionRecord
		lastFlush time.Time
	}

	batchFlow struct {
		entry uint32
		hash  fleet.FlowHash
	}

	batchKey struct {
		to    fleet.VMID
		first fleet.TargetKey
	}

	exceptionRecord struct {
		fingerprint uint32
		dest        fleet.TargetKey
		remove      bool
	}
)

// fingerprint returns the part of a flow's hash that exception records
// contain.
func fingerprint(h fleet.FlowHash) uint32 { return uint32(h >> 32) }

// replicate schedules the exception of an entry for the next batch. The batch
// omits the exception if the flow is no longer in state Away by then.
func (b *Balancer) replicate(i uint32, now time.Time) {
	b.batches.flows = append(b.batches.flows, batchFlow{entry: i, hash: b.flows.entries[i].hash})
}

// unreplicate schedules a message that tells the standby to remove the
// exception of an entry, if this VM decides about the flow.
func (b *Balancer) unreplicate(e *flowEntry) {
	e.flags &^= flagReplicated
	r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
	if r.Decider == b.self && r.First.Standby != "" {
		b.addException(r.First.Standby, r.First.Key, e.hash, b.dests.all[e.dest].key, true)
	}
}

// reportDest schedules an exception with the destination of the flow for the
// VM that sent the Ask. It does nothing if that VM asked because of a
// replicated exception, if the flow was refused, or if the flow is at its first
// candidate.
func (b *Balancer) reportDest(i uint32, p *Packet) {
	e := &b.flows.entries[i]
	r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
	key := b.dests.all[e.dest].key
	known := p.Header.Step == exceptionAskStep || e.state == stateRefused || key == r.First.Key
	if !known && r.First.Target != nil {
		b.addException(p.Header.Origin, r.First.Key, e.hash, key, false)
	}
}

func (b *Balancer) addException(to fleet.VMID, first fleet.TargetKey, h fleet.FlowHash, dest fleet.TargetKey, remove bool) {
	if to == b.self || to == "" {
		return
	}
	if b.batches.records == nil {
		b.batches.records = make(map[batchKey][]exceptionRecord)
	}
	key := batchKey{to: to, first: first}
	b.batches.records[key] = append(b.batches.records[key], exceptionRecord{fingerprint: fingerprint(h), dest: dest, remove: remove})
}

// flushBatches sends the collected exceptions if BatchInterval has passed since
// the last flush.
func (b *Balancer) flushBatches(now time.Time) {
	if now.Sub(b.batches.lastFlush) < b.cfg.BatchInterval {
		return
	}
	b.batches.lastFlush = now
	for _, f := range b.batches.flows {
		e := &b.flows.entries[f.entry]
		if e.hash == f.hash && e.state == stateAway && e.flags&flagReplicated == 0 {
			b.replicateEntry(e)
		}
	}
	b.batches.flows = b.batches.flows[:0]
	keys := make([]batchKey, 0, len(b.batches.records))
	for k := range b.batches.records {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(x, y batchKey) int {
		return cmp.Or(cmp.Compare(x.to, y.to), cmp.Compare(x.first, y.first))
	})
	for _, k := range keys {
		b.sendExceptions(k, b.batches.records[k], now)
		delete(b.batches.records, k)
	}
}

// replicateEntry adds the exception of an entry to the batch for the standby,
// if this VM decides about the flow.
func (b *Balancer) replicateEntry(e *flowEntry) {
	r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
	if r.Decider != b.self || r.First.Standby == "" {
		return
	}
	e.flags |= flagReplicated
	b.addException(r.First.Standby, r.First.Key, e.hash, b.dests.all[e.dest].key, false)
}

func (b *Balancer) sendExceptions(k batchKey, records []exceptionRecord, now time.Time) {
	for len(records) > 0 {
		m := exceptionMessage{Epoch: b.view.Epoch, First: k.first}
		for len(records) > 0 && m.add(records[0]) {
			records = records[1:]
		}
		b.send(k.to, &m, nil, now)
	}
}

// applyExceptions stores exceptions if this VM is the owner or the standby of
// their first candidate. The owner passes them on to the standby.
func (b *Balancer) applyExceptions(m *exceptionMessage, now time.Time) {
	owner, standby := b.placement.Owner(m.First), b.placement.Standby(m.First)
	if owner != b.self && standby != b.self {
		return
	}
	first := b.dests.index(m.First)
	for _, r := range m.Records {
		key := exceptionKey{first: first, fingerprint: r.Fingerprint}
		dest := m.Dests[r.Dest]
		if r.Remove {
			delete(b.replicatedExceptions, key)
		} else if len(b.replicatedExceptions) < b.cfg.MaxFlows {
			b.replicatedExceptions[key] = replicatedException{dest: b.destOfKey(dest), seen: tick(now)}
		}
		if owner == b.self {
			b.addException(standby, m.First, fleet.FlowHash(r.Fingerprint)<<32, dest, r.Remove)
		}
	}
}

// destOfKey returns the index of the destination with a key that another VM
// sent.
func (b *Balancer) destOfKey(key fleet.TargetKey) uint16 {
	for i := range b.view.Zones {
		if zoneKey(b.view.Zones[i].ID) == key {
			return b.destOfZone(b.view.Zones[i].ID)
		}
	}
	return b.dests.index(key)
}

// updateReplicatedExceptions updates the replicated exceptions after a change of
// view. If this VM owns the first candidate of a replicated exception, it sends
// the exception to the standby if syncStandby is set. If this VM is neither the
// owner nor the standby, it removes the exception. If a handover of the first
// candidate from this VM is incomplete, it sends the exception to the new owner
// before it removes the exception.
func (b *Balancer) updateReplicatedExceptions() {
	keys := make([]exceptionKey, 0, len(b.replicatedExceptions))
	for k := range b.replicatedExceptions {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(x, y exceptionKey) int {
		return cmp.Or(cmp.Compare(x.first, y.first), cmp.Compare(x.fingerprint, y.fingerprint))
	})
	for _, k := range keys {
		first := &b.dests.all[k.first]
		owner, standby := b.placement.Owner(first.key), b.placement.Standby(first.key)
		dest := b.dests.all[b.replicatedExceptions[k].dest].key
		switch {
		case owner == b.self && first.syncStandby:
			b.addException(standby, first.key, fleet.FlowHash(k.fingerprint)<<32, dest, false)
		case owner == b.self || standby == b.self:
		case first.outgoing != nil:
			b.addException(owner, first.key, fleet.FlowHash(k.fingerprint)<<32, dest, false)
			delete(b.replicatedExceptions, k)
		default:
			delete(b.replicatedExceptions, k)
		}
	}
}

// sweepReplicatedExceptions removes replicated exceptions that matched no packet
// for maxWindow, if this VM owns their first candidate. It tells the standby to
// remove them too.
func (b *Balancer) sweepReplicatedExceptions(now time.Time) {
	for k, r := range b.replicatedExceptions {
		first := &b.dests.all[k.first]
		if first.owned && passed(tick(now), r.seen+b.maxWindow) {
			delete(b.replicatedExceptions, k)
			b.addException(b.placement.Standby(first.key), first.key, fleet.FlowHash(k.fingerprint)<<32, b.dests.all[r.dest].key, true)
		}
	}
}
