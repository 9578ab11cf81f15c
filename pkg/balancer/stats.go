package balancer

import "maps"

// Causes of refusals and drops; the set is bounded, since it is a metric label.
const (
	CauseNoView        Cause = "NoView"        // no view is known yet
	CauseNoListener    Cause = "NoListener"    // no listener has the address
	CauseNoTarget      Cause = "NoTarget"      // the service has no target
	CauseNoSlot        Cause = "NoSlot"        // both candidates and the queue are full
	CauseHops          Cause = "Hops"          // passed too often
	CauseTableFull     Cause = "TableFull"     // a table is full
	CauseHeldFull      Cause = "HeldFull"      // too many packets wait
	CauseUnsealed      Cause = "Unsealed"      // the epoch was not sealed, or the lease not valid, in time
	CauseHomeZone      Cause = "HomeZone"      // the home zone is unreachable
	CauseUnknownFlow   Cause = "UnknownFlow"   // no flow matches the packet
	CauseUnknownResult Cause = "UnknownResult" // a target may have run the request
	CauseRefused       Cause = "Refused"       // the flow was refused before
	CauseQueued        Cause = "Queued"        // the flow waits already
	CauseDeadline      Cause = "Deadline"      // the deadline passed
	CauseEnded         Cause = "Ended"         // the flow has ended
	CauseEvicted       Cause = "Evicted"       // more urgent work took the place in the queue
	CauseForeignAnswer Cause = "ForeignAnswer" // the answer comes from another target
	CauseShed          Cause = "Shed"          // the target shed the request
	CauseTargetGone    Cause = "TargetGone"    // the flow's target is gone
	CausePortReused    Cause = "PortReused"    // an earlier non-idempotent request of the port is remembered
	CausePaused        Cause = "Paused"        // the packet may have waited while the process was paused
	CauseStale         Cause = "Stale"         // the packet belongs to an earlier offer
)

// Stats counts what a Balancer did since New; Flows, Held, Replicas and
// Outbox are present sizes.
type Stats struct {
	Packets, Forwarded, Replies uint64
	// Passed counts by mode, Refused and Dropped by cause.
	Passed           map[Mode]uint64
	Refused, Dropped map[Cause]uint64
	// Adopted counts flows taken over from another VM, Moved those given up,
	// Offered and Returned offers to second candidates, Overflowed offers to
	// other zones, Retried retries of shed requests.
	Adopted, Moved, Offered, Returned, Overflowed, Retried uint64
	// ControlMessages and ControlBytes count what was sent, BadControl what
	// did not decode, Transitions what the flow chart does not allow, and
	// TableFull flows that found no entry.
	ControlMessages, ControlBytes, BadControl, Transitions, TableFull uint64
	Flows, Held, Replicas, Outbox                                     int
}

func newStats() Stats {
	return Stats{Passed: make(map[Mode]uint64), Refused: make(map[Cause]uint64), Dropped: make(map[Cause]uint64)}
}

// Stats returns a copy of the counters.
func (b *Balancer) Stats() Stats {
	s := b.stats
	s.Flows, s.Held = b.flows.len(), b.held.len()
	s.Replicas, s.Outbox = len(b.replicas), len(b.outbox.messages)
	s.Passed, s.Refused, s.Dropped = maps.Clone(s.Passed), maps.Clone(s.Refused), maps.Clone(s.Dropped)
	return s
}
