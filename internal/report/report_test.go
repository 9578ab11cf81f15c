package report

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const testLogs = `  12.1 vm-1 {"Level":"info","Time":"2026-08-18T00:20:10.1Z","Message":"entry VM started","VM":"vm-1"}
{"Level":"info","Time":"2026-08-18T00:20:11.2Z","Message":"opening packet forwarded","VM":"vm-1","Flow":"aa","Caller":"100.64.0.5:1","Cause":"Opened","Target":"s@10.0.0.1:80#1","LeftOut":4,"Copy":0}
{"Level":"info","Time":"2026-08-18T00:20:11.4Z","Message":"opening packet forwarded","VM":"vm-1","Flow":"aa","Caller":"100.64.0.5:1","Cause":"Copy","Target":"s@10.0.0.2:80#2","Former":"s@10.0.0.1:80#1","Copy":1}
{"Level":"info","Time":"2026-08-18T00:20:11.5Z","Message":"target changed","VM":"hub-1","Target":"s@10.0.0.1:80#1","Cause":"Silent"}
{"Level":"info","Time":"2026-08-18T00:20:11.6Z","Message":"target changed","VM":"hub-2","Target":"s@10.0.0.1:80#1","Cause":"Silent"}
{"Level":"warn","Time":"2026-08-18T00:20:12.0Z","Message":"flow reset","VM":"vm-1","Flow":"bb","Cause":"NoRoute"}
{"Level":"info","Time":"2026-08-18T00:20:12.5Z","Message":"catalog in force","VM":"vm-1","Number":7}
{"Level":"info","Time":"2026-08-18T00:20:13.9Z","Message":"flow ended later than its objective","VM":"vm-1","Flow":"aa","Caller":"100.64.0.5:1","Target":"s@10.0.0.2:80#2","After":"1.7s"}
{"Level":"info","Time":"2026-08-18T00:20:14.9Z","Message":"flow not opened by any target","VM":"vm-1","Flow":"<b>","After":0.9}
`

func writeLogs(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "vm.log")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against counts that miss lines left out, against one change of a target that
// counts once for each hub, and against slow flows without their history.
func TestPage(t *testing.T) {
	page, err := makePage([]string{writeLogs(t, testLogs+"no log line\n")}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if page.Lines != 9 || page.Skipped != 1 || page.VMs != 3 {
		t.Errorf("got %d lines, %d skipped and %d VMs, want 9, 1 and 3", page.Lines, page.Skipped, page.VMs)
	}
	var events []string
	for _, row := range page.Events {
		events = append(events, row.Text...)
	}
	if got, want := strings.Join(events, "; "), "entry VM started; target Silent"; got != want {
		t.Errorf("events: got %q, want %q", got, want)
	}
	if len(page.Flows) != 2 || page.Flows[0].ID != "aa" || page.Flows[0].After != 1700*time.Millisecond || page.Flows[1].After != 900*time.Millisecond {
		t.Fatalf("slow flows: got %+v, want aa and then the one that was not opened", page.Flows)
	}
	for _, want := range []string{"target changed Cause=Silent", "Former=s@10.0.0.1:80#1", "left out 4 lines"} {
		if !strings.Contains(page.Flows[0].History, want) {
			t.Errorf("history: got %q, want it to contain %q", page.Flows[0].History, want)
		}
	}
	var b bytes.Buffer
	if err := page.Write(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "Opening packets a second", "reset: NoRoute", "&lt;b&gt;"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("page: does not contain %q", want)
		}
	}
	if strings.Contains(b.String(), "<b>") || strings.Contains(b.String(), "http://") || strings.Contains(b.String(), "https://") {
		t.Error("page: contains text of a log line as markup, or refers to another page")
	}
}

// Guards against a page without content, and against faults without their file.
func TestFaults(t *testing.T) {
	var empty *EmptyError
	if _, err := makePage([]string{writeLogs(t, "nothing\n")}, io.Discard); !errors.As(err, &empty) || empty.Skipped != 1 {
		t.Errorf("without log lines: got %v, want an EmptyError", err)
	}
	var unreadable *ReadError
	if _, err := makePage([]string{filepath.Join(t.TempDir(), "none")}, io.Discard); !errors.As(err, &unreadable) {
		t.Errorf("missing file: got %v, want a ReadError", err)
	}
	if _, err := readMetrics(writeLogs(t, "bad{ 1\n")); !errors.As(err, &unreadable) {
		t.Errorf("damaged metrics: got %v, want a ReadError", err)
	}
	rows, err := readMetrics(writeLogs(t, "flows{kind=\"a\"} 2\nflows{kind=\"b\"} 3\n"))
	if err != nil || len(rows) != 1 || rows[0].Value != "5" {
		t.Errorf("metrics: got %+v and %v, want one row with 5", rows, err)
	}
}

// Guards against memory that grows with the number of slow flows.
func TestSlowFlowsAreBounded(t *testing.T) {
	var b strings.Builder
	for i := range 5000 {
		at := time.Date(2026, 8, 18, 0, 0, i%60, 0, time.UTC).Format(time.RFC3339Nano)
		b.WriteString(`{"Time":"` + at + `","Message":"flow not opened by any target","VM":"v","Flow":"f` + time.Duration(i).String() + `","After":"` + time.Duration(i*1000).String() + "\"}\n")
	}
	var c Collector
	if _, err := readAll([]string{writeLogs(t, b.String())}, "", io.Discard, c.Add); err != nil {
		t.Fatal(err)
	}
	if got := len(c.slow); got > 10*maxSlowFlows {
		t.Errorf("got %d kept flows, want at most %d", got, 10*maxSlowFlows)
	}
	slow := c.Slowest()
	if len(slow) != maxSlowFlows || slow[0].After != 4999*time.Microsecond {
		t.Errorf("got %d flows, the first %v, want %d and 4.999ms", len(slow), slow[0].After, maxSlowFlows)
	}
}
