package load

import (
	"fmt"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Objectives of docs/design.md, section 7. The first two are lower limits,
// the others are upper limits.
const (
	onTimeObjective    = 0.99 // of a kind's on-time share without the flood
	goodputObjective   = 0.95 // of the flooded service's capacity
	imbalanceObjective = 1.15
	retryObjective     = 0.10 // retries per request offered
)

// MissedObjective is an objective that a result does not meet.
type MissedObjective struct {
	Objective string
	Kind      fleet.KindName // empty if the objective is not about one kind
	Got       float64
	Want      float64
}

// String returns the objective with the measured and the required value.
func (m MissedObjective) String() string {
	return fmt.Sprintf("%s %s: got %.4f, want %.4f", m.Objective, m.Kind, m.Got, m.Want)
}

// MissedObjectives compares the result of a flood of one kind with the result
// of the same workload without the flood, and returns the missed objectives.
//
// The flooded service has objectives for goodput and imbalance, the run for
// double runs and refusals that ran, and each kind for retries. Each kind other
// than the flooding one that is also in the result without the flood has one
// more objective. If it is a kind of the flooded service and offers more load
// than its share, its goodput must be at least the share. Otherwise the fraction
// of its requests answered on time must be at least onTimeObjective times the
// fraction without the flood.
func MissedObjectives(flood, steady *Result, flooding fleet.KindName) []MissedObjective {
	var misses []MissedObjective
	atLeast := func(objective string, kind fleet.KindName, got, want float64) {
		if got < want {
			misses = append(misses, MissedObjective{Objective: objective, Kind: kind, Got: got, Want: want})
		}
	}
	atMost := func(objective string, kind fleet.KindName, got, want float64) {
		if got > want {
			misses = append(misses, MissedObjective{Objective: objective, Kind: kind, Got: got, Want: want})
		}
	}
	flooded := flood.Kind(flooding)
	if flooded == nil {
		return []MissedObjective{{Objective: "flooding kind exists", Kind: flooding, Want: 1}}
	}
	service := flood.Service(flooded.Service)
	atLeast("goodput", "", service.Goodput, goodputObjective)
	atMost("imbalance", "", service.Imbalance, imbalanceObjective)
	atMost("double runs", "", float64(flood.DoubleRuns), 0)
	atMost("refusals that ran", "", float64(flood.RefusalsThatRan), 0)
	for i := range flood.Kinds {
		k := &flood.Kinds[i]
		atMost("retries", k.Kind, float64(k.Retries), retryObjective*float64(k.Offered))
		switch before := steady.Kind(k.Kind); {
		case k.Kind == flooding || before == nil:
		case k.Service == flooded.Service && k.OfferedLoad > k.Floor:
			atLeast("floor", k.Kind, k.Goodput, k.Floor)
		default:
			atLeast("on time", k.Kind, k.OnTimeShare, onTimeObjective*before.OnTimeShare)
		}
	}
	return misses
}
