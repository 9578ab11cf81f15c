// Package feed replicates the catalog and the registry of targets from control
// VMs (hubs) to entry VMs, and the registry between control VMs.
//
// A subscriber opens a TCP connection to a control VM and sends a Hello with its
// ID, zone and role. The publisher answers with a Greeting, from which the
// subscriber chooses among several publishers. After the first Ack, the publisher
// sends its full state, then increments, and a heartbeat while nothing changes.
// Entry VMs receive the changes that affect forwarding. Control VMs also receive
// every announcement, since a target is silent only if none of them has received
// its announcements. Subscribers acknowledge each update. A subscriber that
// receives nothing for IdleTimeout closes the connection and connects to another
// control VM.
//
// Every update says whether the publisher is in contact with a majority of the
// control VMs. Entry VMs prefer such a publisher, since one without a majority may
// lack updates that other control VMs have acknowledged.
package feed
