package replication

import (
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// testIdleTimeout is the idle timeout of the transports in these tests.
const testIdleTimeout = 200 * time.Millisecond

// peerCount returns the number of senders.
func (t *Transport) peerCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// Guards against senders of replaced VMs that stay for the life of the process, each with
// its queue and its connection.
func TestSendersOfGonePeersEnd(t *testing.T) {
	const gone = 100
	addresses := &sync.Map{}
	a, b := openIdle(t, "a", nil, addresses, testIdleTimeout), openIdle(t, "b", nil, addresses, testIdleTimeout)
	for i := range gone {
		vm := fleet.VMID(fmt.Sprintf("gone-%d", i))
		addresses.Store(vm, "127.0.0.1:1")
		a.sendJoin(vm)
	}
	if !a.reaches(b) {
		t.Fatal("got no message, want one")
	}
	if !eventually(func() bool { return a.peerCount() == 0 }) {
		t.Errorf("senders of idle peers: got %d, want 0", a.peerCount())
	}
	if a.queuedBytes.Load() != 0 {
		t.Errorf("queued: got %d bytes, want 0", a.queuedBytes.Load())
	}
	b.drop()
	if !a.reaches(b) {
		t.Error("peer that was idle: got no message, want one")
	}
}

// Guards against messages that are queued while a sender ends, and would be lost.
func TestSendWhileSenderEnds(t *testing.T) {
	addresses := &sync.Map{}
	a, b := openIdle(t, "a", nil, addresses, testIdleTimeout), openIdle(t, "b", nil, addresses, testIdleTimeout)
	for n := range 20 {
		a.sendJoin("b")
		if d := b.waitFor(callTimeout); d >= callTimeout {
			t.Fatalf("message %d: got none, want one", n)
		}
		time.Sleep(testIdleTimeout + time.Duration(n-10)*time.Millisecond/4)
	}
}

// Guards against connections of VMs that are gone for good, which stay open until no peer
// can connect any more.
func TestAcceptedConnectionsOfGonePeers(t *testing.T) {
	addresses := &sync.Map{}
	b := openIdle(t, "b", nil, addresses, testIdleTimeout)
	for range maxConns {
		conn := must(net.Dial("tcp", b.Listener.Addr().String()))
		client := rpc.NewClient(conn)
		defer client.Close()
		if err := client.Call(deliverMethod, &Batch{From: "gone"}, &Empty{}); err != nil {
			t.Fatal(err)
		}
	}
	a := openIdle(t, "a", nil, addresses, testIdleTimeout)
	if !a.reaches(b) {
		t.Errorf("after %d connections of VMs that are gone: got no message, want one", maxConns)
	}
}
