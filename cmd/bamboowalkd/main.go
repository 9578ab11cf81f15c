// Command bamboowalkd runs the daemons on the users' platform. It does not link
// the tools of command bamboowalk, to save memory on the entry VMs.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"bamboowalk.org/bamboowalk/internal/logging"
	"bamboowalk.org/bamboowalk/platform"
)

// gcPercent is the heap growth in percent that triggers a garbage collection.
// The users' platform charges for memory, and the daemons allocate little: 25
// instead of 100 uses 1.8 MB less memory and 8 % more CPU time.
const gcPercent = 25

type (
	commands struct {
		Entry   entryCommand   `cmd:"" help:"Run an entry VM."`
		Control controlCommand `cmd:"" help:"Run a control VM."`
	}

	entryCommand struct {
		Config string `type:"path" placeholder:"FILE" help:"Settings file; left out, the one that the platform has made."`
		Check  bool   `help:"Check the settings file and exit."`
	}

	controlCommand struct {
		Config string `type:"path" placeholder:"FILE" help:"Settings file; left out, the one that the platform has made."`
		Check  bool   `help:"Check the settings file and exit."`
	}
)

// Run runs the entry VM until ctx is done. With Check, it only checks the
// settings file.
func (c *entryCommand) Run(ctx context.Context, log platform.Log) error {
	path := cmp.Or(c.Config, platform.SettingsPath())
	if c.Check {
		return report(path, platform.CheckEntry(path))
	}
	return platform.RunEntry(ctx, path, log)
}

// Run runs the control VM until ctx is done. With Check, it only checks the
// settings file.
func (c *controlCommand) Run(ctx context.Context, log platform.Log) error {
	path := cmp.Or(c.Config, platform.SettingsPath())
	if c.Check {
		return report(path, platform.CheckControl(path))
	}
	return platform.RunControl(ctx, path, log)
}

// report prints that a settings file is valid if err is nil. It returns err.
func report(path string, err error) error {
	if err == nil {
		fmt.Printf("%s: settings are valid\n", path)
	}
	return err
}

func main() {
	// Until the settings are watched, SIGHUP would end the process.
	signal.Ignore(syscall.SIGHUP)
	debug.SetGCPercent(gcPercent)
	var cmds commands
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger, w := logging.New(os.Stdout, zap.InfoLevel)
	log := platform.Log{Logger: logger, Dropped: w.Dropped}
	k := kong.Parse(&cmds, kong.Name("bamboowalkd"), kong.Description("The daemons of a layer-4 load balancer."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(log))
	err := k.Run()
	w.Close()
	if err != nil {
		fmt.Fprintf(os.Stderr, "bamboowalkd: error: %v\n", err)
		os.Exit(1)
	}
}
