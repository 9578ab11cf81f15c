package feed

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"

	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

const waitTimeout = 10 * time.Second

func record(id fleet.Incarnation, seq registry.Sequence, state fleet.TargetState) registry.Record {
	return registry.Record{
		Target: fleet.Target{
			ID:   fleet.TargetID{Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80), Incarnation: id},
			Zone: "z0", Slots: 1, ConnectionLimit: 1, State: state,
		},
		Born: 1, Sequence: seq,
	}
}

func catalogOf(n catalog.Number, routes int) *catalog.Catalog {
	c := &catalog.Catalog{Number: n, Services: []catalog.Service{{ID: "s"}}}
	for i := range routes {
		c.Routes = append(c.Routes, catalog.Route{
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 80),
			Deadline: time.Second, Shares: []catalog.Share{{Service: "s", Weight: 1}},
		})
	}
	return c
}

// publish runs a publisher on the loopback interface until the test ends.
func publish(t *testing.T, self fleet.VMID) (*Store, string) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	now := time.Now()
	store := NewStore(Hub{VM: self, Zone: "z0"}, registry.New(3*time.Second, now), now)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	p := &Publisher{Store: store, Listener: l}
	go func() { done <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	return store, l.Addr().String()
}

// subscriber is a subscription that acknowledges the updates it reads.
type subscriber struct {
	*testing.T
	*Subscription
	ack Ack
}

func open(t *testing.T, address string, hello *Hello) *subscriber {
	t.Helper()
	s, err := Open(context.Background(), address, hello, IdleTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return &subscriber{T: t, Subscription: s}
}

func (s *subscriber) waitUpdate(what string, ok func(u *Update) bool) *Update {
	s.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		u, err := s.Next()
		if err != nil {
			s.Fatalf("%s: %v", what, err)
		}
		s.ack.Version = u.Version
		if err := s.Acknowledge(s.ack); err != nil {
			s.Fatalf("%s: %v", what, err)
		}
		if ok(u) {
			return u
		}
	}
	s.Fatalf("%s: no such update", what)
	return nil
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, waitTimeout)
}

// Guards against entry VMs that miss a change, or get the full state again with
// each change.
func TestEntryFeed(t *testing.T) {
	store, address := publish(t, "h")
	now := time.Now()
	merge := func(rec registry.Record) {
		t.Helper()
		if _, err := store.Merge(rec, now); err != nil {
			t.Fatal(err)
		}
	}
	merge(record(1, 1, fleet.TargetReady))
	store.SetCatalog(catalogOf(1, 300))
	store.SetHubs([]fleet.VMID{"h"}, true)
	s := open(t, address, &Hello{VM: "e", Zone: "z0", Role: Entry})
	u := s.waitUpdate("first update", func(*Update) bool { return true })
	if !u.Full || u.Catalog == nil || !u.Catalog.Full || len(u.Records) != 1 || !u.Current || !slices.Equal(u.Hubs, []Hub{{"h", "z0"}}) {
		t.Errorf("first update: got %+v, want the full state", u)
	}
	merge(record(2, 1, fleet.TargetReady))
	u = s.waitUpdate("new target", func(u *Update) bool { return len(u.Records) > 0 })
	if len(u.Records) != 1 || u.Records[0].Target.ID.Incarnation != 2 || u.Full || u.Catalog != nil {
		t.Errorf("update with a new target: got %+v, want only the new target", u)
	}
	next := catalogOf(2, 300)
	next.Routes[5].Deadline *= 2
	store.SetCatalog(next)
	u = s.waitUpdate("new catalog", func(u *Update) bool { return u.Catalog != nil })
	if u.Catalog.Full || len(u.Catalog.Routes) != 1 || u.Catalog.From != 1 {
		t.Errorf("update with a new catalog: got %+v, want a delta of one route", u.Catalog)
	}
	store.Leave(registry.Leave{Target: 1, Born: 1}, now)
	u = s.waitUpdate("target that left", func(u *Update) bool { return len(u.Records) > 0 })
	if !u.Records[0].Gone() {
		t.Errorf("update with a target that left: got %+v, want state Gone", u.Records)
	}
	// A subscriber that reconnects with the current catalog does not get it again.
	s = open(t, address, &Hello{VM: "e", Zone: "z0", Role: Entry, Number: 2})
	if u := s.waitUpdate("first update", func(*Update) bool { return true }); u.Catalog != nil {
		t.Errorf("catalog for a subscriber that has it: got %+v, want none", u.Catalog)
	}
}

// Guards against publishers that send no heartbeats while nothing changes.
func TestHeartbeats(t *testing.T) {
	_, address := publish(t, "h")
	s := open(t, address, &Hello{VM: "e", Role: Entry})
	started := time.Now()
	n := 0
	s.waitUpdate("heartbeats", func(*Update) bool { n++; return n == 5 })
	if d := time.Since(started); d > 4*IdleTimeout {
		t.Errorf("five updates took %v, want about %v", d, 4*HeartbeatInterval)
	}
}

// Guards against a Confirmed that returns before a majority of the hubs has
// acknowledged an announcement, or that never returns.
func TestConfirmed(t *testing.T) {
	store, address := publish(t, "a")
	store.SetHubs([]fleet.VMID{"a", "b", "c"}, true)
	v, err := store.Merge(record(1, 1, fleet.TargetDraining), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := store.Confirmed(short, "a", v); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("without another hub: got %v, want a timeout", err)
	}
	s := open(t, address, &Hello{VM: "b", Zone: "z1", Role: Control})
	u := s.waitUpdate("record", func(u *Update) bool { return len(u.Records) > 0 })
	if u.Records[0].Target.State != fleet.TargetDraining {
		t.Errorf("record: got %+v, want state Draining", u.Records[0])
	}
	long, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := store.Confirmed(long, "a", v); err != nil {
		t.Errorf("with another hub: got %v, want no error", err)
	}
	s.Close()
	eventually(t, "acknowledgements of a closed connection are removed", func() bool {
		ok, _ := store.hasMajority("a", v)
		return !ok
	})
}

// Guards against hubs that miss the catalog or the targets of another hub.
func TestApplyUpdate(t *testing.T) {
	store, address := publish(t, "a")
	store.SetCatalog(catalogOf(4, 3))
	if _, err := store.Merge(record(1, 7, fleet.TargetReady), time.Now()); err != nil {
		t.Fatal(err)
	}
	other, _ := publish(t, "b")
	s := open(t, address, &Hello{VM: "b", Zone: "z1", Role: Control})
	u := s.waitUpdate("first update", func(*Update) bool { return true })
	if err := other.ApplyUpdate("a", u, time.Now()); err != nil {
		t.Fatal(err)
	}
	if other.Number() != 4 || other.Targets() != 1 {
		t.Errorf("got catalog %d and %d targets, want 4 and 1", other.Number(), other.Targets())
	}
	// Hubs also tell each other which targets have renewed their announcements,
	// because the other hubs would mark these targets as silent otherwise.
	if _, err := store.Merge(record(1, 8, fleet.TargetReady), time.Now()); err != nil {
		t.Fatal(err)
	}
	u = s.waitUpdate("announcement", func(u *Update) bool { return len(u.Heard) == 1 && u.Heard[0].Target == 1 })
	later := time.Now().Add(other.targets.SilenceLimit - time.Millisecond)
	if err := other.ApplyUpdate("a", u, later); err != nil {
		t.Fatal(err)
	}
	if rec := other.targets.Changes(0, later); rec[0].Age > other.targets.SilenceLimit/2 {
		t.Errorf("after a renewal at the other hub: got a target last heard %v ago, want less", rec[0].Age)
	}
	bad := &Update{Catalog: &catalog.Delta{From: 1, To: 9}}
	var delta *catalog.DeltaError
	if err := other.ApplyUpdate("a", bad, time.Now()); !errors.As(err, &delta) {
		t.Errorf("delta based on another catalog: got %v, want a DeltaError", err)
	}
}

// Guards against entry VMs that follow a hub which has restarted with a saved state
// and does not know yet which targets have left meanwhile.
func TestRestartedHubIsNotCurrent(t *testing.T) {
	now := time.Now()
	s := NewStore(Hub{VM: "a"}, registry.New(3*time.Second, now), now)
	current := func(want bool, when string) {
		t.Helper()
		if got := s.greeting(now).Current; got != want {
			t.Errorf("%s: got current %v, want %v", when, got, want)
		}
	}
	s.SetHubs([]fleet.VMID{"a", "b", "c", "d", "e"}, true)
	current(false, "after the start")
	for i, from := range []fleet.VMID{"b", "b", "c"} {
		if err := s.ApplyUpdate(from, &Update{Full: true}, now); err != nil {
			t.Fatal(err)
		}
		current(i == 2, fmt.Sprintf("with %d full states", i+1))
	}
	s.SetHubs([]fleet.VMID{"a", "b", "c", "d", "e"}, false)
	current(false, "without a leader")
	// A hub whose peers are down serves again once targets have announced themselves.
	s = NewStore(Hub{VM: "a"}, registry.New(3*time.Second, now), now)
	s.SetHubs([]fleet.VMID{"a", "b", "c"}, true)
	run := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(100 * time.Millisecond)
			s.Tick(now)
		}
	}
	run(2900 * time.Millisecond)
	current(false, "before the silence limit")
	run(100 * time.Millisecond)
	current(true, "after the silence limit")
	// A suspension is like a restart: the hub has missed what happened meanwhile.
	now = now.Add(2 * time.Second)
	current(false, "after a suspension, before the next tick")
	if u := firstUpdate(t, s, now); u.Current || u.Complete {
		t.Errorf("full state after a suspension: got current %v and complete %v, want neither", u.Current, u.Complete)
	}
	if err := s.ApplyUpdate("b", &Update{Full: true, Complete: true}, now); err != nil {
		t.Fatal(err)
	}
	current(true, "with the full state of a majority after a suspension")
	now = now.Add(2 * time.Second)
	s.Tick(now)
	current(false, "after a second suspension")
	run(3 * time.Second)
	current(true, "one silence limit after a suspension")
}

// Guards against an entry VM that can't tell state which a majority has confirmed from
// state that a hub has only restored, and that refuses flows at hubs of earlier versions.
func TestGreetingTellsConfirmation(t *testing.T) {
	now := time.Now()
	s := NewStore(Hub{VM: "a"}, registry.New(3*time.Second, now), now)
	unconfirmed := func(want time.Duration, when string) {
		t.Helper()
		if got := s.greeting(now).UnconfirmedFor; got != want {
			t.Errorf("%s: got unconfirmed for %v, want %v", when, got, want)
		}
	}
	unconfirmed(1, "at the start")
	now = now.Add(700 * time.Millisecond)
	unconfirmed(700*time.Millisecond, "before the election")
	s.SetHubs([]fleet.VMID{"a"}, true)
	unconfirmed(0, "with a majority")
	s.SetHubs([]fleet.VMID{"a"}, false)
	now = now.Add(time.Hour)
	unconfirmed(0, "in a cut")

	// earlier is the greeting of versions without the field.
	type earlier struct {
		Number  catalog.Number `cbor:"1,keyasint"`
		Current bool           `cbor:"2,keyasint,omitempty"`
	}
	var g Greeting
	b, err := cbor.Marshal(earlier{Number: 7})
	if err == nil {
		err = cbor.Unmarshal(b, &g)
	}
	if err != nil || g.Number != 7 || g.UnconfirmedFor != 0 {
		t.Errorf("greeting of an earlier version: got %+v, %v, want number 7, not unconfirmed", g, err)
	}
	var e earlier
	b, err = cbor.Marshal(Greeting{Number: 7, UnconfirmedFor: time.Second})
	if err == nil {
		err = cbor.Unmarshal(b, &e)
	}
	if err != nil || e.Number != 7 {
		t.Errorf("greeting at an earlier version: got %+v, %v, want number 7", e, err)
	}
}

// firstUpdate returns the first update of an entry VM.
func firstUpdate(t *testing.T, s *Store, now time.Time) *Update {
	t.Helper()
	frame, _, err := s.next(&cursor{vm: "e", role: Entry}, now)
	if err != nil {
		t.Fatal(err)
	}
	u := new(Update)
	if err := read(bytes.NewReader(frame), u); err != nil {
		t.Fatal(err)
	}
	return u
}

// Guards against a target that all VMs avoid because a single VM has lost its
// links, and against a dead target that each VM has to detect by itself.
func TestSharedDoubts(t *testing.T) {
	store, address := publish(t, "a")
	var subs []*subscriber
	for i := range 3 {
		s := open(t, address, &Hello{VM: fleet.VMID(fmt.Sprintf("e%d", i)), Zone: "z0", Role: Entry})
		s.waitUpdate("first update", func(*Update) bool { return true })
		subs = append(subs, s)
	}
	report := func(i int, ids ...fleet.Incarnation) {
		t.Helper()
		subs[i].ack.Suspects = ids
		if err := subs[i].Acknowledge(subs[i].ack); err != nil {
			t.Fatal(err)
		}
	}
	shared := func(want ...fleet.Incarnation) func(u *Update) bool {
		return func(u *Update) bool { return u.Reports != nil && slices.Equal(u.Reports.SharedSuspects, want) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			store.Tick(time.Now())
			time.Sleep(10 * time.Millisecond)
		}
	}()
	report(0, 5, 6)
	eventually(t, "targets suspected by one VM", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.suspected.local) == 2 && len(store.suspected.shared) == 0
	})
	report(1, 6)
	subs[2].waitUpdate("target suspected by two VMs", shared(6))
	// The reports of entry VMs that are connected to another hub count too.
	if err := store.ApplyUpdate("b", &Update{Reports: &Reports{EntryVMs: 7, Suspects: []ReportCount{{Target: 5, VMs: 1}}}}, time.Now()); err != nil {
		t.Fatal(err)
	}
	if u := subs[2].waitUpdate("target also suspected by an entry VM of another hub", shared(5, 6)); u.Reports.EntryVMs != 3+7 {
		t.Errorf("entry VMs: got %d, want 10", u.Reports.EntryVMs)
	}
	store.RemoveHub("b")
	subs[2].waitUpdate("reports without those of the other hub", shared(6))
	subs[1].Close()
	subs[2].waitUpdate("reports without those of the second VM", shared())
	// Overdue targets are counted separately from suspected ones.
	sharedOverdue := func(want ...fleet.Incarnation) func(u *Update) bool {
		return func(u *Update) bool {
			return u.Reports != nil && slices.Equal(u.Reports.SharedOverdue, want) && len(u.Reports.SharedSuspects) == 0
		}
	}
	for _, i := range []int{0, 2} {
		if err := subs[i].Acknowledge(Ack{Overdue: []fleet.Incarnation{8}}); err != nil {
			t.Fatal(err)
		}
	}
	subs[2].waitUpdate("target overdue at two VMs", sharedOverdue(8))
	if err := subs[0].Acknowledge(Ack{}); err != nil {
		t.Fatal(err)
	}
	subs[2].waitUpdate("target overdue at one VM only", sharedOverdue())
}

// failingListener fails the first Accept, as a listener does while the process has
// no free file descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against a publisher that stops because Accept fails once.
func TestAcceptFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	p := &Publisher{
		Store:    NewStore(Hub{VM: "a", Zone: "z0"}, registry.New(time.Minute, now), now),
		Listener: &failingListener{Listener: l},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	open(t, l.Addr().String(), &Hello{VM: "e", Zone: "z0", Role: Entry}).waitUpdate("first update", func(*Update) bool { return true })
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a publisher that stops serving because a connection sends
// malformed data: nothing, a body that can't be decoded, an empty compressed
// body, or a header with a size above maxFrame.
func TestMalformedMessages(t *testing.T) {
	_, address := publish(t, "a")
	for _, malformed := range [][]byte{nil, {0, 0, 0, 1, 0xff}, binary.BigEndian.AppendUint32(nil, 1<<31), bytes.Repeat([]byte{7}, 1000)} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(malformed); err != nil {
			t.Fatal(err)
		}
		// The publisher may have reset the connection already.
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) {
			t.Fatal(err)
		}
		// The publisher closes or resets the connection.
		_, _ = io.ReadAll(conn)
		conn.Close()
	}
	s := open(t, address, &Hello{VM: "e", Role: Entry})
	s.waitUpdate("update after malformed data", func(*Update) bool { return true })
}

// Guards against a state that broke off halfway and is taken for a complete one.
func TestTruncatedFrames(t *testing.T) {
	update := &Update{Full: true, Complete: true, Catalog: (&catalog.History{}).Delta(0)}
	for id := range fleet.Incarnation(100) {
		update.Records = append(update.Records, record(id+1, 1, fleet.TargetReady))
	}
	for _, n := range []int{1, 100} {
		u := *update
		u.Records = u.Records[:n]
		frame, err := encode(&u)
		if err != nil {
			t.Fatal(err)
		}
		if err := read(bytes.NewReader(frame), new(Update)); err != nil {
			t.Fatalf("whole frame with %d records: %v", n, err)
		}
		for cut := range len(frame) {
			if err := read(bytes.NewReader(frame[:cut]), new(Update)); err == nil {
				t.Errorf("%d records, first %d of %d bytes: got no error, want one", n, cut, len(frame))
			}
		}
	}
}

// Guards against a panic on malformed data from the network, and against
// updates that are accepted although they are invalid.
func FuzzRead(f *testing.F) {
	for _, m := range []message{&Hello{VM: "a", Role: Entry}, &Update{Records: []registry.Record{record(1, 1, fleet.TargetReady)}}} {
		b, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		u := new(Update)
		if read(bytes.NewReader(b), u) == nil && u.Validate() != nil {
			t.Errorf("got invalid update %+v", u)
		}
		// Any result is accepted, as long as read does not panic.
		_ = read(bytes.NewReader(b), new(Hello))
	})
}

// throttledProxy forwards connections to an address at perSecond bytes per second
// in each direction until the test ends. It returns the address of the proxy.
func throttledProxy(t *testing.T, address string, perSecond int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	copyThrottled := func(to, from net.Conn) {
		defer to.Close()
		const interval = 10 * time.Millisecond
		buf := make([]byte, perSecond/int(time.Second/interval))
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
			time.Sleep(interval)
		}
	}
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				client.Close()
				continue
			}
			// With a large receive buffer, the publisher could send faster than
			// the throttled link forwards.
			_ = server.(*net.TCPConn).SetReadBuffer(8 << 10)
			go copyThrottled(client, server)
			go copyThrottled(server, client)
		}
	}()
	return l.Addr().String()
}

// Guards against entry VMs on slow links that never get a large catalog, because
// they or the hub time out before the transfer is complete.
func TestSlowLink(t *testing.T) {
	store, address := publish(t, "a")
	c := catalogOf(1, 4000)
	for i := range c.Routes {
		c.Routes[i].Name = fmt.Sprintf("route-%x", i*7919)
	}
	store.SetCatalog(c)
	started := time.Now()
	s := open(t, throttledProxy(t, address, 20<<10), &Hello{VM: "e", Role: Entry})
	u := s.waitUpdate("first update", func(*Update) bool { return true })
	if u.Catalog == nil || len(u.Catalog.Routes) != 4000 {
		t.Errorf("first update: got %+v, want the whole catalog", u.Catalog)
	}
	if d := time.Since(started); d < IdleTimeout {
		t.Errorf("the catalog took %v: the link is too fast for this test", d)
	}
}
