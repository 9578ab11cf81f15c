// Package cluster joins an entry VM to its zone and to the control VMs: it
// runs the state machines of membership, zone epochs and settings distribution
// in one goroutine, gives them the control socket and the time, and turns what
// they agree on into views for the traffic side.
package cluster
