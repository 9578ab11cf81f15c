package load

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// forgetTime is the time for which a request is watched after its deadline.
const forgetTime = time.Second

type (
	// kindState is a kind of work with its callers.
	kindState struct {
		spec     *KindSpec
		listener fleet.Listener
		arrive   *rand.Rand
		work     *rand.Rand
		retry    *rand.Rand
		budget   admission.RetryBudget
		ports    []uint16 // last port of each caller
	}

	// request is what a caller wants; it may take several attempts.
	request struct {
		kind     int
		arrived  time.Duration
		deadline time.Duration
		service  time.Duration
		used     time.Duration // slot time within the window of results
		runs     int
		tries    int
		closed   bool
	}

	// attempt is one flow of a request.
	attempt struct {
		request *request
		flow    fleet.FlowKey
		run     *run
		broken  bool // its target was lost
		refused bool // refused as NotRun
		closed  bool
	}
)

// retryBackoff is short against the deadlines, so that a retry has a chance.
var retryBackoff = admission.Backoff{First: 20 * time.Millisecond, Max: 200 * time.Millisecond}

func (w *world) addKind(i int, seed uint64) {
	spec := &w.load.Kinds[i]
	vip := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}), 443)
	k := &kindState{
		spec: spec,
		listener: fleet.Listener{
			Address: vip,
			// A UDP flow has no resets, with which callers here end a flow.
			Protocol: fleet.TCP,
			Service:  spec.Service,
			Answers:  fleet.Through,
			Kind: fleet.Kind{
				Name:        spec.Name,
				Urgency:     spec.Urgency,
				Weight:      spec.Weight,
				Share:       spec.Share,
				Deadline:    spec.Deadline,
				IdleTimeout: max(spec.Deadline, time.Second),
				Idempotent:  spec.Idempotent,
			},
		},
		arrive: rand.New(rand.NewPCG(seed, uint64(100+i))),
		work:   rand.New(rand.NewPCG(seed, uint64(200+i))),
		retry:  rand.New(rand.NewPCG(seed, uint64(300+i))),
		ports:  make([]uint16, spec.Callers),
	}
	w.kinds = append(w.kinds, k)
}

// rate is the number of arrivals per second for a load of 1.
func (w *world) rate(k *kindState) float64 {
	service := &w.load.Fleet.Services[w.load.Fleet.service(k.spec.Service)]
	return float64(service.slots()) / k.spec.ServiceTime.Seconds()
}

// arrivals schedules the next arrival of a kind. Arrivals don't wait for
// answers (open loop).
func (w *world) arrivals(i int) {
	load, until := w.load.load(i, w.now)
	if w.now >= w.load.Duration {
		return
	}
	next := until - w.now
	if load > 0 {
		gap := w.kinds[i].arrive.ExpFloat64() / (load * w.rate(w.kinds[i]))
		if d := time.Duration(gap * float64(time.Second)); d < next {
			w.after(d, func() {
				w.newRequest(i)
				w.arrivals(i)
			})
			return
		}
	}
	// The arrival process has no memory, so it restarts with the next phase.
	w.after(next, func() { w.arrivals(i) })
}

func (w *world) newRequest(i int) {
	k := w.kinds[i]
	r := &request{
		kind:     i,
		arrived:  w.now,
		deadline: w.now + k.spec.Deadline,
		service:  time.Duration(k.work.ExpFloat64() * float64(k.spec.ServiceTime)),
	}
	w.result.offered(r)
	w.attempt(r, k.work.IntN(k.spec.Callers))
	w.after(k.spec.Deadline, func() { w.result.deadline(r) })
}

// attempt starts a flow for the request.
func (w *world) attempt(r *request, caller int) {
	k := w.kinds[r.kind]
	k.ports[caller]++
	addr := netip.AddrFrom4([4]byte{10, byte(r.kind), byte(caller >> 8), byte(caller)})
	a := &attempt{
		request: r,
		flow: fleet.FlowKey{
			Caller:   netip.AddrPortFrom(addr, k.ports[caller]),
			VIP:      k.listener.Address,
			Protocol: k.listener.Protocol,
		},
	}
	r.tries++
	w.byFlow[a.flow] = a
	w.result.attempts++
	w.fromCaller(a.flow, startPayload)
	if k.spec.Retransmit > 0 {
		w.after(k.spec.Retransmit, func() { w.repeat(a, k.spec.Retransmit, startPayload) })
	}
	if k.spec.Ack > 0 {
		w.after(k.spec.Ack, func() { w.repeat(a, k.spec.Ack, ackPayload) })
	}
	w.after(r.deadline-w.now, func() { w.giveUp(a) })
}

// repeat sends a packet of an open attempt again and again.
func (w *world) repeat(a *attempt, every time.Duration, p payload) {
	if a.closed || w.now >= a.request.deadline {
		return
	}
	w.fromCaller(a.flow, p)
	w.after(every, func() { w.repeat(a, every, p) })
}

// giveUp resets an attempt at its deadline and forgets it a little later.
func (w *world) giveUp(a *attempt) {
	if !a.closed {
		w.result.unanswered(a)
		a.closed = true
		w.fromCaller(a.flow, resetPayload)
	}
	w.after(forgetTime, func() {
		if w.byFlow[a.flow] == a {
			delete(w.byFlow, a.flow)
		}
	})
}

// answered takes the complete answer.
func (w *world) answered(flow fleet.FlowKey) {
	a := w.byFlow[flow]
	if a == nil || a.closed {
		return
	}
	a.closed = true
	k := w.kinds[a.request.kind]
	k.budget.RecordSuccess(w.wall())
	w.result.answered(a.request)
}

// refused takes a refusal and retries where that is safe and allowed.
func (w *world) refused(flow fleet.FlowKey, cause balancer.Cause, outcome fleet.Outcome) {
	a := w.byFlow[flow]
	if a == nil || a.closed {
		return
	}
	a.closed = true
	r, k := a.request, w.kinds[a.request.kind]
	if outcome == fleet.NotRun {
		w.result.refusedNotRun(a)
	}
	if a.run != nil && a.run.state != runQueued && cause != causeShed {
		w.result.interrupted(a)
	}
	safe := k.spec.Idempotent || outcome == fleet.NotRun
	now := w.wall()
	d, ok := retryBackoff.Delay(r.tries-1, now, epoch.Add(r.deadline), k.retry)
	if !safe || !ok || !k.budget.AllowRetry(now) {
		w.result.refusedFinally(r, cause)
		return
	}
	w.result.retried(r)
	caller := int(flow.Caller.Addr().As4()[2])<<8 | int(flow.Caller.Addr().As4()[3])
	w.after(d, func() { w.attempt(r, caller) })
}
