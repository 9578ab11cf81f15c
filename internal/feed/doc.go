// Package feed replicates the catalog, the zone orders and the registry of targets
// from control VMs (hubs) to entry VMs and to other control VMs.
//
// A subscriber opens a TCP connection to a control VM and sends a Hello with
// its ID, zone and role. The publisher answers with a Greeting. A subscriber
// may compare the greetings of several publishers before it chooses one. After
// the first Ack, the publisher sends its full state, then updates with the
// changes, and heartbeats while nothing changes. Entry VMs receive the changes
// that affect forwarding. Control VMs also receive every announcement, so that a
// control VM does not mark a target as silent while another control VM receives
// the target's announcements. Only the first update to a control VM may contain
// a catalog, because control VMs receive later catalogs from the replicated log.
// Zone orders are sent to all subscribers, which apply only a higher revision.
// Subscribers acknowledge each update. A subscriber that receives nothing for
// IdleTimeout closes the connection. An entry VM then connects to any control VM,
// and a control VM reconnects to the same publisher.
//
// Every update says whether the publisher is in contact with a majority of the
// control VMs. Entry VMs prefer a publisher that is in contact with a majority,
// because any other publisher may lack updates that other control VMs have
// acknowledged.
package feed
