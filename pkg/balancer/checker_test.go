package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// violation describes a broken guarantee of the design. The guarantees are:
//
//  1. A planned change breaks no flow that has been answered.
//  2. A request reaches only targets of its service.
//  3. A caller gets only the answer to its own request.
//  4. A request that is refused as NotRun does not run.
//  5. A non-idempotent request runs at one target only.
//  6. A target runs no new requests later than 3 s after it started to drain.
//  7. A request that ran is answered, unless there is an unplanned fault.
type violation struct {
	guarantee int
	text      string
}

// checkHistory returns the violations of guarantees 1 to 7 in a recorded
// history. Guarantees 1 and 7 do not cover unplanned faults, so they are
// checked only if planned is set.
func checkHistory(log []historyEntry, planned bool) []violation {
	var violations []violation
	add := func(g int, format string, args ...any) {
		violations = append(violations, violation{g, fmt.Sprintf(format, args...)})
	}
	runs, refused := map[string]historyEntry{}, map[string]historyEntry{}
	var excusedUntil time.Time
	unreachableZones := 0
	// excused reports whether a refusal and a run of the same request fall
	// under the one exception that the design allows: a zone that cannot reach
	// the home zone serves an idempotent request that the home zone refuses.
	excused := func(a, b historyEntry) bool {
		return !a.nonIdempotent && a.zone != b.zone && (unreachableZones > 0 || !a.at.After(excusedUntil) || !b.at.After(excusedUntil))
	}
	draining := map[fleet.TargetID]time.Time{}
	for _, e := range log {
		switch e.event {
		case "Forward":
			if e.service != e.target.Service {
				add(2, "%s of %s reached %s", e.request, e.service, e.target)
			}
		case "Run":
			if since, ok := draining[e.target]; ok && e.at.Sub(since) > 3*time.Second {
				add(6, "%s ran at %s, %s after it started to drain", e.request, e.target, e.at.Sub(since))
			}
			if first, ok := runs[e.request]; ok && e.nonIdempotent && first.target != e.target {
				add(5, "%s ran at %s and %s", e.request, first.target, e.target)
			}
			if r, ok := refused[e.request]; ok && !excused(r, e) {
				add(4, "%s was refused and ran at %s", e.request, e.target)
			}
			runs[e.request] = e
		case "Cut":
			unreachableZones++
		case "Heal":
			// The exception lasts 4 s longer than the cut, since views are
			// updated within 1 s and late duplicates arrive within the retention
			// time of short requests.
			unreachableZones, excusedUntil = unreachableZones-1, e.at.Add(4*time.Second)
		case "Refused":
			if r, ok := runs[e.request]; ok && !excused(e, r) {
				add(4, "%s ran and was refused: %s", e.request, e.detail)
			}
			refused[e.request] = e
		case "Drain":
			draining[e.target] = e.at
		case "Answer":
			if e.request != e.detail {
				add(3, "%s got the answer to %s", e.request, e.detail)
			}
		case "Broken":
			if planned {
				add(1, "%s: %s", e.request, e.detail)
			}
		case "Failed":
			if _, ok := runs[e.request]; ok && planned {
				add(7, "%s ran and was never answered", e.request)
			}
		}
	}
	return violations
}

// Guards against a checker that misses a violation.
func TestCheckerFindsPlantedViolations(t *testing.T) {
	a := fleet.TargetID{Service: "S", Incarnation: 1}
	b := fleet.TargetID{Service: "S", Incarnation: 2}
	start := time.Unix(0, 0)
	tests := map[int][]historyEntry{
		1: {{event: "Broken", request: "r"}},
		2: {{event: "Forward", request: "r", service: "other", target: a}},
		3: {{event: "Answer", request: "r", detail: "q"}},
		4: {{event: "Refused", request: "r"}, {event: "Run", request: "r", target: a}},
		5: {{event: "Run", request: "r", target: a, nonIdempotent: true}, {event: "Run", request: "r", target: b, nonIdempotent: true}},
		6: {{event: "Drain", target: a, at: start}, {event: "Run", request: "r", target: a, at: start.Add(4 * time.Second)}},
		7: {{event: "Run", request: "r", target: a}, {event: "Failed", request: "r"}},
	}
	for want, log := range tests {
		got := checkHistory(log, true)
		if len(got) != 1 || got[0].guarantee != want {
			t.Errorf("guarantee %d: got %v, want one violation of it", want, got)
		}
	}
	late := []historyEntry{{event: "Run", request: "r", target: a}, {event: "Refused", request: "r"}}
	if got := checkHistory(late, true); len(got) != 1 || got[0].guarantee != 4 {
		t.Errorf("refusal after a run: got %v, want a violation of guarantee 4", got)
	}
}

// reportViolations fails the test if there are violations, and reports the first
// ten.
func reportViolations(t testing.TB, s *sim, planned bool) {
	t.Helper()
	for i, v := range checkHistory(s.history, planned) {
		if i == 10 {
			t.Errorf("further violations omitted")
			break
		}
		t.Errorf("guarantee %d: %s", v.guarantee, v.text)
	}
}

// count returns the number of history entries with the given event and a
// request id that starts with prefix.
func (s *sim) count(event, prefix string) int {
	n := 0
	for _, e := range s.history {
		if e.event == event && strings.HasPrefix(e.request, prefix) {
			n++
		}
	}
	return n
}
