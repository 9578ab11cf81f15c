package capacity

import (
	"math"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// maxShift is the maximum change of the share of a zone's demand that is sent to
	// other zones, per step.
	maxShift = 0.2
	// shiftGain is the share of the missing slots by which the part that is sent away
	// changes per step. Figures are about 0.4 s old when they take effect, and the
	// requests in flight grow more than twice as fast as the demand near the number
	// of slots: with 0.3, the part went back and forth by half of the demand, and 3 to
	// 6 % of the requests were late in TestDemandBetweenZones.
	shiftGain = 0.1
	// turnInterval is the minimum time between two changes of direction.
	turnInterval = time.Second
	// deadBand is the share of the slots below which the requests in flight must fall
	// before demand returns to its own zone.
	deadBand = 0.75
)

// overflow is the share of the demand of this VM's zone that is sent to other
// zones. All VMs of the zone follow the same rule with the same figures.
type overflow struct {
	away      float64
	direction int
	steppedAt time.Time
	turnedAt  time.Time
	// zones lists the other zones with room, and shares the cumulative shares of
	// their room.
	zones  []fleet.ZoneID
	shares []float64
}

// step adjusts the share to a publication, at most once per MinInterval.
func (o *overflow) step(l *ServiceLoad, zone fleet.ZoneID, now time.Time) {
	if now.Sub(o.steppedAt) < MinInterval {
		return
	}
	o.steppedAt = now
	slots, inFlight, demand, elsewhere := 0.0, 0.0, 0.0, 0.0
	o.zones, o.shares = o.zones[:0:0], o.shares[:0:0]
	for _, z := range l.Zones {
		zoneSlots := float64(z.Slots) / 10
		if z.Zone == zone {
			slots, inFlight = zoneSlots, float64(z.InFlight)
			demand = float64(z.Offered) / 10 * duration(l.MeanMicros).Seconds()
			continue
		}
		if room := zoneSlots - float64(z.InFlight); room > 0 {
			elsewhere += room
			o.zones = append(o.zones, z.Zone)
			o.shares = append(o.shares, elsewhere)
		}
	}
	for i := range o.shares {
		o.shares[i] /= elsewhere
	}
	o.move(o.wanted(slots, inFlight, demand, elsewhere), now)
}

// wanted returns the share that the figures ask for. demand is the number of
// requests in flight that the zone's callers would cause if none waited.
func (o *overflow) wanted(slots, inFlight, demand, elsewhere float64) float64 {
	if slots == 0 {
		return 1
	}
	load := max(demand, inFlight)
	if load == 0 {
		return 0
	}
	want := o.away
	switch {
	case inFlight > slots:
		want += shiftGain * (inFlight - slots) / load
	case inFlight < deadBand*slots:
		want -= shiftGain * (deadBand*slots - inFlight) / load
	}
	// The demand tells at once how much can't be served here.
	if demand > 0 {
		want = max(want, (demand-slots)/demand)
	}
	if want > o.away {
		want = min(want, o.away+elsewhere/load)
	}
	if elsewhere == 0 {
		// The other zones have no room for what is sent to them either.
		want = min(want, o.away*(1-maxShift))
	}
	return min(max(want, 0), 1)
}

// move changes the share towards the wanted one.
func (o *overflow) move(want float64, now time.Time) {
	delta := min(max(want-o.away, -maxShift), maxShift)
	direction := 0
	switch {
	case delta > 0:
		direction = 1
	case delta < 0:
		direction = -1
	default:
		return
	}
	if direction != o.direction {
		if o.direction != 0 && now.Sub(o.turnedAt) < turnInterval {
			return
		}
		o.direction, o.turnedAt = direction, now
	}
	o.away += delta
}

// zone returns the zone for a flow.
func (o *overflow) zone(own fleet.ZoneID, flow fleet.FlowHash) fleet.ZoneID {
	x := float64(flow>>11) / math.Exp2(53)
	if x >= o.away || len(o.zones) == 0 {
		return own
	}
	x /= o.away
	for i, share := range o.shares {
		if x < share {
			return o.zones[i]
		}
	}
	return o.zones[len(o.zones)-1]
}
