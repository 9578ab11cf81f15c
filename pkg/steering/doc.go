// Package steering decides where an entry VM forwards packets on platforms whose
// callers and targets repeat a routing cookie in every packet.
//
// The cookie identifies a target. An entry VM writes it into each packet that it
// forwards, the target returns it to the caller, and the caller copies it into
// its later packets. Any entry VM can therefore forward the packets of an open
// flow without state for this flow; only opening packets need a decision. A
// forwarded packet is preceded by the incarnation of the target that it is meant
// for. A target that has taken over an address can therefore ignore packets for
// the previous target at this address.
//
// If an entry VM receives an opening packet of a flow again, the chosen target
// probably does not answer. The retransmission goes to another target, if one
// accepts new flows. The first target is suspected, unless it has answered a
// newer opening packet. The suspicion ends when a health check of the first
// target succeeds or a caller acknowledges an answer of this target.
//
// A flow that was opened at two targets belongs to the target whose answer the
// caller acknowledged. An entry VM that has the flow in its flow table keeps
// forwarding the packets of the flow to this target, even if a late answer of the
// other target has replaced the caller's cookie.
//
// New flows don't go to the targets of zones that operators have evacuated, go to
// targets that have just started at a limited rate (cold.go), and to targets in
// proportion to their measured speed (fleetload.go). Opening packets for which a
// service has no room wait or are refused (admit.go). Open flows to targets that have
// stopped silently are reset (lost.go).
package steering
