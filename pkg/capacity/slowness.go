package capacity

import (
	"math"
	"time"
)

const (
	// minSlow is the ratio of a target's mean time to the median of its service from
	// which on the target is slow, and maxFast the ratio below which it no longer is.
	// The difference keeps a target from alternating because of chance.
	minSlow, maxFast = 1.5, 1.25
	// significance is the number of standard deviations, of the mean of exponential
	// times, by which a target must differ from the median to become slow. With 4, one
	// of 120 targets with 12 requests per second each was slow at most times, and
	// with 5 for a fifth of the time.
	significance = 6
	// raiseDeviations and lowerDeviations are the numbers of standard deviations by
	// which the measured slowness of a slow target must differ from the published one
	// to change it. A target with too many requests delays them all, one with too few
	// delays none.
	raiseDeviations, lowerDeviations = 1, 2
	// minRequests is the number of requests, with older ones counted less, from
	// which on a mean time says something.
	minRequests = 4
	// minSlowRequests is the same number for a target that is already slow.
	minSlowRequests = 1
	// recoveryInterval is the minimum time between two steps of a target's slowness
	// downwards: a target that was 16 times slower has its share again after 2 s.
	recoveryInterval = 250 * time.Millisecond
	// relapseFactor multiplies that time for each relapse within relapseTime, after
	// which a target without relapse has its full share again.
	relapseFactor = 4
	relapseTime   = time.Minute
	// maxRecoveryInterval ends the recovery of a target with maxStep within
	// relapseTime.
	maxRecoveryInterval = relapseTime / (maxStep + 1)
	// maxSilence is the time without measurements after which the slowness of a
	// target decreases by one step per recoveryInterval: the target may have
	// recovered, and only new requests can show it.
	maxSilence = 5 * time.Second
)

// slowness is the published slowness of one target, as a state machine.
type slowness struct {
	step uint8
	// changedAt is the time of the last change of step, and measuredAt that of the
	// last measurement.
	changedAt, measuredAt time.Time
	// relapses counts the times at which the target became slow after it had its full
	// share again, and relapsedAt is the time at which it last was slow.
	relapses   int
	relapsedAt time.Time
}

// stepOf returns the step of a slowness ratio. It rounds up, because a target with
// too many requests delays them, and one with too few delays none.
func stepOf(ratio float64) float64 { return 2 * math.Log2(ratio) }

// update moves the state towards the measured ratio of the target's mean time to
// the median of its service, which is 0 if there is no measurement. weight is the
// number of requests in that mean, where older ones count less.
func (s *slowness) update(ratio, weight float64, now time.Time) {
	if now.Sub(s.relapsedAt) >= relapseTime {
		s.relapses, s.step, s.relapsedAt = 0, 0, time.Time{}
	}
	if ratio == 0 {
		if s.step > 0 && now.Sub(s.measuredAt) >= maxSilence {
			s.recover(0, now)
		}
		return
	}
	s.measuredAt = now
	measured := stepOf(ratio)
	// The standard deviation of the mean of exponential times, in steps.
	deviation := 2 / math.Ln2 / math.Sqrt(2*weight)
	want := uint8(min(max(math.Ceil(measured-0.1), 0), maxStep))
	switch {
	case s.step == 0 && ratio >= max(minSlow, 1+significance/math.Sqrt(2*weight)):
		s.raise(want, now)
	case s.step == 0:
	case ratio < maxFast:
		s.recover(0, now)
	case measured-raiseDeviations*deviation > float64(s.step):
		s.raise(want, now)
	case measured+lowerDeviations*deviation < float64(s.step):
		s.recover(max(want, 1), now)
	}
	if s.step > 0 && ratio >= minSlow {
		s.relapsedAt = now
	}
}

// raise makes the target slower.
func (s *slowness) raise(want uint8, now time.Time) {
	if want <= s.step {
		return
	}
	if s.step == 0 && !s.relapsedAt.IsZero() {
		s.relapses++
	}
	s.step, s.changedAt = want, now
}

// recover makes the target faster by one step, at most once per recovery interval.
func (s *slowness) recover(want uint8, now time.Time) {
	interval := time.Duration(min(float64(recoveryInterval)*math.Pow(relapseFactor, float64(s.relapses)), float64(maxRecoveryInterval)))
	if s.step <= want || now.Sub(s.changedAt) < interval {
		return
	}
	s.step--
	s.changedAt = now
}
