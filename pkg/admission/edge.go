package admission

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// edgeSetpoint is the pressure that Edge steers to. It leaves the owner
	// with about twice the work of a kind that it can run, so that its queue,
	// which knows more than the edge, still makes the choice, and a kind with
	// a share does not fall below it.
	edgeSetpoint = 128
	// edgeGain is the change of the cut per second at full pressure, small
	// against the time in which owners report so that the cut is steady.
	edgeGain = 0.5
	// edgeFall is the gain below the setpoint.
	edgeFall = 0.25
	// edgeMostCut is the largest part of a kind that is refused at the edge.
	// The rest keeps the owners' pressure measured.
	edgeMostCut = 0.95
	// edgeLife is the time without a signal after which the cut ends.
	edgeLife = 5 * time.Second
	// edgeStep is the least time between two changes of the cut.
	edgeStep = 20 * time.Millisecond
)

type (
	// Edge refuses work for one service at an entry VM that is not its owner,
	// once owners signal that they refuse most of a kind. Each kind is steered
	// by its own pressure: owners refuse the least urgent kind first, and so
	// does the edge, while a kind that owners accept within its share is never
	// refused here because of another kind.
	//
	// Only idempotent kinds are refused, since another entry VM may have
	// passed on an earlier packet of the same request. For the same reason the
	// outcome of such a refusal is Unknown, not NotRun, unless the protocol
	// tells the caller that no request was sent (a reset in reply to a SYN).
	Edge struct {
		kinds []edgeKind
	}

	edgeKind struct {
		name  fleet.KindName
		cut   float64 // part of the kind that is refused
		owed  float64 // fraction of a refusal that is carried over
		peak  uint8   // highest pressure heard since the last change
		heard time.Time
		moved time.Time
	}
)

// SetKinds sets the kinds of the service; non-idempotent ones are never
// refused.
func (e *Edge) SetKinds(kinds []fleet.Kind) {
	before := e.kinds
	e.kinds = make([]edgeKind, 0, len(kinds))
	for i := range kinds {
		if !kinds[i].Idempotent {
			continue
		}
		k := edgeKind{name: kinds[i].Name}
		for j := range before {
			if before[j].name == k.name {
				k = before[j]
			}
		}
		e.kinds = append(e.kinds, k)
	}
}

func (e *Edge) kind(name fleet.KindName) *edgeKind {
	for i := range e.kinds {
		if e.kinds[i].name == name {
			return &e.kinds[i]
		}
	}
	return nil
}

// Hear takes the pressure of a kind that an owner signalled in the header of
// a packet of that kind.
func (e *Edge) Hear(kind fleet.KindName, pressure uint8, now time.Time) {
	k := e.kind(kind)
	if k == nil {
		return
	}
	if k.heard.IsZero() {
		k.moved = now
	}
	k.heard = now
	k.peak = max(k.peak, pressure)
	elapsed := now.Sub(k.moved)
	if elapsed < edgeStep {
		return
	}
	k.steer(min(elapsed, time.Second))
	k.moved = now
	k.peak = 0
}

func (k *edgeKind) steer(elapsed time.Duration) {
	excess := float64(k.peak) - edgeSetpoint
	gain := edgeGain / (255 - edgeSetpoint)
	if excess < 0 {
		gain = edgeFall / edgeSetpoint
	}
	k.cut = max(0, min(k.cut+gain*excess*elapsed.Seconds(), edgeMostCut))
}

// Refuse reports whether the start of a request of the kind should be refused
// here. It spreads refusals evenly over requests.
func (e *Edge) Refuse(kind fleet.KindName, now time.Time) bool {
	k := e.kind(kind)
	if k == nil || k.cut == 0 {
		return false
	}
	if now.Sub(k.heard) > edgeLife {
		k.cut = 0
		return false
	}
	k.owed += k.cut
	if k.owed < 1 {
		return false
	}
	k.owed--
	return true
}

// Cut returns the part of a kind that is refused.
func (e *Edge) Cut(kind fleet.KindName) float64 {
	if k := e.kind(kind); k != nil {
		return k.cut
	}
	return 0
}
