package load

import (
	"fmt"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Objectives of section 7 of the design page.
const (
	onTimeObjective    = 0.99 // of what a kind gets without a flood
	goodputObjective   = 0.95 // of the capacity of the flooded service
	imbalanceObjective = 1.15
	retryObjective     = 0.10 // of the requests
)

// Miss is an objective that a result does not meet.
type Miss struct {
	Objective string
	Kind      fleet.KindName // where the objective concerns one kind
	Got       float64
	Want      float64
}

// String returns the objective with both figures.
func (m Miss) String() string {
	return fmt.Sprintf("%s %s: got %.4f, want %.4f", m.Objective, m.Kind, m.Got, m.Want)
}

// Misses compares the result of a flood of one kind with the result of the same
// workload without it. At the flooded service a kind that asks for more than
// its share must get the share. Every other kind must get what it gets without
// the flood.
func Misses(flood, quiet *Result, flooding fleet.KindName) []Miss {
	var misses []Miss
	atLeast := func(objective string, kind fleet.KindName, got, want float64) {
		if got < want {
			misses = append(misses, Miss{Objective: objective, Kind: kind, Got: got, Want: want})
		}
	}
	atMost := func(objective string, kind fleet.KindName, got, want float64) {
		if got > want {
			misses = append(misses, Miss{Objective: objective, Kind: kind, Got: got, Want: want})
		}
	}
	source := flood.Kind(flooding)
	if source == nil {
		return []Miss{{Objective: "flooding kind exists", Kind: flooding, Want: 1}}
	}
	service := flood.Service(source.Service)
	atLeast("goodput", "", service.Goodput, goodputObjective)
	atMost("imbalance", "", service.Imbalance, imbalanceObjective)
	atMost("double runs", "", float64(flood.DoubleRuns), 0)
	atMost("refusals that ran", "", float64(flood.RefusalsThatRan), 0)
	for i := range flood.Kinds {
		k := &flood.Kinds[i]
		atMost("retries", k.Kind, float64(k.Retries), retryObjective*float64(k.Offered))
		switch before := quiet.Kind(k.Kind); {
		case k.Kind == flooding || before == nil:
		case k.Service == source.Service && k.OfferedLoad > k.Floor:
			atLeast("floor", k.Kind, k.Goodput, k.Floor)
		default:
			atLeast("on time", k.Kind, k.OnTimeShare, onTimeObjective*before.OnTimeShare)
		}
	}
	return misses
}
