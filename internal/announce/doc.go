// Package announce implements the announcement of targets over HTTP: POST
// /targets announces a target or renews its lease, DELETE /targets ends the
// lease. Any entry VM of the zone accepts a request and forwards it to the
// target's owner, which keeps the lease in a Registry.
//
// The design page does not say what happens if two services announce the same
// address at the same time. The two targets have different owners. Each owner
// rejects an address that its view or its registry assigns to another service,
// and the proposer of the next view must keep the older target.
package announce
