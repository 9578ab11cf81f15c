package control

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/pkg/replica"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

var (
	roleDesc      = newDesc("replica_role", "1 for the present role of the replica.", "role")
	termDesc      = newDesc("replica_term", "Present term.")
	commitDesc    = newDesc("replica_commit_index", "Index of the last committed entry.")
	appliedDesc   = newDesc("replica_applied_index", "Index of the last applied entry.")
	revisionDesc  = newDesc("settings_revision", "Revision of the settings.")
	electionsDesc = newDesc("replica_elections_total", "Elections that this replica started.")
	syncsDesc     = newDesc("replica_syncs_total", "Syncs of the write-ahead log.")
	proposalsDesc = newDesc("replica_proposals_total", "Writes proposed at this replica.")
	snapshotsDesc = newDesc("replica_snapshots_total", "Snapshots written.")
	walDesc       = newDesc("replica_segment_bytes", "Size of the write-ahead log in bytes.")
	pushesDesc    = newDesc("spread_deltas_sent_total", "Deltas sent to entry VMs.")
	hintsDesc     = newDesc("spread_hints_sent_total", "Hints sent to entry VMs.")
)

// Descriptions returns the descriptions of the metrics of a control daemon.
func Descriptions() []*prometheus.Desc {
	return []*prometheus.Desc{
		roleDesc, termDesc, commitDesc, appliedDesc, revisionDesc, electionsDesc, syncsDesc,
		proposalsDesc, snapshotsDesc, walDesc, pushesDesc, hintsDesc,
	}
}

// collector reads the replica's counters at each scrape.
type collector struct {
	loop *loop
}

var _ prometheus.Collector = (*collector)(nil)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("bamboowalk_"+name, help, labels, nil)
}

// Describe sends no descriptions, since the collector is unchecked.
func (c *collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the present values; it sends none once the daemon has stopped.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	var stats replica.Stats
	var source spread.Stats
	var revision float64
	err := c.loop.Ask(context.Background(), func(time.Time) {
		stats, source, revision = c.loop.Replica.Stats(), c.loop.source.Stats(), float64(c.loop.machine.Revision())
	})
	if err != nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v))
	}
	gauge(roleDesc, 1, stats.Role)
	gauge(termDesc, float64(stats.Term))
	gauge(commitDesc, float64(stats.Commit))
	gauge(appliedDesc, float64(stats.Applied))
	gauge(revisionDesc, revision)
	gauge(walDesc, float64(stats.SegmentBytes))
	counter(electionsDesc, stats.Elections)
	counter(syncsDesc, stats.Syncs)
	counter(proposalsDesc, stats.Proposals)
	counter(snapshotsDesc, stats.Snapshots)
	counter(pushesDesc, source.Pushes)
	counter(hintsDesc, source.Hints)
}
