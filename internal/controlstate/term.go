package controlstate

import (
	"context"

	"indigowalk/internal/kernel"
)

func (v *Replica) leads(now kernel.Micros) bool { return v.active && now < v.leaseEnd }

// Lease returns how long the lease runs yet; nothing may be answered or done
// as primary at or past its end.
func (v *Replica) Lease() (epoch int64, remaining kernel.Micros) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaseRemaining()
}

func (v *Replica) leaseRemaining() (epoch int64, remaining kernel.Micros) {
	now := v.k.Clock.Now()
	if !v.leads(now) {
		return 0, 0
	}
	return v.seen.Epoch, v.leaseEnd - now
}

// Term is a time in which this control node is the primary and nobody else was
// between: it lasts through later views of its own. What was read or decided
// in a term may leave the process only while that term is valid. That this
// control node leads is not enough: it may have lost the term, while it was frozen,
// and won another.
type Term struct {
	v     *Replica
	began int64 // epoch of its first view
	ctx   context.Context
}

// Term returns the term that runs.
func (v *Replica) Term() (*Term, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leads(v.k.Clock.Now()) {
		return nil, ErrNotPrimary
	}
	return v.term, nil
}

type termKey struct{}

// TermOf returns the term whose context ctx is, or derives from; if there is
// none, nil, which is a term that is over.
func TermOf(ctx context.Context) *Term {
	t, _ := ctx.Value(termKey{}).(*Term)
	return t
}

// begin starts a term. The caller holds the lock.
func (v *Replica) beginTerm(epoch int64) {
	v.term = &Term{v: v, began: epoch}
	v.term.ctx, v.cancelTerm = context.WithCancel(context.WithValue(context.Background(), termKey{}, v.term))
	v.members.primarySince = v.k.Clock.Now()
}

// Context ends with the term, at the latest before another one begins.
func (t *Term) Context() context.Context { return t.ctx }

// Began is the epoch in which the term began; terms are known by it.
func (t *Term) Began() int64 { return t.began }

// Lease returns the epoch and how long the lease runs yet, 0 if the term is
// over.
func (t *Term) Lease() (epoch int64, remaining kernel.Micros) {
	if t == nil {
		return 0, 0
	}
	t.v.mu.Lock()
	defer t.v.mu.Unlock()
	if t.v.term != t {
		return 0, 0
	}
	return t.v.leaseRemaining()
}

// Valid tells whether the term runs.
func (t *Term) Valid() bool {
	_, remaining := t.Lease()
	return remaining > 0
}

// resign ends this control node's time as primary, and returns its last view; false
// if it was none.
func (v *Replica) stepDown(reason string) (View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active {
		return View{}, false
	}
	v.active, v.members.primarySince = false, 0
	v.cancelTerm()
	v.k.Log.Info("no longer primary", "epoch", v.seen.Epoch, "why", reason)
	v.standAt = v.k.Clock.Now() + v.lease
	v.changed.Ring()
	return v.seen, true
}

// handOver gives the lease up before it ends and has the backups stand.
func (v *Replica) handOver(reason string) {
	view, wasPrimary := v.stepDown(reason)
	if !wasPrimary {
		return
	}
	ctx := context.Background() // each call is bounded
	ask(ctx, v, union(view.quorumSets()...), "controlstate.release", func(string) any { return epochRequest{view.Epoch} },
		func(got map[string]struct{}) bool { return majorityOfEach(view.quorumSets(), has(got)) })
	for _, b := range view.Backups {
		if v.endpoint.Call(ctx, b.Addr, "controlstate.succeed", epochRequest{view.Epoch}, nil, callWait) == nil {
			return
		}
	}
}
