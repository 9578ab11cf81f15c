package probe

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"bamboowalk.org/bamboowalk/pkg/fleet"
	"bamboowalk.org/bamboowalk/pkg/placement"
)

// Probers is the number of VMs that probe a target.
const Probers = 3

// maxLoadBody bounds what is read of a load endpoint's answer.
const maxLoadBody = 4 << 10

type (
	// Endpoint says how a service's targets are probed.
	Endpoint struct {
		HealthPath string
		LoadPath   string
		Port       uint16
		Interval   time.Duration
		Timeout    time.Duration
	}

	// Task is one probe that is due.
	Task struct {
		Target   fleet.TargetID
		Owner    fleet.VMID
		Endpoint Endpoint
	}

	// Result is the outcome of a task.
	Result struct {
		Task
		Healthy  bool
		InFlight int
		HasLoad  bool
	}

	// Prober plans the probes of one VM. It is used by one goroutine; Do runs
	// in others.
	Prober struct {
		Self fleet.VMID
		Rand *rand.Rand

		view  *fleet.View
		tasks map[fleet.TargetKey]*plan
	}

	plan struct {
		task    Task
		due     time.Time
		failing bool
	}

	// load is the body of a load endpoint.
	load struct {
		SlotsInUse int `json:"SlotsInUse"`
	}
)

// SetView plans probes for the targets whose first three VMs include this one.
func (p *Prober) SetView(v *fleet.View, endpoints map[fleet.ServiceID]Endpoint, now time.Time) {
	p.view = v
	old := p.tasks
	p.tasks = make(map[fleet.TargetKey]*plan)
	owners := placement.New(v)
	for i := range v.Targets {
		t := &v.Targets[i]
		e, ok := endpoints[t.ID.Service]
		key := t.ID.Key()
		if !ok || e.Interval <= 0 || !slices.Contains(owners.RankedOwners(key, Probers), p.Self) {
			continue
		}
		next := &plan{due: now.Add(p.spread(e.Interval))}
		if before := old[key]; before != nil {
			next.due, next.failing = before.due, before.failing
		}
		next.task = Task{Target: t.ID, Owner: owners.Owner(key), Endpoint: e}
		p.tasks[key] = next
	}
}

// spread keeps the VMs from probing a target at the same moment.
func (p *Prober) spread(d time.Duration) time.Duration { return time.Duration(p.Rand.Int64N(int64(d))) }

// Due returns the probes whose time has come.
func (p *Prober) Due(now time.Time) []Task {
	var out []Task
	for _, t := range p.tasks {
		if now.Before(t.due) {
			continue
		}
		t.due = now.Add(t.task.Endpoint.Interval)
		out = append(out, t.task)
	}
	return out
}

// Report turns a result into a report to the target's owner; false where the
// target is no longer probed here.
func (p *Prober) Report(r *Result) (Report, bool) {
	key := r.Target.Key()
	t := p.tasks[key]
	if t == nil {
		return Report{}, false
	}
	t.failing = !r.Healthy
	out := Report{Target: key, Healthy: r.Healthy, HasLoad: r.HasLoad, InFlight: uint16(min(max(r.InFlight, 0), 1<<16-1))}
	for _, t := range p.tasks {
		out.Probed++
		if t.failing {
			out.Failing++
		}
	}
	return out, true
}

// Do probes a target over HTTP: healthy is status 200 of the health path in
// time. The load path answers JSON with SlotsInUse.
func Do(ctx context.Context, client *http.Client, t Task) *Result {
	ctx, cancel := context.WithTimeout(ctx, t.Endpoint.Timeout)
	defer cancel()
	r := &Result{Task: t}
	if t.Endpoint.HealthPath != "" {
		_, err := get(ctx, client, t.url(t.Endpoint.HealthPath))
		r.Healthy = err == nil
	} else {
		r.Healthy = true
	}
	if t.Endpoint.LoadPath == "" || !r.Healthy {
		return r
	}
	body, err := get(ctx, client, t.url(t.Endpoint.LoadPath))
	var l load
	if err == nil && json.Unmarshal(body, &l) == nil && l.SlotsInUse >= 0 {
		r.InFlight, r.HasLoad = l.SlotsInUse, true
	}
	return r
}

func (t *Task) url(path string) string {
	port := t.Endpoint.Port
	if port == 0 {
		port = t.Target.Address.Port()
	}
	return "http://" + netip.AddrPortFrom(t.Target.Address.Addr(), port).String() + path
}

func get(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBody))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &StatusError{Code: resp.StatusCode}
	}
	return body, err
}

// StatusError reports an answer of a target other than 200.
type StatusError struct{ Code int }

// Error names the status.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Code) }
