// Package lease agrees on the sequence of views of one zone, and gives each VM
// a lease under which it may decide, as a deterministic state machine (Handle
// and Tick). Nothing is stored on disk.
//
// Epochs. The high-order 32 bits of an epoch are the settings revision of the
// council, the low-order bits count. A view is the members with their
// incarnations and the targets, draining ones included. Each view after the
// first is a Delta of at most 950 bytes to its predecessor; changes beyond that
// wait for the next epoch.
//
// Choice. Epoch e+1 is one instance of a ballot protocol with prepare and
// accept phases among the council. The live council member with the lowest id
// proposes; the others only when they hear of no working proposer or when a
// promise stays open. A proposer counts no reply later than BallotTimeout.
//
// Leases. Every VM sends Request with its epoch to all council members. A
// member grants only in its current epoch, to a life (VM and incarnation) of
// that view, and not after a promise for the next epoch. The holder counts 9/10
// of LeaseTime from the sending of the request whose grant completes a
// majority; a grantor counts 9/8 from its reply. No clock value is sent. The
// adoption of a view ends the lease in the one before.
//
// Sealing. A council member is clean for its epoch once each lease that it
// granted earlier has ended or its holder has acknowledged the epoch. Members
// tell each other (Clean); a majority of clean members seals the epoch. A lease
// in an earlier epoch would need a majority of grants, of which one member is
// clean, so there is none.
//
// Spreading. The council members push each delta, and Sealed, to disjoint
// shares of the VMs outside the council. A VM that sees a later epoch in a
// Grant fetches the deltas, or the full view in chunks.
//
// Loss of memory. A restarted council member does not vote and grants nothing.
// After 9/8 of LeaseTime, when leases and ballots of its earlier life are over,
// it copies the epoch, promise and accepted value from a majority of the
// council without itself. If no such majority has kept its state, all council
// members together choose a first view; it follows the latest view that any of
// them knows, by at least formationGap epochs. Only the lives listed in the
// proposal vote on it. Members that were up long before a new council was
// named have certainly not voted in it, so that a majority of them suffices.
//
// Change of the council. The members of the new one wait until a majority of
// the old one has the new revision, or else SettingsTime, and then 9/8 of
// LeaseTime.
//
// Invariants: at most one view per epoch; the epoch of a VM never falls; once
// an epoch is sealed no VM holds a valid lease in an earlier one. The last
// holds for clocks whose rates are wrong by at most 10 %.
package lease
