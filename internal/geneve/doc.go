// Package geneve is the packet adapter: it moves Geneve datagrams (RFC 8926)
// between one UDP socket and the decision core of pkg/balancer.
//
// The view is the fleet.View that Adapter.SetView last set. A start packet is a
// packet that may start a flow: a TCP SYN, a QUIC Initial, or any packet of
// another UDP protocol.
//
// The data port receives datagrams of three kinds:
//
//   - Datagrams from other entry VMs start with peerMagic, which sets the most
//     significant bit of the first byte. Geneve version 0 has the two most
//     significant bits clear, so the two formats can't be confused. Such a
//     datagram carries a balancer.PassHeader and an inner packet, or a control
//     message of the core. The datagram is accepted only if its outer source is
//     the data address of a VM that is in the view or left the view recently.
//     Datagrams of a VM that left are accepted until the first call of SetView
//     that is at least one minute after the VM left the view.
//   - Geneve datagrams whose outer source is a target of the view are from that
//     target.
//   - All other Geneve datagrams are from the fabric. Their outer source must be
//     permitted by Adapter.Sources, and their inner destination must be a
//     listener.
//
// The O bit of the Geneve header marks control packets: their inner headers
// only identify a flow, and the inner packet is not delivered. The Cancel
// message to a target is a control packet.
//
// A target reports its load in an option of a response, or in a control packet
// if it has no response to send. It reports RequestDone (the request has
// finished) in a control packet, because for a flow that the core holds, the core
// sends no packet with RequestDone or RequestShed to the caller. The target reports
// RequestShed (it did not run the request) in a packet that returns the caller's
// start packet, or in a control packet. The request may be retried only if the
// start packet is returned, because only then can it be forwarded again.
//
// The options have class 0xffb0, from the experimental range, and none of them
// has the critical bit set.
//
// gopacket 1.1.19 decodes Geneve but can't serialize it. Its decoder also
// panics on a header of 7 bytes, returns the wrong payload after more than 247
// bytes of options (the decoder keeps the offset in 8 bits), reads only 4 of
// the 5 bits of an option's length, and allocates memory for each option.
// Therefore this package encodes and decodes the 8-byte header and the options
// itself. It uses gopacket to decode and build the inner packets.
package geneve
