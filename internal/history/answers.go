package history

import (
	"slices"
	"time"
)

// answerRecovery is how long after a fault of its own a node may still leave statements
// unanswered or answer them late.
const answerRecovery = time.Second

// ownFault reports whether, in a time span, a fault without warning hit the node's own process
// or its connections to clients. Whatever else fails, a node must answer its clients.
func (c *trafficCheck) ownFault(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.faults, func(f Fault) bool {
		own := f.AllNodes || f.Node == node && !f.DependencyOnly
		return own && !f.Planned && f.At <= to && f.End+answerRecovery >= from
	})
}

// checkUnanswered checks that every statement has an answer, unless its node itself had a fault.
// The system's rules are weaker: they require no answer while any fault is present.
func (c *trafficCheck) checkUnanswered() {
	for _, s := range c.traffic.statements {
		sent := max(s.Sent, s.LastSent)
		if s.Code != Unanswered || s.Done-sent <= c.bounds.AnswerGrace {
			continue
		}
		if !c.ownFault(s.Pooler, sent, s.Done) {
			c.addBreach(RuleLost, s.Done, "%s at %s, sent at %.3f s, has no answer", s.ID, s.Pooler, sent.Seconds())
		}
	}
}

// checkLateAnswers checks that no statement is answered more than Bounds.DeadlineGrace after its
// deadline, unless its node itself had a fault.
func (c *trafficCheck) checkLateAnswers() {
	for _, s := range c.traffic.statements {
		sent := max(s.Sent, s.LastSent)
		late := s.Done - sent - s.Deadline - c.bounds.DeadlineGrace
		if s.Deadline > 0 && s.Code != Unanswered && late > 0 && !c.ownFault(s.Pooler, sent, s.Done) {
			c.addBreach(RuleConfig, s.Done, "%s at %s is answered %d ms after its deadline", s.ID, s.Pooler, (late + c.bounds.DeadlineGrace).Milliseconds())
		}
	}
}
