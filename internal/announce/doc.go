// Package announce takes announcements of targets over HTTP: POST /targets
// announces a target or renews its lease, DELETE /targets ends it. Any entry
// VM of the zone takes a request and forwards it to the target's owner, which
// keeps the lease in a Registry.
//
// The design page leaves open how an address that two services announce at the
// same time is settled: their owners differ, so each owner rejects an address
// that its view or its own registry gives to another service, and the proposer
// of the next view must keep the older one.
package announce
