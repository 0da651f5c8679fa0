package testbed

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"indigowalk/internal/history"
)

// Bounds of link faults.
const (
	maxCut           = 6 * time.Second
	maxDegraded      = 5 * time.Second // of links that only lose or delay data
	maxReplyLoss     = 0.15
	maxDatagramShare = 0.6 // share of datagrams that are lost, or that are delivered twice
	maxDelay         = 40 * time.Millisecond
)

// injectLinkFault injects one link fault and returns when it is over. It does nothing if the fault
// is not permitted now.
func (t *faultInjector) injectLinkFault(ctx context.Context, kind string, r *rand.Rand) error {
	switch kind {
	case CutCore, CutCarrier, CutDatabases:
		t.cutMachine(ctx, kind, r)
	case CutPrimary:
		t.cutPrimary(ctx, r)
	case Split:
		t.splitControl(ctx, r)
	case LoseReplies, Datagrams:
		t.degradeLinks(ctx, kind, r)
	case Delay:
		m := t.pickMachine(r, false)
		if !t.cluster.losses.tryAcquire(m) {
			return nil
		}
		defer t.cluster.losses.release(m)
		defer t.recordFault(Delay, m, true)()
		t.impairFor(ctx, randomDuration(r, maxDegraded), between(hostSet(m.ip), t.otherHosts(m)), impairment{delay: randomDuration(r, maxDelay)})
	case ResetLinks:
		t.resetLinks(r)
	}
	return nil
}

// impairFor applies an impairment for the given duration.
func (t *faultInjector) impairFor(ctx context.Context, duration time.Duration, matches func(from, to string) bool, i impairment) {
	heal := t.cluster.net.links.impair(matches, i)
	defer heal()
	sleep(ctx, duration)
}

// otherHosts returns the addresses of the other machines and of the stand-ins, except clients.
func (t *faultInjector) otherHosts(m *machine) map[string]bool {
	set := t.machineSet(func(o *machine) bool { return o != m })
	maps.Copy(set, t.databaseHosts(-1))
	return set
}

func (t *faultInjector) machineSet(which func(*machine) bool) map[string]bool {
	set := map[string]bool{}
	for _, m := range t.cluster.all() {
		if which(m) {
			set[m.ip] = true
		}
	}
	return set
}

// cutMachine isolates one machine from the other control machines or from the databases of a
// service, sometimes in one direction only.
func (t *faultInjector) cutMachine(ctx context.Context, kind string, r *rand.Rand) {
	m := t.pickMachine(r, kind == CutCore)
	if !t.cluster.losses.tryAcquire(m) {
		return
	}
	defer t.cluster.losses.release(m)
	defer t.recordFault(kind, m, false)()
	peers := t.machineSet(func(o *machine) bool { return o != m && o.control })
	if kind == CutDatabases {
		peers = t.databaseHosts(r.IntN(int(t.cluster.plan.Services)))
	}
	matches := between(hostSet(m.ip), peers)
	switch r.IntN(4) {
	case 0:
		matches = oneWay(hostSet(m.ip), peers)
	case 1:
		matches = oneWay(peers, hostSet(m.ip))
	}
	t.impairFor(ctx, randomDuration(r, maxCut), matches, impairment{cut: true, refuse: r.IntN(4) == 0})
}

// cutPrimary isolates a primary from some machines or from its replicas.
func (t *faultInjector) cutPrimary(ctx context.Context, r *rand.Rand) {
	if len(t.groups) == 0 {
		return
	}
	g := t.groups[r.IntN(len(t.groups))]
	primary := g.Primary()
	if primary == nil {
		return
	}
	number := t.traffic.Begin(history.Trouble{Kind: CutPrimary, Node: primary.ID, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	peers := t.machineSet(func(*machine) bool { return r.IntN(2) == 0 })
	if r.IntN(3) == 0 {
		peers = map[string]bool{}
		for _, d := range g.Databases() {
			if d != primary {
				peers[d.IP] = true
			}
		}
	}
	t.impairFor(ctx, randomDuration(r, maxCut), between(hostSet(primary.IP), peers), impairment{cut: true})
}

// splitControl partitions the control machines into two halves, regardless of the number of
// failures that may be tolerated.
func (t *faultInjector) splitControl(ctx context.Context, r *rand.Rand) {
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
			defer t.recordFault(Split, m, false)()
		}
	}
	t.impairFor(ctx, randomDuration(r, maxCut), between(hostSet(ips[:half]...), hostSet(ips[half:]...)), impairment{cut: true})
}

// degradeLinks makes some responses or datagrams between the cluster's processes, operators and
// databases get lost. Datagrams may also be duplicated.
func (t *faultInjector) degradeLinks(ctx context.Context, kind string, r *rand.Rand) {
	number := t.traffic.Begin(history.Trouble{Kind: kind, Control: true, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	own := t.machineSet(func(*machine) bool { return true })
	own[operatorHost()] = true
	maps.Copy(own, t.databaseHosts(-1))
	i := impairment{replyLoss: maxReplyLoss * r.Float64()}
	if kind == Datagrams {
		i = impairment{datagramLoss: maxDatagramShare * r.Float64(), duplication: maxDatagramShare * r.Float64()}
	}
	t.impairFor(ctx, randomDuration(r, maxDegraded), between(own, own), i)
}

// resetLinks resets some of the connections to a machine's processes, except those of clients.
func (t *faultInjector) resetLinks(r *rand.Rand) {
	m := t.pickMachine(r, false)
	over := t.recordFault(ResetLinks, m, false)
	defer over()
	share := r.Float64()
	for _, relay := range m.relays {
		if relay.ln.Addr().String() != m.clientAddr() {
			relay.reset(share, t.cluster.net.links.sample)
		}
	}
}
