package gateway

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

// Results of flows in the histogram of their times.
const (
	resultClosed   = "closed"
	resultExpired  = "expired"
	resultUnopened = "unopened"
)

// observer writes the log lines about flows, and keeps the histograms of their
// times. Fields with capitals are set before use.
type observer struct {
	Log *zap.Logger
	// Doubted is called with each target that begins not to answer.
	Doubted func(t *steering.Target)
	// Ages returns the time since the catalog and since the last update came.
	Ages func(now time.Time) (catalog, feed time.Duration)

	limiter logging.Limiter
	opens   *prometheus.HistogramVec
	flows   *prometheus.HistogramVec
}

var _ steering.Observer = (*observer)(nil)

// flowID returns the id of a flow in logs, which is equal on all VMs.
func flowID(k steering.FlowKey) zap.Field {
	return zap.String(logging.Flow, fmt.Sprintf("%016x", uint64(k.Hash())))
}

// target returns a field with a target, which may be nil.
func target(name string, t *steering.Target) zap.Field {
	if t == nil {
		return zap.String(name, "")
	}
	return zap.Stringer(name, t.ID)
}

// decided writes a line for each decision that is more than the forwarding of a
// packet of an open flow.
func (o *observer) decided(p *steering.Packet, d *steering.Decision, now time.Time) {
	if d.Cause == steering.CauseFlow || d.Cause == steering.CauseCookie {
		return
	}
	ok, leftOut := o.limiter.Allow(string(d.Cause), now)
	if !ok {
		return
	}
	catalogAge, feedAge := o.Ages(now)
	fields := []zap.Field{
		flowID(p.Flow),
		zap.Stringer(logging.Caller, p.Flow.Caller),
		zap.Stringer(logging.Route, p.Flow.Route),
		zap.String(logging.Cause, string(d.Cause)),
		zap.Uint64(logging.Number, uint64(d.Number)),
		zap.Duration(logging.CatalogAge, catalogAge),
		zap.Duration(logging.FeedAge, feedAge),
		zap.Uint64(logging.LeftOut, leftOut),
	}
	if p.Opening {
		fields = append(fields, zap.Uint32(logging.Copy, p.Copy), zap.String(logging.Service, string(d.Service)))
	}
	if d.Former != nil {
		fields = append(fields, target(logging.Former, d.Former))
	}
	switch d.Op {
	case steering.Forward:
		fields = append(fields, target(logging.Target, d.Target), zap.Int(logging.Running, d.Running),
			zap.Uint64(logging.Sequence, uint64(d.Target.Sequence)))
		o.Log.Info("opening packet forwarded", fields...)
	case steering.Reset:
		o.Log.Warn("flow reset", fields...)
	case steering.Drop:
		o.Log.Warn("packet dropped", fields...)
	}
}

// TargetSuspected has the target's health checked.
func (o *observer) TargetSuspected(t *steering.Target) { o.Doubted(t) }

// TargetOverdue writes a line about the first of several requests that are
// overdue at a target.
func (o *observer) TargetOverdue(k steering.FlowKey, e steering.FlowEvent) {
	o.event("request overdue, target avoided", k, &e, zap.Duration(logging.Objective, e.Objective))
}

// FlowOpened counts the time to the caller's acknowledgement.
func (o *observer) FlowOpened(k steering.FlowKey, e steering.FlowEvent) {
	o.opens.WithLabelValues(string(e.Kind)).Observe(e.After.Seconds())
	if e.Former == nil {
		return
	}
	o.event("flow opened by an earlier choice", k, &e, target(logging.Former, e.Former))
}

// FlowEnded counts the time of the flow, and writes a line about one that no
// target has opened or that took longer than its objective.
func (o *observer) FlowEnded(k steering.FlowKey, e steering.FlowEvent) {
	objective := zap.Duration(logging.Objective, e.Objective)
	switch {
	case !e.Opened:
		o.count(&e, resultUnopened)
		o.event("flow not opened by any target", k, &e)
	case !e.Closed:
		o.count(&e, resultExpired)
		o.event("flow not ended by its deadline", k, &e, objective)
	default:
		o.count(&e, resultClosed)
		if e.After > e.Objective {
			o.event("flow ended later than its objective", k, &e, objective)
		}
	}
}

func (o *observer) count(e *steering.FlowEvent, result string) {
	o.flows.WithLabelValues(string(e.Kind), result).Observe(e.After.Seconds())
}

func (o *observer) event(message string, k steering.FlowKey, e *steering.FlowEvent, more ...zap.Field) {
	ok, leftOut := o.limiter.Allow(message, time.Now())
	if !ok {
		return
	}
	fields := append(more, flowID(k), zap.Stringer(logging.Caller, k.Caller), zap.Stringer(logging.Route, k.Route),
		target(logging.Target, e.Target), zap.Duration(logging.After, e.After), zap.Uint64(logging.LeftOut, leftOut))
	o.Log.Info(message, fields...)
}
