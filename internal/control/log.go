package control

import (
	"context"
	"errors"
	"time"

	"bamboowalk.org/bamboowalk/internal/replication"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

type (
	// machine is the settings as the log's state machine.
	machine struct{ *settings.Machine }

	// documents is the settings as a source of the distribution.
	documents struct{ *settings.Machine }
)

var (
	_ replica.StateMachine = machine{}
	_ spread.Copy          = documents{}
	_ Log                  = (*loop)(nil)
)

// Apply runs one write at the log's time.
func (m machine) Apply(_ replica.Index, command []byte, stamp time.Time) []byte {
	return m.Machine.Apply(command, stamp)
}

// Apply refuses, since documents of a replica come from the log alone.
func (documents) Apply(*settings.Delta) (bool, error) { return false, nil }

// loop is the replica's goroutine, which also owns the settings and the source
// of the distribution.
type loop struct {
	replication.Loop

	self     fleet.VMID
	machine  *settings.Machine
	source   *spread.Node
	recorder timeline.Recorder
	// hint carries messages to entry VMs.
	hint func(spread.Envelope, time.Time)
	// url returns the base URL of a replica's HTTP interface.
	url func(fleet.VMID) string

	role   string
	leader fleet.VMID
}

func (l *loop) init() {
	l.AfterStep = l.afterStep
	l.Init()
}

// afterStep tells entry VMs of a new revision.
func (l *loop) afterStep(now time.Time) {
	for _, e := range l.source.Tick(now) {
		l.hint(e, now)
	}
	l.observe(now)
}

// observe records changes of role and leader.
func (l *loop) observe(now time.Time) {
	role, leader := l.Replica.Role(), l.Replica.Leader()
	if role == l.role && leader == l.leader {
		return
	}
	l.role, l.leader = role, leader
	l.recorder.Record(timeline.Event{Kind: timeline.KindElection, Name: role, VM: leader}, now)
}

// deliver gives a message of another replica to the loop.
func (l *loop) deliver(ctx context.Context, from fleet.VMID, m replica.Message) {
	// A message that comes after the end is lost, as on the network.
	_ = l.Submit(ctx, func(now time.Time) { l.Replica.Step(from, m, now) })
}

// Write proposes a write and waits for its result.
func (l *loop) Write(ctx context.Context, w *settings.Write) (*settings.Result, error) {
	value, err := l.Propose(ctx, w.Encode())
	if err != nil {
		return nil, l.translate(err)
	}
	return settings.DecodeResult(value)
}

// Read calls f in the loop's goroutine once the machine is current.
func (l *loop) Read(ctx context.Context, f func(m *settings.Machine)) error {
	return l.translate(l.Loop.Read(ctx, func() { f(l.machine) }))
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
	var status Status
	if l.Do(context.Background(), func(time.Time) { status = l.status() }) != nil {
		return Status{ID: l.self, Role: "Stopped"}
	}
	return status
}

func (l *loop) status() Status {
	s := l.Replica.Stats()
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
	var reply spread.Message
	err := l.Do(context.Background(), func(now time.Time) {
		for _, e := range l.source.Handle(from, m, now) {
			reply = e.Message
		}
	})
	if err != nil {
		return spread.Message{}, err
	}
	return reply, nil
}
