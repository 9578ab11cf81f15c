package load

import (
	"testing"
)

// A workload file that is part of the program must pass its own checks.
func TestEmbeddedWorkloadsAreValid(t *testing.T) {
	names := Names()
	if len(names) != 14 {
		t.Fatalf("got %d workloads, want 14", len(names))
	}
	for _, name := range names {
		if _, err := Load(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
