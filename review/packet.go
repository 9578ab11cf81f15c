package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags and size of a packet's header.
const (
	flagSyn    = 1
	flagAck    = 2
	flagFin    = 32
	flagRst    = 128
	headerSize = 31
	sumKey     = 0x5a17c0de
)

// packet is one packet between a client and a backend.
type packet struct {
	src, dst       netip.AddrPort
	seq, ack, echo uint32
	sum            uint32
	flags          byte
	data           []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	binary.BigEndian.PutUint16(b[10:], p.src.Port())
	copy(b[12:], p.dst.Addr().AsSlice())
	copy(b[16:], p.src.Addr().AsSlice())
	b[28] = p.flags
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[24:], checksum(b))
	binary.BigEndian.PutUint32(b[20:], p.echo)
	return b
}

// checksum covers all fields except echo and sum, which must be 0.
func checksum(b []byte) uint32 { return crc32.ChecksumIEEE(b) ^ sumKey }

// decode returns the packet in b, and whether its ends have written it so. A reset of
// the system has sum 0.
func decode(b []byte) (p packet, intact bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headerSize {
		return packet{}, false
	}
	p = packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[10:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[8:])),
		seq:   binary.BigEndian.Uint32(b[0:]),
		ack:   binary.BigEndian.Uint32(b[4:]),
		echo:  binary.BigEndian.Uint32(b[20:]),
		sum:   binary.BigEndian.Uint32(b[24:]),
		flags: b[28],
		data:  append([]byte(nil), b[headerSize:]...),
	}
	zeroed := append([]byte(nil), b...)
	clear(zeroed[20:28])
	return p, p.sum == checksum(zeroed)
}

func (p *packet) systemReset() bool { return p.flags == flagRst && p.sum == 0 && len(p.data) == 0 }
