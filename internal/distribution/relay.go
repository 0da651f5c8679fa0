package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"

	"indigowalk/internal/kernel"
)

// relayOp is the operation by which a proxy asks a peer to relay a poll.
//
// A proxy that is cut off from the control nodes, but not from other proxies, has one of them
// relay its polls. The control state's primary still records the lease and the acknowledgements
// itself, and the proxy measures the lease from before it sent the poll, so a lease granted
// through a relay is exactly as valid as any other.
const relayOp = "distribution.relay"

const (
	// cutOffPollTimeout is how long a proxy that is cut off waits for a control node.
	cutOffPollTimeout = 300 * kernel.Millisecond
	// relayPeriod is how long a proxy polls through peers before it tries a control node itself
	// again.
	relayPeriod = kernel.Second
	// maxRelayPeers bounds how many peers a proxy tries during one cut, and with it the
	// connections that this leaves behind; peersPerRound bounds those tried between two polls of
	// its own.
	maxRelayPeers = 12
	peersPerRound = 3
	// maxConcurrentRelays bounds the polls that a proxy relays at a time.
	maxConcurrentRelays = 8
)

var errNoContact = errors.New("distribution: no recent contact with the control state's primary")

// relayPeers are the peers that a proxy tries during one cut, in rotation.
type relayPeers struct {
	peers []string
	next  int
	used  bool // whether a peer has relayed a poll
}

// needsRelay reports whether to poll through a peer. Where control nodes respond that they know
// no primary, a peer most likely knows none either, so peers are tried later then.
func (c *Subscriber) needsRelay(unanswered int) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	elapsed := c.k.Clock.Now() - c.contactSentAt
	return c.cfg.Peers != nil && (unanswered >= 2 && elapsed > c.cfg.Lease/2 || unanswered >= 1 && elapsed > 2*c.cfg.Lease)
}

// pollThroughPeers polls through peers for a while. It reports whether a peer relayed a poll.
func (c *Subscriber) pollThroughPeers(ctx context.Context, r *relayPeers) (relayed bool) {
	if r.peers == nil {
		all := c.cfg.Peers()
		for _, i := range rand.Perm(len(all))[:min(len(all), maxRelayPeers)] {
			r.peers = append(r.peers, all[i])
		}
	}
	end := c.k.Clock.Now() + relayPeriod
	for failed := 0; failed < min(peersPerRound, len(r.peers)) && c.k.Clock.Now() < end && ctx.Err() == nil; {
		peer := r.peers[r.next%len(r.peers)]
		next, err := c.poll(ctx, peer, relayOp, false)
		if err != nil || next != peer {
			c.k.Counters.Add("distribution.relay_failed", 1)
			r.next++
			failed++
			continue
		}
		c.k.Counters.Add("distribution.relayed", 1)
		if relayed = true; !r.used {
			r.used = true
			c.k.Log.Warn("no control node responds; polling through a peer", "peer", peer)
		}
	}
	return relayed
}

// handleRelay forwards a peer's poll to the control state's primary. It refuses unless this
// proxy itself is in contact with the primary. A relayed poll goes to a control node, never to
// another peer, so it is relayed only once.
func (c *Subscriber) handleRelay(ctx context.Context, poll json.RawMessage) (any, error) {
	c.mu.RLock()
	controlNode, elapsed := c.controlNode, c.k.Clock.Now()-c.contactAnsweredAt
	c.mu.RUnlock()
	if controlNode == "" || elapsed > c.pollTimeout() {
		return nil, errNoContact
	}
	if c.relaying.Add(1) > maxConcurrentRelays {
		c.relaying.Add(-1)
		return nil, errNoContact
	}
	defer c.relaying.Add(-1)
	c.k.Counters.Add("distribution.passed_on", 1)
	var response json.RawMessage
	if err := c.endpoint.Call(ctx, controlNode, pollOp, poll, &response, c.pollTimeout()); err != nil {
		return nil, err
	}
	return response, nil
}

// sameHost reports whether two addresses have the same host.
func sameHost(a, b string) bool {
	hostA, _, _ := net.SplitHostPort(a)
	hostB, _, _ := net.SplitHostPort(b)
	return hostA == hostB
}
