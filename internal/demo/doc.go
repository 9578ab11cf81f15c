// Package demo runs a complete deployment in one process on loopback: the real
// daemons of three control VMs and of the entry VMs of three zones, and minimal
// fakes of the network fabric, the callers and the targets.
//
// Callers and targets use unmodified quic-go and http3 over a net.PacketConn
// that encapsulates packets. The fabric sends each packet to a random healthy
// entry VM.
//
// Callers send requests of four kinds. A lookup is an idempotent HTTP/3 request
// whose response bypasses the entry VMs. An order is a non-idempotent HTTP/3
// request, and a TCP order is a non-idempotent request over a minimal TCP. A
// download is an idempotent HTTP/3 request for a sheet, which is a response
// that the target sends slowly, over most of the run.
package demo
