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

// MetricsPath is where a process tells its counters.
const MetricsPath = "/metrics"

const (
	// metricsAfter is how long a process that starts leaves its other addresses time
	// to be taken, and how long it waits where the address is in use.
	metricsAfter = 2 * Second
	// metricsWait bounds one call.
	metricsWait = 2 * time.Second
)

// notInName are the characters that the name of a metric can't hold.
var notInName = regexp.MustCompile(`[^a-zA-Z0-9_]+`)

// Metrics writes all counters as text, a line each: name, blank, value, in the order of
// their names.
func (c *Counters) Metrics() []byte {
	var out bytes.Buffer
	all := c.Snapshot()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&out, "indigowalk_%s %d\n", notInName.ReplaceAllString(name, "_"), all[name])
	}
	return out.Bytes()
}

// ServeMetrics tells the counters at addr until ctx ends. That the address can't be
// had ends nothing: it is tried again.
func (k *Kernel) ServeMetrics(ctx context.Context, addr string) error {
	for Sleep(ctx, metricsAfter) {
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
		srv := &http.Server{Handler: mux, ReadTimeout: metricsWait, WriteTimeout: metricsWait, IdleTimeout: metricsWait}
		stop := context.AfterFunc(ctx, func() { srv.Close() })
		err = srv.Serve(ln)
		stop()
		if ctx.Err() == nil {
			k.Log.Warn("metrics are not served", "error", err)
		}
	}
	return nil
}
