package entry

import (
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// limiter joins admission control to the core, whose request types are equal
// but declared separately, so that neither package imports the other.
type limiter struct {
	*admission.Limiter
	evicted []balancer.Request
	started []balancer.Request
	expired []balancer.Request
}

var _ balancer.Limiter = (*limiter)(nil)

func newLimiter(t fleet.Target, kinds []fleet.Kind, now time.Time) balancer.Limiter {
	return &limiter{Limiter: admission.NewLimiter(t, kinds, now)}
}

func (l *limiter) TryStart(r balancer.Request, now time.Time) bool {
	return l.Limiter.TryStart(admission.Request(r), now)
}

func (l *limiter) Enqueue(r balancer.Request, now time.Time) ([]balancer.Request, error) {
	evicted, err := l.Limiter.Enqueue(admission.Request(r), now)
	l.evicted = convert(l.evicted, evicted)
	return l.evicted, err
}

func (l *limiter) Next(now time.Time) (started, expired []balancer.Request) {
	s, e := l.Limiter.Next(now)
	l.started, l.expired = convert(l.started, s), convert(l.expired, e)
	return l.started, l.expired
}

func (l *limiter) Finish(flow fleet.FlowKey, result balancer.Result, now time.Time) {
	l.Limiter.Finish(flow, results[result], now)
}

func (l *limiter) Adopt(r balancer.Request, now time.Time) {
	l.Limiter.Adopt(admission.Request(r), now)
}

// Configure drops the list of requests that the change refuses: the core ends
// queued flows of a target that takes no new flows by their deadline.
func (l *limiter) Configure(t fleet.Target, kinds []fleet.Kind, now time.Time) {
	l.Limiter.Configure(t, kinds, now)
}

var results = map[balancer.Result]admission.Result{
	balancer.Completed:    admission.Completed,
	balancer.ShedByTarget: admission.Shed,
	balancer.Cancelled:    admission.Cancelled,
	balancer.Expired:      admission.Expired,
}

func convert(to []balancer.Request, from []admission.Request) []balancer.Request {
	to = to[:0]
	for _, r := range from {
		to = append(to, balancer.Request(r))
	}
	return to
}
