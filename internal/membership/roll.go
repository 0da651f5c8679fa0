package membership

import (
	"hash/fnv"
	"slices"
	"strings"
)

// roll is what is worked out of the members that are not dead, once for each
// change of them: it is asked for with every statement and every packet.
type roll struct {
	all   []Member            // by address, this process included
	peers map[string][]string // the others' addresses, by role
	near  []string            // addresses of this role in this zone, this process's too
	sums  [parts]uint32       // of the addresses in each part
}

// parts is how many parts members are compared in: who differs in one is told
// that part, not all.
const parts = 16

// partOf returns the part that an address belongs to, and its share of the
// part's sum.
func partOf(addr string) (part int, sum uint32) {
	h := fnv.New64a()
	h.Write([]byte(addr))
	n := h.Sum64()
	return int(n % parts), uint32(n >> 32)
}

// now returns the roll, which is not to be changed.
func (r *Ring) now() *roll {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roll != nil {
		return r.roll
	}
	n := &roll{all: []Member{r.self}, peers: map[string][]string{}}
	for _, e := range r.members {
		if e.Status != Dead {
			n.all = append(n.all, e.Member)
		}
	}
	slices.SortFunc(n.all, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	for _, m := range n.all {
		part, sum := partOf(m.Addr)
		n.sums[part] ^= sum
		if m.Role == r.self.Role && m.Zone == r.self.Zone {
			n.near = append(n.near, m.Addr)
		}
		if m.Addr != r.self.Addr {
			n.peers[m.Role] = append(n.peers[m.Role], m.Addr)
		}
	}
	for role, addrs := range n.peers {
		n.peers[role] = slices.Clip(addrs) // appending to it makes a copy
	}
	r.roll = n
	return n
}

// Members lists all that are not dead, this process included. The list is not
// to be changed.
func (r *Ring) Members() []Member { return r.now().all }

// Peers lists the inner addresses of the others with the role. The list is not
// to be changed.
func (r *Ring) Peers(role string) []string { return r.now().peers[role] }

// Near lists the inner addresses of this role in this zone, in order, with this
// process's own. The list is not to be changed.
func (r *Ring) Near() []string { return r.now().near }
