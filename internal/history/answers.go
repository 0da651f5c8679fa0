package history

import (
	"slices"
	"time"
)

// settled is how long after a trouble of its own a node may yet lack answers.
const settled = time.Second

// excused tells whether a node itself was struck without warning in a span, or its links
// to clients: whatever else fails, it owes its clients an answer.
func (c *check) excused(node string, from, to time.Duration) bool {
	return slices.ContainsFunc(c.excuses, func(d Trouble) bool {
		own := d.Everywhere || d.Node == node && !d.Elsewhere
		return own && !d.Planned && d.At <= to && d.Till+settled >= from
	})
}

// lostAnswers: every statement has an answer, unless its node was struck itself. That is
// more than the rules ask, which hold nobody to it where anything else fails.
func (c *check) lostAnswers() {
	for _, s := range c.t.statements {
		asked := max(s.Sent, s.Last)
		if s.Code != Unanswered || s.Done-asked <= c.b.Slack {
			continue
		}
		if !c.excused(s.Pooler, asked, s.Done) {
			c.broke(Lost, s.Done, "%s at %s, sent at %.3f s, has no answer", s.ID, s.Pooler, asked.Seconds())
		}
	}
}

// lateAnswers: every statement is answered by its deadline and a little more, unless its
// node was struck itself.
func (c *check) lateAnswers() {
	for _, s := range c.t.statements {
		asked := max(s.Sent, s.Last)
		late := s.Done - asked - s.Within - c.b.Answer
		if s.Within > 0 && s.Code != Unanswered && late > 0 && !c.excused(s.Pooler, asked, s.Done) {
			c.broke(Config, s.Done, "%s at %s is answered %d ms after its deadline", s.ID, s.Pooler, (late + c.b.Answer).Milliseconds())
		}
	}
}
