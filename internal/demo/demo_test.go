package demo

import (
	"errors"
	"io"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against failures of the checks of checkGuarantees, and against responses
// to fewer than 9 of 10 requests of a kind. In the run, an entry VM stops, another
// one crashes, the leader of the control VMs stops, the settings change and a
// target drains.
func TestDemo(t *testing.T) {
	var out strings.Builder
	report, err := Run(t.Context(), Options{Traffic: 10 * time.Second, Lookups: 15, Orders: 8, TCPOrders: 5, Sheets: 3, Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	if report.Failed() {
		t.Error(out.String())
	}
	for _, k := range report.Kinds {
		if done := k.Requests - k.Refused - k.Broken; done*10 < k.Requests*9 {
			t.Errorf("%s: got %d of %d responses, want 9 of 10", k.Kind, done, k.Requests)
		}
	}
}

// Guards against checks that miss a violation. Each case records one violation,
// or something that is not a violation (want -1).
func TestChecks(t *testing.T) {
	start := time.Unix(1000, 0)
	caller := netip.MustParseAddrPort("198.19.0.1:1")
	refused := error(syscall.ECONNREFUSED)
	timeout := errors.New("timeout")
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, tt := range []struct {
		name    string
		want    int // Check.Guarantee of the check that must fail; -1 for none
		result  result
		record  func(*auditLog)
		drained *target
		config  []string
	}{
		{name: "nothing", want: -1, result: result{kind: kindOrder}, record: func(l *auditLog) { l.recordRun("x") }},
		{name: "broken sheet", want: 1, result: result{kind: kindSheet, begin: at(20), end: at(60), err: timeout}},
		{name: "other service", want: 2, record: func(l *auditLog) { l.recordWrongService("x", "a/b") }},
		{name: "other response", want: 3, result: result{kind: kindLookup, err: &mismatchError{got: "a", want: "b"}}},
		{name: "refused and ran", want: 4, result: result{kind: kindOrder, err: refused}, record: func(l *auditLog) { l.recordRun("x") }},
		{name: "refused", want: -1, result: result{kind: kindOrder, err: refused}},
		{name: "ran twice", want: 5, result: result{kind: kindOrder}, record: func(l *auditLog) { l.recordRun("x"); l.recordRun("x") }},
		{name: "two targets", want: 5, result: result{kind: kindTCP}, record: func(l *auditLog) { l.recordTarget(caller, &target{}); l.recordTarget(caller, &target{}) }},
		{name: "lookup ran twice", want: -1, result: result{kind: kindLookup}, record: func(l *auditLog) { l.recordRun("x"); l.recordRun("x") }},
		{name: "new flow while draining", want: 6, drained: &target{drainedAt: at(10), lastNewFlow: at(14)}},
		{name: "new flow before draining", want: -1, drained: &target{drainedAt: at(10), lastNewFlow: at(9)}},
		{name: "settings late", want: 8, config: []string{"revision 2 was not in force"}},
		{name: "planned stop", want: 7, result: result{kind: kindOrder, begin: at(3), end: at(8), err: timeout}},
		{name: "sheet in a crash", want: 0, result: result{kind: kindSheet, begin: at(1), end: at(21), err: timeout}},
		{name: "lookup after a crash", want: 1, result: result{kind: kindLookup, begin: at(16), end: at(21), err: timeout}},
		{name: "order in a crash", want: -1, result: result{kind: kindOrder, begin: at(11), end: at(16), err: timeout}},
	} {
		d := &Demo{audit: newAuditLog(), drainedTarget: tt.drained, configFailures: tt.config}
		d.events = []event{{at(3), "planned stop", ""}, {at(5), "stopped", ""}, {at(10), "crash", ""}, {at(30), "drain", ""}, {at(31), "settings", ""}}
		tt.result.id, tt.result.caller = "x", caller
		if tt.result.begin.IsZero() {
			tt.result.begin, tt.result.end = at(1), at(1)
		}
		d.results = []result{tt.result}
		if tt.record != nil {
			tt.record(d.audit)
		}
		report := d.report()
		for _, c := range report.Checks {
			if failed := len(c.Failures) > 0; failed != (c.Guarantee == tt.want) {
				t.Errorf("%s: guarantee %d: got failures %q, want a failure of %d only", tt.name, c.Guarantee, c.Failures, tt.want)
			}
		}
		report.print(io.Discard)
	}
}

// Guards against a run that passes although none of its planned events occurred.
func TestMissingEvent(t *testing.T) {
	d := &Demo{audit: newAuditLog()}
	if !d.report().Failed() {
		t.Error("got a passed report without any event, want a failure")
	}
}
