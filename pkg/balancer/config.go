package balancer

import (
	"math/rand/v2"
	"time"

	"bamboowalk.org/bamboowalk/pkg/admission"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	defaultMaxFlows      = 1 << 20
	defaultHeldPackets   = 4096
	defaultHeldBytes     = 4 << 20
	defaultHandoverRate  = 64 << 10
	defaultBatchInterval = 200 * time.Millisecond
	// retentionSlack is added to the deadline of a kind to get the retention
	// time: the time for which late duplicates of a decided request are
	// recognized.
	retentionSlack = 2 * time.Second
)

type (
	// Request is one request for a slot of a target.
	Request = admission.Request

	// Limiter is the admission control of one target. *admission.Limiter
	// implements it.
	Limiter interface {
		// TryStart takes a slot if one is free and no request that has
		// precedence over r is waiting.
		TryStart(r Request, now time.Time) bool
		// Enqueue adds r to the queue and returns the queued requests that it
		// removed to make room; they have not run. It returns an error if r
		// cannot be queued.
		Enqueue(r Request, now time.Time) (evicted []Request, err error)
		// Next returns the queued requests that take a slot now, and those
		// whose deadline has passed.
		Next(now time.Time) (started, expired []Request)
		// Finish frees the slot of a started request.
		Finish(flow fleet.FlowKey, result admission.Result, now time.Time)
		// Cancel removes a queued request; it returns false if the request is
		// not queued.
		Cancel(flow fleet.FlowKey, now time.Time) bool
		// Adopt counts r as in flight; a previous owner of the target started
		// it.
		Adopt(r Request, now time.Time)
		// ReportLoad sets the number of requests in flight that the target
		// itself reports.
		ReportLoad(inFlight int, now time.Time)
		// Configure sets the target's slots and the service's kinds, and
		// returns the queued requests that the new configuration refuses. The
		// Balancer ignores the result.
		Configure(target fleet.Target, kinds []fleet.Kind, now time.Time) (refused []Request)
		// Pressure returns the load from 0 (idle) to 255 (overloaded).
		Pressure() uint8
		// InFlight returns the number of requests that have been started or
		// adopted and have not finished.
		InFlight() int
	}

	// RetryBudget limits retries to a share of the successful requests.
	RetryBudget interface {
		RecordSuccess(now time.Time)
		AllowRetry(now time.Time) bool
	}

	// Config holds the dependencies and limits of a Balancer. Zero limits
	// select defaults.
	Config struct {
		Self fleet.VMID
		// Strategy routes flows; nil selects TargetOwner.
		Strategy Strategy
		// NewLimiter creates the admission control of a target that this VM
		// owns; nil selects admission.NewLimiter.
		NewLimiter func(t fleet.Target, kinds []fleet.Kind, now time.Time) Limiter
		// Retries limits retries of shed requests; nil allows none.
		Retries RetryBudget
		// Recorder receives events; nil discards them.
		Recorder timeline.Recorder
		// Random randomizes the delay of retries; nil selects a generator with a
		// fixed seed.
		Random *rand.Rand
		// MaxFlows is the maximum number of entries in the flow table.
		MaxFlows int
		// HeldPackets and HeldBytes limit the number and the total size of
		// held packets.
		HeldPackets, HeldBytes int
		// HandoverRate limits the control messages other than
		// acknowledgements, in bytes per second.
		HandoverRate fleet.BytesPerSecond
		// BatchInterval is the time between two batches of exceptions.
		BatchInterval time.Duration
	}
)

var _ Limiter = (*admission.Limiter)(nil)

func (c *Config) setDefaults() {
	if c.Strategy == nil {
		c.Strategy = TargetOwner{}
	}
	if c.NewLimiter == nil {
		c.NewLimiter = func(t fleet.Target, kinds []fleet.Kind, now time.Time) Limiter {
			return admission.NewLimiter(t, kinds, now)
		}
	}
	if c.Recorder == nil {
		c.Recorder = timeline.Discard{}
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	if c.MaxFlows == 0 {
		c.MaxFlows = defaultMaxFlows
	}
	if c.HeldPackets == 0 {
		c.HeldPackets = defaultHeldPackets
	}
	if c.HeldBytes == 0 {
		c.HeldBytes = defaultHeldBytes
	}
	if c.HandoverRate == 0 {
		c.HandoverRate = defaultHandoverRate
	}
	if c.BatchInterval == 0 {
		c.BatchInterval = defaultBatchInterval
	}
}
