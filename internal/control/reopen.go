package control

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/replication"
	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/replica"
	"bamboowalk.org/bamboowalk/pkg/settings"
	"bamboowalk.org/bamboowalk/pkg/spread"
)

// reopenDelay is the delay before a replica that has stopped because of a disk failure is
// opened again.
const reopenDelay = 500 * time.Millisecond

// currentLog is the ReplicatedLog of a daemon, whose replica may be down.
type currentLog struct{ d *Daemon }

var _ ReplicatedLog = currentLog{}

// Write proposes a write and waits for the result of the write.
func (c currentLog) Write(ctx context.Context, w *settings.Write) (*settings.Result, error) {
	if l := c.d.loop.Load(); l != nil {
		return l.Write(ctx, w)
	}
	return nil, &UnavailableError{Err: replication.StoppedError{}}
}

// Read calls f in the loop's goroutine once the state machine is up to date.
func (c currentLog) Read(ctx context.Context, f func(m *settings.StateMachine)) error {
	if l := c.d.loop.Load(); l != nil {
		return l.Read(ctx, f)
	}
	return &UnavailableError{Err: replication.StoppedError{}}
}

// Status returns the state of the replica; the role is "Stopped" while it is down.
func (c currentLog) Status() Status {
	if l := c.d.loop.Load(); l != nil {
		return l.Status()
	}
	return Status{ID: c.d.Settings.ID, Role: "Stopped"}
}

// answer returns the reply to a pull from an entry VM.
func (c currentLog) answer(from fleet.VMID, m spread.Message) (spread.Message, error) {
	if l := c.d.loop.Load(); l != nil {
		return l.answer(from, m)
	}
	return spread.Message{}, replication.StoppedError{}
}

// deliver passes a message from another replica to the loop.
func (c currentLog) deliver(ctx context.Context, from fleet.VMID, m replica.Message) bool {
	l := c.d.loop.Load()
	return l != nil && l.Deliver(ctx, from, m)
}

// runReplica runs the replica until ctx ends, and opens it again after a failure of the
// disk, for example while the disk is full. It returns any other failure.
func (d *Daemon) runReplica(ctx context.Context) error {
	for {
		var err error
		if l := d.loop.Load(); l != nil {
			err = l.Run(ctx)
		}
		var disk *replica.DiskError
		if ctx.Err() != nil || err != nil && !errors.As(err, &disk) {
			return err
		}
		if err != nil {
			d.Log.Error("replica stopped", zap.Error(err), zap.Duration("retry", reopenDelay))
		}
		if err := d.reopen(ctx); err != nil {
			return err
		}
	}
}

// reopen opens the replica as soon as the disk allows it. It returns nil if ctx ends first.
func (d *Daemon) reopen(ctx context.Context) error {
	failing := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reopenDelay):
		}
		err := d.openLoop(time.Now())
		var disk *replica.DiskError
		if err == nil {
			d.Log.Info("replica is open")
			return nil
		}
		if !errors.As(err, &disk) {
			return err
		}
		if err.Error() != failing {
			failing = err.Error()
			d.Log.Warn("replica can't be opened", zap.Error(err), zap.Duration("retry", reopenDelay))
		}
	}
}

// openLoop opens the replica and makes its loop the current one.
func (d *Daemon) openLoop(now time.Time) error {
	m := settings.NewStateMachine()
	r, err := d.openReplica(m, now)
	if err != nil {
		return err
	}
	d.hintAddresses = &subscribers{addresses: make(map[fleet.VMID]netip.AddrPort)}
	l := &loop{
		Loop:       replication.Loop{Replica: r, Send: d.transport.Send, QueueBytes: d.transport.QueueBytes, Log: d.Log},
		self:       d.Settings.ID,
		machine:    m,
		spreadNode: &spread.Node{Self: d.Settings.ID, Store: settingsStore{m}, Replica: true},
		recorder:   d.ring,
		sendHint:   d.sendHint,
		url:        d.url,
	}
	l.init()
	d.loop.Store(l)
	return nil
}
