// Package spread distributes the settings from the control replicas to the
// entry VMs.
//
// A hint is a message that tells the sender's revision. An entry VM that gets a
// hint about a higher revision pulls the delta from the sender, unless it is
// already waiting for another delta. A poll is a hint that asks a receiver with
// a higher revision to reply with a hint.
//
// In each zone, two relays poll the replicas and get hints from them about new
// revisions. The relays are chosen by rendezvous hashing among the zone's live
// VMs. A VM that applies a new revision sends hints to a few random peers in
// its zone. Every VM also polls a random peer in its zone at regular intervals,
// and a relay also polls a VM of another zone. Therefore, the loss of a message
// only delays a change at a VM. The load of a replica grows with the number of
// zones, not with the number of VMs, and the load of a VM grows with neither. A
// zone that can reach neither the replicas nor other zones keeps the settings
// that it has.
//
// A node is a deterministic state machine: Handle and Tick return messages,
// which the daemon sends.
package spread
