package geneve

import (
	"net"
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// departedTime is the time for which a VM that left the view may still pass
// packets: a leaving VM goes on doing so until its drain time is over.
const departedTime = time.Minute

// index is the part of a view that the adapter looks up for each datagram; it
// is immutable.
type index struct {
	view    *fleet.View
	peers   map[fleet.VMID]*net.UDPAddr
	sources map[netip.AddrPort]fleet.VMID
	targets map[netip.AddrPort]fleet.TargetID
	// departed holds the end of the time in which VMs outside the view count.
	departed map[netip.AddrPort]time.Time
}

func newIndex(v *fleet.View, before *index, now time.Time) *index {
	x := &index{
		view:    v,
		peers:   make(map[fleet.VMID]*net.UDPAddr),
		sources: make(map[netip.AddrPort]fleet.VMID),
		targets: make(map[netip.AddrPort]fleet.TargetID, len(v.Targets)),

		departed: make(map[netip.AddrPort]time.Time),
	}
	x.addPeers(v.Members)
	for i := range v.Zones {
		x.addPeers(v.Zones[i].Members)
	}
	for i := range v.Targets {
		x.addTarget(v.Targets[i].ID)
	}
	if before != nil {
		x.keepDeparted(before, now)
	}
	return x
}

func (x *index) keepDeparted(before *index, now time.Time) {
	for address, id := range before.sources {
		if _, member := x.sources[address]; member {
			continue
		}
		until, known := before.departed[address]
		if !known {
			until = now.Add(departedTime)
		}
		if now.Before(until) {
			x.sources[address] = id
			x.departed[address] = until
			if x.peers[id] == nil {
				x.peers[id] = before.peers[id]
			}
		}
	}
}

func (x *index) addPeers(vms []fleet.VM) {
	for _, vm := range vms {
		x.peers[vm.ID] = net.UDPAddrFromAddrPort(vm.Data)
		x.sources[vm.Data] = vm.ID
	}
}

// addTarget keeps the highest incarnation of an address, which is the one that
// can send.
func (x *index) addTarget(id fleet.TargetID) {
	if known, ok := x.targets[id.Address]; ok && known.Incarnation > id.Incarnation {
		return
	}
	x.targets[id.Address] = id
}
