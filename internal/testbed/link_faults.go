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
	maxCutTime            = 6 * time.Second
	maxDegradedTime       = 5 * time.Second // for links that lose, duplicate or delay data but are not cut
	maxReplyLoss          = 0.15
	maxDatagramFaultShare = 0.6 // share of datagrams that are lost, or that are delivered twice
	maxLinkDelay          = 40 * time.Millisecond
)

// injectLinkFault injects one link fault and returns when it is over. It does nothing if the fault
// is not permitted now.
func (f *faultInjector) injectLinkFault(ctx context.Context, kind string, r *rand.Rand) error {
	switch kind {
	case CutControl, CutMachine, CutDatabases:
		f.cutMachine(ctx, kind, r)
	case CutPrimary:
		f.cutPrimary(ctx, r)
	case Split:
		f.splitControl(ctx, r)
	case LoseReplies, Datagrams:
		f.degradeLinks(ctx, kind, r)
	case Delay:
		m := f.pickMachine(r, false)
		if !f.cluster.lossLimiter.tryAcquire(m) {
			return nil
		}
		defer f.cluster.lossLimiter.release(m)
		defer f.recordFault(Delay, m, true)()
		f.impairFor(ctx, randomDuration(r, maxDegradedTime), between(hostSet(m.ip), f.otherHosts(m)), impairment{delay: randomDuration(r, maxLinkDelay)})
	case ResetLinks:
		f.resetLinks(r)
	}
	return nil
}

// impairFor applies an impairment for the given duration.
func (f *faultInjector) impairFor(ctx context.Context, duration time.Duration, matches func(from, to string) bool, i impairment) {
	heal := f.cluster.loopback.links.impair(matches, i)
	defer heal()
	sleep(ctx, duration)
}

// otherHosts returns the addresses of all databases and of all machines but m.
func (f *faultInjector) otherHosts(m *machine) map[string]bool {
	set := f.machineHosts(func(o *machine) bool { return o != m })
	maps.Copy(set, f.databaseHosts(-1))
	return set
}

// machineHosts returns the addresses of the current machines that a predicate selects.
func (f *faultInjector) machineHosts(which func(*machine) bool) map[string]bool {
	set := map[string]bool{}
	for _, m := range f.cluster.currentMachines() {
		if which(m) {
			set[m.ip] = true
		}
	}
	return set
}

// cutMachine partitions one machine from the other control machines or from the databases of a
// service, sometimes in one direction only.
func (f *faultInjector) cutMachine(ctx context.Context, kind string, r *rand.Rand) {
	m := f.pickMachine(r, kind == CutControl)
	if !f.cluster.lossLimiter.tryAcquire(m) {
		return
	}
	defer f.cluster.lossLimiter.release(m)
	defer f.recordFault(kind, m, false)()
	peers := f.machineHosts(func(o *machine) bool { return o != m && o.control })
	if kind == CutDatabases {
		peers = f.databaseHosts(r.IntN(int(f.cluster.plan.Services)))
	}
	matches := between(hostSet(m.ip), peers)
	switch r.IntN(4) {
	case 0:
		matches = oneWay(hostSet(m.ip), peers)
	case 1:
		matches = oneWay(peers, hostSet(m.ip))
	}
	f.impairFor(ctx, randomDuration(r, maxCutTime), matches, impairment{cut: true, refuse: r.IntN(4) == 0})
}

// cutPrimary partitions a primary from some machines or from its replicas.
func (f *faultInjector) cutPrimary(ctx context.Context, r *rand.Rand) {
	if len(f.groups) == 0 {
		return
	}
	g := f.groups[r.IntN(len(f.groups))]
	primary := g.Primary()
	if primary == nil {
		return
	}
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: CutPrimary, Node: primary.ID, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	peers := f.machineHosts(func(*machine) bool { return r.IntN(2) == 0 })
	if r.IntN(3) == 0 {
		peers = map[string]bool{}
		for _, d := range g.Databases() {
			if d != primary {
				peers[d.IP] = true
			}
		}
	}
	f.impairFor(ctx, randomDuration(r, maxCutTime), between(hostSet(primary.IP), peers), impairment{cut: true})
}

// splitControl partitions the control machines into two halves, even if the plan tolerates the loss of
// fewer machines.
func (f *faultInjector) splitControl(ctx context.Context, r *rand.Rand) {
	var ips []string
	for _, m := range f.cluster.currentMachines() {
		if m.control {
			ips = append(ips, m.ip)
		}
	}
	r.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
	half := len(ips) / 2
	for _, m := range f.cluster.currentMachines() {
		if m.control {
			defer f.recordFault(Split, m, false)()
		}
	}
	f.impairFor(ctx, randomDuration(r, maxCutTime), between(hostSet(ips[:half]...), hostSet(ips[half:]...)), impairment{cut: true})
}

// degradeLinks drops some responses, or drops and duplicates some datagrams, on the links between
// machines, operators and databases.
func (f *faultInjector) degradeLinks(ctx context.Context, kind string, r *rand.Rand) {
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: kind, Control: true, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	hosts := f.machineHosts(func(*machine) bool { return true })
	hosts[operatorHost()] = true
	maps.Copy(hosts, f.databaseHosts(-1))
	i := impairment{replyLoss: maxReplyLoss * r.Float64()}
	if kind == Datagrams {
		i = impairment{datagramLoss: maxDatagramFaultShare * r.Float64(), duplication: maxDatagramFaultShare * r.Float64()}
	}
	f.impairFor(ctx, randomDuration(r, maxDegradedTime), between(hosts, hosts), i)
}

// resetLinks resets some of the connections to a machine's processes, except those of clients.
func (f *faultInjector) resetLinks(r *rand.Rand) {
	m := f.pickMachine(r, false)
	end := f.recordFault(ResetLinks, m, false)
	defer end()
	share := r.Float64()
	for _, relay := range m.relays {
		if relay.ln.Addr().String() != m.clientAddr() {
			relay.resetConns(share, f.cluster.loopback.links.sample)
		}
	}
}
