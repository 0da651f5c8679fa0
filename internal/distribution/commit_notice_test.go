package distribution

import (
	"encoding/json"
	"log/slog"
	"testing"

	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/rpc"
)

// newTestSubscriber returns a subscriber that may acknowledge commits of the primary "db" of "svc",
// and the notices that it sends.
func newTestSubscriber() (*Subscriber, *[]CommitNotice) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	var sent []CommitNotice
	s := NewSubscriber(k, rpc.NewEndpoint(k, "10.0.0.1:7441"), SubscriberConfig{
		PollWait:         func() kernel.Micros { return kernel.Second },
		SendCommitNotice: func(notice CommitNotice) { sent = append(sent, notice) },
	})
	s.leaders = map[string]failover.Leader{"svc": {Service: "svc", ID: "db", Term: 3}}
	s.leaseEnd = k.Clock.Now() + 10*kernel.Second
	return s, &sent
}

// A commit is announced to peers if it is acknowledged and its position is known, and not otherwise.
func TestAcknowledgedCommitsAreAnnounced(t *testing.T) {
	s, sent := newTestSubscriber()
	begun := PrimarySnapshot{Term: 3}
	if !s.Acknowledge("svc", "db", begun, "3.7") || len(*sent) != 1 || (*sent)[0] != (CommitNotice{"svc", "3.7"}) {
		t.Errorf("acknowledged commit: notices %v", *sent)
	}
	if !s.Acknowledge("svc", "db", begun, "-") || len(*sent) != 1 {
		t.Errorf("commit without a position: notices %v", *sent)
	}
	if s.Acknowledge("svc", "db", PrimarySnapshot{Term: 2}, "3.9") || len(*sent) != 1 {
		t.Errorf("commit that is not acknowledged: notices %v", *sent)
	}
}

// What peers have announced is reported for the services that this process has released, as far as it
// exceeds what the process acknowledged itself.
func TestCommitNoticesAreReported(t *testing.T) {
	at := func(number int64) lineprotocol.Position { return lineprotocol.Position{Term: 3, Number: number} }
	for name, c := range map[string]struct {
		own     string
		notices []string
		want    lineprotocol.Position
	}{
		"none":            {"3.7", nil, at(7)},
		"later one":       {"3.7", []string{`{"svc":"svc","at":"3.9"}`}, at(9)},
		"delayed one":     {"3.7", []string{`{"svc":"svc","at":"3.9"}`, `{"svc":"svc","at":"3.8"}`}, at(9)},
		"earlier one":     {"3.7", []string{`{"svc":"svc","at":"3.2"}`}, at(7)},
		"other service":   {"3.7", []string{`{"svc":"other","at":"3.9"}`}, at(7)},
		"malformed ones":  {"3.7", []string{`{"svc":"svc","at":"x"}`, `{`, `{"svc":"svc"}`}, at(7)},
		"no own commit":   {"", []string{`{"svc":"svc","at":"3.9"}`}, at(9)},
		"nothing at all":  {"", nil, lineprotocol.Position{}},
		"later term wins": {"3.7", []string{`{"svc":"svc","at":"4.1"}`, `{"svc":"svc","at":"3.99"}`}, lineprotocol.Position{Term: 4, Number: 1}},
	} {
		s, _ := newTestSubscriber()
		if c.own != "" && !s.Acknowledge("svc", "db", PrimarySnapshot{Term: 3}, c.own) {
			t.Fatalf("%s: the commit is not acknowledged", name)
		}
		for _, notice := range c.notices {
			s.HandleCommitNotice("10.0.0.2:7441", json.RawMessage(notice))
		}
		s.released["svc"] = 5
		s.leaders["svc"] = failover.Leader{Service: "svc", ID: "db", Term: 3, FailoverInProgress: true, FailoverID: 5}
		if got := s.buildRequest(nil, false).AckedUpperBounds["svc"]; got != c.want {
			t.Errorf("%s: reported %v, want %v", name, got, c.want)
		}
	}
}
