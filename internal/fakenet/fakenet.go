package fakenet

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// tickInterval is the interval between two ticks of a host. It is shorter than
// every protocol timeout.
const tickInterval = 10 * time.Millisecond

// maxQueued is the maximum number of datagrams queued for a frozen host.
// Further datagrams are dropped, as by a full socket buffer.
const maxQueued = 512

type (
	// Datagram is an encoded message to a host.
	Datagram struct {
		To   fleet.VMID
		Data []byte
	}

	// Node is a process on a host. Handle receives a datagram. Tick is called
	// once per step. Both return the datagrams to send. now is the time of the
	// host's clock.
	Node interface {
		Handle(from fleet.VMID, data []byte, now time.Time) []Datagram
		Tick(now time.Time) []Datagram
	}

	// Traffic counts the datagrams that one host sent and received, and the
	// bytes of their payloads. Lost datagrams count as sent; duplicates made by
	// the network count only as received. LargestSent is the size in bytes of
	// the largest datagram sent.
	Traffic struct {
		SentBytes, ReceivedBytes         int
		SentDatagrams, ReceivedDatagrams int
		LargestSent                      int
	}

	// Network connects hosts. Its clock advances in steps of tickInterval. The
	// exported fields may be changed between steps.
	Network struct {
		Rand      *rand.Rand
		Delay     time.Duration // smallest one-way delay
		Jitter    time.Duration // upper bound of a random addition to Delay, which reorders datagrams
		Loss      float64       // probability that a datagram is lost
		Duplicate float64       // probability that a datagram is sent twice
		OnStep    func()        // called after each step

		now   time.Time
		start time.Time
		hosts map[fleet.VMID]*host
		ids   []fleet.VMID
		cuts  map[link]bool
		queue eventQueue
		seq   uint64
	}

	link struct{ from, to fleet.VMID }

	host struct {
		node        Node
		frozen      bool
		clockOffset time.Duration
		clockRate   float64
		queued      []event
		traffic     Traffic
	}

	event struct {
		deliverAt time.Time
		seq       uint64
		from, to  fleet.VMID
		data      []byte
	}

	eventQueue []event
)

// New returns a network without hosts. Its clock starts at a fixed time.
func New(rng *rand.Rand) *Network {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &Network{
		Rand: rng, Delay: time.Millisecond, Jitter: time.Millisecond,
		now: start, start: start, hosts: make(map[fleet.VMID]*host), cuts: make(map[link]bool),
	}
}

// Now returns the time of the network's clock, which has no offset and no rate
// error.
func (n *Network) Now() time.Time { return n.now }

// SetClock sets the offset and the rate of a host's clock; a rate of 1 is
// exact. It must be called before the first Start of the host, because it may
// move the host's clock backwards.
func (n *Network) SetClock(id fleet.VMID, offset time.Duration, rate float64) {
	h := n.host(id)
	h.clockOffset, h.clockRate = offset, rate
}

// Clock returns the time of a host's clock.
func (n *Network) Clock(id fleet.VMID) time.Time {
	h := n.host(id)
	return n.start.Add(h.clockOffset + time.Duration(float64(n.now.Sub(n.start))*h.clockRate))
}

// Start runs a node on a host. It replaces the previous node and drops the
// datagrams queued while that node was frozen. Datagrams in transit are
// delivered to the new node.
func (n *Network) Start(id fleet.VMID, node Node) {
	h := n.host(id)
	h.node, h.frozen, h.queued = node, false, nil
}

// Stop ends a host's process without notifying the process. It drops the
// datagrams queued while the process was frozen.
func (n *Network) Stop(id fleet.VMID) {
	h := n.host(id)
	h.node, h.queued = nil, nil
}

// Running reports whether the host has a process, frozen or not.
func (n *Network) Running(id fleet.VMID) bool { return n.host(id).node != nil }

// Frozen reports whether the host's process is frozen.
func (n *Network) Frozen(id fleet.VMID) bool { return n.host(id).frozen }

// Freeze suspends a host's process, which keeps its state. Up to maxQueued
// datagrams to the host are queued.
func (n *Network) Freeze(id fleet.VMID) { n.host(id).frozen = true }

// Unfreeze resumes a frozen process and delivers the queued datagrams at once.
func (n *Network) Unfreeze(id fleet.VMID) {
	h := n.host(id)
	h.frozen = false
	for _, e := range h.queued {
		n.deliver(e)
	}
	h.queued = nil
}

// Cut drops all datagrams that one host sends to another from now on. Datagrams
// in transit are still delivered.
func (n *Network) Cut(from, to fleet.VMID) { n.cuts[link{from, to}] = true }

// CutBoth cuts both directions between two hosts, as Cut does for one.
func (n *Network) CutBoth(a, b fleet.VMID) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal undoes all calls of Cut and CutBoth.
func (n *Network) Heal() { clear(n.cuts) }

// Traffic returns a host's counters.
func (n *Network) Traffic(id fleet.VMID) Traffic { return n.host(id).traffic }

// ResetTraffic sets all counters to zero.
func (n *Network) ResetTraffic() {
	for _, h := range n.hosts {
		h.traffic = Traffic{}
	}
}

// Run advances the network's clock by d, rounded up to a multiple of
// tickInterval.
func (n *Network) Run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.runStep()
	}
}

// RunUntil advances the network's clock step by step until done returns true or
// the clock has advanced by at least limit. It reports whether done returned
// true.
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
	end := n.now.Add(tickInterval)
	for len(n.queue) > 0 && !n.queue[0].deliverAt.After(end) {
		e := heap.Pop(&n.queue).(event)
		if e.deliverAt.After(n.now) {
			n.now = e.deliverAt
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
		if len(h.queued) < maxQueued {
			h.queued = append(h.queued, e)
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
		h.traffic.LargestSent = max(h.traffic.LargestSent, len(d.Data))
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
	heap.Push(&n.queue, event{deliverAt: n.now.Add(delay), seq: n.seq, from: from, to: d.To, data: d.Data})
}

func (n *Network) host(id fleet.VMID) *host {
	h := n.hosts[id]
	if h == nil {
		h = &host{clockRate: 1}
		n.hosts[id] = h
		i, _ := slices.BinarySearch(n.ids, id)
		n.ids = slices.Insert(n.ids, i, id)
	}
	return h
}

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].deliverAt.Equal(q[j].deliverAt) {
		return q[i].deliverAt.Before(q[j].deliverAt)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; it is called by package heap only.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event; it is called by package heap only.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
