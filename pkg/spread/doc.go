// Package spread distributes the settings from the control replicas to the
// entry VMs.
//
// In each zone, two relays, which are chosen by rendezvous hashing among the
// zone's live VMs, poll the replicas and get hints from them about new
// revisions. A VM that applies a new revision sends hints to a few random
// peers in its zone, and these peers pull the delta from the VM. Every VM also
// compares its revision with a random peer at regular intervals, and a relay
// also with a VM of another zone, so that a lost message only delays a change.
// The load of a replica grows with the number of zones, not with the number of
// VMs, and the load of a VM grows with neither. A zone that can reach neither
// the replicas nor other zones keeps the settings that it has.
//
// A node is a deterministic state machine: Handle and Tick return messages,
// which the daemon sends.
package spread
