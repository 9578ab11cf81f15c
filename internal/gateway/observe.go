package gateway

import (
	"fmt"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/steering"
)

// Values of the result label of the flow duration histogram: the caller ended
// the flow, the flow expired after a caller had acknowledged an answer, or no
// answer was acknowledged.
const (
	resultClosed   = "closed"
	resultExpired  = "expired"
	resultUnopened = "unopened"
)

// observer logs decisions and flow events, and updates the histograms of the
// times to open a flow and of flow durations. Exported fields must be set
// before use.
type observer struct {
	Log *zap.Logger
	// Suspected is called with each target that becomes suspected.
	Suspected func(t *steering.Target)
	// Ages returns the time since the current catalog and since the last update
	// were received.
	Ages func(now time.Time) (catalog, feed time.Duration)

	limiter   logging.Limiter
	openTimes *prometheus.HistogramVec
	flowTimes *prometheus.HistogramVec
}

var _ steering.Observer = (*observer)(nil)

// flowID returns a log field with the ID of a flow, which is the same on all VMs.
func flowID(k steering.FlowKey) zap.Field {
	return zap.String(logging.Flow, fmt.Sprintf("%016x", uint64(k.Hash())))
}

// targetField returns a log field with the ID of a target, which may be nil.
func targetField(key string, t *steering.Target) zap.Field {
	if t == nil {
		return zap.String(key, "")
	}
	return zap.Stringer(key, t.ID)
}

// logDecision logs a decision, unless the decision forwards a packet of an open
// flow or the rate limit suppresses the log line. held is how long the packet was
// held before.
func (o *observer) logDecision(p *steering.Packet, d *steering.Decision, held time.Duration, now time.Time) {
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
		zap.Uint64(logging.Number, uint64(d.CatalogNumber)),
		zap.Duration(logging.CatalogAge, catalogAge),
		zap.Duration(logging.FeedAge, feedAge),
		zap.Uint64(logging.LeftOut, leftOut),
	}
	if p.Opening {
		fields = append(fields, zap.Uint32(logging.Copy, p.Copy), zap.String(logging.Service, string(d.Service)))
	}
	if held > 0 {
		fields = append(fields, zap.Duration("Held", held))
	}
	if a := d.Admission; a != nil {
		fields = append(fields, zap.Float64(logging.Part, a.Limit), zap.Int(logging.InFlight, a.InFlight),
			zap.Float64(logging.Share, a.Share), zap.Int(logging.Place, a.Place))
		if a.Known {
			fields = append(fields, zap.Float64(logging.Free, a.Free), zap.Duration(logging.FreeAge, a.Age))
		}
	}
	if d.Former != nil {
		fields = append(fields, targetField(logging.Former, d.Former))
	}
	switch d.Op {
	case steering.Forward:
		fields = append(fields, targetField(logging.Target, d.Target), zap.Int(logging.Running, d.Running),
			zap.Uint64(logging.Sequence, uint64(d.Target.Sequence)))
		if d.Avoided != nil {
			fields = append(fields, targetField(logging.Avoided, d.Avoided), zap.Float64(logging.Slowness, d.Slowness),
				zap.Duration(logging.EstimateAge, d.EstimateAge))
		}
		if d.Cause == steering.CauseBinding {
			o.Log.Info("packet forwarded against its cookie", append(fields, zap.Uint32(logging.Cookie, uint32(p.Cookie)))...)
			return
		}
		o.Log.Info("opening packet forwarded", fields...)
	case steering.Reset:
		if d.Target != nil {
			fields = append(fields, targetField(logging.Target, d.Target))
		}
		o.Log.Warn("flow reset", fields...)
	case steering.Hold:
		o.Log.Info("opening packet held", fields...)
	case steering.Drop:
		o.Log.Warn("packet dropped", fields...)
	}
}

// TargetSuspected calls Suspected, which starts health checks of the target.
func (o *observer) TargetSuspected(t *steering.Target) { o.Suspected(t) }

// TargetOverdue logs an overdue request at a target. The core reports a request
// only if no other request that this VM forwarded to the target has recently
// become overdue.
func (o *observer) TargetOverdue(k steering.FlowKey, e steering.FlowEvent) {
	o.logFlowEvent("request overdue, target avoided", k, &e, zap.Duration(logging.Objective, e.Objective))
}

// FlowOpened records the time from the opening packet to the caller's
// acknowledgement of an answer. It logs a flow if the acknowledged answer came
// from a previously chosen target.
func (o *observer) FlowOpened(k steering.FlowKey, e steering.FlowEvent) {
	o.openTimes.WithLabelValues(string(e.Kind)).Observe(e.After.Seconds())
	if e.Former == nil {
		return
	}
	o.logFlowEvent("flow opened with the answer of a previously chosen target", k, &e, targetField(logging.Former, e.Former))
}

// FlowEnded records the duration of the flow. It logs a flow in which no answer
// of a target was acknowledged, a flow that the caller did not end before it
// expired, and a flow that ended later than its objective.
func (o *observer) FlowEnded(k steering.FlowKey, e steering.FlowEvent) {
	objective := zap.Duration(logging.Objective, e.Objective)
	switch {
	case !e.Opened:
		o.observeDuration(&e, resultUnopened)
		o.logFlowEvent("flow not opened by any target", k, &e)
	case !e.Closed:
		o.observeDuration(&e, resultExpired)
		o.logFlowEvent("flow not ended by its deadline", k, &e, objective)
	default:
		o.observeDuration(&e, resultClosed)
		if e.After > e.Objective {
			o.logFlowEvent("flow ended later than its objective", k, &e, objective)
		}
	}
}

func (o *observer) observeDuration(e *steering.FlowEvent, result string) {
	o.flowTimes.WithLabelValues(string(e.Kind), result).Observe(e.After.Seconds())
}

func (o *observer) logFlowEvent(message string, k steering.FlowKey, e *steering.FlowEvent, extra ...zap.Field) {
	ok, leftOut := o.limiter.Allow(message, time.Now())
	if !ok {
		return
	}
	fields := append(extra, flowID(k), zap.Stringer(logging.Caller, k.Caller), zap.Stringer(logging.Route, k.Route),
		targetField(logging.Target, e.Target), zap.Duration(logging.After, e.After), zap.Uint64(logging.LeftOut, leftOut))
	o.Log.Info(message, fields...)
}
