package controlstate

import (
	"context"
	"errors"
	"maps"
	"slices"

	"indigowalk/internal/kernel"
)

// registerResponse is the register of a witness, sent to another witness that recovers its own.
type registerResponse struct {
	Register register `json:"register"`
	Abstains bool     `json:"abstains"`
}

// recoverWitness rebuilds the register of a witness that lost its disk. It first waits for one lease
// period, after which every call that was in progress when the disk was lost has ended, and every
// lease that this witness may have granted has expired. Then it reads enough intact registers of
// the newest known set of witnesses that no vote can be missed.
func (v *Replica) recoverWitness(ctx context.Context) {
	go v.voidPreviousLease(ctx)
	kernel.Sleep(ctx, v.lease)
	logged := false
	for ; ctx.Err() == nil; kernel.Sleep(ctx, 300*kernel.Millisecond) {
		reg, err := v.rebuildRegister(ctx)
		if err == nil {
			v.fetchRegisters(ctx, without(reg.WitnessesAtRecovery, v.self.Addr), awaitAll) // record contact with every node that is reachable
			v.mu.Lock()
			v.observe(reg.Accepted)
			v.witness.reg = v.witness.restoredRegister(v.self.Addr, reg)
			v.mu.Unlock()
			if err = v.saveRegister(ctx); err == nil {
				v.mu.Lock()
				v.witness.abstains = false
				v.mu.Unlock()
				v.k.Log.Info("witness restored from the others", "promised", reg.Promised, "epoch", reg.Accepted.Epoch)
				return
			}
		}
		if !logged {
			logged = true
			v.k.Log.Info("witness abstains", "why", err.Error())
		}
	}
}

// voidPreviousLease handles the case that the primary of the newest view was this control node with
// the disk that it lost: it notifies one of the backups that the lease has no holder any more.
func (v *Replica) voidPreviousLease(ctx context.Context) {
	for end := v.k.Clock.Now() + v.lease; v.k.Clock.Now() < end && ctx.Err() == nil; kernel.Sleep(ctx, 50*kernel.Millisecond) {
		from := without(union(v.cfg.ControlNodes(), v.cfg.Seeds()), v.self.Addr)
		responses := v.fetchRegisters(ctx, from, awaitAll)
		var newest View
		for _, response := range responses {
			if response.Register.Accepted.Epoch > newest.Epoch {
				newest = response.Register.Accepted
			}
		}
		if newest.Primary.Addr != v.self.Addr || newest.Primary.same(v.self) {
			continue
		}
		for _, b := range newest.Backups {
			if v.endpoint.Call(ctx, b.Addr, "controlstate.void", epochRequest{newest.Epoch}, nil, callTimeout) == nil {
				v.k.Log.Info("gave up the lease held before the disk was lost", "epoch", newest.Epoch)
				return
			}
		}
	}
}

// fetchRegisters requests the registers of control nodes until enough reports true, and records
// contact with the nodes that responded.
func (v *Replica) fetchRegisters(ctx context.Context, from []string, enough func(got map[string]registerResponse) bool) map[string]registerResponse {
	responses := callAll(ctx, v, from, "controlstate.register", func(string) any { return struct{}{} }, enough)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.witness.noteContact(slices.Collect(maps.Keys(responses))...)
	return responses
}

// awaitAll never reports enough, so that the responses of all reachable nodes are awaited.
func awaitAll(map[string]registerResponse) bool { return false }

// rebuildRegister reads the registers of other control nodes and returns the one that this witness
// may adopt. If they know a newer view it reads again from that view's witnesses, up to 8 times.
func (v *Replica) rebuildRegister(ctx context.Context) (register, error) {
	v.mu.Lock()
	view := v.newestView
	v.mu.Unlock()
	for hop := 0; hop < 8; hop++ {
		from := union(view.Witnesses, view.Prior, v.cfg.ControlNodes(), v.cfg.Seeds())
		from = without(from, v.self.Addr)
		responses := v.fetchRegisters(ctx, from, func(got map[string]registerResponse) bool {
			_, newest, err := registerFromPeers(view, got)
			return err == nil && newest.Epoch == view.Epoch && len(view.Witnesses) > 0
		})
		reg, newest, err := registerFromPeers(view, responses)
		if newest.Epoch == view.Epoch && len(view.Witnesses) > 0 || err != nil {
			return reg, err
		}
		view = newest
	}
	return register{}, errors.New("the set of witnesses changed too often")
}

// registerFromPeers returns the register that a witness which lost its disk may adopt, given the
// responses of the others, or an error if a vote could be missed. The others may know a newer view
// than the one whose witnesses were asked; then reg is empty and the witnesses of newest are to be
// asked.
func registerFromPeers(view View, responses map[string]registerResponse) (reg register, newest View, err error) {
	newest = view
	for _, response := range responses {
		reg.Promised = max(reg.Promised, response.Register.Promised)
		// A node that lost its disk as well may still know which witnesses to ask.
		if response.Register.Accepted.Epoch > newest.Epoch || len(newest.Witnesses) == 0 {
			newest = response.Register.Accepted
		}
	}
	intact := func(addr string) bool { response, ok := responses[addr]; return ok && !response.Abstains }
	switch {
	case len(newest.Witnesses) == 0:
		return register{}, newest, errors.New("no control node knows the witnesses")
	case newest.Epoch > view.Epoch || len(view.Witnesses) == 0:
		return register{}, newest, nil
	case !coversPossibleQuorums(view, intact):
		return register{}, newest, errors.New("too few intact registers answer")
	}
	return register{Promised: max(reg.Promised, view.Epoch), Accepted: view, WitnessesAtRecovery: view.establishedWitnesses()}, view, nil
}

// coversPossibleQuorums reports whether the intact registers that were read include one of any quorum
// that may have voted since the view was proposed. Where newcomers voted with the surviving half of
// the witnesses, every unanimous voter of the previous set must have been read: any quorum without
// that half would depend on the other half, of which at least one witness is permanently lost.
func coversPossibleQuorums(view View, read func(addr string) bool) bool {
	if len(view.Unanimous) == 0 || len(view.Prior) == 0 {
		return intersectsEveryMajority(view.quorumSets(), read)
	}
	unread := func(addr string) bool { return slices.Contains(view.Unanimous, addr) && !read(addr) }
	return intersectsEveryMajority([][]string{view.Witnesses}, read) && !slices.ContainsFunc(view.Prior, unread)
}
