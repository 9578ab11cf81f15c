package probe

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// changeThreshold is the number of consecutive reports of one prober after
	// which the health of a target according to that prober changes. Each of these
	// reports must contradict this health.
	changeThreshold = 2
	// staleIntervals is the age, in probe intervals, above which a report is
	// ignored.
	staleIntervals = 4
	// firstRetryDelay is the delay after which a target that did not answer start
	// packets gets new flows again. The delay doubles, up to maxRetryDelay, each
	// time that the target again does not answer. A recovery does not reset it.
	firstRetryDelay = 5 * time.Second
	maxRetryDelay   = time.Minute
)

type (
	// Report is the result of one probe of a target.
	Report struct {
		Target  fleet.TargetKey `cbor:"1,keyasint"`
		Healthy bool            `cbor:"2,keyasint"`
		// Failing is the number of unhealthy targets among the Probed targets of
		// the prober.
		Failing uint16 `cbor:"3,keyasint"`
		Probed  uint16 `cbor:"4,keyasint"`
		// InFlight is the number of slots in use according to the load endpoint. It
		// is valid if HasLoad is true.
		InFlight uint16 `cbor:"5,keyasint"`
		HasLoad  bool   `cbor:"6,keyasint"`
	}

	// ReportError reports a report that can't be encoded or decoded, or is
	// invalid.
	ReportError struct{ Err error }

	// Evaluator decides which of the targets that a VM owns get new flows. It is
	// not safe for concurrent use.
	Evaluator struct {
		// Interval is the longest probe interval of all services. Reports older than
		// staleIntervals times Interval are ignored.
		Interval time.Duration

		states map[fleet.TargetKey]*targetState
	}

	// targetState holds the health of a target and the observations from which
	// the health is evaluated.
	targetState struct {
		probers map[fleet.VMID]*proberState
		// unanswered is set while start packets to the target get no answer.
		unanswered bool
		unhealthy  bool
		retries    int
		nextRetry  time.Time
	}

	// proberState is the state of a target according to one prober.
	proberState struct {
		healthy         bool
		contradicting   int // consecutive results that differ from healthy
		failing, probed int
		reportedAt      time.Time
	}
)

// Encode returns the CBOR encoding of the report, or a ReportError.
func (r *Report) Encode() ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, &ReportError{Err: err}
	}
	return b, nil
}

// DecodeReport decodes and validates a report. It returns a ReportError.
func DecodeReport(b []byte) (Report, error) {
	var r Report
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Report{}, &ReportError{Err: err}
	}
	if err := r.Validate(); err != nil {
		return Report{}, &ReportError{Err: err}
	}
	return r, nil
}

// Error implements error.
func (e *ReportError) Error() string { return fmt.Sprintf("probe report: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *ReportError) Unwrap() error { return e.Err }

// Validate returns a fleet.FieldError if Failing exceeds Probed.
func (r *Report) Validate() error {
	if r.Failing > r.Probed {
		return &fleet.FieldError{Type: "Report", Field: "Failing", Reason: "must not exceed Probed"}
	}
	return nil
}

// RecordReport records a prober's report.
func (e *Evaluator) RecordReport(from fleet.VMID, r Report, now time.Time) {
	s := e.state(r.Target)
	p := s.probers[from]
	if p == nil {
		// A target is initially healthy, because it has just announced itself.
		p = &proberState{healthy: true}
		s.probers[from] = p
	}
	p.reportedAt, p.failing, p.probed = now, int(r.Failing), int(r.Probed)
	if r.Healthy == p.healthy {
		p.contradicting = 0
		return
	}
	if p.contradicting++; p.contradicting >= changeThreshold {
		p.healthy, p.contradicting = r.Healthy, 0
	}
}

// SetUnresponsive records whether start packets from the owner to the target get
// no answer.
func (e *Evaluator) SetUnresponsive(target fleet.TargetKey, unanswered bool) {
	e.state(target).unanswered = unanswered
}

// Unhealthy reports whether the target is unhealthy and should get no new
// flows. It also reports whether the probers' reports that the target fails
// were ignored, because the probers see most of their targets fail at once.
func (e *Evaluator) Unhealthy(target fleet.TargetKey, now time.Time) (unhealthy, ignored bool) {
	s := e.state(target)
	reportedUnhealthy, ignored := s.evaluate(now, e.Interval)
	if s.unanswered {
		s.markUnhealthy(now)
		return true, ignored
	}
	if s.unhealthy && now.Before(s.nextRetry) {
		return true, ignored
	}
	if reportedUnhealthy {
		s.unhealthy, s.nextRetry = true, time.Time{}
		return true, ignored
	}
	s.unhealthy = false
	return false, ignored
}

// Retain removes the state of all targets except those in targets.
func (e *Evaluator) Retain(targets map[fleet.TargetKey]bool) {
	for key := range e.states {
		if !targets[key] {
			delete(e.states, key)
		}
	}
}

func (e *Evaluator) state(key fleet.TargetKey) *targetState {
	if e.states == nil {
		e.states = make(map[fleet.TargetKey]*targetState)
	}
	s := e.states[key]
	if s == nil {
		s = &targetState{probers: make(map[fleet.VMID]*proberState)}
		e.states[key] = s
	}
	return s
}

// evaluate removes stale reports. It returns unhealthy if the target is
// unhealthy according to most of the remaining probers. If these probers also
// probe more than one target on average and see most of their targets fail, it
// returns ignored instead of unhealthy.
func (s *targetState) evaluate(now time.Time, interval time.Duration) (unhealthy, ignored bool) {
	fresh, unhealthyCount, failing, probed := 0, 0, 0, 0
	for id, p := range s.probers {
		if now.Sub(p.reportedAt) > staleIntervals*interval {
			delete(s.probers, id)
			continue
		}
		fresh++
		failing += p.failing
		probed += p.probed
		if !p.healthy {
			unhealthyCount++
		}
	}
	unhealthy = 2*unhealthyCount > fresh
	ignored = probed > fresh && 2*failing > probed
	return unhealthy && !ignored, unhealthy && ignored
}

// markUnhealthy makes the target unhealthy until nextRetry, when it gets new
// flows again. It does nothing while such a wait is in progress.
func (s *targetState) markUnhealthy(now time.Time) {
	if s.unhealthy && now.Before(s.nextRetry) {
		return
	}
	wait := min(firstRetryDelay<<min(s.retries, 8), maxRetryDelay)
	s.retries++
	s.unhealthy, s.nextRetry = true, now.Add(wait)
}
