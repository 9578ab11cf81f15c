// Package hub is the control daemon for platforms whose targets and operators
// call the control VMs, and that tell a process nothing of the others but a few
// addresses.
//
// A hub runs a replica of the catalog's log, takes the announcements of
// targets, and publishes both to entry VMs. It is named by the address of its
// HTTP interface, so that a list of addresses is a list of hubs. The feed and
// the replicas' messages use ports that are the same on all VMs.
//
// The log decides who is a hub: a process that no log knows asks the hubs that
// it has been told of for admission, and the leader removes one that has fallen
// silent once another can take its place.
package hub
