package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// Intervals and numbers of the protocol.
const (
	// Relays is the number of VMs of a zone that poll the replicas.
	Relays = 2
	// Fanout is the number of peers that a VM tells of a new revision.
	Fanout = 3
	// RelayInterval is the time between two polls of a relay.
	RelayInterval = time.Second
	// PeerInterval is the time between two comparisons with a random peer. At
	// 2 s and with a fifth of the messages lost, some VMs were still behind
	// 8 s after a change.
	PeerInterval = 500 * time.Millisecond
	// PullTimeout is the time after which another source is asked.
	PullTimeout = 500 * time.Millisecond
	// subscriberLifetime is how long a replica tells a VM that has polled it.
	subscriberLifetime = 5 * time.Second
	// maxSubscribers bounds what a replica keeps; 64 zones' relays fit.
	maxSubscribers = 256
)

type (
	// Copy holds the documents; *settings.Store is one.
	Copy interface {
		Revision() fleet.Revision
		Delta(from fleet.Revision) *settings.Delta
		Apply(d *settings.Delta) (bool, error)
	}

	// Stats counts what a node did.
	Stats struct {
		Hints    uint64 // hints sent
		Pulls    uint64 // pulls sent
		Pushes   uint64 // deltas sent
		Applied  uint64 // deltas applied
		Stale    uint64 // deltas that brought nothing new
		Rejected uint64 // deltas that did not fit
		Timeouts uint64 // pulls without an answer
	}
)

var _ Copy = (*settings.Store)(nil)

// Node is one process in the distribution. Exported fields are set before
// first use; it is used by one goroutine.
type Node struct {
	Self     fleet.VMID
	Copy     Copy
	Rand     *rand.Rand
	Recorder timeline.Recorder
	// Source marks a control replica, which only answers.
	Source bool

	peers    []fleet.VMID
	replicas []fleet.VMID
	others   []fleet.VMID
	relay    bool

	nextPoll time.Time
	nextPeer time.Time
	pull     pull
	told     fleet.Revision
	polled   map[fleet.VMID]time.Time
	stats    Stats
}

// pull is the outstanding request for a delta.
type pull struct {
	source fleet.VMID
	at     time.Time
	goal   fleet.Revision
	full   bool
}

// SetPeers sets the live VMs of the own zone, the replicas, and some live VMs
// of other zones.
func (n *Node) SetPeers(zone, replicas, others []fleet.VMID) {
	n.peers = slices.DeleteFunc(slices.Clone(zone), func(id fleet.VMID) bool { return id == n.Self })
	n.replicas = slices.Clone(replicas)
	n.others = slices.Clone(others)
	n.relay = n.isRelay()
}

// isRelay reports whether fewer than Relays live peers rank above this VM.
func (n *Node) isRelay() bool {
	above := 0
	self := rank(n.Self)
	for _, id := range n.peers {
		if rank(id) > self {
			above++
		}
	}
	return above < Relays
}

func rank(id fleet.VMID) uint64 { return xxhash.Sum64String(string(id)) }

// Stats returns the counters.
func (n *Node) Stats() Stats { return n.stats }

// Tick sends polls that are due and retries pulls that had no answer; on a
// replica it tells subscribers of a new revision.
func (n *Node) Tick(now time.Time) []Envelope {
	if n.Source {
		return n.tellSubscribers(now)
	}
	var out []Envelope
	if n.pull.source != "" && now.Sub(n.pull.at) >= PullTimeout {
		n.stats.Timeouts++
		out = append(out, n.retryPull(now)...)
	}
	if n.relay && !now.Before(n.nextPoll) {
		n.nextPoll = now.Add(n.jitter(RelayInterval))
		out = n.hint(out, n.pick(n.replicas), true)
	}
	if !now.Before(n.nextPeer) {
		n.nextPeer = now.Add(n.jitter(PeerInterval))
		out = n.hint(out, n.pick(n.peers), true)
		if n.relay {
			out = n.hint(out, n.pick(n.others), true)
		}
	}
	return out
}

// Handle processes one message.
func (n *Node) Handle(from fleet.VMID, m Message, now time.Time) []Envelope {
	switch {
	case m.Hint != nil:
		return n.handleHint(from, m.Hint, now)
	case m.Pull != nil:
		n.stats.Pushes++
		return []Envelope{{To: from, Message: Message{Push: &Push{Delta: *n.Copy.Delta(m.Pull.From)}}}}
	case m.Push != nil && !n.Source:
		return n.handlePush(from, &m.Push.Delta, now)
	}
	return nil
}

func (n *Node) handleHint(from fleet.VMID, h *Hint, now time.Time) []Envelope {
	if n.Source {
		n.subscribe(from, now)
	}
	applied := n.Copy.Revision()
	switch {
	case h.Revision < applied && h.Poll:
		return n.hint(nil, from, false)
	case h.Revision > applied && !n.Source:
		n.pull.goal = max(n.pull.goal, h.Revision)
		if n.pull.source == "" {
			return n.startPull(from, now)
		}
	}
	return nil
}

func (n *Node) handlePush(from fleet.VMID, d *settings.Delta, now time.Time) []Envelope {
	if from == n.pull.source {
		n.pull.source = ""
	}
	changed, err := n.Copy.Apply(d)
	if err != nil {
		n.stats.Rejected++
		n.record(timeline.Event{Kind: timeline.KindFault, Name: "DeltaRejected", VM: from, Revision: d.To, Detail: err.Error()}, now)
		// The timeout asks for the full delta; to ask at once would loop at
		// the speed of the network with a peer that keeps sending a bad one.
		n.pull = pull{source: from, at: now, goal: d.To, full: true}
		return nil
	}
	n.pull.full = false
	if !changed {
		n.stats.Stale++
		n.pull.goal = n.Copy.Revision()
		return nil
	}
	n.stats.Applied++
	n.record(timeline.Event{Kind: timeline.KindSettings, Name: "InForce", VM: n.Self, Revision: d.To}, now)
	out := n.tellPeers()
	if n.pull.goal > n.Copy.Revision() && n.pull.source == "" {
		out = append(out, n.startPull(from, now)...)
	}
	return out
}

func (n *Node) tellPeers() []Envelope {
	var out []Envelope
	for _, i := range n.Rand.Perm(len(n.peers))[:min(Fanout, len(n.peers))] {
		out = n.hint(out, n.peers[i], false)
	}
	return out
}

func (n *Node) startPull(source fleet.VMID, now time.Time) []Envelope {
	n.pull.source = source
	n.pull.at = now
	n.stats.Pulls++
	from := n.Copy.Revision()
	if n.pull.full {
		from = 0
	}
	return []Envelope{{To: source, Message: Message{Pull: &Pull{From: from}}}}
}

// retryPull asks another VM, since the first source may have died; a relay
// asks a replica every other time.
func (n *Node) retryPull(now time.Time) []Envelope {
	n.pull.source = ""
	if n.pull.goal <= n.Copy.Revision() {
		return nil
	}
	candidates := n.peers
	if len(candidates) == 0 || n.relay && n.Rand.IntN(2) == 0 {
		candidates = n.replicas
	}
	source := n.pick(candidates)
	if source == "" {
		return nil
	}
	return n.startPull(source, now)
}

func (n *Node) subscribe(id fleet.VMID, now time.Time) {
	if n.polled == nil {
		n.polled = make(map[fleet.VMID]time.Time)
	}
	if _, known := n.polled[id]; known || len(n.polled) < maxSubscribers {
		n.polled[id] = now
	}
}

func (n *Node) tellSubscribers(now time.Time) []Envelope {
	for id, at := range n.polled {
		if now.Sub(at) > subscriberLifetime {
			delete(n.polled, id)
		}
	}
	revision := n.Copy.Revision()
	if revision == n.told {
		return nil
	}
	n.told = revision
	ids := make([]fleet.VMID, 0, len(n.polled))
	for id := range n.polled {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var out []Envelope
	for _, id := range ids {
		out = n.hint(out, id, false)
	}
	return out
}

// hint appends a hint to a VM; an empty id is passed over.
func (n *Node) hint(out []Envelope, to fleet.VMID, poll bool) []Envelope {
	if to == "" {
		return out
	}
	n.stats.Hints++
	return append(out, Envelope{To: to, Message: Message{Hint: &Hint{Revision: n.Copy.Revision(), Poll: poll}}})
}

func (n *Node) pick(ids []fleet.VMID) fleet.VMID {
	if len(ids) == 0 {
		return ""
	}
	return ids[n.Rand.IntN(len(ids))]
}

// jitter spreads the VMs' timers over 20 % of the interval.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d - d/10 + time.Duration(n.Rand.Int64N(int64(d/5)))
}

func (n *Node) record(e timeline.Event, now time.Time) {
	if n.Recorder != nil {
		n.Recorder.Record(e, now)
	}
}
