package load

import (
	"cmp"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// baselineQueuePerSlot is the maximum number of queued requests per slot in the
// baselines that have a queue.
const baselineQueuePerSlot = 32

type (
	// baseline is an admission control with fixed limits. Each group of kinds
	// has its own slots and queue. The queue is ordered by urgency, then by
	// arrival, without fair shares for kinds or callers. The deadline of a
	// request is not checked at arrival, but when the request leaves the queue.
	baseline struct {
		groups  []baselineGroup
		byKind  map[fleet.KindName]*baselineGroup
		urgency map[fleet.KindName]fleet.Urgency
		running map[fleet.FlowKey]*baselineGroup

		started, expired, evicted []admission.Request
	}

	baselineGroup struct {
		slots    int
		inFlight int
		maxQueue int
		queue    []admission.Request
	}
)

// newUnlimited returns a limiter that starts a request immediately unless the
// number of requests in flight has reached the connection limit, and queues none.
func newUnlimited(target fleet.Target, kinds []fleet.Kind, _ time.Time) limiter {
	b := newBaseline(kinds, 1)
	b.groups[0].slots = target.ConnectionLimit
	return b
}

// newStrictPriority returns a limiter in which all kinds share the slots and one
// queue.
func newStrictPriority(target fleet.Target, kinds []fleet.Kind, _ time.Time) limiter {
	b := newBaseline(kinds, 1)
	b.groups[0].slots = target.Slots
	b.groups[0].maxQueue = baselineQueuePerSlot * target.Slots
	return b
}

// newStaticLimits returns a limiter in which each kind has its own queue and a
// fixed number of slots. The number is proportional to the kind's share, which
// counts as 0.01 if it is lower, but at least 1. Slots that rounding leaves over
// go to the first kind.
func newStaticLimits(target fleet.Target, kinds []fleet.Kind, _ time.Time) limiter {
	b := newBaseline(kinds, len(kinds))
	total := 0.0
	for _, k := range kinds {
		total += max(k.Share, 0.01)
	}
	remaining := target.Slots
	for i, k := range kinds {
		g := &b.groups[i]
		g.slots = max(1, int(float64(target.Slots)*max(k.Share, 0.01)/total))
		remaining -= g.slots
		g.maxQueue = baselineQueuePerSlot * g.slots
		b.byKind[k.Name] = g
	}
	b.groups[0].slots += max(0, remaining)
	return b
}

func newBaseline(kinds []fleet.Kind, groups int) *baseline {
	b := &baseline{
		groups:  make([]baselineGroup, groups),
		byKind:  make(map[fleet.KindName]*baselineGroup),
		urgency: make(map[fleet.KindName]fleet.Urgency),
		running: make(map[fleet.FlowKey]*baselineGroup),
	}
	for _, k := range kinds {
		b.byKind[k.Name] = &b.groups[0]
		b.urgency[k.Name] = k.Urgency
	}
	return b
}

func (b *baseline) TryStart(r admission.Request, _ time.Time) bool {
	g := b.byKind[r.Kind]
	if g == nil || g.inFlight >= g.slots || len(g.queue) > 0 || b.running[r.Flow] != nil {
		return false
	}
	g.inFlight++
	b.running[r.Flow] = g
	return true
}

func (b *baseline) Enqueue(r admission.Request, _ time.Time) ([]admission.Request, error) {
	b.evicted = b.evicted[:0]
	g := b.byKind[r.Kind]
	if g == nil {
		return nil, &admission.RefusalError{Flow: r.Flow, Kind: r.Kind, Cause: admission.CauseUnknownKind}
	}
	// The queue is sorted by urgency, the most urgent first, then by arrival.
	i, _ := slices.BinarySearchFunc(g.queue, b.urgency[r.Kind], func(q admission.Request, u fleet.Urgency) int {
		return cmp.Or(cmp.Compare(b.urgency[q.Kind], u), -1)
	})
	if len(g.queue) >= g.maxQueue {
		if i >= len(g.queue) {
			return nil, &admission.RefusalError{Flow: r.Flow, Kind: r.Kind, Cause: admission.CauseQueueFull}
		}
		b.evicted = append(b.evicted, g.queue[len(g.queue)-1])
		g.queue = g.queue[:len(g.queue)-1]
	}
	g.queue = slices.Insert(g.queue, i, r)
	return b.evicted, nil
}

func (b *baseline) Next(now time.Time) (started, expired []admission.Request) {
	b.started, b.expired = b.started[:0], b.expired[:0]
	for i := range b.groups {
		g := &b.groups[i]
		for g.inFlight < g.slots && len(g.queue) > 0 {
			r := g.queue[0]
			g.queue = slices.Delete(g.queue, 0, 1)
			if !now.Before(r.Deadline) {
				b.expired = append(b.expired, r)
				continue
			}
			g.inFlight++
			b.running[r.Flow] = g
			b.started = append(b.started, r)
		}
	}
	return b.started, b.expired
}

func (b *baseline) Finish(flow fleet.FlowKey, _ admission.Result, _ time.Time) {
	if g := b.running[flow]; g != nil {
		g.inFlight--
		delete(b.running, flow)
	}
}

func (b *baseline) Cancel(flow fleet.FlowKey, now time.Time) bool {
	if b.running[flow] != nil {
		b.Finish(flow, admission.Cancelled, now)
		return true
	}
	for i := range b.groups {
		g := &b.groups[i]
		j := slices.IndexFunc(g.queue, func(r admission.Request) bool { return r.Flow == flow })
		if j >= 0 {
			g.queue = slices.Delete(g.queue, j, j+1)
			return true
		}
	}
	return false
}

func (b *baseline) Adopt(r admission.Request, _ time.Time) {
	if g := b.byKind[r.Kind]; g != nil && b.running[r.Flow] == nil {
		g.inFlight++
		b.running[r.Flow] = g
	}
}

func (b *baseline) Configure(fleet.Target, []fleet.Kind, time.Time) []admission.Request { return nil }
func (b *baseline) Takeover(int, time.Time)                                             {}
func (b *baseline) PressureOf(fleet.KindName) uint8                                     { return 0 }
func (b *baseline) InFlight() int                                                       { return len(b.running) }
func (b *baseline) ReportLoad(int, time.Time)                                           {}
func (b *baseline) Pressure() uint8                                                     { return 0 }
