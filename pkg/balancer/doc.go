// Package balancer is the decision core of an entry VM. It takes decoded
// packets, control messages and the current time, and returns actions. It uses
// no sockets and reads no clock. A Balancer must be used by a single goroutine.
//
// # Terms
//
// A destination is where a flow can go: a target of this zone, or another
// zone. The owner of a target is the VM that placement assigns to the target;
// the standby takes over if the owner crashes. Each flow has a first and a
// second candidate target. An exception is a record that a flow is not at its
// first candidate. A handover transfers the flow records of a destination to
// its new owner.
//
// A view describes the zone in one epoch. An epoch is sealed once no VM holds a
// valid lease in an earlier epoch (package lease). A start packet is a packet
// whose Start is set, such as a TCP SYN. The home zone of a flow is the zone
// that placement assigns to the flow; it decides about the flow unless it is
// unreachable. An entry VM that passes a packet to another adds a header. The
// mode in the header, such as ToSecond or NotHere, tells the receiver what to
// do (packet.go).
//
// # Rules
//
// The owner of a flow's first candidate decides about the flow. A VM that has
// no table entry for the flow of a packet passes the packet to that owner
// (route.go). The owner looks up the flow in this order:
//
//  1. The flow table (flow.go). The state of the entry determines what happens
//     to the packet. In state Away, the flow is at a destination of another VM
//     or zone, and the packet is passed there (offer.go).
//  2. Replicated exceptions (exception.go). Two flows may have the same
//     fingerprint, by which an exception identifies its flow. The owner of the
//     destination is therefore asked whether it holds the flow.
//  3. Other VMs that may hold the flow because of an earlier decision
//     (history.go). If this VM became the owner of the first candidate within
//     the window and the handover is incomplete, the previous owner is asked.
//     If the flow had another first candidate or home zone in earlier views
//     within the window, the owners of its candidates in those views, or a VM
//     of that zone, are asked. In both cases, and if records or views within
//     the window may be missing, the owner of the second candidate is asked
//     too. The window is the deadline plus 2 s for a start packet, and the idle
//     timeout for other packets.
//
// Only then does the owner admit, queue, offer or refuse the flow.
//
// # Invariants
//
//   - A non-idempotent flow is decided only with a valid lease. If the epoch is
//     not sealed, the flow must also have the same home zone, candidates and
//     owners in the last sealed epoch and in all later epochs. Until then its
//     start packet is held (held.go).
//   - NotHere replies that the VM does not hold the flow. After this reply to a
//     packet that may start the flow, the VM passes later packets of the flow
//     to the VM that asked. A VM that lost records sets Uncertain in the reply,
//     and a non-idempotent start packet is then dropped.
//   - A VM accepts or returns an offer with ToSecond only if the VM has owned
//     the destination since the epoch of the offer. It accepts or returns an
//     offer with Overflow only if it lacks no records of the previous owner
//     within the window. A Returned packet is valid only with the epoch of the
//     last packet sent to the destination.
//   - NotRun is reported only for a flow with flagProvenNotRun, and only after
//     the standby, if there is one, has recorded the refusal, since the standby
//     takes over after a crash.
//   - Refused flows, returned flows and ended non-idempotent flows are
//     remembered for at least the deadline plus 2 s, so that a late duplicate
//     does not run. The network must not deliver a packet later than this time
//     after it was sent. An ended idempotent flow is remembered for 2 s. After a
//     pause, a process drops the packets that were waiting in its sockets,
//     except those that targets sent to it.
//   - If the flow table is full, new flows are dropped; existing entries are
//     never evicted. Refused and returned flows take up at most half of the
//     table.
//
// # Changes of view
//
// After a change of view, a scan of the flow table (handover.go) sends the
// records of a destination to its new owner. For each flow whose first candidate
// changed, the scan sends an exception of 5 bytes to the owner of the new first
// candidate. If the previous owner left before its handover was complete, the
// records of the destination count as lost for the window: start packets of
// unknown non-idempotent flows then go to the first candidate or are dropped. A
// new member receives the candidates of earlier views from two older members.
package balancer
