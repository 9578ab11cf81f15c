package feed

import (
	"time"

	"golang.org/x/time/rate"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// bindingRate is the number of bindings per second that a hub takes from its entry
	// VMs, and bindingBurst the number at once. A binding takes about 20 bytes in each
	// message. At the design scale, 15 flows per second and hub are contested if 0.1 % of
	// the packets are lost.
	bindingRate, bindingBurst = 50, 200
	// maxBindings is the maximum number of bindings that a hub keeps.
	maxBindings = 1 << 15
)

type (
	// bindingLog holds the bindings of contested flows in the order of their arrival, for
	// as long as a flow lasts. Entry VMs get all of them, and hubs those that were
	// reported here.
	bindingLog struct {
		list []loggedBinding
		// version counts the bindings that have ever been added. It is that of the last one
		// in list, whose versions have no gaps.
		version uint64
		limiter *rate.Limiter
		// rejected counts the bindings above bindingRate.
		rejected uint64
	}

	loggedBinding struct {
		fleet.FlowBinding
		own bool
		at  time.Time
	}
)

func newBindingLog() bindingLog {
	return bindingLog{limiter: rate.NewLimiter(bindingRate, bindingBurst)}
}

// add adds bindings, and reports whether it has added any. own is set if entry VMs have
// reported them to this hub; such bindings are limited.
func (l *bindingLog) add(list []fleet.FlowBinding, own bool, now time.Time) bool {
	before := l.version
	for _, b := range list {
		if own && !l.limiter.AllowN(now, 1) {
			l.rejected++
			continue
		}
		if len(l.list) >= maxBindings {
			l.list = l.list[1:]
		}
		l.list = append(l.list, loggedBinding{b, own, now})
		l.version++
	}
	return l.version > before
}

// expire removes the bindings of flows that may be discarded.
func (l *bindingLog) expire(now time.Time) {
	n := 0
	for n < len(l.list) && now.Sub(l.list[n].at) > fleet.FlowLifetime {
		n++
	}
	l.list = l.list[n:]
	if len(l.list) == 0 {
		l.list = nil
	}
}

// between returns the bindings after version from up to version to that the subscribers of
// a role get.
func (l *bindingLog) between(from, to uint64, r Role) []fleet.FlowBinding {
	oldest := l.version - uint64(len(l.list)) // the version before that of list[0]
	var list []fleet.FlowBinding
	for v := max(from, oldest); v < to; v++ {
		if b := &l.list[v-oldest]; r == Entry || b.own {
			list = append(list, b.FlowBinding)
		}
	}
	return list
}
