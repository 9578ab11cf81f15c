package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"bamboowalk.org/bamboowalk/internal/control"
	"bamboowalk.org/bamboowalk/internal/entry"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

type (
	// StatusCommand prints an overview of the given entry VMs and control replicas.
	StatusCommand struct {
		VMs     []string      `arg:"" help:"Base URLs of the entry VMs' HTTP ports."`
		Servers []string      `help:"Base URLs of the control replicas." env:"BAMBOOWALK_SERVERS"`
		JSON    bool          `help:"Print JSON."`
		Timeout time.Duration `help:"Time to wait for the VMs." default:"5s"`

		Out output `kong:"-"`
	}

	// FleetStatus holds the status of all entry VMs and control replicas of the
	// command.
	FleetStatus struct {
		Entry   []entry.Status   `json:"Entry"`
		Control []control.Status `json:"Control"`
		// Unreachable lists the VMs that did not answer, with the reason.
		Unreachable []Unreachable `json:"Unreachable"`
	}

	// Unreachable is a VM that did not answer.
	Unreachable struct {
		URL    string `json:"URL"`
		Reason string `json:"Reason"`
	}

	// UnreachableError reports that VMs did not answer.
	UnreachableError struct {
		Count int
	}
)

// Error names the number of VMs.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%d VMs did not answer", e.Count) }

// Run prints the status. If a VM did not answer, it returns an UnreachableError
// after it has printed the status of the others.
func (c *StatusCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	s := c.collect(ctx)
	if c.JSON {
		if err := json.NewEncoder(c.Out.writer()).Encode(s); err != nil {
			return fmt.Errorf("encode status: %w", err)
		}
	} else if err := s.print(c.Out); err != nil {
		return fmt.Errorf("print status: %w", err)
	}
	if n := len(s.Unreachable); n > 0 {
		return &UnreachableError{Count: n}
	}
	return nil
}

func (c *StatusCommand) collect(ctx context.Context) *FleetStatus {
	client := &Client{HTTP: http.DefaultClient}
	status := new(FleetStatus)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, url := range c.VMs {
		wg.Go(func() {
			var s entry.Status
			err := client.GetJSON(ctx, strings.TrimSuffix(url, "/")+entry.StatusPath, &s)
			mu.Lock()
			defer mu.Unlock()
			status.add(url, err, func() { status.Entry = append(status.Entry, s) })
		})
	}
	for _, url := range c.Servers {
		wg.Go(func() {
			var s control.Status
			err := client.GetJSON(ctx, strings.TrimSuffix(url, "/")+control.StatusPath, &s)
			mu.Lock()
			defer mu.Unlock()
			status.add(url, err, func() { status.Control = append(status.Control, s) })
		})
	}
	wg.Wait()
	status.sort()
	return status
}

func (s *FleetStatus) add(url string, err error, onSuccess func()) {
	if err != nil {
		s.Unreachable = append(s.Unreachable, Unreachable{URL: url, Reason: err.Error()})
		return
	}
	onSuccess()
}

func (s *FleetStatus) sort() {
	slices.SortFunc(s.Entry, func(a, b entry.Status) int {
		if c := strings.Compare(string(a.Zone), string(b.Zone)); c != 0 {
			return c
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	slices.SortFunc(s.Control, func(a, b control.Status) int { return strings.Compare(string(a.ID), string(b.ID)) })
	slices.SortFunc(s.Unreachable, func(a, b Unreachable) int { return strings.Compare(a.URL, b.URL) })
}

func (s *FleetStatus) print(out output) error {
	w := tabwriter.NewWriter(out.writer(), 0, 0, 2, ' ', 0)
	for _, v := range s.Unreachable {
		fmt.Fprintf(w, "UNREACHABLE\t%s\t%s\n", v.URL, v.Reason)
	}
	if len(s.Control) > 0 {
		fmt.Fprintf(w, "CONTROL VM\tROLE\tTERM\tCOMMIT\tAPPLIED\tREVISION\n")
	}
	for _, v := range s.Control {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", v.ID, v.Role, v.Term, v.Commit, v.Applied, v.Revision)
	}
	fmt.Fprintf(w, "ENTRY VM\tZONE\tHEALTH\tEPOCH\tSEALED\tLEASE\tVOTES\tREVISION\tMEMBERS\tFLOWS\tREFUSED\tDROPPED\tUNREACHABLE ZONES\n")
	for i := range s.Entry {
		v := &s.Entry[i]
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%v\t%v\t%d\t%d\t%d\t%d\t%d\t%s\n", v.ID, v.Zone, v.Health, v.Epoch, v.Sealed, v.HasLease, v.Voting,
			v.Revision, len(v.Members), v.Flows, v.Refused, v.Dropped, strings.Join(v.UnreachableZones(), " "))
	}
	s.printRevision(w)
	s.printTargets(w)
	return w.Flush()
}

// printRevision prints the newest revision that an entry VM reports, and the
// number of entry VMs at which this revision is in force. It also prints the
// time between the first and the last of these VMs to apply the revision, by
// the clocks of the VMs.
func (s *FleetStatus) printRevision(w *tabwriter.Writer) {
	newest := fleet.Revision(0)
	for i := range s.Entry {
		newest = max(newest, s.Entry[i].Revision)
	}
	count := 0
	var first, last time.Time
	for i := range s.Entry {
		v := &s.Entry[i]
		if v.Revision != newest {
			continue
		}
		if count == 0 || v.RevisionAt.Before(first) {
			first = v.RevisionAt
		}
		if count == 0 || v.RevisionAt.After(last) {
			last = v.RevisionAt
		}
		count++
	}
	fmt.Fprintf(w, "REVISION\t%d\tin force at %d of %d entry VMs\twithin %v\n", newest, count, len(s.Entry), last.Sub(first).Round(time.Millisecond))
}

// printTargets prints the targets with their zones, states and owners. If VMs
// with different views both own a target, the report of the VM with the higher
// epoch is printed.
func (s *FleetStatus) printTargets(w *tabwriter.Writer) {
	type reportedTarget struct {
		entry.TargetStatus
		vm *entry.Status
	}
	newest := make(map[fleet.TargetID]reportedTarget)
	for i := range s.Entry {
		v := &s.Entry[i]
		for _, t := range v.Targets {
			if n, ok := newest[t.ID]; !ok || v.Epoch > n.vm.Epoch {
				newest[t.ID] = reportedTarget{t, v}
			}
		}
	}
	lines := make([]string, 0, len(newest))
	for id, t := range newest {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%s\n", id, t.vm.Zone, t.State, t.Owner))
	}
	slices.Sort(lines)
	fmt.Fprintf(w, "TARGET\tZONE\tSTATE\tOWNER\n%s", strings.Join(lines, ""))
}
