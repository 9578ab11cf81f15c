package replication

import (
	"context"
	"time"

	"bamboowalk.org/bamboowalk/pkg/replica"
)

const (
	// tickInterval must stay below a fiftieth of the election timeout.
	tickInterval = replica.DefaultElectionTimeout / 50
	// callLimit bounds the calls and messages that one sync covers.
	callLimit = 256
	// AnswerTimeout bounds how long a caller waits for a majority.
	AnswerTimeout = 2 * time.Second
)

type (
	// Loop is the goroutine that owns a replica and its state machine. Others
	// reach it by calls. Exported fields are set before Run.
	Loop struct {
		Replica *replica.Replica
		// Send carries a message to another replica; it must not block.
		Send func(replica.Envelope)
		// After, if set, runs in the loop's goroutine after each step.
		After func(now time.Time)

		calls   chan func(now time.Time)
		stopped chan struct{}
		writes  map[replica.ProposalID]*waiter
		reads   map[replica.ReadID]*waiter
	}

	// outcome is the answer to a proposal or a read.
	outcome struct {
		value []byte
		err   error
	}

	// waiter is a caller of the loop.
	waiter struct {
		done chan outcome
		// read runs in the loop's goroutine once a read is current.
		read func()
	}

	// StoppedError reports a call to a loop that has stopped.
	StoppedError struct{}
)

// Error says that the loop has stopped.
func (StoppedError) Error() string { return "the replica of this daemon has stopped" }

// Init makes the loop ready for calls; it comes before all other methods.
func (l *Loop) Init() {
	l.calls = make(chan func(time.Time), callLimit)
	l.stopped = make(chan struct{})
	l.writes = make(map[replica.ProposalID]*waiter)
	l.reads = make(map[replica.ReadID]*waiter)
}

// Run owns the replica until ctx ends, when it hands its leadership over, or
// until the replica stops for good; it returns a replica.StoppedError in that
// case.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	defer l.failAll(StoppedError{})
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		var out replica.Output
		select {
		case <-ctx.Done():
			l.handOver()
			return nil
		case now := <-tick.C:
			out = l.Replica.Tick(now)
		case f := <-l.calls:
			now := time.Now()
			f(now)
			l.drain(now)
			out = l.Replica.Flush(now)
		}
		if err := l.release(out, time.Now()); err != nil {
			return err
		}
	}
}

// drain runs the calls that already wait, so that one sync covers them all.
func (l *Loop) drain(now time.Time) {
	for range callLimit {
		select {
		case f := <-l.calls:
			f(now)
		default:
			return
		}
	}
}

// handOver gives up the leadership before a planned stop, so that operators
// need not wait for an election timeout.
func (l *Loop) handOver() {
	now := time.Now()
	if l.Replica.Transfer(now) != nil {
		return
	}
	for _, e := range l.Replica.Flush(now).Envelopes {
		l.Send(e)
	}
}

func (l *Loop) release(out replica.Output, now time.Time) error {
	for _, e := range out.Envelopes {
		l.Send(e)
	}
	for _, r := range out.Results {
		l.finish(l.writes[r.ID], outcome{value: r.Value, err: r.Err})
		delete(l.writes, r.ID)
	}
	for _, r := range out.Reads {
		w := l.reads[r.ID]
		delete(l.reads, r.ID)
		if w != nil && r.Err == nil {
			w.read()
		}
		l.finish(w, outcome{err: r.Err})
	}
	if l.After != nil {
		l.After(now)
	}
	return out.Err
}

func (l *Loop) finish(w *waiter, o outcome) {
	if w != nil {
		w.done <- o
	}
}

func (l *Loop) failAll(err error) {
	for _, w := range l.writes {
		l.finish(w, outcome{err: err})
	}
	for _, w := range l.reads {
		l.finish(w, outcome{err: err})
	}
}

// Call runs f in the loop's goroutine; it does not wait for it. It returns a
// StoppedError or the error of ctx where f will not run.
func (l *Loop) Call(ctx context.Context, f func(now time.Time)) error {
	select {
	case l.calls <- f:
		return nil
	case <-l.stopped:
		return StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ask runs f in the loop's goroutine and waits for it, at most for
// AnswerTimeout.
func (l *Loop) Ask(ctx context.Context, f func(now time.Time)) error {
	ctx, cancel := context.WithTimeout(ctx, AnswerTimeout)
	defer cancel()
	done := make(chan struct{})
	err := l.Call(ctx, func(now time.Time) {
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

// Propose proposes a command and waits for its result, at most for
// AnswerTimeout. It returns the errors of replica.Propose, and others where the
// outcome is unknown.
func (l *Loop) Propose(ctx context.Context, command []byte) ([]byte, error) {
	o := l.wait(ctx, func(w *waiter, now time.Time) error {
		id, err := l.Replica.Propose(command, now)
		if err == nil {
			l.writes[id] = w
		}
		return err
	}, nil)
	return o.value, o.err
}

// Read calls f in the loop's goroutine once the state machine holds all that
// was acknowledged before.
func (l *Loop) Read(ctx context.Context, f func()) error {
	return l.wait(ctx, func(w *waiter, now time.Time) error {
		id, err := l.Replica.Read(now)
		if err == nil {
			l.reads[id] = w
		}
		return err
	}, f).err
}

func (l *Loop) wait(ctx context.Context, start func(*waiter, time.Time) error, read func()) outcome {
	ctx, cancel := context.WithTimeout(ctx, AnswerTimeout)
	defer cancel()
	w := &waiter{done: make(chan outcome, 1), read: read}
	err := l.Call(ctx, func(now time.Time) {
		if err := start(w, now); err != nil {
			w.done <- outcome{err: err}
		}
	})
	if err != nil {
		return outcome{err: err}
	}
	select {
	case o := <-w.done:
		return o
	case <-ctx.Done():
		return outcome{err: ctx.Err()}
	case <-l.stopped:
		return outcome{err: StoppedError{}}
	}
}
