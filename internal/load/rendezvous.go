package load

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// score returns the rendezvous hashing score of a candidate (a zone, target or
// VM) for a key (a flow or target).
func score(key, candidate uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	binary.LittleEndian.PutUint64(buf[8:], candidate)
	return xxhash.Sum64(buf[:])
}

// homeZone selects the zone of a flow by weighted rendezvous hashing. It
// returns nil if no zone that is in use has the service.
func homeZone(v *fleet.View, s fleet.ServiceID, h fleet.FlowHash) *fleet.Zone {
	var best *fleet.Zone
	bestScore := math.Inf(-1)
	for i := range v.Zones {
		z := &v.Zones[i]
		if z.State == fleet.ZoneOut || !hasService(z, s) {
			continue
		}
		u := (float64(score(uint64(h), xxhash.Sum64String(string(z.ID)))>>11) + 0.5) / (1 << 53)
		if w := -z.Weight / math.Log(u); w > bestScore {
			best, bestScore = z, w
		}
	}
	return best
}

func hasService(z *fleet.Zone, s fleet.ServiceID) bool {
	for _, id := range z.Services {
		if id == s {
			return true
		}
	}
	return false
}

// candidates returns the two targets with the highest scores among the targets
// of the service that take new flows. If there is only one such target, second
// is nil. If there is none, both results are nil.
func candidates(v *fleet.View, s fleet.ServiceID, h fleet.FlowHash) (first, second *fleet.Target) {
	var firstScore, secondScore uint64
	for _, t := range v.ServiceTargets(s) {
		if !t.TakesNewFlows() {
			continue
		}
		x := score(uint64(h), uint64(t.ID.Key()))
		switch {
		case first == nil || x > firstScore:
			first, second, firstScore, secondScore = t, first, x, firstScore
		case second == nil || x > secondScore:
			second, secondScore = t, x
		}
	}
	return first, second
}

// memberFor selects a VM by rendezvous hashing of a flow or target.
func memberFor(members []fleet.VM, h uint64) fleet.VMID {
	var best fleet.VMID
	bestScore := uint64(0)
	for i := range members {
		x := score(h, xxhash.Sum64String(string(members[i].ID)))
		if best == "" || x > bestScore {
			best, bestScore = members[i].ID, x
		}
	}
	return best
}
