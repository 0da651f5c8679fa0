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

	"indigowalk/internal/stocktake"
	"indigowalk/internal/toolbox"
)

const stocktakeUsage = `indigowalk stocktake [--json] [--databases N] [--routes N] [--changes N] [--quiet S] [--sessions N] NODES...

Measures, on the loopback of this machine, what the control state costs at each
number of nodes: four archives as processes of their own, and hollow nodes, many
in a process, which take part in membership and hear all news but carry no
traffic. With --sessions, so many idle sessions at one desk too. It takes about a minute a size and ends what it has started.

    indigowalk stocktake 50 150 410
    indigowalk stocktake --json --databases 450 --routes 1500 410 > size.json
`

// mostNodes bounds a stocktake to what one machine plays.
const mostNodes = 1000

func stocktakes(args []string, out, errs io.Writer) int {
	fs := flag.NewFlagSet("stocktake", flag.ContinueOnError)
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
			fmt.Fprint(out, stocktakeUsage)
			return exitClean
		}
		fmt.Fprint(errs, stocktakeUsage)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	t := tools{out: out, errs: errs, json: *asJSON}
	if *hollow != "" {
		first, count, _ := strings.Cut(*hollow, ",")
		f, err1 := strconv.Atoi(first)
		c, err2 := strconv.Atoi(count)
		if err1 != nil || err2 != nil {
			return exitUsage
		}
		if err := stocktake.Hollow(ctx, f, c, fs.Arg(0), out); err != nil {
			return t.fail(err)
		}
		return exitClean
	}
	program, err := os.Executable()
	if err != nil {
		return t.fail(err)
	}
	var sizes []*stocktake.Size
	for _, arg := range fs.Args() {
		nodes, err := strconv.Atoi(arg)
		if err != nil || nodes < 1 || nodes > mostNodes {
			fmt.Fprintf(errs, "indigowalk stocktake: %q is no number of nodes from 1 to %d\n", arg, mostNodes)
			return exitUsage
		}
		dir, err := os.MkdirTemp("", "stocktake")
		if err != nil {
			return t.fail(err)
		}
		size, err := stocktake.Run(ctx, stocktake.Config{
			Program: program, Dir: dir, Nodes: nodes, Archives: 4, Databases: *databases, Routes: *routes,
			Changes: *changes, Quiet: time.Duration(*quiet) * time.Second, Sessions: *sessions,
		})
		os.RemoveAll(dir)
		if err != nil {
			return t.fail(err)
		}
		sizes = append(sizes, size)
		if !*asJSON {
			fmt.Fprintf(out, "%d nodes, %d databases, %d routes: all started in %d ms; a node %.0f B/s, %.2f thousandths of a core, %.0f KB;"+
				" primary %.1f thousandths, %.0f MB, other archives %.1f at most; a change in force everywhere in %v ms, %.0f B a node; after the primary's kill in %d ms\n",
				size.Nodes, size.Databases, size.Routes, size.StartMs, size.NodeBytes, size.NodeCPU, size.NodeKB,
				size.PrimaryCPU, size.PrimaryMB, size.ArchiveCPU, size.ChangeMs, size.ChangeBytes, size.TakeoverMs)
			if *sessions > 0 {
				fmt.Fprintf(out, "a desk of %.0f MB; %.0f bytes an idle session, of %d\n", size.DeskMB, size.SessionBytes, *sessions)
			}
		}
	}
	if *asJSON {
		if err := toolbox.WriteJSON(out, sizes); err != nil {
			return t.fail(err)
		}
	}
	return exitClean
}
