package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"indigowalk/internal/kernel"
)

// roundTrip sends p and reports whether it is acknowledged within timeout.
func (ml *Memberlist) roundTrip(ctx context.Context, addr string, p packet, timeout kernel.Micros) bool {
	acked := make(chan struct{})
	ml.mu.Lock()
	ml.nextSeq++
	seq := ml.nextSeq
	p.Seq = seq
	ml.pendingAcks[seq] = acked
	ml.mu.Unlock()
	if p.Updates == nil {
		p.Updates = ml.updatesWithSelf()
	}
	ml.send(p, addr)
	defer func() {
		ml.mu.Lock()
		delete(ml.pendingAcks, seq)
		ml.mu.Unlock()
	}()
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case <-acked:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// probeLoop probes one member per interval, and suspects it if it answers neither the
// direct nor the indirect probes. It also synchronizes with other members periodically.
func (ml *Memberlist) probeLoop(ctx context.Context) {
	ml.joinSeeds(ctx)
	for round := 0; kernel.Sleep(ctx, ml.cfg.ProbeInterval); round++ {
		ml.removeExpired()
		target, known := ml.nextProbeTarget()
		if target == "" || round%8 == 7 {
			ml.joinSeeds(ctx)
		}
		// Updates reach their transmission limit before every member has received
		// them, most of all when many processes start at once. Two members therefore
		// exchange their differences periodically (anti-entropy).
		syncPeer := ""
		if ml.outOfSync.Swap(false) {
			syncPeer = ml.pickSyncPeer()
		} else if round%syncEveryRounds == 2 {
			syncPeer = target
		}
		if syncPeer != "" && syncPeer != ml.cfg.Self.Addr {
			go ml.roundTrip(ctx, syncPeer, packet{Kind: syncRequest, Checksums: ml.checksums()}, ml.cfg.ProbeInterval/2)
		}
		if target == "" {
			continue
		}
		if known > 0 && !ml.roundTrip(ctx, target, packet{Kind: ping}, ml.cfg.ProbeInterval/2) && !ml.probeIndirectly(ctx, target) && ctx.Err() == nil {
			ml.suspect(target)
		}
	}
}

// pickSyncPeer picks a random control node, or a seed if no control node is known:
// those are the members that every starting process joins.
func (ml *Memberlist) pickSyncPeer() string {
	candidates := ml.Peers("control")
	if len(candidates) == 0 {
		candidates = ml.cfg.Seeds
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

// joinSeeds requests all members from the seeds that are not known to be alive.
func (ml *Memberlist) joinSeeds(ctx context.Context) {
	for _, seed := range ml.cfg.Seeds {
		ml.mu.Lock()
		e := ml.members[seed]
		ml.mu.Unlock()
		if seed != ml.cfg.Self.Addr && (e == nil || e.Status != Alive) {
			go ml.roundTrip(ctx, seed, packet{Kind: syncRequest}, ml.cfg.ProbeInterval/2)
		}
	}
}

// nextProbeTarget picks members round-robin in shuffled order, so that each is probed
// within bounded time. It also returns the number of known members.
func (ml *Memberlist) nextProbeTarget() (string, int) {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	for range 2 {
		for len(ml.probeOrder) > 0 {
			addr := ml.probeOrder[0]
			ml.probeOrder = ml.probeOrder[1:]
			if e := ml.members[addr]; e != nil && e.Status != Dead {
				return addr, len(ml.members)
			}
		}
		for addr := range ml.members {
			ml.probeOrder = append(ml.probeOrder, addr)
		}
		rand.Shuffle(len(ml.probeOrder), func(i, j int) { ml.probeOrder[i], ml.probeOrder[j] = ml.probeOrder[j], ml.probeOrder[i] })
	}
	return "", 0
}

// probeIndirectly has indirectProbes other members probe target and reports whether it
// answers any of them.
func (ml *Memberlist) probeIndirectly(ctx context.Context, target string) bool {
	return ml.probeThroughOthers(ctx, target, indirectProbes)
}

// probeThroughOthers has up to maxHelpers other members probe target and reports
// whether it answers any of them.
func (ml *Memberlist) probeThroughOthers(ctx context.Context, target string, maxHelpers int) bool {
	ml.mu.Lock()
	var helpers []string
	for addr, e := range ml.members {
		if addr != target && e.Status == Alive {
			helpers = append(helpers, addr)
		}
	}
	ml.mu.Unlock()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(len(helpers), maxHelpers)]
	acked := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			acked <- ml.roundTrip(ctx, helper, packet{Kind: indirectPing, Target: target}, ml.cfg.ProbeInterval)
		}()
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
func (ml *Memberlist) Reachable(ctx context.Context, addr string) bool {
	helpers := make(chan bool, 1)
	go func() { helpers <- ml.probeThroughOthers(ctx, addr, reachableIndirectProbes) }()
	return ml.roundTrip(ctx, addr, packet{Kind: ping}, ml.cfg.ProbeInterval) || <-helpers
}

// suspect marks a member that is alive as suspected.
func (ml *Memberlist) suspect(addr string) {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	if e := ml.members[addr]; e != nil && e.Status == Alive {
		e.Status, e.statusSince = Suspect, ml.k.Clock.Now()
		ml.queueUpdate(e, ml.retransmitLimit())
		ml.k.Counters.Add("membership.suspected", 1)
	}
}

// removeExpired declares dead the members that have been suspected for three probe
// intervals without a refutation, and forgets dead members after 60 probe intervals.
func (ml *Memberlist) removeExpired() {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	now := ml.k.Clock.Now()
	for addr, e := range ml.members {
		switch {
		case e.Status == Suspect && now-e.statusSince > 3*ml.cfg.ProbeInterval:
			e.Status, e.statusSince = Dead, now
			ml.queueUpdate(e, ml.retransmitLimit())
			ml.k.Log.Info("member declared dead: suspicion not refuted in time", "name", e.Name, "role", e.Role)
			ml.changes.NotifyAll()
		case e.Status == Dead && now-e.statusSince > 60*ml.cfg.ProbeInterval:
			delete(ml.members, addr)
		}
	}
}
