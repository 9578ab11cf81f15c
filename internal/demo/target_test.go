package demo

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Guards against a target that accepts a packet meant for another service. An
// entry VM with an outdated view sends such a packet if a target of the other
// service had the same address before.
func TestTargetIgnoresOtherService(t *testing.T) {
	target, err := newTarget("Monza", "Lutto/Sheets", netip.AddrPort{}, newAuditLog(), func() []fleet.VM { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer target.conn.Close()
	go target.receive()
	conn, err := net.Dial("udp4", target.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	vip := netip.MustParseAddrPort("198.18.0.1:443")
	send := func(caller string, s fleet.ServiceID) netip.AddrPort {
		source := netip.MustParseAddrPort(caller)
		inner, err := geneve.BuildUDP(source, vip, []byte("request"))
		if err != nil {
			t.Fatal(err)
		}
		h := geneve.Header{Service: s.Hash()}
		if _, err := conn.Write(append(h.Append(nil, inner), inner...)); err != nil {
			t.Fatal(err)
		}
		return source
	}
	other, own := send("192.0.2.1:1000", "Lutto/Counter"), send("192.0.2.1:1001", "Lutto/Sheets")
	hasFlow := func(caller netip.AddrPort) bool {
		target.mu.Lock()
		defer target.mu.Unlock()
		return target.flows[caller] != nil
	}
	for end := time.Now().Add(5 * time.Second); !hasFlow(own) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if !hasFlow(own) || hasFlow(other) {
		t.Errorf("flows: got own %v, other service %v, want true, false", hasFlow(own), hasFlow(other))
	}
}
