package operator

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

// TimelineCommand prints the events of the given processes in causal order.
type TimelineCommand struct {
	Sources []timeline.Source `arg:"" help:"Base URLs of the processes' HTTP ports."`
	Format  timeline.Format   `help:"Output format: ${enum}." enum:"text,json,html" default:"text"`
	Follow  bool              `help:"Go on with events as they come, as text."`
	Kind    []timeline.Kind   `help:"Kinds of events to show."`
	Flow    string            `help:"Show events whose flow contains this text."`
	Target  string            `help:"Show events whose target contains this text."`
	VM      fleet.VMID        `help:"Show events of or about this VM."`
	Service fleet.ServiceID   `help:"Show events of this service."`
	Since   time.Duration     `help:"Show events of this long ago and later."`
	Timeout time.Duration     `help:"Time to wait for the processes." default:"5s"`

	Out output `kong:"-"`
}

// Run writes the collected events, or follows new ones until it is interrupted. A
// process that can't be reached is reported as a gap.
func (c *TimelineCommand) Run(ctx context.Context) error {
	client := &timeline.Client{Sources: c.Sources, Filter: c.filter(time.Now()), HTTP: http.DefaultClient}
	if c.Follow {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		client.Follow(ctx,
			func(e timeline.Event) { c.Out.printf("%s\n", e.Text()) },
			func(err error) { c.Out.printf("gap: %v\n", err) })
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	collection := client.Collect(ctx)
	return collection.Write(c.Out.writer(), c.Format)
}

func (c *TimelineCommand) filter(now time.Time) timeline.Filter {
	f := timeline.Filter{Kinds: c.Kind, Flow: c.Flow, Target: c.Target, VM: c.VM, Service: c.Service}
	if c.Since > 0 {
		f.From = now.Add(-c.Since)
	}
	return f
}
