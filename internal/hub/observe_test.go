package hub

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// namesOf returns the hubs with the given indexes as the log names them, sorted.
func (c *cluster) namesOf(indexes ...int) string {
	var names []string
	for _, i := range indexes {
		names = append(names, string(IDOf(c.address(i))))
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}

// Guards against lines that name the hubs of the log without their roles, and a
// replacement that the leader makes without a line: whether a hub counts for a majority,
// and since when, would not be known afterwards.
func TestMembersInLog(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	c := newCluster(t, 3)
	c.log = zap.New(core)
	c.startAll(true)
	c.put(1, 0, 1, 2)
	c.start(3, false)
	changes := []string{"Admitted", "Promoted"}
	hubs := []string{
		c.namesOf(0, 1, 2) + " []", c.namesOf(0, 1, 2) + " " + c.namesOf(3), c.namesOf(0, 1, 2, 3) + " []",
	}
	c.eventually("lines about the members", func() error {
		var seen []string
		for _, line := range lines.FilterMessage("leader changes a member of the log").All() {
			if f := line.ContextMap(); f["Member"] == string(IDOf(c.address(3))) {
				seen = append(seen, f["Cause"].(string))
			}
		}
		for _, line := range lines.FilterMessage("hubs of the log changed").All() {
			f := line.ContextMap()
			voters := slices.Sorted(slices.Values(f["Voters"].([]fleet.VMID)))
			seen = append(seen, fmt.Sprint(voters, f["Learners"].([]fleet.VMID)))
		}
		for _, want := range slices.Concat(changes, hubs) {
			if !slices.Contains(seen, want) {
				return fmt.Errorf("got %v, want also %s", seen, want)
			}
		}
		return nil
	})
}

// Guards against a hub that serves no metrics of its replica or of its transport, and one
// that does not lead and tells how many voters may be lost, which it does not know.
func TestReplicationMetrics(t *testing.T) {
	c := newCluster(t, 3)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.metrics = uint16(l.Addr().(*net.TCPAddr).Port)
	l.Close()
	c.startAll(true)
	c.put(1, 0, 1, 2)
	c.eventually("metrics of the hubs", func() error {
		leaders := 0
		for i := range c.hubs {
			text, err := c.scrape(i)
			if err != nil {
				return err
			}
			if strings.Contains(text, "bamboowalk_replica_spare_voters 1\n") {
				leaders++
			}
			for _, want := range []string{
				"bamboowalk_replica_voters 3\n", "bamboowalk_replica_learners 0\n", "bamboowalk_replica_tolerance 1\n",
				"bamboowalk_replica_leader_unknown_seconds 0\n", `bamboowalk_replica_transport_messages_total{result="sent"} `,
			} {
				if !strings.Contains(text, want) {
					return fmt.Errorf("hub %d: got no %s", i, want)
				}
			}
			if strings.Contains(text, `bamboowalk_replica_transport_messages_total{result="sent"} 0`) {
				return fmt.Errorf("hub %d: got no messages sent", i)
			}
		}
		if leaders != 1 {
			return fmt.Errorf("got %d hubs that know how many voters may be lost, want 1", leaders)
		}
		return nil
	})
}

// scrape returns the metrics of hub i.
func (c *cluster) scrape(i int) (string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + c.metricsAddress(i).String() + "/metrics")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
