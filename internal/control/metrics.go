package control

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/internal/replication"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

var (
	revisionDesc   = newDesc("settings_revision", "Revision of the settings.")
	deltasSentDesc = newDesc("spread_deltas_sent_total", "Deltas sent to entry VMs.")
	hintsSentDesc  = newDesc("spread_hints_sent_total", "Hints sent to entry VMs.")
)

// Descriptions returns the descriptions of the metrics of a control daemon.
func Descriptions() []*prometheus.Desc {
	return append(replication.Descriptions(), revisionDesc, deltasSentDesc, hintsSentDesc)
}

// collector exports the revision of the settings and the numbers of deltas and
// hints sent. It reads the current values at each scrape.
type collector struct {
	// loop returns the loop of the replica, or nil if there is none.
	loop func() *loop
}

var _ prometheus.Collector = (*collector)(nil)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("bamboowalk_"+name, help, labels, nil)
}

// Describe sends no descriptions, which makes the collector unchecked.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values, or none while the replica is down.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	var spreadStats spread.Stats
	var revision float64
	l := c.loop()
	if l == nil {
		return
	}
	err := l.Do(context.Background(), func(time.Time) {
		spreadStats, revision = l.spreadNode.Stats(), float64(l.machine.Revision())
	})
	if err != nil {
		return
	}
	ch <- prometheus.MustNewConstMetric(revisionDesc, prometheus.GaugeValue, revision)
	ch <- prometheus.MustNewConstMetric(deltasSentDesc, prometheus.CounterValue, float64(spreadStats.DeltasSent))
	ch <- prometheus.MustNewConstMetric(hintsSentDesc, prometheus.CounterValue, float64(spreadStats.HintsSent))
}
