package demo

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Guards against a target that takes a packet which an entry VM with a former
// view sent to another service at its address.
func TestTargetIgnoresOtherService(t *testing.T) {
	target, err := newTarget("Monza", "Lutto/Sheets", netip.AddrPort{}, newLedger(), func() []fleet.VM { return nil })
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
	known := func(caller netip.AddrPort) bool {
		target.mu.Lock()
		defer target.mu.Unlock()
		return target.peers[caller] != nil
	}
	for end := time.Now().Add(5 * time.Second); !known(own) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if !known(own) || known(other) {
		t.Errorf("flows: got own %v, other service %v, want true, false", known(own), known(other))
	}
}
