// Package demo runs the whole path in one process on loopback: entry VMs of
// three zones and three control VMs as real daemons, and small stand-ins for the
// fabric, the callers and the targets.
//
// Callers and targets use unmodified quic-go and http3 over a net.PacketConn
// that encapsulates; the fabric sprays every packet over all healthy entry VMs.
package demo
