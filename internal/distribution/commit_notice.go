package distribution

import (
	"encoding/json"
	"math/rand/v2"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/membership"
)

// CommitNoticeKind is the kind of datagram that carries a CommitNotice.
const CommitNoticeKind = "commit"

// CommitNotice notifies a peer of a commit that is about to be acknowledged to a client. The peer
// reports it to the control nodes when it releases the primary, as if it were its own.
type CommitNotice struct {
	Service  string `json:"svc"`
	Position string `json:"at"`
}

// commitNoticePeers is the number of peers that are notified of a commit.
const commitNoticePeers = 2

// notifyPeers notifies some peers of a commit, if its position is known.
func (s *Subscriber) notifyPeers(service, position string) {
	if s.cfg.SendCommitNotice == nil {
		return
	}
	if _, known := lineprotocol.ParsePosition(position); known {
		s.cfg.SendCommitNotice(CommitNotice{service, position})
	}
}

// HandleCommitNotice processes a datagram with a commit notice of a peer.
func (s *Subscriber) HandleCommitNotice(_ string, body json.RawMessage) {
	var notice CommitNotice
	if json.Unmarshal(body, &notice) != nil {
		s.k.Counters.Add("distribution.malformed", 1)
		return
	}
	position, known := lineprotocol.ParsePosition(notice.Position)
	if !known {
		s.k.Counters.Add("distribution.malformed", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commits.peerBounds[notice.Service].Less(position) {
		s.commits.peerBounds.set(notice.Service, position)
	}
}

// reportedUpperBounds returns, for the given services, bounds for the commits that this process
// acknowledged and of which peers have notified it.
func (c *commitTracker) reportedUpperBounds(services map[string]int64) positions {
	bounds := c.upperBounds.forServices(services)
	for service, position := range c.peerBounds.forServices(services) {
		if bounds[service].Less(position) {
			bounds.set(service, position)
		}
	}
	return bounds
}

// commitNoticeSender returns a function that sends commit notices to peers in other zones.
func commitNoticeSender(k *kernel.Kernel, members *membership.Memberlist) func(CommitNotice) {
	return func(notice CommitNotice) {
		peers := members.OtherZonePeers()
		if len(peers) == 0 {
			k.Counters.Add("distribution.commit_unnoticed", 1)
			return
		}
		first := rand.IntN(len(peers))
		chosen := peers[first : first+1 : first+1]
		if second := (first + 1 + rand.IntN(max(1, len(peers)-1))) % len(peers); second != first {
			chosen = append(chosen, peers[second])
		}
		members.SendDatagram(chosen[:min(commitNoticePeers, len(chosen))], CommitNoticeKind, notice)
	}
}
