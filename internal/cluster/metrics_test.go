package cluster

import (
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/pkg/lease"
	"bamboowalk.org/bamboowalk/pkg/membership"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

// Guards against missing metrics of a running VM, and against a scrape that
// blocks before Run starts or after Run returns.
func TestMetrics(t *testing.T) {
	n := newNodes(t, 1)[0]
	socketOnly := testutil.CollectAndCount(n.Cluster)
	if want := 4*len(peer.Channels()) + 4; socketOnly != want {
		t.Errorf("before the start: got %d samples, want %d", socketOnly, want)
	}
	n.start(t)
	for _, tt := range []struct {
		name string
		want int
	}{
		{"bamboowalk_control_bytes_total", 2 * len(peer.Channels())},
		{"bamboowalk_control_datagrams_total", 2 * len(peer.Channels())},
		{"bamboowalk_control_discarded_datagrams_total", 3},
		{"bamboowalk_pull_connections_rejected_total", 1},
		{"bamboowalk_lease_events_total", 13},
		{"bamboowalk_membership_events_total", 11},
		{"bamboowalk_spread_events_total", 7},
		{"bamboowalk_live_members", 1},
		{"bamboowalk_council_connected", 1},
		{"bamboowalk_council_voting", 1},
		{"bamboowalk_proposer", 1},
	} {
		if got := testutil.CollectAndCount(n.Cluster, tt.name); got != tt.want {
			t.Errorf("%s: got %d samples, want %d", tt.name, got, tt.want)
		}
	}
	problems, err := testutil.CollectAndLint(n.Cluster)
	if err != nil || len(problems) > 0 {
		t.Errorf("lint: got %v, %v, want nothing", problems, err)
	}
	n.stop()
	if got := testutil.CollectAndCount(n.Cluster); got != socketOnly {
		t.Errorf("after the stop: got %d samples, want %d", got, socketOnly)
	}
}

// Guards against socket counters that are exported with the wrong channel or
// direction.
func TestChannelMetrics(t *testing.T) {
	n := newNodes(t, 1)[0]
	t.Cleanup(func() { n.Socket.Conn.Close(); n.PullListener.Close() })
	n.Socket.Counters(peer.Lease).SentBytes.Add(7)
	n.Socket.Counters(peer.Spread).ReceivedBytes.Add(9)
	want := `# HELP bamboowalk_control_bytes_total Bytes of control datagrams, by channel and direction.
# TYPE bamboowalk_control_bytes_total counter
bamboowalk_control_bytes_total{channel="Lease",direction="received"} 0
bamboowalk_control_bytes_total{channel="Lease",direction="sent"} 7
bamboowalk_control_bytes_total{channel="Membership",direction="received"} 0
bamboowalk_control_bytes_total{channel="Membership",direction="sent"} 0
bamboowalk_control_bytes_total{channel="Probe",direction="received"} 0
bamboowalk_control_bytes_total{channel="Probe",direction="sent"} 0
bamboowalk_control_bytes_total{channel="Spread",direction="received"} 9
bamboowalk_control_bytes_total{channel="Spread",direction="sent"} 0
`
	if err := testutil.CollectAndCompare(n.Cluster, strings.NewReader(want), "bamboowalk_control_bytes_total"); err != nil {
		t.Error(err)
	}
}

// Guards against event labels that are missing from the metrics page.
func TestEventLabels(t *testing.T) {
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	events := leaseEvents(&lease.Stats{})
	maps.Copy(events, membershipEvents(&membership.Stats{}))
	maps.Copy(events, spreadEvents(&spread.Stats{}))
	for label := range events {
		if !strings.Contains(string(page), "`"+label+"`") {
			t.Errorf("metrics page: got no event %s", label)
		}
	}
}
