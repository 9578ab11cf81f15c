package control

import (
	"net/netip"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxSubscribers bounds the addresses that a replica remembers.
const maxSubscribers = 1024

// subscribers maps the entry VMs that have sent hints to their addresses. It
// is used by the loop's goroutine.
type subscribers struct {
	addresses map[fleet.VMID]netip.AddrPort
}

func (s *subscribers) set(id fleet.VMID, address netip.AddrPort) {
	if len(s.addresses) >= maxSubscribers {
		// Those that still poll come back at once.
		clear(s.addresses)
	}
	s.addresses[id] = address
}
