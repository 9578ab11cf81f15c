package admission

import "time"

const (
	// maxReportLag is the maximum expected delay of a load report.
	maxReportLag = time.Second
	// reportTimeout is the time after its receipt at which a load report expires.
	reportTimeout = 3 * time.Second
	// pressureGain is the weight of one request in the pressure.
	pressureGain = 0.02
	// pressureDecayTime is the time constant with which the pressure decays, so
	// that it falls also while no requests arrive.
	pressureDecayTime = 2 * time.Second
)

type (
	// loadReports bounds the effect of a target's load reports on its limit. The
	// excess of a report is the reported number of running requests minus the peak
	// number of requests that the owner had in flight in the current and the
	// previous window, but no less than 0. A window lasts at least maxReportLag.
	// Until reportTimeout after the last report, the lower excess of the last two
	// reports is deducted from the limit, up to half of the limit. For
	// inheritDuration after a takeover, the number of requests that the previous
	// owner may have started is deducted instead if it is higher. It can reduce
	// the limit to 1.
	loadReports struct {
		lastExcess   int // of the last report
		agreedExcess int // lower excess of the last two reports
		receivedAt   time.Time
		windowStart  time.Time
		windowPeak   int // highest number of requests in flight in the current window
		previousPeak int // the same for the previous window

		inherited       int // requests that the previous owner may have started
		inheritedAt     time.Time
		inheritDuration time.Duration
	}

	// pressure is the smoothed fraction of a kind's requests that were refused,
	// evicted or shed.
	pressure struct{ level float64 }
)

func (p *loadReports) observe(inFlight int, now time.Time) {
	if now.Sub(p.windowStart) >= maxReportLag {
		p.previousPeak = p.windowPeak
		if now.Sub(p.windowStart) >= 2*maxReportLag {
			p.previousPeak = inFlight
		}
		p.windowPeak = 0
		p.windowStart = now
	}
	p.windowPeak = max(p.windowPeak, inFlight)
}

func (p *loadReports) receive(inFlight int, now time.Time) {
	excess := max(0, inFlight-max(p.windowPeak, p.previousPeak))
	p.agreedExcess = min(excess, p.lastExcess)
	p.lastExcess = excess
	p.receivedAt = now
	p.inherited = min(p.inherited, excess)
}

func (p *loadReports) inherit(inFlight int, duration time.Duration, now time.Time) {
	p.inherited = max(0, inFlight-p.windowPeak)
	p.inheritedAt = now
	p.inheritDuration = duration
}

// excess returns the number of slots, out of limit, that count as taken by
// requests that this owner neither started nor adopted.
func (p *loadReports) excess(now time.Time, limit int) int {
	n := 0
	if now.Sub(p.receivedAt) < reportTimeout {
		n = min(p.agreedExcess, limit/2)
	}
	if now.Sub(p.inheritedAt) < p.inheritDuration {
		n = max(n, min(p.inherited, limit-1))
	}
	return n
}

func (p *pressure) recordAccepted() { p.level -= pressureGain * p.level }
func (p *pressure) recordRefused()  { p.level += pressureGain * (1 - p.level) }

func (p *pressure) decay(elapsed time.Duration) {
	p.level *= max(0, 1-elapsed.Seconds()/pressureDecayTime.Seconds())
}

func (p *pressure) value() uint8 { return uint8(p.level*255 + 0.5) }
