package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"indigowalk/internal/scalebench"
	"indigowalk/internal/tools"
)

const scalebenchUsage = `indigowalk scalebench [--json] [--databases N] [--routes N] [--changes N] [--quiet S] [--sessions N] NODES...

Measures, on the loopback of this machine, what the control state costs at each
number of nodes: four control nodes as processes of their own, and hollow nodes, many
in a process, which take part in membership and hear all news but carry no
traffic. With --sessions, so many idle sessions at one pooler too. It takes about a minute a size and ends what it has started.

    indigowalk scalebench 50 150 410
    indigowalk scalebench --json --databases 450 --routes 1500 410 > size.json
`

// maxNodes is the largest number of hollow nodes that one machine can run.
const maxNodes = 1000

// runScalebench runs the scalebench command. The flag --hollow, which is not in the help, is internal:
// the benchmark starts its processes of hollow nodes with it.
func runScalebench(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("scalebench", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	asJSON := flags.Bool("json", false, "")
	hollow := flags.String("hollow", "", "")
	databases := flags.Int("databases", 450, "")
	routes := flags.Int("routes", 1500, "")
	changes := flags.Int("changes", 10, "")
	quietSeconds := flags.Int("quiet", 10, "")
	sessions := flags.Int("sessions", 0, "")
	if err := flags.Parse(args); err != nil || flags.NArg() == 0 || *databases < 1 || *routes < 1 || *changes < 1 || *quietSeconds < 1 || *sessions < 0 {
		if err == flag.ErrHelp {
			fmt.Fprint(out, scalebenchUsage)
			return exitClean
		}
		fmt.Fprint(errOut, scalebenchUsage)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	tool := toolRun{out: out, errOut: errOut, json: *asJSON}
	if *hollow != "" {
		return tool.runHollowNodes(ctx, *hollow, flags.Arg(0))
	}
	return tool.measureSizes(ctx, flags.Args(), scalebench.Config{
		ControlNodes: 4, Databases: *databases, Routes: *routes,
		Changes: *changes, QuietPeriod: time.Duration(*quietSeconds) * time.Second, Sessions: *sessions,
	})
}

// runHollowNodes runs the hollow nodes of nodeRange: the number of the first, a comma, and their count.
func (t toolRun) runHollowNodes(ctx context.Context, nodeRange, seeds string) int {
	first, count, _ := strings.Cut(nodeRange, ",")
	firstNode, err1 := strconv.Atoi(first)
	nodeCount, err2 := strconv.Atoi(count)
	if err1 != nil || err2 != nil {
		return exitUsage
	}
	if err := scalebench.RunHollowNodes(ctx, firstNode, nodeCount, seeds, t.out); err != nil {
		return t.fail(err)
	}
	return exitClean
}

// measureSizes runs the benchmark at each cluster size, one after the other.
func (t toolRun) measureSizes(ctx context.Context, sizes []string, cfg scalebench.Config) int {
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		return t.fail(err)
	}
	var results []*scalebench.Result
	for _, size := range sizes {
		nodes, err := strconv.Atoi(size)
		if err != nil || nodes < 1 || nodes > maxNodes {
			fmt.Fprintf(t.errOut, "indigowalk scalebench: %q is no number of nodes from 1 to %d\n", size, maxNodes)
			return exitUsage
		}
		if cfg.Dir, err = os.MkdirTemp("", "scalebench"); err != nil {
			return t.fail(err)
		}
		cfg.Nodes = nodes
		result, err := scalebench.Run(ctx, cfg)
		os.RemoveAll(cfg.Dir)
		if err != nil {
			return t.fail(err)
		}
		results = append(results, result)
		if !t.json {
			printResult(t.out, result, cfg.Sessions)
		}
	}
	if !t.json {
		return exitClean
	}
	if err := tools.WriteJSON(t.out, results); err != nil {
		return t.fail(err)
	}
	return exitClean
}

// printResult writes the measurements at one cluster size as text.
func printResult(w io.Writer, result *scalebench.Result, sessions int) {
	fmt.Fprintf(w, "%d nodes, %d databases, %d routes: all started in %d ms; a node %.0f B/s, %.2f thousandths of a core, %.0f KB;"+
		" primary %.1f thousandths, %.0f MB, other control nodes %.1f at most; a change in force everywhere in %v ms, %.0f B a node; after the primary's kill in %d ms\n",
		result.Nodes, result.Databases, result.Routes, result.StartMs, result.NodeBytes, result.NodeCPU, result.NodeKB,
		result.PrimaryCPU, result.PrimaryMB, result.ControlCPU, result.ChangeMs, result.ChangeBytes, result.TakeoverMs)
	if sessions > 0 {
		fmt.Fprintf(w, "a pooler of %.0f MB; %.0f bytes an idle session, of %d\n", result.PoolerMB, result.SessionBytes, sessions)
	}
}
