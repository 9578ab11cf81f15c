// Package membership maintains the member table of one zone and the digests of
// the other zones. It is a deterministic state machine (Handle and Tick).
//
// Probing. Every ProbeInterval a VM pings Fanout peers in a shuffled order, so
// that it probes each peer once per round. If there is no Ack within
// ProbeTimeout, it asks IndirectProbes other VMs to probe the peer. If they get
// no Ack either, the VM marks the peer as Suspect. Each VM that learns of the
// suspicion pings the suspect itself unless a refutation arrives first. A
// suspect that does not refute within SuspicionTime becomes Dead. VM states
// change only by transitions of the state chart entryvm.
//
// Order of updates. An Update carries (Incarnation, Refutation, State). Only
// the VM itself raises its Refutation, to refute Suspect or Dead; a restart
// raises the Incarnation. The highest triple wins, with the states in the order
// Joining, Alive, Suspect, Leaving, Dead. A single statement of another VM
// never removes a VM that is Alive: a Dead update is applied as Suspect first.
//
// Isolation. A VM that receives nothing assumes that it is disconnected itself.
// It piggybacks no updates about other VMs, and when it receives messages again
// it reverts the states that it set meanwhile. Of the statements of a Dead VM,
// only those about that VM itself and about the receiver count.
//
// Cost. The numbers of probes, indirect probes, updates per datagram
// (Piggyback), sync entries and digests per interval are fixed, so that the
// bytes per VM do not depend on the size of the zone. Only the number of copies
// of an update grows, with the logarithm of the size. No message exceeds
// MaxDatagram.
//
// Hold-down. A flap is an unplanned absence: a VM dies, restarts without a
// planned leave, or announces that it is unfit. After the second and each
// further flap within HoldDecay, a VM that returns is kept out of new views for
// a time. The time starts at HoldBase and doubles with each flap, up to
// HoldMax.
//
// Fitness. A VM that its peers hear may still reach no majority of the council,
// and then it can't hold a lease. The VM announces this itself (SetFit), and is
// kept out of views.
//
// Zones. Delegates collect the free slots of their zone (Report) and send
// digests to two VMs of each other zone. A digest holds a ZoneState (epoch and
// free slots) and some of the member entries, recently changed ones first; the
// others follow in later digests. Within the receiving zone, the ZoneState and
// the entries are piggybacked. A zone is reachable while new digests arrive.
// Each zone is authoritative for the states of its own VMs: no other zone
// suspects them.
package membership
