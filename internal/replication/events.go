package replication

import (
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

// This file writes the events of a replica and of the transport to the log.

const (
	// failureDelay is the time for which nothing must reach a peer before that is logged.
	// A single call stalls where processes run for a part of the time only.
	failureDelay = 500 * time.Millisecond
	// failureInterval is the minimum time between two log lines about such a peer, which
	// is dialed some times a second.
	failureInterval = 10 * time.Second
)

// logEvent writes one line about an event of the replica. Lines that an operator may have
// to act on are warnings.
func logEvent(log *zap.Logger, e replica.Event) {
	switch e := e.(type) {
	case replica.MemberChanged:
		log.Info("leader changes a member of the log",
			zap.String(logging.Cause, string(e.Kind)), zap.String(logging.Member, string(e.Member.VM)),
			zap.Uint64("Incarnation", uint64(e.Member.Incarnation)), zap.Uint64("FormerIncarnation", uint64(e.Former)),
			zap.Duration("Silence", e.Silence), zap.Uint64("Index", uint64(e.Index)),
			zap.Uint64("Match", uint64(e.Match)), zap.Uint64("Commit", uint64(e.Commit)),
			vms("VotersBefore", e.VotersBefore), vms("VotersAfter", e.VotersAfter),
			zap.Int("SpareBefore", e.SpareBefore), zap.Int("SpareAfter", e.SpareAfter))
	case replica.ChangeRefused:
		log.Warn("leader can't change a member of the log",
			zap.String(logging.Member, string(e.Member)), zap.Duration("For", e.For), zap.Error(e.Err))
	case replica.VotersSilent:
		level := zap.WarnLevel
		if len(e.Silent) == 0 {
			level = zap.InfoLevel
		}
		log.Log(level, "silent voters changed", vms("Silent", e.Silent), vms("Voters", e.Voters), zap.Int("Spare", e.Spare))
	case replica.LeaderUnknown:
		log.Warn("no leader is known",
			zap.Duration("For", e.For), zap.String(logging.Role, e.Role), zap.Uint64("Term", uint64(e.Term)),
			zap.Stringer("Request", e.Request), zap.Uint64("LastIndex", uint64(e.Last.Index)), zap.Uint64("LastTerm", uint64(e.Last.Term)),
			vms("Voters", e.Voters), vms("Granted", e.Granted), vms("Refused", e.Refused),
			vms("Unanswered", e.Unanswered), zap.Uint64("RefusedTerm", uint64(e.RefusedTerm)))
	case replica.NotAdmitted:
		log.Warn("not admitted to the log",
			zap.Duration("For", e.For), vms("Asked", e.Asked), vms("Redirected", e.Redirected), zap.Uint64("Requests", e.Requests))
	case replica.JoinRedirected:
		log.Info("requests for admission redirected",
			vms("From", e.From), zap.Uint64("Requests", e.Requests), zap.Duration("Within", e.Within), zap.String("Leader", string(e.Leader)))
	case replica.VoteRefused:
		log.Info("vote refused",
			zap.String("Candidate", string(e.Candidate)), zap.Stringer("Request", e.Request), zap.Stringer(logging.Cause, e.Result),
			zap.Uint64("Term", uint64(e.Term)), zap.Uint64("OwnTerm", uint64(e.OwnTerm)),
			zap.Uint64("LastIndex", uint64(e.Position.Index)), zap.Uint64("LastTerm", uint64(e.Position.Term)),
			zap.Uint64("OwnLastIndex", uint64(e.OwnLast.Index)), zap.Uint64("OwnLastTerm", uint64(e.OwnLast.Term)),
			zap.String("Leader", string(e.Leader)))
	}
}

func vms(key string, ids []fleet.VMID) zap.Field {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return zap.Strings(key, names)
}

// reportFailure logs a failed call or dial if nothing has reached the peer for
// failureDelay, at most once per failureInterval.
func (s *sender) reportFailure(err error, now time.Time) {
	if s.failures == 0 {
		s.failingSince = now
	}
	s.failures++
	if s.t.Log == nil || now.Sub(s.failingSince) < failureDelay || now.Before(s.nextReport) {
		return
	}
	s.nextReport = now.Add(failureInterval)
	s.reported = true
	s.t.Log.Warn("replica can't be reached", zap.String(logging.Member, string(s.peer)), zap.Uint64("Failures", s.failures), zap.Error(err))
}

// reportSuccess logs that a peer is reached again, if its failure was logged.
func (s *sender) reportSuccess() {
	if s.reported {
		s.t.Log.Info("replica is reached again", zap.String(logging.Member, string(s.peer)), zap.Uint64("Failures", s.failures))
	}
	s.failures, s.reported = 0, false
}
