package geneve

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// QUIC versions whose Initial packets are recognized (RFC 9000, RFC 9369).
const (
	quicVersion1 = 0x00000001
	quicVersion2 = 0x6b3343cf
)

// Bits of the first byte of a QUIC packet.
const (
	quicLongHeader = 0x80
	quicFixedBit   = 0x40
	quicTypeMask   = 0x30
)

type (
	// Inner is a decoded inner packet. Source and Destination are the addresses
	// and ports in the IP and transport headers. Start reports whether the
	// packet may start a flow.
	Inner struct {
		Source      netip.AddrPort
		Destination netip.AddrPort
		Protocol    fleet.Protocol
		Start       bool
		// Instance distinguishes requests that use the same ports; see
		// balancer.Packet.
		Instance uint32
		End      balancer.End
		// Data is the payload of the transport protocol.
		Data []byte
	}

	// Decoder decodes inner packets. It reuses the memory of the decoded
	// headers, so it is not safe for concurrent use.
	Decoder struct {
		parser4    *gopacket.DecodingLayerParser
		parser6    *gopacket.DecodingLayerParser
		ip4        layers.IPv4
		ip6        layers.IPv6
		tcp        layers.TCP
		udp        layers.UDP
		payload    gopacket.Payload
		layerTypes []gopacket.LayerType
	}
)

// NewDecoder returns a Decoder for IPv4 and IPv6 packets with TCP or UDP.
func NewDecoder() *Decoder {
	d := &Decoder{}
	d.parser4 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &d.ip4, &d.tcp, &d.udp, &d.payload)
	d.parser6 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, &d.ip6, &d.tcp, &d.udp, &d.payload)
	// gopacket infers the application protocol from the port. Without
	// IgnoreUnsupported, gopacket would report an error for packets to ports 53
	// and 4789, because the parsers have no decoder for these protocols.
	d.parser4.IgnoreUnsupported = true
	d.parser6.IgnoreUnsupported = true
	return d
}

// Decode decodes an IP packet; the result refers to b. It returns a DecodeError
// for malformed packets, fragments and packets other than TCP and UDP.
func (d *Decoder) Decode(b []byte) (Inner, error) {
	if len(b) == 0 {
		return Inner{}, &DecodeError{Reason: TooShort}
	}
	switch b[0] >> 4 {
	case 4:
		return d.decode4(b)
	case 6:
		return d.decode6(b)
	}
	return Inner{}, &DecodeError{Reason: BadInner}
}

func (d *Decoder) decode4(b []byte) (Inner, error) {
	if err := d.parser4.DecodeLayers(b, &d.layerTypes); err != nil || d.parser4.Truncated {
		return Inner{}, &DecodeError{Reason: BadInner}
	}
	// Fragments are rejected, since only the first one has the ports that
	// determine the flow.
	if d.ip4.FragOffset != 0 || d.ip4.Flags&layers.IPv4MoreFragments != 0 {
		return Inner{}, &DecodeError{Offset: 6, Reason: Fragment}
	}
	source, _ := netip.AddrFromSlice(d.ip4.SrcIP)
	destination, _ := netip.AddrFromSlice(d.ip4.DstIP)
	return d.decodeTransport(source, destination)
}

func (d *Decoder) decode6(b []byte) (Inner, error) {
	if err := d.parser6.DecodeLayers(b, &d.layerTypes); err != nil || d.parser6.Truncated {
		return Inner{}, &DecodeError{Reason: BadInner}
	}
	source, _ := netip.AddrFromSlice(d.ip6.SrcIP)
	destination, _ := netip.AddrFromSlice(d.ip6.DstIP)
	return d.decodeTransport(source, destination)
}

func (d *Decoder) decodeTransport(source, destination netip.Addr) (Inner, error) {
	for _, layer := range d.layerTypes {
		switch layer {
		case layers.LayerTypeTCP:
			return d.tcpInner(source, destination), nil
		case layers.LayerTypeUDP:
			return d.udpInner(source, destination), nil
		}
	}
	return Inner{}, &DecodeError{Reason: BadInner}
}

func (d *Decoder) tcpInner(source, destination netip.Addr) Inner {
	in := Inner{
		Source:      netip.AddrPortFrom(source, uint16(d.tcp.SrcPort)),
		Destination: netip.AddrPortFrom(destination, uint16(d.tcp.DstPort)),
		Protocol:    fleet.TCP,
		Start:       d.tcp.SYN && !d.tcp.ACK,
		Data:        d.tcp.Payload,
	}
	if in.Start {
		in.Instance = d.tcp.Seq
	}
	switch {
	case d.tcp.RST:
		in.End = balancer.Reset
	case d.tcp.FIN:
		in.End = balancer.Fin
	}
	return in
}

func (d *Decoder) udpInner(source, destination netip.Addr) Inner {
	return Inner{
		Source:      netip.AddrPortFrom(source, uint16(d.udp.SrcPort)),
		Destination: netip.AddrPortFrom(destination, uint16(d.udp.DstPort)),
		Protocol:    fleet.UDP,
		Start:       startsFlow(d.udp.Payload),
		Instance:    quicInstance(d.udp.Payload),
		Data:        d.udp.Payload,
	}
}

// startsFlow reports whether a packet with UDP payload b may be the first of
// its flow: b is a QUIC Initial or is not QUIC. Long-header packets of an
// unknown QUIC version are treated as Initials, since their type can't be
// determined.
func startsFlow(b []byte) bool {
	if len(b) == 0 || b[0]&quicFixedBit == 0 {
		return true
	}
	if b[0]&quicLongHeader == 0 {
		return false
	}
	if len(b) < 5 {
		return true
	}
	switch binary.BigEndian.Uint32(b[1:]) {
	case quicVersion1:
		return b[0]&quicTypeMask == 0x00
	case quicVersion2:
		return b[0]&quicTypeMask == 0x10
	}
	return true
}

// quicInstance returns a hash of the source connection ID of a QUIC Initial. It
// returns 0 for other payloads and for an empty source ID. The source ID is
// used because the caller keeps this ID for the whole handshake. The
// destination ID changes: once the target has answered, the caller uses the ID
// that the target chose.
func quicInstance(b []byte) uint32 {
	const idsOffset = 5
	if len(b) <= idsOffset || b[0]&(quicLongHeader|quicFixedBit) != quicLongHeader|quicFixedBit || !startsFlow(b) {
		return 0
	}
	source, ok := skipConnectionID(b[idsOffset:])
	if !ok {
		return 0
	}
	if _, ok := skipConnectionID(source); !ok || source[0] == 0 {
		return 0
	}
	return uint32(xxhash.Sum64(source[1 : 1+int(source[0])]))
}

// skipConnectionID skips a connection ID, which is preceded by a length byte,
// and returns the rest of b. It returns false if b is too short.
func skipConnectionID(b []byte) ([]byte, bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return nil, false
	}
	return b[1+int(b[0]):], true
}
