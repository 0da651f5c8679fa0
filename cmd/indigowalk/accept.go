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

// runAcceptLoss runs the accept-loss command. Without --turn it prints which databases the failover of a
// service waits for; with the ID of that failover it accepts the loss of the acknowledged commits that
// only those databases have.
func runAcceptLoss(args []string, out, errOut io.Writer) int {
	flags := flag.NewFlagSet("accept-loss", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	asJSON := flags.Bool("json", false, "")
	failoverNumber := flags.Int64("turn", 0, "")
	acceptedBy := flags.String("by", "", "")
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(out, acceptUsage)
		return exitClean
	}
	if err != nil || flags.NArg() < 2 || (*failoverNumber == 0) != (*acceptedBy == "") {
		fmt.Fprint(errOut, acceptUsage)
		return exitUsage
	}
	tool := toolRun{out: out, errOut: errOut, json: *asJSON}
	ctx, network := context.Background(), kernel.HostNetwork{}
	system := tools.CollectReports(ctx, network, flags.Args()[1:], true)
	blocked, err := system.FindBlocked(flags.Arg(0))
	if err != nil {
		return tool.fail(err)
	}
	if *failoverNumber == 0 {
		return tool.show(blocked, blocked.Print)
	}
	if err := blocked.AcceptLoss(ctx, network, *failoverNumber, *acceptedBy); err != nil {
		return tool.fail(err)
	}
	return tool.show(blocked, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: %s goes on without what it waited for\n", blocked.Service)
	})
}
