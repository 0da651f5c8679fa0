package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/tools"
)

const checkUsage = `indigowalk check [--json] KIND FILE: look for faults, all in one pass

  check settings FILE                a process's settings file
  check deploy FILE                  a deploy file
  check config [--on BASE] FILE      a configuration, alone or as a change on BASE
  check store DIR                    the data folder of a stopped control node
  check quota RECORDING...           tenants' limits, from the recordings of all nodes
`

const planUsage = `indigowalk plan [--json] SOURCE STEP: what a step would do; it changes nothing

  SOURCE is --from ADDR, the inner address of any process (see status),
  or --view FILE, what 'indigowalk status --all --json' wrote.
  STEP is one of
    config FILE      put a configuration in force
    drain ID         drain a database
    release ID       replace a database
    lose NODE        lose a node
    restart          restart every process
    grow Poolers       run that many poolers
`

const replayUsage = `indigowalk replay [--json] FILE: play a recording through the decisions' code

Recordings are made where the setting tune.record_kb is over 0, as
ROLE.recording in the data folder, or in /tmp where there is none; that of the
process before is kept as ROLE.recording.before. Replay prints the changes of
state and the record at which a rule was first broken.
`

const statusUsage = `indigowalk status [--all] [--details] [--failures] [--only TEXT] [--json] ADDR...: ask processes for their view

  ADDR is an inner address: the first port of port_range for a control node, the
  second for a pooler, as in 10.1.0.8:7440. --all asks every member they know.
  What is told is how many there are of what, and whoever is not as most are;
  --details gives every database and process a line, --only those whose name,
  role, zone or service contains TEXT. Members are asked side by side and
  waited for 2 s. --failures tells instead which requests were not served of
  late, why, and what came of each sending; each process keeps the last 512.

    indigowalk status --all 10.1.0.8:7440
    indigowalk status --all --only hall-gent 10.1.0.8:7440
    indigowalk status --all --failures --only ledger 10.1.0.8:7440
    indigowalk status --all --json 10.1.0.8:7440 > view.json
`

// runTool runs one of the commands check, plan, replay and status. Flags and other arguments may occur
// in any order.
func runTool(name string, args []string, out, errOut io.Writer) int {
	usage := map[string]string{"check": checkUsage, "plan": planUsage, "replay": replayUsage, "status": statusUsage}[name]
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	asJSON := flags.Bool("json", false, "")
	all := flags.Bool("all", false, "")
	details := flags.Bool("details", false, "")
	failures := flags.Bool("failures", false, "")
	only := flags.String("only", "", "")
	from := flags.String("from", "", "")
	view := flags.String("view", "", "")
	base := flags.String("on", "", "")
	var operands []string
	for remaining := args; ; {
		if err := flags.Parse(remaining); err != nil {
			if err == flag.ErrHelp {
				fmt.Fprint(out, usage)
				return exitClean
			}
			fmt.Fprintf(errOut, "indigowalk %s: %v\n%s", name, err, usage)
			return exitUsage
		}
		if flags.NArg() == 0 {
			break
		}
		operands, remaining = append(operands, flags.Arg(0)), flags.Args()[1:]
	}
	tool := toolRun{out: out, errOut: errOut, json: *asJSON}
	code := exitUsage
	switch {
	case name == "check" && len(operands) >= 2 && operands[0] == "quota":
		code = tool.checkQuota(operands[1:])
	case name == "check" && len(operands) == 2:
		code = tool.check(operands[0], operands[1], *base)
	case name == "plan" && len(operands) > 0 && (*from == "") != (*view == ""):
		code = tool.plan(*from, *view, operands)
	case name == "replay" && len(operands) == 1:
		code = tool.replay(operands[0])
	case name == "status" && len(operands) > 0 && *failures:
		code = tool.failures(operands, *all, *only)
	case name == "status" && len(operands) > 0:
		code = tool.status(operands, *all, *details, *only)
	}
	if code == exitUsage {
		fmt.Fprint(errOut, usage)
	}
	return code
}

// toolRun is the output of one run of a command: its streams, and whether it writes JSON.
type toolRun struct {
	out, errOut io.Writer
	json        bool
}

// fail writes err to the error output, and returns exitFault.
func (t toolRun) fail(err error) int {
	fmt.Fprintln(t.errOut, "indigowalk:", err)
	return exitFault
}

// show writes v as JSON if --json is set, or else as text with print.
func (t toolRun) show(v any, print func(io.Writer)) int {
	if !t.json {
		print(t.out)
		return exitClean
	}
	if err := tools.WriteJSON(t.out, v); err != nil {
		return t.fail(err)
	}
	return exitClean
}

// checkQuota runs check quota. Its exit code is exitFault if a tenant exceeded its limit.
func (t toolRun) checkQuota(paths []string) int {
	check, err := tools.CheckQuota(paths)
	if err != nil {
		return t.fail(err)
	}
	if code := t.show(check, check.Print); code != exitClean {
		return code
	}
	if check.Excess != nil {
		return exitFault
	}
	return exitClean
}

// check runs the other kinds of check. Its exit code is exitFault if there are faults, or exitUsage if
// the kind is unknown.
func (t toolRun) check(kind, path, base string) int {
	var faults []tools.Fault
	switch kind {
	case "settings":
		faults = tools.CheckSettings(path)
	case "deploy":
		faults = tools.CheckDeploy(path)
	case "config":
		faults = tools.CheckConfig(path, base)
	case "store":
		faults = tools.CheckStore(path)
	default:
		return exitUsage
	}
	code := t.show(map[string]any{"faults": append([]tools.Fault{}, faults...)}, func(w io.Writer) {
		for _, fault := range faults {
			fmt.Fprintln(w, fault)
		}
		if len(faults) == 0 {
			fmt.Fprintln(w, "clean")
		}
	})
	if len(faults) > 0 {
		return exitFault
	}
	return code
}

// plan runs plan on the reports in the file view or, if view is empty, on those of all members that the
// process at the address from knows.
func (t toolRun) plan(from, view string, operands []string) int {
	var system *tools.System
	if view != "" {
		raw, err := os.ReadFile(view)
		if err != nil {
			return t.fail(err)
		}
		if system, err = tools.ReadSystem(raw); err != nil {
			return t.fail(fmt.Errorf("%s: %w", view, err))
		}
	} else {
		system = tools.CollectReports(context.Background(), kernel.HostNetwork{}, []string{from}, true)
	}
	step, target := operands[0], ""
	var config *routeconfig.Configuration
	switch {
	case step == "restart" && len(operands) == 1:
	case len(operands) != 2:
		return exitUsage
	case step == "config":
		raw, err := os.ReadFile(operands[1])
		if err != nil {
			return t.fail(err)
		}
		var fieldErrors []routeconfig.FieldError
		if config, fieldErrors = routeconfig.Parse(raw); fieldErrors != nil {
			return t.fail(fmt.Errorf("%s: %w", operands[1], fieldErrors[0]))
		}
	case step == "drain", step == "release", step == "lose", step == "grow":
		target = operands[1]
	default:
		return exitUsage
	}
	plan, err := system.MakePlan(step, target, config)
	if err != nil {
		return t.fail(err)
	}
	return t.show(plan, plan.Print)
}

// replay runs replay. Its exit code is exitFault if a record violates a rule.
func (t toolRun) replay(path string) int {
	raw, err := os.ReadFile(path)
	if err != nil {
		return t.fail(err)
	}
	stateChanges := t.out
	if t.json {
		stateChanges = io.Discard
	}
	result, err := tools.Replay(raw, stateChanges)
	if err != nil {
		return t.fail(fmt.Errorf("%s: %w", path, err))
	}
	code := t.show(result, func(w io.Writer) {
		fmt.Fprintf(w, "%d records", result.Records)
		if result.CutOff {
			fmt.Fprint(w, ", the last one cut off")
		}
		if result.FirstViolation > 0 {
			fmt.Fprintf(w, "; broken at record %d: %s\n", result.FirstViolation, result.Rule)
		} else {
			fmt.Fprintln(w, "; every rule kept")
		}
	})
	if result.FirstViolation > 0 {
		return exitFault
	}
	return code
}

// failures runs status --failures. Its exit code is exitFault if a process gave no report.
func (t toolRun) failures(addrs []string, all bool, only string) int {
	ctx, network := context.Background(), kernel.HostNetwork{}
	report := tools.CollectReports(ctx, network, addrs, all).Failures(ctx, network)
	report.Filter(only)
	code := t.show(report, report.Print)
	if len(report.Missing) > 0 {
		return exitFault
	}
	return code
}

// status runs status. Its exit code is exitFault if a process gave no report.
func (t toolRun) status(addrs []string, all, details bool, only string) int {
	system := tools.CollectReports(context.Background(), kernel.HostNetwork{}, addrs, all)
	code := t.show(system, func(w io.Writer) { system.Print(w, details, only) })
	if len(system.Missing) > 0 {
		return exitFault
	}
	return code
}
