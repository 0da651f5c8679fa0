package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"indigowalk/internal/kernel"
	"indigowalk/internal/tools"
)

const acceptUsage = `indigowalk accept-loss [--json] [--turn N --by NAME] SERVICE ADDR...: let a service go on without a lost database

A service has no primary as long as a database that may hold acknowledged commits
is away. If it does not come back, and only then, accept that these are lost: the
furthest of those that are left is promoted. Without --turn it is shown what is
waited for, and the order to give; the turn is that of the move that waits, so
that an order never counts for a later one. Who gave it is kept with the lead, and
shown by status.

  ADDR is the inner address of a control node: the first port of port_range.

    indigowalk accept-loss ledger 10.1.0.8:7440
    indigowalk accept-loss --turn 7 --by "on call" ledger 10.1.0.8:7440
`

// runAcceptLoss shows which databases a service's failover waits for or, given the number of that
// failover (--turn), accepts that the commits which only those databases hold are lost.
func runAcceptLoss(args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("accept-loss", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	asJSON := fs.Bool("json", false, "")
	failoverNumber := fs.Int64("turn", 0, "")
	acceptedBy := fs.String("by", "", "")
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(out, acceptUsage)
		return exitClean
	}
	if err != nil || fs.NArg() < 2 || (*failoverNumber == 0) != (*acceptedBy == "") {
		fmt.Fprint(errOut, acceptUsage)
		return exitUsage
	}
	t := toolRun{out: out, errOut: errOut, json: *asJSON}
	ctx, network := context.Background(), kernel.HostNetwork{}
	system := tools.CollectReports(ctx, network, fs.Args()[1:], true)
	waiting, err := system.FindBlocked(fs.Arg(0))
	if err != nil {
		return t.fail(err)
	}
	if *failoverNumber == 0 {
		return t.show(waiting, waiting.Print)
	}
	if err := waiting.AcceptLoss(ctx, network, *failoverNumber, *acceptedBy); err != nil {
		return t.fail(err)
	}
	return t.show(waiting, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: %s goes on without what it waited for\n", waiting.Service)
	})
}
