package testbed

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/tools"
)

// Rules that the testbed checks itself, in addition to those of package history.
const (
	// Invariant is broken if a process has found one of its invariants violated.
	Invariant = "INVARIANT"
	// Log is broken if a process has logged a forbidden text.
	Log = "LOG"
	// Leak is broken if a process without clients still holds resources at the end.
	Leak = "LEAK"
)

// longestLogLine is the longest log line that is read, in bytes.
const longestLogLine = 1 << 20

// forbiddenTexts are texts that no log may contain.
var forbiddenTexts = []string{"panic:", "fatal error:", "WARNING: DATA RACE", "goroutine stack exceeds", "all goroutines are asleep"}

// logBreaches searches the logs of all processes for violated invariants and forbidden texts.
func (c *cluster) logBreaches(now time.Duration) (out []history.Breach) {
	c.mu.Lock()
	machines := append(append([]*machine(nil), c.machines...), c.replaced...)
	c.mu.Unlock()
	for _, m := range machines {
		for _, p := range m.procs {
			out = append(out, logBreaches(p.name, p.log, now)...)
		}
	}
	return out
}

func logBreaches(name, path string, now time.Duration) (out []history.Breach) {
	file, err := os.Open(path)
	if err != nil {
		return nil // it never started
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, longestLogLine)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.Contains(line, invariant.LogMessage):
			out = append(out, history.Breach{Rule: Invariant, At: now, Text: name + ": " + line})
		case containsAny(line, forbiddenTexts):
			out = append(out, history.Breach{Rule: Log, At: now, Text: name + ": " + line})
		}
	}
	return out
}

func containsAny(line string, texts []string) bool {
	for _, text := range texts {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

// Limits for a process at the end, when its clients have disconnected.
const (
	maxGoroutines      = 400
	maxOpenDescriptors = 300
	// releaseTimeout is how long processes may take to get below these limits.
	releaseTimeout = 4 * time.Second
)

// clientCounters are the counters that are 0 at a process without clients.
var clientCounters = []string{"pooler.sessions_open", "gateway.connections_open", "gateway.requests_open"}

// leaks polls the resource usage of all processes until none exceeds a limit or the time is up.
func (c *cluster) leaks(ctx context.Context, now time.Duration) (out []history.Breach) {
	for end := time.Now().Add(releaseTimeout); ; sleep(ctx, releaseTimeout/10) {
		if out = c.excessUsage(ctx, now); len(out) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return out
		}
	}
}

// excessUsage returns a breach for each limit that a process exceeds.
func (c *cluster) excessUsage(ctx context.Context, now time.Duration) (out []history.Breach) {
	var addrs []string
	open := map[string]int{}
	for _, m := range c.all() {
		if m.control {
			addrs = append(addrs, m.ip+":"+controlCallPort)
		}
		if m.proxy {
			addrs = append(addrs, m.ip+":"+proxyCallPort)
		}
		for _, p := range m.procs {
			if n, err := descriptors(p.pid()); err == nil {
				open[p.name] = n
			}
		}
	}
	network := kernel.HostNetwork{BindIP: operatorHost()}
	for _, text := range findLeaks(open, tools.CollectReports(ctx, network, addrs, false)) {
		out = append(out, history.Breach{Rule: Leak, At: now, Text: text})
	}
	return out
}

// findLeaks describes each exceeded limit, given the number of open descriptors per process and
// the counters that the processes report.
func findLeaks(open map[string]int, system *tools.System) (out []string) {
	leak := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for name, n := range open {
		if n > maxOpenDescriptors {
			leak("%s has %d descriptors open", name, n)
		}
	}
	for _, r := range system.Reports {
		if n := r.Counters["kernel.goroutines"]; n > maxGoroutines {
			leak("%s %s has %d goroutines", r.Role, r.Node, n)
		}
		for _, counter := range clientCounters {
			if n := r.Counters[counter]; n > 0 {
				leak("%s %s: %s is %d, and no client is there", r.Role, r.Node, counter, n)
			}
		}
	}
	for addr, why := range system.Missing {
		leak("%s does not answer: %s", addr, why)
	}
	return out
}
