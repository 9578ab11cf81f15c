package steering

import (
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/registry"
)

const (
	// coldWindow is the time in which a holder opens at most its part of the budget.
	// It exceeds the second of the budget by more than the jitter of a path, so that
	// opening packets that are sent in two windows don't arrive in one second.
	coldWindow = 1020 * time.Millisecond
	// coldSpacing divides the time between two flows that are spread evenly over
	// coldWindow; the result is the minimum time between two flows. With a divisor of
	// 1, holders that receive opening packets at random times at 4 times their part
	// used 0.85 of it in trials with TestColdBudget, with 2 they used 0.97, because less
	// time passes until the next opening packet after the minimum time.
	coldSpacing = 2
	// replacementDelay is the time for which a VM that becomes a holder of a warm-up
	// in place of another does not use its part: the other may have used it within
	// the last second, and may learn of the replacement later.
	replacementDelay = time.Second
	// defaultEntryVMs is the number of entry VMs that is assumed while it is unknown.
	defaultEntryVMs = 100
	// maxColdTried is the maximum number of cold targets without holders that are
	// tried for one flow.
	maxColdTried = 64
)

type (
	// coldPart is the part of a cold target's budget that one holder has: of a budget
	// b, the holder at index i of n gets b/n flows, and one more if i < b%n.
	coldPart struct {
		index, holders int
	}

	// coldBudget limits the flows that this VM opens to one cold target. It answers
	// the load of a target that has just started, which serves few requests per
	// second and would delay or refuse those beyond them.
	coldBudget struct {
		// sent holds the times of the opening packets of the last coldWindow.
		sent []time.Time
	}

	// ColdStats holds counters and gauges of cold targets of services with a cold
	// rate.
	ColdStats struct {
		// Sent is the number of opening packets that were sent to cold targets, and
		// Refused the number of those that were refused because the targets that were
		// left are cold and this VM has no unused part of their budgets.
		Sent, Refused uint64
		// Held is the number of cold targets that this VM holds.
		Held int
	}
)

// flows returns the number of flows that the holder may open in any second.
func (p coldPart) flows(budget int) int {
	if p.holders == 0 {
		return 0
	}
	n := budget / p.holders
	if p.index < budget%p.holders {
		n++
	}
	return n
}

// partOf returns the part of the VM with the given hash, or the zero value if the VM
// is no holder.
func partOf(holders []uint32, self uint32) coldPart {
	if i := slices.Index(holders, self); i >= 0 {
		return coldPart{i, len(holders)}
	}
	return coldPart{}
}

// allows reports whether one more flow may be opened, if n flows may be opened in any
// coldWindow.
func (b *coldBudget) allows(n int, now time.Time) bool {
	b.expire(now)
	if n == 0 || len(b.sent) >= n {
		return false
	}
	return len(b.sent) == 0 || now.Sub(b.sent[len(b.sent)-1]) >= coldWindow/time.Duration(coldSpacing*n)
}

// spend records an opening packet that is sent to the target.
func (b *coldBudget) spend(now time.Time) {
	b.expire(now)
	b.sent = append(b.sent, now)
}

func (b *coldBudget) expire(now time.Time) {
	n := 0
	for n < len(b.sent) && now.Sub(b.sent[n]) >= coldWindow {
		n++
	}
	b.sent = slices.Delete(b.sent, 0, n)
}

// limitsCold reports whether the budget of cold targets applies to the target.
func (s *service) limitsCold(t *Target, now time.Time) bool {
	return s.coldBudget > 0 && now.Before(t.WarmAt)
}

// heldCold returns the cold targets of which this VM is a holder.
func (s *service) heldCold(now time.Time) []*Target {
	var cold []*Target
	for _, t := range s.held {
		if s.limitsCold(t, now) {
			cold = append(cold, t)
		}
	}
	return cold
}

// mayOpenCold reports whether this VM may open a flow to a target to which the budget
// of cold targets applies.
func (c *Core) mayOpenCold(s *service, t *Target, now time.Time) bool {
	if t.part.holders == 0 {
		return false
	}
	n := t.part.flows(s.coldBudget)
	if now.Before(t.partFrom) {
		n = min(n, t.formerPart.flows(s.coldBudget))
	}
	return n > 0 && c.targetLoadOf(t.Cookie).cold.allows(n, now)
}

// chooseUnheld returns a cold target that has had no holders for replacementDelay, or
// nil. It is called if no other target of the service may take the flow. If this VM holds no target of the service,
// it opens one flow to each such target per n seconds, where n is the number of entry
// VMs. The VMs take turns by hash, so that they don't all open a flow in the same
// second.
func (c *Core) chooseUnheld(s *service, now time.Time) *Target {
	if len(s.heldCold(now)) > 0 {
		return nil
	}
	n := c.entryVMs
	if n == 0 {
		n = defaultEntryVMs
	}
	first := c.Random.IntN(max(len(s.targets), 1))
	for i := range min(len(s.targets), maxColdTried) {
		t := s.targets[(first+i)%len(s.targets)]
		if !now.Before(t.WarmAt) || len(t.holders) > 0 || now.Before(t.partFrom) || (uint64(now.Unix())+t.rank)%uint64(n) != 0 {
			continue
		}
		if c.targetLoadOf(t.Cookie).cold.allows(1, now) {
			return t
		}
	}
	return nil
}

// countOpening counts an opening packet that is sent to the target against the budget
// of the target, if one applies.
func (c *Core) countOpening(s *service, t *Target, now time.Time) {
	if s != nil && s.limitsCold(t, now) {
		c.targetLoadOf(t.Cookie).cold.spend(now)
		c.cold.Sent++
	}
}

// inherit takes over what is known about a replacement of the holders from the former
// state of the target, which may be nil. If other holders were chosen for the same
// warm-up, this VM uses at most its former part for replacementDelay.
func (t *Target) inherit(old *Target, now time.Time) {
	switch {
	case old == nil || t.born != old.born || !now.Before(old.WarmAt) || len(t.holders) > 0 != (len(old.holders) > 0):
	case slices.Equal(t.holders, old.holders):
		t.formerPart, t.partFrom = old.formerPart, old.partFrom
	default:
		t.formerPart, t.partFrom = old.part, now.Add(replacementDelay)
		if now.Before(old.partFrom) {
			t.formerPart = old.formerPart // the part before was not used
		}
	}
}

// inheritAll calls inherit for the targets of a new view. Without a former view, this
// process has just started: an earlier process of this VM may have used its parts
// within the last second.
func (v *View) inheritAll(old *View) {
	for k, t := range v.targets {
		if old != nil {
			t.inherit(old.targets[k], v.builtAt)
		} else if len(t.holders) > 0 {
			t.partFrom = v.builtAt.Add(replacementDelay)
		}
	}
}

// holds reports whether the VM of the view holds the target in its current warm-up.
func (t *Target) holds(now time.Time) bool { return t.part.holders > 0 && now.Before(t.WarmAt) }

// holdersOf returns the holders that rec names for its warm-up.
func holdersOf(rec *registry.Record) []uint32 {
	if rec.Warmup == 0 {
		return nil
	}
	return rec.Holders
}
