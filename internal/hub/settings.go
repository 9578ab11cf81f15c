package hub

import (
	"net/netip"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// silentAnnouncements is the number of announcements that a target may miss
// before it is taken for silent: one may be lost, and one late.
const silentAnnouncements = 2.5

// Settings are those of one hub.
type Settings struct {
	// HTTP is the address of the HTTP interface and the name of the hub.
	HTTP netip.AddrPort
	// Metrics serves metrics; it may be unset.
	Metrics netip.AddrPort
	Zone    fleet.ZoneID
	// Seeds are the HTTP addresses of some hubs.
	Seeds []netip.AddrPort
	// Feed and Replication are the ports of the feed and of the replicas'
	// messages on every hub.
	Feed, Replication uint16
	// Data is the folder of the log.
	Data string
	// First is set at the first start of the whole fleet only: the seeds then
	// form the log.
	First bool
	// AnnounceInterval is the time between two announcements of a target.
	AnnounceInterval time.Duration
}

// ID returns the name of the hub.
func (s *Settings) ID() fleet.VMID { return IDOf(s.HTTP) }

// IDOf returns the name of the hub with an HTTP address.
func IDOf(http netip.AddrPort) fleet.VMID { return fleet.VMID(http.String()) }

// AddressOf returns the address of another port of a hub, or "" where the id
// is no hub's name.
func AddressOf(id fleet.VMID, port uint16) string {
	a, err := netip.ParseAddrPort(string(id))
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(a.Addr(), port).String()
}
