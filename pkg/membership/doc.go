// Package membership maintains the member table of one zone and the digests of
// the other zones. It is a deterministic state machine (Handle and Tick).
//
// Probing. Every ProbeInterval a VM pings the next Fanout peers of a shuffled
// list of all live peers. The list is shuffled again when its end is reached.
// If a peer sends no Ack within ProbeTimeout, the VM asks IndirectProbes other
// VMs to probe the peer. If no Ack arrives within a further 2 * ProbeTimeout,
// the VM marks the peer as Suspect. Each VM that learns of the suspicion also
// pings the suspect, unless a refutation arrives first. A suspect that does not
// refute within SuspicionTime becomes Dead. VM states change only by
// transitions of the state chart entryvm.
//
// Order of updates. An Update about a VM carries (Incarnation, Refutation,
// State). Only that VM raises its Refutation: to refute Suspect or Dead, when
// it leaves, and when its fitness changes. A restart raises the Incarnation.
// The highest triple wins, with the states in the order Joining, Alive,
// Suspect, Leaving, Dead. A single statement of another VM never removes a VM
// that is Alive: a Dead update is applied as Suspect first.
//
// Isolation. A VM that receives nothing for ProbeInterval + ProbeTimeout
// assumes that it is disconnected itself, unless its zone has fewer than two
// other VMs. While isolated, it piggybacks no updates about other VMs. When it
// receives messages again, it reverts the Suspect and Dead states that it set
// while isolated. Updates in a message from a VM that the receiver lists as
// Dead or with a higher incarnation are ignored, except those about the sender
// and about the receiver.
//
// Cost. The numbers of probes, indirect probes, updates per datagram
// (Piggyback), sync entries and digests per interval are fixed, so that the
// bytes per VM do not depend on the size of the zone. Only the number of copies
// of an update grows, with the logarithm of the size. No message exceeds
// MaxDatagram.
//
// Hold-down. A flap is an unplanned absence: a VM dies, restarts without a
// planned leave, or announces that it is unfit. The count of flaps decreases by
// one after each HoldDecay without a flap. If a flap raises the count to two or
// more, the VM is kept out of new views for a time after its return. This time,
// the hold-down, is HoldBase for a count of two and doubles with each further
// flap, up to HoldMax.
//
// Fitness. A VM that reaches no majority of the council can't hold a lease,
// even if it is Alive because its peers receive its messages. Such a VM
// announces that it is unfit (SetFit), and is kept out of views.
//
// Zones. The delegates of a zone are a few of its VMs, Config.Delegates in
// number, that exchange digests with other zones. They collect the free slots
// of their zone (Report) and send digests to two VMs of each other zone. A
// digest holds a ZoneState (epoch and free slots) and some of the member
// entries, recently changed ones first. The remaining entries follow in later
// digests. Within the receiving zone, the ZoneState and the entries are
// piggybacked. A zone is reachable while new digests arrive. Each zone is
// authoritative for the states of its own VMs: no other zone suspects them.
package membership
