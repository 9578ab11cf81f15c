package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

var (
	receivedDesc = prometheus.NewDesc("bamboowalk_received_datagrams_total",
		"Valid datagrams received, by source.", []string{"source"}, nil)
	sentDesc = prometheus.NewDesc("bamboowalk_sent_datagrams_total",
		"Datagrams sent, by operation.", []string{"operation"}, nil)
	discardedDesc = prometheus.NewDesc("bamboowalk_discarded_datagrams_total",
		"Datagrams that the adapter discarded, by reason.", []string{"reason"}, nil)
	refusedDesc = prometheus.NewDesc("bamboowalk_refused_total",
		"Refusals sent, by cause.", []string{"cause"}, nil)
	droppedDesc = prometheus.NewDesc("bamboowalk_dropped_total",
		"Packets that the core dropped, by cause.", []string{"cause"}, nil)
	flowEventsDesc = prometheus.NewDesc("bamboowalk_flow_events_total",
		"Flows that were adopted, moved, offered, returned or passed to another zone.", []string{"event"}, nil)
	flowsDesc   = prometheus.NewDesc("bamboowalk_flows", "Flows in the table.", nil, nil)
	heldDesc    = prometheus.NewDesc("bamboowalk_held_packets", "Packets held in queues.", nil, nil)
	epochDesc   = prometheus.NewDesc("bamboowalk_epoch", "Epoch of the view in force.", nil, nil)
	targetsDesc = prometheus.NewDesc("bamboowalk_targets", "Targets of the view in force.", nil, nil)
	healthyDesc = prometheus.NewDesc("bamboowalk_healthy", "1 while the fabric may send packets here.", nil, nil)
)

// collector reads the counters of a daemon. All labels come from bounded sets.
type collector struct{ daemon *Daemon }

var _ prometheus.Collector = (*collector)(nil)

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		receivedDesc, sentDesc, discardedDesc, refusedDesc, droppedDesc, flowEventsDesc,
		flowsDesc, heldDesc, epochDesc, targetsDesc, healthyDesc,
	} {
		ch <- d
	}
}

// Collect sends the present values.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.datagrams(ch)
	c.decisions(ch)
	gauge := func(d *prometheus.Desc, v float64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	healthy := 0.0
	if c.daemon.unhealthy(time.Now()) == "" {
		healthy = 1
	}
	gauge(healthyDesc, healthy)
	if v := c.daemon.view.Load(); v != nil {
		gauge(epochDesc, float64(v.Epoch))
		gauge(targetsDesc, float64(len(v.Targets)))
	}
}

func count(ch chan<- prometheus.Metric, d *prometheus.Desc, n uint64, label string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), label)
}

func (c *collector) datagrams(ch chan<- prometheus.Metric) {
	n := c.daemon.adapter.Counters
	count(ch, receivedDesc, n.FromFabric.Load(), "fabric")
	count(ch, receivedDesc, n.FromPeer.Load(), "peer")
	count(ch, receivedDesc, n.FromTarget.Load(), "target")
	count(ch, sentDesc, n.Forwarded.Load(), "forward")
	count(ch, sentDesc, n.Passed.Load(), "pass")
	count(ch, sentDesc, n.Replied.Load(), "reply")
	count(ch, sentDesc, n.Refused.Load(), "refuse")
	count(ch, sentDesc, n.Cancelled.Load(), "cancel")
	count(ch, sentDesc, n.Messages.Load(), "message")
	for reason, v := range n.Discarded() {
		count(ch, discardedDesc, v, string(reason))
	}
}

// decisions sums the counters of the shards.
func (c *collector) decisions(ch chan<- prometheus.Metric) {
	refused, dropped := make(map[string]uint64), make(map[string]uint64)
	events := make(map[string]uint64)
	flows, held := 0, 0
	for _, s := range c.daemon.shards {
		stats := s.stats.Load()
		for cause, n := range stats.Refused {
			refused[string(cause)] += n
		}
		for cause, n := range stats.Dropped {
			dropped[string(cause)] += n
		}
		events["adopted"] += stats.Adopted
		events["moved"] += stats.Moved
		events["offered"] += stats.Offered
		events["returned"] += stats.Returned
		events["overflowed"] += stats.Overflowed
		events["retried"] += stats.Retried
		flows += stats.Flows
		held += stats.Held
	}
	countAll(ch, refusedDesc, refused)
	countAll(ch, droppedDesc, dropped)
	countAll(ch, flowEventsDesc, events)
	ch <- prometheus.MustNewConstMetric(flowsDesc, prometheus.GaugeValue, float64(flows))
	ch <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(held))
}

func countAll(ch chan<- prometheus.Metric, d *prometheus.Desc, counts map[string]uint64) {
	for label, n := range counts {
		count(ch, d, n, label)
	}
}
