package admission

import (
	"cmp"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// edgeSetpoint is the pressure that Edge steers to. It leaves the owner
	// with about twice the work that it can run, so that its queue, which
	// knows more than the edge, still makes the choice.
	edgeSetpoint = 128
	// edgeGain is the change of the cut per second at full pressure, small
	// against the time in which owners report so that the cut is steady.
	edgeGain = 0.5
	// edgeFall is the gain below the setpoint.
	edgeFall = 0.25
	// edgeMostCut is the largest part of a kind that is refused at the edge;
	// owners need the rest to give the kind its floor.
	edgeMostCut = 0.95
	// edgeLife is the time without a signal after which the cut ends.
	edgeLife = 5 * time.Second
	// edgeStep is the least time between two changes of the cut.
	edgeStep = 20 * time.Millisecond
)

type (
	// Edge refuses work for one service at an entry VM that is not its owner,
	// once owners signal that they are overloaded: the least urgent kind
	// first, and the next only where that does not help.
	//
	// Only idempotent kinds are refused, since another entry VM may have
	// passed on an earlier packet of the same request. For the same reason the
	// outcome of such a refusal is Unknown, not NotRun, unless the protocol
	// tells the caller that no request was sent (a reset in reply to a SYN).
	Edge struct {
		kinds []edgeKind // least urgent first
		cut   float64    // number of kinds refused, with a fraction
		peak  uint8      // highest pressure heard since the last change
		heard time.Time
		moved time.Time
	}

	edgeKind struct {
		name fleet.KindName
		owed float64 // fraction of a refusal that is carried over
	}
)

// SetKinds sets the kinds of the service; non-idempotent ones are never
// refused.
func (e *Edge) SetKinds(kinds []fleet.Kind) {
	sorted := slices.Clone(kinds)
	slices.SortStableFunc(sorted, func(a, b fleet.Kind) int { return cmp.Compare(b.Urgency, a.Urgency) })
	e.kinds = e.kinds[:0]
	for _, k := range sorted {
		if k.Idempotent {
			e.kinds = append(e.kinds, edgeKind{name: k.Name})
		}
	}
	e.cut = min(e.cut, float64(len(e.kinds)))
}

// Hear takes the pressure that an owner signalled in a packet header.
func (e *Edge) Hear(pressure uint8, now time.Time) {
	if e.heard.IsZero() {
		e.moved = now
	}
	e.heard = now
	e.peak = max(e.peak, pressure)
	elapsed := now.Sub(e.moved)
	if elapsed < edgeStep {
		return
	}
	elapsed = min(elapsed, time.Second)
	excess := (float64(e.peak) - edgeSetpoint) / (255 - edgeSetpoint)
	gain := edgeGain
	if excess < 0 {
		excess = (float64(e.peak) - edgeSetpoint) / edgeSetpoint
		gain = edgeFall
	}
	e.cut = max(0, min(e.cut+gain*excess*elapsed.Seconds(), float64(len(e.kinds))))
	e.moved = now
	e.peak = 0
}

// Refuse reports whether the start of a request of the kind should be refused
// here. It spreads refusals evenly over requests.
func (e *Edge) Refuse(kind fleet.KindName, now time.Time) bool {
	if e.cut == 0 || now.Sub(e.heard) > edgeLife {
		e.cut = 0
		return false
	}
	for i := range e.kinds {
		k := &e.kinds[i]
		if k.name != kind {
			continue
		}
		k.owed += max(0, min(e.cut-float64(i), edgeMostCut))
		if k.owed < 1 {
			return false
		}
		k.owed--
		return true
	}
	return false
}

// Cut returns the number of kinds refused, with a fraction.
func (e *Edge) Cut() float64 { return e.cut }
