package replication

import (
	"context"
	"net"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

// largeMessage returns a message with one command of 1 MiB.
func largeMessage() replica.Message {
	return replica.Message{Kind: replica.Append, Term: 1, Position: replica.Position{Index: 1, Term: 1}, Entries: []replica.Entry{
		{Index: 2, Term: 1, Kind: replica.CommandEntry, Data: make([]byte, 1<<20)},
	}}
}

// Guards against a queue for a peer that accepts connections and then is silent, whose
// size depends on the sizes of the messages.
func TestQueueForSilentPeer(t *testing.T) {
	silent := must(net.Listen("tcp", "127.0.0.1:0"))
	defer silent.Close()
	tr := &Transport{
		Self: "a", Listener: must(net.Listen("tcp", "127.0.0.1:0")), QueueBytes: 4 << 20,
		Address: func(fleet.VMID) string { return silent.Addr().String() },
		Deliver: func(fleet.VMID, replica.Message) bool { return true },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Run(ctx) }()
	for started := false; !started; time.Sleep(time.Millisecond) {
		tr.mu.Lock()
		started = tr.ctx != nil
		tr.mu.Unlock()
	}
	const sent = 100
	for range sent {
		tr.Send(replica.Envelope{To: "b", Message: largeMessage()})
		if got := tr.queuedBytes.Load(); got > 4<<20 {
			t.Errorf("queued: got %d bytes, want at most %d", got, 4<<20)
		}
	}
	// Some messages are in the call in progress.
	if got, want := tr.Stats().Dropped, uint64(sent-16); got < want {
		t.Errorf("dropped messages: got %d, want at least %d of %d", got, want, sent)
	}
	before := tr.Stats().Dropped
	tr.Send(replica.Envelope{To: "b", Message: replica.Message{Kind: replica.Append, Term: 1}})
	if got := tr.Stats().Dropped; got != before {
		t.Errorf("dropped heartbeats while the queue is full: got %d, want 0", got-before)
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("run: got %v, want no error", err)
	}
}

// Guards against messages that accumulate while the replica waits for its disk.
func TestDeliverWhileLoopStalls(t *testing.T) {
	l := &Loop{QueueBytes: 4 << 20}
	l.Init()
	queued := 0
	for range 6 {
		if l.Deliver(context.Background(), "b", largeMessage()) {
			queued++
		}
	}
	if want := 4; queued != want {
		t.Errorf("queued messages of 1 MiB: got %d, want %d", queued, want)
	}
	// The messages leave room once the loop has processed them.
	for range queued {
		<-l.calls
		l.queued.Release(1 << 20)
	}
	if !l.Deliver(context.Background(), "b", largeMessage()) {
		t.Error("message after the stall: got lost, want queued")
	}
}
