package hub

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Results of zone orders. An unavailable order may have been committed.
const (
	resultAccepted    = "accepted"
	resultRepeated    = "repeated"
	resultRefused     = "refused"
	resultRedirected  = "redirected"
	resultUnavailable = "unavailable"
)

// Roles of a replica with a vote, as replica.Replica.Role returns them.
const (
	roleFollower = "Follower"
	roleLeader   = "Leader"
)

// zoneOrderResults lists all results.
var zoneOrderResults = [...]string{resultAccepted, resultRepeated, resultRefused, resultRedirected, resultUnavailable}

type (
	// UnknownZoneError reports an order for a zone that is not in the setting
	// Regions and for which there was no order before.
	UnknownZoneError struct{ Zone fleet.ZoneID }

	// ZoneOrdersOffError reports a call about zone orders at a hub whose setting
	// ZoneOrders is not set and whose log contains no zone order.
	ZoneOrdersOffError struct{}

	// logNotRestoredError reports that this hub has not yet restored the zone orders
	// of its log.
	logNotRestoredError struct{}

	// zoneOrderCounts holds a count for each result, in the order of
	// zoneOrderResults.
	zoneOrderCounts [len(zoneOrderResults)]atomic.Uint64
)

// Error names the zone.
func (e *UnknownZoneError) Error() string { return fmt.Sprintf("zone %q is not known", e.Zone) }

// Error names the setting.
func (ZoneOrdersOffError) Error() string { return "zone orders are off by the setting ZoneOrders" }

// Error says that the log is not restored yet.
func (logNotRestoredError) Error() string { return "the log of this hub is not restored yet" }

func (c *zoneOrderCounts) add(result string) {
	for i, r := range zoneOrderResults {
		if r == result {
			c[i].Add(1)
		}
	}
}

// EvacuateZone commits the order to evacuate a zone. If the zone is evacuated
// already, the order has no effect. EvacuateZone returns the errors of Put, an
// UnknownZoneError, a fleet.FieldError for a malformed name, or a
// ZoneOrdersOffError. Every hub returns the last three at once.
func (d *Daemon) EvacuateZone(ctx context.Context, zone fleet.ZoneID) error {
	_, err := d.orderZone(ctx, catalog.ZoneOrder{Zone: zone, Evacuate: true})
	return err
}

// RestoreZone commits the order to restore a zone. If the zone is not evacuated,
// the order has no effect. The errors are those of EvacuateZone.
func (d *Daemon) RestoreZone(ctx context.Context, zone fleet.ZoneID) error {
	_, err := d.orderZone(ctx, catalog.ZoneOrder{Zone: zone})
	return err
}

func (d *Daemon) orderZone(ctx context.Context, o catalog.ZoneOrder) (catalog.ZoneResult, error) {
	started := time.Now()
	r, err := d.commitZoneOrder(ctx, &o)
	result := resultRepeated
	if r.Changed {
		result = resultAccepted
	}
	if err != nil {
		switch status, _ := Status(err); status {
		case http.StatusTemporaryRedirect:
			result = resultRedirected
		case http.StatusServiceUnavailable:
			result = resultUnavailable
		default:
			result = resultRefused
		}
	}
	d.zoneOrders.add(result)
	// Callers repeat an order many times.
	if ok, leftOut := d.limiter.Allow("zone order "+result, time.Now()); ok {
		zone := o.Zone
		if o.Validate() != nil {
			zone = ""
		}
		d.Log.Info("zone order", zap.String("Result", result), zap.String(logging.Zone, string(zone)), zap.Bool("Evacuate", o.Evacuate),
			zap.Uint64(logging.Revision, uint64(r.Revision)), zap.Duration(logging.After, time.Since(started)), zap.Error(err),
			zap.Uint64(logging.LeftOut, leftOut))
	}
	return r, err
}

func (d *Daemon) commitZoneOrder(ctx context.Context, o *catalog.ZoneOrder) (catalog.ZoneResult, error) {
	command, err := o.Encode()
	if err != nil && d.Settings.ZoneOrders {
		return catalog.ZoneResult{}, err
	}
	l, loopErr := d.zoneLoop()
	switch {
	case loopErr != nil:
		return catalog.ZoneResult{}, loopErr
	case err != nil:
		return catalog.ZoneResult{}, err
	}
	if err := d.checkZone(l, o.Zone); err != nil {
		return catalog.ZoneResult{}, err
	}
	result, err := l.Propose(ctx, command)
	if err != nil {
		return catalog.ZoneResult{}, convertError(err)
	}
	return catalog.DecodeZoneResult(result)
}

// zoneLoop returns the running replica. It returns an UnavailableError if the replica
// is down, and a ZoneOrdersOffError if zone orders are off.
func (d *Daemon) zoneLoop() (*replicaLoop, error) {
	l := d.loop.Load()
	if l == nil {
		return nil, &UnavailableError{Err: replicaDownError{}}
	}
	if !d.Settings.ZoneOrders && d.store.Zones().Revision == 0 {
		return nil, ZoneOrdersOffError{}
	}
	return l, nil
}

// checkZone returns an UnknownZoneError for a zone that no hub accepts. A zone with
// an earlier order is accepted also by a hub whose settings lack the zone, because a
// repeated order must not be refused, and a zone that has left the settings can still
// be restored. While this hub has not restored the orders of its log, checkZone
// returns an UnavailableError for such a zone.
func (d *Daemon) checkZone(l *replicaLoop, zone fleet.ZoneID) error {
	zones := d.store.Zones()
	if _, ok := d.currentRegions()[zone]; ok || zones.Has(zone) {
		return nil
	}
	if !l.caughtUp.Load() {
		return &UnavailableError{Err: logNotRestoredError{}}
	}
	return &UnknownZoneError{Zone: zone}
}

// updateLogApplied sets logApplied. It runs in the replica's goroutine. A new leader may
// remove entries that were not committed, so that the log can remain shorter than it was.
func (l *replicaLoop) updateLogApplied() {
	if l.Replica.Leader() == "" {
		l.logApplied = false
	}
	if l.logApplied || !l.Replica.CaughtUp() {
		return
	}
	s := l.Replica.Stats()
	l.logApplied = s.Applied >= l.lastAtOpen || s.Applied == s.LastIndex
}

// updateCaughtUp sets caughtUp. It runs in the replica's goroutine.
func (l *replicaLoop) updateCaughtUp() {
	if l.caughtUp.Load() || !l.logApplied {
		return
	}
	s := l.Replica.Stats()
	if voter := s.Role == roleFollower || s.Role == roleLeader; voter && s.Leader != "" {
		l.caughtUp.Store(true)
	}
}

// Zones returns the zone orders in force. It returns the errors of Get, or a
// ZoneOrdersOffError.
func (d *Daemon) Zones(ctx context.Context) (catalog.Zones, error) {
	l, err := d.zoneLoop()
	if err != nil {
		return catalog.Zones{}, err
	}
	result := make(chan catalog.Zones, 1)
	if err := l.Read(ctx, func() { result <- l.machine.Zones() }); err != nil {
		return catalog.Zones{}, convertError(err)
	}
	return <-result, nil
}

// zonesChanged publishes committed zone orders. It runs in the replica's goroutine.
func (d *Daemon) zonesChanged(z catalog.Zones) {
	d.Log.Info("zone orders committed", zap.Uint64(logging.Revision, uint64(z.Revision)), zap.Any("Evacuated", z.Evacuated),
		zap.Any("Restored", z.Restored))
	d.store.SetZones(z)
}
