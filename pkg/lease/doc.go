// Package lease agrees on the sequence of views of one zone and grants each VM
// a lease under which it may decide. It is a deterministic state machine
// (Handle and Tick) and stores nothing on disk.
//
// Epochs. The high-order 32 bits of an epoch are the settings revision of the
// council; the low-order 32 bits are a counter. A view holds the members with
// their incarnations, and the targets, including draining ones. Each view after
// the first is a Delta of at most 950 bytes to its predecessor; changes that do
// not fit wait for the next epoch.
//
// Choice of a view. The council chooses the view of epoch e+1 in one instance of
// a ballot protocol with prepare and accept phases. The live council member with
// the lowest id proposes. The others propose only if they hear of no working
// proposer or if a ballot stalls. A proposer ignores replies that arrive later
// than BallotTimeout.
//
// Leases. Every VM sends a Request with its epoch to all council members. A
// council member grants a lease only in its current epoch, only to the VM
// incarnations in the view of that epoch, and not once a ballot for the next
// epoch has started. The holder counts 9/10 of LeaseTime from the sending of the
// request whose grant completes a majority; a grantor counts 9/8 from its reply.
// No clock value is sent. A VM that adopts a view gives up its lease in the
// previous one.
//
// Sealing. A council member sends OldLeasesEnded for its epoch once each lease that it
// granted earlier has expired or the holder has acknowledged the epoch. When a
// majority of the council has sent OldLeasesEnded, the epoch is sealed: a lease in an
// earlier epoch would need a grant from one of these members, so none exists.
//
// Distribution. The council members push each delta, and Sealed, to the VMs
// outside the council, each VM being assigned to one council member. A VM that
// learns of a later epoch fetches the deltas, or the full view in chunks.
//
// Loss of state. A restarted council member neither votes nor grants leases.
// After 9/8 of LeaseTime, when the leases and ballots of its earlier incarnation
// have ended, it copies the epoch, promise and accepted value from a majority of
// the council, not counting itself. If no such majority has kept its state, all
// council members together choose a first view. It is a delta to the latest view
// that any of them knows, and its epoch exceeds the highest epoch that any of
// them knows by at least firstViewGap. Only the incarnations listed in the
// proposal vote on it. Council members whose process was already running long
// before a new council was set have certainly never voted in it, so a majority
// of such members suffices.
//
// Change of the council. The members of a new council wait until a majority of
// the previous council has the new revision, or until SettingsPropagationTime has passed,
// and then for 9/8 of LeaseTime.
//
// Invariants: there is at most one view per epoch; the epoch of a VM never
// decreases; once an epoch is sealed, no VM holds a valid lease in an earlier
// one. The last invariant requires clocks whose rates are wrong by at most 10 %.
package lease
