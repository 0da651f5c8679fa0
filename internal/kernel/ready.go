package kernel

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// ServeReady serves the readiness probe, GET /readyz, at addr until ctx ends. It responds
// with 503 while ready returns false.
func ServeReady(ctx context.Context, n Network, addr string, ready func() bool) error {
	ln, err := n.Listen(addr)
	if err != nil {
		return fmt.Errorf("kernel: readiness endpoint: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
	defer context.AfterFunc(ctx, func() { srv.Close() })()
	if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("kernel: readiness endpoint: %w", err)
	}
	return nil
}
