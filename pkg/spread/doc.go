// Package spread distributes the settings from the control replicas to the
// entry VMs.
//
// Two relays in each zone, found by rendezvous hashing over the zone's live
// VMs, poll the replicas and are told of new revisions by them. Inside a zone
// a VM that applies a new revision tells a few random peers, which pull the
// delta from it. Every VM also compares revisions with one random peer from
// time to time, so that a lost message only delays. The work of a replica
// grows with the number of zones and not with that of VMs, and a VM's work
// grows with neither. A zone that is cut off goes on with what it has.
//
// A node is a deterministic state machine: Handle and Tick return messages,
// and the daemon carries them.
package spread
