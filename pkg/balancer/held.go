package balancer

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// heldPackets holds copies of start packets that cannot be forwarded yet.
	// byEntry holds the packets of flows in state Queued. undecided holds the
	// packets of non-idempotent requests that this VM may not decide about yet.
	// Both count against the same limits.
	heldPackets struct {
		byEntry        map[uint32]heldPacket
		undecided      []heldPacket
		undecidedFlows map[fleet.FlowHash]bool // flows in undecided
		bytes          int
		maxPackets     int
		maxBytes       int
		// changed is set if the view changed since the last Tick.
		changed bool
		retries []retryTime
	}

	heldPacket struct {
		packet   Packet
		deadline time.Time
	}

	retryTime struct {
		entry uint32
		due   time.Time
	}
)

func newHeldPackets(maxPackets, maxBytes int) heldPackets {
	return heldPackets{
		byEntry:        make(map[uint32]heldPacket),
		undecidedFlows: make(map[fleet.FlowHash]bool),
		maxPackets:     maxPackets,
		maxBytes:       maxBytes,
	}
}

func (h *heldPackets) len() int { return len(h.byEntry) + len(h.undecided) }

func (h *heldPackets) fits(n int) bool { return h.len() < h.maxPackets && h.bytes+n <= h.maxBytes }

// put stores a copy of the packet for an entry.
func (h *heldPackets) put(i uint32, p *Packet) {
	h.byEntry[i] = heldPacket{packet: copyPacket(p)}
	h.bytes += len(p.Payload)
}

// take removes and returns the packet of an entry.
func (h *heldPackets) take(i uint32) Packet {
	p := h.byEntry[i].packet
	delete(h.byEntry, i)
	h.bytes -= len(p.Payload)
	return p
}

func (h *heldPackets) retryAt(i uint32, due time.Time) {
	h.retries = append(h.retries, retryTime{entry: i, due: due})
}

func copyPacket(p *Packet) Packet {
	c := *p
	c.Source, c.Start, c.End = FromFabric, true, NoEnd
	c.Header = PassHeader{Hops: p.Header.Hops}
	c.Payload = slices.Clone(p.Payload)
	return c
}

// holdStart stores a non-idempotent start packet until this VM may decide
// about the flow.
func (b *Balancer) holdStart(p *Packet, l *fleet.Listener, now time.Time, out []Action) []Action {
	h := &b.held
	if h.undecidedFlows[p.hash] {
		return b.drop(p, CauseQueued, out)
	}
	if !h.fits(len(p.Payload)) {
		return b.drop(p, CauseHeldFull, out)
	}
	h.undecidedFlows[p.hash] = true
	h.bytes += len(p.Payload)
	h.undecided = append(h.undecided, heldPacket{packet: copyPacket(p), deadline: now.Add(l.Kind.Deadline)})
	return out
}

// releaseHeld routes the held packets that may be decided now, drops those
// whose deadline has passed, and starts the retries that are due.
func (b *Balancer) releaseHeld(now time.Time, out []Action) []Action {
	out = b.releaseRetries(now, out)
	h := &b.held
	if len(h.undecided) == 0 {
		return out
	}
	waiting := h.undecided
	h.undecided = nil
	for i := range waiting {
		w := &waiting[i]
		switch {
		case !now.Before(w.deadline):
			b.removeUndecided(&w.packet)
			out = b.drop(&w.packet, CauseUnsealed, out)
		case b.mayRelease(&w.packet, now):
			b.removeUndecided(&w.packet)
			out = b.route(&w.packet, now, out)
		default:
			h.undecided = append(h.undecided, *w)
		}
	}
	return out
}

func (b *Balancer) removeUndecided(p *Packet) {
	delete(b.held.undecidedFlows, p.hash)
	b.held.bytes -= len(p.Payload)
}

// mayRelease reports whether a held packet can be routed, because this VM may
// decide about the flow now or no longer has to decide about it.
func (b *Balancer) mayRelease(p *Packet, now time.Time) bool {
	l := b.view.Listener(p.Flow.VIP, p.Flow.Protocol)
	if l == nil {
		return true
	}
	if i := b.find(p); i != noEntry && !b.flows.entries[i].isReturnedOrMoved() {
		return true
	}
	r := b.cfg.Strategy.Route(b.placement, l.Service, p.hash)
	return r.Decider != b.self || b.mayDecide(l.Service, p.hash, r, now)
}

func (b *Balancer) releaseRetries(now time.Time, out []Action) []Action {
	h := &b.held
	if len(h.retries) == 0 {
		return out
	}
	waiting := h.retries
	h.retries = nil
	for _, r := range waiting {
		e := &b.flows.entries[r.entry]
		_, hasPacket := h.byEntry[r.entry]
		switch {
		case e.state != stateQueued || e.flags&flagRetried == 0 || !hasPacket:
		case now.Before(r.due):
			h.retries = append(h.retries, r)
		default:
			out = b.retry(r.entry, now, out)
		}
	}
	return out
}

// moveQueued routes queued requests again if their owner or first candidate
// changed with the view (see mustMove). None of them has run.
func (b *Balancer) moveQueued(now time.Time, out []Action) []Action {
	if !b.held.changed {
		return out
	}
	b.held.changed = false
	moved := make([]uint32, 0, len(b.held.byEntry))
	for i := range b.held.byEntry {
		if b.mustMove(&b.flows.entries[i]) {
			moved = append(moved, i)
		}
	}
	// Map order is random; runs with a fixed seed must be reproducible.
	slices.Sort(moved)
	for _, i := range moved {
		e := &b.flows.entries[i]
		key, hash := b.keyOf(e), e.hash
		if lim := b.dests.all[e.dest].limiter; lim != nil {
			lim.Cancel(key, now)
		}
		p := b.held.take(i)
		p.Flow, p.hash = key, hash
		retrying := e.flags&flagRetried != 0
		nonIdempotent := !b.listeners.all[e.listener].Kind.Idempotent
		b.transition(e, eventCancel)
		b.removeFlow(i, admission.Cancelled, now)
		if retrying && nonIdempotent {
			// A target received the request already; do not forward it to another.
			out = b.drop(&p, CauseShed, out)
			continue
		}
		out = b.routeUnknown(&p, now, out)
	}
	return out
}

// mustMove reports whether the entry's destination is no longer owned by this
// VM or no longer the flow's first candidate.
func (b *Balancer) mustMove(e *flowEntry) bool {
	d := &b.dests.all[e.dest]
	if !d.owned {
		return true
	}
	r := b.cfg.Strategy.Route(b.placement, b.listeners.all[e.listener].Service, e.hash)
	return r.First.Key != d.key
}
