package control

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Command runs a control VM.
type Command struct {
	Config    string `help:"Settings file." required:"" type:"existingfile"`
	Check     bool   `help:"Check the settings and exit."`
	Bootstrap bool   `help:"Make an empty data folder the first state of a new fleet; give it once in the life of a fleet, to all first replicas."`
}

// Run serves until SIGTERM or an interrupt. If Check is set, it only validates
// the settings file.
func (c *Command) Run(ctx context.Context) error {
	s, err := LoadSettings(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Printf("%s: settings are valid\n", c.Config)
		return nil
	}
	log, err := s.Log.New()
	if err != nil {
		return &OpenError{Resource: "the log output", Err: err}
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := &Daemon{Settings: s, Bootstrap: c.Bootstrap, Log: log}
	return d.Run(ctx)
}
