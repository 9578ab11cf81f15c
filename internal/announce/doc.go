// Package announce implements the announcement of targets over HTTP: POST
// /targets announces a target or renews its lease, DELETE /targets ends the
// lease. Any entry VM of the zone accepts a request and forwards it to the
// target's owner, which keeps the lease in a Registry.
//
// Each owner rejects an address that its view or its registry assigns to
// another service. If two services announce the same address at the same time,
// the two targets can have different owners, which then both accept the
// address. docs/design.md does not specify this case. The proposer of the next
// view should keep only the older target, but the proposer does not compare
// addresses.
package announce
