package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/pkg/balancer"
	"bamboowalk.org/bamboowalk/pkg/fleet"
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

	packetsDesc = prometheus.NewDesc("bamboowalk_decided_packets_total",
		"Packets that the core handled, by result.", []string{"result"}, nil)
	passedDesc = prometheus.NewDesc("bamboowalk_passed_packets_total",
		"Packets passed to other entry VMs, by mode.", []string{"mode"}, nil)
	faultsDesc = prometheus.NewDesc("bamboowalk_core_faults_total",
		"Inputs that the core could not take, by fault.", []string{"fault"}, nil)
	recordMessagesDesc = prometheus.NewDesc("bamboowalk_record_messages_total",
		"Messages with flow records and acknowledgements sent to other entry VMs.", nil, nil)
	recordBytesDesc = prometheus.NewDesc("bamboowalk_record_bytes_total",
		"Bytes of messages with flow records and acknowledgements sent to other entry VMs.", nil, nil)
	recordOutboxDesc = prometheus.NewDesc("bamboowalk_record_outbox_messages",
		"Messages with flow records that are not acknowledged yet.", nil, nil)
	replicasDesc = prometheus.NewDesc("bamboowalk_replicated_exceptions",
		"Replicated records held as a standby owner.", nil, nil)

	sealedDesc = prometheus.NewDesc("bamboowalk_epoch_sealed", "1 while the epoch in force is sealed.", nil, nil)
	leaseDesc  = prometheus.NewDesc("bamboowalk_lease_held",
		"1 while this VM holds a lease and may decide about non-idempotent requests.", nil, nil)
	leavingDesc  = prometheus.NewDesc("bamboowalk_leaving", "1 during a planned shutdown.", nil, nil)
	membersDesc  = prometheus.NewDesc("bamboowalk_members", "Entry VMs of the view in force.", nil, nil)
	revisionDesc = prometheus.NewDesc("bamboowalk_settings_revision_in_force",
		"Revision of the settings of the view in force.", nil, nil)
	statesDesc = prometheus.NewDesc("bamboowalk_targets_by_state",
		"Targets of the view in force, by state.", []string{"state"}, nil)
	zonesDesc = prometheus.NewDesc("bamboowalk_unreachable_zones",
		"Zones of the view in force that can't be reached.", nil, nil)
)

var (
	descs = []*prometheus.Desc{
		receivedDesc, sentDesc, discardedDesc, refusedDesc, droppedDesc, flowEventsDesc,
		flowsDesc, heldDesc, epochDesc, targetsDesc, healthyDesc,
		packetsDesc, passedDesc, faultsDesc, recordMessagesDesc, recordBytesDesc, recordOutboxDesc, replicasDesc,
		sealedDesc, leaseDesc, leavingDesc, membersDesc, revisionDesc, statesDesc, zonesDesc,
	}

	// causes lists the causes for which a core refuses or drops packets. Every
	// cause is exported from the start with the value 0, because the PromQL
	// function rate misses the first increase of a counter that does not exist
	// before its first event.
	causes = []balancer.Cause{
		balancer.CauseNoView, balancer.CauseNoListener, balancer.CauseNoTarget, balancer.CauseNoSlot,
		balancer.CauseHops, balancer.CauseTableFull, balancer.CauseHeldFull, balancer.CauseUnsealed,
		balancer.CauseHomeZone, balancer.CauseUnknownFlow, balancer.CauseUnknownResult, balancer.CauseRefused,
		balancer.CauseQueued, balancer.CauseDeadline, balancer.CauseEnded, balancer.CauseEvicted,
		balancer.CauseForeignAnswer, balancer.CauseShed, balancer.CauseTargetGone, balancer.CausePortReused,
		balancer.CausePaused, balancer.CauseStale,
	}

	modes = map[balancer.Mode]string{
		balancer.ToFirst: "ToFirst", balancer.ToSecond: "ToSecond", balancer.Returned: "Returned",
		balancer.Ask: "Ask", balancer.NotHere: "NotHere", balancer.Established: "Established",
		balancer.Overflow: "Overflow", balancer.Answer: "Answer", balancer.Refusal: "Refusal",
	}

	targetStates = []fleet.TargetState{
		fleet.TargetAnnounced, fleet.TargetCold, fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone,
	}
)

// Descriptions returns the descriptions of the metrics of an entry daemon,
// without those of its Membership.
func Descriptions() []*prometheus.Desc { return descs }

// collector exports the metrics of a daemon. All label values come from bounded
// sets.
type collector struct{ daemon *Daemon }

var _ prometheus.Collector = (*collector)(nil)

// Describe sends the descriptions of all metrics.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range descs {
		ch <- d
	}
}

// Collect sends the current values.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	c.collectDatagrams(ch)
	c.collectDecisions(ch)
	gauge := func(d *prometheus.Desc, v float64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v)
	}
	now := time.Now()
	gauge(healthyDesc, boolToFloat(c.daemon.unhealthyReason(now) == ""))
	gauge(leavingDesc, boolToFloat(c.daemon.leaving.Load()))
	gauge(leaseDesc, boolToFloat(now.UnixNano() < c.daemon.leaseUntil.Load()))
	if v := c.daemon.view.Load(); v != nil {
		c.collectView(ch, v)
	}
}

// collectView sends the gauges of the current view.
func (c *collector) collectView(ch chan<- prometheus.Metric, v *fleet.View) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	gauge(epochDesc, float64(v.Epoch))
	gauge(sealedDesc, boolToFloat(v.Sealed))
	gauge(membersDesc, float64(len(v.Members)))
	gauge(revisionDesc, float64(v.Revision))
	gauge(targetsDesc, float64(len(v.Targets)))
	states := make(map[fleet.TargetState]int)
	for i := range v.Targets {
		states[v.Targets[i].State]++
	}
	for _, s := range targetStates {
		gauge(statesDesc, float64(states[s]), string(s))
	}
	unreachable := 0
	for i := range v.Zones {
		if !v.Zones[i].Reachable && v.Zones[i].ID != v.Zone {
			unreachable++
		}
	}
	gauge(zonesDesc, float64(unreachable))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func sendCounter(ch chan<- prometheus.Metric, d *prometheus.Desc, n uint64, label string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), label)
}

func (c *collector) collectDatagrams(ch chan<- prometheus.Metric) {
	n := c.daemon.adapter.Counters
	sendCounter(ch, receivedDesc, n.FromFabric.Load(), "fabric")
	sendCounter(ch, receivedDesc, n.FromPeer.Load(), "peer")
	sendCounter(ch, receivedDesc, n.FromTarget.Load(), "target")
	sendCounter(ch, sentDesc, n.Forwarded.Load(), "forward")
	sendCounter(ch, sentDesc, n.Passed.Load(), "pass")
	sendCounter(ch, sentDesc, n.Replied.Load(), "reply")
	sendCounter(ch, sentDesc, n.Refused.Load(), "refuse")
	sendCounter(ch, sentDesc, n.Cancelled.Load(), "cancel")
	sendCounter(ch, sentDesc, n.Messages.Load(), "message")
	for reason, v := range n.Discarded() {
		sendCounter(ch, discardedDesc, v, string(reason))
	}
}

// collectDecisions sends the counters and gauges of the cores, summed over all
// shards.
func (c *collector) collectDecisions(ch chan<- prometheus.Metric) {
	sum := newTotals()
	for _, s := range c.daemon.shards {
		sum.add(s.stats.Load())
	}
	sendCounters(ch, refusedDesc, sum.refused)
	sendCounters(ch, droppedDesc, sum.dropped)
	sendCounters(ch, flowEventsDesc, sum.events)
	sendCounters(ch, packetsDesc, sum.packets)
	sendCounters(ch, passedDesc, sum.passed)
	sendCounters(ch, faultsDesc, sum.faults)
	for _, m := range []struct {
		desc *prometheus.Desc
		kind prometheus.ValueType
		n    uint64
	}{
		{recordMessagesDesc, prometheus.CounterValue, sum.messages},
		{recordBytesDesc, prometheus.CounterValue, sum.bytes},
		{recordOutboxDesc, prometheus.GaugeValue, uint64(sum.outbox)},
		{replicasDesc, prometheus.GaugeValue, uint64(sum.replicas)},
		{flowsDesc, prometheus.GaugeValue, uint64(sum.flows)},
		{heldDesc, prometheus.GaugeValue, uint64(sum.held)},
	} {
		ch <- prometheus.MustNewConstMetric(m.desc, m.kind, float64(m.n))
	}
}

// totals holds the statistics of the cores, summed over all shards. The keys of
// the maps are label values.
type totals struct {
	refused, dropped, events, packets, passed, faults map[string]uint64

	messages, bytes               uint64
	flows, held, outbox, replicas int
}

func newTotals() *totals {
	t := &totals{
		refused: make(map[string]uint64), dropped: make(map[string]uint64),
		events: make(map[string]uint64), packets: make(map[string]uint64),
		passed: make(map[string]uint64), faults: make(map[string]uint64),
	}
	for _, c := range causes {
		t.refused[string(c)], t.dropped[string(c)] = 0, 0
	}
	for _, m := range modes {
		t.passed[m] = 0
	}
	return t
}

func (t *totals) add(s *balancer.Stats) {
	for cause, n := range s.Refused {
		t.refused[string(cause)] += n
	}
	for cause, n := range s.Dropped {
		t.dropped[string(cause)] += n
	}
	for mode, n := range s.Passed {
		t.passed[modes[mode]] += n
	}
	t.events["adopted"] += s.Adopted
	t.events["moved"] += s.Moved
	t.events["offered"] += s.Offered
	t.events["returned"] += s.Returned
	t.events["overflowed"] += s.Overflowed
	t.events["retried"] += s.Retried
	t.packets["handled"] += s.Packets
	t.packets["forwarded"] += s.Forwarded
	t.packets["replied"] += s.Replies
	t.faults["bad_record"] += s.InvalidControl
	t.faults["transition"] += s.Transitions
	t.faults["table_full"] += s.TableFull
	t.messages += s.ControlMessages
	t.bytes += s.ControlBytes
	t.flows += s.Flows
	t.held += s.Held
	t.outbox += s.Outbox
	t.replicas += s.Replicas
}

func sendCounters(ch chan<- prometheus.Metric, d *prometheus.Desc, counts map[string]uint64) {
	for label, n := range counts {
		sendCounter(ch, d, n, label)
	}
}
