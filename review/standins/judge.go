package main

import (
	"sync"
)

// seen is what clients and backends have seen.
var seen = struct {
	sync.Mutex
	openAt map[flowKey]*backend
	runs   map[string][]string
}{openAt: map[flowKey]*backend{}, runs: map[string][]string{}}

func (w *world) flowOpened(key flowKey, b *backend) {
	seen.Lock()
	defer seen.Unlock()
	if other := seen.openAt[key]; other != nil && other != b {
		w.note("flow %v open at %s is opened at %s", key, other.id, b.id)
	}
	seen.openAt[key] = b
}

func backendOf(key flowKey) *backend {
	seen.Lock()
	defer seen.Unlock()
	return seen.openAt[key]
}

func (w *world) requestSent(f *flow, id string) { w.note("sent %s on %v", id, f.key.client) }

func (w *world) requestRun(b *backend, key flowKey, id string) {
	seen.Lock()
	seen.runs[id] = append(seen.runs[id], b.id)
	seen.Unlock()
	w.note("run %s by %s (%s)", id, b.id, b.service)
}

func (w *world) requestEnded(f *flow, id string, ok bool) {
	w.note("answered %s: %v %s", id, ok, f.broken)
}
