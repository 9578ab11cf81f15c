package hub

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/registry"
	"bamboowalk.org/bamboowalk/pkg/replica"
)

// Announce takes an announcement of a target. One that says that the target
// drains is acknowledged only once a majority of the hubs knows it; until then
// Announce returns an UnavailableError. It returns a fleet.FieldError for an
// invalid record.
func (d *Daemon) Announce(ctx context.Context, rec registry.Record) error {
	v, err := d.board.Merge(rec, time.Now())
	if err != nil {
		return err
	}
	if rec.Target.State != fleet.TargetDraining {
		return nil
	}
	return d.confirm(ctx, rec.Target.ID.Incarnation, v)
}

// Leave ends a target; see Announce for the acknowledgement.
func (d *Daemon) Leave(ctx context.Context, id fleet.Incarnation) error {
	return d.confirm(ctx, id, d.board.Leave(id, time.Now()))
}

func (d *Daemon) confirm(ctx context.Context, id fleet.Incarnation, v registry.Version) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	err := d.board.Confirmed(ctx, d.Settings.ID(), v)
	d.Log.Info("end of a target acknowledged", zap.Uint64("Incarnation", uint64(id)), zap.Bool("Confirmed", err == nil),
		zap.Duration(logging.After, time.Since(started)))
	if err != nil {
		return &UnavailableError{Err: err}
	}
	return nil
}

// Put puts a document into force, unless one with its number or a higher one
// already is. It returns a NotLeaderError, and an UnavailableError where the
// outcome is unknown.
func (d *Daemon) Put(ctx context.Context, doc catalog.Document) error {
	l := d.log.Load()
	if l == nil {
		return &UnavailableError{Err: replicaDownError{}}
	}
	command, err := doc.Encode()
	if err != nil {
		return err
	}
	_, err = l.Propose(ctx, command)
	return translate(err)
}

// Get returns the newest document; its number is 0 where there is none. It
// returns a NotLeaderError, and an UnavailableError where this hub can't be
// sure which document is the newest.
func (d *Daemon) Get(ctx context.Context) (catalog.Document, error) {
	l := d.log.Load()
	if l == nil {
		return catalog.Document{}, &UnavailableError{Err: replicaDownError{}}
	}
	found := make(chan catalog.Document, 1)
	if err := l.Read(ctx, func() { found <- l.machine.Document() }); err != nil {
		return catalog.Document{}, translate(err)
	}
	return <-found, nil
}

// translate turns an error of the log into one of a hub.
func translate(err error) error {
	if err == nil {
		return nil
	}
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Leader: notLeader.Leader}
	}
	return &UnavailableError{Err: err}
}
