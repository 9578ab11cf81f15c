package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

func serveJSON(t *testing.T, v any) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(v); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a status that omits an unreachable VM, or that shows targets
// from the view of a VM with an older epoch.
func TestStatusCommand(t *testing.T) {
	target := func(state fleet.TargetState) []entry.TargetStatus {
		return []entry.TargetStatus{{ID: fleet.TargetID{Service: "Lutto/Counter"}, State: state, Owner: "monza-1"}}
	}
	at := time.Unix(1000, 0)
	newer := entry.Status{ID: "monza-1", Zone: "Monza", Epoch: 8, Revision: 4, RevisionAt: at.Add(30 * time.Millisecond), Targets: target(fleet.TargetDraining), Zones: []entry.ZoneStatus{{ID: "Lecco"}}}
	older := entry.Status{ID: "monza-2", Zone: "Monza", Epoch: 7, Revision: 4, RevisionAt: at, Targets: target(fleet.TargetReady)}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	var out strings.Builder
	c := StatusCommand{
		VMs:     []string{serveJSON(t, older), serveJSON(t, newer), gone.URL},
		Servers: []string{serveJSON(t, control.Status{ID: "control-1", Role: "Leader"})},
		Timeout: 5 * time.Second, Out: output{&out},
	}
	var ue *UnreachableError
	if err := c.Run(context.Background()); !errors.As(err, &ue) || ue.Count != 1 {
		t.Errorf("got %v, want an UnreachableError for one VM", err)
	}
	for _, want := range []string{"UNREACHABLE", gone.URL, "control-1", "Leader", "monza-1", "Draining", "Lecco", "in force at 2 of 2 entry VMs", "30ms"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %q, want it to contain %q", out.String(), want)
		}
	}
	if strings.Contains(out.String(), string(fleet.TargetReady)) {
		t.Errorf("got %q, want the state of the newest view only", out.String())
	}
}
