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

// tool runs one of the tools's commands.
func tool(name string, args []string, out, errs io.Writer) int {
	usage := map[string]string{"check": checkUsage, "plan": planUsage, "replay": replayUsage, "status": statusUsage}[name]
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	asJSON := fs.Bool("json", false, "")
	all := fs.Bool("all", false, "")
	details := fs.Bool("details", false, "")
	failures := fs.Bool("failures", false, "")
	only := fs.String("only", "", "")
	from := fs.String("from", "", "")
	view := fs.String("view", "", "")
	base := fs.String("on", "", "")
	var words []string
	for rest := args; ; {
		if err := fs.Parse(rest); err != nil {
			if err == flag.ErrHelp {
				fmt.Fprint(out, usage)
				return exitClean
			}
			fmt.Fprintf(errs, "indigowalk %s: %v\n%s", name, err, usage)
			return exitUsage
		}
		if fs.NArg() == 0 {
			break
		}
		words, rest = append(words, fs.Arg(0)), fs.Args()[1:]
	}
	t := toolRun{out: out, errs: errs, json: *asJSON}
	code := exitUsage
	switch {
	case name == "check" && len(words) >= 2 && words[0] == "quota":
		code = t.checkQuota(words[1:])
	case name == "check" && len(words) == 2:
		code = t.check(words[0], words[1], *base)
	case name == "plan" && len(words) > 0 && (*from == "") != (*view == ""):
		code = t.plan(*from, *view, words)
	case name == "replay" && len(words) == 1:
		code = t.replay(words[0])
	case name == "status" && len(words) > 0 && *failures:
		code = t.failures(words, *all, *only)
	case name == "status" && len(words) > 0:
		code = t.status(words, *all, *details, *only)
	}
	if code == exitUsage {
		fmt.Fprint(errs, usage)
	}
	return code
}

type toolRun struct {
	out, errs io.Writer
	json      bool
}

func (t toolRun) fail(err error) int {
	fmt.Fprintln(t.errs, "indigowalk:", err)
	return exitFault
}

// show prints v as JSON, or as text by print.
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

func (t toolRun) checkQuota(paths []string) int {
	c, err := tools.CheckQuota(paths)
	if err != nil {
		return t.fail(err)
	}
	if code := t.show(c, c.Print); code != exitClean {
		return code
	}
	if c.Excess != nil {
		return exitFault
	}
	return exitClean
}

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
		for _, f := range faults {
			fmt.Fprintln(w, f)
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

func (t toolRun) plan(from, view string, words []string) int {
	var sys *tools.System
	if view != "" {
		raw, err := os.ReadFile(view)
		if err != nil {
			return t.fail(err)
		}
		if sys, err = tools.ReadSystem(raw); err != nil {
			return t.fail(fmt.Errorf("%s: %w", view, err))
		}
	} else {
		sys = tools.Ask(context.Background(), kernel.HostNetwork{}, []string{from}, true)
	}
	step, what := words[0], ""
	var conf *routeconfig.Configuration
	switch {
	case step == "restart" && len(words) == 1:
	case len(words) != 2:
		return exitUsage
	case step == "config":
		raw, err := os.ReadFile(words[1])
		if err != nil {
			return t.fail(err)
		}
		var faults []routeconfig.Fault
		if conf, faults = routeconfig.Parse(raw); faults != nil {
			return t.fail(fmt.Errorf("%s: %w", words[1], faults[0]))
		}
	case step == "drain", step == "release", step == "lose", step == "grow":
		what = words[1]
	default:
		return exitUsage
	}
	p, err := sys.Make(step, what, conf)
	if err != nil {
		return t.fail(err)
	}
	return t.show(p, p.Print)
}

func (t toolRun) replay(path string) int {
	raw, err := os.ReadFile(path)
	if err != nil {
		return t.fail(err)
	}
	w := t.out
	if t.json {
		w = io.Discard
	}
	r, err := tools.Replay(raw, w)
	if err != nil {
		return t.fail(fmt.Errorf("%s: %w", path, err))
	}
	code := t.show(r, func(w io.Writer) {
		fmt.Fprintf(w, "%d records", r.Records)
		if r.CutOff {
			fmt.Fprint(w, ", the last one cut off")
		}
		if r.Broken > 0 {
			fmt.Fprintf(w, "; broken at record %d: %s\n", r.Broken, r.Rule)
		} else {
			fmt.Fprintln(w, "; every rule kept")
		}
	})
	if r.Broken > 0 {
		return exitFault
	}
	return code
}

func (t toolRun) failures(addrs []string, all bool, only string) int {
	ctx, network := context.Background(), kernel.HostNetwork{}
	report := tools.Ask(ctx, network, addrs, all).Failures(ctx, network)
	report.Only(only)
	code := t.show(report, report.Print)
	if len(report.Missing) > 0 {
		return exitFault
	}
	return code
}

func (t toolRun) status(addrs []string, all, details bool, only string) int {
	sys := tools.Ask(context.Background(), kernel.HostNetwork{}, addrs, all)
	code := t.show(sys, func(w io.Writer) { sys.Print(w, details, only) })
	if len(sys.Missing) > 0 {
		return exitFault
	}
	return code
}
