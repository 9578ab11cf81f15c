package entry

import (
	"time"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// A target counts as unresponsive if it has been sent at least
	// unresponsiveStarts start packets, the first of them at least
	// unresponsiveTime ago, and has not answered since that first one.
	unresponsiveStarts = 3
	unresponsiveTime   = time.Second
	// maxTrackedTargets is the maximum number of tracked targets.
	maxTrackedTargets = 4096
)

// startTracker holds the targets that have been sent start packets and have not
// answered since. A start packet counts only if the answers of its listener pass
// through this VM. At most maxTrackedTargets targets are held. Any packet from a
// target, except a load report, counts as an answer and removes the target, so
// the map is usually small.
type startTracker map[fleet.TargetID]*unansweredStarts

type unansweredStarts struct {
	since  time.Time
	starts int
}

// recordStart records a start packet to a target whose answers pass through
// this VM.
func (s startTracker) recordStart(id fleet.TargetID, now time.Time) {
	t := s[id]
	if t == nil {
		if len(s) >= maxTrackedTargets {
			return
		}
		t = &unansweredStarts{since: now}
		s[id] = t
	}
	t.starts++
}

// recordAnswer records that a target has answered.
func (s startTracker) recordAnswer(id fleet.TargetID) {
	if len(s) > 0 {
		delete(s, id)
	}
}

// unresponsive returns the keys of the targets that count as unresponsive.
func (s startTracker) unresponsive(now time.Time) map[fleet.TargetKey]bool {
	var out map[fleet.TargetKey]bool
	for id, t := range s {
		if t.starts < unresponsiveStarts || now.Sub(t.since) < unresponsiveTime {
			continue
		}
		if out == nil {
			out = make(map[fleet.TargetKey]bool)
		}
		out[id.Key()] = true
	}
	return out
}

// trackAnswers updates the start tracker after a packet has been handled.
func (s *shard) trackAnswers(r *geneve.Received, now time.Time) {
	if r.Packet.Source == balancer.FromTarget {
		s.startTracker.recordAnswer(r.Packet.Target)
		return
	}
	if !r.Packet.Start || s.view == nil {
		return
	}
	l := s.view.Listener(r.Packet.Flow.VIP, r.Packet.Flow.Protocol)
	if l == nil || l.Answers != fleet.Through {
		return
	}
	for i := range s.actions {
		if s.actions[i].Op == balancer.Forward {
			s.startTracker.recordStart(s.actions[i].Target, now)
		}
	}
}
