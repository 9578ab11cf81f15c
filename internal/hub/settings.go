package hub

import (
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxMissedAnnouncements is the number of announcement intervals without an
// announcement after which a target is marked as silent: one announcement may be
// lost, and the next may be late.
const maxMissedAnnouncements = 2.5

// Settings holds the settings of one hub.
type Settings struct {
	// HTTP is the address of the HTTP interface. It is also the ID of the hub.
	HTTP netip.AddrPort
	// Metrics is the address that serves metrics. If it is unset, metrics are not
	// served.
	Metrics netip.AddrPort
	Zone    fleet.ZoneID
	// Seeds holds the HTTP addresses of some hubs.
	Seeds []netip.AddrPort
	// Feed and Replication are the ports of the feed and of the replication, which
	// are the same on every hub.
	Feed, Replication uint16
	// Data is the directory of the log and of the cache file.
	Data string
	// Tolerance is the number of hubs that may lose their disks at the same time, 1 if
	// it is less.
	Tolerance int
	// Memory is the memory of the VM in bytes, 0 if it is not known. The limits of the
	// log, of queues and of requests in progress follow from it.
	Memory int
	// First is set only at the first start of the whole fleet: the seeds are then
	// the initial members of the log.
	First bool
	// Regions contains the known zones with their regions.
	Regions map[fleet.ZoneID]fleet.RegionID
	// ZoneOrders is set if operators may evacuate zones, and LoadReports if entry
	// VMs share their measurements of targets and load.
	ZoneOrders, LoadReports bool
	// AnnounceInterval is the time between two announcements of a target.
	AnnounceInterval time.Duration
}

// ID returns the ID of the hub.
func (s *Settings) ID() fleet.VMID { return IDOf(s.HTTP) }

// IDOf returns the ID of the hub whose HTTP interface has the given address.
func IDOf(http netip.AddrPort) fleet.VMID { return fleet.VMID(http.String()) }

func idsOf(addresses []netip.AddrPort) []fleet.VMID {
	var ids []fleet.VMID
	for _, a := range addresses {
		ids = append(ids, IDOf(a))
	}
	return ids
}

// AddressOf returns the IP address of a hub with the given port, or "" if id is
// not an IP address and port.
func AddressOf(id fleet.VMID, port uint16) string {
	a, err := netip.ParseAddrPort(string(id))
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), port).String()
}
