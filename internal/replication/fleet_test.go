package replication

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

type (
	// countingMachine is a state machine without state.
	countingMachine struct{}

	// runningReplica is a replica with its loop and transport.
	runningReplica struct {
		loop      *Loop
		transport *Transport
	}
)

func (countingMachine) Apply(replica.Index, []byte, time.Time) []byte { return nil }
func (countingMachine) Snapshot() ([]byte, error)                     { return nil, nil }
func (countingMachine) Restore([]byte) error                          { return nil }

// startReplicas starts three replicas. The connections to each of them pass a proxy.
func startReplicas(t *testing.T) ([]*runningReplica, []*proxy) {
	const n = 3
	var members []replica.Member
	var listeners []net.Listener
	var proxies []*proxy
	addresses := make(map[fleet.VMID]string)
	for i := range n {
		id := fleet.VMID(fmt.Sprintf("control-%d", i))
		members = append(members, replica.Member{Identity: replica.Identity{VM: id, Incarnation: 1}, Voter: true})
		listeners = append(listeners, must(net.Listen("tcp", "127.0.0.1:0")))
		proxies = append(proxies, startProxy(t, &proxy{target: listeners[i].Addr().String()}))
		addresses[id] = proxies[i].listener.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	var replicas []*runningReplica
	for i := range n {
		fs := replica.DirFS(t.TempDir())
		if err := replica.Bootstrap(fs, members[i].Identity, members); err != nil {
			t.Fatal(err)
		}
		r, err := replica.Open(replica.Options{
			Self: members[i].VM, FS: fs, StateMachine: countingMachine{}, Rand: rand.New(rand.NewPCG(1, uint64(i))), QuorumReads: true,
		}, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		transport := &Transport{Self: members[i].VM, Listener: listeners[i], Address: func(id fleet.VMID) string { return addresses[id] }}
		loop := &Loop{Replica: r, Send: transport.Send}
		loop.Init()
		transport.Deliver = func(from fleet.VMID, m replica.Message) bool { return loop.Deliver(ctx, from, m) }
		wg.Go(func() { _ = transport.Run(ctx) })
		wg.Go(func() { _ = loop.Run(ctx) })
		replicas = append(replicas, &runningReplica{loop, transport})
	}
	return replicas, proxies
}

// leader returns the leader, or nil if there is none.
func leader(replicas []*runningReplica) *runningReplica {
	for _, r := range replicas {
		role := ""
		if r.loop.Do(context.Background(), func(time.Time) { role = r.loop.Replica.Role() }) == nil && role == "Leader" {
			return r
		}
	}
	return nil
}

// Guards against seconds without a leader after all connections between the replicas
// have gone silent at once, without a reset.
func TestLeaderAfterSilence(t *testing.T) {
	replicas, proxies := startReplicas(t)
	if !eventually(func() bool { return leader(replicas) != nil }) {
		t.Fatal("got no leader, want one")
	}
	for range 3 {
		// All replicas have connected to the leader.
		time.Sleep(replica.DefaultElectionTimeout)
		for _, p := range proxies {
			p.silence()
		}
		start := time.Now()
		for written := false; !written && time.Since(start) < 2*callTimeout; {
			ctx, cancel := context.WithTimeout(context.Background(), heartbeat)
			if l := leader(replicas); l != nil {
				_, err := l.loop.Propose(ctx, []byte("x"))
				written = err == nil
			}
			cancel()
		}
		d := time.Since(start)
		t.Logf("first write after silence: %v", d)
		if d > replica.DefaultElectionTimeout {
			t.Errorf("first write after silence: got %v, want at most %v", d, replica.DefaultElectionTimeout)
		}
	}
}
