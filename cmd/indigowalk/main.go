// Command indigowalk is a pool of sessions onto databases: poolers carry sessions,
// gateways requests, control nodes keep the control state.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	_ "indigowalk/internal/controlapi"
	_ "indigowalk/internal/controlstate"
	_ "indigowalk/internal/dbconn"
	_ "indigowalk/internal/discovery"
	_ "indigowalk/internal/distribution"
	_ "indigowalk/internal/failover"
	_ "indigowalk/internal/gateway"
	_ "indigowalk/internal/health"
	_ "indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	_ "indigowalk/internal/membership"
	_ "indigowalk/internal/pooler"
	_ "indigowalk/internal/readrouting"
	_ "indigowalk/internal/routeconfig"
	_ "indigowalk/internal/rpc"
	"indigowalk/internal/settings"
	_ "indigowalk/internal/tools"
)

// Exit codes.
const (
	exitClean = 0
	exitFault = 1
	exitUsage = 2
)

const usage = `indigowalk: a pool of sessions onto databases

  indigowalk pooler      carry clients' sessions
  indigowalk gateway     carry requests to services: the API gateway
  indigowalk control     keep the control state: databases and configuration
  indigowalk check       look for faults in settings, deploy files,
                         configurations and stores
  indigowalk plan        what a change, a drain, a release or a loss would do
  indigowalk replay      play a recording of decisions again
  indigowalk status      ask processes for their view
  indigowalk accept-loss let a service go on without a lost database
  indigowalk scalebench  measure what the control state costs at a number of nodes
  indigowalk testbed     play the program itself on this machine, under troubles
  indigowalk help        this text

Each tool says more with --help. The daemons read the settings file named by the variable ` + settings.EnvVar + `.
Exit codes: 0 clean, 1 a fault, 2 wrong use.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errs, usage)
		return exitUsage
	}
	switch args[0] {
	case "pooler", "gateway", "control":
		if len(args) > 1 {
			fmt.Fprintf(errs, "indigowalk %s takes no arguments\n", args[0])
			return exitUsage
		}
		return serve(args[0], errs)
	case "check", "plan", "replay", "status":
		return tool(args[0], args[1:], out, errs)
	case "accept-loss":
		return acceptTool(args[1:], out, errs)
	case "testbed":
		return testbedTool(args[1:], out, errs)
	case "scalebench":
		return scalebenchTool(args[1:], out, errs)
	case "help", "-h", "--help":
		fmt.Fprint(out, usage)
		return exitClean
	}
	fmt.Fprintf(errs, "indigowalk: unknown command %q; see 'indigowalk help'\n", args[0])
	return exitUsage
}

// tuneMemory trades a little memory for less work of the collector.
func tuneMemory() {
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(96 << 20)
}

// heedSignals keeps signals from ending the process that are not meant to: SIGHUP
// may come before the settings are watched, and whoever reads the log may go. The
// channel tells when the process is to end.
func heedSignals() <-chan os.Signal {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	return end
}

const (
	// lastSteps is kept of the grace for the end of the process itself.
	lastSteps = 300 * kernel.Millisecond
	// shortestEnd is what a process that is told to end takes for its last answers, even
	// where its grace should be over.
	shortestEnd = 600 * kernel.Millisecond
)

func serve(role string, errs io.Writer) int {
	end := heedSignals()
	tuneMemory()
	book, err := settings.Open(os.Getenv(settings.EnvVar))
	if err != nil {
		fmt.Fprintln(errs, "indigowalk:", strings.ReplaceAll(err.Error(), "\n", "; "))
		return exitFault
	}
	settings := book.Now()
	lines := kernel.NewLogWriter(errs)
	defer lines.Close()
	log := slog.New(slog.NewJSONHandler(lines, nil)).With("node", settings.NodeName, "role", role)
	k := kernel.NewKernel(role, kernel.HostNetwork{BindIP: settings.BindIP}, log)
	kernel.Offer(k, book)
	if err := k.Assemble(); err != nil {
		fmt.Fprintln(errs, "indigowalk:", err)
		return exitFault
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-end
		grace := kernel.Need[*kernel.StallDetector](k).Remaining(kernel.Micros(book.Now().GraceS) * kernel.Second)
		grace = max(shortestEnd, grace-lastSteps)
		left, done := context.WithTimeout(ctx, grace.Duration())
		k.Shutdown(left)
		done()
		cancel()
	}()
	log.Info("start")
	if err := k.Run(ctx); err != nil {
		log.Error("end", "error", err)
		return exitFault
	}
	log.Info("end", "counters", k.Counters.Snapshot())
	return exitClean
}
