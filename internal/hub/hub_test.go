package hub

import (
	"cmp"
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

	"bamboowalk.org/bamboowalk/internal/fakedisk"
	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

// waitTimeout bounds the waits of the tests. It covers an election and the
// replacement of a hub.
const waitTimeout = 15 * time.Second

// parse parses the text of a test document, which is the catalog number in
// decimal.
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
	// cluster runs each hub on its own loopback address, starting at 127.0.0.1. All
	// hubs use the same ports.
	cluster struct {
		*testing.T
		dir   string
		ports [3]uint16
		seeds []netip.AddrPort
		hubs  []*runningHub
		// handler is the HTTP interface of all hubs; nil serves nothing.
		handler http.Handler
		// disks holds the disks of the hubs; nil means those of the operating system.
		disks []*fakedisk.Disk
		// openDirs opens the directories of all hubs if disks is nil; nil means those of
		// the operating system.
		openDirs func(dir string) replica.FS
		// log is the logger of all hubs; nil writes nothing.
		log *zap.Logger
		// metrics is the port that serves metrics; 0 serves none.
		metrics uint16
	}

	runningHub struct {
		*Daemon
		stop func()
	}
)

// newCluster returns a cluster with n hubs as seeds, without starting them. The
// hubs are stopped at the end of the test.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{T: t, dir: t.TempDir()}
	for i := range c.ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		c.ports[i] = l.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	for i := range n {
		c.seeds = append(c.seeds, c.address(i))
	}
	t.Cleanup(func() {
		for _, r := range c.hubs {
			r.stop()
		}
		goleak.VerifyNone(t)
	})
	return c
}

func (c *cluster) address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), c.ports[0])
}

// metricsAddress returns the address that serves the metrics of hub i, if any.
func (c *cluster) metricsAddress(i int) netip.AddrPort {
	if c.metrics == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(c.address(i).Addr(), c.metrics)
}

func (c *cluster) data(i int) string { return filepath.Join(c.dir, strconv.Itoa(i)) }

// start runs hub i; first is set at the first start, when the seeds become the
// members of the log.
func (c *cluster) start(i int, first bool) *Daemon {
	d := &Daemon{
		Settings: &Settings{
			HTTP: c.address(i), Metrics: c.metricsAddress(i), Zone: fleet.ZoneID(fmt.Sprintf("z%d", i)), Seeds: c.seeds,
			Feed: c.ports[1], Replication: c.ports[2], Data: c.data(i), First: first,
			AnnounceInterval: time.Second, ZoneOrders: true, Regions: map[fleet.ZoneID]fleet.RegionID{"z0": "r", "z1": "r"},
		},
		Parse:        parse,
		Handler:      cmp.Or(c.handler, http.NotFoundHandler()),
		Log:          cmp.Or(c.log, zap.NewNop()),
		LinesDropped: func() uint64 { return 0 },
	}
	d.openDir = c.openDirs
	if c.disks != nil {
		d.openDir = c.disks[i].Open
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	started := make(chan struct{})
	go func() {
		close(started)
		done <- d.Run(ctx)
	}()
	<-started
	for len(c.hubs) <= i {
		c.hubs = append(c.hubs, &runningHub{stop: func() {}})
	}
	c.hubs[i] = &runningHub{Daemon: d, stop: func() {
		cancel()
		if err := <-done; err != nil {
			c.Errorf("hub %d: %v", i, err)
		}
		c.hubs[i].stop = func() {}
	}}
	return d
}

func (c *cluster) startAll(first bool) {
	for i := range c.seeds {
		c.start(i, first)
	}
}

// eventually calls f until it succeeds, and fails the test after waitTimeout.
func (c *cluster) eventually(what string, f func() error) {
	c.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	c.Fatalf("%s: still %v after %v", what, err, waitTimeout)
}

// put tries the hubs with the given indexes in turn until one commits document
// n.
func (c *cluster) put(n int, indexes ...int) {
	c.Helper()
	c.eventually(fmt.Sprintf("put %d", n), func() error {
		var err error
		for _, i := range indexes {
			if err = c.hubs[i].Put(context.Background(), document(n)); err == nil {
				return nil
			}
		}
		return err
	})
}

// get waits until one of the hubs with the given indexes returns document want.
func (c *cluster) get(want int, indexes ...int) {
	c.Helper()
	c.eventually(fmt.Sprintf("get %d", want), func() error {
		var err error
		for _, i := range indexes {
			var doc catalog.Document
			if doc, err = c.hubs[i].Get(context.Background()); err == nil && doc.Number != catalog.Number(want) {
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

func announce(r *runningHub, rec registry.Record) error {
	_, err := r.Announce(context.Background(), rec)
	return err
}

// waitUpdate opens the feed of hub i as an entry VM and returns the first update
// that ok accepts.
func (c *cluster) waitUpdate(i int, ok func(u *feed.Update) bool) *feed.Update {
	c.Helper()
	var found *feed.Update
	c.eventually(fmt.Sprintf("feed of hub %d", i), func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		s, err := feed.Open(ctx, AddressOf(c.hubs[i].Settings.ID(), c.ports[1]), &feed.Hello{VM: "e", Zone: "z0", Role: feed.Entry}, feed.IdleTimeout)
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

// Guards against documents that only one hub has, against reads of outdated
// documents from followers, and against documents that entry VMs do not get.
func TestPutAndGet(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(5, 0, 1, 2)
	c.get(5, 0, 1, 2)
	// put and get need a majority only; the third hub may not know the leader yet.
	c.eventually("each hub knows the leader", func() error {
		leaders := 0
		for i, r := range c.hubs {
			_, err := r.Get(context.Background())
			var notLeader *NotLeaderError
			switch {
			case err == nil:
				leaders++
			case !errors.As(err, &notLeader):
				t.Fatalf("Get at hub %d: got %v, want a NotLeaderError", i, err)
			case notLeader.Leader == "":
				return err
			}
		}
		if leaders != 1 {
			t.Fatalf("hubs that serve reads: got %d, want 1", leaders)
		}
		return nil
	})
	// A document with a lower number is acknowledged but has no effect.
	c.put(3, 0, 1, 2)
	c.get(5, 0, 1, 2)
	for i := range c.hubs {
		u := c.waitUpdate(i, func(u *feed.Update) bool { return u.Catalog != nil && u.Catalog.To == 5 && u.Current })
		if len(u.Hubs) != 3 && u.Full {
			t.Errorf("hub %d lists %d hubs, want 3", i, len(u.Hubs))
		}
	}
}

// Guards against hubs that acknowledge that a target is draining or gone
// although no majority has the record, and against hubs without a majority that
// reject announcements of ready targets.
func TestDrainNeedsMajority(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(1, 0, 1, 2)
	ctx := context.Background()
	c.eventually("drain with all hubs", func() error { return announce(c.hubs[0], record(1, 1, fleet.TargetDraining)) })
	u := c.waitUpdate(2, func(u *feed.Update) bool { return len(u.Records) > 0 })
	if got := u.Records[0].Target.State; got != fleet.TargetDraining {
		t.Errorf("state at another hub: got %s, want Draining", got)
	}
	c.hubs[1].stop()
	c.hubs[2].stop()
	if err := announce(c.hubs[0], record(2, 1, fleet.TargetReady)); err != nil {
		t.Errorf("announcement at a hub without a majority: got %v, want no error", err)
	}
	var unavailable *UnavailableError
	if err := announce(c.hubs[0], record(2, 2, fleet.TargetDraining)); !errors.As(err, &unavailable) {
		t.Errorf("drain at a hub without a majority: got %v, want an UnavailableError", err)
	}
	if err := c.hubs[0].Leave(ctx, registry.Leave{Target: 2, Born: 1}); !errors.As(err, &unavailable) {
		t.Errorf("leave at a hub without a majority: got %v, want an UnavailableError", err)
	}
	if err := c.hubs[0].Put(ctx, document(2)); err == nil {
		t.Error("put at a hub without a majority: got no error, want one")
	}
}

// Guards against targets that announce themselves to hubs of other zones, and
// against targets that are sent to a hub which is down.
func TestTargetsAnnounceToTheirZone(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(1, 0, 1, 2)
	next := func(zone fleet.ZoneID) (fleet.VMID, error) {
		rec := record(1, 1, fleet.TargetReady)
		rec.Target.Zone = zone
		return c.hubs[0].Announce(context.Background(), rec)
	}
	want := func(zone fleet.ZoneID, id fleet.VMID) {
		t.Helper()
		c.eventually(fmt.Sprintf("hub for zone %s", zone), func() error {
			if got, err := next(zone); err != nil || got != id {
				return fmt.Errorf("got %q and error %v, want %q", got, err, id)
			}
			return nil
		})
	}
	want("z0", "")
	want("z1", IDOf(c.address(1)))
	want("z2", IDOf(c.address(2)))
	want("z9", "")
	c.hubs[1].stop()
	want("z1", "")
}

// Guards against a cluster that tolerates no further fault after a hub has been
// replaced by an empty one at another address.
func TestReplacedHub(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(1, 0, 1, 2)
	c.hubs[2].stop()
	c.start(3, false)
	c.eventually("the new hub is a member of the log and the former one is not", func() error {
		for i := range 2 {
			ids := hubIDs(c.hubs[i].store.Hubs())
			if slices.Contains(ids, IDOf(c.address(2))) || !slices.Contains(ids, IDOf(c.address(3))) {
				return fmt.Errorf("members at hub %d: %v", i, ids)
			}
		}
		return nil
	})
	c.put(2, 0, 1, 3)
	// With the new hub as a voter, the cluster tolerates the loss of another hub.
	c.eventually("the new hub votes", func() error {
		if role := c.role(3); role != "Follower" && role != "Leader" {
			return fmt.Errorf("hub has role %s", role)
		}
		return nil
	})
	c.hubs[1].stop()
	c.put(3, 0, 3)
	c.get(3, 0, 3)
}

func hubIDs(hubs []feed.Hub) []fleet.VMID {
	var ids []fleet.VMID
	for _, h := range hubs {
		ids = append(ids, h.VM)
	}
	return ids
}

func (c *cluster) role(i int) string {
	l := c.hubs[i].loop.Load()
	if l == nil {
		return "Down"
	}
	role := ""
	if err := l.Do(context.Background(), func(time.Time) { role = l.Replica.Role() }); err != nil {
		return "Down"
	}
	return role
}

// Guards against a hub that has lost its disk but votes as if it still had its log,
// and against documents that are lost with a disk.
func TestLostDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(1, 0, 1, 2)
	for round := range 3 {
		c.hubs[round].stop()
		if err := os.RemoveAll(c.data(round)); err != nil {
			t.Fatal(err)
		}
		c.start(round, false)
		c.put(2+round, 0, 1, 2)
		c.eventually("the hub votes again", func() error {
			if role := c.role(round); role != "Follower" && role != "Leader" {
				return fmt.Errorf("hub has role %s", role)
			}
			return nil
		})
	}
	c.get(4, 0, 1, 2)
}

// Guards against entry VMs that wait for an election and for the announcements of
// all targets after a loss of power in all availability zones.
func TestPublishesAfterRestart(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(7, 0, 1, 2)
	if err := announce(c.hubs[0], record(1, 1, fleet.TargetReady)); err != nil {
		t.Fatal(err)
	}
	c.waitUpdate(0, func(u *feed.Update) bool { return u.Catalog != nil })
	c.eventually("cache", func() error {
		store := feed.NewStore(feed.Hub{}, registry.New(time.Second, time.Now()), time.Now())
		b, err := os.ReadFile(filepath.Join(c.data(0), cacheFile))
		if err != nil {
			return err
		}
		if err := store.Restore(b, time.Now()); err != nil {
			return err
		}
		if store.Number() != 7 || store.Targets() != 1 {
			return fmt.Errorf("cache holds catalog %d and %d targets", store.Number(), store.Targets())
		}
		return nil
	})
	for _, r := range c.hubs {
		r.stop()
	}
	c.start(0, false)
	u := c.waitUpdate(0, func(u *feed.Update) bool { return true })
	if u.Catalog == nil || u.Catalog.To != 7 || len(u.Records) != 1 || u.Current {
		t.Errorf("first update of a hub without a majority: got %+v, want catalog 7 and one target, not current", u)
	}
	var unavailable *UnavailableError
	var notLeader *NotLeaderError
	if _, err := c.hubs[0].Get(context.Background()); !errors.As(err, &unavailable) && !errors.As(err, &notLeader) {
		t.Errorf("Get at a hub without a majority: got %v, want an UnavailableError or a NotLeaderError", err)
	}
}

// Guards against a hub that fails to start because its cache file is damaged.
func TestDamagedCache(t *testing.T) {
	c := newCluster(t, 1)
	if err := os.MkdirAll(c.data(0), dirMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(c.data(0), cacheFile), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	c.startAll(true)
	c.put(1, 0)
}

// Guards against reads of an older document at a hub that has restarted and that has no
// majority, or meets a majority with a newer document.
func TestReadNeedsMajority(t *testing.T) {
	c := newCluster(t, 3)
	c.startAll(true)
	c.put(1, 0, 1, 2)
	c.waitUpdate(0, func(u *feed.Update) bool { return u.Catalog != nil && u.Catalog.To == 1 })
	c.hubs[0].stop()
	c.put(2, 1, 2)
	c.hubs[1].stop()
	c.hubs[2].stop()
	c.start(0, false)
	c.waitUpdate(0, func(*feed.Update) bool { return true })
	read := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		if doc, err := c.hubs[0].Get(ctx); err == nil && doc.Number != 2 {
			t.Fatalf("got document %d, want an error or document 2", doc.Number)
		}
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		read()
		if s := c.hubs[0].store.Stats(); s.Current {
			t.Fatalf("hub without a majority is current with document %d", s.Number)
		}
	}
	c.start(1, false)
	c.eventually("majority", func() error {
		read()
		if s := c.hubs[0].store.Stats(); s.Number != 2 || !s.Current {
			return fmt.Errorf("hub publishes document %d, current %v", s.Number, s.Current)
		}
		return nil
	})
	c.get(2, 0, 1)
}
