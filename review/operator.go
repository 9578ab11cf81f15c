package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// route is a route of the configuration.
type route struct {
	name, kind, service string
	at                  netip.AddrPort
	timeoutMs           int
}

// configuration returns the document with the given version.
func configuration(version int, routes []route, services []string) []byte {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": r.at.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.at.Port()), "kind": r.kind,
			"timeoutMs": r.timeoutMs, "sloMs": 150, "priority": 1, "service": r.service, "maxAttempts": 2,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "healthPath": "/health", "maxConns": 4444, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return b
}

// put sends a configuration to one daemon after the other until it is acknowledged.
func (w *world) put(body []byte, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range w.controls {
			r, err := client.Post("http://"+c.at(w.controlPort)+"/config/put", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				w.logf("configuration acknowledged by %s", c.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%w: no acknowledgement of the configuration", errBlocked)
}
