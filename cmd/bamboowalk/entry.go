package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/cluster"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// entryCommand runs an entry VM.
type entryCommand struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"Settings file."`
	Check  bool   `help:"Check the settings file and exit."`
}

// Run runs the entry VM until SIGTERM or SIGINT. With Check, it only checks the
// settings file.
func (c *entryCommand) Run() error {
	settings, err := entry.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s: settings are valid\n", c.Config)
		return nil
	}
	log, err := settings.Log.New()
	if err != nil {
		return fmt.Errorf("creating the logger: %w", err)
	}
	// Sync fails on terminals, where it is not needed, so its error is ignored.
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log = log.With(zap.String("VM", string(settings.ID)))
	ring := timeline.NewRing(settings.ID)
	d := &entry.Daemon{Settings: settings, Log: log, Recorder: ring, Timeline: ring}
	if len(settings.Replicas) > 0 {
		if d.Membership, err = cluster.Open(settings, ring, log, time.Now()); err != nil {
			return err
		}
	}
	return d.Run(ctx)
}
