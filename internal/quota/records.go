package quota

import "indigowalk/internal/kernel"

// Kinds of the records from which the operations in each window can be counted afterwards.
const (
	SentKind      = "quota.sent"   // at a proxy: a SentRecord
	RequestedKind = "quota.asked"  // at a proxy, when a response arrives: a CallRecord
	ReceivedKind  = "quota.taken"  // at the ledger: a CallRecord
	LimitsKind    = "quota.limits" // at the ledger: a LimitsRecord
)

// SentRecord records an operation that was sent to a database.
type SentRecord struct {
	Tenant string `json:"tenant"`
}

// CallRecord records a request of a proxy to the ledger. The records of both sides allow
// their clocks to be compared.
type CallRecord struct {
	Proxy       string        `json:"carrier"`
	Incarnation int64         `json:"life"`
	Seq         int64         `json:"seq"`
	RequestedAt kernel.Micros `json:"asked_us,omitempty"` // when it was sent, by the clock of the proxy
}

// LimitsRecord records the limits that a ledger applies from now on.
type LimitsRecord struct {
	Tolerance Tolerance        `json:"tolerance"`
	Limits    map[string]Limit `json:"limits"`
}
