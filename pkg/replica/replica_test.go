package replica

import (
	"os"
	"strconv"
	"testing"

	"github.com/anishathalye/porcupine"
)

// seeds returns the number of seeds, which REPLICA_SEEDS raises.
func seeds(n int) uint64 {
	if v, err := strconv.Atoi(os.Getenv("REPLICA_SEEDS")); err == nil {
		n = v
	}
	return uint64(n)
}

// Guards against lost or doubled writes, stale reads, diverging replicas and
// a cluster that does not recover, under all faults of the fault model.
func TestLinearizable(t *testing.T) {
	acked := 0
	for seed := range seeds(20) {
		w, res := storm(t, seed, "")
		if res != porcupine.Ok {
			t.Errorf("seed %d: history of %d operations: got %s, want %s", seed, len(w.history), res, porcupine.Ok)
		}
		acked += w.acked
		if t.Failed() {
			return
		}
	}
	t.Logf("%d acknowledged operations", acked)
}

// Guards against a checker that accepts anything: each planted fault must be
// found with some seed.
func TestCheckerFindsPlantedViolation(t *testing.T) {
	for _, plant := range []string{"stale", "twice"} {
		found := 0
		for seed := range uint64(5) {
			if _, res := storm(t, seed, plant); res == porcupine.Illegal {
				found++
			}
		}
		t.Logf("plant %q: found with %d of 5 seeds", plant, found)
		if found == 0 {
			t.Errorf("plant %q: got no violation, want at least one", plant)
		}
	}
}
