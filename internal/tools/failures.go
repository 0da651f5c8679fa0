package tools

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/failurelog"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// FailureReport holds the recently failed requests that the processes have logged.
type FailureReport struct {
	Failures []NodeFailure     `json:"failures"`
	Missing  map[string]string `json:"missing,omitempty"` // by address, why a process gave no report
}

// NodeFailure is a failed request together with the process that logged it.
type NodeFailure struct {
	Node string `json:"node"`
	Role string `json:"role"`
	failurelog.Failure
}

// Failures collects the recently failed requests from all reporting processes, oldest first.
func (s *System) Failures(ctx context.Context, network kernel.Network) *FailureReport {
	k := kernel.NewKernel("tools", network, slog.New(slog.DiscardHandler))
	endpoint := rpc.NewEndpoint(k, "")
	defer endpoint.CloseConnections()
	result := &FailureReport{Missing: s.Missing}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, r := range s.Reports {
		wg.Go(func() {
			var recent []failurelog.Failure
			err := endpoint.Call(ctx, r.Addr, failuresOp, struct{}{}, &recent, requestTimeout)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.Missing[r.Addr] = err.Error()
			}
			for _, failure := range recent {
				result.Failures = append(result.Failures, NodeFailure{r.Node, r.Role, failure})
			}
		})
	}
	wg.Wait()
	slices.SortFunc(result.Failures, func(a, b NodeFailure) int { return a.At.Compare(b.At) })
	return result
}

// Filter keeps only the failures whose node, role, request ID, route, service, tenant or cause
// contains text.
func (r *FailureReport) Filter(text string) {
	r.Failures = slices.DeleteFunc(r.Failures, func(failure NodeFailure) bool {
		return !anyContains(text, failure.Node, failure.Role, failure.ID, failure.Route, failure.Service, failure.Tenant, failure.Cause)
	})
}

// Print writes a line for each failure, with its attempts.
func (r *FailureReport) Print(w io.Writer) {
	for _, failure := range r.Failures {
		fmt.Fprintf(w, "%s %s %s: %s on %q answered %s after %d ms: %s", failure.At.UTC().Format(time.StampMilli), failure.Role, failure.Node,
			failure.ID, failure.Route, failure.Response, failure.Duration.Millis(), failure.Cause)
		if failure.Service != "" {
			fmt.Fprintf(w, "; service %s, configuration %d", failure.Service, failure.Revision)
		}
		var attempts []string
		for _, attempt := range failure.Attempts {
			attempts = append(attempts, strings.TrimSpace(fmt.Sprintf("%s at %d ms %s", attempt.Database, attempt.After.Millis(), attempt.Result)))
		}
		if len(attempts) > 0 {
			fmt.Fprintf(w, " [%s]", strings.Join(attempts, "; "))
		}
		fmt.Fprintln(w)
	}
	if len(r.Failures) == 0 {
		fmt.Fprintln(w, "no request failed of late")
	}
	for addr, reason := range r.Missing {
		fmt.Fprintf(w, "no answer from %s: %s\n", addr, reason)
	}
}
