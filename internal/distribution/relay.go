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
	// maxRelayPeers bounds how many peers a proxy tries while it is cut off, and thereby how
	// many connections to them it leaves open; peersPerRound bounds how many it tries between
	// two polls that it sends to a control node itself.
	maxRelayPeers = 12
	peersPerRound = 3
	// maxConcurrentRelays bounds the polls that a proxy relays at a time.
	maxConcurrentRelays = 8
)

var errNoContact = errors.New("distribution: no recent contact with the control state's primary")

// relayPeers are the peers that a proxy tries in rotation while it is cut off.
type relayPeers struct {
	peers []string
	next  int
	used  bool // whether a peer has relayed a poll
}

// needsRelay reports whether to poll through a peer. If control nodes respond that they know no
// primary, a peer most likely has no contact with one either, so peers are then tried only after
// a longer time.
func (s *Subscriber) needsRelay(unanswered int) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	elapsed := s.k.Clock.Now() - s.contactSentAt
	return s.cfg.Peers != nil && (unanswered >= 2 && elapsed > s.cfg.Lease/2 || unanswered >= 1 && elapsed > 2*s.cfg.Lease)
}

// pollThroughPeers polls through peers for a while. It reports whether a peer relayed a poll.
func (s *Subscriber) pollThroughPeers(ctx context.Context, r *relayPeers) (relayed bool) {
	if r.peers == nil {
		all := s.cfg.Peers()
		for _, i := range rand.Perm(len(all))[:min(len(all), maxRelayPeers)] {
			r.peers = append(r.peers, all[i])
		}
	}
	end := s.k.Clock.Now() + relayPeriod
	for failed := 0; failed < min(peersPerRound, len(r.peers)) && s.k.Clock.Now() < end && ctx.Err() == nil; {
		peer := r.peers[r.next%len(r.peers)]
		next, err := s.poll(ctx, peer, relayOp, false)
		if err != nil || next != peer {
			s.k.Counters.Add("distribution.relay_failed", 1)
			r.next++
			failed++
			continue
		}
		s.k.Counters.Add("distribution.relayed", 1)
		if relayed = true; !r.used {
			r.used = true
			s.k.Log.Warn("no control node responds; polling through a peer", "peer", peer)
		}
	}
	return relayed
}

// handleRelay forwards a peer's poll to the control state's primary. It refuses unless this
// proxy itself is in contact with the primary. A relayed poll goes to a control node, never to
// another peer, so it is relayed only once.
func (s *Subscriber) handleRelay(ctx context.Context, poll json.RawMessage) (any, error) {
	s.mu.RLock()
	controlNode, elapsed := s.controlNode, s.k.Clock.Now()-s.contactAnsweredAt
	s.mu.RUnlock()
	if controlNode == "" || elapsed > s.pollTimeout() {
		return nil, errNoContact
	}
	if s.relaying.Add(1) > maxConcurrentRelays {
		s.relaying.Add(-1)
		return nil, errNoContact
	}
	defer s.relaying.Add(-1)
	s.k.Counters.Add("distribution.passed_on", 1)
	var response json.RawMessage
	if err := s.endpoint.Call(ctx, controlNode, pollOp, poll, &response, s.pollTimeout()); err != nil {
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
