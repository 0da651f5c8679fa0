package controlstate

import (
	"context"

	"indigowalk/internal/kernel"
)

// holdsLease reports whether this control node is the primary and its lease has not expired.
func (v *Replica) holdsLease(now kernel.Micros) bool { return v.active && now < v.leaseEnd }

// Lease returns the epoch and the remaining time of the lease, or zeros if this control node does
// not hold it. Nothing may be answered or done as primary at or after its expiry.
func (v *Replica) Lease() (epoch int64, remaining kernel.Micros) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaseRemaining()
}

// leaseRemaining is Lease for callers that hold v.mu.
func (v *Replica) leaseRemaining() (epoch int64, remaining kernel.Micros) {
	now := v.k.Clock.Now()
	if !v.holdsLease(now) {
		return 0, 0
	}
	return v.newestView.Epoch, v.leaseEnd - now
}

// Term is an uninterrupted period in which this control node is the primary; it continues
// through later views of the same primary. What was read or decided in a term may leave the
// process only while that term is valid. It is not enough that this control node is primary now:
// while the process was frozen it may have lost the term and won another.
type Term struct {
	replica    *Replica
	firstEpoch int64 // epoch of the first view of the term
	ctx        context.Context
}

// Term returns the current term, or ErrNotPrimary if this control node does not hold the lease.
func (v *Replica) Term() (*Term, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.holdsLease(v.k.Clock.Now()) {
		return nil, ErrNotPrimary
	}
	return v.term, nil
}

type termKey struct{}

// TermFromContext returns the term whose context ctx is or derives from. Without one it returns
// nil, which behaves as a term that has ended.
func TermFromContext(ctx context.Context) *Term {
	t, _ := ctx.Value(termKey{}).(*Term)
	return t
}

// beginTerm starts a term. The caller holds v.mu.
func (v *Replica) beginTerm(epoch int64) {
	v.term = &Term{replica: v, firstEpoch: epoch}
	v.term.ctx, v.cancelTerm = context.WithCancel(context.WithValue(context.Background(), termKey{}, v.term))
	v.policy.primarySince = v.k.Clock.Now()
}

// Context returns a context that is cancelled when the term ends, at the latest before the next
// one begins.
func (t *Term) Context() context.Context { return t.ctx }

// FirstEpoch returns the epoch in which the term began, which identifies the term.
func (t *Term) FirstEpoch() int64 { return t.firstEpoch }

// Lease returns the epoch and the remaining time of the lease, or zeros if the term has ended.
func (t *Term) Lease() (epoch int64, remaining kernel.Micros) {
	if t == nil {
		return 0, 0
	}
	t.replica.mu.Lock()
	defer t.replica.mu.Unlock()
	if t.replica.term != t {
		return 0, 0
	}
	return t.replica.leaseRemaining()
}

// Valid reports whether the term is current and its lease has not expired.
func (t *Term) Valid() bool {
	_, remaining := t.Lease()
	return remaining > 0
}

// stepDown ends this control node's term as primary and returns its last view, or false if it was
// not the primary.
func (v *Replica) stepDown(reason string) (View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active {
		return View{}, false
	}
	v.active, v.policy.primarySince = false, 0
	v.cancelTerm()
	v.k.Log.Info("stepped down as primary", "epoch", v.newestView.Epoch, "why", reason)
	v.nextCampaignAt = v.k.Clock.Now() + v.lease
	v.changed.NotifyAll()
	return v.newestView, true
}

// handOver releases the lease before it expires and asks the backups in turn to campaign until one
// acknowledges.
func (v *Replica) handOver(reason string) {
	view, wasPrimary := v.stepDown(reason)
	if !wasPrimary {
		return
	}
	ctx := context.Background() // each call has its own timeout
	callAll(ctx, v, union(view.quorumSets()...), "controlstate.release", func(string) any { return epochRequest{view.Epoch} },
		func(got map[string]struct{}) bool { return majorityOfEach(view.quorumSets(), hasKey(got)) })
	for _, b := range view.Backups {
		if v.endpoint.Call(ctx, b.Addr, "controlstate.succeed", epochRequest{view.Epoch}, nil, callTimeout) == nil {
			return
		}
	}
}
