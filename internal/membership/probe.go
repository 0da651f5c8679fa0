package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"indigowalk/internal/kernel"
)

// sendAndAwaitAck sends p and waits for the ack.
func (r *Ring) sendAndAwaitAck(ctx context.Context, addr string, p packet, timeout kernel.Micros) bool {
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

func (r *Ring) probeLoop(ctx context.Context) {
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
			go r.sendAndAwaitAck(ctx, syncPeer, packet{Kind: join, Checksums: r.checksums()}, r.cfg.ProbeInterval/2)
		}
		if target == "" {
			continue
		}
		if n > 0 && !r.sendAndAwaitAck(ctx, target, packet{Kind: ping}, r.cfg.ProbeInterval/2) && !r.probeIndirectly(ctx, target) && ctx.Err() == nil {
			r.suspect(target)
		}
	}
}

// pickSyncPeer picks one of those whom all who start greet.
func (r *Ring) pickSyncPeer() string {
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
func (r *Ring) joinSeeds(ctx context.Context) {
	for _, s := range r.cfg.Seeds {
		r.mu.Lock()
		e := r.members[s]
		r.mu.Unlock()
		if s != r.cfg.Self.Addr && (e == nil || e.Status != Alive) {
			go r.sendAndAwaitAck(ctx, s, packet{Kind: join}, r.cfg.ProbeInterval/2)
		}
	}
}

// nextProbeTarget picks members in a shuffled turn, so that each is probed in bounded
// time.
func (r *Ring) nextProbeTarget() (string, int) {
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

// probeIndirectly has a few others probe a member, and tells whether it answers any.
func (r *Ring) probeIndirectly(ctx context.Context, target string) bool {
	return r.probeThroughOthers(ctx, target, indirectProbes)
}

// probeThroughOthers has up to so many other members probe one, and tells whether it answers any.
func (r *Ring) probeThroughOthers(ctx context.Context, target string, maxHelpers int) bool {
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
		go func() {
			acked <- r.sendAndAwaitAck(ctx, helper, packet{Kind: pingReq, Target: target}, r.cfg.ProbeInterval)
		}()
	}
	for range helpers {
		if <-acked {
			return true
		}
	}
	return false
}

// reachableIndirectProbes is how many others Reachable asks at most.
const reachableIndirectProbes = 8

// Reachable reports whether a process answers a probe by this one, or by any of several
// other members that are requested to probe it, before ctx is done.
func (r *Ring) Reachable(ctx context.Context, addr string) bool {
	helpers := make(chan bool, 1)
	go func() { helpers <- r.probeThroughOthers(ctx, addr, reachableIndirectProbes) }()
	return r.sendAndAwaitAck(ctx, addr, packet{Kind: ping}, r.cfg.ProbeInterval) || <-helpers
}

func (r *Ring) suspect(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.members[addr]; e != nil && e.Status == Alive {
		e.Status, e.statusSince = Suspect, r.k.Clock.Now()
		r.queueUpdate(e, r.retransmitLimit())
		r.k.Counters.Add("membership.suspected", 1)
	}
}

// removeExpired removes those suspected for three probes without an objection, and
// forgets the dead after a while.
func (r *Ring) removeExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.k.Clock.Now()
	for addr, e := range r.members {
		switch {
		case e.Status == Suspect && now-e.statusSince > 3*r.cfg.ProbeInterval:
			e.Status, e.statusSince = Dead, now
			r.queueUpdate(e, r.retransmitLimit())
			r.k.Log.Info("member declared dead: suspicion not refuted in time", "name", e.Name, "role", e.Role)
			r.changeBell.Ring()
		case e.Status == Dead && now-e.statusSince > 60*r.cfg.ProbeInterval:
			delete(r.members, addr)
		}
	}
}
