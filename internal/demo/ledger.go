package demo

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// ledger records what targets did, for the checks of the guarantees.
type ledger struct {
	mu      sync.Mutex
	runs    map[string]int
	places  map[netip.AddrPort][]*target
	traces  map[netip.AddrPort]*trace
	foreign []string
}

// trace counts the packets of a caller's flow at targets, to explain broken
// requests.
type trace struct{ in, out int }

func newLedger() *ledger {
	return &ledger{runs: make(map[string]int), places: make(map[netip.AddrPort][]*target), traces: make(map[netip.AddrPort]*trace)}
}

// count adds packets of a caller's flow.
func (l *ledger) count(caller netip.AddrPort, in, out int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.traces[caller]
	if t == nil {
		t = &trace{}
		l.traces[caller] = t
	}
	t.in += in
	t.out += out
}

// traceOf returns the packets of a caller's flow.
func (l *ledger) traceOf(caller netip.AddrPort) trace {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.traces[caller]; t != nil {
		return *t
	}
	return trace{}
}

// ran counts a run of a request.
func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// placed records that the first packet of a caller's flow reached a target.
func (l *ledger) placed(caller netip.AddrPort, t *target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.places[caller], t) {
		l.places[caller] = append(l.places[caller], t)
	}
}

// wrongService records a request for one service at a target of another.
func (l *ledger) wrongService(id string, got fleet.ServiceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.foreign = append(l.foreign, fmt.Sprintf("%s reached %s", id, got))
}

func (l *ledger) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *ledger) placesOf(caller netip.AddrPort) []*target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.places[caller])
}
