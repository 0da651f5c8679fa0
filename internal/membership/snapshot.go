package membership

import (
	"hash/fnv"
	"slices"
	"strings"
)

// snapshot is an immutable view of the members that are not dead. It is computed once
// per change, because it is read with every statement and every packet.
type snapshot struct {
	members   []Member            // by address, this process included
	peers     map[string][]string // the others' addresses, by role
	sameZone  []string            // addresses with this process's role and zone, its own included
	otherZone []string            // addresses with this process's role in other zones
	checksums [partitions]uint32  // over the addresses in each partition
}

// partitions is the number of partitions in which memberships are compared. If two
// members differ in one partition, only that one is exchanged.
const partitions = 16

// hashAddr returns the partition that an address belongs to, and its contribution to
// the partition's checksum.
func hashAddr(addr string) (partition int, sum uint32) {
	h := fnv.New64a()
	h.Write([]byte(addr))
	n := h.Sum64()
	return int(n % partitions), uint32(n >> 32)
}

// snapshot returns the current snapshot, which must not be modified.
func (l *Memberlist) snapshot() *snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cachedSnapshot != nil {
		return l.cachedSnapshot
	}
	s := &snapshot{members: []Member{l.self}, peers: map[string][]string{}}
	for _, e := range l.members {
		if e.Status != Dead {
			s.members = append(s.members, e.Member)
		}
	}
	slices.SortFunc(s.members, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	for _, m := range s.members {
		partition, sum := hashAddr(m.Addr)
		s.checksums[partition] ^= sum
		switch {
		case m.Role != l.self.Role:
		case m.Zone == l.self.Zone:
			s.sameZone = append(s.sameZone, m.Addr)
		default:
			s.otherZone = append(s.otherZone, m.Addr)
		}
		if m.Addr != l.self.Addr {
			s.peers[m.Role] = append(s.peers[m.Role], m.Addr)
		}
	}
	for role, addrs := range s.peers {
		s.peers[role] = slices.Clip(addrs) // appending to it copies it
	}
	l.cachedSnapshot = s
	return s
}

// Members returns all members that are not dead, this process included. The slice must
// not be modified.
func (l *Memberlist) Members() []Member { return l.snapshot().members }

// Peers returns the internal addresses of the other members with the role. The slice
// must not be modified.
func (l *Memberlist) Peers(role string) []string { return l.snapshot().peers[role] }

// ZonePeers returns the internal addresses of the members with this process's role and zone,
// sorted and including its own. The slice must not be modified.
func (l *Memberlist) ZonePeers() []string { return l.snapshot().sameZone }

// OtherZonePeers returns the internal addresses of the members with this process's role in other
// zones, or in its own zone if there are none in others. The slice must not be modified.
func (l *Memberlist) OtherZonePeers() []string {
	s := l.snapshot()
	if len(s.otherZone) == 0 {
		return s.peers[l.Self().Role]
	}
	return s.otherZone
}
