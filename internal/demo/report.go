package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// crashTime is the time after a crash in which its effects may last: detection,
// sealing, and the window of unknown flows (the deadline and 2 s).
const crashTime = sealTime + deadline + 2*time.Second

// maxListed bounds the broken requests that the summary lists.
const maxListed = 10

type (
	// Report is the outcome of a run.
	Report struct {
		Kinds  []KindReport
		Checks []Check
		// Broken lists requests that got no response and no refusal.
		Broken []string
		lines  []string
	}

	// KindReport sums up the requests of one kind.
	KindReport struct {
		Kind                      string
		Requests, Refused, Broken int
		Latency                   *hdrhistogram.Histogram // microseconds
	}

	// Check is the verdict on one guarantee of docs/design.md, section 1.
	Check struct {
		// Guarantee is 0 for a check of section 8.
		Guarantee int
		Name      string
		// Failures is empty where the guarantee was kept.
		Failures []string
		// Skipped says why the run did not exercise the guarantee.
		Skipped string
	}
)

// Failed reports whether a guarantee was broken.
func (r *Report) Failed() bool {
	for _, c := range r.Checks {
		if len(c.Failures) > 0 {
			return true
		}
	}
	return false
}

func (d *Demo) report() *Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &Report{}
	for _, e := range d.events {
		r.lines = append(r.lines, fmt.Sprintf("%6.1f s  %-13s %s", e.at.Sub(d.begin()).Seconds(), e.name, e.what))
	}
	for _, kind := range kinds {
		r.Kinds = append(r.Kinds, d.kindReport(kind))
	}
	d.check(r)
	return r
}

// begin returns the time of the first request.
func (d *Demo) begin() time.Time {
	var first time.Time
	for _, res := range d.results {
		if first.IsZero() || res.begin.Before(first) {
			first = res.begin
		}
	}
	return first
}

func (d *Demo) kindReport(kind string) KindReport {
	k := KindReport{Kind: kind, Latency: hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3)}
	for _, res := range d.results {
		if res.kind != kind {
			continue
		}
		k.Requests++
		switch {
		case res.err == nil:
			// The range covers every timeout of the demo.
			_ = k.Latency.RecordValue(res.end.Sub(res.begin).Microseconds())
		case isRefusal(res.err):
			k.Refused++
		default:
			k.Broken++
		}
	}
	return k
}

// check judges the guarantees. Guarantees 1 and 7 are about planned changes. A
// crash silences the flows of the VM's targets for longer than the deadline of
// lookups and orders, which ends their flows (section 3), and the outcome of
// orders that were not answered yet is unknown. Such requests are counted and
// are no failure; downloads have to survive (section 8).
func (d *Demo) check(r *Report) {
	progress := Check{Guarantee: 1, Name: "a request in progress survives planned changes"}
	service := Check{Guarantee: 2, Name: "no packet reaches another service"}
	own := Check{Guarantee: 3, Name: "the complete response to the own request"}
	notRun := Check{Guarantee: 4, Name: "what was refused was not run"}
	once := Check{Guarantee: 5, Name: "a non-idempotent request runs at most once"}
	leaving := Check{Guarantee: 6, Name: "a leaving target gets no new work"}
	shutdown := Check{Guarantee: 7, Name: "a planned shutdown interrupts no request"}
	config := Check{Guarantee: 8, Name: "an accepted configuration is in force within seconds", Skipped: "no control VMs yet"}
	crash := Check{Name: "a crash breaks no download, and nothing that starts later"}
	service.Failures = d.ledger.foreign
	for _, res := range d.results {
		runs := d.ledger.runsOf(res.id)
		switch {
		case isContent(res.err):
			own.fail("%s: %v", res.id, res.err)
		case isRefusal(res.err) && runs > 0:
			notRun.fail("%s was refused and ran", res.id)
		case res.err != nil && !isRefusal(res.err):
			d.checkBroken(r, res, &progress, &shutdown, &crash)
		}
		d.checkOnce(&once, res, runs)
	}
	if t := d.draining; t == nil {
		leaving.Skipped = "no target was drained"
	} else if late := t.newAfterDrain(); late > drainLimit {
		leaving.fail("target %s got new work %.1f s after its drain", t.address, late.Seconds())
	}
	if len(d.events) < 4 {
		shutdown.fail("the planned stop, the crash or the drain did not take place or did not end")
	}
	r.Checks = []Check{progress, service, own, notRun, once, leaving, shutdown, config, crash}
}

// checkBroken finds what a broken request counts against: the change in whose
// time it was silenced. That is its start for requests that take milliseconds,
// and the idle timeout before its end for a download.
func (d *Demo) checkBroken(r *Report, res result, progress, shutdown, crash *Check) {
	line := d.describe(res)
	r.Broken = append(r.Broken, line)
	silent := res.begin
	if res.kind == kindSheet {
		silent = res.end.Add(-idleTimeout)
	}
	killed, ok := d.eventAt("crash")
	switch {
	case ok && !silent.Before(killed.Add(-time.Second)) && silent.Before(killed.Add(crashTime)):
		if res.kind == kindSheet {
			crash.fail("%s", line)
		}
	case d.during("planned stop", "stopped", silent):
		shutdown.fail("%s", line)
	default:
		progress.fail("%s", line)
	}
}

func (d *Demo) checkOnce(c *Check, res result, runs int) {
	if res.kind != kindOrder && res.kind != kindTCP {
		return
	}
	if runs > 1 {
		c.fail("%s ran %d times", res.id, runs)
	}
	if n := len(d.ledger.placesOf(res.caller)); n > 1 {
		c.fail("%s reached %d targets", res.id, n)
	}
}

func (c *Check) fail(format string, args ...any) {
	c.Failures = append(c.Failures, fmt.Sprintf(format, args...))
}

// describe says when a broken request ran.
func (d *Demo) describe(res result) string {
	begin := d.begin()
	trace := d.ledger.traceOf(res.caller)
	return fmt.Sprintf("%s, %.1f to %.1f s, %d runs, %d packets to and %d from %d targets: %v", res.id,
		res.begin.Sub(begin).Seconds(), res.end.Sub(begin).Seconds(), d.ledger.runsOf(res.id),
		trace.in, trace.out, len(d.ledger.placesOf(res.caller)), res.err)
}

func (d *Demo) eventAt(name string) (time.Time, bool) {
	for _, e := range d.events {
		if e.name == name {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// during reports whether t lies between two events.
func (d *Demo) during(first, last string, t time.Time) bool {
	from, began := d.eventAt(first)
	to, ended := d.eventAt(last)
	return began && !t.Before(from.Add(-time.Second)) && (!ended || t.Before(to))
}

func (r *Report) print(w io.Writer) {
	fmt.Fprintf(w, "bamboowalk demo: %d entry VMs in %d zones, every packet sprayed over all of them\n\n", vmsPerZone*len(zones), len(zones))
	for _, line := range r.lines {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintf(w, "\n%-10s %9s %8s %7s %9s %9s %9s\n", "kind", "requests", "refused", "broken", "p50 ms", "p99 ms", "max ms")
	for _, k := range r.Kinds {
		ms := func(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) }
		fmt.Fprintf(w, "%-10s %9d %8d %7d %9s %9s %9s\n", k.Kind, k.Requests, k.Refused, k.Broken,
			ms(k.Latency.ValueAtQuantile(50)), ms(k.Latency.ValueAtQuantile(99)), ms(k.Latency.Max()))
	}
	fmt.Fprintln(w)
	for _, c := range r.Checks {
		c.print(w)
	}
	if n := len(r.Broken); n > 0 {
		fmt.Fprintf(w, "\n%d requests got neither a response nor a refusal:\n", n)
		for _, line := range r.Broken[:min(n, maxListed)] {
			fmt.Fprintf(w, "    %s\n", line)
		}
	}
	verdict := "all guarantees that the run exercised were kept"
	if r.Failed() {
		verdict = "FAILED: a guarantee was broken"
	}
	fmt.Fprintf(w, "\n%s\n", verdict)
}

func (c *Check) print(w io.Writer) {
	state := "kept"
	switch {
	case len(c.Failures) > 0:
		state = fmt.Sprintf("BROKEN %d times", len(c.Failures))
	case c.Skipped != "":
		state = "not exercised: " + c.Skipped
	}
	name := fmt.Sprintf("guarantee %d", c.Guarantee)
	if c.Guarantee == 0 {
		name = "section 8"
	}
	fmt.Fprintf(w, "%s, %s: %s\n", name, c.Name, state)
	for i, f := range c.Failures {
		if i == maxListed {
			fmt.Fprintf(w, "    and %d more\n", len(c.Failures)-maxListed)
			break
		}
		fmt.Fprintf(w, "    %s\n", strings.ReplaceAll(f, "\n", " "))
	}
}
