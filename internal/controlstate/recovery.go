package controlstate

import (
	"context"
	"errors"
	"maps"
	"slices"

	"indigowalk/internal/kernel"
)

// registerAnswer is a witness's register, as it tells another.
type registerResponse struct {
	Register register `json:"register"`
	Abstains bool     `json:"abstains"`
}

// recoverWitness fills the register of a witness that lost its disk. First
// every call that was under way when the disk was lost has ended, and every
// lease that it may have granted. Then it reads so many intact registers that
// no vote can be missed, of the newest set of witnesses that any of them knows.
func (v *Replica) recoverWitness(ctx context.Context) {
	go v.voidPreviousLease(ctx)
	kernel.Sleep(ctx, v.lease)
	logged := false
	for ; ctx.Err() == nil; kernel.Sleep(ctx, 300*kernel.Millisecond) {
		reg, err := v.rebuildRegister(ctx)
		if err == nil {
			v.fetchRegisters(ctx, without(reg.NewTo, v.self.Addr), awaitAll) // to have met whoever is there
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

// giveUpLease tells the backups of the newest view, if its primary was this
// control node with the disk that it lost, that nobody holds that lease any more.
func (v *Replica) voidPreviousLease(ctx context.Context) {
	for end := v.k.Clock.Now() + v.lease; v.k.Clock.Now() < end && ctx.Err() == nil; kernel.Sleep(ctx, 50*kernel.Millisecond) {
		from := without(union(v.cfg.ControlNodes(), v.cfg.Seeds()), v.self.Addr)
		responses := v.fetchRegisters(ctx, from, awaitAll)
		var newest View
		for _, a := range responses {
			if a.Register.Accepted.Epoch > newest.Epoch {
				newest = a.Register.Accepted
			}
		}
		if newest.Primary.Addr != v.self.Addr || newest.Primary.same(v.self) {
			continue
		}
		for _, b := range newest.Backups {
			if v.endpoint.Call(ctx, b.Addr, "controlstate.void", epochRequest{newest.Epoch}, nil, callWait) == nil {
				v.k.Log.Info("lease of the life before given up", "epoch", newest.Epoch)
				return
			}
		}
	}
}

// registers asks control nodes for their registers until there are enough.
func (v *Replica) fetchRegisters(ctx context.Context, from []string, enough func(got map[string]registerResponse) bool) map[string]registerResponse {
	responses := ask(ctx, v, from, "controlstate.register", func(string) any { return struct{}{} }, enough)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.witness.noteContact(slices.Collect(maps.Keys(responses))...)
	return responses
}

// everyone waits for all that answer.
func awaitAll(map[string]registerResponse) bool { return false }

func (v *Replica) rebuildRegister(ctx context.Context) (register, error) {
	v.mu.Lock()
	view := v.seen
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
	return register{}, errors.New("the witnesses change too often")
}

// registerFrom is what a witness that lost its disk may put in its register,
// given the others' answers, if no vote can be missed. They may know of a view
// newer than the one whose witnesses were asked; then those are to be asked.
func registerFromPeers(view View, responses map[string]registerResponse) (reg register, newest View, err error) {
	newest = view
	for _, a := range responses {
		reg.Promised = max(reg.Promised, a.Register.Promised)
		// One that lost its own disk too may still know whom to ask.
		if a.Register.Accepted.Epoch > newest.Epoch || len(newest.Witnesses) == 0 {
			newest = a.Register.Accepted
		}
	}
	intact := func(addr string) bool { a, ok := responses[addr]; return ok && !a.Abstains }
	switch {
	case len(newest.Witnesses) == 0:
		return register{}, newest, errors.New("nobody knows the witnesses")
	case newest.Epoch > view.Epoch || len(view.Witnesses) == 0:
		return register{}, newest, nil
	case !coversPossibleQuorums(view, intact):
		return register{}, newest, errors.New("too few intact registers answer")
	}
	return register{Promised: max(reg.Promised, view.Epoch), Accepted: view, NewTo: view.establishedWitnesses()}, view, nil
}

// readEnough tells whether the intact registers that were read must include one of any
// quorum that may have voted since the view was proposed. Where newcomers stand by a half of
// the witnesses, that whole half does: whoever voted without it rests on the other half, of
// which one is gone.
func coversPossibleQuorums(view View, read func(addr string) bool) bool {
	if len(view.Unanimous) == 0 || len(view.Prior) == 0 {
		return intersectsEveryMajority(view.quorumSets(), read)
	}
	unread := func(addr string) bool { return slices.Contains(view.Unanimous, addr) && !read(addr) }
	return intersectsEveryMajority([][]string{view.Witnesses}, read) && !slices.ContainsFunc(view.Prior, unread)
}
