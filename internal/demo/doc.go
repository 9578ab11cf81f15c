// Package demo runs a complete deployment in one process on loopback: the real
// daemons of three control VMs and of the entry VMs of three zones, and minimal
// fakes of the network fabric, the callers and the targets.
//
// Callers and targets use unmodified quic-go and http3 over a net.PacketConn
// that encapsulates packets. The fabric sends each packet to a random healthy
// entry VM.
package demo
