package tools

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/failover"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/quota"
)

// ReplayResult is the outcome of replaying a recording.
type ReplayResult struct {
	Records        int    `json:"records"`
	CutOff         bool   `json:"cut_off,omitempty"` // the last record is truncated
	FirstViolation int    `json:"broken,omitempty"`  // number of the first record that violates a rule, from 1
	Rule           string `json:"rule,omitempty"`
}

// Replay feeds a recording through the code that made the recorded decisions. It writes the state
// changes to w and checks the invariants at each record.
func Replay(raw []byte, w io.Writer) (*ReplayResult, error) {
	_, records, cutOff, err := readRecording(raw)
	if err != nil {
		return nil, err
	}
	p := &replayer{w: w, coordinator: health.NewCoordinator()}
	result := &ReplayResult{CutOff: cutOff}
	for _, r := range records {
		result.Records++
		rule, err := p.replay(r)
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", result.Records, err)
		}
		if rule != "" && result.FirstViolation == 0 {
			result.FirstViolation, result.Rule = result.Records, rule
		}
	}
	return result, nil
}

// readRecording parses a recording. cutOff reports that its last record is truncated.
func readRecording(raw []byte) (head kernel.RecordingHeader, records []kernel.Record, cutOff bool, err error) {
	lines := bytes.SplitAfter(raw, []byte("\n"))
	if json.Unmarshal(lines[0], &head) != nil || head.Recording == 0 {
		return head, nil, false, fmt.Errorf("not a recording")
	}
	if head.Recording > kernel.RecordingFormat {
		return head, nil, false, fmt.Errorf("a recording of format %d; this program reads up to %d", head.Recording, kernel.RecordingFormat)
	}
	for _, line := range lines[1:] {
		if len(line) == 0 {
			continue
		}
		if line[len(line)-1] != '\n' {
			return head, records, true, nil
		}
		var r kernel.Record
		if err := json.Unmarshal(line, &r); err != nil {
			return head, nil, false, fmt.Errorf("record %d: %w", len(records)+1, err)
		}
		records = append(records, r)
	}
	return head, records, false, nil
}

type replayer struct {
	w           io.Writer
	coordinator *health.Coordinator
	at          kernel.Micros
	epoch       int64

	promised, accepted int64 // by this witness
	promisedTo         string
}

// replay applies a record and returns the rule that it violates, or "".
func (p *replayer) replay(r kernel.Record) (rule string, err error) {
	if r.At < p.at {
		return "time goes back", nil
	}
	p.at = r.At
	switch r.Kind {
	case health.EventKind:
		var e health.Event
		if err := json.Unmarshal(r.Body, &e); err != nil {
			return "", err
		}
		return p.health(e), nil
	case controlstate.VoteKind:
		var v controlstate.Vote
		if err := json.Unmarshal(r.Body, &v); err != nil {
			return "", err
		}
		return p.vote(v), nil
	case failover.ChoiceKind:
		var c failover.Choice
		if err := json.Unmarshal(r.Body, &c); err != nil {
			return "", err
		}
		return p.choice(c), nil
	case quota.SentKind, quota.RequestedKind, quota.ReceivedKind, quota.LimitsKind, failurelog.Kind:
		return "", nil // only meaningful together with the recordings of other nodes
	}
	return "", fmt.Errorf("unknown kind %q", r.Kind)
}

func (p *replayer) health(e health.Event) string {
	wasUp, gen := p.coordinator.Up(e.Database)
	if e.Generation > gen {
		return fmt.Sprintf("an event of %s under generation %d, before there is one after %d", e.Database, e.Generation, gen)
	}
	changed := p.coordinator.Apply(e)
	upAfter, genAfter := p.coordinator.Up(e.Database)
	if changed {
		fmt.Fprintf(p.w, "%d us: %s %s, generation %d, after %s\n", p.at, e.Database, map[bool]string{true: "up", false: "down"}[upAfter], genAfter, e.Kind)
	}
	switch {
	case e.Generation < gen && changed:
		return "an event of an older generation counted"
	case genAfter < gen, genAfter > gen+1, genAfter > gen && !upAfter:
		return "a generation does not rise by one with each recovery"
	case wasUp && !upAfter && e.Kind != "report" && (e.Kind != "checked" || e.OK):
		return "a database went down without a fault or a failed check"
	}
	return ""
}

func (p *replayer) vote(v controlstate.Vote) string {
	if !v.Granted {
		return ""
	}
	fmt.Fprintf(p.w, "%d us: epoch %d of %s, %s granted\n", p.at, v.Epoch, v.From, v.Kind)
	switch {
	case v.Kind == "promise" && v.Epoch <= p.promised:
		return fmt.Sprintf("epoch %d was promised after epoch %d", v.Epoch, p.promised)
	case v.Kind == "accept" && (v.Epoch < p.promised || v.Epoch <= p.accepted):
		return fmt.Sprintf("epoch %d was accepted after %d was promised and %d accepted", v.Epoch, p.promised, p.accepted)
	case v.Kind == "accept" && v.Epoch == p.promised && p.promisedTo != "" && v.From != p.promisedTo:
		return fmt.Sprintf("epoch %d was promised to %s and accepted of %s", v.Epoch, p.promisedTo, v.From)
	}
	if p.promised, p.promisedTo = v.Epoch, v.From; v.Kind == "accept" {
		p.accepted = v.Epoch
	}
	return ""
}

func (p *replayer) choice(c failover.Choice) string {
	to, reason := failover.ChoosePrimary(c.Situation)
	fmt.Fprintf(p.w, "%d us: lead of %s: %s\n", p.at, c.Service, cmp.Or(to, "waits, "+reason))
	if c.Epoch < p.epoch {
		return fmt.Sprintf("a choice in epoch %d after epoch %d", c.Epoch, p.epoch)
	}
	p.epoch = c.Epoch
	if c.To == "" || c.Accepted {
		return ""
	}
	at := slices.IndexFunc(c.Situation.Copies, func(o failover.PausedReplica) bool { return o.ID == c.To })
	if at < 0 {
		return fmt.Sprintf("%s was chosen and did not answer", c.To)
	}
	if to == "" {
		return fmt.Sprintf("%s was chosen, though %s", c.To, reason)
	}
	received := c.Situation.Copies[at].Received
	if acked := c.Situation.AckedUpperBound; acked != nil && !received.Less(*acked) {
		return "" // it holds all commits that were acknowledged to clients
	}
	for _, o := range c.Situation.Copies {
		if received.Less(o.Received) {
			return fmt.Sprintf("%s was chosen, though %s had received more", c.To, o.ID)
		}
	}
	return ""
}
