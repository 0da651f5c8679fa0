package quota

import "indigowalk/internal/kernel"

// requestOp is the RPC operation by which a proxy requests slices.
const requestOp = "quota.take"

// sliceRequest reports to the ledger what a proxy holds, and requests further operations.
type sliceRequest struct {
	Proxy       string    `json:"carrier"`
	Incarnation int64     `json:"life"` // of the process of the proxy
	Seq         int64     `json:"seq"`  // of the request within that incarnation
	Holdings    []Holding `json:"holdings"`
}

// Holding is what a proxy reports of its slice of one tenant's stock.
type Holding struct {
	Tenant   string `json:"t"`
	Held     int64  `json:"h,omitempty"` // operations that it holds and keeps
	Returned int64  `json:"r,omitempty"` // unused operations that it returns to stock
	Want     int64  `json:"w,omitempty"` // further operations that it requests
}

// sliceResponse is the response of the ledger to a sliceRequest.
type sliceResponse struct {
	NewestIncarnation int64         `json:"newest,omitempty"` // the known later incarnation of the proxy, if the request is rejected for it
	Term              int64         `json:"term,omitempty"`   // 0 if this node has no ledger
	Lease             kernel.Micros `json:"lease_us,omitempty"`
	Grants            []Grant       `json:"slices,omitempty"`
}

// Grant is the response to one Holding.
type Grant struct {
	Tenant  string `json:"t"`
	Granted int64  `json:"g,omitempty"` // in addition to what the proxy keeps
	// Renewed reports that what the proxy keeps has a new lease, as the granted operations
	// have. Otherwise the lease of what it held has ended.
	Renewed    bool          `json:"r,omitempty"`
	RetryAfter kernel.Micros `json:"c,omitempty"` // when to request again, if less was granted than requested
}
