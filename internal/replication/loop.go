package replication

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

const (
	// tickInterval is the interval at which replica.Replica.Tick must be called.
	tickInterval = replica.DefaultElectionTimeout / 50
	// maxCallsPerSync is the capacity of the queue of submitted functions, and
	// the maximum number of queued functions that drain runs before one Flush.
	maxCallsPerSync = 256
	// RequestTimeout is the maximum time that Do, Propose and Read wait.
	RequestTimeout = 2 * time.Second
	// deliverTimeout is the maximum time that Deliver waits. While a disk stalls, the
	// calls of other replicas would otherwise accumulate.
	deliverTimeout = time.Second
)

type (
	// Loop owns a replica and its state machine, and runs them in one
	// goroutine. Other goroutines submit functions to it. Exported fields must
	// be set before Run.
	Loop struct {
		Replica *replica.Replica
		// Send sends a message to another replica. It must not block.
		Send func(replica.Envelope)
		// AfterStep, if set, is called in the loop's goroutine after each tick or
		// batch of submitted functions, once the resulting replica.Output has
		// been processed.
		AfterStep func(now time.Time)
		// QueueBytes is the maximum size in bytes of the commands and snapshots in the
		// messages that wait for the loop, DefaultQueueBytes if it is 0.
		QueueBytes int
		// Log, if set, is the logger for the events of the replica.
		Log *zap.Logger

		calls         chan func(now time.Time)
		queued        *semaphore.Weighted
		stopped       chan struct{}
		pendingWrites map[replica.ProposalID]*pendingCall
		pendingReads  map[replica.ReadID]*pendingCall
	}

	// outcome is the result of a proposal or a read.
	outcome struct {
		value []byte
		err   error
	}

	// pendingCall is a Propose or Read call that waits for an outcome.
	pendingCall struct {
		done chan outcome
		// read is called in the loop's goroutine when the state machine is up to
		// date for the read. It is nil for a proposal.
		read func()
	}

	// StoppedError reports a call to a loop that has stopped.
	StoppedError struct{}
)

// Error implements the error interface.
func (StoppedError) Error() string { return "the replica of this daemon has stopped" }

// Init initializes the loop. It must be called before any other method.
func (l *Loop) Init() {
	l.QueueBytes = cmp.Or(l.QueueBytes, DefaultQueueBytes)
	l.calls = make(chan func(time.Time), maxCallsPerSync)
	l.queued = semaphore.NewWeighted(int64(l.QueueBytes))
	l.stopped = make(chan struct{})
	l.pendingWrites = make(map[replica.ProposalID]*pendingCall)
	l.pendingReads = make(map[replica.ReadID]*pendingCall)
}

// Run runs the replica until ctx is done or the replica stops. When ctx is
// done, Run transfers the leadership, if this replica leads, and returns nil.
// When the replica stops, Run returns a replica.StoppedError.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	defer l.failAll(StoppedError{})
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var out replica.Output
		select {
		case <-ctx.Done():
			l.transferLeadership()
			return nil
		case now := <-tick.C:
			out = l.Replica.Tick(now)
		case f := <-l.calls:
			now := time.Now()
			f(now)
			l.drain(now)
			out = l.Replica.Flush(now)
		}
		if err := l.handleOutput(out, time.Now()); err != nil {
			return err
		}
	}
}

// drain runs the functions that are already queued, at most maxCallsPerSync, so
// that one sync covers them all.
func (l *Loop) drain(now time.Time) {
	for range maxCallsPerSync {
		select {
		case f := <-l.calls:
			f(now)
		default:
			return
		}
	}
}

// transferLeadership transfers the leadership before a planned stop, so that the
// cluster does not have to wait for an election timeout.
func (l *Loop) transferLeadership() {
	now := time.Now()
	if l.Replica.Transfer(now) != nil {
		return
	}
	for _, e := range l.Replica.Flush(now).Envelopes {
		l.Send(e)
	}
}

func (l *Loop) handleOutput(out replica.Output, now time.Time) error {
	for _, e := range out.Envelopes {
		l.Send(e)
	}
	l.logEvents(out.Events)
	for _, r := range out.Results {
		l.complete(l.pendingWrites[r.ID], outcome{value: r.Value, err: r.Err})
		delete(l.pendingWrites, r.ID)
	}
	for _, r := range out.Reads {
		c := l.pendingReads[r.ID]
		delete(l.pendingReads, r.ID)
		if c != nil && r.Err == nil {
			c.read()
		}
		l.complete(c, outcome{err: r.Err})
	}
	if l.AfterStep != nil {
		l.AfterStep(now)
	}
	return out.Err
}

func (l *Loop) logEvents(events []replica.Event) {
	if l.Log == nil {
		return
	}
	for _, e := range events {
		logEvent(l.Log, e)
	}
}

func (l *Loop) complete(c *pendingCall, o outcome) {
	if c != nil {
		c.done <- o
	}
}

func (l *Loop) failAll(err error) {
	for _, c := range l.pendingWrites {
		l.complete(c, outcome{err: err})
	}
	for _, c := range l.pendingReads {
		l.complete(c, outcome{err: err})
	}
}

// Submit queues f to run in the loop's goroutine and does not wait until f has
// run. If f could not be queued, Submit returns a StoppedError or the error of
// ctx. A queued f does not run if the loop stops first.
func (l *Loop) Submit(ctx context.Context, f func(now time.Time)) error {
	select {
	case l.calls <- f:
		return nil
	case <-l.stopped:
		return StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Deliver queues a message from another replica. It waits while the queue is full, at
// most for a second, and reports whether the message was queued. A message that was not
// is lost, as on the network.
func (l *Loop) Deliver(ctx context.Context, from fleet.VMID, m replica.Message) bool {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	size := int64(min(m.Size(), l.QueueBytes))
	if l.queued.Acquire(ctx, size) != nil {
		return false
	}
	err := l.Submit(ctx, func(now time.Time) {
		l.queued.Release(size)
		l.Replica.Step(from, m, now)
	})
	if err != nil {
		l.queued.Release(size)
	}
	return err == nil
}

// Do runs f in the loop's goroutine and waits for f to return, for at most
// RequestTimeout. After a timeout, an error of ctx or a StoppedError, f may
// still run or may have run.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	done := make(chan struct{})
	err := l.Submit(ctx, func(now time.Time) {
		defer close(done)
		f(now)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose proposes a command and waits for the result, for at most
// RequestTimeout. It returns the errors of replica.Replica.Propose if the
// command was not appended. After any other error, the outcome is unknown.
func (l *Loop) Propose(ctx context.Context, command []byte) ([]byte, error) {
	o := l.wait(ctx, func(c *pendingCall, now time.Time) error {
		id, err := l.Replica.Propose(command, now)
		if err == nil {
			l.pendingWrites[id] = c
		}
		return err
	}, nil)
	return o.value, o.err
}

// Read calls f in the loop's goroutine once the state machine reflects all
// writes acknowledged before the call of Read. Read waits for at most
// RequestTimeout. After a timeout or an error of ctx, f may still run.
func (l *Loop) Read(ctx context.Context, f func()) error {
	return l.wait(ctx, func(c *pendingCall, now time.Time) error {
		id, err := l.Replica.Read(now)
		if err == nil {
			l.pendingReads[id] = c
		}
		return err
	}, f).err
}

func (l *Loop) wait(ctx context.Context, start func(*pendingCall, time.Time) error, read func()) outcome {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	c := &pendingCall{done: make(chan outcome, 1), read: read}
	err := l.Submit(ctx, func(now time.Time) {
		if err := start(c, now); err != nil {
			c.done <- outcome{err: err}
		}
	})
	if err != nil {
		return outcome{err: err}
	}
	select {
	case o := <-c.done:
		return o
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	case <-l.stopped:
		return outcome{err: StoppedError{}}
	}
}
