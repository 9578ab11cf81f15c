package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"bamboowalk.org/bamboowalk/internal/hub"
	"bamboowalk.org/bamboowalk/pkg/catalog"
	"bamboowalk.org/bamboowalk/pkg/fleet"
)

const (
	// zoneRetryInterval is the time between two rounds of calls to all hubs.
	zoneRetryInterval = 100 * time.Millisecond
	// zoneCallTimeout bounds one call. A hub answers a call without a majority within
	// 2 s.
	zoneCallTimeout = 3 * time.Second
)

type (
	// ZoneCommand evacuates and restores zones of a deployment with hubs.
	ZoneCommand struct {
		Evacuate evacuateCommand  `cmd:"" help:"Evacuate a zone: no new flow goes to its targets."`
		Restore  restoreCommand   `cmd:"" help:"Restore an evacuated zone."`
		List     listZonesCommand `cmd:"" help:"Print the zone orders in force, the hubs and the entry VMs."`
	}

	evacuateCommand struct{ zoneOrderCommand }

	restoreCommand struct{ zoneOrderCommand }

	zoneOrderCommand struct {
		Zone string `arg:"" help:"Name of the zone."`
		Wait bool   `help:"Wait until the order is in force at every entry VM that is connected to a hub."`
		hubOptions
	}

	listZonesCommand struct {
		JSON bool `help:"Print JSON."`
		hubOptions
	}

	hubOptions struct {
		Hub     []string      `required:"" help:"HTTP address of a hub; repeat the flag to name several." placeholder:"ADDRESS"`
		Timeout time.Duration `help:"Time for the whole command." default:"30s"`

		Out output `kong:"-"`
	}

	// ZoneCallError reports that a hub has refused a call. Reason is the hub's text.
	ZoneCallError struct {
		Hub    string
		Status int
		Reason string
	}

	// LaggingError reports that a zone order is committed, but that it was not in
	// force in time at the entry VMs in EntryVMs, or that the hubs in Hubs, to which
	// entry VMs may be connected, did not answer.
	LaggingError struct {
		Revision       catalog.ZoneRevision
		EntryVMs, Hubs []fleet.VMID
	}

	// fleetZones holds the responses of all hubs.
	fleetZones struct {
		Hubs []hub.ZonesStatus `json:"Hubs"`
		// Unreachable holds the hubs that did not answer.
		Unreachable []Unreachable `json:"Unreachable"`
	}
)

// Error returns the hub, the status and the reason.
func (e *ZoneCallError) Error() string {
	return fmt.Sprintf("hub %s: status %d: %s", e.Hub, e.Status, e.Reason)
}

// Error lists the entry VMs and the hubs.
func (e *LaggingError) Error() string {
	var parts []string
	if len(e.EntryVMs) > 0 {
		parts = append(parts, fmt.Sprintf("entry VMs that lag: %v", e.EntryVMs))
	}
	if len(e.Hubs) > 0 {
		parts = append(parts, fmt.Sprintf("hubs that do not answer: %v", e.Hubs))
	}
	return fmt.Sprintf("revision %d is committed but not in force everywhere: %s", e.Revision, strings.Join(parts, "; "))
}

// Run evacuates the zone. It returns the errors of zoneOrderCommand.run.
func (c *evacuateCommand) Run(ctx context.Context) error { return c.run(ctx, hub.EvacuatePath) }

// Run restores the zone. It returns the errors of zoneOrderCommand.run.
func (c *restoreCommand) Run(ctx context.Context) error { return c.run(ctx, hub.RestorePath) }

// run sends the order to the hubs in turn until one has committed it, and waits for
// the entry VMs if Wait is set. It returns a ZoneCallError if a hub refuses the order,
// a NoReplicaError if no hub has committed it in time, and a LaggingError if it was
// committed but not in force in time.
func (c *zoneOrderCommand) run(ctx context.Context, action string) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var r hub.ZoneOrderResponse
	if err := c.callAny(ctx, http.MethodPost, hub.ZonesPath+"/"+url.PathEscape(c.Zone)+action, &r); err != nil {
		return err
	}
	changed := "the order was in force before"
	if r.Changed {
		changed = "committed"
	}
	fmt.Fprintf(c.Out.writer(), "revision %d: %s\n", r.Revision, changed)
	if !c.Wait {
		return nil
	}
	return c.wait(ctx, r.Revision)
}

// wait waits until all entry VMs have acknowledged a revision, and prints progress.
func (c *zoneOrderCommand) wait(ctx context.Context, r catalog.ZoneRevision) error {
	last := ""
	e := &LaggingError{Revision: r}
	for {
		s := c.collect(ctx)
		if ctx.Err() != nil && len(e.EntryVMs)+len(e.Hubs) > 0 {
			// The calls of this round were cut off, so the round before counts.
			return e
		}
		total := 0
		e.EntryVMs, total = s.lagging(r)
		e.Hubs = s.missingHubs()
		progress := fmt.Sprintf("revision %d: in force at %d of %d entry VMs, %d hubs do not answer\n", r, total-len(e.EntryVMs), total, len(s.Unreachable))
		if progress != last {
			fmt.Fprint(c.Out.writer(), progress)
			last = progress
		}
		if len(e.EntryVMs)+len(e.Hubs) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return e
		case <-time.After(zoneRetryInterval):
		}
	}
}

// Run prints the zone orders. It returns an UnreachableError after it has printed the
// others if a hub did not answer, and a NoReplicaError if none did.
func (c *listZonesCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, min(c.Timeout, zoneCallTimeout))
	defer cancel()
	s := c.collect(ctx)
	if c.JSON {
		if err := json.NewEncoder(c.Out.writer()).Encode(s); err != nil {
			return fmt.Errorf("encode zones: %w", err)
		}
	} else if err := s.print(c.Out); err != nil {
		return fmt.Errorf("print zones: %w", err)
	}
	if len(s.Hubs) == 0 {
		return &NoReplicaError{Err: &UnreachableError{Count: len(s.Unreachable)}}
	}
	if n := len(s.Unreachable); n > 0 {
		return &UnreachableError{Count: n}
	}
	return nil
}

// collect asks all hubs for their zones: those of the command and those that they
// name.
func (c *hubOptions) collect(ctx context.Context) *fleetZones {
	s := new(fleetZones)
	asked := make(map[string]bool)
	pending := c.addresses()
	for len(pending) > 0 {
		var next []string
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, address := range pending {
			if asked[address] {
				continue
			}
			asked[address] = true
			wg.Go(func() {
				var z hub.ZonesStatus
				err := c.call(ctx, http.MethodGet, address, hub.ZonesPath, &z)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					s.Unreachable = append(s.Unreachable, Unreachable{URL: address, Reason: err.Error()})
					return
				}
				s.Hubs = append(s.Hubs, z)
				for _, h := range z.Hubs {
					next = append(next, string(h.VM))
				}
			})
		}
		wg.Wait()
		pending = next
	}
	slices.SortFunc(s.Hubs, func(a, b hub.ZonesStatus) int { return cmp.Compare(a.Hub, b.Hub) })
	slices.SortFunc(s.Unreachable, func(a, b Unreachable) int { return cmp.Compare(a.URL, b.URL) })
	return s
}

// addresses returns the addresses of the hubs of the command, which may be URLs.
func (c *hubOptions) addresses() []string {
	var addresses []string
	for _, h := range c.Hub {
		addresses = append(addresses, strings.TrimSuffix(strings.TrimPrefix(h, "http://"), "/"))
	}
	return addresses
}

// callAny calls the hubs in turn until one answers, and returns a ZoneCallError if a
// hub refuses the call, or a NoReplicaError if no hub has answered in time. A hub
// that is not the leader redirects the call.
func (c *hubOptions) callAny(ctx context.Context, method, path string, out any) error {
	addresses := c.addresses()
	for i := 0; ; i++ {
		err := c.call(ctx, method, addresses[i%len(addresses)], path, out)
		refused, ok := err.(*ZoneCallError)
		if err == nil || ok && refused.Status < http.StatusInternalServerError {
			return err
		}
		if (i+1)%len(addresses) != 0 && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return &NoReplicaError{Err: err}
		case <-time.After(zoneRetryInterval):
		}
	}
}

func (c *hubOptions) call(ctx context.Context, method, address, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, zoneCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("request to %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("request to %s: %w", address, err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxResponseBytes)
	if resp.StatusCode != http.StatusOK {
		var e hub.ErrorResponse
		// A response that does not come from a hub has no reason.
		_ = json.NewDecoder(body).Decode(&e)
		return &ZoneCallError{Hub: address, Status: resp.StatusCode, Reason: cmp.Or(e.Error, http.StatusText(resp.StatusCode))}
	}
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return fmt.Errorf("decode response from %s: %w", address, err)
	}
	return nil
}

// entryVMs returns the entry VMs that are connected to the hubs that answered, sorted
// by ID. A VM that changes its hub may be connected to two, and has the higher
// revision.
func (s *fleetZones) entryVMs() []hub.EntryVMStatus {
	vms := make(map[fleet.VMID]hub.EntryVMStatus)
	for i := range s.Hubs {
		for _, vm := range s.Hubs[i].EntryVMs {
			vm.Revision = max(vm.Revision, vms[vm.VM].Revision)
			vms[vm.VM] = vm
		}
	}
	list := make([]hub.EntryVMStatus, 0, len(vms))
	for _, vm := range vms {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b hub.EntryVMStatus) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// lagging returns the entry VMs that have not acknowledged a revision, and the number
// of all entry VMs.
func (s *fleetZones) lagging(r catalog.ZoneRevision) (lagging []fleet.VMID, total int) {
	vms := s.entryVMs()
	for _, vm := range vms {
		if vm.Revision < r {
			lagging = append(lagging, vm.VM)
		}
	}
	return lagging, len(vms)
}

// missingHubs returns the hubs that did not answer although another hub receives
// their feeds, or all if none answered. Entry VMs may be connected to them. The entry
// VMs of a hub that is down connect to another one.
func (s *fleetZones) missingHubs() []fleet.VMID {
	var missing []fleet.VMID
	if len(s.Hubs) == 0 {
		for _, u := range s.Unreachable {
			missing = append(missing, fleet.VMID(u.URL))
		}
	}
	answered := make(map[fleet.VMID]bool)
	for i := range s.Hubs {
		answered[s.Hubs[i].Hub] = true
	}
	for i := range s.Hubs {
		for _, h := range s.Hubs[i].Hubs {
			if h.Connected && !answered[h.VM] && !slices.Contains(missing, h.VM) {
				missing = append(missing, h.VM)
			}
		}
	}
	slices.Sort(missing)
	return missing
}

func (s *fleetZones) print(out output) error {
	w := tabwriter.NewWriter(out.writer(), 0, 0, 2, ' ', 0)
	var newest *hub.ZonesStatus
	for i := range s.Hubs {
		if z := &s.Hubs[i]; newest == nil || z.Revision > newest.Revision {
			newest = z
		}
	}
	if newest != nil {
		fmt.Fprintf(w, "REVISION\t%d\n", newest.Revision)
		for _, zone := range newest.Evacuated {
			fmt.Fprintf(w, "EVACUATED\t%s\n", zone)
		}
		for _, z := range newest.Restored {
			fmt.Fprintf(w, "RESTORED\t%s\tat revision %d\n", z.Zone, z.Revision)
		}
	}
	for _, u := range s.Unreachable {
		fmt.Fprintf(w, "UNREACHABLE\t%s\t%s\n", u.URL, u.Reason)
	}
	fmt.Fprintf(w, "HUB\tREVISION\tLEADER\tENTRY VMS\n")
	for i := range s.Hubs {
		z := &s.Hubs[i]
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\n", z.Hub, z.Revision, z.Leader, len(z.EntryVMs))
	}
	fmt.Fprintf(w, "ENTRY VM\tZONE\tREVISION\n")
	for _, vm := range s.entryVMs() {
		fmt.Fprintf(w, "%s\t%s\t%d\n", vm.VM, vm.Zone, vm.Revision)
	}
	return w.Flush()
}
