package registry

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const silenceLimit = 3 * time.Second

var start = time.Unix(1_700_000_000, 0)

// record returns an announcement of a target at the address 10.0.0.host.
func record(id fleet.Incarnation, host byte, born int64, seq Sequence, state fleet.TargetState) Record {
	return Record{
		Target: fleet.Target{
			ID: fleet.TargetID{
				Service:     fleet.ServiceID(fmt.Sprintf("s%d", id%2)),
				Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 80),
				Incarnation: id,
			},
			Zone: "z", Slots: 3, ConnectionLimit: 10, State: state,
		},
		Born: born, Sequence: seq,
	}
}

func states(r *Registry, now time.Time) map[fleet.Incarnation]fleet.TargetState {
	m := make(map[fleet.Incarnation]fleet.TargetState)
	for _, rec := range r.Changes(0, now) {
		m[rec.Target.ID.Incarnation] = rec.Target.State
		if rec.Silent {
			m[rec.Target.ID.Incarnation] = "Silent"
		}
	}
	return m
}

// Guards against announcements that arrive late, twice or out of order and
// restore an earlier state of a target.
func TestMergeOrder(t *testing.T) {
	const ready, draining, gone = fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone
	for _, test := range []struct {
		name    string
		records []Record
		leave   []fleet.Incarnation
		want    map[fleet.Incarnation]fleet.TargetState
	}{
		{"late announcement after draining", []Record{record(1, 1, 10, 5, draining), record(1, 1, 10, 4, ready)}, nil,
			map[fleet.Incarnation]fleet.TargetState{1: draining}},
		{"restart with the same id", []Record{record(1, 1, 10, 50, draining), record(1, 1, 20, 1, ready)}, nil,
			map[fleet.Incarnation]fleet.TargetState{1: ready}},
		{"restart with the same id at another address", []Record{record(1, 1, 10, 50, ready), record(1, 2, 20, 1, ready), record(3, 1, 15, 1, ready)}, nil,
			map[fleet.Incarnation]fleet.TargetState{1: ready, 3: ready}},
		{"late announcement of the process before a restart", []Record{record(1, 1, 20, 1, ready), record(1, 1, 10, 51, draining)}, nil,
			map[fleet.Incarnation]fleet.TargetState{1: ready}},
		{"announcement after the target has left", []Record{record(1, 1, 10, 5, draining)}, []fleet.Incarnation{1},
			map[fleet.Incarnation]fleet.TargetState{1: gone}},
	} {
		r := New(silenceLimit, start)
		for _, rec := range test.records {
			if _, err := r.Merge(rec, start); err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
		}
		for _, id := range test.leave {
			r.Leave(Leave{Target: id, Born: 10}, start)
			if _, err := r.Merge(record(id, 1, 10, 100, ready), start); err != nil {
				t.Fatal(err)
			}
		}
		if got := states(r, start); !reflect.DeepEqual(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// step is a call at a time after the step before, and the states that it leaves, if want
// is set. The registry ticks in between, unless its VM is suspended.
type step struct {
	after     time.Duration
	do        func(r *Registry, now time.Time)
	want      map[fleet.Incarnation]fleet.TargetState
	suspended bool
}

func runSteps(t *testing.T, name string, steps []step) {
	t.Helper()
	r, now := New(silenceLimit, start), start
	for i, s := range steps {
		end := now.Add(s.after)
		for !s.suspended && now.Before(end) {
			now = now.Add(min(maxTickGap/4, end.Sub(now)))
			r.Tick(now)
		}
		now = end
		s.do(r, now)
		if got := states(r, now); s.want != nil && !reflect.DeepEqual(got, s.want) {
			t.Errorf("%s, step %d: got %v, want %v", name, i, got, s.want)
		}
	}
}

// repeat returns announcements of a target for a time. The states that they leave are
// those given after the last one; they may be reached before.
func repeat(d, interval time.Duration, id fleet.Incarnation, last map[fleet.Incarnation]fleet.TargetState, merge func(fleet.Incarnation, Sequence) func(*Registry, time.Time), seq Sequence) []step {
	var steps []step
	for at := time.Duration(0); at < d; at += interval {
		steps = append(steps, step{after: interval, do: merge(id, seq)})
		seq++
	}
	return append(steps, step{after: interval, do: merge(id, seq), want: last})
}

// Guards against a target that ends because another writer names its address, against
// flows that stay at a target which another one has replaced, and against late
// announcements that bring back a target that was replaced.
func TestTargetsAtOneAddress(t *testing.T) {
	const ready, gone = fleet.TargetReady, fleet.TargetGone
	type want = map[fleet.Incarnation]fleet.TargetState
	const interval = 1200 * time.Millisecond
	merge := func(id fleet.Incarnation, seq Sequence) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) {
			if _, err := r.Merge(record(id, 1, 10*int64(id), seq, ready), now); err != nil {
				t.Fatal(err)
			}
		}
	}
	renew := func(id fleet.Incarnation) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) { r.Renew(Heard{Target: id}, "b", now) }
	}
	nothing := func(*Registry, time.Time) {}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"one announcement of another writer", append([]step{
			{do: merge(1, 1), want: want{1: ready}}, {after: interval, do: merge(2, 1), want: want{1: ready, 2: ready}},
			{after: interval, do: merge(1, 2), want: want{1: ready, 2: ready}}, {after: interval, do: merge(1, 3), want: want{1: ready, 2: ready}},
			{after: interval, do: merge(1, 4), want: want{1: ready, 2: StateSilent}},
		}, repeat(lateLimit, interval, 1, want{1: ready, 2: gone}, merge, 5)...)},
		{"one announcement of another writer about a target that is cut off", []step{
			{do: merge(1, 1), want: want{1: ready}}, {after: interval, do: merge(1, 2), want: want{1: ready}},
			{after: 2 * silenceLimit, do: merge(2, 1), want: want{1: StateSilent, 2: ready}}, {after: silenceLimit / 2, do: nothing, want: want{1: StateSilent, 2: ready}},
			{after: silenceLimit, do: merge(1, 3), want: want{1: ready, 2: StateSilent}}, {after: interval, do: merge(1, 4), want: want{1: ready, 2: StateSilent}},
		}},
		{"late announcements about a target that is cut off", []step{
			{do: merge(1, 1), want: want{1: ready}}, {after: interval, do: merge(1, 2), want: want{1: ready}}, {after: 2 * time.Second, do: merge(2, 1), want: want{1: ready, 2: ready}},
			{after: interval, do: merge(2, 2), want: want{1: gone, 2: ready}}, {after: 2 * silenceLimit, do: merge(1, 3), want: want{1: ready, 2: StateSilent}},
			{after: interval, do: merge(1, 4), want: want{1: ready, 2: StateSilent}},
			{after: silenceLimit, do: merge(2, 3), want: want{1: ready, 2: ready}}, {after: interval, do: merge(2, 4), want: want{1: gone, 2: ready}},
		}},
		{"reused address", []step{
			{do: merge(1, 1), want: want{1: ready}}, {after: 2 * time.Second, do: merge(2, 1), want: want{1: ready, 2: ready}},
			{after: interval, do: merge(2, 2), want: want{1: gone, 2: ready}}, {after: interval, do: merge(2, 3), want: want{1: gone, 2: ready}},
		}},
		{"reused address, heard by another VM", []step{
			{do: merge(1, 1), want: want{1: ready}}, {after: 2 * time.Second, do: merge(2, 1), want: want{1: ready, 2: ready}},
			{after: interval, do: renew(2), want: want{1: StateSilent, 2: ready}}, {after: maxTickGap / 4, do: nothing, want: want{1: gone, 2: ready}},
		}},
		{"late announcement after the address was reused", []step{
			{do: merge(1, 1), want: want{1: ready}}, {after: silenceLimit, do: merge(2, 1), want: want{1: ready, 2: ready}}, {after: interval, do: merge(2, 2), want: want{1: gone, 2: ready}},
			{after: interval, do: merge(1, 2), want: want{1: ready, 2: ready}}, {after: interval, do: merge(2, 3), want: want{1: ready, 2: ready}},
			{after: interval, do: merge(2, 4), want: want{1: ready, 2: ready}}, {after: interval, do: merge(2, 5), want: want{1: gone, 2: ready}},
		}},
		{"late announcement of an unknown target", []step{
			{do: merge(2, 1), want: want{2: ready}}, {after: interval, do: merge(1, 6), want: want{1: ready, 2: ready}},
			{after: interval, do: merge(2, 2), want: want{1: ready, 2: ready}}, {after: interval, do: merge(2, 3), want: want{1: ready, 2: ready}}, {after: interval, do: merge(2, 4), want: want{1: gone, 2: ready}},
		}},
	} {
		runSteps(t, test.name, test.steps)
	}
}

// Guards against a target that announces itself and stays gone, or is taken for a process
// of another start, because of what others have said; and against late announcements that
// bring back a process that has ended.
func TestRefutedEnds(t *testing.T) {
	const ready, draining, gone = fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone
	type want = map[fleet.Incarnation]fleet.TargetState
	const interval = 1200 * time.Millisecond
	merge := func(born int64, seq Sequence, state fleet.TargetState) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) {
			if _, err := r.Merge(record(1, 1, born, seq, state), now); err != nil {
				t.Fatal(err)
			}
		}
	}
	leave := func(born int64) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) { r.Leave(Leave{Target: 1, Born: born}, now) }
	}
	// relayed merges a record of another VM by which the target is gone.
	relayed := func(left bool) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) {
			rec := record(1, 1, 10, 1, gone)
			rec.Left = left
			if _, err := r.MergeFrom("b", rec, now); err != nil {
				t.Fatal(err)
			}
		}
	}
	nothing := func(*Registry, time.Time) {}
	bornIs := func(born int64) func(*Registry, time.Time) {
		return func(r *Registry, _ time.Time) {
			if rec, _ := r.Get(1); rec.Born != born {
				t.Errorf("start of the process: got %d, want %d", rec.Born, born)
			}
		}
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"late leave, then cut off", []step{
			{do: merge(20, 1, ready), want: want{1: ready}}, {after: interval, do: leave(0), want: want{1: ready}},
			{after: 2 * silenceLimit, do: nothing, want: want{1: StateSilent}}, {do: merge(20, 2, ready), want: want{1: ready}},
		}},
		{"leave of the process before a restart that is not known yet", []step{
			{do: merge(10, 5, draining), want: want{1: draining}}, {after: interval, do: leave(0), want: want{1: draining}},
			{do: merge(20, 1, ready), want: want{1: ready}}, {do: merge(20, 2, draining), want: want{1: draining}}, {after: 2 * silenceLimit, do: nothing, want: want{1: StateSilent}},
		}},
		{"late leave, then cut off while it drains", []step{
			{do: merge(20, 1, draining), want: want{1: draining}}, {do: leave(0), want: want{1: draining}}, {after: 2 * silenceLimit, do: nothing, want: want{1: gone}},
			{do: merge(20, 2, draining), want: want{1: draining}},
		}},
		{"late announcement after the end", []step{
			{do: merge(10, 2, draining), want: want{1: draining}}, {do: leave(0), want: want{1: draining}}, {after: 2 * silenceLimit, do: nothing, want: want{1: gone}},
			{do: merge(10, 1, ready), want: want{1: gone}}, {do: merge(10, 2, draining), want: want{1: gone}},
		}},
		{"gone at another VM that can't hear it", []step{
			{do: merge(10, 1, ready), want: want{1: ready}}, {after: interval, do: relayed(false), want: want{1: ready}}, {do: relayed(false), want: want{1: ready}},
			{after: interval, do: merge(10, 2, ready), want: want{1: ready}},
		}},
		{"has left, by another VM", []step{
			{do: merge(10, 1, ready), want: want{1: ready}}, {after: interval, do: relayed(true), want: want{1: gone}}, {do: merge(10, 2, ready), want: want{1: gone}},
		}},
		{"gone at another VM, and silent here", []step{
			{do: merge(10, 1, ready), want: want{1: ready}}, {after: 2 * silenceLimit, do: relayed(false), want: want{1: gone}}, {do: merge(10, 2, ready), want: want{1: ready}},
		}},
		{"start that is not true", append(append([]step{
			{do: merge(10, 1, ready), want: want{1: ready}}, {do: merge(1000, 1, ready), want: want{1: ready}},
			{after: interval, do: merge(10, 2, ready), want: want{1: ready}}, {after: interval, do: merge(10, 3, ready), want: want{1: ready}}, {do: bornIs(1000), want: want{1: ready}},
			{after: interval, do: merge(10, 4, ready), want: want{1: StateSilent}},
		}, repeat(lateLimit, interval, 1, want{1: ready}, func(_ fleet.Incarnation, seq Sequence) func(*Registry, time.Time) { return merge(10, seq, ready) }, 5)...),
			step{do: bornIs(10), want: want{1: ready}}, step{after: interval, do: merge(20, 1, ready), want: want{1: ready}}, step{do: bornIs(20), want: want{1: ready}},
		)},
		{"late announcements of an earlier process", []step{
			{do: merge(20, 1, ready), want: want{1: ready}}, {after: 2 * silenceLimit, do: merge(10, 7, draining), want: want{1: StateSilent}},
			{after: 2 * silenceLimit, do: merge(10, 8, draining), want: want{1: StateSilent}}, {do: bornIs(20), want: want{1: StateSilent}},
		}},
	} {
		runSteps(t, test.name, test.steps)
	}
}

// Guards against invalid records in the registry.
func TestMergeInvalid(t *testing.T) {
	r := New(silenceLimit, start)
	for _, rec := range []Record{{}, record(0, 1, 1, 1, fleet.TargetReady), record(1, 1, 1, 1, "Odd")} {
		var want *fleet.FieldError
		if _, err := r.Merge(rec, start); !errors.As(err, &want) {
			t.Errorf("Merge(%+v): got %v, want a FieldError", rec, err)
		}
	}
	if r.Len() != 0 {
		t.Errorf("got %d targets, want none", r.Len())
	}
}

// Guards against dead targets that are not marked as silent, and against live
// targets that are marked as silent because this process was suspended.
func TestSilence(t *testing.T) {
	r := New(silenceLimit, start)
	if _, err := r.Merge(record(1, 1, 1, 1, fleet.TargetReady), start); err != nil {
		t.Fatal(err)
	}
	now := start
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			r.Tick(now)
		}
	}
	tick(silenceLimit)
	if got := states(r, now)[1]; got != fleet.TargetReady {
		t.Errorf("before the silence limit: got %s, want Ready", got)
	}
	now = now.Add(time.Minute)
	tick(300 * time.Millisecond)
	if got := states(r, now)[1]; got != "Silent" {
		t.Errorf("after the silence limit: got %s, want Silent", got)
	}
	if _, err := r.Merge(record(1, 1, 1, 2, fleet.TargetReady), now); err != nil {
		t.Fatal(err)
	}
	tick(time.Second)
	now = now.Add(time.Minute) // this process is suspended
	tick(time.Second)
	if got := states(r, now)[1]; got != fleet.TargetReady {
		t.Errorf("after a suspension of this process: got %s, want Ready", got)
	}
}

// Guards against a registry that grows without bound because the records of
// gone targets are kept.
func TestGoneTargetsAreRemoved(t *testing.T) {
	r := New(silenceLimit, start)
	for id := fleet.Incarnation(1); id < 100; id++ {
		if _, err := r.Merge(record(id, 1, int64(id), 1, fleet.TargetReady), start); err != nil {
			t.Fatal(err)
		}
		if id > 1 {
			r.Leave(Leave{Target: id - 1, Born: int64(id - 1)}, start)
		}
	}
	if got := len(r.Changes(0, start)); got != 99 {
		t.Errorf("got %d records, want 99", got)
	}
	r.Tick(start.Add(GoneRetention + time.Second))
	if got := len(r.Changes(0, start)); got != 1 {
		t.Errorf("after GoneRetention: got %d records, want 1", got)
	}
}

// Guards against subscribers that miss a change, or that receive all records
// with each change.
func TestChanges(t *testing.T) {
	r := New(silenceLimit, start)
	merge := func(rec Record) {
		t.Helper()
		if _, err := r.Merge(rec, start); err != nil {
			t.Fatal(err)
		}
	}
	merge(record(1, 1, 1, 1, fleet.TargetReady))
	merge(record(2, 2, 1, 1, fleet.TargetReady))
	v, v2 := r.Version(), r.HeardVersion()
	merge(record(1, 1, 1, 2, fleet.TargetReady))
	if got := len(r.Changes(v, start)); got != 0 {
		t.Errorf("Changes after an announcement without a change: got %d records, want 0", got)
	}
	if got := r.Heard(v2, nil, start); len(got) != 1 || got[0].Target != 1 {
		t.Errorf("Heard after an announcement without a change: got %+v, want target 1", got)
	}
	merge(record(2, 2, 1, 2, fleet.TargetDraining))
	if got := r.Changes(v, start); len(got) != 1 || got[0].Target.State != fleet.TargetDraining {
		t.Errorf("Changes after the target started to drain: got %+v, want one Draining record", got)
	}
}

// Guards against live targets that are marked as silent because they announce
// themselves to another control VM, and against dead targets that control VMs keep
// alive by passing their last announcement on in a circle.
func TestRenew(t *testing.T) {
	a, b := New(silenceLimit, start), New(silenceLimit, start)
	for _, r := range []*Registry{a, b} {
		if _, err := r.Merge(record(1, 1, 1, 1, fleet.TargetReady), start); err != nil {
			t.Fatal(err)
		}
	}
	now := start
	var seq Sequence = 1
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			a.Tick(now)
			b.Tick(now)
		}
	}
	for range 10 {
		tick(time.Second)
		seq++
		if _, err := a.Merge(record(1, 1, 1, seq, fleet.TargetReady), now); err != nil {
			t.Fatal(err)
		}
		for _, h := range a.Heard(0, nil, now) {
			if !b.Renew(h, "a", now) {
				t.Fatalf("announcement %d: not renewed at the other VM", seq)
			}
		}
	}
	if got := states(b, now)[1]; got != fleet.TargetReady {
		t.Errorf("target that announces itself to the other VM: got %s, want Ready", got)
	}
	const delay = time.Millisecond
	unknown := func(fleet.VMID) bool { return false }
	for range int(silenceLimit / (100 * time.Millisecond)) {
		for _, pair := range [][2]*Registry{{a, b}, {b, a}} {
			heard := pair[0].Heard(0, unknown, now)
			now = now.Add(delay)
			for _, h := range heard {
				pair[1].Renew(h, "other", now)
			}
		}
		tick(100 * time.Millisecond)
	}
	for name, r := range map[string]*Registry{"a": a, "b": b} {
		if got := states(r, now)[1]; got != "Silent" {
			t.Errorf("dead target at %s: got %s, want Silent", name, got)
		}
	}
	if b.Renew(Heard{Target: 1}, "a", now); states(b, now)[1] != fleet.TargetReady {
		t.Errorf("silent target after a renewal: got %s, want Ready", states(b, now)[1])
	}
	b.Leave(Leave{Target: 1, Born: 1}, now)
	if b.Renew(Heard{Target: 1}, "a", now.Add(time.Second)) || b.Renew(Heard{Target: 2}, "a", now) {
		t.Error("renewal of a gone or unknown target: got true, want false")
	}
}

// Guards against control VMs whose registries disagree permanently. Registries
// that have exchanged all records must have the same states, regardless of the
// order in which the records arrived.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var records []Record
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			id := fleet.Incarnation(1 + rnd.IntN(6))
			// Each process (id and start time) has one address.
			born := int64(1+rnd.IntN(3))*10 + int64(id)
			host := byte((int64(id) + born) % 3)
			seq := Sequence(rnd.IntN(4))
			state := fleet.TargetReady
			if seq > 2 {
				state = fleet.TargetDraining
			}
			records = append(records, record(id, host, born, seq, state))
		}
		a, b := New(silenceLimit, start), New(silenceLimit, start)
		for _, rec := range records {
			mustMerge(t, a, rec)
		}
		for _, i := range rnd.Perm(len(records)) {
			mustMerge(t, b, records[i])
		}
		for range 3 {
			for _, rec := range a.Changes(0, start) {
				mustMerge(t, b, rec)
			}
			for _, rec := range b.Changes(0, start) {
				mustMerge(t, a, rec)
			}
		}
		if got, want := states(a, start), states(b, start); !reflect.DeepEqual(got, want) {
			t.Fatalf("after %+v: got %v and %v, want the same", records, got, want)
		}
		// Of the targets at an address, one goes on to announce itself.
		runs := make(map[netip.AddrPort]Record)
		for _, rec := range a.Changes(0, start) {
			if address := rec.Target.ID.Address; !rec.Gone() && rec.Born > runs[address].Born {
				runs[address] = rec
			}
		}
		now := start
		for range 5 {
			for range 5 {
				now = now.Add(silenceLimit / 10)
				a.Tick(now)
				b.Tick(now)
			}
			for address, rec := range runs {
				rec.Sequence += 10
				rec.Age = 0
				runs[address] = rec
				for _, r := range []*Registry{a, b} {
					if _, err := r.Merge(rec, now); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		if got, want := states(a, now), states(b, now); !reflect.DeepEqual(got, want) {
			t.Fatalf("after %+v and a silence: got %v and %v, want the same", records, got, want)
		}
		for _, rec := range a.Changes(0, now) {
			if address := rec.Target.ID.Address; !rec.Gone() && rec.Target.ID != runs[address].Target.ID {
				t.Fatalf("at %s: got %v, want %v alone", address, rec.Target.ID, runs[address].Target.ID)
			}
		}
	})
}

func mustMerge(t *rapid.T, r *Registry, rec Record) {
	if _, err := r.Merge(rec, start); err != nil {
		t.Fatal(err)
	}
	live := 0
	for _, rec := range r.Changes(0, start) {
		if !rec.Gone() {
			live++
		}
	}
	if live != r.Len() {
		t.Fatalf("Len: got %d, want %d", r.Len(), live)
	}
}

// Guards against a late leave of an earlier process of a target that ends the process
// which runs now, and against targets that have left and never count as gone.
func TestLeave(t *testing.T) {
	const ready, draining, gone = fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone
	of := func(s fleet.TargetState) map[fleet.Incarnation]fleet.TargetState {
		return map[fleet.Incarnation]fleet.TargetState{1: s}
	}
	merge := func(born int64, seq Sequence, state fleet.TargetState) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) {
			if _, err := r.Merge(record(1, 1, born, seq, state), now); err != nil {
				t.Fatal(err)
			}
		}
	}
	leave := func(born int64) func(*Registry, time.Time) {
		return func(r *Registry, now time.Time) { r.Leave(Leave{Target: 1, Born: born}, now) }
	}
	renew := func(r *Registry, now time.Time) { r.Renew(Heard{Target: 1}, "b", now) }
	nothing := func(*Registry, time.Time) {}
	const interval = silenceLimit / 2
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"same process", []step{{do: merge(10, 1, ready), want: of(ready)}, {do: leave(10), want: of(gone)}, {do: merge(10, 2, ready), want: of(gone)}}},
		{"earlier process", []step{
			{do: merge(20, 1, ready), want: of(ready)}, {do: leave(10), want: of(ready)}, {after: interval, do: merge(20, 2, ready), want: of(ready)},
		}},
		{"later process than the known one", []step{
			{do: merge(10, 1, draining), want: of(draining)}, {do: leave(20), want: of(gone)}, {do: merge(10, 2, ready), want: of(gone)},
		}},
		{"process not told, after a restart", []step{
			{do: merge(10, 9, draining), want: of(draining)}, {after: interval, do: merge(20, 1, ready), want: of(ready)}, {after: interval, do: leave(0), want: of(ready)},
			{after: interval, do: merge(20, 2, ready), want: of(ready)}, {after: silenceLimit, do: nothing, want: of(ready)}, {after: interval, do: nothing, want: of(StateSilent)},
		}},
		{"process not told, while the process after it drains", []step{
			{do: merge(20, 1, draining), want: of(draining)}, {do: leave(0), want: of(draining)}, {after: interval, do: merge(20, 2, draining), want: of(draining)},
			{after: silenceLimit, do: nothing, want: of(draining)}, {after: interval, do: nothing, want: of(StateSilent)},
		}},
		{"process not told, and heard by another VM", []step{
			{do: merge(20, 1, ready), want: of(ready)}, {do: leave(0), want: of(ready)}, {after: interval, do: renew, want: of(ready)},
			{after: silenceLimit, do: nothing, want: of(ready)}, {after: interval, do: nothing, want: of(StateSilent)},
		}},
		{"process not told, and silent", []step{
			{do: merge(10, 1, draining), want: of(draining)}, {after: interval, do: leave(0), want: of(draining)},
			{after: interval, do: nothing, want: of(draining)}, {after: interval, do: nothing, want: of(gone)},
		}},
		{"process not told, at a VM that is suspended", []step{
			{do: merge(10, 1, draining), want: of(draining)}, {do: leave(0), want: of(draining)}, {after: time.Hour, do: (*Registry).Tick, want: of(draining), suspended: true},
			{after: interval, do: merge(10, 2, draining), want: of(draining)}, {after: silenceLimit, do: nothing, want: of(draining)},
		}},
		{"draining and silent without a leave", []step{
			{do: merge(10, 1, draining), want: of(draining)}, {after: GoneRetention, do: nothing, want: of(StateSilent)}, {after: interval, do: nothing, want: of(gone)},
		}},
		{"ready and silent", []step{
			{do: merge(10, 1, ready), want: of(ready)}, {after: GoneRetention + interval, do: nothing, want: of(StateSilent)},
		}},
	} {
		runSteps(t, test.name, test.steps)
	}
}

// TestAddressOfDroppedService guards against a target of a service that the catalog has
// dropped, which ends another one at its address, and against one that never does although
// its service is back.
func TestAddressOfDroppedService(t *testing.T) {
	r, now := New(silenceLimit, start), start
	known := map[fleet.ServiceID]bool{"s0": true, "s1": true}
	r.Known = func(id fleet.ServiceID) bool { return known[id] }
	announce := func(id fleet.Incarnation, seq Sequence) {
		t.Helper()
		if _, err := r.Merge(record(id, 1, int64(id), seq, fleet.TargetReady), now); err != nil {
			t.Fatal(err)
		}
	}
	announce(2, 1)
	known["s1"] = false
	for seq := Sequence(1); seq <= 10; seq++ {
		now = now.Add(time.Second)
		r.Tick(now)
		announce(3, seq)
	}
	if got, _ := r.Get(2); got.State() != StateSilent {
		t.Errorf("former target at the address: got state %s, want %s", got.State(), StateSilent)
	}
	known["s1"] = true
	now = now.Add(time.Second)
	announce(3, 11)
	if got, _ := r.Get(2); got.State() != fleet.TargetGone {
		t.Errorf("former target once the service is back: got state %s, want %s", got.State(), fleet.TargetGone)
	}
}

// TestDrainOfEarlierStart guards against a drain that is acknowledged and recorded nowhere:
// a target restarts under its id while its clock is behind that of its former process.
func TestDrainOfEarlierStart(t *testing.T) {
	r := New(silenceLimit, start)
	now := start
	announce := func(born int64, seq Sequence, state fleet.TargetState) *Record {
		t.Helper()
		rec := record(1, 1, born, seq, state)
		if _, err := r.Merge(rec, now); err != nil {
			t.Fatal(err)
		}
		checkIndexes(t, r)
		return &rec
	}
	expect := func(rec *Record, outdated bool, state fleet.TargetState) {
		t.Helper()
		if got := r.IsOutdatedDrain(rec); got != outdated {
			t.Errorf("after %v: IsOutdatedDrain: got %v, want %v", now.Sub(start), got, outdated)
		}
		if got, _ := r.Get(1); got.Target.State != state {
			t.Errorf("after %v: got state %s, want %s", now.Sub(start), got.Target.State, state)
		}
	}
	announce(20, 3, fleet.TargetReady)
	now = now.Add(time.Second)
	expect(announce(10, 1, fleet.TargetReady), false, fleet.TargetReady)
	// The drain may be a late call, so that it is not recorded at first.
	now = now.Add(4 * time.Second)
	expect(announce(10, 2, fleet.TargetDraining), true, fleet.TargetReady)
	now = now.Add(lateLimit)
	expect(announce(10, 3, fleet.TargetDraining), false, fleet.TargetDraining)
}
