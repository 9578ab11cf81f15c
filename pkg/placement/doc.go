// Package placement computes, from one immutable view, the home zone and the
// two candidate targets of a flow, and the owner and standby of a target, by
// rendezvous hashing. A Map memoizes what does not depend on the flow.
//
// Invariants: two VMs with equal views compute equal results; a member that
// joins or leaves changes the owner only of targets that it owns; a target
// that joins or leaves changes the candidates only of flows that it scores
// highest or second highest for.
package placement
