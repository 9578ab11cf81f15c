package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap/zapcore"

	"bamboowalk.org/bamboowalk/internal/demo"
	"bamboowalk.org/bamboowalk/internal/settingsfile"
)

type (
	demoCommand struct {
		Traffic time.Duration `default:"14s" help:"Time in which requests start."`
		Seed    uint64        `default:"1" help:"Seed of the random numbers."`
		Verbose bool          `short:"v" help:"Print the log of the entry VMs."`
	}

	// guaranteeError reports that a check of the demo failed. The summary of the
	// demo has the details.
	guaranteeError struct{}
)

func (guaranteeError) Error() string { return "a guarantee was broken" }

// Run runs the demo and prints the summary. It returns a guaranteeError if a
// check failed.
func (c *demoCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	opts := demo.Options{Traffic: c.Traffic, Seed: c.Seed, Out: os.Stdout}
	if c.Verbose {
		log, err := settingsfile.Log{Format: settingsfile.LogConsole, Level: zapcore.DebugLevel}.New()
		if err != nil {
			return fmt.Errorf("creating the logger: %w", err)
		}
		opts.Log = log
	}
	report, err := demo.Run(ctx, opts)
	if err != nil {
		return fmt.Errorf("running the demo: %w", err)
	}
	if report.Failed() {
		return guaranteeError{}
	}
	return nil
}
