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
	replayer := &replayer{w: w, coordinator: health.NewCoordinator()}
	result := &ReplayResult{CutOff: cutOff}
	for _, record := range records {
		result.Records++
		rule, err := replayer.replay(record)
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
		var record kernel.Record
		if err := json.Unmarshal(line, &record); err != nil {
			return head, nil, false, fmt.Errorf("record %d: %w", len(records)+1, err)
		}
		records = append(records, record)
	}
	return head, records, false, nil
}

// replayer is the state to which the records of one node are applied.
type replayer struct {
	w           io.Writer
	coordinator *health.Coordinator
	time        kernel.Micros // of the last record
	choiceEpoch int64         // of the last failover choice

	// Epochs that the node, as a witness, last promised and accepted, and the control node that
	// requested the last vote.
	promisedEpoch, acceptedEpoch int64
	promisedTo                   string
}

// replay applies a record and returns the rule that it violates, or "".
func (r *replayer) replay(record kernel.Record) (rule string, err error) {
	if record.At < r.time {
		return "time goes back", nil
	}
	r.time = record.At
	switch record.Kind {
	case health.EventKind:
		var event health.Event
		if err := json.Unmarshal(record.Body, &event); err != nil {
			return "", err
		}
		return r.applyHealthEvent(event), nil
	case controlstate.VoteKind:
		var vote controlstate.Vote
		if err := json.Unmarshal(record.Body, &vote); err != nil {
			return "", err
		}
		return r.applyVote(vote), nil
	case failover.ChoiceKind:
		var choice failover.Choice
		if err := json.Unmarshal(record.Body, &choice); err != nil {
			return "", err
		}
		return r.applyChoice(choice), nil
	case quota.SentKind, quota.RequestedKind, quota.ReceivedKind, quota.LimitsKind, failurelog.Kind:
		return "", nil // only meaningful together with the recordings of other nodes
	}
	return "", fmt.Errorf("unknown kind %q", record.Kind)
}

// applyHealthEvent applies a health event and returns the rule that it violates, or "".
func (r *replayer) applyHealthEvent(event health.Event) string {
	wasUp, generation := r.coordinator.Up(event.Database)
	if event.Generation > generation {
		return fmt.Sprintf("an event of %s under generation %d, before there is one after %d", event.Database, event.Generation, generation)
	}
	changed := r.coordinator.Apply(event)
	upAfter, generationAfter := r.coordinator.Up(event.Database)
	if changed {
		fmt.Fprintf(r.w, "%d us: %s %s, generation %d, after %s\n", r.time, event.Database, map[bool]string{true: "up", false: "down"}[upAfter], generationAfter, event.Kind)
	}
	switch {
	case event.Generation < generation && changed:
		return "an event of an older generation counted"
	case generationAfter < generation, generationAfter > generation+1, generationAfter > generation && !upAfter:
		return "a generation does not rise by one with each recovery"
	case wasUp && !upAfter && event.Kind != "report" && (event.Kind != "checked" || event.OK):
		return "a database went down without a fault or a failed check"
	}
	return ""
}

// applyVote applies a witness's vote and returns the rule that it violates, or "".
func (r *replayer) applyVote(vote controlstate.Vote) string {
	if !vote.Granted {
		return ""
	}
	fmt.Fprintf(r.w, "%d us: epoch %d of %s, %s granted\n", r.time, vote.Epoch, vote.From, vote.Kind)
	switch {
	case vote.Kind == "promise" && vote.Epoch <= r.promisedEpoch:
		return fmt.Sprintf("epoch %d was promised after epoch %d", vote.Epoch, r.promisedEpoch)
	case vote.Kind == "accept" && (vote.Epoch < r.promisedEpoch || vote.Epoch <= r.acceptedEpoch):
		return fmt.Sprintf("epoch %d was accepted after %d was promised and %d accepted", vote.Epoch, r.promisedEpoch, r.acceptedEpoch)
	case vote.Kind == "accept" && vote.Epoch == r.promisedEpoch && r.promisedTo != "" && vote.From != r.promisedTo:
		return fmt.Sprintf("epoch %d was promised to %s and accepted of %s", vote.Epoch, r.promisedTo, vote.From)
	}
	if r.promisedEpoch, r.promisedTo = vote.Epoch, vote.From; vote.Kind == "accept" {
		r.acceptedEpoch = vote.Epoch
	}
	return ""
}

// applyChoice repeats the choice of a new primary and returns the rule that the recorded choice
// violates, or "".
func (r *replayer) applyChoice(choice failover.Choice) string {
	target, reason := failover.ChoosePrimary(choice.Input)
	fmt.Fprintf(r.w, "%d us: lead of %s: %s\n", r.time, choice.Service, cmp.Or(target, "waits, "+reason))
	if choice.Epoch < r.choiceEpoch {
		return fmt.Sprintf("a choice in epoch %d after epoch %d", choice.Epoch, r.choiceEpoch)
	}
	r.choiceEpoch = choice.Epoch
	if choice.Target == "" || choice.Accepted {
		return ""
	}
	chosen := slices.IndexFunc(choice.Input.Paused, func(replica failover.PausedReplica) bool { return replica.ID == choice.Target })
	if chosen < 0 {
		return fmt.Sprintf("%s was chosen and did not answer", choice.Target)
	}
	if target == "" {
		return fmt.Sprintf("%s was chosen, though %s", choice.Target, reason)
	}
	received := choice.Input.Paused[chosen].Received
	if acked := choice.Input.AckedUpperBound; acked != nil && !received.Less(*acked) {
		return "" // it has all commits that were acknowledged to clients
	}
	for _, other := range choice.Input.Paused {
		if received.Less(other.Received) {
			return fmt.Sprintf("%s was chosen, though %s had received more", choice.Target, other.ID)
		}
	}
	return ""
}
