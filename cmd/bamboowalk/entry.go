package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bamboowalk.org/bamboowalk/internal/entry"
)

// entryCommand runs an entry VM.
type entryCommand struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"Settings file."`
	Check  bool   `help:"Check the settings file and exit."`
}

// Run serves until SIGTERM or SIGINT.
func (c *entryCommand) Run() error {
	settings, err := entry.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s: no faults\n", c.Config)
		return nil
	}
	log, err := newLogger(settings.LogFormat, settings.LogLevel)
	if err != nil {
		return fmt.Errorf("making the logger: %w", err)
	}
	// Sync fails on terminals, where it is not needed.
	defer func() { _ = log.Sync() }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d := &entry.Daemon{Settings: settings, Log: log.With(zap.String("VM", string(settings.ID)))}
	return d.Run(ctx)
}

func newLogger(format entry.LogFormat, level zapcore.Level) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if format == entry.LogConsole {
		cfg = zap.NewDevelopmentConfig()
		cfg.Development = false
	}
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return cfg.Build()
}
