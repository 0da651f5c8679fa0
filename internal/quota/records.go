package quota

import "indigowalk/internal/kernel"

// Kinds of the records from which windows can be counted again.
const (
	SentKind   = "quota.sent"   // at a carrier: a SentRecord
	AskedKind  = "quota.asked"  // at a carrier, when an answer comes: a CallRecord
	TakenKind  = "quota.taken"  // at the ledger: a CallRecord
	LimitsKind = "quota.limits" // at the ledger: a LimitsRecord
)

// SentRecord is an operation that was sent to a database.
type SentRecord struct {
	Tenant string `json:"tenant"`
}

// CallRecord is a call of a carrier at the ledger, by which the clocks of the two can be
// compared.
type CallRecord struct {
	Carrier string        `json:"carrier"`
	Life    int64         `json:"life"`
	Seq     int64         `json:"seq"`
	Asked   kernel.Micros `json:"asked_us,omitempty"` // at the carrier
}

// LimitsRecord is the limits that a ledger has from now on.
type LimitsRecord struct {
	Tolerance Tolerance        `json:"tolerance"`
	Limits    map[string]Limit `json:"limits"`
}
