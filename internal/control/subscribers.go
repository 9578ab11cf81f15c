package control

import (
	"net/netip"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxSubscribers is the maximum number of addresses that a replica stores.
const maxSubscribers = 1024

// subscribers holds the addresses of the entry VMs that have sent hints. It is
// used only by the loop's goroutine.
type subscribers struct {
	addresses map[fleet.VMID]netip.AddrPort
}

func (s *subscribers) set(id fleet.VMID, address netip.AddrPort) {
	if len(s.addresses) >= maxSubscribers {
		// A VM that still polls is added again by its next hint.
		clear(s.addresses)
	}
	s.addresses[id] = address
}
