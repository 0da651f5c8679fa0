package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"indigowalk/internal/kernel"
)

// roundTrip sends p and reports whether it is acknowledged within timeout.
func (l *Memberlist) roundTrip(ctx context.Context, addr string, p packet, timeout kernel.Micros) bool {
	acked := make(chan struct{})
	l.mu.Lock()
	l.nextSeq++
	seq := l.nextSeq
	p.Seq = seq
	l.pendingAcks[seq] = acked
	l.mu.Unlock()
	if p.Updates == nil {
		p.Updates = l.updatesWithSelf()
	}
	l.send(p, addr)
	defer func() {
		l.mu.Lock()
		delete(l.pendingAcks, seq)
		l.mu.Unlock()
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
func (l *Memberlist) probeLoop(ctx context.Context) {
	l.joinSeeds(ctx)
	for round := 0; kernel.Sleep(ctx, l.cfg.ProbeInterval); round++ {
		l.removeExpired()
		target, known := l.nextProbeTarget()
		if target == "" || round%8 == 7 {
			l.joinSeeds(ctx)
		}
		// Updates reach their transmission limit before every member has received
		// them, most of all when many processes start at once. Two members therefore
		// exchange their differences periodically (anti-entropy).
		syncPeer := ""
		if l.outOfSync.Swap(false) {
			syncPeer = l.pickSyncPeer()
		} else if round%syncEveryRounds == 2 {
			syncPeer = target
		}
		if syncPeer != "" && syncPeer != l.cfg.Self.Addr {
			go l.roundTrip(ctx, syncPeer, packet{Kind: syncRequest, Checksums: l.checksums()}, l.cfg.ProbeInterval/2)
		}
		if target == "" {
			continue
		}
		if known > 0 && !l.roundTrip(ctx, target, packet{Kind: ping}, l.cfg.ProbeInterval/2) && !l.probeIndirectly(ctx, target) && ctx.Err() == nil {
			l.suspect(target)
		}
	}
}

// pickSyncPeer picks a random control node, or a seed if no control node is known:
// those are the members that every starting process joins.
func (l *Memberlist) pickSyncPeer() string {
	candidates := l.Peers("control")
	if len(candidates) == 0 {
		candidates = l.cfg.Seeds
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

// joinSeeds requests all members from the seeds that are not known to be alive.
func (l *Memberlist) joinSeeds(ctx context.Context) {
	for _, seed := range l.cfg.Seeds {
		l.mu.Lock()
		e := l.members[seed]
		l.mu.Unlock()
		if seed != l.cfg.Self.Addr && (e == nil || e.Status != Alive) {
			go l.roundTrip(ctx, seed, packet{Kind: syncRequest}, l.cfg.ProbeInterval/2)
		}
	}
}

// nextProbeTarget picks members round-robin in shuffled order, so that each is probed
// within bounded time. It also returns the number of known members.
func (l *Memberlist) nextProbeTarget() (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 2 {
		for len(l.probeOrder) > 0 {
			addr := l.probeOrder[0]
			l.probeOrder = l.probeOrder[1:]
			if e := l.members[addr]; e != nil && e.Status != Dead {
				return addr, len(l.members)
			}
		}
		for addr := range l.members {
			l.probeOrder = append(l.probeOrder, addr)
		}
		rand.Shuffle(len(l.probeOrder), func(i, j int) { l.probeOrder[i], l.probeOrder[j] = l.probeOrder[j], l.probeOrder[i] })
	}
	return "", 0
}

// probeIndirectly has indirectProbes other members probe target and reports whether it
// answers any of them.
func (l *Memberlist) probeIndirectly(ctx context.Context, target string) bool {
	return l.probeThroughOthers(ctx, target, indirectProbes)
}

// probeThroughOthers has up to maxHelpers other members probe target and reports
// whether it answers any of them.
func (l *Memberlist) probeThroughOthers(ctx context.Context, target string, maxHelpers int) bool {
	l.mu.Lock()
	var helpers []string
	for addr, e := range l.members {
		if addr != target && e.Status == Alive {
			helpers = append(helpers, addr)
		}
	}
	l.mu.Unlock()
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(len(helpers), maxHelpers)]
	acked := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() { acked <- l.roundTrip(ctx, helper, packet{Kind: pingReq, Target: target}, l.cfg.ProbeInterval) }()
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
func (l *Memberlist) Reachable(ctx context.Context, addr string) bool {
	helpers := make(chan bool, 1)
	go func() { helpers <- l.probeThroughOthers(ctx, addr, reachableIndirectProbes) }()
	return l.roundTrip(ctx, addr, packet{Kind: ping}, l.cfg.ProbeInterval) || <-helpers
}

// suspect marks a member that is alive as suspected.
func (l *Memberlist) suspect(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.members[addr]; e != nil && e.Status == Alive {
		e.Status, e.statusSince = Suspect, l.k.Clock.Now()
		l.queueUpdate(e, l.retransmitLimit())
		l.k.Counters.Add("membership.suspected", 1)
	}
}

// removeExpired declares dead the members that have been suspected for three probe
// intervals without a refutation, and forgets dead members after 60 probe intervals.
func (l *Memberlist) removeExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.k.Clock.Now()
	for addr, e := range l.members {
		switch {
		case e.Status == Suspect && now-e.statusSince > 3*l.cfg.ProbeInterval:
			e.Status, e.statusSince = Dead, now
			l.queueUpdate(e, l.retransmitLimit())
			l.k.Log.Info("member declared dead: suspicion not refuted in time", "name", e.Name, "role", e.Role)
			l.changes.NotifyAll()
		case e.Status == Dead && now-e.statusSince > 60*l.cfg.ProbeInterval:
			delete(l.members, addr)
		}
	}
}
