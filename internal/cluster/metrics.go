package cluster

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/internal/peer"
	"bamboowalk.org/bamboowalk/pkg/lease"
	"bamboowalk.org/bamboowalk/pkg/membership"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

// statsTimeout is the maximum time that a scrape waits for the protocol
// goroutine.
const statsTimeout = 500 * time.Millisecond

var (
	controlBytesDesc = newDesc("control_bytes_total",
		"Bytes of control datagrams, by channel and direction.", "channel", "direction")
	controlFramesDesc = newDesc("control_datagrams_total",
		"Control datagrams, by channel and direction.", "channel", "direction")
	controlDiscardedDesc = newDesc("control_discarded_datagrams_total",
		"Control datagrams that were not received or sent, by reason.", "reason")
	pullsRejectedDesc = newDesc("pull_connections_rejected_total",
		"Connections to the control port that brought no valid pull of settings.")
	leaseEventsDesc      = newDesc("lease_events_total", "Events of views and leases.", "event")
	membershipEventsDesc = newDesc("membership_events_total", "Events of the failure detection.", "event")
	spreadEventsDesc     = newDesc("spread_events_total", "Events of the settings distribution.", "event")
	liveDesc             = newDesc("live_members", "VMs of the zone that are alive or suspected, with this one.")
	connectedDesc        = newDesc("council_connected", "1 while a majority of the council answers.")
	votingDesc           = newDesc("council_voting", "1 while this VM votes in the council of its zone.")
	proposerDesc         = newDesc("proposer", "1 while this VM is the first to propose views.")
)

// machineStats is a snapshot of the statistics of the state machines.
type machineStats struct {
	lease                       lease.Stats
	membership                  membership.Stats
	spread                      spread.Stats
	connected, voting, proposer bool
}

var _ prometheus.Collector = (*Cluster)(nil)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("bamboowalk_"+name, help, labels, nil)
}

// Descriptions returns the descriptions of the metrics of a Cluster.
func Descriptions() []*prometheus.Desc {
	return []*prometheus.Desc{
		controlBytesDesc, controlFramesDesc, controlDiscardedDesc, pullsRejectedDesc, leaseEventsDesc, membershipEventsDesc,
		spreadEventsDesc, liveDesc, connectedDesc, votingDesc, proposerDesc,
	}
}

// Describe sends the descriptions of all metrics.
func (c *Cluster) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range Descriptions() {
		ch <- d
	}
}

// Collect sends the current values. If the protocol goroutine has stopped or
// does not answer within statsTimeout, Collect sends only the counters of the
// control port.
func (c *Cluster) Collect(ch chan<- prometheus.Metric) {
	c.collectSocket(ch)
	r, ok := c.readStats()
	if !ok {
		return
	}
	sendCounters(ch, leaseEventsDesc, leaseEvents(&r.lease))
	sendCounters(ch, membershipEventsDesc, membershipEvents(&r.membership))
	sendCounters(ch, spreadEventsDesc, spreadEvents(&r.spread))
	sendGauge(ch, liveDesc, float64(r.membership.Members))
	sendGauge(ch, connectedDesc, boolToFloat(r.connected))
	sendGauge(ch, votingDesc, boolToFloat(r.voting))
	sendGauge(ch, proposerDesc, boolToFloat(r.proposer))
}

func (c *Cluster) collectSocket(ch chan<- prometheus.Metric) {
	count := func(d *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	for _, channel := range peer.Channels() {
		n := c.Socket.Counters(channel)
		count(controlBytesDesc, n.SentBytes.Load(), channel.String(), "sent")
		count(controlBytesDesc, n.ReceivedBytes.Load(), channel.String(), "received")
		count(controlFramesDesc, n.SentFrames.Load(), channel.String(), "sent")
		count(controlFramesDesc, n.ReceivedFrames.Load(), channel.String(), "received")
	}
	invalid, failed, tooLarge := c.Socket.Discarded()
	count(controlDiscardedDesc, invalid, "invalid")
	count(controlDiscardedDesc, failed, "failed")
	count(controlDiscardedDesc, tooLarge, "too_large")
	count(pullsRejectedDesc, c.server.RejectedConns())
}

// readStats requests a snapshot from the protocol goroutine. It returns false
// if that goroutine has stopped or does not answer within statsTimeout.
func (c *Cluster) readStats() (machineStats, bool) {
	result := make(chan machineStats, 1)
	c.tryEnqueue(func(now time.Time) {
		result <- machineStats{
			lease: c.leases.Stats(), membership: c.members.Stats(), spread: c.spread.Stats(),
			connected: c.leases.Connected(now), voting: c.leases.Voting(), proposer: c.leases.Proposer(),
		}
	})
	timeout := time.NewTimer(statsTimeout)
	defer timeout.Stop()
	select {
	case r := <-result:
		return r, true
	case <-c.stopped:
	case <-timeout.C:
	}
	return machineStats{}, false
}

func leaseEvents(s *lease.Stats) map[string]uint64 {
	return map[string]uint64{
		"view_adopted": s.Adopted, "sealed": s.SealedViews, "ballot_started": s.Ballots, "ballot_failed": s.BallotsFailed,
		"granted": s.Granted, "refused": s.Refused, "fetch_sent": s.Fetches, "chunk_sent": s.ChunksSent,
		"recovered": s.Recoveries, "formed": s.FirstViews, "lease_lost": s.LeasesLost,
		"stale_message": s.StaleMessages, "target_dropped": s.TargetsDropped,
	}
}

func membershipEvents(s *membership.Stats) map[string]uint64 {
	return map[string]uint64{
		"probe": s.Probes, "indirect_probe": s.IndirectProbes, "suspicion": s.Suspicions, "refutation": s.Refutations,
		"self_refutation": s.SelfRefutations, "death": s.Deaths, "hold_down": s.HoldDowns,
		"invalid_transition": s.InvalidTransitions, "conflict": s.Conflicts, "stall": s.Stalls, "digest": s.Digests,
	}
}

func spreadEvents(s *spread.Stats) map[string]uint64 {
	return map[string]uint64{
		"hint_sent": s.HintsSent, "pull_sent": s.PullsSent, "delta_sent": s.DeltasSent, "delta_applied": s.Applied,
		"delta_stale": s.Stale, "delta_rejected": s.Rejected, "pull_timeout": s.PullTimeouts,
	}
}

func sendCounters(ch chan<- prometheus.Metric, d *prometheus.Desc, counts map[string]uint64) {
	for label, n := range counts {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), label)
	}
}

func sendGauge(ch chan<- prometheus.Metric, d *prometheus.Desc, v float64) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
