// Command bamboowalk runs the daemons and tools of the load balancer.
package main

import (
	"fmt"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// version is set by the release build.
var version = "dev"

type (
	commands struct {
		Entry   entryCommand   `cmd:"" help:"Run an entry VM."`
		Demo    demoCommand    `cmd:"" help:"Run entry VMs, callers and targets in one process and check the guarantees."`
		Version versionCommand `cmd:"" help:"Print the version."`
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
	ctx := kong.Parse(&cmds, kong.Name("bamboowalk"), kong.Description("A layer-4 load balancer."))
	ctx.FatalIfErrorf(ctx.Run())
}
