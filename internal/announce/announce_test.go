package announce

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/chart"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const service = fleet.ServiceID("Lutto/Counter")

var (
	start   = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("192.0.2.1:6081")
)

func announcement(state State) *Announcement {
	return &Announcement{Service: service, Address: address, Slots: 3, ConnectionLimit: 4500, State: state, Credential: "secret", Incarnation: 1}
}

// newRegistry returns the registry of the VM self in a zone where the VM owner
// owns all targets.
func newRegistry(t *testing.T, self, owner fleet.VMID, targets ...fleet.Target) *Registry {
	t.Helper()
	r := &Registry{
		Self: self, Zone: "Monza", LeaseTime: 10 * time.Second, Limit: 2,
		Services: map[fleet.ServiceID]Credential{service: HashCredential("secret"), "Lutto/Sheets": HashCredential("other")},
		Owner:    func(*fleet.View, fleet.TargetKey) fleet.VMID { return owner },
	}
	v := &fleet.View{Zone: "Monza", Epoch: 1, Targets: targets}
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	r.SetView(v, start)
	return r
}

// Guards against state transitions that the target chart does not allow.
func TestStates(t *testing.T) {
	for _, tt := range []struct {
		name   string
		states []State
		want   fleet.TargetState
		failed bool
	}{
		{"start cold", []State{Cold}, fleet.TargetCold, false},
		{"start ready", []State{Ready, Ready}, fleet.TargetReady, false},
		{"ramp", []State{Cold, Ready}, fleet.TargetReady, false},
		{"cool", []State{Ready, Cold}, fleet.TargetCold, false},
		{"drain", []State{Ready, Draining, Draining}, fleet.TargetDraining, false},
		{"resume", []State{Ready, Draining, Cold}, fleet.TargetCold, false},
		{"resume without ramp", []State{Ready, Draining, Ready}, fleet.TargetDraining, true},
	} {
		r := newRegistry(t, "a", "a")
		var err error
		for _, s := range tt.states {
			_, _, err = r.Announce(announcement(s), start)
		}
		var te *chart.TransitionError
		if errors.As(err, &te) != tt.failed {
			t.Errorf("%s: got error %v, want TransitionError %v", tt.name, err, tt.failed)
		}
		if got := r.Targets()[0].State; got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// Guards against leases that expire too early, too late or never.
func TestLease(t *testing.T) {
	r := newRegistry(t, "a", "a")
	if _, changed, err := r.Announce(announcement(Ready), start); !changed || err != nil {
		t.Fatalf("first announcement: got %v, %v, want a change", changed, err)
	}
	if _, changed, err := r.Announce(announcement(Ready), start.Add(6*time.Second)); changed || err != nil {
		t.Errorf("renewal: got %v, %v, want no change", changed, err)
	}
	if gone := r.Expire(start.Add(15 * time.Second)); len(gone) != 0 {
		t.Errorf("within the renewed lease: got %v gone", gone)
	}
	if gone := r.Expire(start.Add(16 * time.Second)); len(gone) != 1 || len(r.Targets()) != 0 {
		t.Errorf("after the lease: got %v gone, %v left, want one gone", gone, r.Targets())
	}
}

// Guards against a new owner that drops the targets of the former owner, and
// against a former owner that keeps reporting them.
func TestOwnerChange(t *testing.T) {
	target := fleet.Target{ID: fleet.TargetID{Service: service, Address: address, Incarnation: 7}, Zone: "Monza", Slots: 3, ConnectionLimit: 9, State: fleet.TargetDraining}
	r := newRegistry(t, "a", "a", target)
	if got := r.Targets(); len(got) != 1 || got[0] != target {
		t.Errorf("new owner: got %v, want %v", got, target)
	}
	if gone := r.Expire(start.Add(9 * time.Second)); len(gone) != 0 {
		t.Errorf("got %v gone before a whole lease", gone)
	}
	r.Owner = func(*fleet.View, fleet.TargetKey) fleet.VMID { return "b" }
	r.SetView(r.view, start)
	if got := r.Targets(); len(got) != 0 {
		t.Errorf("former owner: got %v, want none", got)
	}
}

// Guards against a restarted target that keeps the ID of its previous
// incarnation.
func TestIncarnation(t *testing.T) {
	r := newRegistry(t, "a", "a")
	r.Announce(announcement(Draining), start)
	again := announcement(Ready)
	again.Incarnation = 2
	grant, changed, err := r.Announce(again, start)
	if err != nil || !changed || grant.Target.Incarnation != 2 || len(r.Targets()) != 1 {
		t.Errorf("got %+v, %v, %v, want incarnation 2", grant, changed, err)
	}
	unset := announcement(Ready)
	unset.Incarnation = 0
	if _, err := r.Locate(unset, start); err != nil || unset.Incarnation != 2 {
		t.Errorf("without incarnation: got %d, %v, want 2", unset.Incarnation, err)
	}
}

// server serves a registry over HTTP. Server.Control runs its function in the
// calling goroutine.
func server(t *testing.T, r *Registry, members ...fleet.VM) (*httptest.Server, *Server) {
	t.Helper()
	s := &Server{
		Self: r.Self, Changed: func(*Registry) {}, Client: http.DefaultClient, PerClient: 1000, Burst: 1000,
		Control: func(_ context.Context, f func(*Registry, time.Time)) error { f(r, start); return nil },
		Members: func() []fleet.VM { return members },
	}
	ts := httptest.NewServer(s)
	t.Cleanup(ts.Close)
	return ts, s
}

func addressOf(ts *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(ts.URL, "http://"))
}

// Guards against errors that reach a target with a wrong status or code.
func TestErrors(t *testing.T) {
	held := fleet.Target{ID: fleet.TargetID{Service: "Lutto/Sheets", Address: netip.MustParseAddrPort("192.0.2.9:1"), Incarnation: 1}, Zone: "Monza", Slots: 3, ConnectionLimit: 9, State: fleet.TargetReady}
	r := newRegistry(t, "a", "a", held)
	ts, _ := server(t, r)
	for _, tt := range []struct {
		name   string
		change func(*Announcement)
		status int
		code   string
	}{
		{"credential", func(a *Announcement) { a.Credential = "wrong" }, http.StatusForbidden, CodeWrongCredential},
		{"service", func(a *Announcement) { a.Service = "Lutto/None" }, http.StatusNotFound, CodeUnknownService},
		{"address held", func(a *Announcement) { a.Address = held.ID.Address }, http.StatusConflict, CodeAddressHeld},
		{"slots", func(a *Announcement) { a.Slots = 0 }, http.StatusBadRequest, CodeInvalid},
		{"state", func(a *Announcement) { a.State = "Gone" }, http.StatusBadRequest, CodeInvalid},
		{"size", func(a *Announcement) { a.Credential = strings.Repeat("x", maxBodySize) }, http.StatusRequestEntityTooLarge, CodeTooLarge},
	} {
		a := announcement(Ready)
		tt.change(a)
		_, err := Announce(t.Context(), http.DefaultClient, addressOf(ts), a)
		checkRemote(t, tt.name, err, tt.status, tt.code)
	}
	err := Leave(t.Context(), http.DefaultClient, addressOf(ts), announcement(""))
	checkRemote(t, "leave of an unknown target", err, http.StatusNotFound, CodeUnknownTarget)
	if _, err := Announce(t.Context(), http.DefaultClient, addressOf(ts), announcement(Ready)); err != nil {
		t.Errorf("valid: got %v", err)
	}
	full := announcement(Ready)
	full.Address = netip.MustParseAddrPort("192.0.2.3:1")
	_, err = Announce(t.Context(), http.DefaultClient, addressOf(ts), full)
	checkRemote(t, "limit of targets", err, http.StatusInsufficientStorage, CodeFull)
	if err := Leave(t.Context(), http.DefaultClient, addressOf(ts), announcement("")); err != nil || len(r.Targets()) != 1 {
		t.Errorf("leave: got %v, %d targets, want 1", err, len(r.Targets()))
	}
}

func checkRemote(t *testing.T, name string, err error, status int, code string) {
	t.Helper()
	var re *RemoteError
	if !errors.As(err, &re) || re.Status != status || re.Code != code {
		t.Errorf("%s: got %v (%+v), want status %d, code %s", name, err, re, status, code)
	}
}

// Guards against a single client that overloads an entry VM with announcements.
func TestRateLimit(t *testing.T) {
	ts, s := server(t, newRegistry(t, "a", "a"))
	s.PerClient, s.Burst = 0.001, 2
	for range 2 {
		if _, err := Announce(t.Context(), http.DefaultClient, addressOf(ts), announcement(Ready)); err != nil {
			t.Errorf("within the burst: got %v", err)
		}
	}
	_, err := Announce(t.Context(), http.DefaultClient, addressOf(ts), announcement(Ready))
	checkRemote(t, "above the rate", err, http.StatusTooManyRequests, CodeTooMany)
}

// Guards against announcements that do not reach the owner, errors of the owner
// that do not reach the target, and requests that two VMs forward to each other
// in a loop.
func TestForward(t *testing.T) {
	owner := newRegistry(t, "b", "b")
	tsOwner, sOwner := server(t, owner)
	member := fleet.VM{ID: "b", HTTP: addressOf(tsOwner)}
	ts, _ := server(t, newRegistry(t, "a", "b"), member)
	sOwner.Members = func() []fleet.VM { return []fleet.VM{{ID: "a", HTTP: addressOf(ts)}, member} }
	grant, err := Announce(t.Context(), http.DefaultClient, addressOf(ts), announcement(Ready))
	if err != nil || grant.Owner != "b" || len(owner.Targets()) != 1 {
		t.Errorf("got %+v, %v, %d targets at the owner, want owner b and 1", grant, err, len(owner.Targets()))
	}
	_, err = Announce(t.Context(), http.DefaultClient, addressOf(ts), announcement(Cold))
	if err != nil {
		t.Errorf("second announcement: got %v", err)
	}
	drained := announcement(Draining)
	Announce(t.Context(), http.DefaultClient, addressOf(ts), drained)
	_, err = Announce(t.Context(), http.DefaultClient, addressOf(ts), announcement(Ready))
	checkRemote(t, "error of the owner", err, http.StatusConflict, CodeTransition)
	owner.Owner = func(*fleet.View, fleet.TargetKey) fleet.VMID { return "a" }
	if _, err := Announce(t.Context(), http.DefaultClient, addressOf(ts), drained); err != nil {
		t.Errorf("views that differ: got %v, want the receiver to accept the announcement", err)
	}
	tsOwner.Close()
	_, err = Announce(t.Context(), http.DefaultClient, addressOf(ts), drained)
	checkRemote(t, "owner gone", err, http.StatusServiceUnavailable, CodeNoOwner)
}

// Guards against panics and against invalid announcements that Decode accepts.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Service":"a/b","Address":"192.0.2.1:1","Slots":1,"ConnectionLimit":1,"State":"Ready","Credential":"x"}`), false)
	f.Add([]byte(`{"Service":"a/b","Address":"192.0.2.1:1","Credential":"x"}`), true)
	f.Fuzz(func(t *testing.T, body []byte, leave bool) {
		a, err := Decode(body, leave)
		if err == nil && a.Validate() != nil {
			t.Errorf("got %+v, which is invalid", a)
		}
	})
}

// Guards against a target whose slots count twice because two VMs registered it
// as new at the same time and each assigned an incarnation.
func TestTwoIncarnations(t *testing.T) {
	target := func(n fleet.Incarnation) fleet.Target {
		return fleet.Target{ID: fleet.TargetID{Service: service, Address: address, Incarnation: n}, Zone: "Monza", Slots: 3, ConnectionLimit: 9, State: fleet.TargetReady}
	}
	r := newRegistry(t, "a", "a", target(1))
	if got := r.Targets(); len(got) != 1 {
		t.Fatalf("targets: got %v, want one", got)
	}
	v := &fleet.View{Zone: "Monza", Targets: []fleet.Target{target(1), target(2)}}
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	if !r.SetView(v, start) {
		t.Error("SetView: got false, want a dropped target")
	}
	if got := r.Targets(); len(got) != 1 || got[0].ID.Incarnation != 2 {
		t.Errorf("targets: got %v, want the second incarnation only", got)
	}
}

// Guards against a target whose announcements are rejected because its owner
// changed while its health checks failed, and against a renewal that makes an
// unhealthy target ready.
func TestUnhealthyTarget(t *testing.T) {
	now := start
	first, second := newRegistry(t, "a", "a"), newRegistry(t, "b", "b")
	a := announcement(Ready)
	if _, _, err := first.Announce(a, now); err != nil {
		t.Fatal(err)
	}
	if !first.SetUnhealthy(a.id(), true) {
		t.Error("SetUnhealthy: got no change, want one")
	}
	if _, _, err := first.Announce(a, now); err != nil {
		t.Errorf("renewal of an unhealthy target: got %v, want no error", err)
	}
	targets := first.Targets()
	if len(targets) != 1 || targets[0].State != fleet.TargetDraining {
		t.Fatalf("targets: got %+v, want one draining target", targets)
	}
	v := &fleet.View{Zone: "Monza", Targets: targets}
	if err := v.Freeze(); err != nil {
		t.Fatal(err)
	}
	second.SetView(v, now)
	if _, _, err := second.Announce(a, now); err != nil {
		t.Errorf("announcement to the next owner: got %v, want no error", err)
	}
	if got := second.Targets(); len(got) != 1 || got[0].State != fleet.TargetReady {
		t.Errorf("targets of the next owner: got %+v, want one ready target", got)
	}
}

// Guards against a late leave or announcement of a target from before its restart that
// ends or replaces the process that runs now.
func TestLateCallsOfEarlierIncarnation(t *testing.T) {
	call := func(i fleet.Incarnation) *Announcement {
		a := announcement(Ready)
		a.Incarnation = i
		return a
	}
	r := newRegistry(t, "a", "a")
	for _, i := range []fleet.Incarnation{5, 6} {
		if _, _, err := r.Announce(call(i), start); err != nil {
			t.Fatal(err)
		}
	}
	var stale *StaleError
	if err := r.Leave(call(5)); !errors.As(err, &stale) {
		t.Errorf("leave of incarnation 5: got %v, want StaleError", err)
	}
	if _, _, err := r.Announce(call(5), start); !errors.As(err, &stale) {
		t.Errorf("announcement of incarnation 5: got %v, want StaleError", err)
	}
	if targets := r.Targets(); len(targets) != 1 || targets[0].ID.Incarnation != 6 {
		t.Errorf("targets: got %+v, want incarnation 6", targets)
	}
	if err := r.Leave(call(6)); err != nil || len(r.Targets()) != 0 {
		t.Errorf("leave of incarnation 6: got %v and %+v, want none", err, r.Targets())
	}
}
