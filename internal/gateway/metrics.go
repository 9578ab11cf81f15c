package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

// Names and help texts of the histograms.
const (
	openName = "bamboowalk_flow_open_seconds"
	openHelp = "Time from a flow's opening packet to the caller's acknowledgement of the target's answer."
	flowName = "bamboowalk_flow_seconds"
	flowHelp = "Time from a flow's opening packet to its end."
)

var (
	packetsDesc       = newDesc("steered_packets_total", "Packets of callers, by the cause of the decision.", "cause")
	invalidDesc       = newDesc("invalid_packets_total", "Datagrams that are no packet of a caller.")
	staleDesc         = newDesc("stale_openings_total", "Opening packets dropped because they waited while the process was suspended.")
	failedSendsDesc   = newDesc("failed_sends_total", "Packets that could not be sent.")
	flowsDesc         = newDesc("table_flows", "Flows in the table, ended ones included that are still remembered.")
	bindingsDesc      = newDesc("flow_bindings", "Open flows outside the table whose target this VM knows; contested ones may have been offered to several targets.", "contested")
	rejectedDesc      = newDesc("flow_bindings_rejected_total", "Bindings of flows for which there was no place.")
	suspectedDesc     = newDesc("doubted_targets", "Targets that do not answer this VM.")
	doubtsDesc        = newDesc("doubts_total", "Early doubts: opening packets without an answer in time.")
	lostDesc          = newDesc("known_lost_targets", "Targets that the feed calls lost.")
	overdueDesc       = newDesc("overdue_targets", "Targets that this VM avoids since requests were overdue there.")
	coldDesc          = newDesc("cold_openings_total", "Opening packets whose service states a cold rate: sent to cold targets, or refused since only cold targets without an unused part of this VM were left.", "result")
	heldDesc          = newDesc("held_targets", "Cold targets of which this VM is a holder.")
	waitingDesc       = newDesc("held_opening_packets", "Opening packets that wait until the service has room.", "service")
	limitDesc         = newDesc("admission_limit_requests", "Requests in flight that this VM allows for the service.", "service")
	inFlightDesc      = newDesc("admission_in_flight_requests", "Requests in flight of this VM at the service.", "service")
	slowDesc          = newDesc("slow_targets", "Targets that get fewer flows since they are slow, by slowness.", "slowness")
	fleetSlotsDesc    = newDesc("fleet_slots", "Slots of the targets of a service weighted by speed, as told by the hub.", "service")
	fleetInFlightDesc = newDesc("fleet_in_flight", "Requests in flight of all entry VMs, as told by the hub.", "service")
	loadAgeDesc       = newDesc("load_age_seconds", "Time since the hub last confirmed the load of the fleet.")
	loadReportsDesc   = newDesc("load_reports_total", "Reports of this VM's measurements.")
	targetsDesc       = newDesc("known_targets", "Targets, by their state as the feed tells it.", "state")
	numberDesc        = newDesc("catalog_number", "Number of the catalog in force at this VM.")
	catalogAgeDesc    = newDesc("catalog_age_seconds", "Time since the catalog came into force at this VM.")
	feedAgeDesc       = newDesc("feed_age_seconds", "Time since the last update of a hub.")
	unconfirmedDesc   = newDesc("state_unconfirmed_seconds", "Time since the start of the hub that has restored this VM's state, 0 if a majority of hubs has confirmed the state.")
	feedsDesc         = newDesc("feeds_total", "Feeds of hubs that have begun.")
	checksDesc        = newDesc("target_checks_total", "Health checks of targets in doubt, by result.", "result")
	zonesDesc         = newDesc("zone_revision", "Revision of the zone orders in force at this VM.")
	evacuatedDesc     = newDesc("zones_evacuated", "Zones that are evacuated at this VM.")
	leftOutDesc       = newDesc("log_lines_left_out_total", "Log lines left out because of their number.")
	droppedDesc       = newDesc("log_lines_dropped_total", "Log lines lost because the output was not read.")

	// flowBuckets holds the bucket bounds for the durations of flows in seconds,
	// from some milliseconds to the deadlines of requests.
	flowBuckets = []float64{.005, .01, .02, .05, .1, .15, .2, .3, .5, 1, 2, 5}
	// openBuckets holds the bucket bounds for the times to open a flow in seconds.
	// They cover round trips and the intervals between retransmissions of opening
	// packets.
	openBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .4, .8, 1.6}
)

// Descriptions returns the descriptions of the metrics of an entry VM.
func Descriptions() []*prometheus.Desc {
	opens, flows := newHistograms()
	descs := make(chan *prometheus.Desc, 2)
	opens.Describe(descs)
	flows.Describe(descs)
	return []*prometheus.Desc{
		packetsDesc, invalidDesc, staleDesc, failedSendsDesc, flowsDesc, bindingsDesc, rejectedDesc, suspectedDesc, doubtsDesc, lostDesc, overdueDesc, coldDesc, heldDesc, waitingDesc,
		limitDesc, inFlightDesc, slowDesc, fleetSlotsDesc, fleetInFlightDesc, loadAgeDesc, loadReportsDesc, targetsDesc, numberDesc, catalogAgeDesc,
		feedAgeDesc, unconfirmedDesc, feedsDesc, checksDesc, zonesDesc, evacuatedDesc, leftOutDesc, droppedDesc, <-descs, <-descs,
	}
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("bamboowalk_"+name, help, labels, nil)
}

func newHistograms() (opens, flows *prometheus.HistogramVec) {
	opens = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: openName, Help: openHelp, Buckets: openBuckets}, []string{"kind"})
	flows = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: flowName, Help: flowHelp, Buckets: flowBuckets}, []string{"kind", "result"})
	return opens, flows
}

// collector exports the metrics of a daemon. It reads their current values at
// each scrape.
type collector struct{ d *Daemon }

var _ prometheus.Collector = (*collector)(nil)

// Describe sends no descriptions, which registers the collector as unchecked.
func (*collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	now := time.Now()
	stats := c.d.core.Stats(now)
	for _, cause := range steering.Causes {
		counter(packetsDesc, stats.Decisions[cause], string(cause))
	}
	counter(invalidDesc, c.d.invalid.Load())
	counter(staleDesc, c.d.stale.Load())
	counter(failedSendsDesc, c.d.failedSends.Load())
	gauge(flowsDesc, float64(stats.Flows))
	bindings := c.d.core.BindingStats()
	gauge(bindingsDesc, float64(bindings.Contested), "true")
	gauge(bindingsDesc, float64(bindings.Flows-bindings.Contested), "false")
	counter(rejectedDesc, bindings.Rejected)
	gauge(suspectedDesc, float64(stats.Suspected))
	lost := c.d.core.LostStats()
	counter(doubtsDesc, lost.Doubts)
	gauge(lostDesc, float64(lost.Lost))
	gauge(overdueDesc, float64(stats.Overdue))
	counter(coldDesc, stats.Cold.Sent, "sent")
	counter(coldDesc, stats.Cold.Refused, "refused")
	gauge(heldDesc, float64(stats.Cold.Held))
	for _, g := range stats.Gates {
		gauge(waitingDesc, float64(g.Place), string(g.Service))
		gauge(limitDesc, g.Limit, string(g.Service))
		gauge(inFlightDesc, float64(g.InFlight), string(g.Service))
	}
	if l, ok := c.d.core.FleetLoad(now); ok {
		for step, n := range l.Slow {
			gauge(slowDesc, float64(n), capacity.StepLabel(step))
		}
		for _, r := range capacity.LargestRooms(l.Rooms) {
			gauge(fleetSlotsDesc, r.Slots, string(r.Service))
			gauge(fleetInFlightDesc, r.InFlight, string(r.Service))
		}
		if l.Known {
			gauge(loadAgeDesc, l.Age.Seconds())
		}
		counter(loadReportsDesc, l.Reports)
	}
	f := &c.d.follower
	states, number := f.states()
	for _, state := range []fleet.TargetState{fleet.TargetReady, fleet.TargetDraining, fleet.TargetGone, registry.StateSilent} {
		gauge(targetsDesc, float64(states[state]), string(state))
	}
	catalogAge, feedAge := f.ages(now)
	gauge(numberDesc, float64(number))
	gauge(catalogAgeDesc, catalogAge.Seconds())
	gauge(feedAgeDesc, feedAge.Seconds())
	gauge(unconfirmedDesc, f.unconfirmedAge(now).Seconds())
	counter(feedsDesc, f.feedsStarted.Load())
	counter(checksDesc, c.d.checker.passed.Load(), "passed")
	counter(checksDesc, c.d.checker.failed.Load(), "failed")
	zoneRevision, evacuated := c.d.core.Zones()
	gauge(zonesDesc, float64(zoneRevision))
	gauge(evacuatedDesc, float64(evacuated))
	counter(leftOutDesc, c.d.observer.limiter.LeftOut())
	counter(droppedDesc, c.d.LinesDropped())
}
