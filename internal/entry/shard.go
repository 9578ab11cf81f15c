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
	// shardQueue bounds the decoded packets that wait for a shard, about 8 MB.
	shardQueue = 4096
	// shardBurst bounds the packets between two flushes.
	shardBurst = 64
	// tickInterval bounds how late a queued request starts.
	tickInterval = 2 * time.Millisecond
	// pauseTime is the time without a turn of the loop after which the process
	// counts as paused. Start packets that waited in the socket are then
	// dropped for pauseDrain: the core assumes that no packet is older than its
	// records of ended and refused flows.
	pauseTime  = time.Second
	pauseDrain = 200 * time.Millisecond
	// statsInterval is the age of the counters in the metrics.
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

	// loadReport is what a target's load endpoint says.
	loadReport struct {
		target   fleet.TargetKey
		inFlight int
	}

	// shard runs one core in one goroutine.
	shard struct {
		core    Core
		sender  *geneve.Sender
		in      chan *geneve.Received
		updates chan Update
		loads   chan loadReport

		actions  []balancer.Action
		lastStat time.Time
		lastLoop time.Time
		// pausedUntil is the end of the time in which start packets are dropped
		// after a pause of the process.
		pausedUntil time.Time
		// contacts and view belong to the shard's goroutine; silent is what other
		// goroutines see.
		contacts contacts
		view     *fleet.View
		silent   atomic.Pointer[map[fleet.TargetKey]bool]
		spare    atomic.Pointer[map[fleet.ServiceID]int]
		stats    atomic.Pointer[balancer.Stats]
		alive    atomic.Int64 // Unix nanoseconds of the last tick
	}
)

var _ Core = (*balancer.Balancer)(nil)

func newShard(sender *geneve.Sender) *shard {
	s := &shard{
		sender:   sender,
		in:       make(chan *geneve.Received, shardQueue),
		updates:  make(chan Update, 16),
		loads:    make(chan loadReport, 64),
		contacts: make(contacts),
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
			s.update(u, s.clock())
		case l := <-s.loads:
			s.core.ReportLoad(l.target, l.inFlight, s.clock())
		case r := <-s.in:
			s.burst(r, s.clock())
		case <-tick.C:
			s.tick(s.clock())
		}
		s.sender.Flush()
	}
}

// clock returns the time and notices a pause of the process: the loop turns
// with each tick otherwise.
func (s *shard) clock() time.Time {
	now := time.Now()
	if !s.lastLoop.IsZero() && now.Sub(s.lastLoop) > pauseTime {
		s.pausedUntil = now.Add(pauseDrain)
	}
	s.lastLoop = now
	return now
}

func (s *shard) update(u Update, now time.Time) {
	s.core.SetLease(u.LeaseUntil)
	if u.View != nil {
		s.view = u.View
		s.core.SetView(u.View, now)
	}
	// The channel has room for all shards.
	u.applied <- struct{}{}
}

// burst handles the packet and those that wait behind it.
func (s *shard) burst(r *geneve.Received, now time.Time) {
	for n := 0; ; n++ {
		s.handle(r, now)
		if n == shardBurst {
			return
		}
		select {
		case r = <-s.in:
		default:
			return
		}
	}
}

func (s *shard) handle(r *geneve.Received, now time.Time) {
	defer r.Release()
	if r.Message != nil {
		s.do(s.core.HandleControl(r.From, r.Message, now, s.actions[:0]), true, now)
		return
	}
	if r.Packet.Start && now.Before(s.pausedUntil) {
		s.sender.Discard(geneve.Paused)
		return
	}
	if r.Header.HasLoad && r.Packet.Source == balancer.FromTarget {
		s.core.ReportLoad(r.Packet.Target.Key(), int(r.Header.Load.SlotsInUse), now)
	}
	// A control packet without an end only carries the report.
	if r.Header.Control && r.Packet.End == balancer.NoEnd {
		return
	}
	s.do(s.core.Handle(r.Packet, now, s.actions[:0]), r.Packet.Start, now)
	s.watch(r, now)
}

// do carries out actions and keeps their slice for the next call. start says
// whether a Forward among them may start a request, whose target hears of the
// deadline. A UDP payload that looks like a QUIC packet with a short header is
// no start to the adapter, so that its target hears of none.
func (s *shard) do(actions []balancer.Action, start bool, now time.Time) {
	for i := range actions {
		var remaining time.Duration
		if start && actions[i].Op == balancer.Forward {
			remaining = s.core.Remaining(actions[i].Flow, now)
		}
		s.sender.Do(&actions[i], remaining)
	}
	s.actions = actions
}

func (s *shard) tick(now time.Time) {
	s.do(s.core.Tick(now, s.actions[:0]), true, now)
	s.alive.Store(now.UnixNano())
	if now.Sub(s.lastStat) >= statsInterval {
		s.lastStat = now
		stats := s.core.Stats()
		s.stats.Store(&stats)
		spare := s.core.Spare()
		s.spare.Store(&spare)
		silent := s.contacts.silent(now)
		s.silent.Store(&silent)
	}
}
