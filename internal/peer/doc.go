// Package peer carries control messages between processes: small ones in UDP
// datagrams, and deltas of the settings over net/rpc at the TCP port of the
// same number.
package peer
