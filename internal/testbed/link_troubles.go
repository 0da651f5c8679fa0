package testbed

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"indigowalk/internal/history"
)

// Bounds of troubles of links.
const (
	longestCut      = 6 * time.Second
	longestWeak     = 5 * time.Second // of links that only lose or delay something
	mostReplyLoss   = 0.15
	mostDatagramsOf = 0.6 // that are lost, or come twice
	mostDelay       = 40 * time.Millisecond
)

// strikeLinks carries one trouble of links out, to its end; none if it may not come now.
func (t *troubles) strikeLinks(ctx context.Context, kind string, r *rand.Rand) error {
	switch kind {
	case CutCore, CutCarrier, CutDatabases:
		t.cutMachine(ctx, kind, r)
	case CutPrimary:
		t.cutPrimary(ctx, r)
	case Split:
		t.split(ctx, r)
	case LoseReplies, Datagrams:
		t.weaken(ctx, kind, r)
	case Delay:
		m := t.draw(r, false)
		if !t.cluster.losses.take(m) {
			return nil
		}
		defer t.cluster.losses.give(m)
		defer t.note(Delay, m, true)()
		t.impair(ctx, span(r, longestWeak), between(hostSet(m.ip), t.others(m)), impairment{delay: span(r, mostDelay)})
	case ResetLinks:
		t.resetLinks(r)
	}
	return nil
}

// impair keeps an impairment in force for a while.
func (t *troubles) impair(ctx context.Context, lasts time.Duration, matches func(from, to string) bool, i impairment) {
	heal := t.cluster.net.links.impair(matches, i)
	defer heal()
	sleep(ctx, lasts)
}

// others are the other machines, and what stands beside them, but for clients.
func (t *troubles) others(m *machine) map[string]bool {
	set := t.machineSet(func(o *machine) bool { return o != m })
	maps.Copy(set, t.hosts(-1))
	return set
}

func (t *troubles) machineSet(which func(*machine) bool) map[string]bool {
	set := map[string]bool{}
	for _, m := range t.cluster.all() {
		if which(m) {
			set[m.ip] = true
		}
	}
	return set
}

// cutMachine cuts one machine off: from the other control machines, at times one way, or
// from the databases of a service.
func (t *troubles) cutMachine(ctx context.Context, kind string, r *rand.Rand) {
	m := t.draw(r, kind == CutCore)
	if !t.cluster.losses.take(m) {
		return
	}
	defer t.cluster.losses.give(m)
	defer t.note(kind, m, false)()
	far := t.machineSet(func(o *machine) bool { return o != m && o.control })
	if kind == CutDatabases {
		far = t.hosts(r.IntN(int(t.cluster.plan.Services)))
	}
	matches := between(hostSet(m.ip), far)
	switch r.IntN(4) {
	case 0:
		matches = oneWay(hostSet(m.ip), far)
	case 1:
		matches = oneWay(far, hostSet(m.ip))
	}
	t.impair(ctx, span(r, longestCut), matches, impairment{cut: true, refuse: r.IntN(4) == 0})
}

// cutPrimary cuts a primary off from some machines, or from its replicas.
func (t *troubles) cutPrimary(ctx context.Context, r *rand.Rand) {
	if len(t.groups) == 0 {
		return
	}
	g := t.groups[r.IntN(len(t.groups))]
	lead := g.Lead()
	if lead == nil {
		return
	}
	number := t.traffic.Begin(history.Trouble{Kind: CutPrimary, Node: lead.ID, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	far := t.machineSet(func(*machine) bool { return r.IntN(2) == 0 })
	if r.IntN(3) == 0 {
		far = map[string]bool{}
		for _, d := range g.Databases() {
			if d != lead {
				far[d.IP] = true
			}
		}
	}
	t.impair(ctx, span(r, longestCut), between(hostSet(lead.IP), far), impairment{cut: true})
}

// split cuts the control machines into two halves, whatever may be lost.
func (t *troubles) split(ctx context.Context, r *rand.Rand) {
	var ips []string
	for _, m := range t.cluster.all() {
		if m.control {
			ips = append(ips, m.ip)
		}
	}
	r.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	half := len(ips) / 2
	for _, m := range t.cluster.all() {
		if m.control {
			defer t.note(Split, m, false)()
		}
	}
	t.impair(ctx, span(r, longestCut), between(hostSet(ips[:half]...), hostSet(ips[half:]...)), impairment{cut: true})
}

// weaken has answers or datagrams between own processes, and what operators and databases
// are told, be lost here and there.
func (t *troubles) weaken(ctx context.Context, kind string, r *rand.Rand) {
	number := t.traffic.Begin(history.Trouble{Kind: kind, Control: true, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	own := t.machineSet(func(*machine) bool { return true })
	own[operatorHost()] = true
	maps.Copy(own, t.hosts(-1))
	i := impairment{loseReply: mostReplyLoss * r.Float64()}
	if kind == Datagrams {
		i = impairment{lose: mostDatagramsOf * r.Float64(), repeat: mostDatagramsOf * r.Float64()}
	}
	t.impair(ctx, span(r, longestWeak), between(own, own), i)
}

// resetLinks resets some of the connections to a machine's processes, but for those of
// clients.
func (t *troubles) resetLinks(r *rand.Rand) {
	m := t.draw(r, false)
	over := t.note(ResetLinks, m, false)
	defer over()
	share := r.Float64()
	for _, relay := range m.relays {
		if relay.ln.Addr().String() != m.clientAddr() {
			relay.reset(share, t.cluster.net.links.draw)
		}
	}
}
