package replication

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"bamboowalk.org/bamboowalk/pkg/replica"
)

// leaderRole is the name of the role of a leader, a state of the replica state chart.
const leaderRole = "Leader"

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
	learnersDesc  = newDesc("learners", "Learners of the newest config.")
	silentDesc    = newDesc("silent_voters", "Voters that this leader does not hear.")
	spareDesc     = newDesc("spare_voters", "Voters that may still be lost before this leader hears no majority.")
	syncedDesc    = newDesc("synced_voters", "Voters that are known to this leader to hold the newest config.")
	toleranceDesc = newDesc("tolerance", "Replicas that may lose their disks at the same time, by the settings.")
	unknownDesc   = newDesc("leader_unknown_seconds", "Time since this replica last knew a leader, 0 while it knows one.")
	lostDesc      = newDesc("elections_lost_total", "Elections that this replica started and lost.")
	preVotesDesc  = newDesc("prevote_rounds_total", "Rounds of requests for pre-votes that this replica started.")
	votesDesc     = newDesc("votes_total", "Requests of other replicas for pre-votes and votes, by result.", "request", "result")
	joinsDesc     = newDesc("admission_requests_total", "Requests for admission to the log.", "event")
	changesDesc   = newDesc("member_changes_total", "Membership changes that this leader proposed.", "change")
	leftOutDesc   = newDesc("clock_left_out_seconds_total", "Time that the election clock has left out.")

	messagesDesc     = newDesc("transport_messages_total", "Messages between replicas, by result.", "result")
	dialsDesc        = newDesc("transport_dials_total", "Dials to other replicas.")
	dialErrorsDesc   = newDesc("transport_dial_errors_total", "Dials to other replicas that failed.")
	callTimeoutsDesc = newDesc("transport_call_timeouts_total", "Calls to other replicas without an answer in time.")
	rejectedDesc     = newDesc("transport_rejected_connections_total", "Connections of other replicas that were rejected.")
)

// Collector collects the metrics of a transport, and of a loop's replica, at each
// scrape. It sends none of the replica if there is no loop, or if the loop has stopped or
// does not respond.
type Collector struct {
	// Loop returns the running loop, or nil if there is none.
	Loop      func() *Loop
	Transport *Transport
}

var _ prometheus.Collector = (*Collector)(nil)

// Descriptions returns the descriptions of all metrics of the Collector.
func Descriptions() []*prometheus.Desc {
	return []*prometheus.Desc{
		roleDesc, termDesc, commitDesc, appliedDesc, votersDesc, electionsDesc, syncsDesc, proposalsDesc, snapshotsDesc, walDesc,
		logDesc, pendingDesc, transfersDesc, learnersDesc, silentDesc, spareDesc, syncedDesc, toleranceDesc, unknownDesc, lostDesc,
		preVotesDesc, votesDesc, joinsDesc, changesDesc, leftOutDesc, messagesDesc, dialsDesc, dialErrorsDesc, callTimeoutsDesc, rejectedDesc,
	}
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("bamboowalk_replica_"+name, help, labels, nil)
}

// Describe sends no descriptions, which makes this an unchecked collector.
func (*Collector) Describe(chan<- *prometheus.Desc) {}

// metricsChannel sends the values of one scrape.
type metricsChannel chan<- prometheus.Metric

func (ch metricsChannel) gauge(d *prometheus.Desc, v float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func (ch metricsChannel) counter(d *prometheus.Desc, v uint64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
}

// Collect sends the current values.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	ch := metricsChannel(out)
	ch.collectTransport(c.Transport.Stats())
	l := c.Loop()
	if l == nil {
		return
	}
	var s replica.Stats
	if l.Do(context.Background(), func(time.Time) { s = l.Replica.Stats() }) != nil {
		return
	}
	ch.gauge(roleDesc, 1, s.Role)
	ch.gauge(termDesc, float64(s.Term))
	ch.gauge(commitDesc, float64(s.Commit))
	ch.gauge(appliedDesc, float64(s.Applied))
	ch.gauge(walDesc, float64(s.SegmentBytes))
	ch.gauge(logDesc, float64(s.LogBytes))
	ch.gauge(pendingDesc, float64(s.PendingBytes))
	ch.gauge(transfersDesc, float64(s.Transfers))
	ch.counter(syncsDesc, s.Syncs)
	ch.counter(proposalsDesc, s.Proposals)
	ch.counter(snapshotsDesc, s.Snapshots)
	ch.collectMembers(&s)
	ch.collectElections(&s)
}

// collectMembers sends the metrics of the members of the log. Only a leader knows which
// of them are silent.
func (ch metricsChannel) collectMembers(s *replica.Stats) {
	ch.gauge(votersDesc, float64(s.Voters))
	ch.gauge(learnersDesc, float64(s.Learners))
	ch.gauge(toleranceDesc, float64(s.Tolerance))
	if s.Role == leaderRole {
		ch.gauge(silentDesc, float64(s.SilentVoters))
		ch.gauge(spareDesc, float64(s.SpareVoters))
		ch.gauge(syncedDesc, float64(s.SyncedVoters))
	}
	ch.counter(joinsDesc, s.JoinsSent, "sent")
	ch.counter(joinsDesc, s.JoinsReceived, "received")
	ch.counter(joinsDesc, s.JoinsRedirected, "redirected")
	ch.counter(changesDesc, s.MembersAdmitted, "admitted")
	ch.counter(changesDesc, s.MembersPromoted, "promoted")
	ch.counter(changesDesc, s.MembersRemoved, "removed")
	ch.counter(changesDesc, s.MembersReplaced, "replaced")
}

func (ch metricsChannel) collectElections(s *replica.Stats) {
	ch.gauge(unknownDesc, s.LeaderUnknownFor.Seconds())
	ch.counter(electionsDesc, s.Elections)
	ch.counter(lostDesc, s.ElectionsLost)
	ch.counter(preVotesDesc, s.PreVotes)
	for result := range replica.VoteResults {
		ch.counter(votesDesc, s.PreVoteResults[result], "pre_vote", result.String())
		ch.counter(votesDesc, s.VoteResults[result], "vote", result.String())
	}
	ch <- prometheus.MustNewConstMetric(leftOutDesc, prometheus.CounterValue, s.ClockLeftOut.Seconds())
}

func (ch metricsChannel) collectTransport(s TransportStats) {
	ch.counter(messagesDesc, s.Sent, "sent")
	ch.counter(messagesDesc, s.Received, "received")
	ch.counter(messagesDesc, s.Dropped, "dropped")
	ch.counter(messagesDesc, s.Invalid, "invalid")
	ch.counter(dialsDesc, s.Dials)
	ch.counter(dialErrorsDesc, s.DialErrors)
	ch.counter(callTimeoutsDesc, s.CallTimeouts)
	ch.counter(rejectedDesc, s.Rejected)
}
