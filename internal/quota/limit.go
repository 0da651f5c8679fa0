// Package quota bounds what a tenant does over all nodes together, by escrow: the
// primary of the control state holds each tenant's stock of operations and grants
// slices of it under leases, and a carrier admits an operation only against a slice
// that it holds. Where it has one left that needs no round trip.
//
// Source: "Reservations for Conflict Avoidance in a Mobile Database System". Its four
// rules are kept: an operation is admitted only as far as an unexpired slice covers
// it; stock is lowered at the moment of the grant; every slice is recorded with its
// lease, after a check against the limit; an expired or returned slice admits nothing,
// and what is left of one that is returned goes back to stock. docs/design.md says
// what was changed, and derives the bound.
package quota

import (
	"math"

	"indigowalk/internal/kernel"
)

// Limit is what a tenant may do over all nodes.
type Limit struct {
	PerS  float64 `json:"per_s"` // operations a second; 0 for no limit
	Burst float64 `json:"burst"` // operations on top
}

// Unlimited tells whether there is nothing to count.
func (l Limit) Unlimited() bool { return l.PerS <= 0 }

// Tolerance is by how much the operations of a window may exceed the limit.
type Tolerance struct {
	Window kernel.Micros `json:"window_us"`
	Excess float64       `json:"excess"` // share of what the limit allows in a window
	Slack  float64       `json:"slack"`  // operations
}

const (
	// slackShare is the part of the slack that is used here. The rest is left for
	// operations that reach their database after the lease of their slice.
	slackShare = 0.7
	// openingShare is the part of what may be exceeded that is kept for the first
	// lease of a term, when slices of the term before may be out too.
	openingShare = 0.5
)

// Capacity is the most that may lie in stock and in slices together, once no slices of
// an earlier term are out.
func (t Tolerance) Capacity(l Limit) float64 {
	return math.Max(1, l.Burst+(1-openingShare)*t.exceeding(l))
}

// Opening is the most that may lie in stock and in slices together while those of the
// term before may be out, as much as the capacity.
func (t Tolerance) Opening(l Limit) float64 { return openingShare * t.exceeding(l) }

// exceeding is how many operations more than allowed are used here.
func (t Tolerance) exceeding(l Limit) float64 {
	return t.Excess*t.allowed(l) + slackShare*t.Slack
}

// Most is the most operations of a window that the rules allow.
func (t Tolerance) Most(l Limit) float64 {
	return t.allowed(l)*(1+t.Excess) + t.Slack
}

func (t Tolerance) allowed(l Limit) float64 {
	return l.PerS*float64(t.Window)/float64(kernel.Second) + l.Burst
}
