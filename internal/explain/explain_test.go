package explain

import (
	"errors"
	"strings"
	"testing"
)

const testLogs = `some text
 12.5 front-1 {"Level":"info","Time":"2026-01-02T03:04:05.100Z","Message":"opening packet forwarded","VM":"e1","Flow":"aa","Caller":"100.64.0.1:5000","Target":"s@10.0.0.1:80#1","Cause":"Opened","Copy":0,"LeftOut":0}
{"Level":"info","Time":"2026-01-02T03:04:05.300Z","Message":"opening packet forwarded","VM":"e1","Flow":"aa","Caller":"100.64.0.1:5000","Target":"s@10.0.0.2:80#2","Former":"s@10.0.0.1:80#1","Cause":"Copy","Copy":1,"LeftOut":3}
{"Level":"info","Time":"2026-01-02T03:04:05.301Z","Message":"target in doubt","VM":"e1","Target":"s@10.0.0.1:80#1"}
{"Level":"info","Time":"2026-01-02T03:04:05.000Z","Message":"target changed","VM":"h1","Target":"s@10.0.0.1:80#1","Cause":"Silent"}
{"Level":"info","Time":"2026-01-02T03:04:05.000Z","Message":"target changed","VM":"h1","Target":"s@10.0.0.9:80#9","Cause":"Silent"}
{"Level":"info","Time":"2026-01-02T03:04:05.200Z","Message":"catalog in force","VM":"e1","Number":5}
{"Level":"info","Time":"2026-01-02T03:04:05.200Z","Message":"catalog in force","VM":"e2","Number":5}
{"Level":"info","Time":"2026-01-02T03:03:05.200Z","Message":"catalog in force","VM":"e1","Number":4}
{"Level":"info","Time":"2026-01-02T03:04:05.150Z","Message":"opening packet forwarded","VM":"e1","Flow":"bb","Target":"s@10.0.0.1:80#1","Copy":0,"LeftOut":0}
{"Level":"info","Time":"2026-01-02T03:04:06.000Z","Message":"packet dropped","VM":"e2","Flow":"cc","Cause":"UnknownCookie","LeftOut":0}
{"Level":"info","broken
`

// Guards against a history that lacks gaps or lines about the targets or
// processes of the flow, and against a history with lines about other flows,
// targets or processes.
func TestSelectFlow(t *testing.T) {
	var lines []Line
	skipped, err := Read(strings.NewReader(testLogs), func(l Line) { lines = append(lines, l) })
	if err != nil || skipped != 2 || len(lines) != 10 {
		t.Fatalf("got %d lines and %d skipped, %v, want 10 and 2", len(lines), skipped, err)
	}
	for _, id := range []string{"aa", "100.64.0.1:5000"} {
		h, err := SelectFlow(lines, id)
		if err != nil {
			t.Fatal(err)
		}
		var b strings.Builder
		if err := h.Print(&b, id); err != nil {
			t.Fatal(err)
		}
		got := b.String()
		want := []string{
			"  -0.100s h1                   target changed Cause=Silent Target=s@10.0.0.1:80#1",
			"  +0.000s e1                   opening packet forwarded",
			"  +0.100s e1                   catalog in force Number=5",
			"  +0.200s e1                   opening packet forwarded",
			"  +0.201s e1                   target in doubt",
			`gap: e1 left out 3 lines "opening packet forwarded" before 03:04:05.300`,
		}
		offset := 0
		for _, w := range want {
			i := strings.Index(got[offset:], w)
			if i < 0 {
				t.Fatalf("%s: got\n%s\nwant %q after byte %d", id, got, w, offset)
			}
			offset += i
		}
		if n := strings.Count(got, "\n"); n != 7 {
			t.Errorf("%s: got %d lines, want 7:\n%s", id, n, got)
		}
	}
	h, err := SelectFlow(lines, "cc")
	if err != nil || len(h.Gaps) != 1 {
		t.Errorf("flow without an opening packet: got %+v, %v, want one gap", h, err)
	}
	var want *NoFlowError
	if _, err := SelectFlow(lines, "none"); !errors.As(err, &want) {
		t.Errorf("unknown flow: got %v, want a NoFlowError", err)
	}
}
