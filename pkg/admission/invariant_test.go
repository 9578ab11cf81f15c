package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// model tracks the state of each flow, as derived from the results of the calls
// of the Limiter.
type model struct {
	l        *Limiter
	now      time.Time
	waiting  map[fleet.FlowKey]bool
	running  map[fleet.FlowKey]bool
	adopted  map[fleet.FlowKey]bool
	ended    map[fleet.FlowKey]string // how the request of the flow ended
	flows    []fleet.FlowKey
	lastPort int
}

func (m *model) recordEnd(t *rapid.T, flow fleet.FlowKey, reason string) {
	if m.running[flow] || m.ended[flow] != "" {
		t.Fatalf("%s is %s, but running=%v, ended=%q", flow, reason, m.running[flow], m.ended[flow])
	}
	delete(m.waiting, flow)
	m.ended[flow] = reason
}

func (m *model) recordStart(t *rapid.T, flow fleet.FlowKey) {
	if m.running[flow] || m.ended[flow] != "" {
		t.Fatalf("%s started, but running=%v, ended=%q", flow, m.running[flow], m.ended[flow])
	}
	delete(m.waiting, flow)
	m.running[flow] = true
}

func (m *model) step(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "wait")) * time.Microsecond)
	kind := rapid.SampledFrom([]fleet.KindName{"Order", "Lookup", "Sheet"}).Draw(t, "kind")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2, 3, 4:
		m.offer(t, kind, rapid.IntRange(0, 3).Draw(t, "caller"))
	case 5, 6:
		if flow, ok := m.pick(t); ok {
			result := Result(rapid.IntRange(int(Completed), int(Expired)).Draw(t, "result"))
			m.l.Finish(flow, result, m.now)
			m.recordFinish(flow)
		}
	case 7:
		if flow, ok := m.pick(t); ok && m.l.Cancel(flow, m.now) != (m.waiting[flow] || m.running[flow]) {
			t.Fatalf("cancel of %s disagrees with the model", flow)
		} else if ok {
			delete(m.waiting, flow)
			m.recordFinish(flow)
		}
	case 8:
		m.l.ReportLoad(rapid.IntRange(0, 10).Draw(t, "report"), m.now)
	case 9:
		m.lastPort++
		r := request(kind, 7, m.lastPort, m.now)
		m.l.Adopt(r, m.now)
		m.running[r.Flow], m.adopted[r.Flow] = true, true
		m.flows = append(m.flows, r.Flow)
	}
	m.runNext(t)
	m.check(t)
}

// pick selects a flow and reports whether it is running or queued.
func (m *model) pick(t *rapid.T) (fleet.FlowKey, bool) {
	if len(m.flows) == 0 {
		return fleet.FlowKey{}, false
	}
	i := rapid.IntRange(0, len(m.flows)-1).Draw(t, "flow")
	return m.flows[i], m.running[m.flows[i]] || m.waiting[m.flows[i]]
}

func (m *model) recordFinish(flow fleet.FlowKey) {
	if m.running[flow] {
		delete(m.running, flow)
		delete(m.adopted, flow)
		m.ended[flow] = "finished"
	}
}

func (m *model) offer(t *rapid.T, kind fleet.KindName, caller int) {
	m.lastPort++
	r := request(kind, caller, m.lastPort, m.now)
	m.flows = append(m.flows, r.Flow)
	if m.l.TryStart(r, m.now) {
		m.recordStart(t, r.Flow)
		return
	}
	evicted, err := m.l.Enqueue(r, m.now)
	for _, e := range evicted {
		m.recordEnd(t, e.Flow, "evicted")
	}
	if err != nil {
		m.recordEnd(t, r.Flow, "refused")
		return
	}
	m.waiting[r.Flow] = true
}

func (m *model) runNext(t *rapid.T) {
	started, expired := m.l.Next(m.now)
	for _, r := range expired {
		m.recordEnd(t, r.Flow, "expired")
	}
	for _, r := range started {
		m.recordStart(t, r.Flow)
	}
}

func (m *model) check(t *rapid.T) {
	if m.l.InFlight() != len(m.running) || m.l.Waiting() != len(m.waiting) {
		t.Fatalf("got %d in flight and %d queued, want %d and %d as in the model", m.l.InFlight(), m.l.Waiting(), len(m.running), len(m.waiting))
	}
	own, capacity := len(m.running)-len(m.adopted), m.l.capacity()
	if own > capacity {
		t.Fatalf("%d requests in flight that are not adopted, with %d slots", own, capacity)
	}
	limit := m.l.Limit(m.now)
	if limit < 1 || limit > capacity {
		t.Fatalf("limit %d is not between 1 and %d", limit, capacity)
	}
	for _, c := range m.l.classes {
		bytes := 0
		for i := range c.queue {
			bytes += c.queue[i].request.Bytes
		}
		if len(c.queue) > queuePerSlot*capacity || c.bytes > maxQueueBytes || bytes != c.bytes {
			t.Fatalf("queue of %s has %d requests, %d bytes, counted as %d", c.kind.Name, len(c.queue), bytes, c.bytes)
		}
		long := slices.ContainsFunc(m.l.classes, c.isLongFor)
		if len(c.queue) > 0 && len(m.running) < limit && !long {
			t.Fatalf("%s request queued with %d of %d slots in use", c.kind.Name, len(m.running), limit)
		}
	}
}

// Guards against a flow that is both started and refused, more requests in
// flight than slots (adopted requests aside), queues beyond their bounds, and
// slots that stay idle while requests are queued. Slots may stay idle while
// only requests are queued whose measured service time is long for a more urgent
// kind, since these must leave slots to that kind.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			l:       NewLimiter(target(rapid.IntRange(1, 5).Draw(t, "slots")), kinds(), start),
			now:     start,
			waiting: make(map[fleet.FlowKey]bool),
			running: make(map[fleet.FlowKey]bool),
			adopted: make(map[fleet.FlowKey]bool),
			ended:   make(map[fleet.FlowKey]string),
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			m.step(t)
		}
	})
}

// Guards against retries above a tenth of all successes, and against a budget
// that refuses the first retry although ten requests have just succeeded.
func TestRetryBudgetIsATenthOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		now := start
		successes, retries := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "step") > 0 {
				b.RecordSuccess(now)
				successes++
				continue
			}
			if b.AllowRetry(now) {
				retries++
			}
			if retries*10 > successes {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
		for range 10 {
			b.RecordSuccess(now)
		}
		if !b.AllowRetry(now) && retries == 0 {
			t.Fatal("no retry after ten successes")
		}
	})
}

// Guards against a budget that counts successes older than retryWindow.
func TestRetryBudgetForgetsOldSuccesses(t *testing.T) {
	var b RetryBudget
	for range 100 {
		b.RecordSuccess(start)
	}
	if !b.AllowRetry(start.Add(time.Second)) {
		t.Error("got no retry 1 s after 100 successes")
	}
	if b.AllowRetry(start.Add(retryWindow + time.Second)) {
		t.Error("got a retry for successes that are no longer recent")
	}
}
