package geneve

import (
	"net"
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// departedGracePeriod is the minimum time for which packets from a VM that left
// the view are still accepted, because a leaving VM passes packets until the
// end of its drain time. The packets are rejected from the first index on that
// is built after the grace period.
const departedGracePeriod = time.Minute

// index holds the lookup tables that the adapter needs for each datagram; it is
// built from a view and immutable.
type index struct {
	view      *fleet.View
	peerAddrs map[fleet.VMID]*net.UDPAddr
	peerIDs   map[netip.AddrPort]fleet.VMID
	targetIDs map[netip.AddrPort]fleet.TargetID
	// departedUntil holds the end of the grace period for the address of each
	// VM that left the view.
	departedUntil map[netip.AddrPort]time.Time
}

func newIndex(v *fleet.View, previous *index, now time.Time) *index {
	x := &index{
		view:      v,
		peerAddrs: make(map[fleet.VMID]*net.UDPAddr),
		peerIDs:   make(map[netip.AddrPort]fleet.VMID),
		targetIDs: make(map[netip.AddrPort]fleet.TargetID, len(v.Targets)),

		departedUntil: make(map[netip.AddrPort]time.Time),
	}
	x.addPeers(v.Members)
	for i := range v.Zones {
		x.addPeers(v.Zones[i].Members)
	}
	for i := range v.Targets {
		x.addTarget(v.Targets[i].ID)
	}
	if previous != nil {
		x.keepDeparted(previous, now)
	}
	return x
}

// keepDeparted copies from the previous index the addresses of the VMs that
// left the view and whose grace period has not ended.
func (x *index) keepDeparted(previous *index, now time.Time) {
	for address, id := range previous.peerIDs {
		if _, member := x.peerIDs[address]; member {
			continue
		}
		expiry, known := previous.departedUntil[address]
		if !known {
			expiry = now.Add(departedGracePeriod)
		}
		if now.Before(expiry) {
			x.peerIDs[address] = id
			x.departedUntil[address] = expiry
			if x.peerAddrs[id] == nil {
				x.peerAddrs[id] = previous.peerAddrs[id]
			}
		}
	}
}

func (x *index) addPeers(vms []fleet.VM) {
	for _, vm := range vms {
		x.peerAddrs[vm.ID] = net.UDPAddrFromAddrPort(vm.Data)
		x.peerIDs[vm.Data] = vm.ID
	}
}

// addTarget adds a target. If several incarnations have the same address, it
// keeps the highest, since only the latest incarnation can send.
func (x *index) addTarget(id fleet.TargetID) {
	if known, ok := x.targetIDs[id.Address]; ok && known.Incarnation > id.Incarnation {
		return
	}
	x.targetIDs[id.Address] = id
}
