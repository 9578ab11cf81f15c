// Package hub implements the daemon of a control VM (a hub) for platforms whose
// targets and operators call the control VMs, and where a process finds the hubs
// through the configured addresses of some of them.
//
// A hub runs a replica of the catalog's replicated log, receives the announcements
// of targets, and publishes the catalog and the targets to entry VMs. The ID of a
// hub is the address of its HTTP interface, so that a list of addresses is a list
// of hubs. The feed and the replication use the same ports on all control VMs.
//
// The log holds the membership of the hubs: a process that is not a member asks the
// configured hubs for admission, and the leader removes an unresponsive member
// once another process can replace it.
package hub
