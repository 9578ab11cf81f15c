// Package cluster connects an entry VM to the other VMs of its zone, to other
// zones and to the control VMs. One goroutine runs the state machines for
// membership, leases and settings distribution, feeds them control messages and
// timer ticks, and builds the views that the entry daemon applies.
//
// The council of a zone is the group of entry VMs that chooses the views and
// grants the leases (see package lease). A VM that has a view is isolated if it
// has not been connected to a majority of the council for isolationTimeout.
package cluster
