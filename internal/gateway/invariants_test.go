package gateway

import (
	"log/slog"
	"net"
	"slices"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
)

// A late response, a request that is sent too often, and a request left unanswered at shutdown are
// reported as invariant violations.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(j *job)
		want []invariant.Invariant
	}{
		"answered at its deadline": {func(j *job) { j.deadline = j.now(); j.checkAnsweredInTime() }, nil},
		"answered too late":        {func(j *job) { j.deadline = j.now() - kernel.Second; j.checkAnsweredInTime() }, []invariant.Invariant{invariant.AnsweredInTime}},
		"sent as often as allowed": {func(j *job) { j.attempts = 2; j.checkSentOnce("a") }, nil},
		"sent too often":           {func(j *job) { j.attempts = 3; j.checkSentOnce("a") }, []invariant.Invariant{invariant.TriesBounded}},
		"sent after it may have run": {func(j *job) { j.mayHaveRun = true; j.checkSentOnce("a") },
			[]invariant.Invariant{invariant.NoUnsafeRetry}},
		"response in progress at shutdown": {func(j *job) { j.gateway.clients[nil].responding = true; j.gateway.checkNoneUnanswered(0) }, nil},
		"unanswered at shutdown":           {func(j *job) { j.gateway.checkNoneUnanswered(0) }, []invariant.Invariant{invariant.NothingUnanswered}},
	} {
		k := kernel.NewKernel("gateway", nil, slog.New(slog.DiscardHandler))
		g := &Gateway{k: k, clients: map[net.Conn]*clientState{nil: {busy: true}}}
		route := &routeconfig.Route{Manner: routeconfig.Manner{Type: routeconfig.Mutating, Tries: 2}}
		c.run(&job{gateway: g, id: "r1", route: route})
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: violations %v", name, got)
		}
	}
}

// A process that was stalled must not be mistaken for one that kept its clients waiting, so every
// stall as long as deadlineTolerance has to be detected.
func TestStallsThatDelayResponsesAreDetected(t *testing.T) {
	if deadlineTolerance <= kernel.MaxUndetectedStall {
		t.Errorf("a response counts as late after %d us, but a stall of %d us can go undetected", deadlineTolerance, kernel.MaxUndetectedStall)
	}
}
