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

// A late answer, a request that is sent too often, and one that is left without an answer
// at the end, are found.
func TestInvariantsOfTheGateway(t *testing.T) {
	for name, c := range map[string]struct {
		play func(j *job)
		want []invariant.Invariant
	}{
		"answered at its deadline": {func(j *job) { j.deadline = j.now(); j.watchAnswer() }, nil},
		"answered too late":        {func(j *job) { j.deadline = j.now() - kernel.Second; j.watchAnswer() }, []invariant.Invariant{invariant.AnsweredInTime}},
		"sent as often as may be":  {func(j *job) { j.tries = 2; j.watchSend("a") }, nil},
		"sent too often":           {func(j *job) { j.tries = 3; j.watchSend("a") }, []invariant.Invariant{invariant.TriesBounded}},
		"sent where it may have run": {func(j *job) { j.mayHaveRun = true; j.watchSend("a") },
			[]invariant.Invariant{invariant.SentOnce}},
		"being answered at the end": {func(j *job) { j.t.clients[nil].answering = true; j.t.watchEnd(0) }, nil},
		"waiting at the end":        {func(j *job) { j.t.watchEnd(0) }, []invariant.Invariant{invariant.NothingUnanswered}},
	} {
		k := kernel.NewKernel("gateway", nil, slog.New(slog.DiscardHandler))
		g := &Gateway{k: k, clients: map[net.Conn]*clientState{nil: {busy: true}}}
		route := &routeconfig.Route{Manner: routeconfig.Manner{Type: routeconfig.Mutating, Tries: 2}}
		c.play(&job{t: g, id: "r1", route: route})
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A process that stood still must not be taken for one that let its clients wait.
func TestStallsThatMatterAreSeen(t *testing.T) {
	if answerSlack <= kernel.LongestUnseenStall {
		t.Errorf("an answer counts as late after %d us, a stall of %d us is not seen", answerSlack, kernel.LongestUnseenStall)
	}
}
