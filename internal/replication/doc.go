// Package replication runs one replica of pkg/replica in a daemon: a goroutine
// that owns it, and the transport of its messages over net/rpc, with mutual TLS
// where keys are set.
package replication
