package entry

import (
	"context"
	"sync/atomic"
	"time"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// shardQueueLength is the maximum number of decoded packets that wait for a
	// shard. A full queue takes about 8 MB.
	shardQueueLength = 4096
	// maxBurst is the maximum number of packets that are handled after the first
	// one before the sender is flushed.
	maxBurst = 64
	// tickInterval is the maximum delay with which a queued request starts.
	tickInterval = 2 * time.Millisecond
	// pauseThreshold is the time without an iteration of the shard's loop after
	// which the process counts as paused. Start packets, which may have waited in
	// the socket, are then dropped for pauseDropTime, because the core assumes
	// that no packet is older than the core's records of ended and refused flows.
	// balancer.Balancer detects pauses too, by the time between two ticks.
	pauseThreshold = time.Second
	pauseDropTime  = 200 * time.Millisecond
	// statsInterval is the minimum time between two updates of a shard's
	// statistics.
	statsInterval = 500 * time.Millisecond
)

type (
	// Core decides about packets; balancer.Balancer implements it.
	Core interface {
		Handle(p balancer.Packet, now time.Time, out []balancer.Action) []balancer.Action
		Tick(now time.Time, out []balancer.Action) []balancer.Action
		SetView(v *fleet.View, now time.Time)
		HandleControl(from fleet.VMID, body []byte, now time.Time, out []balancer.Action) []balancer.Action
		Remaining(flow fleet.FlowKey, now time.Time) time.Duration
		ReportLoad(key fleet.TargetKey, inFlight int, now time.Time)
		SetLease(until time.Time)
		Spare() map[fleet.ServiceID]int
		Stats() balancer.Stats
	}

	// loadReport is the load that a target's load endpoint reported.
	loadReport struct {
		target   fleet.TargetKey
		inFlight int
	}

	// shard runs one core in its own goroutine.
	shard struct {
		core        Core
		sender      *geneve.Sender
		packets     chan *geneve.Received
		updates     chan Update
		loadReports chan loadReport

		actions       []balancer.Action
		lastStats     time.Time
		lastIteration time.Time
		// pausedUntil is the time until which start packets are dropped after a
		// pause of the process.
		pausedUntil time.Time
		// Only the shard's goroutine uses startTracker and view. The atomic fields
		// are read by other goroutines.
		startTracker startTracker
		view         *fleet.View
		unresponsive atomic.Pointer[map[fleet.TargetKey]bool]
		spare        atomic.Pointer[map[fleet.ServiceID]int]
		stats        atomic.Pointer[balancer.Stats]
		lastTick     atomic.Int64 // Unix nanoseconds of the last tick
	}
)

var _ Core = (*balancer.Balancer)(nil)

func newShard(sender *geneve.Sender) *shard {
	s := &shard{
		sender:       sender,
		packets:      make(chan *geneve.Received, shardQueueLength),
		updates:      make(chan Update, 16),
		loadReports:  make(chan loadReport, 64),
		startTracker: make(startTracker),
	}
	s.stats.Store(&balancer.Stats{})
	return s
}

func (s *shard) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-s.updates:
			s.update(u, s.readClock())
		case l := <-s.loadReports:
			s.core.ReportLoad(l.target, l.inFlight, s.readClock())
		case r := <-s.packets:
			s.handleBurst(r, s.readClock())
		case <-tick.C:
			s.tick(s.readClock())
		}
		s.sender.Flush()
	}
}

// readClock returns the time. It detects a pause of the process by the time
// since the previous iteration of the loop. Without a pause, the loop runs at
// least once a tick.
func (s *shard) readClock() time.Time {
	now := time.Now()
	if !s.lastIteration.IsZero() && now.Sub(s.lastIteration) > pauseThreshold {
		s.pausedUntil = now.Add(pauseDropTime)
	}
	s.lastIteration = now
	return now
}

func (s *shard) update(u Update, now time.Time) {
	s.core.SetLease(u.LeaseUntil)
	if u.View != nil {
		s.view = u.View
		s.core.SetView(u.View, now)
	}
	// The channel's buffer has space for all shards, so the send never blocks.
	u.applied <- struct{}{}
}

// handleBurst handles the packet and up to maxBurst further queued packets.
func (s *shard) handleBurst(r *geneve.Received, now time.Time) {
	for n := 0; ; n++ {
		s.handle(r, now)
		if n == maxBurst {
			return
		}
		select {
		case r = <-s.packets:
		default:
			return
		}
	}
}

func (s *shard) handle(r *geneve.Received, now time.Time) {
	defer r.Release()
	if r.Message != nil {
		s.execute(s.core.HandleControl(r.From, r.Message, now, s.actions[:0]), true, now)
		return
	}
	if r.Packet.Start && now.Before(s.pausedUntil) {
		s.sender.Discard(geneve.Paused)
		return
	}
	if r.Header.HasLoad && r.Packet.Source == balancer.FromTarget {
		s.core.ReportLoad(r.Packet.Target.Key(), int(r.Header.Load.SlotsInUse), now)
	}
	// A control packet that does not end a flow only carries a load report.
	if r.Header.Control && r.Packet.End == balancer.NoEnd {
		return
	}
	s.execute(s.core.Handle(r.Packet, now, s.actions[:0]), r.Packet.Start, now)
	s.trackAnswers(r, now)
}

// execute executes actions and keeps the slice for reuse. start reports whether
// a Forward action may start a request. If so, the forwarded packet tells the
// target the time remaining until the deadline of the request. The adapter does
// not treat a UDP payload that looks like a QUIC short header packet as a
// start, so the target of such a packet gets no deadline.
func (s *shard) execute(actions []balancer.Action, start bool, now time.Time) {
	for i := range actions {
		var remaining time.Duration
		if start && actions[i].Op == balancer.Forward {
			remaining = s.core.Remaining(actions[i].Flow, now)
		}
		s.sender.Execute(&actions[i], remaining)
	}
	s.actions = actions
}

func (s *shard) tick(now time.Time) {
	s.execute(s.core.Tick(now, s.actions[:0]), true, now)
	s.lastTick.Store(now.UnixNano())
	if now.Sub(s.lastStats) >= statsInterval {
		s.lastStats = now
		stats := s.core.Stats()
		s.stats.Store(&stats)
		spare := s.core.Spare()
		s.spare.Store(&spare)
		unresponsive := s.startTracker.unresponsive(now)
		s.unresponsive.Store(&unresponsive)
	}
}
