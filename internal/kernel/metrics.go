package kernel

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"time"
)

// MetricsPath is the HTTP path at which a process serves its metrics.
const MetricsPath = "/metrics"

const (
	// metricsListenDelay is the delay before each attempt to listen. At startup it lets
	// the process's other listeners bind first; after that it is the retry interval while
	// the address is in use.
	metricsListenDelay = 2 * Second
	// metricsTimeout is the read, write and idle timeout of the metrics server.
	metricsTimeout = 2 * time.Second
)

// invalidMetricChars matches the characters that are not allowed in a metric name.
var invalidMetricChars = regexp.MustCompile(`[^a-zA-Z0-9_]+`)

// Metrics renders all counters and observed values in the Prometheus text format, one "name value"
// line each, sorted by name.
func (c *Counters) Metrics() []byte {
	var out bytes.Buffer
	values := c.Snapshot()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&out, "indigowalk_%s %d\n", invalidMetricChars.ReplaceAllString(name, "_"), values[name])
	}
	return out.Bytes()
}

// ServeMetrics serves the metrics at addr until ctx ends. If it cannot listen at addr,
// it retries.
func (k *Kernel) ServeMetrics(ctx context.Context, addr string) error {
	for Sleep(ctx, metricsListenDelay) {
		ln, err := k.Net.Listen(addr)
		if err != nil {
			k.Counters.Add("kernel.metrics_address_in_use", 1)
			continue
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4")
			if _, err := w.Write(k.Counters.Metrics()); err != nil {
				k.Counters.Add("kernel.metrics_unsent", 1)
			}
		})
		srv := &http.Server{Handler: mux, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout, IdleTimeout: metricsTimeout}
		stop := context.AfterFunc(ctx, func() { srv.Close() })
		err = srv.Serve(ln)
		stop()
		if ctx.Err() == nil {
			k.Log.Warn("metrics server stopped unexpectedly; restarting it", "error", err)
		}
	}
	return nil
}
