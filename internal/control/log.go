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
	// stateMachine adapts the settings to replica.StateMachine.
	stateMachine struct{ *settings.StateMachine }

	// settingsStore adapts the settings to spread.Store.
	settingsStore struct{ *settings.StateMachine }
)

var (
	_ replica.StateMachine = stateMachine{}
	_ spread.Store         = settingsStore{}
	_ ReplicatedLog        = (*loop)(nil)
)

// Apply runs one write at the timestamp of its log entry.
func (m stateMachine) Apply(_ replica.Index, command []byte, stamp time.Time) []byte {
	return m.StateMachine.Apply(command, stamp)
}

// Apply ignores the delta, since a replica's documents come from the log only.
func (settingsStore) Apply(*settings.Delta) (bool, error) { return false, nil }

// loop runs the replica's goroutine, which also owns the settings and the
// spread node.
type loop struct {
	replication.Loop

	self       fleet.VMID
	machine    *settings.StateMachine
	spreadNode *spread.Node
	recorder   timeline.Recorder
	// sendHint sends a hint to an entry VM.
	sendHint func(spread.Envelope, time.Time)
	// url returns the base URL of a replica's HTTP interface.
	url func(fleet.VMID) string

	role   string
	leader fleet.VMID
}

func (l *loop) init() {
	l.AfterStep = l.afterStep
	l.Init()
}

// afterStep sends hints about a new revision to the entry VMs that have polled
// this replica recently. It also records changes of role and leader.
func (l *loop) afterStep(now time.Time) {
	for _, e := range l.spreadNode.Tick(now) {
		l.sendHint(e, now)
	}
	l.recordRole(now)
}

// recordRole records changes of role and leader in the time line.
func (l *loop) recordRole(now time.Time) {
	role, leader := l.Replica.Role(), l.Replica.Leader()
	if role == l.role && leader == l.leader {
		return
	}
	l.role, l.leader = role, leader
	l.recorder.Record(timeline.Event{Kind: timeline.KindElection, Name: role, VM: leader}, now)
}

// Write proposes a write and waits for the result of the write.
func (l *loop) Write(ctx context.Context, w *settings.Write) (*settings.Result, error) {
	value, err := l.Propose(ctx, w.Encode())
	if err != nil {
		return nil, l.apiError(err)
	}
	return settings.DecodeResult(value)
}

// Read calls f in the loop's goroutine once the state machine is up to date.
func (l *loop) Read(ctx context.Context, f func(m *settings.StateMachine)) error {
	return l.apiError(l.Loop.Read(ctx, func() { f(l.machine) }))
}

// apiError converts an error of the log to a NotLeaderError or an
// UnavailableError of the HTTP interface.
func (l *loop) apiError(err error) error {
	if err == nil {
		return nil
	}
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Leader: l.url(notLeader.Leader)}
	}
	return &UnavailableError{Err: err}
}

// Status returns the state of the replica; the role is "Stopped" once the loop
// has ended.
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

// answer returns the reply to a pull from an entry VM.
func (l *loop) answer(from fleet.VMID, m spread.Message) (spread.Message, error) {
	if m.Pull == nil {
		return spread.Message{}, &spread.MessageError{Reason: "is not a pull"}
	}
	var reply spread.Message
	err := l.Do(context.Background(), func(now time.Time) {
		for _, e := range l.spreadNode.Handle(from, m, now) {
			reply = e.Message
		}
	})
	if err != nil {
		return spread.Message{}, err
	}
	return reply, nil
}
