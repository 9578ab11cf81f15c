// Package hub implements the daemon of a control VM (a hub). It is for platforms
// on which targets and operators send their requests to the hubs. A process is
// configured with the addresses of some hubs and learns the other hubs from them.
//
// A hub runs a replica of the catalog's replicated log, receives the announcements
// of targets, and publishes the catalog and the targets to entry VMs. The ID of a
// hub is the address of its HTTP interface, so that a list of addresses is a list
// of hubs. The feed and the replication use the same ports on all control VMs.
//
// The replicated log also holds the list of its members. A process that is not
// a member asks the configured hubs for admission. The leader removes an
// unresponsive voter in two cases: if a newly admitted member can replace the
// voter, or if the number of voters is even and above two, so that the removal
// makes it odd.
package hub
