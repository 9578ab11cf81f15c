// Package lease agrees on the sequence of views of one zone and grants leases
// to its VMs. A VM may decide about non-idempotent work only while it holds a
// valid lease and its view is sealed. The package is a deterministic state
// machine (Handle and Tick) and stores nothing on disk.
//
// Epochs. The high-order 32 bits of an epoch are the settings revision of the
// council; the low-order 32 bits are a counter. A view holds the members with
// their incarnations, and the targets, including draining ones. The council
// chooses a view in the form of a Delta to the previous view. A Delta has at
// most 950 bytes; changes that do not fit wait for the next epoch.
//
// Choice of a view. The council chooses the view of epoch e+1 in one instance
// of a ballot protocol with prepare and accept phases. The live council member
// with the lowest id proposes. The others propose only if they hear of no
// working proposer or if a ballot stalls. A proposer ignores replies that
// arrive more than BallotTimeout after the start of the ballot.
//
// Leases. Every VM sends a Request with its epoch to all council members. A
// council member grants a lease only in its current epoch, only to the VM
// incarnations in the view of that epoch, and not once a ballot for the next
// epoch has started. For the holder, the lease lasts until T + 9/10 *
// LeaseTime. T is the latest time such that a majority of the council has
// granted requests that the holder sent at T or later. For a grantor, the lease
// lasts 9/8 of LeaseTime from its reply. No message carries a clock value. A VM
// that adopts a view gives up its lease in the earlier epoch.
//
// Sealing. After a council member has adopted a view, it waits for each lease
// that it granted in an earlier epoch: the lease must expire, or its holder
// must acknowledge the new epoch. Then the member sends OldLeasesEnded for the
// new epoch. When a majority of the council has sent OldLeasesEnded, the epoch
// is sealed. No lease in an earlier epoch is valid then, because it would need
// a valid grant from one of these members.
//
// Distribution. The council members push each delta, and Sealed, to the VMs
// outside the council. Each such VM is assigned to one council member. A VM
// that learns of a later epoch, but receives no delta in time, fetches the
// deltas that it lacks, or the full view split into chunks.
//
// Loss of state. A restarted council member does not vote or grant leases until
// it has recovered. It first waits 9/8 of LeaseTime, so that the leases and
// ballots of its earlier incarnation have ended. Then it copies the epoch,
// promise and accepted value from a majority of the council, not counting
// itself. If no such majority has kept its state, all council members together
// choose a first view. This first view is a delta to the latest view that any of
// them knows. Its epoch exceeds the highest epoch that any of them knows by at
// least firstViewGap. Only the incarnations listed in the proposal vote on it.
//
// After a change of the council, a majority suffices for the first view. Each
// member of this majority must certainly never have voted in the new council.
// Also, no member that replies may be voting or know an epoch of the new
// council. A member has certainly never voted if its process had already been
// running for 2 * SettingsPropagationTime when the new council was set. The
// epoch of such a first view has the new revision and the counter 1.
//
// Change of the council. Before the members of a new council vote or grant
// leases, they wait until a majority of the previous council has the new
// revision, or until SettingsPropagationTime has passed. Then they wait for a
// further 9/8 of LeaseTime.
//
// Invariants: there is at most one view per epoch; the epoch of a VM never
// decreases; once an epoch is sealed, no VM holds a valid lease in an earlier
// epoch. The last invariant requires clocks whose rates are wrong by at most
// 10 %.
package lease
