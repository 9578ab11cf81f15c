// Package balancer is the decision core of an entry VM: it takes decoded
// packets, control messages and the present time, and returns actions. It uses
// no sockets and reads no clock. One Balancer is used by one goroutine only.
//
// # Rules
//
// The owner of a flow's first candidate decides. Every VM routes a packet of
// a flow without an entry to that owner (route.go), which looks in this order:
//
//  1. the flow table (flow.go): the flow is here, was refused, ended, or is
//     away at another place, to whose owner the packet goes (offer.go);
//  2. replicated exceptions (exception.go): their fingerprints are inexact, so
//     the place is asked and not told;
//  3. the places where an earlier decision may have put the flow (history.go):
//     the first candidate's former owner while it has not handed all over, and
//     the candidates of earlier views and the second candidate where the first
//     candidate or its owner changed within the window. The window is the
//     deadline plus 2 s for a start packet, and the idle timeout for others.
//
// Only after that does it admit, queue, offer or refuse the flow.
//
// # Invariants
//
//   - A non-idempotent flow is decided only with a valid lease, and only in a
//     sealed epoch or where the last sealed epoch gives it the same candidates
//     and owners. Until then its start packet is held (held.go).
//   - NotHere is final: the VM that says it passes later packets of the flow to
//     the VM that asked. A VM that lost records says so (Uncertain), and a
//     non-idempotent start packet is then dropped.
//   - An offer (ToSecond, Overflow) is accepted or returned only by a VM that
//     has owned the place since the epoch of the offer. A Returned counts only
//     where it answers the last packet that was sent, by epoch.
//   - NotRun is said only for a flow with flagSure, and only after the standby
//     recorded the refusal, since it is the successor after a crash.
//   - Ended, refused and returned flows are remembered for the deadline plus
//     2 s, so that a late duplicate does not run. A packet must not live longer
//     in the network; a process that was paused drops the start packets that
//     waited in its sockets.
//   - A full table refuses or drops new flows and never pushes out others. At
//     most half of it remembers refusals.
//
// # Changes of view
//
// After a change of view a scan of the flow table (handover.go) sends records
// of a place to its new owner, and exceptions of 5 bytes for flows whose first
// candidate changed to the owner of the new one. A place whose predecessor
// left without handing all over is lost for the window: then non-idempotent
// start packets that are unknown go to the first candidate or nowhere. A new
// member learns the candidates of earlier views from two older ones.
package balancer
