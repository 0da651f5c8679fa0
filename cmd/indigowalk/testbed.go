package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"indigowalk/internal/testbed"
)

const testbedUsage = `indigowalk testbed [--json] [--plan FILE] [--program PATH] [--keep DIR] [KEY=VALUE...]

Plays the real program on loopback addresses of this machine: control nodes and
poolers or gateways as processes, beside stand-ins of databases, the platform,
operators and clients, under troubles drawn from a seed. All that processes say to each other goes
through relays, which cut, delay, lose and reset it. Several timelines of troubles
run side by side and know nothing of each other. Checks what everybody saw against
the rules, looks through the logs for violated invariants and crashes, and for what
is left when the clients have gone; prints a table, and names the first breach with
what happened around it.

  --plan FILE     keys and values, a line each, as below
  --program PATH  the program to play, a race-built one say (this one)
  --keep DIR      an empty folder for settings, disks and logs, which stay (a
                  temporary one, which goes)
  --json          the report as JSON

Keys, with what they are if nothing is said: seed=1, tier=pooler (or gateway),
control_nodes=4, carriers=10,
services=2, operators=3, length_s=60, cores=2 (GOMAXPROCS of each process),
pause_ms=1500 (mean, between two troubles of a timeline), timelines=2 (of machines;
databases have two; links, limits and clients one each), tolerate=1 (how
many control machines may be lost at once), beyond=false (more may: service may rest,
nothing may be lost),
closing=false (at the end everything is killed, and one disk lost),
spare_control=false (machines with a control node are struck by nothing, so that
carriers are held to every bound), troubles: all but split. What may come:
  processes  kill freeze term hup wipe replace all
  links      cut_core cut_carrier cut_databases cut_primary split lose_replies
             datagrams delay reset_links
  limits     descriptors full_disk log_reader
  processors throttle (a part of each tenth of a second only; it excuses nothing)
  databases  crash release reset hang deaf manners
  several    zone (with a primary, while a new replica is not known yet) reuse (of an
             address, while the former database's heartbeats still arrive)
  clients    rude; or none

    indigowalk testbed length_s=30 seed=7
    go build -race -o /tmp/indigowalk-race ./cmd/indigowalk
    indigowalk testbed --program /tmp/indigowalk-race length_s=120 cores=4
    indigowalk testbed tier=gateway timelines=3 pause_ms=400
    indigowalk testbed control_nodes=4 carriers=4 troubles=term,hup,cut_core

Exit codes: 0 no rule was broken and no process ended by itself, 1 otherwise or if
it can't be played, 2 wrong use.
`

// runTestbed runs the testbed command. Its exit code is exitFault if a rule was broken or a process
// ended by itself, or if the run failed.
func runTestbed(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("testbed", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	asJSON := flags.Bool("json", false, "")
	planPath := flags.String("plan", "", "")
	program := flags.String("program", "", "")
	keep := flags.String("keep", "", "")
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			fmt.Fprint(out, testbedUsage)
			return exitClean
		}
		fmt.Fprint(errOut, testbedUsage)
		return exitUsage
	}
	tool := toolRun{out: out, errOut: errOut, json: *asJSON}
	plan, err := loadPlan(*planPath, flags.Args())
	if err != nil {
		fmt.Fprintln(errOut, "indigowalk:", strings.ReplaceAll(err.Error(), "\n", "; "))
		return exitUsage
	}
	if *program == "" {
		if *program, err = os.Executable(); err != nil {
			return tool.fail(err)
		}
	}
	if info, err := os.Stat(*program); err != nil || info.IsDir() {
		return tool.fail(fmt.Errorf("testbed: %s is no program: %v", *program, err))
	}
	dir, cleanUp, err := workDir(*keep)
	if err != nil {
		return tool.fail(err)
	}
	defer cleanUp()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	report, err := testbed.Run(ctx, testbed.Config{Plan: plan, Program: *program, Dir: dir})
	if err != nil {
		return tool.fail(err)
	}
	if code := tool.show(report, report.Print); code != exitClean {
		return code
	}
	if !report.Clean() {
		return exitFault
	}
	return exitClean
}

// loadPlan returns the plan in the file at path, or the default plan without a path, changed by
// assignments of the form KEY=VALUE.
func loadPlan(path string, assignments []string) (testbed.Plan, error) {
	plan := testbed.DefaultPlan()
	if path != "" {
		loaded, err := testbed.LoadPlan(path)
		if err != nil {
			return plan, err
		}
		plan = loaded
	}
	for _, assignment := range assignments {
		key, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return plan, fmt.Errorf("testbed: %q is not KEY=VALUE", assignment)
		}
		if err := plan.Set(key, value); err != nil {
			return plan, err
		}
	}
	return plan, nil
}

// workDir returns an empty folder for a run, and a function to call after the run. A named folder is
// kept; if name is empty, the folder is a temporary one, which that function removes.
func workDir(name string) (dir string, cleanUp func(), err error) {
	if name == "" {
		dir, err := os.MkdirTemp("", "testbed")
		return dir, func() { os.RemoveAll(dir) }, err
	}
	if err := os.MkdirAll(name, 0o700); err != nil {
		return "", nil, err
	}
	entries, err := os.ReadDir(name)
	if err != nil {
		return "", nil, err
	}
	if len(entries) > 0 {
		return "", nil, fmt.Errorf("testbed: %s is not empty", name)
	}
	return name, func() {}, nil
}
