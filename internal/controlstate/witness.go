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
	// WitnessesAtRecovery is the set of witnesses at the time when this control node started with
	// an empty disk and recovered its register from others. It is kept until a view with another
	// set of witnesses takes effect; until then this control node is a newcomer to the set.
	WitnessesAtRecovery []string `json:"new_to,omitempty"`
	// NeverContacted lists those of WitnessesAtRecovery with which this control node has had no
	// contact since it started with an empty disk.
	NeverContacted []string `json:"unmet,omitempty"`
}

// highestBindingView returns the highest view that may be accepted by a majority, now or later,
// according to the responses of witnesses asked to promise the epoch. A witness that promised the
// epoch no longer accepts an earlier view; so an earlier view that too few have accepted does not
// bind the candidate.
func highestBindingView(epoch int64, responses map[string]promiseResponse) (highest View) {
	for _, response := range responses {
		view := response.Accepted
		mayAccept := func(addr string) bool {
			other, ok := responses[addr]
			return !ok || !other.Granted || other.Accepted.Epoch >= view.Epoch || view.Epoch > epoch
		}
		if view.Epoch > highest.Epoch && majorityOfEach(view.quorumSets(), mayAccept) {
			highest = view
		}
	}
	return highest
}

type promiseRequest struct {
	Epoch int64  `json:"epoch"`
	From  Member `json:"from"`
	// VoidedEpoch is the epoch of a view whose primary's address is now served by another
	// incarnation with an empty disk, so that the lease of that view has no holder any more.
	VoidedEpoch int64 `json:"void,omitempty"`
}

type promiseResponse struct {
	Granted             bool          `json:"granted"`
	Promised            int64         `json:"promised"`
	Accepted            View          `json:"accepted"`
	Disk                string        `json:"disk"`
	LeaseRemaining      kernel.Micros `json:"wait_us,omitempty"` // remaining time of a lease that this witness granted
	WitnessesAtRecovery []string      `json:"new_to,omitempty"`
	NeverContacted      []string      `json:"unmet,omitempty"`
}

// refused reports whether the epoch was refused because of a promise to another candidate.
func (r promiseResponse) refused() bool { return !r.Granted && r.Promised > 0 && r.LeaseRemaining == 0 }

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
func (w *witness) promise(now kernel.Micros, request promiseRequest) (promiseResponse, error) {
	w.noteContact(request.From.Addr)
	response := promiseResponse{Promised: w.reg.Promised, Accepted: w.reg.Accepted, WitnessesAtRecovery: w.reg.WitnessesAtRecovery, NeverContacted: w.reg.NeverContacted}
	if w.abstains {
		return response, errAbstains
	}
	leaseDoesNotBind := request.From.same(w.reg.Accepted.Primary) || request.VoidedEpoch > 0 && request.VoidedEpoch == w.reg.Accepted.Epoch
	if until := max(w.leaseUntil, w.priorLeaseUntil); now < until && !leaseDoesNotBind {
		response.LeaseRemaining = until - now
		return response, nil
	}
	if request.Epoch < w.reg.Promised || request.Epoch == w.reg.Promised && !request.From.same(w.promisedTo) {
		return response, nil
	}
	w.reg.Promised, w.promisedTo = request.Epoch, request.From
	response.Granted, response.Promised = true, request.Epoch
	return response, nil
}

// noteContact records contact with control nodes.
func (w *witness) noteContact(addrs ...string) {
	w.contacted = union(w.contacted, addrs)
	w.reg.NeverContacted = difference(w.reg.NeverContacted, w.contacted)
}

// restoredRegister completes the register that this control node adopts from others.
func (w *witness) restoredRegister(self string, reg register) register {
	reg.NeverContacted = difference(without(reg.WitnessesAtRecovery, self), w.contacted)
	return reg
}

// accept handles the request to accept a view, and grants its primary the lease.
func (w *witness) accept(now kernel.Micros, view View) (renewResponse, error) {
	if w.abstains {
		return renewResponse{Abstains: true}, nil
	}
	if view.Epoch < w.reg.Promised || view.Epoch <= w.reg.Accepted.Epoch {
		return renewResponse{Promised: w.reg.Promised}, nil
	}
	w.noteContact(view.Primary.Addr)
	witnessesAtRecovery, neverContacted := w.reg.WitnessesAtRecovery, w.reg.NeverContacted
	if !view.inTransition() && !slices.Equal(view.Witnesses, witnessesAtRecovery) {
		witnessesAtRecovery, neverContacted = nil, nil // a view in transition may never take effect
	}
	w.reg = register{Promised: view.Epoch, Accepted: view, WitnessesAtRecovery: witnessesAtRecovery, NeverContacted: neverContacted}
	w.leaseUntil = now + w.lease
	return renewResponse{Granted: true, Promised: view.Epoch}, nil
}

// renew extends the lease of the accepted view; a view whose acceptance this witness missed is
// accepted now. It reports whether the register changed and has to be saved.
func (w *witness) renew(now kernel.Micros, view View) (response renewResponse, changed bool) {
	w.noteContact(view.Primary.Addr)
	if w.abstains || view.Epoch < w.reg.Promised || view.Epoch > w.reg.Accepted.Epoch {
		response, _ = w.accept(now, view)
		return response, response.Granted
	}
	if !view.sameAs(w.reg.Accepted) {
		return renewResponse{Promised: w.reg.Promised}, false
	}
	w.leaseUntil = max(w.leaseUntil, now+w.lease)
	return renewResponse{Granted: true, Promised: view.Epoch}, false
}

// release ends the lease of the accepted view, if it is of that epoch.
func (w *witness) release(epoch int64) {
	if w.reg.Accepted.Epoch == epoch {
		w.leaseUntil, w.priorLeaseUntil = 0, 0
	}
}
