package steering

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxBacklogBytes and maxBacklogPackets bound a Backlog.
	maxBacklogBytes   = 512 << 10
	maxBacklogPackets = 2048
	// dataHoldTime is how long a packet of an open flow is worth forwarding. The
	// sender repeats a lost packet within 1.6 s.
	dataHoldTime = 1200 * time.Millisecond
)

type (
	// Backlog holds the packets that arrive while a VM has no catalog or no targets,
	// for example after all VMs have lost power. Callers would otherwise repeat them
	// up to 1.6 s later. The zero value is ready to use, and safe for concurrent use.
	Backlog struct {
		mu       sync.Mutex
		released bool
		// packets are in the order of arrival. opening holds the index of the opening
		// packet of each flow.
		packets []HeldPacket
		opening map[FlowKey]int
		bytes   int
		dropped int
		// lastRemoval is the time of the last search for expired packets.
		lastRemoval time.Time
	}

	// HeldPacket is a packet with its bytes and the earliest time of its arrival.
	HeldPacket struct {
		Packet  Packet
		Data    []byte
		Arrived time.Time
	}
)

// Hold adds a packet, and reports whether it did: it does not once the backlog has
// been released. Of the copies of an opening packet, the newest is held, as if it
// were the only one, so that no target is suspected for not answering the others.
// Beyond its limits the backlog drops packets, at first those that are no longer
// worth forwarding.
func (b *Backlog) Hold(p *Packet, data []byte, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return false
	}
	h := HeldPacket{Packet: *p, Arrived: now.Add(-p.Waited)}
	h.Packet.Waited = 0
	if i, ok := b.opening[p.Flow]; ok && p.Opening {
		b.bytes += len(data) - len(b.packets[i].Data)
		h.Data = append(b.packets[i].Data[:0], data...)
		b.packets[i] = h
		return true
	}
	if b.full(len(data)) && now.Sub(b.lastRemoval) > sweepInterval {
		b.removeExpired(now)
	}
	if b.full(len(data)) {
		b.dropped++
		return true
	}
	h.Data = slices.Clone(data)
	b.add(h)
	return true
}

func (b *Backlog) full(size int) bool {
	return len(b.packets) > 0 && (len(b.packets) >= maxBacklogPackets || b.bytes+size > maxBacklogBytes)
}

func (b *Backlog) add(h HeldPacket) {
	if h.Packet.Opening {
		if b.opening == nil {
			b.opening = make(map[FlowKey]int)
		}
		b.opening[h.Packet.Flow] = len(b.packets)
	}
	b.packets = append(b.packets, h)
	b.bytes += len(h.Data)
}

func (b *Backlog) removeExpired(now time.Time) {
	held := b.packets
	b.packets, b.opening, b.bytes, b.lastRemoval = nil, nil, 0, now
	for _, h := range held {
		if h.expired(now) {
			b.dropped++
		} else {
			b.add(h)
		}
	}
}

// Release returns the held packets that are still worth forwarding, in the order of
// arrival, and the number of other packets, which were dropped. After the first
// call, the backlog holds no more packets.
func (b *Backlog) Release(now time.Time) (packets []HeldPacket, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	packets, dropped = b.packets, b.dropped
	b.released, b.packets, b.opening, b.bytes, b.dropped = true, nil, nil, 0, 0
	return packets, dropped
}

// expired reports whether the packet is no longer worth forwarding.
func (h *HeldPacket) expired(now time.Time) bool { return h.Packet.Stale(elapsed(h.Arrived, now)) }
