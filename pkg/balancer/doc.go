// Package balancer is the decision core of an entry VM. It takes decoded
// packets, control messages and the current time, and returns actions. It uses
// no sockets and reads no clock. A Balancer must be used by a single goroutine.
//
// # Terms
//
// A destination is where a flow can be: a target of this zone, or another
// zone. The owner of a target is the VM that placement assigns to the target;
// the standby takes over if the owner crashes. Each flow has a first and a
// second candidate target. An exception is a record that a flow is not at its
// first candidate. A handover transfers the flow records of a destination to
// its new owner.
//
// # Rules
//
// The owner of a flow's first candidate decides about the flow. A VM that has
// no table entry for the flow of a packet passes the packet to that owner
// (route.go). The owner looks up the flow in this order:
//
//  1. The flow table (flow.go). The entry says that the flow is at a target of
//     this VM, was refused, has ended, or is away. Packets of a flow that is
//     away go to the owner of its destination (offer.go).
//  2. Replicated exceptions (exception.go). They identify flows by a
//     fingerprint, which two flows may share, so the owner of the destination
//     is asked whether it holds the flow.
//  3. Destinations that an earlier decision may have chosen (history.go): those
//     held by the previous owner of the first candidate while its handover is
//     incomplete, and the candidates of earlier views and the second candidate
//     if the first candidate or its owner changed within the window. The window
//     is the deadline plus 2 s for a start packet, and the idle timeout for
//     other packets.
//
// Only then does the owner admit, queue, offer or refuse the flow.
//
// # Invariants
//
//   - A non-idempotent flow is decided only with a valid lease, and only in a
//     sealed epoch or if the flow has the same candidates and owners in the last
//     sealed epoch and in all later epochs. Until then its start packet is held
//     (held.go).
//   - NotHere is final: the VM that sends it passes later packets of the flow to
//     the VM that asked. A VM that lost records sets Uncertain, and a
//     non-idempotent start packet is then dropped.
//   - A VM accepts or returns an offer (ToSecond, Overflow) only if it has owned
//     the destination since the epoch of the offer. A Returned packet is valid
//     only if its epoch is that of the last packet sent to the destination.
//   - NotRun is reported only for a flow with flagProvenNotRun, and only after
//     the standby has recorded the refusal, since the standby takes over after a
//     crash.
//   - Ended, refused and returned flows are remembered for the deadline plus
//     2 s, so that a late duplicate does not run. The network must not deliver a
//     packet later than that; after a pause, a process drops the start packets
//     that were waiting in its sockets.
//   - A full table refuses or drops new flows and never evicts existing ones. At
//     most half of the table remembers refusals.
//
// # Changes of view
//
// After a change of view, a scan of the flow table (handover.go) sends the
// records of a destination to its new owner. For each flow whose first candidate
// changed, the scan sends an exception of 5 bytes to the owner of the new first
// candidate. If the previous owner left before its handover was complete, the
// records of the destination count as lost for the window: unknown
// non-idempotent start packets then go to the first candidate or are dropped. A
// new member receives the candidates of earlier views from two older members.
package balancer
