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

// Parameters of the protocol.
const (
	// RelaysPerZone is the number of VMs in each zone that poll the replicas.
	// In a zone with fewer live VMs, all of them do.
	RelaysPerZone = 2
	// Fanout is the maximum number of peers to which a VM sends a hint about
	// a new revision that it has applied.
	Fanout = 3
	// RelayInterval is the mean time between two polls of replicas by a relay.
	RelayInterval = time.Second
	// PeerInterval is the mean time between two polls of random peers by a VM.
	// With an interval of 2 s and a loss of 20 % of the messages, some VMs had
	// not applied a change 8 s after it was made.
	PeerInterval = 500 * time.Millisecond
	// PullTimeout is the time after which a pull that was not answered, or
	// whose delta was rejected, is sent again to a random source, unless the
	// node has reached the wanted revision.
	PullTimeout = 500 * time.Millisecond
	// subscriberLifetime is how long a replica sends hints to a VM after the
	// VM's last poll.
	subscriberLifetime = 5 * time.Second
	// maxSubscribers is the maximum number of VMs to which a replica sends
	// hints about a new revision. Only relays poll the replicas, and 64 zones
	// have 128 relays.
	maxSubscribers = 256
)

type (
	// Store holds a node's documents. *settings.Store implements Store for
	// entry VMs.
	Store interface {
		Revision() fleet.Revision
		Delta(from fleet.Revision) *settings.Delta
		Apply(d *settings.Delta) (bool, error)
	}

	// Stats counts the messages and deltas of a node.
	Stats struct {
		HintsSent    uint64
		PullsSent    uint64
		DeltasSent   uint64
		Applied      uint64 // deltas applied
		Stale        uint64 // deltas not newer than the applied revision
		Rejected     uint64 // deltas that could not be applied
		PullTimeouts uint64 // expirations of PullTimeout, after a pull or a rejected delta
	}
)

var _ Store = (*settings.Store)(nil)

// Node is the state of the protocol in the process of one entry VM or one
// control replica. Exported fields must be set before the first use. A Node
// must be used by one goroutine at a time.
type Node struct {
	Self     fleet.VMID
	Store    Store
	Rand     *rand.Rand
	Recorder timeline.Recorder
	// Replica is true for a control replica, which never pulls from others.
	Replica bool

	peers       []fleet.VMID
	replicas    []fleet.VMID
	remotePeers []fleet.VMID
	relay       bool

	nextReplicaPoll time.Time
	nextPeerPoll    time.Time
	pull            pull
	hintedRevision  fleet.Revision
	lastPoll        map[fleet.VMID]time.Time
	stats           Stats
}

// pull is the state of a node's pulls. source is empty unless the node waits
// for an answer, or for PullTimeout to pass after a rejected delta.
type pull struct {
	source       fleet.VMID
	sentAt       time.Time
	wantRevision fleet.Revision
	wantFull     bool
}

// SetPeers sets the live VMs of the node's own zone, the replicas, and some
// live VMs of other zones.
func (n *Node) SetPeers(zoneVMs, replicas, remoteVMs []fleet.VMID) {
	n.peers = slices.DeleteFunc(slices.Clone(zoneVMs), func(id fleet.VMID) bool { return id == n.Self })
	n.replicas = slices.Clone(replicas)
	n.remotePeers = slices.Clone(remoteVMs)
	n.relay = n.isRelay()
}

// isRelay reports whether fewer than RelaysPerZone live peers rank above this
// VM.
func (n *Node) isRelay() bool {
	higherRanked := 0
	self := rank(n.Self)
	for _, id := range n.peers {
		if rank(id) > self {
			higherRanked++
		}
	}
	return higherRanked < RelaysPerZone
}

func rank(id fleet.VMID) uint64 { return xxhash.Sum64String(string(id)) }

// Stats returns the counters.
func (n *Node) Stats() Stats { return n.stats }

// Tick returns the polls that are due. It also returns a new pull if PullTimeout
// has passed since an unanswered pull or a rejected delta and the store has not
// reached the wanted revision. On a replica, it returns
// hints about a new revision for the subscribers instead. The subscribers are at
// most maxSubscribers VMs that have polled the replica within subscriberLifetime.
func (n *Node) Tick(now time.Time) []Envelope {
	if n.Replica {
		return n.hintSubscribers(now)
	}
	var out []Envelope
	if n.pull.source != "" && now.Sub(n.pull.sentAt) >= PullTimeout {
		n.stats.PullTimeouts++
		out = append(out, n.retryPull(now)...)
	}
	if n.relay && !now.Before(n.nextReplicaPoll) {
		n.nextReplicaPoll = now.Add(n.jitter(RelayInterval))
		out = n.appendHint(out, n.pickRandom(n.replicas), true)
	}
	if !now.Before(n.nextPeerPoll) {
		n.nextPeerPoll = now.Add(n.jitter(PeerInterval))
		out = n.appendHint(out, n.pickRandom(n.peers), true)
		if n.relay {
			out = n.appendHint(out, n.pickRandom(n.remotePeers), true)
		}
	}
	return out
}

// Handle processes one message and returns the messages to send.
func (n *Node) Handle(from fleet.VMID, m Message, now time.Time) []Envelope {
	switch {
	case m.Hint != nil:
		return n.handleHint(from, m.Hint, now)
	case m.Pull != nil:
		n.stats.DeltasSent++
		return []Envelope{{To: from, Message: Message{Push: &Push{Delta: *n.Store.Delta(m.Pull.From)}}}}
	case m.Push != nil && !n.Replica:
		return n.handlePush(from, &m.Push.Delta, now)
	}
	return nil
}

func (n *Node) handleHint(from fleet.VMID, h *Hint, now time.Time) []Envelope {
	if n.Replica {
		n.subscribe(from, now)
	}
	applied := n.Store.Revision()
	switch {
	case h.Revision < applied && h.Poll:
		return n.appendHint(nil, from, false)
	case h.Revision > applied && !n.Replica:
		n.pull.wantRevision = max(n.pull.wantRevision, h.Revision)
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
	changed, err := n.Store.Apply(d)
	if err != nil {
		n.stats.Rejected++
		n.record(timeline.Event{Kind: timeline.KindFault, Name: "DeltaRejected", VM: from, Revision: d.To, Detail: err.Error()}, now)
		// The full delta is requested only after PullTimeout. If it were
		// requested at once, a peer that keeps sending an invalid delta would
		// cause a loop at network speed.
		n.pull = pull{source: from, sentAt: now, wantRevision: d.To, wantFull: true}
		return nil
	}
	n.pull.wantFull = false
	if !changed {
		n.stats.Stale++
		n.pull.wantRevision = n.Store.Revision()
		return nil
	}
	n.stats.Applied++
	n.record(timeline.Event{Kind: timeline.KindSettings, Name: "InForce", VM: n.Self, Revision: d.To}, now)
	out := n.hintPeers()
	if n.pull.wantRevision > n.Store.Revision() && n.pull.source == "" {
		out = append(out, n.startPull(from, now)...)
	}
	return out
}

func (n *Node) hintPeers() []Envelope {
	var out []Envelope
	for _, i := range n.Rand.Perm(len(n.peers))[:min(Fanout, len(n.peers))] {
		out = n.appendHint(out, n.peers[i], false)
	}
	return out
}

func (n *Node) startPull(source fleet.VMID, now time.Time) []Envelope {
	n.pull.source = source
	n.pull.sentAt = now
	n.stats.PullsSent++
	from := n.Store.Revision()
	if n.pull.wantFull {
		from = 0
	}
	return []Envelope{{To: source, Message: Message{Pull: &Pull{From: from}}}}
}

// retryPull pulls from a random peer, since the previous source may have
// failed. A VM without peers always pulls from a random replica instead, and a
// relay does so in half of the cases. retryPull sends no pull if the store has
// reached the wanted revision.
func (n *Node) retryPull(now time.Time) []Envelope {
	n.pull.source = ""
	if n.pull.wantRevision <= n.Store.Revision() {
		return nil
	}
	candidates := n.peers
	if len(candidates) == 0 || n.relay && n.Rand.IntN(2) == 0 {
		candidates = n.replicas
	}
	source := n.pickRandom(candidates)
	if source == "" {
		return nil
	}
	return n.startPull(source, now)
}

func (n *Node) subscribe(id fleet.VMID, now time.Time) {
	if n.lastPoll == nil {
		n.lastPoll = make(map[fleet.VMID]time.Time)
	}
	if _, known := n.lastPoll[id]; known || len(n.lastPoll) < maxSubscribers {
		n.lastPoll[id] = now
	}
}

func (n *Node) hintSubscribers(now time.Time) []Envelope {
	for id, at := range n.lastPoll {
		if now.Sub(at) > subscriberLifetime {
			delete(n.lastPoll, id)
		}
	}
	revision := n.Store.Revision()
	if revision == n.hintedRevision {
		return nil
	}
	n.hintedRevision = revision
	ids := make([]fleet.VMID, 0, len(n.lastPoll))
	for id := range n.lastPoll {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var out []Envelope
	for _, id := range ids {
		out = n.appendHint(out, id, false)
	}
	return out
}

// appendHint appends a hint for a VM, or nothing if the id is empty.
func (n *Node) appendHint(out []Envelope, to fleet.VMID, poll bool) []Envelope {
	if to == "" {
		return out
	}
	n.stats.HintsSent++
	return append(out, Envelope{To: to, Message: Message{Hint: &Hint{Revision: n.Store.Revision(), Poll: poll}}})
}

func (n *Node) pickRandom(ids []fleet.VMID) fleet.VMID {
	if len(ids) == 0 {
		return ""
	}
	return ids[n.Rand.IntN(len(ids))]
}

// jitter changes the interval d by a random amount of up to 10 %, so that the
// timers of the VMs do not coincide.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d - d/10 + time.Duration(n.Rand.Int64N(int64(d/5)))
}

func (n *Node) record(e timeline.Event, now time.Time) {
	if n.Recorder != nil {
		n.Recorder.Record(e, now)
	}
}
