package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// sealTimeout is the maximum time from a crash of an entry VM until the zone of
// the VM seals a view without the VM. crashWindow is the time after a crash
// during which the crash may affect requests. It consists of sealTimeout, and
// of requestDeadline plus 2 s, during which the new owner of a target may drop
// packets of flows that the owner does not know.
const (
	sealTimeout = 2500 * time.Millisecond
	crashWindow = sealTimeout + requestDeadline + 2*time.Second
)

// maxListed is the maximum number of broken requests that the summary lists,
// and the maximum number of failures that it lists for each check.
const maxListed = 10

type (
	// Report is the result of a run of the demo.
	Report struct {
		Kinds  []KindReport
		Checks []Check
		// Broken lists the requests that got neither a response nor a refusal.
		Broken     []string
		eventLines []string
	}

	// KindReport summarizes the requests of one kind. Broken also counts the
	// requests whose response did not match. Latency covers the requests that
	// got the expected response.
	KindReport struct {
		Kind                      string
		Requests, Refused, Broken int
		Latency                   *hdrhistogram.Histogram // microseconds
	}

	// Check is the result of checking one guarantee of docs/design.md, section
	// 1, or of checking the recovery from a crash (section 8).
	Check struct {
		// Guarantee is the number of the guarantee, or 0 for crash recovery.
		Guarantee int
		Name      string
		// Failures describes the violations; it is empty if there were none.
		Failures []string
		// Skipped is the reason why the run did not exercise the guarantee. It
		// is empty if the run did.
		Skipped string
	}
)

// Failed reports whether any check has failures.
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
		r.eventLines = append(r.eventLines, fmt.Sprintf("%6.1f s  %-13s %s", e.at.Sub(d.firstRequestTime()).Seconds(), e.name, e.detail))
	}
	for _, kind := range kinds {
		r.Kinds = append(r.Kinds, d.kindReport(kind))
	}
	d.checkGuarantees(r)
	return r
}

// firstRequestTime returns the start time of the first request.
func (d *Demo) firstRequestTime() time.Time {
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
			// RecordValue fails only outside the range of the histogram, which
			// covers all request timeouts.
			_ = k.Latency.RecordValue(res.end.Sub(res.begin).Microseconds())
		case isRefusal(res.err):
			k.Refused++
		default:
			k.Broken++
		}
	}
	return k
}

// checkGuarantees checks all guarantees and adds the results to r. Guarantees 1
// and 7 cover planned changes only, so a crash may break lookups and orders.
// After a crash of an entry VM, no packets reach the targets that the VM owned
// until another VM takes over, which takes longer than the deadline of a lookup
// or an order. Lookups and orders in progress therefore end without a response
// (docs/design.md, section 3), and whether such an order ran is unknown. They
// are counted as broken, but not as failures. Downloads must survive a crash
// (section 8).
func (d *Demo) checkGuarantees(r *Report) {
	progress := Check{Guarantee: 1, Name: "a request in progress survives planned changes"}
	service := Check{Guarantee: 2, Name: "no packet reaches another service"}
	response := Check{Guarantee: 3, Name: "a response is complete and belongs to the request"}
	notRun := Check{Guarantee: 4, Name: "a refused request was not run"}
	atMostOnce := Check{Guarantee: 5, Name: "a non-idempotent request runs at most once"}
	draining := Check{Guarantee: 6, Name: "a draining target gets no new flows"}
	shutdown := Check{Guarantee: 7, Name: "a planned shutdown interrupts no request"}
	config := Check{Guarantee: 8, Name: "an accepted configuration is in force within 8 s", Failures: d.configFailures}
	if _, ok := d.eventTime("settings"); !ok {
		config.fail("no change of the settings came into force")
	}
	crash := Check{Name: "a crash breaks no download and no request that starts later"}
	service.Failures = d.audit.misrouted
	for _, res := range d.results {
		runs := d.audit.runsOf(res.id)
		switch {
		case isMismatch(res.err):
			response.fail("%s: %v", res.id, res.err)
		case isRefusal(res.err) && runs > 0:
			notRun.fail("%s was refused and ran", res.id)
		case res.err != nil && !isRefusal(res.err):
			d.checkBroken(r, res, &progress, &shutdown, &crash)
		}
		d.checkAtMostOnce(&atMostOnce, res, runs)
	}
	if t := d.drainedTarget; t == nil {
		draining.Skipped = "no target was drained"
	} else if late := t.lastNewFlowAfterDrain(); late > drainLimit {
		draining.fail("target %s got a new flow %.1f s after the start of its drain", t.address, late.Seconds())
	}
	for _, name := range []string{"planned stop", "stopped", "crash", "drain"} {
		if _, ok := d.eventTime(name); !ok {
			shutdown.fail("event %q did not occur", name)
		}
	}
	r.Checks = []Check{progress, service, response, notRun, atMostOnce, draining, shutdown, config, crash}
}

// checkBroken adds a broken request to r.Broken and to one check at most. If the
// request stalled between one second before the crash and crashWindow after it,
// the check is crash for a download, and there is none for other requests. If
// the request stalled during the planned shutdown, the check is shutdown. In all
// other cases it is progress.
//
// Requests other than downloads last milliseconds, so they are assumed to stall
// when they start. A download is assumed to stall idleTimeout before it ends.
func (d *Demo) checkBroken(r *Report, res result, progress, shutdown, crash *Check) {
	line := d.describe(res)
	r.Broken = append(r.Broken, line)
	stalledAt := res.begin
	if res.kind == kindSheet {
		stalledAt = res.end.Add(-idleTimeout)
	}
	crashedAt, ok := d.eventTime("crash")
	switch {
	case ok && !stalledAt.Before(crashedAt.Add(-time.Second)) && stalledAt.Before(crashedAt.Add(crashWindow)):
		if res.kind == kindSheet {
			crash.fail("%s", line)
		}
	case d.isBetweenEvents("planned stop", "stopped", stalledAt):
		shutdown.fail("%s", line)
	default:
		progress.fail("%s", line)
	}
}

func (d *Demo) checkAtMostOnce(c *Check, res result, runs int) {
	if res.kind != kindOrder && res.kind != kindTCP {
		return
	}
	if runs > 1 {
		c.fail("%s ran %d times", res.id, runs)
	}
	if n := len(d.audit.targetsOf(res.caller)); n > 1 {
		c.fail("%s reached %d targets", res.id, n)
	}
}

func (c *Check) fail(format string, args ...any) {
	c.Failures = append(c.Failures, fmt.Sprintf(format, args...))
}

// describe returns a line about a broken request: when the request started and
// ended, how often it ran, and how many packets the targets received and sent.
func (d *Demo) describe(res result) string {
	begin := d.firstRequestTime()
	packets := d.audit.packetsOf(res.caller)
	return fmt.Sprintf("%s, %.1f to %.1f s, %d runs, %d packets to and %d from %d targets: %v", res.id,
		res.begin.Sub(begin).Seconds(), res.end.Sub(begin).Seconds(), d.audit.runsOf(res.id),
		packets.in, packets.out, len(d.audit.targetsOf(res.caller)), res.err)
}

func (d *Demo) eventTime(name string) (time.Time, bool) {
	for _, e := range d.events {
		if e.name == name {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// isBetweenEvents reports whether t is in the interval from one second before
// event first to event last. The interval has no end if last has not occurred.
func (d *Demo) isBetweenEvents(first, last string, t time.Time) bool {
	from, began := d.eventTime(first)
	to, ended := d.eventTime(last)
	return began && !t.Before(from.Add(-time.Second)) && (!ended || t.Before(to))
}

func (r *Report) print(w io.Writer) {
	fmt.Fprintf(w, "bamboowalk demo: %d entry VMs in %d zones, each packet sent to a random healthy VM\n\n", vmsPerZone*len(zones), len(zones))
	for _, line := range r.eventLines {
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
		name = "crash recovery"
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
