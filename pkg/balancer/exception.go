package balancer

import (
	"slices"
	"strings"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// replicaKey finds a replicated exception: the flow's first candidate and a
	// part of its hash.
	replicaKey struct {
		first       uint16
		fingerprint uint32
	}

	// replica is an exception that another VM reported. It is inexact, since two
	// flows can have the same fingerprint.
	replica struct {
		place uint16
		seen  uint32
	}

	// batches collects exceptions until the next flush.
	batches struct {
		flows   []batchFlow
		records map[batchKey][]exceptionRecord
		flushed time.Time
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
		place       fleet.TargetKey
		remove      bool
	}
)

// fingerprint is the part of a flow's hash that stands in exception records.
func fingerprint(h fleet.FlowHash) uint32 { return uint32(h >> 32) }

// replicate lets the next batch carry the exception, if it lasts until then.
func (b *Balancer) replicate(i uint32, now time.Time) {
	b.batches.flows = append(b.batches.flows, batchFlow{entry: i, hash: b.flows.entries[i].hash})
}

// unreplicate tells the standby that an exception is over.
func (b *Balancer) unreplicate(e *flowEntry) {
	e.flags &^= flagReplicated
	r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
	if r.Decider == b.self && r.First.Standby != "" {
		b.addException(r.First.Standby, r.First.Key, e.hash, b.places.all[e.place].key, true)
	}
}

// report tells the VM that asks where the flow is.
func (b *Balancer) report(i uint32, p *Packet) {
	e := &b.flows.entries[i]
	r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
	key := b.places.all[e.place].key
	known := p.Header.Step == replicaStep || e.state == stateRefused || key == r.First.Key
	if !known && r.First.Target != nil {
		b.addException(p.Header.Origin, r.First.Key, e.hash, key, false)
	}
}

func (b *Balancer) addException(to fleet.VMID, first fleet.TargetKey, h fleet.FlowHash, place fleet.TargetKey, remove bool) {
	if to == b.self || to == "" {
		return
	}
	if b.batches.records == nil {
		b.batches.records = make(map[batchKey][]exceptionRecord)
	}
	key := batchKey{to: to, first: first}
	b.batches.records[key] = append(b.batches.records[key], exceptionRecord{fingerprint: fingerprint(h), place: place, remove: remove})
}

// flushBatches sends the collected exceptions.
func (b *Balancer) flushBatches(now time.Time) {
	if now.Sub(b.batches.flushed) < b.cfg.BatchInterval {
		return
	}
	b.batches.flushed = now
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
		if c := strings.Compare(string(x.to), string(y.to)); c != 0 {
			return c
		}
		return int(int64(x.first>>1) - int64(y.first>>1)>>32)
	})
	for _, k := range keys {
		b.sendExceptions(k, b.batches.records[k], now)
		delete(b.batches.records, k)
	}
}

// replicateEntry adds an exception of this VM to the batch for the standby.
func (b *Balancer) replicateEntry(e *flowEntry) {
	r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
	if r.Decider != b.self || r.First.Standby == "" {
		return
	}
	e.flags |= flagReplicated
	b.addException(r.First.Standby, r.First.Key, e.hash, b.places.all[e.place].key, false)
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

// applyExceptions takes exceptions as owner or standby of the first candidate;
// the owner passes them on to the standby.
func (b *Balancer) applyExceptions(m *exceptionMessage, now time.Time) {
	owner, standby := b.placement.Owner(m.First), b.placement.Standby(m.First)
	if owner != b.self && standby != b.self {
		return
	}
	first := b.places.index(m.First)
	for _, r := range m.Records {
		key := replicaKey{first: first, fingerprint: r.Fingerprint}
		place := m.Places[r.Place]
		if r.Remove {
			delete(b.replicas, key)
		} else if len(b.replicas) < b.cfg.MaxFlows {
			b.replicas[key] = replica{place: b.placeOfKey(place), seen: tick(now)}
		}
		if owner == b.self {
			b.addException(standby, m.First, fleet.FlowHash(r.Fingerprint)<<32, place, r.Remove)
		}
	}
}

// placeOfKey returns the place of a key that another VM sent.
func (b *Balancer) placeOfKey(key fleet.TargetKey) uint16 {
	for i := range b.view.Zones {
		if zoneKey(b.view.Zones[i].ID) == key {
			return b.placeOfZone(b.view.Zones[i].ID)
		}
	}
	return b.places.index(key)
}

// followReplicas forgets, after a change of view, the replicas whose first
// candidate this VM neither owns nor stands by for, and sends those of its own
// places to a new standby.
func (b *Balancer) followReplicas() {
	keys := make([]replicaKey, 0, len(b.replicas))
	for k := range b.replicas {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(x, y replicaKey) int {
		if x.first != y.first {
			return int(x.first) - int(y.first)
		}
		return int(int64(x.fingerprint) - int64(y.fingerprint))
	})
	for _, k := range keys {
		first := &b.places.all[k.first]
		owner, standby := b.placement.Owner(first.key), b.placement.Standby(first.key)
		place := b.places.all[b.replicas[k].place].key
		switch {
		case owner == b.self && first.sync:
			b.addException(standby, first.key, fleet.FlowHash(k.fingerprint)<<32, place, false)
		case owner == b.self || standby == b.self:
		case first.out != nil:
			b.addException(owner, first.key, fleet.FlowHash(k.fingerprint)<<32, place, false)
			delete(b.replicas, k)
		default:
			delete(b.replicas, k)
		}
	}
}

// sweepReplicas forgets the replicas of own places that no packet met for the
// longest idle timeout.
func (b *Balancer) sweepReplicas(now time.Time) {
	for k, r := range b.replicas {
		first := &b.places.all[k.first]
		if first.owned && passed(tick(now), r.seen+b.idle) {
			delete(b.replicas, k)
			b.addException(b.placement.Standby(first.key), first.key, fleet.FlowHash(k.fingerprint)<<32, b.places.all[r.place].key, true)
		}
	}
}
