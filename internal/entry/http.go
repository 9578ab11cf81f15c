package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"bamboowalk.org/bamboowalk/internal/announce"
	"bamboowalk.org/bamboowalk/pkg/timeline"
)

func (d *Daemon) handler() http.Handler {
	metrics := prometheus.NewRegistry()
	metrics.MustRegister(&collector{daemon: d})
	// A Membership may also be a collector, which exports its own metrics.
	if c, ok := d.Membership.(prometheus.Collector); ok {
		metrics.MustRegister(c)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /health", d.serveHealth)
	if d.Timeline != nil {
		mux.Handle("GET "+timeline.Path, &timeline.Handler{Ring: d.Timeline})
	}
	mux.HandleFunc("GET "+StatusPath, d.serveStatus)
	announcements := d.newAnnounceServer()
	mux.Handle("POST "+announce.Path, announcements)
	mux.Handle("DELETE "+announce.Path, announcements)
	return mux
}

// serveHealth answers 200 if the fabric may send packets to this VM, and 503
// with the reason otherwise.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if reason := d.unhealthyReason(time.Now()); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "healthy")
}

func (d *Daemon) unhealthyReason(now time.Time) string {
	if d.leaving.Load() {
		return "leaving"
	}
	if d.view.Load() == nil {
		return "no view is known"
	}
	for _, s := range d.shards {
		if now.Sub(time.Unix(0, s.lastTick.Load())) > stallTimeout {
			return "a shard has stalled"
		}
	}
	return ""
}
