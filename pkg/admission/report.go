package admission

import "time"

const (
	// reportLag is the age up to which a load report may be late.
	reportLag = time.Second
	// reportLife is the time after which a load report no longer counts.
	reportLife = 3 * time.Second
	// pressureGain weighs one arrival in the pressure.
	pressureGain = 0.02
	// pressureTime is the time constant with which the pressure falls while
	// nothing arrives.
	pressureTime = 2 * time.Second
)

type (
	// report bounds what a target's load reports may do. Only the excess over
	// the highest own count of the last reportLag counts, only where two
	// reports in a row agree on it, and never more than half of the slots.
	report struct {
		last    int // excess of the last report
		agreed  int // excess that the last two reports share
		heard   time.Time
		window  time.Time
		highest int // own count in the present window
		before  int // own count in the window before

		inherited int // requests that a predecessor may have started
		inheritOf time.Time
		inherits  time.Duration
	}

	// pressure is the smoothed part of a kind's arrivals that were refused.
	pressure struct{ level float64 }
)

func (p *report) observe(inFlight int, now time.Time) {
	if now.Sub(p.window) >= reportLag {
		p.before = p.highest
		if now.Sub(p.window) >= 2*reportLag {
			p.before = inFlight
		}
		p.highest = 0
		p.window = now
	}
	p.highest = max(p.highest, inFlight)
}

func (p *report) hear(inFlight int, now time.Time) {
	excess := max(0, inFlight-max(p.highest, p.before))
	p.agreed = min(excess, p.last)
	p.last = excess
	p.heard = now
	p.inherited = min(p.inherited, excess)
}

func (p *report) inherit(inFlight int, longest time.Duration, now time.Time) {
	p.inherited = max(0, inFlight-p.highest)
	p.inheritOf = now
	p.inherits = longest
}

// excess returns the slots of a limit that count as taken by others.
func (p *report) excess(now time.Time, limit int) int {
	n := 0
	if now.Sub(p.heard) < reportLife {
		n = min(p.agreed, limit/2)
	}
	if now.Sub(p.inheritOf) < p.inherits {
		n = max(n, min(p.inherited, limit-1))
	}
	return n
}

func (p *pressure) accepted() { p.level -= pressureGain * p.level }
func (p *pressure) refused()  { p.level += pressureGain * (1 - p.level) }

func (p *pressure) decay(elapsed time.Duration) {
	p.level *= max(0, 1-elapsed.Seconds()/pressureTime.Seconds())
}

func (p *pressure) value() uint8 { return uint8(p.level*255 + 0.5) }
