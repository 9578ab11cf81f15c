// Package peer carries control messages between processes: small messages in
// UDP datagrams, and deltas of the settings over net/rpc on the TCP port with
// the same number.
package peer
