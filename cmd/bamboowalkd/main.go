// Command bamboowalkd runs the daemons on the users' platform. It links none of
// the tools of command bamboowalk, since memory on the entry VMs is dear.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bamboowalk.org/bamboowalk/platform"
)

type (
	commands struct {
		Entry   entryCommand   `cmd:"" help:"Run an entry VM."`
		Control controlCommand `cmd:"" help:"Run a control VM."`
	}

	entryCommand   struct{}
	controlCommand struct{}
)

// Run serves until SIGTERM or SIGINT.
func (entryCommand) Run(ctx context.Context, log *zap.Logger) error {
	return platform.RunEntry(ctx, log)
}

// Run serves until SIGTERM or SIGINT.
func (controlCommand) Run(ctx context.Context, log *zap.Logger) error {
	return platform.RunControl(ctx, log)
}

func main() {
	var cmds commands
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.Lock(os.Stdout), zap.InfoLevel))
	k := kong.Parse(&cmds, kong.Name("bamboowalkd"), kong.Description("The daemons of a layer-4 load balancer."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(log))
	if err := k.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "bamboowalkd: error: %v\n", err)
		os.Exit(1)
	}
}
