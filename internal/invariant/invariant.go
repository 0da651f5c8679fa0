// Package invariant implements the runtime invariant checks of every process: conditions
// that must hold whatever fails around the process. A check costs next to nothing, changes
// no state and never terminates the process. A violation is counted as invariant.NAME and
// logged, and the count is kept until the process ends; in tests it fails the test.
package invariant

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
)

// Invariant is the name of a condition that must always hold.
type Invariant string

// The invariants. docs/promises.md lists the guarantee that each of them checks.
const (
	// DurableStateKept: a control node that becomes primary, or from which a proxy applies an
	// update, has every change that was acknowledged as durable before.
	DurableStateKept Invariant = "state_kept"
	// OnePrimary: no epoch of the control state has more than one primary.
	OnePrimary Invariant = "one_primary_of_an_epoch"
	// ConfigurationMonotonic: a proxy never returns to an older configuration revision.
	ConfigurationMonotonic Invariant = "configuration_goes_forward"
	// ChangeRecorded: the configuration in force is that of the latest recorded change.
	ChangeRecorded Invariant = "order_in_force_is_recorded"
	// AnsweredInTime: every request that was read is answered by its deadline plus a small
	// tolerance, unless the process stalled.
	AnsweredInTime Invariant = "answered_in_time"
	// NoUnsafeRetry: an operation that is unsafe to repeat is not retried once it may have run.
	NoUnsafeRetry Invariant = "sent_once"
	// TriesBounded: a request is sent to no more databases than its route allows.
	TriesBounded Invariant = "tries_bounded"
	// CheckedOutOnce: a pooled connection is checked out by at most one user at a time.
	CheckedOutOnce Invariant = "connection_lent_once"
	// ConnectionsCounted: every connection counted as open is either idle or checked out.
	ConnectionsCounted Invariant = "connections_counted"
	// CountsNonNegative: a count of operations in progress or admitted never goes below zero.
	CountsNonNegative Invariant = "counts_not_negative"
	// DownIsKnown: every database that is recorded as down is a known database.
	DownIsKnown Invariant = "down_database_is_known"
	// PromotedReachesMinimum: a promoted database has received commits up to at least the minimum
	// position on which its selection was based.
	PromotedReachesMinimum Invariant = "promoted_holds_floor"
	// NothingUnanswered: a process that is shut down has answered every request that it
	// read by the time it exits.
	NothingUnanswered Invariant = "nothing_unanswered_at_the_end"
	// MemoryReleased: a process without clients has no memory reserved for clients.
	MemoryReleased Invariant = "memory_given_back"
)

// All lists all invariants.
var All = []Invariant{
	DurableStateKept, OnePrimary, ConfigurationMonotonic, ChangeRecorded, AnsweredInTime, NothingUnanswered, NoUnsafeRetry, TriesBounded,
	CheckedOutOnce, ConnectionsCounted, CountsNonNegative, DownIsKnown, PromotedReachesMinimum, MemoryReleased,
}

// Violation describes one violation of an invariant.
type Violation struct {
	Invariant Invariant
	Detail    string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s", v.Invariant, v.Detail) }

// LogMessage is the message of the log line of a violation.
const LogMessage = "invariant violated"

// maxLogged is how many violations of one invariant are logged: an invariant that is
// violated by every statement must not fill the disk with its log lines.
const maxLogged = 20

// Checker checks the invariants of one process. A nil Checker checks nothing.
type Checker struct {
	count func(name string)
	log   *slog.Logger

	mu          sync.Mutex
	onViolation func(Violation)
	counts      map[Invariant]int
}

// NewChecker returns a checker that counts violations with the given function and logs them.
func NewChecker(count func(name string), log *slog.Logger) *Checker {
	return &Checker{count: count, log: log, counts: map[Invariant]int{}}
}

// OnViolation sets the function that is called at each violation, in the goroutine that
// detected it.
func (c *Checker) OnViolation(onViolation func(Violation)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onViolation = onViolation
}

// Check records a violation unless the invariant holds, and returns holds. The detail is
// formatted only for a violation.
func (c *Checker) Check(holds bool, i Invariant, format string, args ...any) bool {
	if !holds && c != nil {
		c.report(Violation{i, fmt.Sprintf(format, args...)})
	}
	return holds
}

// report counts, logs and forwards a violation.
func (c *Checker) report(v Violation) {
	c.count("invariant." + string(v.Invariant))
	c.mu.Lock()
	c.counts[v.Invariant]++
	n, onViolation := c.counts[v.Invariant], c.onViolation
	c.mu.Unlock()
	if n <= maxLogged {
		c.log.Error(LogMessage, "invariant", string(v.Invariant), "detail", v.Detail, "count", n)
	}
	if onViolation != nil {
		onViolation(v)
	}
}

// Counts returns the number of violations by invariant; invariants without violations are
// omitted.
func (c *Checker) Counts() map[Invariant]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Violated lists the invariants that have been violated, sorted by name.
func (c *Checker) Violated() []Invariant { return slices.Sorted(maps.Keys(c.Counts())) }
