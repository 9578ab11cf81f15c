package hub

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

// OutdatedDrainError reports that a target announced a drain while another process of it,
// with a later start, takes new flows.
type OutdatedDrainError struct{ Target fleet.TargetID }

// Error names the target.
func (e *OutdatedDrainError) Error() string {
	return fmt.Sprintf("drain of %s is not in force: a process with a later start takes new flows", e.Target)
}

// Announce records an announcement of a target. It returns the hub to which the
// target should send the next one, or "" for this hub: targets announce themselves
// to hubs of their own zone, so that a partition between zones separates them from
// no hub that their zone's entry VMs follow. If the target is draining, Announce
// waits until a majority of the hubs has acknowledged the record, and returns an
// UnavailableError if that takes more than confirmTimeout. It returns a
// fleet.FieldError for an invalid record, and an UnavailableError just after a suspension
// of this hub: the call may have waited meanwhile.
func (d *Daemon) Announce(ctx context.Context, rec registry.Record) (fleet.VMID, error) {
	now := time.Now()
	if d.store.CatchingUp(now) {
		return "", &UnavailableError{Err: catchingUpError{}}
	}
	if rec.Target.State == fleet.TargetDraining {
		return "", d.announceDrain(ctx, rec, now)
	}
	if _, err := d.store.Merge(rec, now); err != nil {
		return "", err
	}
	next := d.store.HubOf(rec.Target.Zone, rec.Target.ID.Incarnation)
	if next == d.Settings.ID() {
		return "", nil
	}
	return next, nil
}

// announceDrain records the announcement of a draining target that arrived at the given
// time, and waits for a majority of the hubs. While a process of the target with a later
// start takes new flows, it first waits for an announcement of that process, which shows that
// the drain is a late call: to acknowledge a drain that no hub has recorded would promise that
// no new flow reaches the target.
func (d *Daemon) announceDrain(ctx context.Context, rec registry.Record, arrived time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		v, inForce, err := d.store.Drain(rec, arrived, time.Now())
		if err != nil {
			return err
		}
		if inForce {
			return d.confirm(ctx, rec.Target.ID.Incarnation, v)
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{Err: &OutdatedDrainError{Target: rec.Target.ID}}
		case <-time.After(tickInterval):
		}
	}
}

// Leave records that a target has announced its end, as registry.Registry.Leave does. It
// waits for a majority of the hubs as Announce does, and returns the same
// UnavailableErrors.
func (d *Daemon) Leave(ctx context.Context, l registry.Leave) error {
	now := time.Now()
	if d.store.CatchingUp(now) {
		return &UnavailableError{Err: catchingUpError{}}
	}
	return d.confirm(ctx, l.Target, d.store.Leave(l, now))
}

func (d *Daemon) confirm(ctx context.Context, id fleet.Incarnation, v registry.Version) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := d.store.Confirmed(ctx, d.Settings.ID(), v)
	d.Log.Info("finished waiting for a majority of hubs to acknowledge a draining or gone target", zap.Uint64("Incarnation", uint64(id)), zap.Bool("Confirmed", err == nil),
		zap.Duration(logging.After, time.Since(started)))
	if err != nil {
		return &UnavailableError{Err: err}
	}
	return nil
}

// Put commits a document. The document has no effect if a document with the
// same or a higher number is in force. Put returns a NotLeaderError, an
// UnavailableError if the replica is down or the outcome is unknown, a
// replica.TooLargeError, or the error of Document.Encode.
func (d *Daemon) Put(ctx context.Context, doc catalog.Document) error {
	l := d.loop.Load()
	if l == nil {
		return &UnavailableError{Err: replicaDownError{}}
	}
	command, err := doc.Encode()
	if err != nil {
		return err
	}
	_, err = l.Propose(ctx, command)
	return convertError(err)
}

// Get returns the newest document, or one with number 0 if there is none. It
// returns a NotLeaderError, or an UnavailableError if the replica is down or no
// majority confirms that the document is the newest.
func (d *Daemon) Get(ctx context.Context) (catalog.Document, error) {
	l := d.loop.Load()
	if l == nil {
		return catalog.Document{}, &UnavailableError{Err: replicaDownError{}}
	}
	result := make(chan catalog.Document, 1)
	if err := l.Read(ctx, func() { result <- l.machine.Document() }); err != nil {
		return catalog.Document{}, convertError(err)
	}
	return <-result, nil
}

// convertError converts an error of the replica to a NotLeaderError or an
// UnavailableError, except for a replica.TooLargeError, which it returns.
func convertError(err error) error {
	if err == nil {
		return nil
	}
	var tooLarge *replica.TooLargeError
	if errors.As(err, &tooLarge) {
		return tooLarge
	}
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Leader: notLeader.Leader}
	}
	return &UnavailableError{Err: err}
}
