package controlstate

import (
	"errors"
	"slices"

	"indigowalk/internal/kernel"
)

// register is the durable state of a witness.
type register struct {
	Promised int64 `json:"promised"`
	Accepted View  `json:"accepted"`
	// NewTo is the set of witnesses at the time when this control node started with an empty disk
	// and read the rest of its register from others. It is kept as long as that set lasts.
	NewTo []string `json:"new_to,omitempty"`
	// NeverContacted lists those of NewTo with which this control node has had no contact since it
	// started with an empty disk.
	NeverContacted []string `json:"unmet,omitempty"`
}

// highestBindingView returns the highest view that may be accepted by a majority, now or later,
// according to the responses of witnesses asked to promise the epoch. A witness that promised the
// epoch no longer accepts an earlier view; so an earlier view that too few have accepted does not
// bind the candidate.
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
	// VoidedEpoch is the epoch of a view whose primary's address is now served by another
	// incarnation with an empty disk, so that nobody holds the lease of that view.
	VoidedEpoch int64 `json:"void,omitempty"`
}

type promiseResponse struct {
	Granted        bool          `json:"granted"`
	Promised       int64         `json:"promised"`
	Accepted       View          `json:"accepted"`
	Disk           string        `json:"disk"`
	LeaseRemaining kernel.Micros `json:"wait_us,omitempty"` // remaining time of a lease that this witness granted
	NewTo          []string      `json:"new_to,omitempty"`
	NeverContacted []string      `json:"unmet,omitempty"`
}

// refused reports whether the epoch was refused because of a promise to another candidate.
func (a promiseResponse) refused() bool { return !a.Granted && a.Promised > 0 && a.LeaseRemaining == 0 }

// acceptRequest names the disk on which the witness promised: an acceptance depends on that promise,
// and a witness that lost it with its disk must not vote again.
type acceptRequest struct {
	View View   `json:"view"`
	Disk string `json:"disk"`
}

type renewRequest struct {
	View View `json:"view"`
	// Durable is the sequence number of the newest change that is on the disks of all members.
	Durable int64 `json:"durable,omitempty"`
}

type renewResponse struct {
	Granted  bool   `json:"granted"`
	Promised int64  `json:"promised"`
	Abstains bool   `json:"abstains,omitempty"`
	Disk     string `json:"disk,omitempty"`
	Stalled  bool   `json:"stalled,omitempty"` // its disk does not respond
}

// VoteKind is the kind of the recorded events that hold a witness's vote.
const VoteKind = "vote"

// Vote is the recorded event of a vote: a "promise" or an "accept" of an epoch.
type Vote struct {
	Kind    string `json:"kind"`
	Epoch   int64  `json:"epoch"`
	From    string `json:"from"`
	Granted bool   `json:"granted"`
}

var errAbstains = errors.New("abstains")

// witness is the voting side of the election protocol. It decides nothing about the state; it only
// prevents two candidates from winning the same epoch. Its methods change it in memory only; a vote
// counts once the register has been saved.
type witness struct {
	reg             register
	promisedTo      Member        // the candidate to which this incarnation promised the epoch
	lease           kernel.Micros // duration of a lease
	leaseUntil      kernel.Micros // end of the lease of the accepted view
	abstains        bool          // started with an empty disk and has not recovered its register
	priorLeaseUntil kernel.Micros // a lease granted before a restart may last until then
	contacted       []string      // control nodes with which this incarnation has had contact
}

// promise handles a candidate's request to promise an epoch. It is not granted while a lease of
// another primary is unexpired. The holder of that lease may get another epoch: it does not compete
// with its own restart or its own next view.
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

// noteContact records contact with control nodes.
func (e *witness) noteContact(addrs ...string) {
	e.contacted = union(e.contacted, addrs)
	e.reg.NeverContacted = difference(e.reg.NeverContacted, e.contacted)
}

// restoredRegister completes a register that was read from others for this control node to keep.
func (e *witness) restoredRegister(self string, reg register) register {
	reg.NeverContacted = difference(without(reg.NewTo, self), e.contacted)
	return reg
}

// accept handles the request to accept a view, and grants its primary the lease.
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
		newTo, neverContacted = nil, nil // a view in transition may never take effect
	}
	e.reg = register{Promised: v.Epoch, Accepted: v, NewTo: newTo, NeverContacted: neverContacted}
	e.leaseUntil = now + e.lease
	return renewResponse{Granted: true, Promised: v.Epoch}, nil
}

// renew extends the lease of the accepted view; a view whose acceptance this witness missed is
// accepted now. It reports whether the register changed and has to be saved.
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

// release ends the lease of the accepted view, if it is of that epoch.
func (e *witness) release(epoch int64) {
	if e.reg.Accepted.Epoch == epoch {
		e.leaseUntil, e.priorLeaseUntil = 0, 0
	}
}
