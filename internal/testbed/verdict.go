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

// Rules of the testbed's own, beside those of histories.
const (
	// Invariant: a process has found one of its invariants violated.
	Invariant = "INVARIANT"
	// Log: a process has logged what it must not.
	Log = "LOG"
	// Leak: a process holds at the end, without clients, what it should have let go.
	Leak = "LEAK"
)

// longestLogLine is the longest that is read.
const longestLogLine = 1 << 20

// alarms are what no log may hold.
var alarms = []string{"panic:", "fatal error:", "WARNING: DATA RACE", "goroutine stack exceeds", "all goroutines are asleep"}

// logBreaches reads all logs for what they must not hold.
func (c *cluster) logBreaches(now time.Duration) (out []history.Breach) {
	c.mu.Lock()
	machines := append(append([]*machine(nil), c.machines...), c.gone...)
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
		case containsAny(line, alarms):
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

// What a process may hold at the end, when its clients have gone.
const (
	mostGoroutines  = 400
	mostDescriptors = 300
	// lettingGo is how long processes have for it.
	lettingGo = 4 * time.Second
)

// clientCounters are 0 at a process without clients.
var clientCounters = []string{"pooler.sessions_open", "gateway.connections_open", "gateway.requests_open"}

// leaks asks all processes what they hold, until none holds too much or time is up.
func (c *cluster) leaks(ctx context.Context, now time.Duration) (out []history.Breach) {
	for end := time.Now().Add(lettingGo); ; sleep(ctx, lettingGo/10) {
		if out = c.held(ctx, now); len(out) == 0 || time.Now().After(end) || ctx.Err() != nil {
			return out
		}
	}
}

// held lists what processes hold too much of.
func (c *cluster) held(ctx context.Context, now time.Duration) (out []history.Breach) {
	var asked []string
	open := map[string]int{}
	for _, m := range c.all() {
		if m.control {
			asked = append(asked, m.ip+":"+controlCallPort)
		}
		if m.carrier {
			asked = append(asked, m.ip+":"+carrierCallPort)
		}
		for _, p := range m.procs {
			if n, err := descriptors(p.pid()); err == nil {
				open[p.name] = n
			}
		}
	}
	network := kernel.HostNetwork{BindIP: operatorHost()}
	for _, text := range leaksOf(open, tools.Ask(ctx, network, asked, false)) {
		out = append(out, history.Breach{Rule: Leak, At: now, Text: text})
	}
	return out
}

// leaksOf says which processes have too much, by the descriptors that each has open and
// by what they report.
func leaksOf(open map[string]int, system *tools.System) (out []string) {
	leak := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for name, n := range open {
		if n > mostDescriptors {
			leak("%s has %d descriptors open", name, n)
		}
	}
	for _, r := range system.Reports {
		if n := r.Counters["kernel.goroutines"]; n > mostGoroutines {
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
