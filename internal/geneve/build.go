package geneve

import (
	"fmt"
	"net/netip"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// hopLimit is the TTL or hop limit of packets that this package builds.
const hopLimit = 64

// maxQuotedSize6 keeps an ICMPv6 error within the minimum MTU of 1,280 bytes,
// as RFC 4443 section 2.4 requires: 1,280 bytes less 40 bytes of IPv6 header
// and 8 bytes of ICMPv6 header.
const maxQuotedSize6 = 1232

// quotedTransportSize is the number of bytes of the transport header that an
// ICMPv4 error quotes (RFC 792).
const quotedTransportSize = 8

// BuildError reports a packet that can't be built.
type BuildError struct {
	Packet string
	Err    error
}

// Error names the packet and the cause.
func (e *BuildError) Error() string { return fmt.Sprintf("building %s: %v", e.Packet, e.Err) }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Err }

// BuildUDP returns an IP packet with a UDP datagram. Any error is a BuildError.
func BuildUDP(source, destination netip.AddrPort, data []byte) ([]byte, error) {
	udp := &layers.UDP{SrcPort: layers.UDPPort(source.Port()), DstPort: layers.UDPPort(destination.Port())}
	return build("UDP packet", source.Addr(), destination.Addr(), layers.IPProtocolUDP, udp, data)
}

// BuildTCP returns an IP packet with a TCP segment and sets the ports of tcp.
// Any error is a BuildError.
func BuildTCP(source, destination netip.AddrPort, tcp *layers.TCP, data []byte) ([]byte, error) {
	tcp.SrcPort = layers.TCPPort(source.Port())
	tcp.DstPort = layers.TCPPort(destination.Port())
	return build("TCP segment", source.Addr(), destination.Addr(), layers.IPProtocolTCP, tcp, data)
}

// transportLayer is a layer whose checksum covers the IP addresses.
type transportLayer interface {
	gopacket.SerializableLayer
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

func build(name string, source, destination netip.Addr, p layers.IPProtocol, transport transportLayer, data []byte) ([]byte, error) {
	network := networkLayer(source, destination, p)
	if err := transport.SetNetworkLayerForChecksum(network.(gopacket.NetworkLayer)); err != nil {
		return nil, &BuildError{Packet: name, Err: err}
	}
	return serialize(name, network, transport, gopacket.Payload(data))
}

func networkLayer(source, destination netip.Addr, p layers.IPProtocol) gopacket.SerializableLayer {
	if source.Is4() {
		return &layers.IPv4{Version: 4, TTL: hopLimit, Protocol: p, Flags: layers.IPv4DontFragment,
			SrcIP: source.AsSlice(), DstIP: destination.AsSlice()}
	}
	return &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: p,
		SrcIP: source.AsSlice(), DstIP: destination.AsSlice()}
}

func serialize(name string, parts ...gopacket.SerializableLayer) ([]byte, error) {
	buf := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buf, options, parts...); err != nil {
		return nil, &BuildError{Packet: name, Err: err}
	}
	return buf.Bytes(), nil
}

// Refusal returns the packet that tells the sender of the IP packet b that the
// flow is refused: a TCP reset, or an ICMP port unreachable error for UDP. It
// returns nil if b is a TCP reset, because a reset must not be answered.
func (d *Decoder) Refusal(b []byte) ([]byte, error) {
	in, err := d.Decode(b)
	if err != nil {
		return nil, fmt.Errorf("decoding the refused packet: %w", err)
	}
	if in.Protocol == fleet.TCP {
		return d.reset(in)
	}
	if in.Destination.Addr().Is4() {
		return d.unreachable4(in, b)
	}
	return d.unreachable6(in, b)
}

// reset returns the reset with which RFC 9293 section 3.10.7.1 requires a
// segment to be answered. If the segment has an acknowledgement number, this is
// the sequence number of the reset; otherwise the reset acknowledges the
// segment. reset returns nil if the segment is a reset itself.
func (d *Decoder) reset(in Inner) ([]byte, error) {
	if d.tcp.RST {
		return nil, nil
	}
	reset := &layers.TCP{RST: true}
	if d.tcp.ACK {
		reset.Seq = d.tcp.Ack
		return BuildTCP(in.Destination, in.Source, reset, nil)
	}
	length := uint32(len(in.Data))
	if d.tcp.SYN {
		length++
	}
	if d.tcp.FIN {
		length++
	}
	reset.ACK = true
	reset.Ack = d.tcp.Seq + length
	return BuildTCP(in.Destination, in.Source, reset, nil)
}

func (d *Decoder) unreachable4(in Inner, b []byte) ([]byte, error) {
	quoted := min(len(b), int(d.ip4.IHL)*4+quotedTransportSize)
	icmp := &layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodePort)}
	network := networkLayer(in.Destination.Addr(), in.Source.Addr(), layers.IPProtocolICMPv4)
	return serialize("ICMPv4 error", network, icmp, gopacket.Payload(b[:quoted]))
}

func (d *Decoder) unreachable6(in Inner, b []byte) ([]byte, error) {
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6CodePortUnreachable)}
	network := networkLayer(in.Destination.Addr(), in.Source.Addr(), layers.IPProtocolICMPv6)
	if err := icmp.SetNetworkLayerForChecksum(network.(gopacket.NetworkLayer)); err != nil {
		return nil, &BuildError{Packet: "ICMPv6 error", Err: err}
	}
	// The 4 bytes after the checksum are unused and zero (RFC 4443 section 3.1).
	body := append(make([]byte, 4), b[:min(len(b), maxQuotedSize6)]...)
	return serialize("ICMPv6 error", network, icmp, gopacket.Payload(body))
}

// BuildEmpty returns an IP packet with a TCP or UDP header and no data. The
// packet only identifies a flow, by its addresses, ports and protocol. Any
// error is a BuildError.
func BuildEmpty(source, destination netip.AddrPort, p fleet.Protocol) ([]byte, error) {
	if p == fleet.TCP {
		return BuildTCP(source, destination, &layers.TCP{}, nil)
	}
	return BuildUDP(source, destination, nil)
}
