package admission

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// edgeSetpoint is the pressure that Edge regulates to. At this pressure an
	// owner gets about twice as many requests of a kind as its target can run.
	// The owner, which has more information than the edge, thus still selects
	// the requests, and a kind with a share does not fall below its share.
	edgeSetpoint = 128
	// edgeIncreaseGain is the increase of the refused share per second at the
	// highest pressure. The gain is small to keep the refused share from
	// oscillating: the share then changes little between two signals of the
	// owners.
	edgeIncreaseGain = 0.5
	// edgeDecreaseGain is the decrease of the refused share per second at
	// pressure 0.
	edgeDecreaseGain = 0.25
	// edgeMaxRefusedShare is the largest fraction of the requests of a kind
	// that the edge refuses. The other requests reach the owners, so that the
	// owners can still measure the pressure.
	edgeMaxRefusedShare = 0.95
	// edgeSignalTimeout is the time without a pressure signal for a kind after
	// which the edge stops refusing requests of the kind.
	edgeSignalTimeout = 5 * time.Second
	// edgeUpdateInterval is the minimum time between two updates of the refused
	// share.
	edgeUpdateInterval = 20 * time.Millisecond
)

type (
	// Edge refuses requests for one service at an entry VM that does not own
	// the target, once owners signal that they refuse most requests of a kind.
	// Each kind is regulated by its own pressure. Owners refuse the least
	// urgent kind first, so the pressure of that kind rises first and the edge
	// refuses it first as well. A kind that owners accept within its share is
	// never refused because of another kind.
	//
	// Only requests of idempotent kinds are refused, since a refused request may
	// have run: another entry VM may have forwarded an earlier packet of the same
	// request. For the same reason the outcome of such a refusal is Unknown, not
	// NotRun, unless the protocol tells the caller that no request was sent (a
	// reset in reply to a SYN).
	Edge struct {
		kinds []edgeKind
	}

	edgeKind struct {
		name         fleet.KindName
		refusedShare float64 // fraction of the requests that is refused
		remainder    float64 // refusals due but not yet made; below 1 between requests
		peakPressure uint8   // highest pressure signaled since the last update
		signaledAt   time.Time
		updatedAt    time.Time
	}
)

// SetKinds sets the kinds of the service. Kinds that are already known keep
// their state. Requests of kinds that are not idempotent are never refused.
func (e *Edge) SetKinds(kinds []fleet.Kind) {
	previous := e.kinds
	e.kinds = make([]edgeKind, 0, len(kinds))
	for i := range kinds {
		if !kinds[i].Idempotent {
			continue
		}
		k := edgeKind{name: kinds[i].Name}
		for j := range previous {
			if previous[j].name == k.name {
				k = previous[j]
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

// ObservePressure records the pressure of a kind that an owner signaled in the
// header of a packet of that kind.
func (e *Edge) ObservePressure(kind fleet.KindName, pressure uint8, now time.Time) {
	k := e.kind(kind)
	if k == nil {
		return
	}
	if k.signaledAt.IsZero() {
		k.updatedAt = now
	}
	k.signaledAt = now
	k.peakPressure = max(k.peakPressure, pressure)
	elapsed := now.Sub(k.updatedAt)
	if elapsed < edgeUpdateInterval {
		return
	}
	k.updateRefusedShare(min(elapsed, time.Second))
	k.updatedAt = now
	k.peakPressure = 0
}

func (k *edgeKind) updateRefusedShare(elapsed time.Duration) {
	excess := float64(k.peakPressure) - edgeSetpoint
	gain := edgeIncreaseGain / (255 - edgeSetpoint)
	if excess < 0 {
		gain = edgeDecreaseGain / edgeSetpoint
	}
	k.refusedShare = max(0, min(k.refusedShare+gain*excess*elapsed.Seconds(), edgeMaxRefusedShare))
}

// Refuse reports whether a request of the kind that starts now should be
// refused. Refusals are spread evenly over the requests.
func (e *Edge) Refuse(kind fleet.KindName, now time.Time) bool {
	k := e.kind(kind)
	if k == nil || k.refusedShare == 0 {
		return false
	}
	if now.Sub(k.signaledAt) > edgeSignalTimeout {
		k.refusedShare = 0
		return false
	}
	k.remainder += k.refusedShare
	if k.remainder < 1 {
		return false
	}
	k.remainder--
	return true
}

// RefusedShare returns the fraction of the requests of a kind that is refused,
// or 0 if the kind is unknown or not idempotent.
func (e *Edge) RefusedShare(kind fleet.KindName) float64 {
	if k := e.kind(kind); k != nil {
		return k.refusedShare
	}
	return 0
}
