package replication

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

// emptyMachine is a state machine without state.
type emptyMachine struct{}

func (emptyMachine) Apply(replica.Index, []byte, time.Time) []byte { return nil }
func (emptyMachine) Snapshot() ([]byte, error)                     { return nil, nil }
func (emptyMachine) Restore([]byte) error                          { return nil }

// runLoop runs a replica of a log with the given members. It is stopped at the end of the
// test.
func runLoop(t *testing.T, self fleet.VMID, members ...fleet.VMID) *Loop {
	t.Helper()
	fs := replica.DirFS(t.TempDir())
	var config []replica.Member
	for _, vm := range members {
		config = append(config, replica.Member{Identity: replica.Identity{VM: vm, Incarnation: 1}, Voter: true})
	}
	if err := replica.Bootstrap(fs, replica.Identity{VM: self, Incarnation: 1}, config); err != nil {
		t.Fatal(err)
	}
	r := must(replica.Open(replica.Options{Self: self, FS: fs, StateMachine: emptyMachine{}, Rand: rand.New(rand.NewPCG(1, 1)), Tolerance: 2}, time.Now()))
	l := &Loop{Replica: r, Send: func(replica.Envelope) {}}
	l.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("loop: got %v, want no error", err)
		}
	})
	return l
}

// gather returns the values of all metrics of the collector, by name.
func gather(t *testing.T, c *Collector) map[string][]float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(c)
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string][]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			values[f.GetName()] = append(values[f.GetName()], m.GetGauge().GetValue()+m.GetCounter().GetValue())
		}
	}
	return values
}

// Guards against a metric that is described and not exported by a leader, values that
// only a leader knows and others export, and label sets that grow with the fleet.
func TestCollector(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	leader := &Collector{Loop: func() *Loop { return nil }, Transport: &Transport{}}
	l := runLoop(t, "a", "a")
	leader.Loop = func() *Loop { return l }
	if !eventually(func() bool { return gather(t, leader)["bamboowalk_replica_spare_voters"] != nil }) {
		t.Fatal("got no leader")
	}
	values := gather(t, leader)
	name := regexp.MustCompile(`fqName: "(\w+)"`)
	for _, d := range Descriptions() {
		n := name.FindStringSubmatch(d.String())[1]
		if len(values[n]) == 0 || len(values[n]) > 2*int(replica.VoteResults) {
			t.Errorf("leader: got %d series of %s, want 1 to %d", len(values[n]), n, 2*replica.VoteResults)
		}
	}
	if got := values["bamboowalk_replica_tolerance"][0]; got != 2 {
		t.Errorf("tolerance: got %v, want 2", got)
	}
	if got := values["bamboowalk_replica_leader_unknown_seconds"][0]; got != 0 {
		t.Errorf("leader: got no leader for %v s, want 0", got)
	}

	alone := runLoop(t, "a", "a", "b", "c")
	follower := &Collector{Loop: func() *Loop { return alone }, Transport: &Transport{}}
	if !eventually(func() bool {
		return gather(t, follower)["bamboowalk_replica_leader_unknown_seconds"][0] > 1.5
	}) {
		t.Error("one of three voters: got no time without a leader, want it to grow")
	}
	for _, n := range []string{"silent_voters", "spare_voters", "synced_voters"} {
		if got := gather(t, follower)["bamboowalk_replica_"+n]; got != nil {
			t.Errorf("a replica that does not lead: got %v for %s, want none", got, n)
		}
	}

	down := &Collector{Loop: func() *Loop { return nil }, Transport: &Transport{}}
	if got := gather(t, down); got["bamboowalk_replica_transport_messages_total"] == nil || got["bamboowalk_replica_role"] != nil {
		t.Errorf("without a replica: got %d metrics, want those of the transport only", len(got))
	}
}

// Guards against an event of the replica that does not reach the log, and a line that
// names no members.
func TestLogEvents(t *testing.T) {
	vm := []fleet.VMID{"a"}
	for _, tc := range []struct {
		event replica.Event
		level zapcore.Level
		want  map[string]any
	}{
		{replica.MemberChanged{Kind: replica.MemberRemoved, Member: replica.Identity{VM: "a"}, Silence: 3 * time.Second, SpareBefore: 1, SpareAfter: 2, VotersBefore: vm},
			zap.InfoLevel, map[string]any{"Cause": "Removed", "Member": "a", "Silence": 3 * time.Second, "SpareBefore": int64(1), "SpareAfter": int64(2)}},
		{replica.ChangeRefused{Member: "a", Err: errors.New("x")}, zap.WarnLevel, map[string]any{"Member": "a", "error": "x"}},
		{replica.VotersSilent{Silent: vm, Spare: 1}, zap.WarnLevel, map[string]any{"Spare": int64(1)}},
		{replica.VotersSilent{Spare: 2}, zap.InfoLevel, map[string]any{"Spare": int64(2)}},
		{replica.LeaderUnknown{Role: "Candidate", Request: replica.Vote, RefusedTerm: 4, Voters: vm}, zap.WarnLevel,
			map[string]any{"Role": "Candidate", "Request": "Vote", "RefusedTerm": uint64(4)}},
		{replica.NotAdmitted{Asked: vm, Requests: 7}, zap.WarnLevel, map[string]any{"Requests": uint64(7)}},
		{replica.JoinRedirected{From: vm, Leader: "b"}, zap.InfoLevel, map[string]any{"Leader": "b"}},
		{replica.VoteRefused{Candidate: "a", Result: replica.VoteLogBehind}, zap.InfoLevel, map[string]any{"Candidate": "a", "Cause": "log_behind"}},
	} {
		core, lines := observer.New(zap.InfoLevel)
		logEvent(zap.New(core), tc.event)
		if lines.Len() != 1 {
			t.Errorf("%T: got %d lines, want 1", tc.event, lines.Len())
			continue
		}
		line := lines.All()[0]
		if line.Level != tc.level {
			t.Errorf("%T: got level %v, want %v", tc.event, line.Level, tc.level)
		}
		for key, want := range tc.want {
			if got := line.ContextMap()[key]; got != want {
				t.Errorf("%T: got %s=%v, want %v", tc.event, key, got, want)
			}
		}
	}
}

// Guards against a peer that accepts connections and is silent, and is counted and logged
// like one that refuses them (hypothesis 5 of the incident no-leader).
func TestCallTimeout(t *testing.T) {
	silent := must(net.Listen("tcp", "127.0.0.1:0"))
	defer silent.Close()
	addresses := &sync.Map{}
	addresses.Store(fleet.VMID("silent"), silent.Addr().String())
	core, lines := observer.New(zap.InfoLevel)
	tr := openLogged(t, "a", nil, addresses, zap.New(core))
	tr.sendJoin("silent")
	// The message is sent again over new connections, and dropped after controlLifetime.
	time.Sleep(controlLifetime)
	if !eventually(func() bool { return tr.Stats().Dropped == 1 }) {
		t.Errorf("got %+v, want one dropped message", tr.Stats())
	}
	if got := tr.Stats().CallTimeouts; got < 1 || got > 4 {
		t.Errorf("got %d calls without progress, want 1 to 4 in the lifetime of the message", got)
	}
	if s := tr.Stats(); s.DialErrors != 0 || s.Dropped != 1 {
		t.Errorf("got %d failed dials and %d dropped messages, want 0 and 1", s.DialErrors, s.Dropped)
	}
	if got := membersOf(lines, "replica can't be reached"); !slices.Equal(got, []string{"silent"}) {
		t.Errorf("lines about members that can't be reached: got %v, want silent", got)
	}
}

// Guards against a line for each failed dial, and a peer that is reached again without a
// line.
func TestUnreachableReplica(t *testing.T) {
	closed := must(net.Listen("tcp", "127.0.0.1:0"))
	closed.Close()
	addresses := &sync.Map{}
	addresses.Store(fleet.VMID("b"), closed.Addr().String())
	core, lines := observer.New(zap.InfoLevel)
	a := openLogged(t, "a", nil, addresses, zap.New(core))
	if !eventually(func() bool { a.sendJoin("b"); return lines.Len() > 0 }) {
		t.Fatalf("got %+v and no line, want one about b", a.Stats())
	}
	dialed := a.Stats().DialErrors
	if dialed < 3 || !eventually(func() bool { a.sendJoin("b"); return a.Stats().DialErrors >= dialed+3 }) {
		t.Fatalf("got %+v, want three failed dials before the line and three after it", a.Stats())
	}
	if got := membersOf(lines, "replica can't be reached"); !slices.Equal(got, []string{"b"}) {
		t.Errorf("lines about members that can't be reached: got %v, want one", got)
	}
	b := open(t, "b", nil, addresses)
	if !a.reaches(b) {
		t.Fatal("got no message after the return of b, want one")
	}
	// b holds back the call of a until its messages are taken.
	taken := make(chan struct{})
	defer close(taken)
	go func() {
		for {
			select {
			case <-b.received:
			case <-taken:
				return
			}
		}
	}()
	if !eventually(func() bool { return slices.Equal(membersOf(lines, "replica is reached again"), []string{"b"}) }) {
		t.Errorf("lines about members that are reached again: got %v, want b", membersOf(lines, "replica is reached again"))
	}
}

// membersOf returns the members that lines with a message name.
func membersOf(lines *observer.ObservedLogs, message string) []string {
	var members []string
	for _, line := range lines.FilterMessage(message).All() {
		members = append(members, line.ContextMap()[logging.Member].(string))
	}
	return members
}
