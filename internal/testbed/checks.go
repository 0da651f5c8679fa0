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
	// Leak is broken if a process still holds resources after its clients have disconnected.
	Leak = "LEAK"
)

// maxLogLineBytes is the length of the longest log line that can be read.
const maxLogLineBytes = 1 << 20

// forbiddenTexts are texts that no log may contain.
var forbiddenTexts = []string{"panic:", "fatal error:", "WARNING: DATA RACE", "goroutine stack exceeds", "all goroutines are asleep"}

// logBreaches searches the logs of all processes for violated invariants and forbidden texts.
func (c *cluster) logBreaches(now time.Duration) (out []history.Breach) {
	c.mu.Lock()
	machines := append(append([]*machine(nil), c.machines...), c.replaced...)
	c.mu.Unlock()
	for _, m := range machines {
		for _, p := range m.procs {
			out = append(out, logBreaches(p.name, p.logPath, now)...)
		}
	}
	return out
}

// logBreaches searches the log file of one process.
func logBreaches(name, path string, now time.Duration) (out []history.Breach) {
	file, err := os.Open(path)
	if err != nil {
		return nil // the process never started
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLineBytes)
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

// Limits on the resource usage of a process whose clients have disconnected.
const (
	maxGoroutines      = 400
	maxOpenDescriptors = 300
	// releaseTimeout is how long processes may take to get below these limits.
	releaseTimeout = 4 * time.Second
)

// clientCounters are the counters that are 0 at a process without clients.
var clientCounters = []string{"pooler.sessions_open", "gateway.connections_open", "gateway.requests_open"}

// checkLeaks polls the resource usage of all processes until none exceeds a limit or releaseTimeout has
// passed, and returns the breaches that remain.
func (c *cluster) checkLeaks(ctx context.Context, now time.Duration) (out []history.Breach) {
	for end := time.Now().Add(releaseTimeout); ; sleep(ctx, releaseTimeout/10) {
		if out = c.excessUsage(ctx, now); len(out) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return out
		}
	}
}

// excessUsage returns a breach for each limit that a process exceeds.
func (c *cluster) excessUsage(ctx context.Context, now time.Duration) (out []history.Breach) {
	var addrs []string
	openDescriptors := map[string]int{}
	for _, m := range c.currentMachines() {
		if m.control {
			addrs = append(addrs, m.ip+":"+controlRPCPort)
		}
		if m.proxy {
			addrs = append(addrs, m.ip+":"+proxyRPCPort)
		}
		for _, p := range m.procs {
			if n, err := countDescriptors(p.pid()); err == nil {
				openDescriptors[p.name] = n
			}
		}
	}
	network := kernel.HostNetwork{BindIP: operatorHost()}
	for _, text := range findLeaks(openDescriptors, tools.CollectReports(ctx, network, addrs, false)) {
		out = append(out, history.Breach{Rule: Leak, At: now, Text: text})
	}
	return out
}

// findLeaks describes each limit that a process exceeds, given the numbers of open descriptors by process
// name and the reports of the processes. A process that does not report is described as well.
func findLeaks(openDescriptors map[string]int, system *tools.System) (out []string) {
	leak := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for name, n := range openDescriptors {
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
				leak("%s %s: %s is %d although no client is connected", r.Role, r.Node, counter, n)
			}
		}
	}
	for addr, why := range system.Missing {
		leak("%s does not answer: %s", addr, why)
	}
	return out
}
