package load

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"bamboowalk.org/bamboowalk/pkg/balancer"
)

type (
	// Command defines the subcommands of "bamboowalk load" for kong.
	Command struct {
		Run     RunCommand     `cmd:"" help:"Run a workload in virtual time and write its result."`
		Compare CompareCommand `cmd:"" help:"Put two results side by side."`
		List    ListCommand    `cmd:"" help:"List the workloads that are part of the program."`
	}

	// RunCommand runs one workload.
	RunCommand struct {
		Workload  string    `arg:"" help:"File of the workload, or its name in the list."`
		Seed      uint64    `default:"1" help:"Seed of arrivals, service times and spraying."`
		Strategy  Strategy  `default:"TargetOwner" enum:"TargetOwner,FlowOwner,Table,TargetOwnerModel,FlowOwnerModel,TableModel" help:"Placement strategy (${enum})."`
		Admission Admission `default:"Adaptive" enum:"Adaptive,Unlimited,StrictPriority,StaticLimits" help:"Admission control (${enum})."`
		JSON      string    `name:"json" placeholder:"FILE" help:"Write the result as JSON."`
		HTML      string    `name:"html" placeholder:"FILE" help:"Write the result as an HTML page."`
	}

	// CompareCommand compares two result files.
	CompareCommand struct {
		Before string `arg:"" help:"First result file."`
		After  string `arg:"" help:"Second result file."`
		HTML   string `name:"html" placeholder:"FILE" help:"Write the comparison as an HTML page."`
	}

	// ListCommand lists the embedded workloads.
	ListCommand struct{}
)

// Run runs the workload and prints a summary.
func (c *RunCommand) Run() error {
	w, err := Load(c.Workload)
	if err != nil {
		return err
	}
	r, err := Run(w, c.Seed, c.Strategy, c.Admission)
	if err != nil {
		return err
	}
	r.Summary(os.Stdout)
	if c.JSON != "" {
		if err := r.Write(c.JSON); err != nil {
			return err
		}
	}
	if c.HTML == "" {
		return nil
	}
	return writePageFile(c.HTML, func(out io.Writer) error { return WritePage(out, r) })
}

// Run prints the comparison.
func (c *CompareCommand) Run() error {
	before, errBefore := ReadResult(c.Before)
	after, errAfter := ReadResult(c.After)
	if err := errors.Join(errBefore, errAfter); err != nil {
		return err
	}
	rows := Compare(before, after)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "measure\t%s\t%s\tchange\t\n", filepath.Base(c.Before), filepath.Base(c.After))
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", row.Measure, row.Before, row.After, row.Change)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if c.HTML == "" {
		return nil
	}
	return writePageFile(c.HTML, func(out io.Writer) error { return WriteComparison(out, before, after) })
}

// Run prints the names of the workloads.
func (ListCommand) Run() error {
	for _, name := range Names() {
		fmt.Println(name)
	}
	return nil
}

func writePageFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return &ResultError{File: name, Err: err}
	}
	if err := errors.Join(write(f), f.Close()); err != nil {
		return &ResultError{File: name, Err: err}
	}
	return nil
}

// Summary prints the result as text.
func (r *Result) Summary(out io.Writer) {
	fmt.Fprintf(out, "%s, %s, %s, seed %d\n", r.Workload, r.Strategy, r.Admission, r.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\toffered\ton time\tload\tgoodput\tfloor\tlate\tbroken\tunanswered\topen\tretries\tp50\tp99\trefused\t")
	for _, k := range r.Kinds {
		fmt.Fprintf(w, "%s\t%d\t%.2f %%\t%.3f\t%.4f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%s\t\n", k.Kind, k.Offered,
			100*k.OnTimeShare, k.OfferedLoad, k.Goodput, k.Floor, k.Late, k.Broken, k.Unanswered, k.Open, k.Retries,
			k.Latency.P50, k.Latency.P99, causes(k.Refused))
	}
	fmt.Fprintln(w, "service\tgoodput\tbusy\timbalance\t")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%s\t%.4f\t%.4f\t%.3f\t\n", s.Service, s.Goodput, s.Busy, s.Imbalance)
	}
	// A failure to print the summary can't be reported anywhere.
	_ = w.Flush()
	fmt.Fprintf(out, "broken flows %d, double runs %d, refusals that ran %d, passes per flow %.2f, control %.0f B/s per VM, drops: %s\n",
		r.BrokenFlows, r.DoubleRuns, r.RefusalsThatRan, r.PassesPerRequest, r.ControlRate, causes(r.Drops))
}

// causes lists counts by cause, ordered by name.
func causes(counts map[balancer.Cause]int) string {
	var parts []string
	for cause, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", cause, n))
	}
	if len(parts) == 0 {
		return "-"
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
