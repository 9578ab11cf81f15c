// Command bamboowalk runs the daemons and tools of the load balancer.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/explain"
	"bamboowalk.org/bamboowalk/internal/load"
	"bamboowalk.org/bamboowalk/internal/operator"
	"bamboowalk.org/bamboowalk/internal/report"
)

// version is set by the release build.
var version = "dev"

type (
	commands struct {
		Entry    entryCommand             `cmd:"" help:"Run an entry VM."`
		Control  control.Command          `cmd:"" help:"Run a control VM."`
		Config   operator.ConfigCommand   `cmd:"" help:"Read and write settings."`
		Status   operator.StatusCommand   `cmd:"" help:"Print one screen about all VMs."`
		Zone     operator.ZoneCommand     `cmd:"" help:"Evacuate and restore zones of a deployment with hubs."`
		Timeline operator.TimelineCommand `cmd:"" help:"Gather the events of all processes in causal order."`
		Load     load.Command             `cmd:"" help:"Run experiments in virtual time and compare results."`
		Explain  explain.Command          `cmd:"" help:"Print what the logs of all processes tell about one flow."`
		Report   report.Command           `cmd:"" help:"Make an HTML page of what the logs of all processes tell."`
		Soak     soakCommand              `cmd:"" help:"Run the daemons of the users' platform as processes under random faults, and judge what callers and targets see."`
		Demo     demoCommand              `cmd:"" help:"Run entry VMs, callers and targets in one process and check the guarantees."`
		Version  versionCommand           `cmd:"" help:"Print the version."`
	}

	versionCommand struct{}
)

// Run prints the version and the Go release.
func (versionCommand) Run() error {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Printf("bamboowalk %s (%s)\n", version, goVersion)
	return nil
}

func main() {
	var cmds commands
	ctx := kong.Parse(&cmds, kong.Name("bamboowalk"), kong.Description("A layer-4 load balancer."),
		kong.BindTo(context.Background(), (*context.Context)(nil)),
		kong.BindSingletonProvider(cmds.Config.Client))
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "bamboowalk: error: %v\n", err)
		os.Exit(operator.ExitCode(err))
	}
}
