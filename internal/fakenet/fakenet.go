package fakenet

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// step is the interval between two ticks of a host; it is finer than every
// protocol timeout.
const step = 10 * time.Millisecond

// maxHeld bounds the datagrams that wait for a frozen host, as a socket
// buffer does.
const maxHeld = 512

type (
	// Datagram is an encoded message on its way to a host.
	Datagram struct {
		To   fleet.VMID
		Data []byte
	}

	// Node is a process on a host; now is the host's own clock.
	Node interface {
		Handle(from fleet.VMID, data []byte, now time.Time) []Datagram
		Tick(now time.Time) []Datagram
	}

	// Traffic counts what one host sent and received; bytes are payload only.
	Traffic struct {
		SentBytes, ReceivedBytes         int
		SentDatagrams, ReceivedDatagrams int
		Largest                          int
	}

	// Network connects hosts. The exported fields may change between steps.
	Network struct {
		Rand      *rand.Rand
		Delay     time.Duration // smallest one-way delay
		Jitter    time.Duration // random addition to Delay, which reorders
		Loss      float64       // probability that a datagram is lost
		Duplicate float64       // probability that a datagram arrives twice
		OnStep    func()        // called after each step

		now   time.Time
		start time.Time
		hosts map[fleet.VMID]*host
		ids   []fleet.VMID
		cuts  map[link]bool
		queue events
		seq   uint64
	}

	link struct{ from, to fleet.VMID }

	host struct {
		node    Node
		frozen  bool
		offset  time.Duration
		rate    float64
		held    []event
		traffic Traffic
	}

	event struct {
		at       time.Time
		seq      uint64
		from, to fleet.VMID
		data     []byte
	}

	events []event
)

// New returns an empty network at a fixed start time.
func New(rng *rand.Rand) *Network {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &Network{
		Rand: rng, Delay: time.Millisecond, Jitter: time.Millisecond,
		now: start, start: start, hosts: make(map[fleet.VMID]*host), cuts: make(map[link]bool),
	}
}

// Now returns the true time.
func (n *Network) Now() time.Time { return n.now }

// SetClock gives a host's clock an offset and a rate; rate 1 is exact. It must
// be called before the host's first Start.
func (n *Network) SetClock(id fleet.VMID, offset time.Duration, rate float64) {
	h := n.host(id)
	h.offset, h.rate = offset, rate
}

// Clock returns a host's own time.
func (n *Network) Clock(id fleet.VMID) time.Time {
	h := n.host(id)
	return n.start.Add(h.offset + time.Duration(float64(n.now.Sub(n.start))*h.rate))
}

// Start runs a node on a host, which may have run another one before.
func (n *Network) Start(id fleet.VMID, node Node) {
	h := n.host(id)
	h.node, h.frozen, h.held = node, false, nil
}

// Stop ends a host's process without notice.
func (n *Network) Stop(id fleet.VMID) {
	h := n.host(id)
	h.node, h.held = nil, nil
}

// Running reports whether a process is on the host, frozen or not.
func (n *Network) Running(id fleet.VMID) bool { return n.host(id).node != nil }

// Frozen reports whether the host's process is frozen.
func (n *Network) Frozen(id fleet.VMID) bool { return n.host(id).frozen }

// Freeze stops a process with its state; datagrams wait up to a bound.
func (n *Network) Freeze(id fleet.VMID) { n.host(id).frozen = true }

// Thaw lets a frozen process go on, first with the datagrams that waited.
func (n *Network) Thaw(id fleet.VMID) {
	h := n.host(id)
	h.frozen = false
	for _, e := range h.held {
		n.deliver(e)
	}
	h.held = nil
}

// Cut drops datagrams in one direction.
func (n *Network) Cut(from, to fleet.VMID) { n.cuts[link{from, to}] = true }

// CutBoth drops datagrams in both directions.
func (n *Network) CutBoth(a, b fleet.VMID) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal removes all cuts.
func (n *Network) Heal() { clear(n.cuts) }

// Traffic returns a host's counters.
func (n *Network) Traffic(id fleet.VMID) Traffic { return n.host(id).traffic }

// ResetTraffic sets all counters to zero.
func (n *Network) ResetTraffic() {
	for _, h := range n.hosts {
		h.traffic = Traffic{}
	}
}

// Run advances the true time by d in steps.
func (n *Network) Run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.runStep()
	}
}

// RunUntil advances until done returns true, at most for limit; it reports
// whether done returned true.
func (n *Network) RunUntil(limit time.Duration, done func() bool) bool {
	for end := n.now.Add(limit); n.now.Before(end); {
		if done() {
			return true
		}
		n.runStep()
	}
	return done()
}

func (n *Network) runStep() {
	end := n.now.Add(step)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		if e.at.After(n.now) {
			n.now = e.at
		}
		n.deliver(e)
	}
	n.now = end
	for _, id := range n.ids {
		if h := n.hosts[id]; h.node != nil && !h.frozen {
			n.send(id, h.node.Tick(n.Clock(id)))
		}
	}
	if n.OnStep != nil {
		n.OnStep()
	}
}

func (n *Network) deliver(e event) {
	h := n.host(e.to)
	if h.node == nil {
		return
	}
	if h.frozen {
		if len(h.held) < maxHeld {
			h.held = append(h.held, e)
		}
		return
	}
	h.traffic.ReceivedBytes += len(e.data)
	h.traffic.ReceivedDatagrams++
	n.send(e.to, h.node.Handle(e.from, e.data, n.Clock(e.to)))
}

func (n *Network) send(from fleet.VMID, out []Datagram) {
	h := n.host(from)
	for _, d := range out {
		h.traffic.SentBytes += len(d.Data)
		h.traffic.SentDatagrams++
		h.traffic.Largest = max(h.traffic.Largest, len(d.Data))
		n.enqueue(from, d)
		if n.Rand.Float64() < n.Duplicate {
			n.enqueue(from, d)
		}
	}
}

func (n *Network) enqueue(from fleet.VMID, d Datagram) {
	if n.cuts[link{from, d.To}] || n.Rand.Float64() < n.Loss {
		return
	}
	delay := n.Delay
	if n.Jitter > 0 {
		delay += time.Duration(n.Rand.Int64N(int64(n.Jitter)))
	}
	n.seq++
	heap.Push(&n.queue, event{at: n.now.Add(delay), seq: n.seq, from: from, to: d.To, data: d.Data})
}

func (n *Network) host(id fleet.VMID) *host {
	h := n.hosts[id]
	if h == nil {
		h = &host{rate: 1}
		n.hosts[id] = h
		i, _ := slices.BinarySearch(n.ids, id)
		n.ids = slices.Insert(n.ids, i, id)
	}
	return h
}

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; it is called by package heap only.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; it is called by package heap only.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
