package probe

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const key = fleet.TargetKey(7)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an Evaluator that follows a single late or wrong prober, makes
// most targets unhealthy at once, or contradicts the owner's own observations.
// Each step is a round of reports with one letter per prober:
// h healthy, f failing, F failing like most targets of the prober, . no report.
// The letters u and a set whether the owner's start packets are unanswered or
// answered. The health after each step is g (healthy) or b (unhealthy).
func TestEvaluator(t *testing.T) {
	tests := []struct{ name, steps, want string }{
		{"healthy", "hhh hhh hhh", "g g g"},
		{"one failure does not count", "fff hhh fff hhh", "g g g g"},
		{"two failures of two probers", "ffh ffh ffh", "g b b"},
		{"one failing prober", "fhh fhh fhh", "g g g"},
		{"recovery", "fff fff hhh hhh", "g b b g"},
		{"stale reports", "fff fff ... ... ... ... ...", "g b b b b b g"},
		{"most targets fail at once", "FFF FFF FFF", "g g g"},
		{"the owner sees no answers", "hhhu hhh hhh", "b b b"},
		{"no answers and ignored reports", "FFFu FFF", "b b"},
		{"retry after the first delay", "hhhu hhha hhh hhh hhh hhh hhh", "b b b b b g g"},
	}
	for _, tt := range tests {
		e := &Evaluator{Interval: time.Second}
		now := start
		var got []string
		for _, step := range strings.Fields(tt.steps) {
			applyStep(e, step, now)
			health := "g"
			if unhealthy, _ := e.Unhealthy(key, now); unhealthy {
				health = "b"
			}
			got = append(got, health)
			now = now.Add(time.Second)
		}
		if got := strings.Join(got, " "); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

func applyStep(e *Evaluator, step string, now time.Time) {
	for i, c := range step {
		from := fleet.VMID("prober-" + string(rune('0'+i)))
		switch c {
		case 'h':
			e.RecordReport(from, Report{Target: key, Healthy: true, Probed: 8, Failing: 1}, now)
		case 'f':
			e.RecordReport(from, Report{Target: key, Probed: 8, Failing: 1}, now)
		case 'F':
			e.RecordReport(from, Report{Target: key, Probed: 8, Failing: 7}, now)
		case 'u':
			e.SetUnresponsive(key, true)
		case 'a':
			e.SetUnresponsive(key, false)
		}
	}
}

// Guards against targets that no VM probes or that all VMs of the zone probe.
func TestProbersOfTarget(t *testing.T) {
	id := fleet.TargetID{Service: "Lutto/Counter", Address: netip.MustParseAddrPort("192.0.2.1:80"), Incarnation: 1}
	endpoints := map[fleet.ServiceID]Endpoint{"Lutto/Counter": {HealthPath: "/", Interval: time.Second, Timeout: time.Second}}
	members := []fleet.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "f"}}
	probers := 0
	for i, vm := range members {
		v := &fleet.View{Zone: "Monza", Members: append([]fleet.VM(nil), members...), Targets: []fleet.Target{{ID: id, Zone: "Monza", Slots: 3, ConnectionLimit: 10, State: fleet.TargetReady}}}
		if err := v.Freeze(); err != nil {
			t.Fatal(err)
		}
		p := Prober{Self: vm.ID, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		p.SetView(v, endpoints, start)
		due := p.Due(start.Add(time.Second))
		if len(due) == 1 && due[0].Owner != "" && len(p.Due(start.Add(time.Second))) == 0 {
			probers++
		}
	}
	if probers != ProbersPerTarget {
		t.Errorf("got %d VMs that probe the target once, want %d", probers, ProbersPerTarget)
	}
}

// Guards against a health endpoint that blocks the prober because it hangs, or
// counts as healthy although it hangs or fails. Also guards against a load that
// is read from malformed JSON or from an unhealthy target.
func TestDo(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hang":
			<-release
		case "/fail":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/load":
			_, _ = w.Write([]byte(`{"SlotsInUse": 2}`))
		case "/malformed":
			_, _ = w.Write([]byte(strings.Repeat("x", 2*maxBodySize)))
		}
	}))
	defer server.Close()
	defer close(release)
	id := fleet.TargetID{Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	tests := []struct {
		health, load     string
		healthy, hasLoad bool
	}{
		{"/ok", "/load", true, true},
		{"/ok", "/malformed", true, false},
		{"/fail", "/load", false, false},
		{"/hang", "/load", false, false},
		{"", "/load", true, true},
	}
	for _, tt := range tests {
		r := Do(context.Background(), server.Client(), Task{Target: id, Endpoint: Endpoint{HealthPath: tt.health, LoadPath: tt.load, Timeout: 200 * time.Millisecond}})
		if r.Healthy != tt.healthy || r.HasLoad != tt.hasLoad || tt.hasLoad && r.InFlight != 2 {
			t.Errorf("%s, %s: got %+v, want healthy %v, load %v", tt.health, tt.load, r, tt.healthy, tt.hasLoad)
		}
	}
}

// BenchmarkProbe measures one probe of health and load over HTTP, including the
// HTTP server, and the bytes of the probe's report.
func BenchmarkProbe(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = w.Write([]byte(`{"SlotsInUse": 2}`))
		}
	}))
	defer server.Close()
	id := fleet.TargetID{Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	task := Task{Target: id, Endpoint: Endpoint{HealthPath: "/health", LoadPath: "/load", Timeout: time.Second}}
	for b.Loop() {
		if r := Do(context.Background(), server.Client(), task); !r.Healthy || !r.HasLoad {
			b.Fatalf("got %+v, want a healthy target with its load", r)
		}
	}
	body, err := (&Report{Target: key, Healthy: true, HasLoad: true, InFlight: 2, Probed: 24}).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(body)), "report-bytes")
}

// Guards against a panic on a malformed report, and against a decoded report
// whose counts are inconsistent.
func FuzzDecodeReport(f *testing.F) {
	b, err := (&Report{Target: key, Probed: 8, Failing: 1}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := DecodeReport(b); err == nil && r.Validate() != nil {
			t.Errorf("got report %+v, want a valid one", r)
		}
	})
}
