package controlstate

import (
	"errors"
	"slices"

	"indigowalk/internal/kernel"
)

// register is what a witness keeps on disk.
type register struct {
	Promised int64 `json:"promised"`
	Accepted View  `json:"accepted"`
	// NewTo are the witnesses that there were when the disk came empty and the rest was
	// read from others, as long as they are.
	NewTo []string `json:"new_to,omitempty"`
	// Unmet are those of NewTo of which this control node has never heard since its disk
	// came empty.
	NeverContacted []string `json:"unmet,omitempty"`
}

// highestInForce is the highest view that may have a majority's acceptance, by
// the answers of witnesses asked to promise the epoch. One that promised it
// accepts no earlier view any more; so a view before it that too few accepted
// binds nobody.
func highestBindingView(epoch int64, responses map[string]promiseResponse) (highest View) {
	for _, a := range responses {
		v := a.Accepted
		mayAccept := func(addr string) bool {
			o, ok := responses[addr]
			return !ok || !o.Granted || o.Accepted.Epoch >= v.Epoch || v.Epoch > epoch
		}
		if v.Epoch > highest.Epoch && majorityOfEach(v.quorumSets(), mayAccept) {
			highest = v
		}
	}
	return highest
}

type promiseRequest struct {
	Epoch int64  `json:"epoch"`
	From  Member `json:"from"`
	// Void is the epoch of a view whose primary's own address is served by
	// another life, with an empty disk: the lease of that view is no one's.
	VoidedEpoch int64 `json:"void,omitempty"`
}

type promiseResponse struct {
	Granted        bool          `json:"granted"`
	Promised       int64         `json:"promised"`
	Accepted       View          `json:"accepted"`
	Disk           string        `json:"disk"`
	LeaseRemaining kernel.Micros `json:"wait_us,omitempty"` // a lease runs this long yet
	NewTo          []string      `json:"new_to,omitempty"`
	NeverContacted []string      `json:"unmet,omitempty"`
}

// refused tells whether the epoch was refused for the sake of another candidate's.
func (a promiseResponse) refusedForAnother() bool {
	return !a.Granted && a.Promised > 0 && a.LeaseRemaining == 0
}

// acceptAsk carries the disk on which the witness promised: an acceptance
// rests on that promise, and a witness that lost it must not vote again.
type acceptRequest struct {
	View View   `json:"view"`
	Disk string `json:"disk"`
}

type renewRequest struct {
	View View `json:"view"`
	// Durable is the sequence of the newest change that is on the disks of all members.
	Durable int64 `json:"durable,omitempty"`
}

type renewResponse struct {
	Granted  bool   `json:"granted"`
	Promised int64  `json:"promised"`
	Abstains bool   `json:"abstains,omitempty"`
	Disk     string `json:"disk,omitempty"`
	Stalled  bool   `json:"stalled,omitempty"` // its disk does not serve
}

// VoteKind is the kind of record of a witness's answer.
const VoteKind = "vote"

// Vote is the record of one: a "promise" or an "accept" of an epoch.
type Vote struct {
	Kind    string `json:"kind"`
	Epoch   int64  `json:"epoch"`
	From    string `json:"from"`
	Granted bool   `json:"granted"`
}

var errAbstains = errors.New("abstains")

// witness is the witness's side: it decides nothing about the state, it only
// keeps two candidates from winning the same epoch. Its methods change what it
// holds in memory; a vote counts once the register has been saved.
type witness struct {
	reg             register
	promisedTo      Member        // whom this life promised the epoch to
	lease           kernel.Micros // span of a lease
	leaseUntil      kernel.Micros // end of the lease of the accepted view
	abstains        bool          // empty disk: knows nothing yet
	priorLeaseUntil kernel.Micros // a lease granted before a restart may run until then
	contacted       []string      // control nodes that this life has heard of
}

// promise votes for a candidate's epoch. The holder of a lease may have
// another epoch while it runs: with its own next life or next backups it does
// not compete.
func (e *witness) promise(now kernel.Micros, request promiseRequest) (promiseResponse, error) {
	e.noteContact(request.From.Addr)
	response := promiseResponse{Promised: e.reg.Promised, Accepted: e.reg.Accepted, NewTo: e.reg.NewTo, NeverContacted: e.reg.NeverContacted}
	if e.abstains {
		return response, errAbstains
	}
	leaseDoesNotBind := request.From.same(e.reg.Accepted.Primary) || request.VoidedEpoch > 0 && request.VoidedEpoch == e.reg.Accepted.Epoch
	if until := max(e.leaseUntil, e.priorLeaseUntil); now < until && !leaseDoesNotBind {
		response.LeaseRemaining = until - now
		return response, nil
	}
	if request.Epoch < e.reg.Promised || request.Epoch == e.reg.Promised && !request.From.same(e.promisedTo) {
		return response, nil
	}
	e.reg.Promised, e.promisedTo = request.Epoch, request.From
	response.Granted, response.Promised = true, request.Epoch
	return response, nil
}

// meets notes that something was heard of a control node.
func (e *witness) noteContact(addrs ...string) {
	e.contacted = union(e.contacted, addrs)
	e.reg.NeverContacted = difference(e.reg.NeverContacted, e.contacted)
}

// restored is a register that was read from others as this control node keeps it.
func (e *witness) restoredRegister(self string, reg register) register {
	reg.NeverContacted = difference(without(reg.NewTo, self), e.contacted)
	return reg
}

func (e *witness) accept(now kernel.Micros, v View) (renewResponse, error) {
	if e.abstains {
		return renewResponse{Abstains: true}, nil
	}
	if v.Epoch < e.reg.Promised || v.Epoch <= e.reg.Accepted.Epoch {
		return renewResponse{Promised: e.reg.Promised}, nil
	}
	e.noteContact(v.Primary.Addr)
	newTo, neverContacted := e.reg.NewTo, e.reg.NeverContacted
	if !v.inTransition() && !slices.Equal(v.Witnesses, newTo) {
		newTo, neverContacted = nil, nil // a view in change may never be in force
	}
	e.reg = register{Promised: v.Epoch, Accepted: v, NewTo: newTo, NeverContacted: neverContacted}
	e.leaseUntil = now + e.lease
	return renewResponse{Granted: true, Promised: v.Epoch}, nil
}

// renew prolongs the lease of the accepted view; a view whose acceptance this
// witness missed is accepted now. It reports whether the register changed.
func (e *witness) renew(now kernel.Micros, v View) (response renewResponse, changed bool) {
	e.noteContact(v.Primary.Addr)
	if e.abstains || v.Epoch < e.reg.Promised || v.Epoch > e.reg.Accepted.Epoch {
		response, _ = e.accept(now, v)
		return response, response.Granted
	}
	if !v.sameAs(e.reg.Accepted) {
		return renewResponse{Promised: e.reg.Promised}, false
	}
	e.leaseUntil = max(e.leaseUntil, now+e.lease)
	return renewResponse{Granted: true, Promised: v.Epoch}, false
}

func (e *witness) release(epoch int64) {
	if e.reg.Accepted.Epoch == epoch {
		e.leaseUntil, e.priorLeaseUntil = 0, 0
	}
}
