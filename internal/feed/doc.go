// Package feed carries the catalog and the registry of targets from control
// VMs to entry VMs, and the registry between control VMs.
//
// A subscriber opens a TCP connection to a control VM and says who it is. The
// publisher greets it with the number of its catalog, by which the subscriber
// chooses among several. To the one that begins it sends all it knows, then what
// changes, and a beat where nothing does. Entry VMs get what matters for forwarding; control VMs also get each
// announcement, since they decide together which targets are silent.
// Subscribers acknowledge each update. A subscriber that hears nothing for
// SilenceLimit takes the connection for dead and goes to another control VM.
//
// Every update says whether the publisher is in contact with a majority of the
// control VMs. An entry VM prefers one that is, since another one may miss what
// was acknowledged elsewhere.
package feed
