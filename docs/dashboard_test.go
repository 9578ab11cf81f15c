package docs_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"slices"
	"testing"
)

var update = flag.Bool("update", false, "write deploy/dashboard.json")

const dashboardFile = "../deploy/dashboard.json"

type (
	// dashboardPanel is a plot of the dashboard: its title, its unit, and queries with
	// their legends.
	dashboardPanel struct {
		title, unit string
		queries     [][2]string
	}

	// The following types are those of a dashboard's JSON model, with the fields that
	// are used.
	dashboard struct {
		Title         string      `json:"title"`
		UID           string      `json:"uid"`
		SchemaVersion int         `json:"schemaVersion"`
		Refresh       string      `json:"refresh"`
		Time          timeRange   `json:"time"`
		Panels        []gridPanel `json:"panels"`
	}

	timeRange struct {
		From string `json:"from"`
		To   string `json:"to"`
	}

	gridPanel struct {
		ID          int         `json:"id"`
		Type        string      `json:"type"`
		Title       string      `json:"title"`
		GridPos     gridPos     `json:"gridPos"`
		FieldConfig fieldConfig `json:"fieldConfig"`
		Targets     []query     `json:"targets"`
	}

	gridPos struct {
		H int `json:"h"`
		W int `json:"w"`
		X int `json:"x"`
		Y int `json:"y"`
	}

	fieldConfig struct {
		Defaults struct {
			Unit string `json:"unit"`
		} `json:"defaults"`
	}

	query struct {
		RefID        string `json:"refId"`
		Expr         string `json:"expr"`
		LegendFormat string `json:"legendFormat"`
	}
)

// panels are those of the users' platform, what callers see first.
var panels = []dashboardPanel{
	{"Opening packets and other packets, by cause", "pps", [][2]string{{"sum by (cause) (rate(bamboowalk_steered_packets_total[1m]))", "{{cause}}"}}},
	{"Time to open a flow", "s", [][2]string{
		{"histogram_quantile(0.5, sum by (le) (rate(bamboowalk_flow_open_seconds_bucket[1m])))", "median"},
		{"histogram_quantile(0.99, sum by (le) (rate(bamboowalk_flow_open_seconds_bucket[1m])))", "99 %"},
	}},
	{"Time of a flow, 99 %", "s", [][2]string{{"histogram_quantile(0.99, sum by (le, kind) (rate(bamboowalk_flow_seconds_bucket{result=\"closed\"}[1m])))", "{{kind}}"}}},
	{"Flows that no target opened or that did not end", "cps", [][2]string{{"sum by (result) (rate(bamboowalk_flow_seconds_count{result!=\"closed\"}[1m]))", "{{result}}"}}},
	{"Targets by state at the hubs", "short", [][2]string{{"max by (state) (bamboowalk_registered_targets)", "{{state}}"}}},
	{"Targets that entry VMs avoid", "short", [][2]string{
		{"max(bamboowalk_shared_doubts)", "do not answer several VMs"},
		{"max(bamboowalk_shared_overdue)", "overdue at several VMs"},
	}},
	{"Catalog in force at entry VMs", "short", [][2]string{{"min(bamboowalk_catalog_number)", "lowest"}, {"max(bamboowalk_catalog_number)", "highest"}}},
	{"Age of the feed at entry VMs", "s", [][2]string{{"max(bamboowalk_feed_age_seconds)", "oldest"}}},
	{"Feeds begun a second", "cps", [][2]string{{"sum(rate(bamboowalk_feeds_total[1m]))", "feeds"}}},
	{"Hubs with a majority, and all", "short", [][2]string{{"sum(bamboowalk_hub_current)", "current"}, {"max(bamboowalk_hubs)", "in the log"}}},
	{"Voters of the log", "short", [][2]string{
		{"max(bamboowalk_replica_voters)", "voters"},
		{"max(bamboowalk_replica_silent_voters)", "silent"},
		{"min(bamboowalk_replica_spare_voters)", "may still be lost"},
		{"max(bamboowalk_replica_tolerance)", "tolerance"},
	}},
	{"Hubs without a leader", "s", [][2]string{
		{"max(bamboowalk_replica_leader_unknown_seconds)", "longest"},
		{"min(bamboowalk_replica_leader_unknown_seconds)", "all"},
	}},
	{"Calls of targets and operators, 99 %", "s", [][2]string{{"histogram_quantile(0.99, sum by (le, call) (rate(bamboowalk_call_seconds_bucket[1m])))", "{{call}}"}}},
	{"Connections of a hub", "short", [][2]string{
		{"max(bamboowalk_http_connections)", "HTTP, most"},
		{"max by (role) (bamboowalk_feed_subscribers)", "feed, {{role}}"},
		{"sum(rate(bamboowalk_http_connections_refused_total[1m]))", "refused a second"},
	}},
}

// Guards against a dashboard that differs from its list of panels, or shows metrics
// that do not exist.
func TestDashboard(t *testing.T) {
	names := described(t)
	d := dashboard{Title: "bamboowalk", UID: "bamboowalk", SchemaVersion: 39, Refresh: "10s", Time: timeRange{"now-30m", "now"}}
	for i, p := range panels {
		g := gridPanel{ID: i + 1, Type: "timeseries", Title: p.title, GridPos: gridPos{H: 8, W: 12, X: i % 2 * 12, Y: i / 2 * 8}}
		g.FieldConfig.Defaults.Unit = p.unit
		for n, q := range p.queries {
			g.Targets = append(g.Targets, query{RefID: string(rune('A' + n)), Expr: q[0], LegendFormat: q[1]})
			used := metricName.FindAllString(q[0], -1)
			if len(used) == 0 {
				t.Errorf("%s: got no metric", p.title)
			}
			for _, m := range used {
				if m = histogramOf(m, names); !slices.Contains(names, m) {
					t.Errorf("%s: metric %s does not exist", p.title, m)
				}
			}
		}
		d.Panels = append(d.Panels, g)
	}
	want, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	want = append(want, '\n')
	if *update {
		if err := os.WriteFile(dashboardFile, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(dashboardFile)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs from the panels; run go test ./docs -run Dashboard -update", dashboardFile)
	}
}
