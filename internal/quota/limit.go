// Package quota enforces the rate limits of tenants across all nodes, by escrow: the primary
// of the control state keeps a stock of operations for each tenant and grants slices of it
// under leases. A proxy admits an operation only against a slice that it holds. While it has
// operations left in a slice, admission needs no round trip.
//
// Source: "Reservations for Conflict Avoidance in a Mobile Database System". Its four rules
// are kept:
//   - an operation is admitted only if an unexpired slice covers it;
//   - stock is reduced at the moment of the grant;
//   - every slice is recorded with its lease, after a check against the limit;
//   - an expired or returned slice admits nothing, and the unused part of a returned slice
//     goes back to stock.
//
// docs/design.md describes what was changed, and derives the bound.
package quota

import (
	"math"

	"indigowalk/internal/kernel"
)

// Limit is the rate limit of a tenant over all nodes.
type Limit struct {
	PerS  float64 `json:"per_s"` // operations per second; 0 means no limit
	Burst float64 `json:"burst"` // additional operations allowed at once
}

// Unlimited reports whether the tenant has no limit, so that nothing is counted.
func (l Limit) Unlimited() bool { return l.PerS <= 0 }

// Tolerance bounds by how much the operations in a window may exceed the limit.
type Tolerance struct {
	Window kernel.Micros `json:"window_us"`
	Excess float64       `json:"excess"` // as a share of the operations that the limit allows in a window
	Slack  float64       `json:"slack"`  // number of operations in addition to that
}

const (
	// slackShare is the part of the slack that is used here. The rest is left for
	// operations that reach their database after the lease of their slice has ended.
	slackShare = 0.7
	// openingShare is the part of the usable excess that is reserved for the first lease
	// of a term, when slices of the previous term may still be outstanding.
	openingShare = 0.5
)

// Capacity returns the maximum number of operations in stock and in slices together, once
// no slices of an earlier term are outstanding.
func (t Tolerance) Capacity(l Limit) float64 {
	return math.Max(1, l.Burst+(1-openingShare)*t.usableExcess(l))
}

// OpeningCapacity returns the maximum number of operations in stock and in slices together
// while slices of the previous term, up to its capacity, may be outstanding.
func (t Tolerance) OpeningCapacity(l Limit) float64 { return openingShare * t.usableExcess(l) }

// usableExcess returns the number of operations beyond the limit in a window that grants may
// use.
func (t Tolerance) usableExcess(l Limit) float64 {
	return t.Excess*t.allowed(l) + slackShare*t.Slack
}

// MaxOperations returns the maximum number of operations in a window that the tolerance permits.
func (t Tolerance) MaxOperations(l Limit) float64 {
	return t.allowed(l)*(1+t.Excess) + t.Slack
}

// allowed returns the number of operations in a window that the limit itself allows.
func (t Tolerance) allowed(l Limit) float64 {
	return l.PerS*float64(t.Window)/float64(kernel.Second) + l.Burst
}
