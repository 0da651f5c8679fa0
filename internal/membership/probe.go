package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"indigowalk/internal/kernel"
)

// roundTrip sends p and reports whether it is acknowledged within timeout.
func (r *Memberlist) roundTrip(ctx context.Context, addr string, p packet, timeout kernel.Micros) bool {
	ch := make(chan struct{})
	r.mu.Lock()
	r.nextSeq++
	seq := r.nextSeq
	p.Seq = seq
	r.pendingAcks[seq] = ch
	r.mu.Unlock()
	if p.Updates == nil {
		p.Updates = r.updatesWithSelf()
	}
	r.send(p, addr)
	defer func() {
		r.mu.Lock()
		delete(r.pendingAcks, seq)
		r.mu.Unlock()
	}()
	t := time.NewTimer(timeout.Duration())
	defer t.Stop()
	select {
	case <-ch:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

// probeLoop probes one member per interval, synchronizes with others periodically, and
// suspects a member that answers neither the direct nor the indirect probes.
func (r *Memberlist) probeLoop(ctx context.Context) {
	r.joinSeeds(ctx)
	for round := 0; kernel.Sleep(ctx, r.cfg.ProbeInterval); round++ {
		r.removeExpired()
		target, n := r.nextProbeTarget()
		if target == "" || round%8 == 7 {
			r.joinSeeds(ctx)
		}
		// Updates reach their transmission limit before every member has received
		// them, most of all when many processes start at once. Two members therefore
		// exchange their differences periodically (anti-entropy).
		syncPeer := ""
		if r.outOfSync.Swap(false) {
			syncPeer = r.pickSyncPeer()
		} else if round%syncEveryRounds == 2 {
			syncPeer = target
		}
		if syncPeer != "" && syncPeer != r.cfg.Self.Addr {
			go r.roundTrip(ctx, syncPeer, packet{Kind: join, Checksums: r.checksums()}, r.cfg.ProbeInterval/2)
		}
		if target == "" {
			continue
		}
		if n > 0 && !r.roundTrip(ctx, target, packet{Kind: ping}, r.cfg.ProbeInterval/2) && !r.probeIndirectly(ctx, target) && ctx.Err() == nil {
			r.suspect(target)
		}
	}
}

// pickSyncPeer picks a random control node, or a seed if no control node is known:
// those are the members that every starting process joins.
func (r *Memberlist) pickSyncPeer() string {
	known := r.Peers("control")
	if len(known) == 0 {
		known = r.cfg.Seeds
	}
	if len(known) == 0 {
		return ""
	}
	return known[rand.IntN(len(known))]
}

// joinSeeds sends a join to the seeds that are not known to be alive.
func (r *Memberlist) joinSeeds(ctx context.Context) {
	for _, s := range r.cfg.Seeds {
		r.mu.Lock()
		e := r.members[s]
		r.mu.Unlock()
		if s != r.cfg.Self.Addr && (e == nil || e.Status != Alive) {
			go r.roundTrip(ctx, s, packet{Kind: join}, r.cfg.ProbeInterval/2)
		}
	}
}

// nextProbeTarget picks members round-robin in shuffled order, so that each is probed
// within bounded time. It also returns the number of known members.
func (r *Memberlist) nextProbeTarget() (string, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 2 {
		for len(r.probeOrder) > 0 {
			addr := r.probeOrder[0]
			r.probeOrder = r.probeOrder[1:]
			if e := r.members[addr]; e != nil && e.Status != Dead {
				return addr, len(r.members)
			}
		}
		for addr := range r.members {
			r.probeOrder = append(r.probeOrder, addr)
		}
		rand.Shuffle(len(r.probeOrder), func(i, j int) { r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i] })
	}
	return "", 0
}

// probeIndirectly has indirectProbes other members probe target and reports whether it
// answers any of them.
func (r *Memberlist) probeIndirectly(ctx context.Context, target string) bool {
	return r.probeThroughOthers(ctx, target, indirectProbes)
}

// probeThroughOthers has up to maxHelpers other members probe target and reports
// whether it answers any of them.
func (r *Memberlist) probeThroughOthers(ctx context.Context, target string, maxHelpers int) bool {
	r.mu.Lock()
	var helpers []string
	for addr, e := range r.members {
		if addr != target && e.Status == Alive {
			helpers = append(helpers, addr)
		}
	}
	r.mu.Unlock()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(len(helpers), maxHelpers)]
	acked := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() { acked <- r.roundTrip(ctx, helper, packet{Kind: pingReq, Target: target}, r.cfg.ProbeInterval) }()
	}
	for range helpers {
		if <-acked {
			return true
		}
	}
	return false
}

// reachableIndirectProbes is the maximum number of members that Reachable has probe a
// process.
const reachableIndirectProbes = 8

// Reachable reports whether a process answers a probe by this one, or by any of several
// other members that are requested to probe it, before ctx is done.
func (r *Memberlist) Reachable(ctx context.Context, addr string) bool {
	helpers := make(chan bool, 1)
	go func() { helpers <- r.probeThroughOthers(ctx, addr, reachableIndirectProbes) }()
	return r.roundTrip(ctx, addr, packet{Kind: ping}, r.cfg.ProbeInterval) || <-helpers
}

// suspect marks a member that is alive as suspected.
func (r *Memberlist) suspect(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.members[addr]; e != nil && e.Status == Alive {
		e.Status, e.statusSince = Suspect, r.k.Clock.Now()
		r.queueUpdate(e, r.retransmitLimit())
		r.k.Counters.Add("membership.suspected", 1)
	}
}

// removeExpired declares dead the members that have been suspected for three probe
// intervals without a refutation, and forgets dead members after 60 probe intervals.
func (r *Memberlist) removeExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.k.Clock.Now()
	for addr, e := range r.members {
		switch {
		case e.Status == Suspect && now-e.statusSince > 3*r.cfg.ProbeInterval:
			e.Status, e.statusSince = Dead, now
			r.queueUpdate(e, r.retransmitLimit())
			r.k.Log.Info("member declared dead: suspicion not refuted in time", "name", e.Name, "role", e.Role)
			r.changes.NotifyAll()
		case e.Status == Dead && now-e.statusSince > 60*r.cfg.ProbeInterval:
			delete(r.members, addr)
		}
	}
}
