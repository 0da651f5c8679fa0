package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"

	"indigowalk/internal/kernel"
)

// A carrier that is cut off from the control nodes, and not from other carriers, has
// one of them pass its polls on. The control state's primary still counts the lease and
// the acknowledgement itself, and the carrier measures the lease from before it
// asked, so a lease that came this way is worth no more and no less.
const relayOp = "distribution.relay"

const (
	// shortWait is how long a carrier that is cut off waits for a control node.
	shortWait = 300 * kernel.Millisecond
	// relayFor is how long a carrier stays with a peer before it tries a control node
	// itself.
	relayFor = kernel.Second
	// mostPeers bounds whom a carrier asks as long as a cut lasts, and with it
	// the connections that this leaves; peersATurn those between two polls of
	// its own.
	mostPeers  = 12
	peersATurn = 3
	// mostPassing bounds the polls that a carrier passes on at a time.
	mostPassing = 8
)

var errNoContact = errors.New("distribution: not in touch with the primary")

// relays are the peers that a carrier asks during one cut, in turn.
type relays struct {
	peers []string
	at    int
	used  bool // one has passed a poll on
}

// cutOff tells whether a peer should be asked. Where control nodes answer that they
// know no primary, a peer most likely knows none either: it is asked later then.
func (c *Subscriber) cutOff(unanswered int) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	since := c.k.Clock.Now() - c.touched
	return c.cfg.Peers != nil && (unanswered >= 2 && since > c.cfg.Lease/2 || unanswered >= 1 && since > 2*c.cfg.Lease)
}

// throughPeers polls through peers for a while; it reports whether one passed a
// poll on.
func (c *Subscriber) throughPeers(ctx context.Context, r *relays) (heard bool) {
	if r.peers == nil {
		all := c.cfg.Peers()
		for _, i := range rand.Perm(len(all))[:min(len(all), mostPeers)] {
			r.peers = append(r.peers, all[i])
		}
	}
	end := c.k.Clock.Now() + relayFor
	for failed := 0; failed < min(peersATurn, len(r.peers)) && c.k.Clock.Now() < end && ctx.Err() == nil; {
		peer := r.peers[r.at%len(r.peers)]
		next, err := c.poll(ctx, peer, relayOp, false)
		if err != nil || next != peer {
			c.k.Counters.Add("distribution.relay_failed", 1)
			r.at++
			failed++
			continue
		}
		c.k.Counters.Add("distribution.relayed", 1)
		if heard = true; !r.used {
			r.used = true
			c.k.Log.Warn("no control node answers, a peer passes polls on", "peer", peer)
		}
	}
	return heard
}

// onRelay passes a peer's poll on to the primary. It is refused unless this
// carrier is in touch with the primary itself, and goes to a control node, so it is
// passed on once.
func (c *Subscriber) onRelay(ctx context.Context, poll json.RawMessage) (any, error) {
	c.mu.RLock()
	controlNode, since := c.controlNode, c.k.Clock.Now()-c.heardAt
	c.mu.RUnlock()
	if controlNode == "" || since > c.pollSpan() {
		return nil, errNoContact
	}
	if c.passing.Add(1) > mostPassing {
		c.passing.Add(-1)
		return nil, errNoContact
	}
	defer c.passing.Add(-1)
	c.k.Counters.Add("distribution.passed_on", 1)
	var answer json.RawMessage
	if err := c.b.Call(ctx, controlNode, pollOp, poll, &answer, c.pollSpan()); err != nil {
		return nil, err
	}
	return answer, nil
}

// sameHost tells whether two addresses are of one machine.
func sameHost(a, b string) bool {
	ha, _, _ := net.SplitHostPort(a)
	hb, _, _ := net.SplitHostPort(b)
	return ha == hb
}
