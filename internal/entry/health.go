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
	// maxProbes bounds the probes that are under way.
	maxProbes = 32
	// maxReports bounds the reports that wait for the control goroutine.
	maxReports = 256
)

type (
	// Messenger is a Membership that also carries probe reports between the
	// VMs of a zone.
	Messenger interface {
		SendReport(to fleet.VMID, body []byte)
		// OnReport sets the receiver; it is called before Run.
		OnReport(receive func(from fleet.VMID, body []byte))
	}

	// SpareReporter is a Membership that tells other zones the free slots of
	// this VM's targets.
	SpareReporter interface {
		ReportSpare(spare map[fleet.ServiceID]int)
	}

	// received is a report of another VM.
	received struct {
		from   fleet.VMID
		report probe.Report
	}

	// targetHealth is the part of the control goroutine that judges targets.
	targetHealth struct {
		prober    probe.Prober
		judge     probe.Judge
		endpoints map[fleet.ServiceID]probe.Endpoint
		running   chan struct{}
		received  chan received
		doubted   bool
	}
)

// setEndpoints takes changed settings of probes. The judge counts with the
// longest interval.
func (h *targetHealth) setEndpoints(endpoints map[fleet.ServiceID]probe.Endpoint) {
	h.endpoints = endpoints
	h.judge.Interval = 0
	for _, e := range endpoints {
		h.judge.Interval = max(h.judge.Interval, e.Interval)
	}
}

// probeTargets starts the probes that are due.
func (d *Daemon) probeTargets(ctx context.Context, now time.Time) {
	for _, task := range d.checks.prober.Due(now) {
		select {
		case d.checks.running <- struct{}{}:
		default:
			// The next interval tries again.
			continue
		}
		go func() {
			defer func() { <-d.checks.running }()
			result := probe.Do(ctx, d.client, task)
			// A daemon that has stopped needs no result.
			_ = d.do(ctx, func(_ *announce.Registry, now time.Time) { d.probed(result, now) })
		}()
	}
}

// probed gives the result of a probe to the target's owner.
func (d *Daemon) probed(result *probe.Result, now time.Time) {
	report, ok := d.checks.prober.Report(result)
	if !ok {
		return
	}
	if result.Owner == d.Settings.ID {
		d.takeReport(d.Settings.ID, report, now)
		return
	}
	messenger, ok := d.Membership.(Messenger)
	if !ok {
		return
	}
	body, err := report.Encode()
	if err != nil {
		d.Log.Error("probe report can't be encoded", zap.Error(err))
		return
	}
	messenger.SendReport(result.Owner, body)
}

// receiveReport takes the report of another prober; one that does not decode
// is dropped.
func (d *Daemon) receiveReport(from fleet.VMID, body []byte) {
	report, err := probe.DecodeReport(body)
	if err != nil {
		return
	}
	select {
	case d.checks.received <- received{from: from, report: report}:
	default:
		// The caller reads the control socket and must not wait; the next
		// interval brings another report.
	}
}

func (d *Daemon) takeReport(from fleet.VMID, report probe.Report, now time.Time) {
	if v := d.view.Load(); v == nil || d.owner(v, report.Target) != d.Settings.ID {
		return
	}
	d.checks.judge.Note(from, report, now)
	if !report.HasLoad {
		return
	}
	for _, s := range d.shards {
		select {
		case s.loads <- loadReport{report.Target, int(report.InFlight)}:
		default:
			// A busy shard has better knowledge than a late report.
		}
	}
}

// reportSpare tells the zone the free slots of this VM's targets.
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

// judgeTargets puts the verdicts on the own targets into the registry and
// reports whether one changed.
func (d *Daemon) judgeTargets(now time.Time) bool {
	changed := false
	keep := make(map[fleet.TargetKey]bool)
	for _, t := range d.registry.Targets() {
		key := t.ID.Key()
		keep[key] = true
		d.checks.judge.Observe(key, d.silent(key))
		bad, doubted := d.checks.judge.Bad(key, now)
		d.noteDoubt(doubted)
		if d.registry.SetBad(t.ID, bad) {
			changed = true
			d.recordVerdict(t.ID, bad)
		}
	}
	d.checks.judge.Keep(keep)
	return changed
}

// silent reports whether any shard gets no answer from the target.
func (d *Daemon) silent(key fleet.TargetKey) bool {
	for _, s := range d.shards {
		if silent := s.silent.Load(); silent != nil && (*silent)[key] {
			return true
		}
	}
	return false
}

func (d *Daemon) noteDoubt(doubted bool) {
	if doubted && !d.checks.doubted {
		d.record(timeline.Event{Kind: timeline.KindFault, Name: "ProbesDoubted", Cause: "most targets fail at once"})
	}
	d.checks.doubted = doubted
}

func (d *Daemon) recordVerdict(id fleet.TargetID, bad bool) {
	name := "Recovered"
	if bad {
		name = "Failing"
	}
	d.record(timeline.Event{Kind: timeline.KindTarget, Name: name, Target: id.String(), Service: id.Service})
	d.Log.Info("health of a target changed", zap.Stringer("target", id), zap.Bool("bad", bad))
}
