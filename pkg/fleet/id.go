package fleet

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// IP protocol numbers of flows.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

type (
	// VMID names an entry VM or a control VM.
	VMID string
	// ZoneID names an availability zone.
	ZoneID string
	// RegionID names a region, which contains availability zones.
	RegionID string
	// TeamName names a team. Each team owns a subtree of the settings.
	TeamName string
	// ServiceHash is the 64-bit xxHash of a ServiceID. Datagrams carry it so
	// that a target can detect datagrams for another service.
	ServiceHash uint64
	// ServiceID names a service as "Team/Service".
	ServiceID string
	// KindName names a kind of work within the team of a service.
	KindName string
	// Epoch is the number of an agreed member list of a zone. Later lists have
	// higher numbers.
	Epoch uint64
	// Revision is the number of a state of the settings tree. Later states have
	// higher numbers.
	Revision uint64
	// Incarnation numbers the restarts of a VM, a replica or a target.
	Incarnation uint64
	// FlowHash is the 64-bit hash of a flow's 5-tuple.
	FlowHash uint64
	// TargetKey is the 64-bit hash of a TargetID, used in packet headers.
	TargetKey uint64
	// Urgency orders kinds of work; 0 is the most urgent.
	Urgency uint8
	// BytesPerSecond is a rate of control traffic.
	BytesPerSecond float64
	// Protocol is the IP protocol number of a flow.
	Protocol uint8
)

// String returns "tcp", "udp" or the number.
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("protocol(%d)", uint8(p))
}

// MarshalText encodes the protocol as "tcp" or "udp" and returns a FieldError
// for any other protocol.
func (p Protocol) MarshalText() ([]byte, error) {
	if p != TCP && p != UDP {
		return nil, &FieldError{Type: "Protocol", Field: "Protocol", Reason: "must be tcp or udp"}
	}
	return []byte(p.String()), nil
}

// UnmarshalText decodes "tcp" or "udp" and returns a FieldError for any other
// text.
func (p *Protocol) UnmarshalText(text []byte) error {
	switch string(text) {
	case "tcp":
		*p = TCP
	case "udp":
		*p = UDP
	default:
		return &FieldError{Type: "Protocol", Field: "Protocol", Reason: "must be tcp or udp"}
	}
	return nil
}

// FlowKey is the 5-tuple of a flow as the caller sees it.
type FlowKey struct {
	Caller   netip.AddrPort `json:"Caller"`
	VIP      netip.AddrPort `json:"VIP"`
	Protocol Protocol       `json:"Protocol"`
}

// Hash returns the flow's hash, which is equal on all VMs.
func (k FlowKey) Hash() FlowHash {
	var buf [37]byte
	caller := k.Caller.Addr().As16()
	vip := k.VIP.Addr().As16()
	copy(buf[0:16], caller[:])
	copy(buf[16:32], vip[:])
	binary.BigEndian.PutUint16(buf[32:34], k.Caller.Port())
	binary.BigEndian.PutUint16(buf[34:36], k.VIP.Port())
	buf[36] = uint8(k.Protocol)
	return FlowHash(xxhash.Sum64(buf[:]))
}

// String returns "protocol caller->VIP".
func (k FlowKey) String() string {
	return fmt.Sprintf("%s %s->%s", k.Protocol, k.Caller, k.VIP)
}

// TargetID identifies one incarnation of a target. After a restart, or when
// another service reuses the address, the id is different.
type TargetID struct {
	Service     ServiceID      `json:"Service" cbor:"1,keyasint"`
	Address     netip.AddrPort `json:"Address" cbor:"2,keyasint"`
	Incarnation Incarnation    `json:"Incarnation" cbor:"3,keyasint"`
}

// Hash returns the service's hash, which is equal on all VMs and targets.
func (s ServiceID) Hash() ServiceHash { return ServiceHash(xxhash.Sum64String(string(s))) }

// Key returns the hash of the id, which is equal on all VMs.
func (id TargetID) Key() TargetKey {
	buf := make([]byte, 0, 96)
	buf = append(buf, id.Service...)
	buf = append(buf, 0)
	addr := id.Address.Addr().As16()
	buf = append(buf, addr[:]...)
	buf = binary.BigEndian.AppendUint16(buf, id.Address.Port())
	buf = binary.BigEndian.AppendUint64(buf, uint64(id.Incarnation))
	return TargetKey(xxhash.Sum64(buf))
}

// String returns "service@address#incarnation".
func (id TargetID) String() string {
	return fmt.Sprintf("%s@%s#%d", id.Service, id.Address, id.Incarnation)
}

// IsZero reports whether the id is the zero TargetID.
func (id TargetID) IsZero() bool { return id == TargetID{} }
