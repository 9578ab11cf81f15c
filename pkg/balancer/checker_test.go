package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// violation is a breach of one of the guarantees of section 1 of the design
// page.
type violation struct {
	guarantee int
	text      string
}

// checkHistory looks for breaches of the guarantees 1 to 7 in a recorded
// history. Guarantees 1 and 7 promise nothing about unplanned faults, so they
// are checked only where planned is set.
func checkHistory(log []entry, planned bool) []violation {
	var found []violation
	add := func(g int, format string, args ...any) {
		found = append(found, violation{g, fmt.Sprintf(format, args...)})
	}
	runs, refused := map[string]entry{}, map[string]entry{}
	var cutUntil time.Time
	cuts := 0
	// excused reports the one case that the design allows: a zone that can't
	// reach the home zone serves an idempotent request, which the home zone
	// refuses.
	excused := func(a, b entry) bool {
		return !a.once && a.zone != b.zone && (cuts > 0 || !a.at.After(cutUntil) || !b.at.After(cutUntil))
	}
	draining := map[fleet.TargetID]time.Time{}
	for _, e := range log {
		switch e.what {
		case "Forward":
			if e.service != e.target.Service {
				add(2, "%s of %s reached %s", e.request, e.service, e.target)
			}
		case "Run":
			if since, ok := draining[e.target]; ok && e.at.Sub(since) > 3*time.Second {
				add(6, "%s ran at %s, %s after it started to drain", e.request, e.target, e.at.Sub(since))
			}
			if first, ok := runs[e.request]; ok && e.once && first.target != e.target {
				add(5, "%s ran at %s and %s", e.request, first.target, e.target)
			}
			if r, ok := refused[e.request]; ok && !excused(r, e) {
				add(4, "%s was refused and ran at %s", e.request, e.target)
			}
			runs[e.request] = e
		case "Cut":
			cuts++
		case "Heal":
			// Views follow within 1 s, and late duplicates within the retention.
			cuts, cutUntil = cuts-1, e.at.Add(4*time.Second)
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
	return found
}

// Guards against a checker that overlooks the breach it is there for.
func TestCheckerFindsPlantedViolations(t *testing.T) {
	a := fleet.TargetID{Service: "S", Incarnation: 1}
	b := fleet.TargetID{Service: "S", Incarnation: 2}
	start := time.Unix(0, 0)
	tests := map[int][]entry{
		1: {{what: "Broken", request: "r"}},
		2: {{what: "Forward", request: "r", service: "other", target: a}},
		3: {{what: "Answer", request: "r", detail: "q"}},
		4: {{what: "Refused", request: "r"}, {what: "Run", request: "r", target: a}},
		5: {{what: "Run", request: "r", target: a, once: true}, {what: "Run", request: "r", target: b, once: true}},
		6: {{what: "Drain", target: a, at: start}, {what: "Run", request: "r", target: a, at: start.Add(4 * time.Second)}},
		7: {{what: "Run", request: "r", target: a}, {what: "Failed", request: "r"}},
	}
	for want, log := range tests {
		got := checkHistory(log, true)
		if len(got) != 1 || got[0].guarantee != want {
			t.Errorf("guarantee %d: got %v, want one breach of it", want, got)
		}
	}
	late := []entry{{what: "Run", request: "r", target: a}, {what: "Refused", request: "r"}}
	if got := checkHistory(late, true); len(got) != 1 || got[0].guarantee != 4 {
		t.Errorf("refusal after a run: got %v, want a breach of guarantee 4", got)
	}
}

// report fails the test for each breach.
func report(t testing.TB, s *sim, planned bool) {
	t.Helper()
	for i, v := range checkHistory(s.log, planned) {
		if i == 10 {
			t.Errorf("and more")
			break
		}
		t.Errorf("guarantee %d: %s", v.guarantee, v.text)
	}
}

// count returns the number of entries of a kind whose request has the prefix.
func (s *sim) count(what, prefix string) int {
	n := 0
	for _, e := range s.log {
		if e.what == what && strings.HasPrefix(e.request, prefix) {
			n++
		}
	}
	return n
}
