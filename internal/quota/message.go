package quota

import "indigowalk/internal/kernel"

// takeOp is the call by which a carrier asks for slices.
const takeOp = "quota.take"

// ask is what a carrier tells the ledger, and asks of it.
type ask struct {
	Carrier  string    `json:"carrier"`
	Life     int64     `json:"life"` // of the carrier's process
	Seq      int64     `json:"seq"`  // of the message in that life
	Holdings []Holding `json:"holdings"`
}

// Holding is what a carrier tells of its slice of one tenant's stock.
type Holding struct {
	Tenant   string `json:"t"`
	Held     int64  `json:"h,omitempty"` // what it has and keeps
	Returned int64  `json:"r,omitempty"` // what it had, has not spent, and keeps no more
	Want     int64  `json:"w,omitempty"` // beside what it has
}

// answer is the ledger's.
type answer struct {
	Newest int64         `json:"newest,omitempty"` // a later life of the carrier: this one is refused
	Term   int64         `json:"term,omitempty"`   // 0 if there is no ledger here
	Lease  kernel.Micros `json:"lease_us,omitempty"`
	Slices []Slice       `json:"slices,omitempty"`
}

// Slice is the answer to a holding.
type Slice struct {
	Tenant string `json:"t"`
	Grant  int64  `json:"g,omitempty"` // beside what the carrier keeps
	// Renewed says that what the carrier keeps has a new lease, as the grant has;
	// else the lease of that is over.
	Renewed  bool          `json:"r,omitempty"`
	ComeBack kernel.Micros `json:"c,omitempty"` // when to ask again, if less was granted than wanted
}
