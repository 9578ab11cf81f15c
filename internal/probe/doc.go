// Package probe checks the health of targets. The first three VMs in a
// target's rendezvous order probe it and report to its owner, whose Judge
// weighs the reports against what the owner itself sees of the target.
//
// The endpoints lag and mislead, so that two rules guard the verdict. What the
// owner sees itself, start packets that stay without any answer, goes before
// the reports. And where the probers see most targets fail at once, the fault
// is more likely theirs: then reports alone condemn no target.
package probe
