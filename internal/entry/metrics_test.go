package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"bamboowalk.org/bamboowalk/internal/geneve"
	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// newIdleDaemon returns a daemon with two shards that is not running.
func newIdleDaemon(t *testing.T) *Daemon {
	t.Helper()
	s, err := Parse("test.toml", minimalSettings)
	if err != nil {
		t.Fatal(err)
	}
	return &Daemon{
		Settings: s,
		adapter:  &geneve.Adapter{Counters: geneve.NewCounters()},
		shards:   []*shard{newShard(nil), newShard(nil)},
	}
}

// Guards against counters that omit a shard, and against gauges that do not
// match the view or the lease.
func TestCollector(t *testing.T) {
	d := newIdleDaemon(t)
	stats := balancer.Stats{
		Packets: 10, Forwarded: 4, Replies: 3,
		Passed:  map[balancer.Mode]uint64{balancer.Overflow: 2},
		Refused: map[balancer.Cause]uint64{balancer.CauseNoSlot: 5},
		Dropped: map[balancer.Cause]uint64{balancer.CauseUnsealed: 6},
		Adopted: 7, Overflowed: 8, ControlMessages: 1, ControlBytes: 100, Transitions: 9, Outbox: 11, Replicas: 12,
	}
	for _, s := range d.shards {
		s.stats.Store(&stats)
	}
	d.view.Store(&fleet.View{
		Zone: "Monza", Epoch: 21, Sealed: true, Revision: 22, Members: make([]fleet.VM, 3),
		Targets: []fleet.Target{{State: fleet.TargetDraining}, {State: fleet.TargetReady}, {State: fleet.TargetReady}},
		Zones:   []fleet.Zone{{ID: "Monza"}, {ID: "Lecco"}, {ID: "Como", Reachable: true}},
	})
	d.leaving.Store(true)
	c := &collector{daemon: d}
	got := collectText(t, c)
	for _, want := range []string{
		`bamboowalk_decided_packets_total{result="handled"} 20`,
		`bamboowalk_decided_packets_total{result="forwarded"} 8`,
		`bamboowalk_decided_packets_total{result="replied"} 6`,
		`bamboowalk_passed_packets_total{mode="Overflow"} 4`,
		`bamboowalk_passed_packets_total{mode="Ask"} 0`,
		`bamboowalk_refused_total{cause="NoSlot"} 10`,
		`bamboowalk_dropped_total{cause="Unsealed"} 12`,
		`bamboowalk_dropped_total{cause="UnknownResult"} 0`,
		`bamboowalk_flow_events_total{event="adopted"} 14`,
		`bamboowalk_flow_events_total{event="overflowed"} 16`,
		`bamboowalk_core_faults_total{fault="transition"} 18`,
		`bamboowalk_record_messages_total 2`,
		`bamboowalk_record_bytes_total 200`,
		`bamboowalk_record_outbox_messages 22`,
		`bamboowalk_replicated_exceptions 24`,
		`bamboowalk_epoch 21`,
		`bamboowalk_epoch_sealed 1`,
		`bamboowalk_settings_revision_in_force 22`,
		`bamboowalk_members 3`,
		`bamboowalk_targets 3`,
		`bamboowalk_targets_by_state{state="Draining"} 1`,
		`bamboowalk_targets_by_state{state="Ready"} 2`,
		`bamboowalk_unreachable_zones 1`,
		`bamboowalk_lease_held 0`,
		`bamboowalk_leaving 1`,
		`bamboowalk_healthy 0`,
	} {
		if !slices.Contains(got, want) {
			t.Errorf("got no %q", want)
		}
	}
	d.storeLease(time.Now().Add(time.Hour))
	if want := `bamboowalk_lease_held 1`; !slices.Contains(collectText(t, c), want) {
		t.Errorf("with a lease: got no %q", want)
	}
	problems, err := testutil.CollectAndLint(c)
	if err != nil || len(problems) > 0 {
		t.Errorf("lint: got %v, %v, want nothing", problems, err)
	}
}

// collectText returns the samples of a collector as lines of the text format.
func collectText(t *testing.T, c *collector) []string {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(c)
	w := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusOK {
		t.Fatalf("got status %d: %s", w.Code, w.Body)
	}
	return strings.Split(w.Body.String(), "\n")
}

// Guards against a cause or mode of the core that is missing from the metrics
// or from the metrics page.
func TestMetricLabels(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for label := range newTotals().refused {
		if !strings.Contains(string(page), "\n| `"+label+"` |") {
			t.Errorf("metrics page: got no row for the cause %s", label)
		}
	}
	for label := range newTotals().passed {
		if !strings.Contains(string(page), "`"+label+"`") {
			t.Errorf("metrics page: got no mode %s", label)
		}
	}
	if got, want := len(causes), len(constantNames(t, "../../pkg/balancer/stats.go", "Cause")); got != want || got == 0 {
		t.Errorf("got %d causes, want %d", got, want)
	}
	if got, want := len(modes), len(constantNames(t, "../../pkg/balancer/packet.go", "Mode")); got != want || got == 0 {
		t.Errorf("got %d modes, want %d", got, want)
	}
}

// constantNames returns the names of the constants of a type in a file. A
// constant without a type and a value has the type of the preceding constant.
func constantNames(t *testing.T, file, typ string) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, d := range f.Decls {
		decl, ok := d.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			continue
		}
		current := ""
		for _, s := range decl.Specs {
			spec := s.(*ast.ValueSpec)
			if len(spec.Values) > 0 {
				current = ""
			}
			if id, ok := spec.Type.(*ast.Ident); ok {
				current = id.Name
			}
			if current == typ {
				names = append(names, spec.Names[0].Name)
			}
		}
	}
	return names
}

// membershipWithMetrics is a Membership that also collects metrics.
type membershipWithMetrics struct {
	Membership
	prometheus.Collector
}

// Guards against metrics of a Membership that the daemon does not serve.
func TestMembershipMetrics(t *testing.T) {
	d := newIdleDaemon(t)
	d.Membership = membershipWithMetrics{Collector: prometheus.NewGauge(prometheus.GaugeOpts{Name: "bamboowalk_test", Help: "Test."})}
	w := httptest.NewRecorder()
	d.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{"bamboowalk_test 0\n", "bamboowalk_healthy 0\n"} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("got no %q", want)
		}
	}
}
