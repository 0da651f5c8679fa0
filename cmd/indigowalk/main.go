// Command indigowalk is a pool of sessions onto databases. Its daemons are poolers, which proxy
// client sessions, gateways, which proxy API requests, and control nodes, which keep the
// replicated control state. Its other commands are tools for operators, tests and benchmarks.
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

// Exit codes of the command.
const (
	exitClean = 0
	exitFault = 1 // a fault was found, or the command failed
	exitUsage = 2 // invalid arguments
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

// run dispatches to the command named by the first argument, and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errOut, usage)
		return exitUsage
	}
	switch args[0] {
	case "pooler", "gateway", "control":
		if len(args) > 1 {
			fmt.Fprintf(errOut, "indigowalk %s takes no arguments\n", args[0])
			return exitUsage
		}
		return serve(args[0], errOut)
	case "check", "plan", "replay", "status":
		return runTool(args[0], args[1:], out, errOut)
	case "accept-loss":
		return runAcceptLoss(args[1:], out, errOut)
	case "testbed":
		return runTestbed(args[1:], out, errOut)
	case "scalebench":
		return runScalebench(args[1:], out, errOut)
	case "help", "-h", "--help":
		fmt.Fprint(out, usage)
		return exitClean
	}
	fmt.Fprintf(errOut, "indigowalk: unknown command %q; see 'indigowalk help'\n", args[0])
	return exitUsage
}

// setMemoryLimits lets the heap double between two garbage collections, to save the collector's
// work, and collects more often as the process nears 96 MiB.
func setMemoryLimits() {
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(96 << 20)
}

// handleSignals keeps SIGHUP and SIGPIPE from ending the process: SIGHUP may arrive before the
// settings file is watched, and the reader of the log may close its pipe. The returned channel
// receives SIGTERM and SIGINT, which request a shutdown.
func handleSignals() <-chan os.Signal {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	shutdown := make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	return shutdown
}

const (
	// exitReserve is the part of the grace period that is reserved for the exit of the process
	// after its shutdown.
	exitReserve = 300 * kernel.Millisecond
	// minShutdownTimeout is the time that a process always has to send its last responses, even
	// when its grace period has already run out.
	minShutdownTimeout = 600 * kernel.Millisecond
)

// serve runs a daemon of the role until SIGTERM or SIGINT, and returns its exit code.
func serve(role string, errOut io.Writer) int {
	shutdownRequested := handleSignals()
	setMemoryLimits()
	liveSettings, err := settings.Open(os.Getenv(settings.EnvVar))
	if err != nil {
		fmt.Fprintln(errOut, "indigowalk:", strings.ReplaceAll(err.Error(), "\n", "; "))
		return exitFault
	}
	current := liveSettings.Now()
	logWriter := kernel.NewLogWriter(errOut)
	defer logWriter.Close()
	log := slog.New(slog.NewJSONHandler(logWriter, nil)).With("node", current.NodeName, "role", role)
	k := kernel.NewKernel(role, kernel.HostNetwork{BindIP: current.BindIP}, log)
	kernel.Offer(k, liveSettings)
	if err := k.Assemble(); err != nil {
		fmt.Fprintln(errOut, "indigowalk:", err)
		return exitFault
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-shutdownRequested
		grace := kernel.Need[*kernel.StallDetector](k).Remaining(kernel.Micros(liveSettings.Now().GraceS) * kernel.Second)
		grace = max(minShutdownTimeout, grace-exitReserve)
		shutdownCtx, release := context.WithTimeout(ctx, grace.Duration())
		k.Shutdown(shutdownCtx)
		release()
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
