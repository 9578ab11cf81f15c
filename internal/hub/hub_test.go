package hub

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

// patience is how long a test waits for what an election and a replacement may
// delay.
const patience = 15 * time.Second

// parse reads the documents of the tests, which are their number.
func parse(text []byte) (*catalog.Catalog, error) {
	n, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return nil, err
	}
	return &catalog.Catalog{Number: catalog.Number(n)}, nil
}

func document(n int) catalog.Document {
	return catalog.Document{Number: catalog.Number(n), Text: []byte(strconv.Itoa(n))}
}

type (
	// hubs runs hubs at loopback addresses 127.0.0.1 and up, with the same ports.
	hubs struct {
		*testing.T
		dir   string
		ports [3]uint16
		seeds []netip.AddrPort
		all   []*running
	}

	running struct {
		*Daemon
		stop func()
	}
)

// newHubs starts n hubs that form a log.
func newHubs(t *testing.T, n int) *hubs {
	h := &hubs{T: t, dir: t.TempDir()}
	for i := range h.ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		h.ports[i] = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	for i := range n {
		h.seeds = append(h.seeds, h.address(i))
	}
	t.Cleanup(func() {
		for _, r := range h.all {
			r.stop()
		}
		goleak.VerifyNone(t)
	})
	return h
}

func (h *hubs) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), h.ports[0])
}

func (h *hubs) data(i int) string { return filepath.Join(h.dir, strconv.Itoa(i)) }

// start runs hub i; first is set where the seeds form the log.
func (h *hubs) start(i int, first bool) *Daemon {
	d := &Daemon{
		Settings: &Settings{
			HTTP: h.address(i), Zone: fleet.ZoneID(fmt.Sprintf("z%d", i)), Seeds: h.seeds,
			Feed: h.ports[1], Replication: h.ports[2], Data: h.data(i), First: first,
			AnnounceInterval: time.Second,
		},
		Parse:        parse,
		Handler:      http.NotFoundHandler(),
		Log:          zap.NewNop(),
		LinesDropped: func() uint64 { return 0 },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	started := make(chan struct{})
	go func() {
		close(started)
		done <- d.Run(ctx)
	}()
	<-started
	for len(h.all) <= i {
		h.all = append(h.all, &running{stop: func() {}})
	}
	h.all[i] = &running{Daemon: d, stop: func() {
		cancel()
		if err := <-done; err != nil {
			h.Errorf("hub %d: %v", i, err)
		}
		h.all[i].stop = func() {}
	}}
	return d
}

func (h *hubs) startAll(first bool) {
	for i := range h.seeds {
		h.start(i, first)
	}
}

// eventually repeats f until it succeeds.
func (h *hubs) eventually(what string, f func() error) {
	h.Helper()
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	h.Fatalf("%s: still %v after %v", what, err, patience)
}

// put puts a document at any of the hubs.
func (h *hubs) put(n int, among ...int) {
	h.Helper()
	h.eventually(fmt.Sprintf("put %d", n), func() error {
		var err error
		for _, i := range among {
			if err = h.all[i].Put(context.Background(), document(n)); err == nil {
				return nil
			}
		}
		return err
	})
}

// get reads the document at any of the hubs.
func (h *hubs) get(want int, among ...int) {
	h.Helper()
	h.eventually(fmt.Sprintf("get %d", want), func() error {
		var err error
		for _, i := range among {
			var doc catalog.Document
			if doc, err = h.all[i].Get(context.Background()); err == nil && doc.Number != catalog.Number(want) {
				return fmt.Errorf("got document %d, want %d", doc.Number, want)
			}
			if err == nil {
				return nil
			}
		}
		return err
	})
}

func record(id fleet.Incarnation, seq registry.Sequence, state fleet.TargetState) registry.Record {
	return registry.Record{
		Target: fleet.Target{
			ID:   fleet.TargetID{Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80), Incarnation: id},
			Zone: "z0", Slots: 1, ConnectionLimit: 1, State: state,
		},
		Born: 1, Sequence: seq,
	}
}

// follow opens the feed of a hub as an entry VM and returns its first update
// that ok accepts.
func (h *hubs) follow(i int, ok func(u *feed.Update) bool) *feed.Update {
	h.Helper()
	var found *feed.Update
	h.eventually(fmt.Sprintf("feed of hub %d", i), func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s, err := feed.Open(ctx, AddressOf(h.all[i].Settings.ID(), h.ports[1]), &feed.Hello{VM: "e", Zone: "z0", Role: feed.Entry})
		if err != nil {
			return err
		}
		defer s.Close()
		for {
			u, err := s.Next()
			if err != nil {
				return err
			}
			if ok(u) {
				found = u
				return nil
			}
		}
	})
	return found
}

// Guards against documents that only one hub knows, that are read where they may
// be old, and that entry VMs do not get.
func TestPutAndGet(t *testing.T) {
	h := newHubs(t, 3)
	h.startAll(true)
	h.put(5, 0, 1, 2)
	h.get(5, 0, 1, 2)
	leaders := 0
	for _, r := range h.all {
		_, err := r.Get(context.Background())
		var other *NotLeaderError
		switch {
		case err == nil:
			leaders++
		case !errors.As(err, &other) || other.Leader == "":
			t.Errorf("Get at a follower: got %v, want the leader's name", err)
		}
	}
	if leaders != 1 {
		t.Errorf("hubs that answer reads: got %d, want 1", leaders)
	}
	// An older number is acknowledged and changes nothing.
	h.put(3, 0, 1, 2)
	h.get(5, 0, 1, 2)
	for i := range h.all {
		u := h.follow(i, func(u *feed.Update) bool { return u.Catalog != nil && u.Catalog.To == 5 && u.Current })
		if len(u.Hubs) != 3 && u.Full {
			t.Errorf("hub %d names %d hubs, want 3", i, len(u.Hubs))
		}
	}
}

// Guards against the end of a target that is acknowledged but known to one hub
// only, and against hubs that refuse live targets while they are cut off.
func TestDrainNeedsMajority(t *testing.T) {
	h := newHubs(t, 3)
	h.startAll(true)
	h.put(1, 0, 1, 2)
	ctx := context.Background()
	h.eventually("drain with all hubs", func() error { return h.all[0].Announce(ctx, record(1, 1, fleet.TargetDraining)) })
	u := h.follow(2, func(u *feed.Update) bool { return len(u.Records) > 0 })
	if got := u.Records[0].Target.State; got != fleet.TargetDraining {
		t.Errorf("state at another hub: got %s, want Draining", got)
	}
	h.all[1].stop()
	h.all[2].stop()
	if err := h.all[0].Announce(ctx, record(2, 1, fleet.TargetReady)); err != nil {
		t.Errorf("announcement at a hub without a majority: got %v, want no error", err)
	}
	var unavailable *UnavailableError
	if err := h.all[0].Announce(ctx, record(2, 2, fleet.TargetDraining)); !errors.As(err, &unavailable) {
		t.Errorf("drain at a hub without a majority: got %v, want an UnavailableError", err)
	}
	if err := h.all[0].Leave(ctx, 2); !errors.As(err, &unavailable) {
		t.Errorf("leave at a hub without a majority: got %v, want an UnavailableError", err)
	}
	if err := h.all[0].Put(ctx, document(2)); err == nil {
		t.Error("put at a hub without a majority: got no error, want one")
	}
}

// Guards against a fleet that has lost the tolerance of faults for good once a
// hub is replaced by an empty one at another address.
func TestReplacedHub(t *testing.T) {
	h := newHubs(t, 3)
	h.startAll(true)
	h.put(1, 0, 1, 2)
	h.all[2].stop()
	h.start(3, false)
	h.eventually("the new hub is in the log and the former one is not", func() error {
		for i := range 2 {
			ids := names(h.all[i].board.Hubs())
			if slices.Contains(ids, IDOf(h.address(2))) || !slices.Contains(ids, IDOf(h.address(3))) {
				return fmt.Errorf("hub %d knows %v", i, ids)
			}
		}
		return nil
	})
	h.put(2, 0, 1, 3)
	// The new hub counts: with it, the loss of another one is borne.
	h.eventually("the new hub votes", func() error {
		if role := h.role(3); role != "Follower" && role != "Leader" {
			return fmt.Errorf("it is a %s", role)
		}
		return nil
	})
	h.all[1].stop()
	h.put(3, 0, 3)
	h.get(3, 0, 3)
}

func names(hubs []feed.Hub) []fleet.VMID {
	var ids []fleet.VMID
	for _, x := range hubs {
		ids = append(ids, x.VM)
	}
	return ids
}

func (h *hubs) role(i int) string {
	l := h.all[i].log.Load()
	if l == nil {
		return "Down"
	}
	role := ""
	if err := l.Do(context.Background(), func(time.Time) { role = l.Replica.Role() }); err != nil {
		return "Down"
	}
	return role
}

// Guards against a hub that votes as if it still had its log, and against
// documents that are lost with a disk.
func TestLostDisk(t *testing.T) {
	h := newHubs(t, 3)
	h.startAll(true)
	h.put(1, 0, 1, 2)
	for round := range 3 {
		h.all[round].stop()
		if err := os.RemoveAll(h.data(round)); err != nil {
			t.Fatal(err)
		}
		h.start(round, false)
		h.put(2+round, 0, 1, 2)
		h.eventually("the hub votes again", func() error {
			if role := h.role(round); role != "Follower" && role != "Leader" {
				return fmt.Errorf("it is a %s", role)
			}
			return nil
		})
	}
	h.get(4, 0, 1, 2)
}

// Guards against entry VMs that wait for an election and for the announcements
// of all targets after a loss of power everywhere.
func TestPublishesAfterRestart(t *testing.T) {
	h := newHubs(t, 3)
	h.startAll(true)
	h.put(7, 0, 1, 2)
	if err := h.all[0].Announce(context.Background(), record(1, 1, fleet.TargetReady)); err != nil {
		t.Fatal(err)
	}
	h.follow(0, func(u *feed.Update) bool { return u.Catalog != nil })
	h.eventually("cache", func() error {
		board := feed.NewBoard(feed.Hub{}, registry.New(time.Second, time.Now()), time.Now())
		b, err := os.ReadFile(filepath.Join(h.data(0), cacheFile))
		if err != nil {
			return err
		}
		if err := board.Restore(b, time.Now()); err != nil {
			return err
		}
		if board.Number() != 7 || board.Targets() != 1 {
			return fmt.Errorf("it holds catalog %d and %d targets", board.Number(), board.Targets())
		}
		return nil
	})
	for _, r := range h.all {
		r.stop()
	}
	h.start(0, false)
	u := h.follow(0, func(u *feed.Update) bool { return true })
	if u.Catalog == nil || u.Catalog.To != 7 || len(u.Records) != 1 || u.Current {
		t.Errorf("first update of a hub alone: got %+v, want catalog 7 and one target without a majority", u)
	}
	var unavailable *UnavailableError
	var notLeader *NotLeaderError
	if _, err := h.all[0].Get(context.Background()); !errors.As(err, &unavailable) && !errors.As(err, &notLeader) {
		t.Errorf("Get at a hub alone: got %v, want it refused", err)
	}
}

// Guards against a hub that dies of a damaged cache.
func TestDamagedCache(t *testing.T) {
	h := newHubs(t, 1)
	if err := os.MkdirAll(h.data(0), folderMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(h.data(0), cacheFile), []byte("damaged"), fileMode); err != nil {
		t.Fatal(err)
	}
	h.startAll(true)
	h.put(1, 0)
}
