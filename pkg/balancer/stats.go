package balancer

import "maps"

// Causes of refusals and drops. The set is fixed, since causes are metric labels.
const (
	CauseNoView        Cause = "NoView"        // no view has been set yet
	CauseNoListener    Cause = "NoListener"    // no listener has the packet's address
	CauseNoTarget      Cause = "NoTarget"      // the service has no target
	CauseNoSlot        Cause = "NoSlot"        // no candidate has a free slot, and the flow cannot be queued
	CauseHops          Cause = "Hops"          // another pass would exceed MaxHops, or there is no peer to pass to
	CauseTableFull     Cause = "TableFull"     // a table is full, or refused and returned flows fill half of the flow table
	CauseHeldFull      Cause = "HeldFull"      // the limit of held packets is reached
	CauseUnsealed      Cause = "Unsealed"      // the decision needs a sealed epoch or a valid lease
	CauseHomeZone      Cause = "HomeZone"      // the home zone is unreachable
	CauseUnknownFlow   Cause = "UnknownFlow"   // no flow matches the packet
	CauseUnknownResult Cause = "UnknownResult" // a target may have run the request
	CauseRefused       Cause = "Refused"       // the flow was refused before
	CauseQueued        Cause = "Queued"        // the flow is already queued or held
	CauseDeadline      Cause = "Deadline"      // the deadline passed
	CauseEnded         Cause = "Ended"         // the flow has ended
	CauseEvicted       Cause = "Evicted"       // more urgent requests displaced the request from the queue
	CauseForeignAnswer Cause = "ForeignAnswer" // the answer comes from a target that does not serve the flow
	CauseShed          Cause = "Shed"          // the target shed the request
	CauseTargetGone    Cause = "TargetGone"    // the flow's target is no longer in the view
	CausePortReused    Cause = "PortReused"    // an earlier non-idempotent request from the same port is still remembered
	CausePaused        Cause = "Paused"        // the packet may have waited during a pause of the process
	CauseStale         Cause = "Stale"         // the packet refers to an offer or owner that is not the current one
)

// Stats counts what a Balancer has done since New. Flows, Held, Replicas and
// Outbox are the current numbers of flow entries, held packets, replicated
// exceptions and messages in the outbox.
type Stats struct {
	Packets, Forwarded, Replies uint64
	// Passed counts by mode; Refused and Dropped count by cause.
	Passed           map[Mode]uint64
	Refused, Dropped map[Cause]uint64
	// Adopted and Moved count flows taken over from and moved to other VMs.
	// Offered and Overflowed count offers to second candidates and to other
	// zones. Returned counts offers that this VM returned, and Retried counts
	// retries of shed requests.
	Adopted, Moved, Offered, Returned, Overflowed, Retried uint64
	// ControlMessages and ControlBytes count control messages sent.
	// InvalidControl counts received control messages that could not be
	// decoded or arrived before the first view. Transitions counts events
	// that the flow state chart does not allow. TableFull counts flows that
	// got no entry because the flow table was full.
	ControlMessages, ControlBytes, InvalidControl, Transitions, TableFull uint64
	Flows, Held, Replicas, Outbox                                         int
}

func newStats() Stats {
	return Stats{Passed: make(map[Mode]uint64), Refused: make(map[Cause]uint64), Dropped: make(map[Cause]uint64)}
}

// Stats returns a copy of the counters and the current sizes.
func (b *Balancer) Stats() Stats {
	s := b.stats
	s.Flows, s.Held = b.flows.len(), b.held.len()
	s.Replicas, s.Outbox = len(b.replicatedExceptions), len(b.outbox.messages)
	s.Passed, s.Refused, s.Dropped = maps.Clone(s.Passed), maps.Clone(s.Refused), maps.Clone(s.Dropped)
	return s
}
