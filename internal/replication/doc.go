// Package replication runs a replica of pkg/replica in a daemon. It provides the
// goroutine that owns the replica, and a transport for the replica's messages
// over net/rpc, with mutual TLS if keys are set.
package replication
