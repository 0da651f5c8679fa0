// Package invariant holds the checks that run in every process: what must always be
// true, whatever fails around it. A check costs next to nothing, changes nothing and
// never ends a process. A violation is counted as invariant.NAME, logged, and kept until
// the process ends; in tests it fails the test.
package invariant

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// Invariant is one thing that must always be true.
type Invariant string

// The invariants. docs/promises.md tells which promise each of them watches.
const (
	// StateKept: a control node that becomes primary, or whose word a carrier takes, has
	// every change that was told as durable before.
	StateKept Invariant = "state_kept"
	// OnePrimary: no epoch of the control state has two primaries.
	OnePrimary Invariant = "one_primary_of_an_epoch"
	// ConfigurationForward: a carrier never goes back to an older configuration.
	ConfigurationForward Invariant = "configuration_goes_forward"
	// OrderRecorded: the configuration in force is that of the newest order on record.
	OrderRecorded Invariant = "order_in_force_is_recorded"
	// AnsweredInTime: whatever was read is answered by its deadline and a little more,
	// unless the process stood still.
	AnsweredInTime Invariant = "answered_in_time"
	// SentOnce: what must not run twice is not sent again once it may have run.
	SentOnce Invariant = "sent_once"
	// TriesBounded: a request reaches no more databases than its route allows.
	TriesBounded Invariant = "tries_bounded"
	// LentOnce: a connection is lent to one at a time.
	LentOnce Invariant = "connection_lent_once"
	// ConnectionsCounted: what is counted as open is idle or lent.
	ConnectionsCounted Invariant = "connections_counted"
	// CountsPositive: nothing ends more often than it began.
	CountsPositive Invariant = "counts_not_negative"
	// DownIsKnown: what is held as down is a database that there is.
	DownIsKnown Invariant = "down_database_is_known"
	// PromotedHoldsFloor: a database that was promoted holds what the choice rested on.
	PromotedHoldsFloor Invariant = "promoted_holds_floor"
	// NothingUnanswered: a process that was told to end has answered all that it read
	// when it ends.
	NothingUnanswered Invariant = "nothing_unanswered_at_the_end"
	// MemoryGivenBack: a process without clients holds nothing for clients.
	MemoryGivenBack Invariant = "memory_given_back"
)

// All are the invariants that there are.
var All = []Invariant{
	StateKept, OnePrimary, ConfigurationForward, OrderRecorded, AnsweredInTime, NothingUnanswered, SentOnce, TriesBounded,
	LentOnce, ConnectionsCounted, CountsPositive, DownIsKnown, PromotedHoldsFloor, MemoryGivenBack,
}

// Violation is an invariant that was found broken.
type Violation struct {
	Invariant Invariant
	Detail    string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// LogMessage is the message of the log line of a violation.
const LogMessage = "invariant violated"

// logged is how many violations of one invariant are logged: one that is broken by
// each statement must not fill a disk.
const logged = 20

// Checker checks the invariants of one process. A nil Checker checks nothing.
type Checker struct {
	count func(name string)
	log   *slog.Logger

	mu       sync.Mutex
	violated func(Violation)
	counts   map[Invariant]int
}

// NewChecker returns a checker that counts by a function and logs violations.
func NewChecker(count func(name string), log *slog.Logger) *Checker {
	return &Checker{count: count, log: log, counts: map[Invariant]int{}}
}

// OnViolation has a function called at each violation, in the goroutine that found it.
func (c *Checker) OnViolation(violated func(Violation)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violated = violated
}

// Check notes a violation unless the invariant holds. The detail is worked out only then.
func (c *Checker) Check(holds bool, i Invariant, format string, args ...any) bool {
	if !holds && c != nil {
		c.violation(Violation{i, fmt.Sprintf(format, args...)})
	}
	return holds
}

func (c *Checker) violation(v Violation) {
	c.count("invariant." + string(v.Invariant))
	c.mu.Lock()
	c.counts[v.Invariant]++
	n, violated := c.counts[v.Invariant], c.violated
	c.mu.Unlock()
	if n <= logged {
		c.log.Error(LogMessage, "invariant", string(v.Invariant), "detail", v.Detail, "count", n)
	}
	if violated != nil {
		violated(v)
	}
}

// Counts returns how often each invariant was violated, without those that never were.
func (c *Checker) Counts() map[Invariant]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Violated lists the invariants that were violated.
func (c *Checker) Violated() []Invariant { return slices.Sorted(maps.Keys(c.Counts())) }
