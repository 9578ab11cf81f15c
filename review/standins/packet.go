package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet (PROTOCOL.md, "Packets").
const (
	syn     = 1
	ack     = 2
	bounced = 8
	fin     = 32
	rst     = 128
)

const (
	headerSize = 31
	// sumKey is the key of the sum, which the system under test does not know.
	sumKey = 0x51ed270b
)

// packet is one packet between a client and a backend.
type packet struct {
	src, dst        netip.AddrPort
	seq, ack        uint32
	echo, sum       uint32
	flags           byte
	data            []byte
	sumOK, isReset0 bool
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
	binary.BigEndian.PutUint32(b[24:], sumOf(b))
	binary.BigEndian.PutUint32(b[20:], p.echo)
	return b
}

// sumOf returns the keyed sum of an encoded packet over all fields but echo, sum and
// BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[20:28])
	c[28] &^= bounced
	return crc32.ChecksumIEEE(c) ^ sumKey
}

// decode returns false for a datagram that is no packet.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headerSize {
		return packet{}, false
	}
	p := packet{
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[10:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[8:])),
		seq:   binary.BigEndian.Uint32(b[0:]),
		ack:   binary.BigEndian.Uint32(b[4:]),
		echo:  binary.BigEndian.Uint32(b[20:]),
		sum:   binary.BigEndian.Uint32(b[24:]),
		flags: b[28],
		data:  append([]byte(nil), b[headerSize:]...),
	}
	p.sumOK = p.sum == sumOf(b)
	p.isReset0 = p.flags == rst && p.sum == 0 && len(p.data) == 0
	return p, true
}
