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

// ProbersPerTarget is the number of VMs that probe a target.
const ProbersPerTarget = 3

// maxBodySize is the maximum number of bytes that are read from a response.
const maxBodySize = 4 << 10

type (
	// Endpoint describes how the targets of a service are probed.
	Endpoint struct {
		HealthPath string
		LoadPath   string
		Port       uint16
		Interval   time.Duration
		Timeout    time.Duration
	}

	// Task describes one probe of a target.
	Task struct {
		Target   fleet.TargetID
		Owner    fleet.VMID
		Endpoint Endpoint
	}

	// Result is the result of a Task.
	Result struct {
		Task
		Healthy  bool
		InFlight int
		HasLoad  bool
	}

	// Prober schedules the probes of one VM. It is not safe for concurrent use.
	// Do, which runs the probes, may be called concurrently.
	Prober struct {
		Self fleet.VMID
		Rand *rand.Rand

		view   *fleet.View
		probes map[fleet.TargetKey]*scheduledProbe
	}

	scheduledProbe struct {
		task    Task
		due     time.Time
		failing bool
	}

	// loadBody is the response body of a load endpoint.
	loadBody struct {
		SlotsInUse int `json:"SlotsInUse"`
	}
)

// SetView schedules probes for each target of the view that has an endpoint and
// for which this VM is one of the first ProbersPerTarget VMs in the target's rendezvous
// order.
func (p *Prober) SetView(v *fleet.View, endpoints map[fleet.ServiceID]Endpoint, now time.Time) {
	p.view = v
	old := p.probes
	p.probes = make(map[fleet.TargetKey]*scheduledProbe)
	owners := placement.New(v)
	for i := range v.Targets {
		t := &v.Targets[i]
		e, ok := endpoints[t.ID.Service]
		key := t.ID.Key()
		if !ok || e.Interval <= 0 || !slices.Contains(owners.RankedOwners(key, ProbersPerTarget), p.Self) {
			continue
		}
		next := &scheduledProbe{due: now.Add(p.jitter(e.Interval))}
		if previous := old[key]; previous != nil {
			next.due, next.failing = previous.due, previous.failing
		}
		next.task = Task{Target: t.ID, Owner: owners.Owner(key), Endpoint: e}
		p.probes[key] = next
	}
}

// jitter returns a random duration less than d, which keeps the VMs from
// probing a target at the same time.
func (p *Prober) jitter(d time.Duration) time.Duration { return time.Duration(p.Rand.Int64N(int64(d))) }

// Due returns the probes that are due and schedules their next run.
func (p *Prober) Due(now time.Time) []Task {
	var out []Task
	for _, t := range p.probes {
		if now.Before(t.due) {
			continue
		}
		t.due = now.Add(t.task.Endpoint.Interval)
		out = append(out, t.task)
	}
	return out
}

// Report converts a result to a report for the target's owner. It returns false
// if this VM no longer probes the target.
func (p *Prober) Report(r *Result) (Report, bool) {
	key := r.Target.Key()
	t := p.probes[key]
	if t == nil {
		return Report{}, false
	}
	t.failing = !r.Healthy
	out := Report{Target: key, Healthy: r.Healthy, HasLoad: r.HasLoad, InFlight: uint16(min(max(r.InFlight, 0), 1<<16-1))}
	for _, t := range p.probes {
		out.Probed++
		if t.failing {
			out.Failing++
		}
	}
	return out, true
}

// Do probes a target over HTTP. The target is healthy if the health path
// answers with status 200 within the timeout, or if there is no health path. If
// the target is healthy, Do also reads SlotsInUse from the JSON response of the
// load path.
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
	var l loadBody
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = &StatusError{Code: resp.StatusCode}
	}
	return body, err
}

// StatusError reports a response of a target with a status other than 200.
type StatusError struct{ Code int }

// Error implements error.
func (e *StatusError) Error() string { return "unexpected HTTP status " + strconv.Itoa(e.Code) }
