package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/internal/probe"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// maxProbes is the maximum number of probes in progress.
	maxProbes = 32
	// maxReports is the maximum number of reports that wait for the control
	// goroutine.
	maxReports = 256
)

type (
	// ReportTransport is implemented by a Membership that also sends probe reports
	// between the VMs of a zone.
	ReportTransport interface {
		SendReport(to fleet.VMID, body []byte)
		// OnReport sets the handler for received reports. It must be called before
		// Run.
		OnReport(receive func(from fleet.VMID, body []byte))
	}

	// SpareReporter is implemented by a Membership that reports to other zones the
	// free slots of the targets that this VM owns.
	SpareReporter interface {
		ReportSpare(spare map[fleet.ServiceID]int)
	}

	// receivedReport is a probe report from another VM.
	receivedReport struct {
		from   fleet.VMID
		report probe.Report
	}

	// healthChecker holds the state that the control goroutine uses to probe
	// targets and to evaluate the health of targets.
	healthChecker struct {
		prober         probe.Prober
		evaluator      probe.Evaluator
		endpoints      map[fleet.ServiceID]probe.Endpoint
		probeSlots     chan struct{}
		reports        chan receivedReport
		reportsIgnored bool
	}
)

// setEndpoints sets the probe endpoints. The evaluator uses the longest probe
// interval of all services.
func (h *healthChecker) setEndpoints(endpoints map[fleet.ServiceID]probe.Endpoint) {
	h.endpoints = endpoints
	h.evaluator.Interval = 0
	for _, e := range endpoints {
		h.evaluator.Interval = max(h.evaluator.Interval, e.Interval)
	}
}

// probeTargets starts the probes that are due.
func (d *Daemon) probeTargets(ctx context.Context, now time.Time) {
	for _, task := range d.checks.prober.Due(now) {
		select {
		case d.checks.probeSlots <- struct{}{}:
		default:
			// The target is probed again after the next interval.
			continue
		}
		go func() {
			defer func() { <-d.checks.probeSlots }()
			result := probe.Do(ctx, d.client, task)
			// callControl fails only if the daemon has stopped or is stopping. The
			// result is then not needed.
			_ = d.callControl(ctx, func(_ *announce.Registry, now time.Time) { d.deliverResult(result, now) })
		}()
	}
}

// deliverResult sends the report of a probe to the target's owner, or handles
// the report here if this VM is the owner.
func (d *Daemon) deliverResult(result *probe.Result, now time.Time) {
	report, ok := d.checks.prober.Report(result)
	if !ok {
		return
	}
	if result.Owner == d.Settings.ID {
		d.handleReport(d.Settings.ID, report, now)
		return
	}
	transport, ok := d.Membership.(ReportTransport)
	if !ok {
		return
	}
	body, err := report.Encode()
	if err != nil {
		d.Log.Error("cannot encode probe report", zap.Error(err))
		return
	}
	transport.SendReport(result.Owner, body)
}

// receiveReport queues the report of another VM. It drops a malformed report,
// and any report while the queue is full.
func (d *Daemon) receiveReport(from fleet.VMID, body []byte) {
	report, err := probe.DecodeReport(body)
	if err != nil {
		return
	}
	select {
	case d.checks.reports <- receivedReport{from: from, report: report}:
	default:
		// The calling goroutine reads the control socket and must not block. The
		// prober sends another report after the next interval.
	}
}

func (d *Daemon) handleReport(from fleet.VMID, report probe.Report, now time.Time) {
	if v := d.view.Load(); v == nil || d.owner(v, report.Target) != d.Settings.ID {
		return
	}
	d.checks.evaluator.RecordReport(from, report, now)
	if !report.HasLoad {
		return
	}
	for _, s := range d.shards {
		select {
		case s.loadReports <- loadReport{report.Target, int(report.InFlight)}:
		default:
			// The shard is busy, so the report is dropped. The shard's own count of
			// requests in flight is more accurate than a late report.
		}
	}
}

// reportSpare reports the number of free slots of the targets that this VM owns,
// by service, to the Membership if it is a SpareReporter.
func (d *Daemon) reportSpare() {
	reporter, ok := d.Membership.(SpareReporter)
	if !ok {
		return
	}
	sum := make(map[fleet.ServiceID]int)
	for _, s := range d.shards {
		if spare := s.spare.Load(); spare != nil {
			for id, n := range *spare {
				sum[id] += n
			}
		}
	}
	reporter.ReportSpare(sum)
}

// evaluateTargets updates the health of the registered targets and reports
// whether the health of any target changed.
func (d *Daemon) evaluateTargets(now time.Time) bool {
	changed := false
	keep := make(map[fleet.TargetKey]bool)
	for _, t := range d.registry.Targets() {
		key := t.ID.Key()
		keep[key] = true
		d.checks.evaluator.SetUnresponsive(key, d.unresponsive(key))
		unhealthy, ignored := d.checks.evaluator.Unhealthy(key, now)
		d.recordIgnoredReports(ignored)
		if d.registry.SetUnhealthy(t.ID, unhealthy) {
			changed = true
			d.recordHealthChange(t.ID, unhealthy)
		}
	}
	d.checks.evaluator.Retain(keep)
	return changed
}

// unresponsive reports whether the target counts as unresponsive in any shard
// (see unresponsiveStarts).
func (d *Daemon) unresponsive(key fleet.TargetKey) bool {
	for _, s := range d.shards {
		if keys := s.unresponsive.Load(); keys != nil && (*keys)[key] {
			return true
		}
	}
	return false
}

func (d *Daemon) recordIgnoredReports(ignored bool) {
	if ignored && !d.checks.reportsIgnored {
		d.record(timeline.Event{Kind: timeline.KindFault, Name: "ProbesDoubted", Cause: "most targets fail at once"})
	}
	d.checks.reportsIgnored = ignored
}

func (d *Daemon) recordHealthChange(id fleet.TargetID, unhealthy bool) {
	name := "Recovered"
	if unhealthy {
		name = "Failing"
	}
	d.record(timeline.Event{Kind: timeline.KindTarget, Name: name, Target: id.String(), Service: id.Service})
	d.Log.Info("health of a target changed", zap.Stringer("target", id), zap.Bool("bad", unhealthy))
}
