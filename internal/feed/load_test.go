package feed

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// fleetStore returns a store with n targets that have announced themselves.
func fleetStore(t testing.TB, n int, now time.Time) *Store {
	t.Helper()
	s := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	s.SetCatalog(catalogOf(1, 40))
	s.SetHubs([]fleet.VMID{"a", "b", "c"}, true)
	announceAll(t, s, n, 1, now)
	return s
}

func announceAll(t testing.TB, s *Store, n int, seq registry.Sequence, now time.Time) {
	t.Helper()
	for id := range n {
		rec := record(fleet.Incarnation(id+1), seq, fleet.TargetReady)
		rec.Target.ID.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 80)
		if _, err := s.Merge(rec, now); err != nil {
			t.Fatal(err)
		}
	}
}

// cursors returns the cursors of n subscribers of a role.
func cursors(role Role, n int) []*cursor {
	var list []*cursor
	for i := range n {
		list = append(list, &cursor{vm: fleet.VMID(fmt.Sprintf("vm-%d", i)), role: role})
	}
	return list
}

// nextFrames calls next for all cursors and returns the distinct frames.
func nextFrames(t *testing.T, s *Store, list []*cursor, now time.Time) map[*byte][]byte {
	t.Helper()
	frames := make(map[*byte][]byte)
	for _, c := range list {
		frame, _, err := s.next(c, now)
		if err != nil {
			t.Fatal(err)
		}
		if frame != nil {
			frames[&frame[0]] = frame
		}
	}
	return frames
}

// Guards against hubs that spend their processor time on targets that only renew
// their announcements, and on encoding the same update for each of some hundred
// entry VMs. The load is 300 entry VMs that start at the same time before 3,000
// targets, with renewals and single changes afterwards.
func TestFleetStartsAtOnce(t *testing.T) {
	const targets, entryVMs = 3000, 300
	now := time.Now()
	s := fleetStore(t, targets, now)
	list := cursors(Entry, entryVMs)
	frames := nextFrames(t, s, list, now)
	if len(frames) != 1 {
		t.Errorf("full state for %d entry VMs: encoded %d times, want once", entryVMs, len(frames))
	}
	now = now.Add(updateInterval)
	announceAll(t, s, targets, 2, now)
	if frames := nextFrames(t, s, list, now); len(frames) != 0 {
		t.Errorf("after renewals: got %d updates, want none", len(frames))
	}
	for i := range 5 {
		now = now.Add(updateInterval)
		s.Leave(registry.Leave{Target: fleet.Incarnation(i + 1), Born: 1}, now)
		frames := nextFrames(t, s, list, now)
		if len(frames) != 1 {
			t.Errorf("change of a target: encoded %d times for %d entry VMs, want once", len(frames), entryVMs)
		}
		for _, frame := range frames {
			if len(frame) > 200 {
				t.Errorf("change of a target: got an update of %d bytes, want at most 200", len(frame))
			}
		}
	}
	// A VM that starts later gets the kept state and the changes since.
	late := cursors(Entry, 1)
	nextFrames(t, s, late, now)
	nextFrames(t, s, late, now)
	if got, want := late[0].state.version, list[0].state.version; got != want {
		t.Errorf("entry VM that started later: got version %d, want %d", got, want)
	}
}

// Guards against entry VMs that wait for an update interval when a single target
// starts to drain, and against changes in quick succession that are sent one by
// one.
func TestUpdateInterval(t *testing.T) {
	now := time.Now()
	s := fleetStore(t, 10, now)
	list := cursors(Entry, 2)
	nextFrames(t, s, list, now)
	now = now.Add(time.Second)
	s.Leave(registry.Leave{Target: 1, Born: 1}, now)
	if frames := nextFrames(t, s, list[:1], now); len(frames) != 1 {
		t.Fatalf("first change: got %d updates, want 1 at once", len(frames))
	}
	s.Leave(registry.Leave{Target: 2, Born: 1}, now)
	frame, wait, err := s.next(list[0], now)
	if frame != nil || wait <= 0 || wait > updateInterval || err != nil {
		t.Errorf("second change: got an update %v, wait %v and error %v, want no update and a wait of at most %v", frame != nil, wait, err, updateInterval)
	}
	now = now.Add(wait)
	nextFrames(t, s, list, now)
	for i, c := range list {
		if c.state.version != s.targets.Version() {
			t.Errorf("subscriber %d: got version %d, want %d", i, c.state.version, s.targets.Version())
		}
	}
}

// Guards against renewals that each hub sends again to hubs that have received
// them already, and against renewals that are lost when two hubs can't reach each
// other.
func TestRenewalsAreSentOnce(t *testing.T) {
	const targets = 100
	now := time.Now()
	s := fleetStore(t, targets, now)
	c := &cursor{vm: "b", role: Control}
	if _, _, err := s.next(c, now); err != nil {
		t.Fatal(err)
	}
	heard := func() int {
		t.Helper()
		return len(s.targets.Heard(c.heard, func(source fleet.VMID) bool { return source == c.vm || s.followed[c.vm][source] }, now))
	}
	c.heard = s.targets.HeardVersion()
	now = now.Add(time.Second)
	u := &Update{}
	for id := range targets {
		u.Heard = append(u.Heard, registry.Heard{Target: fleet.Incarnation(id + 1)})
	}
	if err := s.ApplyUpdate("c", u, now); err != nil {
		t.Fatal(err)
	}
	if got := heard(); got != targets {
		t.Errorf("to a hub that does not follow the source: got %d renewals, want %d", got, targets)
	}
	s.recordAck("b", &Ack{Sources: []fleet.VMID{"a", "c"}})
	if got := heard(); got != 0 {
		t.Errorf("to a hub that follows the source: got %d renewals, want none", got)
	}
	now = now.Add(time.Second)
	announceAll(t, s, targets, 3, now)
	frame, err := s.heartbeat(c, now)
	if err != nil {
		t.Fatal(err)
	}
	if perTarget := len(frame) / targets; perTarget > 12 {
		t.Errorf("renewals at this hub: got %d bytes a target, want at most 12", perTarget)
	}
}

// BenchmarkChange measures a change of one target for 300 entry VMs before 23,000
// targets.
func BenchmarkChange(b *testing.B) {
	now := time.Now()
	s := fleetStore(b, 23_000, now)
	list := cursors(Entry, 300)
	i := 0
	for b.Loop() {
		now = now.Add(updateInterval)
		s.Leave(registry.Leave{Target: fleet.Incarnation(i + 1), Born: 1}, now)
		i++
		for _, c := range list {
			if _, _, err := s.next(c, now); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// apply decodes a frame of the hub a and applies it to the store of another hub.
func apply(t *testing.T, s *Store, frame []byte, err error, now time.Time) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	u := new(Update)
	if err := read(bytes.NewReader(frame), u); err != nil {
		t.Fatal(err)
	}
	if err := s.ApplyUpdate("a", u, now); err != nil {
		t.Fatal(err)
	}
}

// Guards against dead targets that count as alive again at all hubs each time a hub
// restarts and restores its saved state.
func TestRestoredTargetsAreNoNews(t *testing.T) {
	now := time.Now()
	a := fleetStore(t, 3, now)
	saved, err := a.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	b := fleetStore(t, 3, now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		b.Tick(now)
	}
	if got := b.Stats().Targets[registry.StateSilent]; got != 3 {
		t.Fatalf("got %d silent targets, want 3", got)
	}
	restarted := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	if err := restarted.Restore(saved, now); err != nil {
		t.Fatal(err)
	}
	if got := restarted.Sources(); len(got) != 0 {
		t.Errorf("hubs whose feeds a restarted hub receives: got %q, want none", got)
	}
	c := &cursor{vm: "b", role: Control}
	frame, _, err := restarted.next(c, now)
	apply(t, b, frame, err, now)
	frame, err = restarted.heartbeat(c, now)
	apply(t, b, frame, err, now)
	if got := b.Stats().Targets[registry.StateSilent]; got != 3 {
		t.Errorf("after the restart of another hub: got %d silent targets, want 3", got)
	}
}

// Guards against targets that left while a hub was down for so long that the other
// hubs have forgotten them, and that come back with the hub's saved state.
func TestLongDowntimeBringsNothingBack(t *testing.T) {
	now := time.Now()
	a := fleetStore(t, 3, now)
	saved, err := a.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	b := fleetStore(t, 3, now)
	for id := range fleet.Incarnation(3) {
		b.Leave(registry.Leave{Target: id + 1, Born: 1}, now)
	}
	now = now.Add(registry.GoneRetention + time.Second)
	b.Tick(now)
	restarted := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	if err := restarted.Restore(saved, now); err != nil {
		t.Fatal(err)
	}
	frame, _, err := restarted.next(&cursor{vm: "b", role: Control}, now)
	apply(t, b, frame, err, now)
	if got := b.Targets(); got != 0 {
		t.Errorf("targets at the other hub: got %d that have left, want none", got)
	}
}

// Guards against entry VMs that have no targets after a loss of power everywhere,
// against restored targets that stay published although no hub hears them, and
// against open flows to such targets that are reset because they count as gone.
func TestRestoredTargetsOfEntryVMs(t *testing.T) {
	now := time.Now()
	a := fleetStore(t, 3, now)
	saved, err := a.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	s := NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(3*time.Second, now), now)
	if err := s.Restore(saved, now); err != nil {
		t.Fatal(err)
	}
	c := &cursor{vm: "entry", role: Entry}
	states := func() map[fleet.TargetState]int {
		t.Helper()
		frame, _, err := s.next(c, now)
		if err != nil {
			t.Fatal(err)
		}
		got := make(map[fleet.TargetState]int)
		u := new(Update)
		if frame == nil {
			return got
		}
		if err := read(bytes.NewReader(frame), u); err != nil {
			t.Fatal(err)
		}
		for _, rec := range u.Records {
			got[rec.State()]++
		}
		return got
	}
	if got := states(); got[fleet.TargetReady] != 3 {
		t.Fatalf("at the start: got targets %v, want 3 that are ready", got)
	}
	announceAll(t, s, 1, 5, now)
	wait := func() {
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			s.Tick(now)
		}
	}
	wait()
	if got := s.Targets(); got != 3 {
		t.Errorf("without a majority: got %d targets, want 3", got)
	}
	s.SetHubs([]fleet.VMID{"a", "b", "c"}, true)
	wait()
	if got := states(); got[fleet.TargetDraining] != 2 || got[fleet.TargetGone] != 0 {
		t.Errorf("after the silence limit: got changed targets %v, want 2 that take no new flows", got)
	}
	if got := s.Targets(); got != 1 {
		t.Errorf("after the silence limit: got %d targets, want the one that has announced itself", got)
	}
	announceAll(t, s, 3, 6, now)
	now = now.Add(updateInterval)
	if got := states(); got[fleet.TargetReady] != 3 {
		t.Errorf("after new announcements: got changed targets %v, want 3 that are ready", got)
	}
}
