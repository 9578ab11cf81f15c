// Package cluster connects an entry VM to the other VMs of its zone, to other
// zones and to the control VMs. One goroutine runs the state machines for
// membership, leases and settings distribution, feeds them control messages and
// timer ticks, and builds the views that the entry daemon applies.
package cluster
