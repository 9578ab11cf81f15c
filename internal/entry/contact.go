package entry

import (
	"time"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// silentStarts and silentTime are the start packets and the time without
	// any answer after which a target counts as silent.
	silentStarts = 3
	silentTime   = time.Second
	// maxSilent bounds the targets that are watched at once.
	maxSilent = 4096
)

// contacts watches which targets leave start packets without any answer. It
// holds only targets that still owe an answer, so that it is nearly empty.
type contacts map[fleet.TargetID]*contact

type contact struct {
	since  time.Time
	starts int
}

// started notes a start packet that went to a target whose answers pass here.
func (c contacts) started(id fleet.TargetID, now time.Time) {
	t := c[id]
	if t == nil {
		if len(c) >= maxSilent {
			return
		}
		t = &contact{since: now}
		c[id] = t
	}
	t.starts++
}

// answered notes any packet of a target.
func (c contacts) answered(id fleet.TargetID) {
	if len(c) > 0 {
		delete(c, id)
	}
}

// silent returns the targets that count as silent.
func (c contacts) silent(now time.Time) map[fleet.TargetKey]bool {
	var out map[fleet.TargetKey]bool
	for id, t := range c {
		if t.starts < silentStarts || now.Sub(t.since) < silentTime {
			continue
		}
		if out == nil {
			out = make(map[fleet.TargetKey]bool)
		}
		out[id.Key()] = true
	}
	return out
}

// watch keeps the contacts by a handled packet and its actions.
func (s *shard) watch(r *geneve.Received, now time.Time) {
	if r.Packet.Source == balancer.FromTarget {
		s.contacts.answered(r.Packet.Target)
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
			s.contacts.started(s.actions[i].Target, now)
		}
	}
}
