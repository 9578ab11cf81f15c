package timeline

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against stamps that do not increase when the wall clock is set back or
// a remote stamp is observed, which would break the causal order.
func TestClockStrictlyIncreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Clock
		last := Stamp{}
		now := startTime
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Second)).Draw(t, "jump")))
			if rapid.Bool().Draw(t, "observe") {
				remote := Stamp{Wall: now.UnixNano() + rapid.Int64Range(-1e9, 1e9).Draw(t, "remote"), Counter: 3}
				if !c.Observe(remote, now) {
					t.Fatalf("Observe(%v) at %v: got false, want true", remote, now)
				}
				last = maxStamp(last, remote)
			}
			got := c.Now(now)
			if got.Compare(last) <= 0 {
				t.Fatalf("got stamp %v, want one after %v", got, last)
			}
			last = got
		}
	})
}

func maxStamp(a, b Stamp) Stamp {
	if a.Compare(b) > 0 {
		return a
	}
	return b
}

// Guards against stamps of a VM whose clock is ahead, which would move the
// clocks of all other VMs into the future.
func TestClockIgnoresFarFuture(t *testing.T) {
	var c Clock
	if c.Observe(Stamp{Wall: startTime.Add(time.Hour).UnixNano()}, startTime) {
		t.Error("Observe of a stamp one hour ahead: got true, want false")
	}
	if got := c.Now(startTime).Time(); !got.Equal(startTime) {
		t.Errorf("got %v, want %v", got, startTime)
	}
}

// Guards against many events of one kind that evict the rare events of other
// kinds, and against evicted events that are not counted.
func TestRingEvictsLargestKind(t *testing.T) {
	r := NewRing("monza-1")
	r.Capacity = 10
	r.Record(Event{Kind: KindView, Name: "Sealed"}, startTime)
	for range 100 {
		r.Record(Event{Kind: KindRefuse, Name: "Refused"}, startTime)
	}
	p := r.Since(0, Filter{}, 1000)
	if got, want := len(p.Events), 10; got != want {
		t.Errorf("events: got %d, want %d", got, want)
	}
	if got, want := p.Events[0].Kind, KindView; got != want {
		t.Errorf("oldest event: got %s, want %s", got, want)
	}
	if got, want := p.Shed[KindRefuse], uint64(91); got != want {
		t.Errorf("evicted events: got %d, want %d", got, want)
	}
}

// Guards against pages that skip or repeat events.
func TestRingPages(t *testing.T) {
	r := NewRing("monza-1")
	for i := range 25 {
		kind := KindFlow
		if i%3 == 0 {
			kind = KindRefuse
		}
		r.Record(Event{Kind: kind}, startTime)
	}
	var got []uint64
	var after uint64
	for range 10 {
		p := r.Since(after, Filter{Kinds: []Kind{KindFlow}}, 7)
		for _, e := range p.Events {
			got = append(got, e.Sequence)
		}
		after = p.Next
	}
	if len(got) != 16 {
		t.Errorf("got %d events, want 16", len(got))
	}
	for i := 1; i < len(got); i++ {
		if got[i] <= got[i-1] {
			t.Errorf("sequence %d after %d, want increasing sequence numbers", got[i], got[i-1])
		}
	}
}

// Guards against events of two processes that are not in causal order, against
// a process that fails without being listed in Gaps, and against output formats
// that omit an event.
func TestCollect(t *testing.T) {
	a, b := NewRing("a"), NewRing("b")
	a.Record(Event{Kind: KindFlow, Name: "Passed", Flow: "f1"}, startTime.Add(time.Second))
	// The wall clock of b is a second behind the wall clock of a. b observes a
	// stamp of a, as if the stamp had arrived with a passed packet.
	b.Clock.Observe(a.Clock.Now(startTime.Add(time.Second)), startTime.Add(time.Second))
	b.Record(Event{Kind: KindFlow, Name: "Placed", Flow: "f1"}, startTime)
	b.Record(Event{Kind: KindFlow, Name: "Placed", Flow: "f2"}, startTime)
	serverA, serverB := httptest.NewServer(&Handler{Ring: a}), httptest.NewServer(&Handler{Ring: b})
	defer serverA.Close()
	defer serverB.Close()
	failing := httptest.NewServer(http.NotFoundHandler())
	defer failing.Close()
	c := Client{
		Sources: []Source{Source(serverB.URL), Source(serverA.URL), Source(failing.URL)},
		Filter:  Filter{Flow: "f1"},
		HTTP:    http.DefaultClient,
	}
	got := c.Collect(context.Background())
	if len(got.Events) != 2 || got.Events[0].Name != "Passed" || got.Events[1].Name != "Placed" {
		t.Errorf("events: got %+v, want Passed, then Placed", got.Events)
	}
	if len(got.Gaps) != 1 || got.Gaps[0].Source != Source(failing.URL) {
		t.Errorf("gaps: got %+v, want one for %s", got.Gaps, failing.URL)
	}
	for _, f := range []Format{FormatText, FormatJSON, FormatHTML} {
		var out strings.Builder
		if err := got.Write(&out, f); err != nil || !strings.Contains(out.String(), "Placed") {
			t.Errorf("%s: got %q, %v, want the event Placed", f, out.String(), err)
		}
	}
	var fe *FormatError
	if err := got.Write(new(strings.Builder), "xml"); !errors.As(err, &fe) {
		t.Errorf("format xml: got %v, want FormatError", err)
	}
}

// Guards against a Follow that misses events or does not return when ctx ends.
func TestFollow(t *testing.T) {
	r := NewRing("a")
	server := httptest.NewServer(&Handler{Ring: r})
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := Client{Sources: []Source{Source(server.URL)}, HTTP: http.DefaultClient}
	r.Record(Event{Name: "First"}, startTime)
	var got []string
	c.Follow(ctx, func(e Event) {
		got = append(got, e.Name)
		if e.Name == "First" {
			r.Record(Event{Name: "Second"}, startTime)
			return
		}
		cancel()
	}, func(err error) { t.Errorf("got error %v, want none", err) })
	if len(got) != 2 || got[1] != "Second" {
		t.Errorf("got events %v, want First and Second", got)
	}
}

// Guards against a page of a restarted process whose Next is not reset. The
// sequence numbers of this process start again at 1, so a client that kept its
// old value of After would not receive the new events.
func TestSinceAfterRestart(t *testing.T) {
	r := NewRing("a")
	r.Record(Event{Name: "Started"}, startTime)
	if got, want := r.Since(5000, Filter{}, 10).Next, uint64(1); got != want {
		t.Errorf("Next: got %d, want %d", got, want)
	}
}

// Guards against invalid parameters that are silently ignored.
func TestHandlerErrors(t *testing.T) {
	h := Handler{Ring: NewRing("a")}
	for _, query := range []string{"After=x", "Wait=x", "From=x", "Until=x"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, Path+"?"+query, nil))
		if w.Code != http.StatusBadRequest {
			t.Errorf("%s: got status %d, want %d", query, w.Code, http.StatusBadRequest)
		}
	}
}

// Guards against a filter whose flow, VM or number of kinds changes when the
// filter is encoded and parsed again.
func FuzzParseFilter(f *testing.F) {
	f.Add("Kind=View&Flow=f&VM=a&From=2026-01-01T00:00:00Z")
	f.Fuzz(func(t *testing.T, query string) {
		q, err := url.ParseQuery(query)
		if err != nil {
			return
		}
		want, err := ParseFilter(q)
		if err != nil {
			return
		}
		got, err := ParseFilter(want.Query())
		if err != nil || got.Flow != want.Flow || got.VM != fleet.VMID(want.VM) || len(got.Kinds) != len(want.Kinds) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	})
}
