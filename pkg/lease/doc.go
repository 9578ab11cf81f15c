// Package lease agrees on the sequence of views of one zone and grants each VM
// a lease under which it may decide. It is a deterministic state machine
// (Handle and Tick) and stores nothing on disk.
//
// Epochs. The high-order 32 bits of an epoch are the settings revision of the
// council; the low-order 32 bits are a counter. A view holds the members with
// their incarnations, and the targets, including draining ones. A view is
// chosen as a Delta of at most 950 bytes to its predecessor; changes that do
// not fit wait for the next epoch.
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
// epoch has started. For the holder, the lease lasts 9/10 of LeaseTime, counted
// from the latest sending time such that a majority of the council has granted
// a request sent then or later; a grantor counts 9/8 from its reply. No clock
// value is sent. A VM that adopts a view gives up its lease in the earlier
// epoch.
//
// Sealing. A council member sends OldLeasesEnded for its epoch once each lease
// that it granted in an earlier epoch has expired or the holder has
// acknowledged the epoch. When a majority of the council has sent
// OldLeasesEnded, the epoch is sealed: a lease in an earlier epoch would need a
// valid grant from one of these members, so no such lease is valid.
//
// Distribution. The council members push each delta, and Sealed, to the VMs
// outside the council. Each such VM is assigned to one council member. A VM
// that learns of a later epoch fetches the deltas, or the full view in chunks.
//
// Loss of state. A restarted council member neither votes nor grants leases.
// After 9/8 of LeaseTime, when the leases and ballots of its earlier
// incarnation have ended, it copies the epoch, promise and accepted value from
// a majority of the council, not counting itself. If no such majority has kept
// its state, all council members together choose a first view. It is a delta to
// the latest view that any of them knows, and its epoch exceeds the highest
// epoch that any of them knows by at least firstViewGap. Only the incarnations
// listed in the proposal vote on it. After a change of the council, a majority
// suffices for the first view if each member of this majority has certainly
// never voted in the new council, no member votes, and no epoch of the new
// council is known. A member has certainly never voted if its process had
// already been running for 2 * SettingsPropagationTime when the new council was
// set.
//
// Change of the council. The members of a new council wait until a majority of
// the previous council has the new revision, or until SettingsPropagationTime
// has passed, and then for 9/8 of LeaseTime.
//
// Invariants: there is at most one view per epoch; the epoch of a VM never
// decreases; once an epoch is sealed, no VM holds a valid lease in an earlier
// epoch. The last invariant requires clocks whose rates are wrong by at most
// 10 %.
package lease
