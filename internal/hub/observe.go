package hub

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/feed"
	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/internal/replication"
	"bamboowalk.org/bamboowalk/pkg/capacity"
	"bamboowalk.org/bamboowalk/pkg/registry"
)

var (
	targetsDesc        = newDesc("registered_targets", "Targets, by their state.", "state")
	subscribersDesc    = newDesc("feed_subscribers", "Connections of entry VMs and of other hubs.", "role")
	publishedDesc      = newDesc("published_number", "Number of the catalog that this hub publishes.")
	currentDesc        = newDesc("hub_current", "1 while this hub is in contact with a majority of the hubs.")
	hubsDesc           = newDesc("hubs", "Hubs that the log names.")
	sharedSuspectsDesc = newDesc("shared_doubts", "Targets that do not answer several entry VMs.")
	sharedOverdueDesc  = newDesc("shared_overdue", "Targets at which requests of several entry VMs were overdue.")
	lostDesc           = newDesc("lost_targets", "Targets that are lost according to this hub.")
	holdersDesc        = newDesc("holder_choices_total", "Warm-ups of targets for which this hub has chosen the holders.")
	unheldDesc         = newDesc("unheld_targets", "Cold targets with a budget and without holders, as known to this hub.")
	contestedDesc      = newDesc("contested_flows", "Reports of contested flows that this hub passes on.")
	rejectedDesc       = newDesc("contested_reports_rejected_total", "Reports of contested flows above the limit of this hub.")
	sharedSlowDesc     = newDesc("shared_slow_targets", "Slow targets that this hub publishes, by slowness.", "slowness")
	hubSlotsDesc       = newDesc("hub_fleet_slots", "Slots of the targets of a service weighted by speed.", "service")
	hubInFlightDesc    = newDesc("hub_fleet_in_flight", "Requests in flight of the entry VMs of all hubs.", "service")
	hubReportsDesc     = newDesc("load_reports_received_total", "Load reports of entry VMs.")
	hubIgnoredDesc     = newDesc("load_entries_ignored_total", "Entries of load reports about unknown targets.")
	publicationsDesc   = newDesc("load_publications_total", "Changes of the fleet's load sent to entry VMs and to other hubs.", "role")
	connectionsDesc    = newDesc("http_connections", "Open HTTP connections of targets and operators.")
	refusedConnsDesc   = newDesc("http_connections_refused_total", "HTTP connections closed at once because too many were open.")
	failedSavesDesc    = newDesc("failed_saves_total", "Failed writes of the published state.")
	zoneRevisionDesc   = newDesc("zone_revision", "Revision of the zone orders that this hub publishes.")
	evacuatedDesc      = newDesc("zones_evacuated", "Zones that are evacuated by the orders that this hub publishes.")
	zoneOrdersDesc     = newDesc("zone_orders_total", "Calls with zone orders, by result.", "result")
	leftOutDesc        = newDesc("hub_log_lines_left_out_total", "Log lines of a hub left out because of their number.")
	droppedDesc        = newDesc("hub_log_lines_dropped_total", "Log lines of a hub lost because the output was not read.")
)

// Descriptions returns the descriptions of the metrics of a hub.
func Descriptions() []*prometheus.Desc {
	return []*prometheus.Desc{
		targetsDesc, subscribersDesc, publishedDesc, currentDesc, hubsDesc, sharedSuspectsDesc, sharedOverdueDesc, lostDesc, holdersDesc, unheldDesc,
		contestedDesc, rejectedDesc,
		sharedSlowDesc, hubSlotsDesc, hubInFlightDesc, hubReportsDesc, hubIgnoredDesc, publicationsDesc, connectionsDesc, refusedConnsDesc,
		failedSavesDesc, zoneRevisionDesc, evacuatedDesc, zoneOrdersDesc, leftOutDesc, droppedDesc,
	}
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("bamboowalk_"+name, help, labels, nil)
}

// targetChanged logs a change of a target, unless the rate limit suppresses the
// log line. It is called with the store's lock held.
func (d *Daemon) targetChanged(rec *registry.Record, c registry.Cause) {
	ok, leftOut := d.limiter.Allow(string(c), time.Now())
	if !ok {
		return
	}
	d.Log.Info("target changed", zap.Stringer(logging.Target, rec.Target.ID), zap.String(logging.Cause, string(c)),
		zap.String(logging.State, string(rec.Target.State)), zap.Uint64(logging.Sequence, uint64(rec.Sequence)),
		zap.Int64("Born", rec.Born), zap.Duration("Heard", rec.Age), zap.Uint64(logging.LeftOut, leftOut))
}

// targetLost logs a target that has become lost, or is back, with the evidence. It is
// called with the store's lock held.
func (d *Daemon) targetLost(e *feed.LostEvidence, lost bool) {
	fields := []zap.Field{
		zap.Stringer(logging.Target, e.Target), zap.Int("Suspects", e.Suspects), zap.Int("Failed", e.Failed), zap.Int("FailedOwnZone", e.Own),
		zap.Int("Answered", e.Answered), zap.Bool("Partition", e.Partition), zap.Duration("Heard", e.Heard), zap.Duration("Doubted", e.Doubted),
	}
	if lost {
		d.Log.Warn("target lost", fields...)
	} else {
		d.Log.Info("target no longer lost", fields...)
	}
}

// collector exports the metrics of a hub. It reads their current values at each
// scrape.
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
	s := c.d.store.Stats()
	for state, n := range s.Targets {
		gauge(targetsDesc, float64(n), string(state))
	}
	for role, n := range s.Subscribers {
		gauge(subscribersDesc, float64(n), string(role))
	}
	current := 0.0
	if s.Current {
		current = 1
	}
	gauge(publishedDesc, float64(s.Number))
	gauge(currentDesc, current)
	gauge(hubsDesc, float64(s.Hubs))
	gauge(sharedSuspectsDesc, float64(s.SharedSuspects))
	gauge(sharedOverdueDesc, float64(s.SharedOverdue))
	gauge(lostDesc, float64(s.Lost))
	counter(holdersDesc, s.HoldersChosen)
	gauge(unheldDesc, float64(s.Unheld))
	gauge(contestedDesc, float64(s.Bindings))
	counter(rejectedDesc, s.RejectedBindings)
	if l := s.Load; l != nil {
		for step, n := range l.Slow {
			gauge(sharedSlowDesc, float64(n), capacity.StepLabel(step))
		}
		for _, r := range capacity.LargestRooms(l.Rooms) {
			gauge(hubSlotsDesc, r.Slots, string(r.Service))
			gauge(hubInFlightDesc, r.InFlight, string(r.Service))
		}
		counter(hubReportsDesc, l.Reports)
		counter(hubIgnoredDesc, l.Ignored)
		counter(publicationsDesc, l.Published, string(feed.Entry))
		counter(publicationsDesc, l.Sent, string(feed.Control))
	}
	gauge(connectionsDesc, float64(c.d.connections.open.Load()))
	counter(refusedConnsDesc, c.d.connections.refused.Load())
	counter(failedSavesDesc, c.d.failedSaves.Load())
	zones := c.d.store.Zones()
	gauge(zoneRevisionDesc, float64(zones.Revision))
	gauge(evacuatedDesc, float64(len(zones.Evacuated)))
	for i, result := range zoneOrderResults {
		counter(zoneOrdersDesc, c.d.zoneOrders[i].Load(), result)
	}
	counter(leftOutDesc, c.d.limiter.LeftOut())
	counter(droppedDesc, c.d.LinesDropped())
}

// currentLoop returns the loop of the replica, or nil while the replica is down.
func (d *Daemon) currentLoop() *replication.Loop {
	if l := d.loop.Load(); l != nil {
		return &l.Loop
	}
	return nil
}
