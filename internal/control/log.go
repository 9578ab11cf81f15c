package control

import (
	"context"
	"errors"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

const (
	// tickInterval must stay below a fiftieth of the election timeout.
	tickInterval = replica.DefaultElectionTimeout / 50
	// callLimit bounds the calls and messages that one sync covers.
	callLimit = 256
	// answerTimeout bounds how long a caller waits for a majority.
	answerTimeout = 2 * time.Second
)

type (
	// machine is the settings as the log's state machine.
	machine struct{ *settings.Machine }

	// documents is the settings as a source of the distribution.
	documents struct{ *settings.Machine }

	// outcome is the answer to a proposal or a read.
	outcome struct {
		value []byte
		err   error
	}

	// waiter is a caller of the replica's goroutine.
	waiter struct {
		done chan outcome
		// read runs in the replica's goroutine once a read is current.
		read func(m *settings.Machine)
	}

	// StoppedError reports a call to a daemon that has stopped.
	StoppedError struct{}
)

var (
	_ replica.StateMachine = machine{}
	_ spread.Copy          = documents{}
	_ Log                  = (*loop)(nil)
)

// Error says that the daemon has stopped.
func (StoppedError) Error() string { return "control daemon has stopped" }

// Apply runs one write at the log's time.
func (m machine) Apply(_ replica.Index, command []byte, stamp time.Time) []byte {
	return m.Machine.Apply(command, stamp)
}

// Apply refuses, since documents of a replica come from the log alone.
func (documents) Apply(*settings.Delta) (bool, error) { return false, nil }

// loop is the goroutine that owns the replica, the settings and the source of
// the distribution. Others reach it by calls.
type loop struct {
	self     fleet.VMID
	replica  *replica.Replica
	machine  *settings.Machine
	source   *spread.Node
	recorder timeline.Recorder
	// send and hint carry messages to replicas and to entry VMs.
	send func(replica.Envelope)
	hint func(spread.Envelope, time.Time)
	// url returns the base URL of a replica's HTTP interface.
	url func(fleet.VMID) string

	calls   chan func(now time.Time)
	stopped chan struct{}

	writes map[replica.ProposalID]*waiter
	reads  map[replica.ReadID]*waiter
	role   string
	leader fleet.VMID
}

func (l *loop) init() {
	l.calls = make(chan func(time.Time), callLimit)
	l.stopped = make(chan struct{})
	l.writes = make(map[replica.ProposalID]*waiter)
	l.reads = make(map[replica.ReadID]*waiter)
}

// run owns the replica until ctx ends or the replica stops for good; it
// returns a replica.StoppedError in that case.
func (l *loop) run(ctx context.Context) error {
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
			out = l.replica.Tick(now)
		case f := <-l.calls:
			now := time.Now()
			f(now)
			l.drain(now)
			out = l.replica.Flush(now)
		}
		if err := l.release(out, time.Now()); err != nil {
			return err
		}
	}
}

// drain runs the calls that already wait, so that one sync covers them all.
func (l *loop) drain(now time.Time) {
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
func (l *loop) handOver() {
	now := time.Now()
	if l.replica.Transfer(now) != nil {
		return
	}
	for _, e := range l.replica.Flush(now).Envelopes {
		l.send(e)
	}
}

func (l *loop) release(out replica.Output, now time.Time) error {
	for _, e := range out.Envelopes {
		l.send(e)
	}
	for _, r := range out.Results {
		l.finish(l.writes[r.ID], outcome{value: r.Value, err: r.Err})
		delete(l.writes, r.ID)
	}
	for _, r := range out.Reads {
		w := l.reads[r.ID]
		delete(l.reads, r.ID)
		if w != nil && r.Err == nil {
			w.read(l.machine)
		}
		l.finish(w, outcome{err: r.Err})
	}
	for _, e := range l.source.Tick(now) {
		l.hint(e, now)
	}
	l.observe(now)
	return out.Err
}

// observe records changes of role and leader.
func (l *loop) observe(now time.Time) {
	role, leader := l.replica.Role(), l.replica.Leader()
	if role == l.role && leader == l.leader {
		return
	}
	l.role, l.leader = role, leader
	l.recorder.Record(timeline.Event{Kind: timeline.KindElection, Name: role, VM: leader}, now)
}

func (l *loop) finish(w *waiter, o outcome) {
	if w != nil {
		w.done <- o
	}
}

func (l *loop) failAll(err error) {
	for _, w := range l.writes {
		l.finish(w, outcome{err: err})
	}
	for _, w := range l.reads {
		l.finish(w, outcome{err: err})
	}
}

// call runs f in the loop's goroutine; it does not wait for it.
func (l *loop) call(ctx context.Context, f func(now time.Time)) error {
	select {
	case l.calls <- f:
		return nil
	case <-l.stopped:
		return StoppedError{}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver gives a message of another replica to the loop.
func (l *loop) deliver(ctx context.Context, from fleet.VMID, m replica.Message) {
	// A message that comes after the end is lost, as on the network.
	_ = l.call(ctx, func(now time.Time) { l.replica.Step(from, m, now) })
}

// Write proposes a write and waits for its result.
func (l *loop) Write(ctx context.Context, w *settings.Write) (*settings.Result, error) {
	command := w.Encode()
	o := l.wait(ctx, func(wait *waiter, now time.Time) error {
		id, err := l.replica.Propose(command, now)
		if err == nil {
			l.writes[id] = wait
		}
		return err
	}, nil)
	if o.err != nil {
		return nil, l.translate(o.err)
	}
	return settings.DecodeResult(o.value)
}

// Read calls f in the loop's goroutine once the machine is current.
func (l *loop) Read(ctx context.Context, f func(m *settings.Machine)) error {
	return l.translate(l.wait(ctx, func(wait *waiter, now time.Time) error {
		id, err := l.replica.Read(now)
		if err == nil {
			l.reads[id] = wait
		}
		return err
	}, f).err)
}

func (l *loop) wait(ctx context.Context, start func(*waiter, time.Time) error, read func(*settings.Machine)) outcome {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	w := &waiter{done: make(chan outcome, 1), read: read}
	err := l.call(ctx, func(now time.Time) {
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

// translate turns an error of the log into one of the HTTP interface.
func (l *loop) translate(err error) error {
	if err == nil {
		return nil
	}
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Leader: l.url(notLeader.Leader)}
	}
	return &UnavailableError{Err: err}
}

// Status returns what the replica knows of itself.
func (l *loop) Status() Status {
	status := make(chan Status, 1)
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	err := l.call(ctx, func(time.Time) { status <- l.status() })
	if err != nil {
		return Status{ID: l.self, Role: "Stopped"}
	}
	select {
	case s := <-status:
		return s
	case <-ctx.Done():
	case <-l.stopped:
	}
	return Status{ID: l.self, Role: "Stopped"}
}

func (l *loop) status() Status {
	s := l.replica.Stats()
	return Status{
		ID: l.self, Role: s.Role, Term: uint64(s.Term), Leader: s.Leader,
		Commit: uint64(s.Commit), Applied: uint64(s.Applied), Revision: l.machine.Revision(),
	}
}

// answer serves a pull of an entry VM.
func (l *loop) answer(from fleet.VMID, m spread.Message) (spread.Message, error) {
	if m.Pull == nil {
		return spread.Message{}, &spread.MessageError{Reason: "is no pull"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	reply := make(chan spread.Message, 1)
	err := l.call(ctx, func(now time.Time) {
		for _, e := range l.source.Handle(from, m, now) {
			reply <- e.Message
		}
	})
	if err != nil {
		return spread.Message{}, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return spread.Message{}, ctx.Err()
	case <-l.stopped:
		return spread.Message{}, StoppedError{}
	}
}
