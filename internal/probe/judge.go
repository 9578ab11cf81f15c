package probe

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// flips is the number of equal results in a row that change an opinion.
	flips = 2
	// staleAfter is the number of intervals after which a report is ignored.
	staleAfter = 4
	// trialFirst is the time after which a target that left starts unanswered
	// is tried again; it doubles with each failed trial.
	trialFirst = 5 * time.Second
	trialMost  = time.Minute
)

type (
	// Report is what one prober saw of one target.
	Report struct {
		Target  fleet.TargetKey `cbor:"1,keyasint"`
		Healthy bool            `cbor:"2,keyasint"`
		// Failing of Probed targets look bad to the prober.
		Failing uint16 `cbor:"3,keyasint"`
		Probed  uint16 `cbor:"4,keyasint"`
		// InFlight is what the load endpoint says; HasLoad is false without one.
		InFlight uint16 `cbor:"5,keyasint"`
		HasLoad  bool   `cbor:"6,keyasint"`
	}

	// ReportError reports bytes that are no valid report.
	ReportError struct{ Err error }

	// Judge decides which of a VM's own targets take new flows. It is used by
	// one goroutine.
	Judge struct {
		// Interval is the time between two probes.
		Interval time.Duration

		subjects map[fleet.TargetKey]*subject
	}

	// subject is a target and the opinions about it.
	subject struct {
		opinions map[fleet.VMID]*opinion
		// unanswered is set while starts stay without an answer.
		unanswered bool
		bad        bool
		trials     int
		nextTrial  time.Time
	}

	// opinion is one prober's.
	opinion struct {
		healthy         bool
		row             int // results in a row that contradict it
		failing, probed int
		at              time.Time
	}
)

// Encode returns the bytes of the report; it returns a ReportError.
func (r *Report) Encode() ([]byte, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return nil, &ReportError{Err: err}
	}
	return b, nil
}

// DecodeReport decodes and checks a report; it returns a ReportError.
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

// Error names the cause.
func (e *ReportError) Error() string { return fmt.Sprintf("probe report: %v", e.Err) }

// Unwrap returns the cause.
func (e *ReportError) Unwrap() error { return e.Err }

// Validate returns a FieldError for counts that contradict each other.
func (r *Report) Validate() error {
	if r.Failing > r.Probed {
		return &fleet.FieldError{Type: "Report", Field: "Failing", Reason: "must not exceed Probed"}
	}
	return nil
}

// Note takes a prober's report.
func (j *Judge) Note(from fleet.VMID, r Report, now time.Time) {
	s := j.subject(r.Target)
	o := s.opinions[from]
	if o == nil {
		// A target starts as healthy: it has just announced itself.
		o = &opinion{healthy: true}
		s.opinions[from] = o
	}
	o.at, o.failing, o.probed = now, int(r.Failing), int(r.Probed)
	if r.Healthy == o.healthy {
		o.row = 0
		return
	}
	if o.row++; o.row >= flips {
		o.healthy, o.row = r.Healthy, 0
	}
}

// Observe takes whether the owner's start packets stay without an answer.
func (j *Judge) Observe(target fleet.TargetKey, unanswered bool) {
	j.subject(target).unanswered = unanswered
}

// Bad returns whether the target should get no new flows, and whether the
// reports are doubted.
func (j *Judge) Bad(target fleet.TargetKey, now time.Time) (bad, doubted bool) {
	s := j.subject(target)
	reports, doubted := s.weigh(now, j.Interval)
	if s.unanswered {
		s.condemn(now)
		return true, doubted
	}
	if s.bad && now.Before(s.nextTrial) {
		return true, doubted
	}
	if reports {
		s.bad, s.nextTrial = true, time.Time{}
		return true, doubted
	}
	s.bad = false
	return false, doubted
}

// Keep forgets all targets but those named.
func (j *Judge) Keep(targets map[fleet.TargetKey]bool) {
	for key := range j.subjects {
		if !targets[key] {
			delete(j.subjects, key)
		}
	}
}

func (j *Judge) subject(key fleet.TargetKey) *subject {
	if j.subjects == nil {
		j.subjects = make(map[fleet.TargetKey]*subject)
	}
	s := j.subjects[key]
	if s == nil {
		s = &subject{opinions: make(map[fleet.VMID]*opinion)}
		j.subjects[key] = s
	}
	return s
}

// weigh reports whether most fresh opinions are that the target is bad, unless
// the probers see most of all targets fail.
func (s *subject) weigh(now time.Time, interval time.Duration) (bad, doubted bool) {
	fresh, against, failing, probed := 0, 0, 0, 0
	for id, o := range s.opinions {
		if now.Sub(o.at) > staleAfter*interval {
			delete(s.opinions, id)
			continue
		}
		fresh++
		failing += o.failing
		probed += o.probed
		if !o.healthy {
			against++
		}
	}
	bad = 2*against > fresh
	doubted = probed > fresh && 2*failing > probed
	return bad && !doubted, bad && doubted
}

// condemn keeps the target out until its next trial.
func (s *subject) condemn(now time.Time) {
	if s.bad && now.Before(s.nextTrial) {
		return
	}
	wait := min(trialFirst<<min(s.trials, 8), trialMost)
	s.trials++
	s.bad, s.nextTrial = true, now.Add(wait)
}
