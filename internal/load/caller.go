package load

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// lingerTime is the time for which an attempt is tracked after the deadline of
// its request.
const lingerTime = time.Second

type (
	// kindState is the state of one kind of work and its callers.
	kindState struct {
		spec        *KindSpec
		listener    fleet.Listener
		arrivalRand *rand.Rand
		workRand    *rand.Rand
		retryRand   *rand.Rand
		retryBudget admission.RetryBudget
		lastPorts   []uint16 // last source port used by each caller
	}

	// request is one request of a caller, which may take several attempts.
	request struct {
		kind         int
		arrived      time.Duration
		deadline     time.Duration
		serviceTime  time.Duration
		slotTime     time.Duration // of the last run, within the window
		runs         int
		attemptCount int
		closed       bool
	}

	// attempt is one flow of a request.
	attempt struct {
		request *request
		flow    fleet.FlowKey
		run     *run
		broken  bool // the target was lost before it had served the request
		refused bool // refused with outcome NotRun
		closed  bool
	}
)

// retryBackoff sets the delay before a retry. The delays are short compared
// with the deadlines, so that a retry can still succeed.
var retryBackoff = admission.Backoff{First: 20 * time.Millisecond, Max: 200 * time.Millisecond}

func (sim *simulation) addKind(i int, seed uint64) {
	spec := &sim.workload.Kinds[i]
	vip := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}), 443)
	k := &kindState{
		spec: spec,
		listener: fleet.Listener{
			Address: vip,
			// The simulated callers end a flow with a reset, which UDP lacks.
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
		arrivalRand: rand.New(rand.NewPCG(seed, uint64(100+i))),
		workRand:    rand.New(rand.NewPCG(seed, uint64(200+i))),
		retryRand:   rand.New(rand.NewPCG(seed, uint64(300+i))),
		lastPorts:   make([]uint16, spec.Callers),
	}
	sim.kinds = append(sim.kinds, k)
}

// fullLoadRate returns the number of arrivals per second at a load of 1, which
// is the mean number that the slots of the service can serve.
func (sim *simulation) fullLoadRate(k *kindState) float64 {
	service := &sim.workload.Fleet.Services[sim.workload.Fleet.service(k.spec.Service)]
	return float64(service.slots()) / k.spec.ServiceTime.Seconds()
}

// scheduleArrival schedules the next arrival of a kind. Arrivals don't wait for
// answers (open loop).
func (sim *simulation) scheduleArrival(i int) {
	load, until := sim.workload.load(i, sim.now)
	if sim.now >= sim.workload.Duration {
		return
	}
	next := until - sim.now
	if load > 0 {
		gap := sim.kinds[i].arrivalRand.ExpFloat64() / (load * sim.fullLoadRate(sim.kinds[i]))
		if d := time.Duration(gap * float64(time.Second)); d < next {
			sim.after(d, func() {
				sim.newRequest(i)
				sim.scheduleArrival(i)
			})
			return
		}
	}
	// The load may change before the next arrival. Because the arrival process
	// is memoryless, a new gap can be drawn at the time of the change.
	sim.after(next, func() { sim.scheduleArrival(i) })
}

func (sim *simulation) newRequest(i int) {
	k := sim.kinds[i]
	r := &request{
		kind:        i,
		arrived:     sim.now,
		deadline:    sim.now + k.spec.Deadline,
		serviceTime: time.Duration(k.workRand.ExpFloat64() * float64(k.spec.ServiceTime)),
	}
	sim.results.recordOffered(r)
	sim.startAttempt(r, k.workRand.IntN(k.spec.Callers))
	sim.after(k.spec.Deadline, func() { sim.results.closeAtDeadline(r) })
}

// startAttempt sends the start packet of a new flow for the request.
func (sim *simulation) startAttempt(r *request, caller int) {
	k := sim.kinds[r.kind]
	k.lastPorts[caller]++
	addr := netip.AddrFrom4([4]byte{10, byte(r.kind), byte(caller >> 8), byte(caller)})
	a := &attempt{
		request: r,
		flow: fleet.FlowKey{
			Caller:   netip.AddrPortFrom(addr, k.lastPorts[caller]),
			VIP:      k.listener.Address,
			Protocol: k.listener.Protocol,
		},
	}
	r.attemptCount++
	sim.attemptByFlow[a.flow] = a
	sim.results.attempts++
	sim.sendFromCaller(a.flow, startPayload)
	if k.spec.Retransmit > 0 {
		sim.after(k.spec.Retransmit, func() { sim.resend(a, k.spec.Retransmit, startPayload) })
	}
	if k.spec.Ack > 0 {
		sim.after(k.spec.Ack, func() { sim.resend(a, k.spec.Ack, ackPayload) })
	}
	sim.after(r.deadline-sim.now, func() { sim.expireAttempt(a) })
}

// resend sends a packet at each interval until the attempt is closed or its
// deadline has passed.
func (sim *simulation) resend(a *attempt, interval time.Duration, p payload) {
	if a.closed || sim.now >= a.request.deadline {
		return
	}
	sim.sendFromCaller(a.flow, p)
	sim.after(interval, func() { sim.resend(a, interval, p) })
}

// expireAttempt runs at the deadline of the request. It resets the flow of an
// open attempt, and removes the attempt after lingerTime.
func (sim *simulation) expireAttempt(a *attempt) {
	if !a.closed {
		sim.results.recordTimeout(a)
		a.closed = true
		sim.sendFromCaller(a.flow, resetPayload)
	}
	sim.after(lingerTime, func() {
		if sim.attemptByFlow[a.flow] == a {
			delete(sim.attemptByFlow, a.flow)
		}
	})
}

// handleAnswer closes the attempt of a flow whose answer has arrived.
func (sim *simulation) handleAnswer(flow fleet.FlowKey) {
	a := sim.attemptByFlow[flow]
	if a == nil || a.closed {
		return
	}
	a.closed = true
	k := sim.kinds[a.request.kind]
	k.retryBudget.RecordSuccess(sim.wallTime())
	sim.results.recordAnswer(a.request)
}

// handleRefusal closes the refused attempt. It retries the request if the kind
// is idempotent or the request was not run, and if the deadline and the retry
// budget allow a retry.
func (sim *simulation) handleRefusal(flow fleet.FlowKey, cause balancer.Cause, outcome fleet.Outcome) {
	a := sim.attemptByFlow[flow]
	if a == nil || a.closed {
		return
	}
	a.closed = true
	r, k := a.request, sim.kinds[a.request.kind]
	if outcome == fleet.NotRun {
		sim.results.recordNotRunRefusal(a)
	}
	if a.run != nil && a.run.state != runQueued && cause != causeShed {
		sim.results.recordInterrupted(a)
	}
	safe := k.spec.Idempotent || outcome == fleet.NotRun
	now := sim.wallTime()
	d, ok := retryBackoff.Delay(r.attemptCount-1, now, startTime.Add(r.deadline), k.retryRand)
	if !safe || !ok || !k.retryBudget.AllowRetry(now) {
		sim.results.recordFinalRefusal(r, cause)
		return
	}
	sim.results.recordRetry(r)
	caller := int(flow.Caller.Addr().As4()[2])<<8 | int(flow.Caller.Addr().As4()[3])
	sim.after(d, func() { sim.startAttempt(r, caller) })
}
