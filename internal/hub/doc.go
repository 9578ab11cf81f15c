// Package hub implements the daemon of a control VM (a hub) for platforms whose
// targets and operators call the control VMs, and where a process finds the hubs
// through the configured addresses of some of them.
//
// A hub runs a replica of the catalog's replicated log, receives the announcements
// of targets, and publishes the catalog and the targets to entry VMs. The ID of a
// hub is the address of its HTTP interface, so that a list of addresses is a list
// of hubs. The feed and the replication use the same ports on all control VMs.
//
// The replicated log also holds the list of its members. A process that is not
// a member asks the configured hubs for admission. The leader removes an
// unresponsive voter if a newly admitted member can replace the voter, or if the
// removal changes the number of voters from an even number above two to an odd
// one.
package hub
