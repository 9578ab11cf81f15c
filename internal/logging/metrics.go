package logging

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// MetricsPath is the URL path of the metrics.
	MetricsPath = "/metrics"
	// readHeaderTimeout is the time limit for reading the headers of a request.
	readHeaderTimeout = 2 * time.Second
)

// ServeMetrics serves the metrics of the collectors on l until ctx ends; if l
// is nil, it returns at once. It returns an error if the server fails.
func ServeMetrics(ctx context.Context, l net.Listener, collectors ...prometheus.Collector) error {
	if l == nil {
		return nil
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors...)
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
