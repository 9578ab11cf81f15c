// Package placement computes the home zone and the two candidate targets of a
// flow, and the owner and the standby of a target, by rendezvous hashing over
// one immutable fleet.View. The owner is the member (an entry VM of the view's
// zone) with the highest score for the target, and the standby the member with
// the second highest score. A Map stores the results that don't depend on the
// flow.
//
// Invariants: VMs with equal views compute equal results. When a member joins
// or leaves, only the targets that it owns change their owner. When a target
// joins or leaves, candidates change only for the flows for which the target
// has the highest or second highest score.
package placement
