package main

import (
	"net/netip"
	"sync"
	"time"
)

// judge holds what clients and backends have seen.
type judge struct {
	mu     sync.Mutex
	opened map[netip.AddrPort]*backend
	runs   map[string]int
	// foreign lists the requests that a backend of another service has run.
	foreign []string
	// services holds the service of each route.
	services map[netip.AddrPort]string
}

var seen = judge{opened: map[netip.AddrPort]*backend{}, runs: map[string]int{}, services: map[netip.AddrPort]string{}}

func (w *world) flowOpened(client netip.AddrPort, b *backend) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	if seen.opened[client] == nil {
		seen.opened[client] = b
	}
}

func (w *world) requestRun(id string, route netip.AddrPort, b *backend) {
	seen.mu.Lock()
	seen.runs[id]++
	n, want := seen.runs[id], seen.services[route]
	if want != b.service {
		seen.foreign = append(seen.foreign, id)
	}
	seen.mu.Unlock()
	if n > 1 {
		w.logf("request %s ran %d times", id, n)
	}
	if want != b.service {
		w.logf("ROUTE: request %s for service %s ran at backend %s of service %s", id, want, b.id, b.service)
	}
}

// backendOf returns the backend at which a flow is open, and whether it lived at a time
// and for a while after.
func (w *world) backendOf(client netip.AddrPort, at time.Time) (b *backend, lives bool) {
	seen.mu.Lock()
	b = seen.opened[client]
	seen.mu.Unlock()
	if b == nil {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b, b.endedAt.IsZero() || b.endedAt.Sub(at) > 100*time.Millisecond
}

// ownReset reports whether the flow's backend has sent a reset of the flow.
func (b *backend) ownReset(client netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resets[client] > 0
}
