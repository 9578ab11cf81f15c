// Package geneve is the packet adapter: it moves Geneve datagrams (RFC 8926)
// between one UDP socket and the decision core of pkg/balancer.
//
// Three kinds of datagrams arrive at the data port. Geneve version 0 has the
// two most significant bits of the first byte clear, so a datagram that starts
// with peerMagic, which sets the most significant bit, is never Geneve and
// carries a pass header and an inner packet from another entry VM. It counts
// only when its outer source is the data address of a member in the view. A
// Geneve datagram whose outer source is a target of the view is from that
// target; all other Geneve datagrams are from the fabric, and their inner
// destination must be a listener.
//
// The O bit of the Geneve header marks control packets: their inner headers
// name a flow, and nothing is delivered. A target's RequestDone, RequestShed
// and bare load reports, and Cancel towards targets, are such packets. The
// options have class 0xffb0, from the experimental range, and none is critical.
// A RequestShed that carries the start packet may be retried.
//
// gopacket 1.1.19 decodes Geneve but can't serialize it. Its decoder also
// panics on a header of 7 bytes, returns the wrong payload after more than 247
// bytes of options (its offset has 8 bits), reads 4 of the 5 length bits and
// allocates for each option, so this package encodes and decodes the 8-byte
// header and the options itself. The inner packets are
// decoded and built by gopacket.
package geneve
