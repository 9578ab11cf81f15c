package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"bamboowalk.org/bamboowalk/platform/emulator"
)

// startTimeout is the maximum time from the start of a deployment until all
// entry VMs are in rotation.
const startTimeout = 30 * time.Second

type (
	// soakCommand runs the daemons for the users' platform under random faults
	// in an emulator of the platform.
	soakCommand struct {
		Binary    string        `default:"bin/bamboowalkd" type:"path" help:"Program of the daemons."`
		Templates string        `default:"deploy" type:"path" help:"Folder of the templates of their settings."`
		Dir       string        `type:"path" help:"Folder for settings, data and logs, one a seed; left out, a temporary one that is kept where a seed fails."`
		First     uint64        `default:"1" help:"First seed."`
		Count     int           `default:"1" help:"Number of seeds."`
		Length    time.Duration `default:"12s" help:"Time in which faults begin."`
		Entries   int           `default:"2" help:"Entry VMs in each of three zones."`
		Controls  int           `default:"0" help:"Control VMs in each of three zones; left out, one, or two with --replace."`
		Verbose   bool          `short:"v" help:"Print each step."`

		Replace      bool    `help:"Replace control VMs, and end with a final fault."`
		Script       int     `help:"With --replace: instead of random steps, replace this number of control VMs, without the leader among their seeds."`
		ControlShare float64 `help:"Share of the time in which control VMs run, in periods of 100 ms; 0: all the time."`
		EntryShare   float64 `help:"The same for entry VMs."`
	}

	// soakError reports the seeds of failed runs.
	soakError struct{ seeds []uint64 }
)

// Error returns a message that lists the seeds.
func (e *soakError) Error() string { return fmt.Sprintf("checks failed for seeds %v", e.seeds) }

// Run runs a soak for each seed, one after the other. It returns a *soakError
// if the checks failed for any seed.
func (c *soakCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir := c.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "bamboowalk-soak-"); err != nil {
			return err
		}
	}
	var failed []uint64
	for i := range uint64(c.Count) {
		seed := c.First + i
		result, err := c.runSeed(ctx, seed, filepath.Join(dir, fmt.Sprint(seed)))
		if ctx.Err() != nil {
			return fmt.Errorf("seed %d: %w", seed, ctx.Err())
		}
		if err != nil {
			fmt.Printf("seed %d: %v\n", seed, err)
			failed = append(failed, seed)
			continue
		}
		fmt.Printf("seed %d: ", seed)
		result.Print(os.Stdout)
		if result.Failed() {
			failed = append(failed, seed)
		}
	}
	if len(failed) > 0 {
		fmt.Printf("logs are in %s\n", dir)
		return &soakError{failed}
	}
	if c.Dir == "" {
		return os.RemoveAll(dir)
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, seed uint64, dir string) (*emulator.SoakResult, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	cfg := emulator.ExampleConfig()
	if c.Replace {
		cfg = emulator.ReplacementConfig()
	}
	cfg.Links, cfg.Entries, cfg.Controls = true, c.Entries, cmp.Or(c.Controls, cfg.Controls)
	p, err := emulator.New(cfg)
	if err != nil {
		return nil, err
	}
	s := &emulator.System{Platform: p, Binary: c.Binary, Templates: c.Templates, Dir: dir, ControlShare: c.ControlShare, EntryShare: c.EntryShare}
	defer func() {
		p.Stop()
		if err := s.KillAll(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.StartAndWait(startCtx); err != nil {
		return nil, err
	}
	soak := &emulator.Soak{System: s, Out: io.Discard}
	switch {
	case c.Script > 0:
		soak.Steps = emulator.ReplacementScript(c.Script)
	case c.Replace:
		soak.Steps = emulator.RandomReplacementSteps(seed, c.Length)
	default:
		soak.Steps = emulator.RandomSteps(seed, c.Length)
	}
	if c.Replace {
		soak.Final, soak.Bounds = emulator.RandomFinal(seed), emulator.ReplacementBounds()
	}
	if c.Verbose {
		soak.Out = os.Stdout
	}
	return soak.Run(ctx)
}
