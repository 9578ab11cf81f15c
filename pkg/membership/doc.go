// Package membership keeps the member table of one zone and the digests of the
// other zones, as a deterministic state machine (Handle and Tick).
//
// Probing. Every ProbeInterval a VM pings Fanout peers in a shuffled round, so
// each peer is probed once per round. Without an Ack within ProbeTimeout it
// asks Indirect others to probe the peer, then suspects it. A suspect that does
// not object within SuspicionTime is dead. All VM states change along the chart
// entryvm.
//
// Order of statements. An Update carries (Incarnation, Refutation, State). Only
// a VM itself raises its Refutation, to object to Suspect or Dead; a restart
// raises the Incarnation. The higher triple wins, with the states in the order
// Joining, Alive, Suspect, Leaving, Dead. A peer that looked alive is never
// removed by one statement of another VM: Dead is first taken as Suspect.
//
// Isolation. A VM that hears nothing takes the fault to be its own: it spreads
// no statements about others and takes its own marks back when it hears again.
// What a dead VM says about others is ignored.
//
// Cost. The number of probes, helpers, updates per datagram (Piggyback), sync
// entries and digests per interval is fixed, so that the bytes per VM do not
// depend on the size of the zone. Only the copies of an update grow, with its
// logarithm. No message exceeds MaxDatagram.
//
// Hold-down. The second and later unplanned deaths within HoldDecay keep a VM
// out of new views for HoldBase doubled each time, up to HoldMax.
//
// Zones. Delegates collect the free slots of their zone (Report) and send
// digests to two VMs of each other zone: a ZoneState (epoch, free slots) and
// member entries in turn, changed ones first. Inside the zone both are
// piggybacked. A zone is reachable while new digests arrive. Own states are
// authoritative: only a VM's own zone suspects it.
package membership
