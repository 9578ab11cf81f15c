package replication

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/pkg/replica"
)

var (
	roleDesc      = newDesc("role", "1 for the present role of the replica.", "role")
	termDesc      = newDesc("term", "Present term.")
	commitDesc    = newDesc("commit_index", "Index of the last committed entry.")
	appliedDesc   = newDesc("applied_index", "Index of the last applied entry.")
	votersDesc    = newDesc("voters", "Voters of the newest config.")
	electionsDesc = newDesc("elections_total", "Elections that this replica started.")
	syncsDesc     = newDesc("syncs_total", "Syncs of the write-ahead log.")
	proposalsDesc = newDesc("proposals_total", "Writes proposed at this replica.")
	snapshotsDesc = newDesc("snapshots_total", "Snapshots written.")
	walDesc       = newDesc("segment_bytes", "Size of the write-ahead log in bytes.")
	logDesc       = newDesc("log_bytes", "Size of the log entries in memory in bytes.")
	pendingDesc   = newDesc("pending_bytes", "Size of the log entries that are not yet applied in bytes.")
	transfersDesc = newDesc("snapshot_transfers", "Snapshots that are being sent.")
)

// Collector collects the metrics of a loop's replica at each scrape. It sends no
// metrics if there is no loop, or if the loop has stopped or does not respond.
type Collector struct {
	// Loop returns the running loop, or nil if there is none.
	Loop func() *Loop
}

var _ prometheus.Collector = (*Collector)(nil)

// Descriptions returns the descriptions of all metrics of the Collector.
func Descriptions() []*prometheus.Desc {
	return []*prometheus.Desc{
		roleDesc, termDesc, commitDesc, appliedDesc, votersDesc, electionsDesc, syncsDesc, proposalsDesc, snapshotsDesc, walDesc,
		logDesc, pendingDesc, transfersDesc,
	}
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("bamboowalk_replica_"+name, help, labels, nil)
}

// Describe sends no descriptions, which makes this an unchecked collector.
func (*Collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	l := c.Loop()
	if l == nil {
		return
	}
	var s replica.Stats
	if l.Do(context.Background(), func(time.Time) { s = l.Replica.Stats() }) != nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v))
	}
	gauge(roleDesc, 1, s.Role)
	gauge(termDesc, float64(s.Term))
	gauge(commitDesc, float64(s.Commit))
	gauge(appliedDesc, float64(s.Applied))
	gauge(votersDesc, float64(s.Voters))
	gauge(walDesc, float64(s.SegmentBytes))
	gauge(logDesc, float64(s.LogBytes))
	gauge(pendingDesc, float64(s.PendingBytes))
	gauge(transfersDesc, float64(s.Transfers))
	counter(electionsDesc, s.Elections)
	counter(syncsDesc, s.Syncs)
	counter(proposalsDesc, s.Proposals)
	counter(snapshotsDesc, s.Snapshots)
}
