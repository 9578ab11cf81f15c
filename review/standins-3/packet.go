package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net/netip"
	"time"
)

// Bits of the flags of a packet.
const (
	flagSYN     = 1
	flagACK     = 2
	flagBounced = 8
	flagFIN     = 32
	flagRST     = 128
)

const headerSize = 31

// packet is a packet of a flow, as PROTOCOL.md describes it.
type packet struct {
	src, dst  netip.AddrPort
	seq, ack  uint32
	echo, sum uint32
	flags     byte
	data      []byte
}

// sumKey is the key of the sum, which the system does not know.
const sumKey = "a key of the two ends"

func (p *packet) keyedSum() uint32 {
	q := *p
	q.echo, q.sum, q.flags = 0, 0, p.flags&^flagBounced
	return crc32.ChecksumIEEE(append([]byte(sumKey), q.bytes()...))
}

func (p *packet) bytes() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], p.dst.Port())
	binary.BigEndian.PutUint16(b[10:], p.src.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[12:], dst[:])
	copy(b[16:], src[:])
	binary.BigEndian.PutUint32(b[20:], p.echo)
	binary.BigEndian.PutUint32(b[24:], p.sum)
	b[28] = p.flags
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	return append(b, p.data...)
}

// encode returns the packet with its sum.
func (p *packet) encode() []byte {
	p.sum = p.keyedSum()
	return p.bytes()
}

func decode(b []byte) (*packet, error) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headerSize {
		return nil, fmt.Errorf("malformed packet of %d bytes", len(b))
	}
	return &packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[8:])),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[10:])),
		echo: binary.BigEndian.Uint32(b[20:]), sum: binary.BigEndian.Uint32(b[24:]),
		flags: b[28], data: append([]byte(nil), b[headerSize:]...),
	}, nil
}

// Times of retransmissions.
const (
	firstRepeat = 200 * time.Millisecond
	maxRepeat   = 1600 * time.Millisecond
	maxRepeats  = 8
)

// repeat calls send after 200 ms, and then after intervals that double up to 1.6 s, until
// send returns false, or maxRepeats times.
func repeat(send func() bool) {
	go func() {
		wait := firstRepeat
		for range maxRepeats {
			time.Sleep(wait)
			if !send() {
				return
			}
			wait = min(2*wait, maxRepeat)
		}
	}()
}
