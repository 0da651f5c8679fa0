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

// mostNodes bounds a scale benchmark to what one machine plays.
const mostNodes = 1000

func scalebenchTool(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("scalebench", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	asJSON := fs.Bool("json", false, "")
	hollow := fs.String("hollow", "", "")
	databases := fs.Int("databases", 450, "")
	routes := fs.Int("routes", 1500, "")
	changes := fs.Int("changes", 10, "")
	quiet := fs.Int("quiet", 10, "")
	sessions := fs.Int("sessions", 0, "")
	if err := fs.Parse(args); err != nil || fs.NArg() == 0 || *databases < 1 || *routes < 1 || *changes < 1 || *quiet < 1 || *sessions < 0 {
		if err == flag.ErrHelp {
			fmt.Fprint(out, scalebenchUsage)
			return exitClean
		}
		fmt.Fprint(errs, scalebenchUsage)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	t := toolRun{out: out, errs: errs, json: *asJSON}
	if *hollow != "" {
		return t.hollow(ctx, *hollow, fs.Arg(0))
	}
	return t.scalebench(ctx, fs.Args(), scalebench.Config{
		ControlNodes: 4, Databases: *databases, Routes: *routes,
		Changes: *changes, Quiet: time.Duration(*quiet) * time.Second, Sessions: *sessions,
	})
}

// hollow runs hollow nodes: which is the first and how many, with a comma between.
func (t toolRun) hollow(ctx context.Context, which, seeds string) int {
	first, count, _ := strings.Cut(which, ",")
	f, err1 := strconv.Atoi(first)
	c, err2 := strconv.Atoi(count)
	if err1 != nil || err2 != nil {
		return exitUsage
	}
	if err := scalebench.Hollow(ctx, f, c, seeds, t.out); err != nil {
		return t.fail(err)
	}
	return exitClean
}

// scalebench measures at each number of nodes, one after the other.
func (t toolRun) scalebench(ctx context.Context, numbers []string, cfg scalebench.Config) int {
	var err error
	if cfg.Program, err = os.Executable(); err != nil {
		return t.fail(err)
	}
	var sizes []*scalebench.Size
	for _, number := range numbers {
		nodes, err := strconv.Atoi(number)
		if err != nil || nodes < 1 || nodes > mostNodes {
			fmt.Fprintf(t.errs, "indigowalk scalebench: %q is no number of nodes from 1 to %d\n", number, mostNodes)
			return exitUsage
		}
		if cfg.Dir, err = os.MkdirTemp("", "scalebench"); err != nil {
			return t.fail(err)
		}
		cfg.Nodes = nodes
		size, err := scalebench.Run(ctx, cfg)
		os.RemoveAll(cfg.Dir)
		if err != nil {
			return t.fail(err)
		}
		sizes = append(sizes, size)
		if !t.json {
			printSize(t.out, size, cfg.Sessions)
		}
	}
	if !t.json {
		return exitClean
	}
	if err := tools.WriteJSON(t.out, sizes); err != nil {
		return t.fail(err)
	}
	return exitClean
}

// printSize writes what was measured at one size.
func printSize(w io.Writer, size *scalebench.Size, sessions int) {
	fmt.Fprintf(w, "%d nodes, %d databases, %d routes: all started in %d ms; a node %.0f B/s, %.2f thousandths of a core, %.0f KB;"+
		" primary %.1f thousandths, %.0f MB, other control nodes %.1f at most; a change in force everywhere in %v ms, %.0f B a node; after the primary's kill in %d ms\n",
		size.Nodes, size.Databases, size.Routes, size.StartMs, size.NodeBytes, size.NodeCPU, size.NodeKB,
		size.PrimaryCPU, size.PrimaryMB, size.ControlCPU, size.ChangeMs, size.ChangeBytes, size.TakeoverMs)
	if sessions > 0 {
		fmt.Fprintf(w, "a pooler of %.0f MB; %.0f bytes an idle session, of %d\n", size.PoolerMB, size.SessionBytes, sessions)
	}
}
