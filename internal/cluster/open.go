package cluster

import (
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/membership"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// OpenError reports a control port that could not be opened.
type OpenError struct {
	Network string
	Err     error
}

// Error implements error.
func (e *OpenError) Error() string {
	return fmt.Sprintf("open the control port (%s): %v", e.Network, e.Err)
}

// Unwrap returns the underlying error.
func (e *OpenError) Unwrap() error { return e.Err }

// Open returns the Cluster of an entry VM with its control port open for UDP
// and TCP, or an OpenError. The parameter now is the start time, from which the
// VM's incarnation is derived.
func Open(s *entry.Settings, ring *timeline.Ring, log *zap.Logger, now time.Time) (*Cluster, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Control))
	if err != nil {
		return nil, &OpenError{Network: "udp", Err: err}
	}
	pulls, err := net.Listen("tcp", s.Control.String())
	if err != nil {
		conn.Close()
		return nil, &OpenError{Network: "tcp", Err: err}
	}
	c := New()
	c.Self = fleet.VM{ID: s.ID, Control: s.Control, Data: s.Data, HTTP: s.HTTP}
	c.Zone = s.Zone
	c.Incarnation = fleet.Incarnation(now.UnixNano())
	c.Socket = &peer.Socket{Self: s.ID, Conn: conn, Clock: ring.Clock}
	c.PullListener = pulls
	c.Recorder = ring
	c.Log = log
	for _, z := range s.Zones {
		if z.ID == s.Zone {
			c.Seeds = z.Members
			continue
		}
		c.RemoteZones = append(c.RemoteZones, membership.RemoteZone{ID: z.ID, Seeds: z.Members})
	}
	for _, r := range s.Replicas {
		c.Replicas = append(c.Replicas, Replica{ID: r.ID, Control: r.Control})
	}
	return c, nil
}
