// Package loadbalance picks, for a request, one of many databases that could serve it
// alike. Nodes do not tell each other their loads: each keeps to a few of the
// databases, so that what it sees of them is much of what there is to see.
package loadbalance

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/latency"
)

// How a database's answers weigh: its pace is their time over what is usual on
// their route. What was seen fades, so that one that was slow is tried again.
const (
	paceWeight = 0.12
	mostPace   = 4                 // of one answer: a long one may be the request's own
	fades      = 3 * kernel.Second // to what all nodes say
	toldFades  = 20 * kernel.Second
	illWeight  = 0.3
	illFades   = 3 * kernel.Second
	// illCost is how many requests a database that fails all seems to have.
	illCost = 30
	// fullFor is how long one that said it was full is passed over.
	fullFor = 150 * kernel.Millisecond
	// shared is by how many nodes a database is used.
	shared = 4
	// fewest databases that a node uses, if there are as many.
	fewest = 4
	// awayCost is how many usual answers more another zone is like.
	awayCost = 0.35
	// drawn is how many of its own databases a node compares for a request. To
	// take the best of all would have everyone run to the same ones, which what
	// was seen of them no longer tells.
	drawn = 8
)

type standing struct {
	open   int
	began  []kernel.Micros // of the open ones
	pace   float64
	paceAt kernel.Micros
	ill    float64
	illAt  kernel.Micros
	full   kernel.Micros // until then it takes no more
	seen   kernel.Micros // of the last answer
}

// Balancer remembers how databases have served of late.
type Balancer struct {
	clock kernel.Clock

	mu    sync.Mutex
	of    map[string]*standing
	usual latency.Usual
	lists map[string]list  // by service
	told  map[string]told  // by all nodes
	sight map[string]Sight // since it was last told
}

// told is what a request at a database costs, as all nodes together saw it.
type told struct {
	cost float64
	at   kernel.Micros
}

// Sight is what this node saw of a database: how many answers, the sum of their
// times over what is usual, and how many requests failed.
type Sight struct {
	Answers  int
	Paces    float64
	Failures int
}

// Seen returns what was seen since it was last asked for.
func (r *Balancer) Seen() map[string]Sight {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.sight
	r.sight = map[string]Sight{}
	return seen
}

// Told takes in what all nodes saw, in hundredths of a usual answer.
func (r *Balancer) Told(costs map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for id, c := range costs {
		r.told[id] = told{float64(c) / 100, now}
	}
}

// common is what all nodes say of a database, 1 if nothing.
func (r *Balancer) common(id string, now kernel.Micros) float64 {
	t, ok := r.told[id]
	if !ok {
		return 1
	}
	return faded(t.cost, 1, t.at, now, toldFades)
}

// New returns a load balancer that has seen nothing.
func New(clock kernel.Clock) *Balancer {
	return &Balancer{
		clock: clock, of: map[string]*standing{}, lists: map[string]list{},
		told: map[string]told{}, sight: map[string]Sight{},
	}
}

// Candidates is what a choice is made from.
type Candidates struct {
	Service   string
	Databases []discovery.Database
	Self      string
	Zone      string
	Peers     []string // the nodes of this zone, this one included
	Up        func(id string) bool
	Avoid     []string // tried already
}

// list is the order in which this node looks at a service's databases.
type list struct {
	databases []discovery.Database // that it was made from
	peers     []string
	own       []discovery.Database // of the zone
	away      []discovery.Database // of other zones
	rest      []discovery.Database // all others
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	// FNV alone leaves like ends near each other.
	n := h.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	return n ^ n>>33
}

// listOf returns the node's own databases and the others. Databases and nodes
// of a zone stand in the order of their hashes, and each node has a stretch of
// the databases that begins at its own place: all are covered evenly, and who
// comes or goes moves the stretches by a little.
func (r *Balancer) listOf(s Candidates) list {
	l := r.lists[s.Service]
	if same(l.databases, s.Databases) && slices.Equal(l.peers, s.Peers) {
		return l
	}
	l = list{databases: s.Databases, peers: s.Peers}
	var near, far []discovery.Database
	for _, d := range s.Databases {
		switch {
		case d.Draining:
		case d.Zone == s.Zone:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	if len(near) == 0 {
		near, far = far, nil
	}
	before := 0
	for _, p := range s.Peers {
		if p != s.Self && hash(p) < hash(s.Self) {
			before++
		}
	}
	nodes := max(1, len(s.Peers))
	size := max(fewest, (shared*len(near)+nodes-1)/nodes)
	l.own, l.rest = stretch(near, before*len(near)/nodes, size)
	if len(far) > 0 {
		var others []discovery.Database
		l.away, others = stretch(far, int(hash(s.Self)%uint64(len(far))), (size+1)/2)
		l.rest = append(l.rest, others...)
	}
	r.lists[s.Service] = l
	return l
}

// stretch cuts so many databases out of those in the order of their hashes.
func stretch(all []discovery.Database, start, size int) (in, out []discovery.Database) {
	places := make(map[string]uint64, len(all))
	for _, d := range all {
		places[d.ID] = hash(d.ID)
	}
	slices.SortFunc(all, func(a, b discovery.Database) int { return cmp.Compare(places[a.ID], places[b.ID]) })
	turned := append(slices.Clone(all[start:]), all[:start]...)
	size = min(size, len(all))
	return turned[:size:size], turned[size:]
}

// same tells whether two lists are one: they are never changed in place.
func same(a, b []discovery.Database) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (r *Balancer) standing(id string) *standing {
	st := r.of[id]
	if st == nil {
		st = &standing{pace: 1}
		r.of[id] = st
	}
	return st
}

func faded(v, rest float64, at, now, span kernel.Micros) float64 {
	return rest + (v-rest)*math.Exp(-float64(now-at)/float64(span))
}

// cost is the time to expect, in usual answers.
func (r *Balancer) cost(d discovery.Database, now kernel.Micros, usual float64) float64 {
	st, common := r.of[d.ID], r.common(d.ID, now)
	if st == nil {
		return common
	}
	pace := faded(st.pace, common, st.paceAt, now, fades)
	if len(st.began) > 0 && usual > 0 {
		// One that leaves a request unanswered is at least as slow as that.
		pace = max(pace, float64(now-st.began[0])/usual/2)
	}
	c := pace * (1 + float64(st.open)/float64(max(1, d.Slots)))
	c += illCost * faded(st.ill, 0, st.illAt, now, illFades)
	if now < st.full {
		c += illCost
	}
	return c
}

// Pick returns the database to send to, or false if there is none.
func (r *Balancer) Pick(route string, s Candidates) (discovery.Database, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, usual := r.clock.Now(), r.usual.Of(route)
	l := r.listOf(s)
	var best discovery.Database
	least, found := 0.0, false
	// look takes the better of a few drawn from those that are up, if it is
	// better than what has been found.
	look := func(all []discovery.Database, few int, more float64) {
		at := rand.Perm(len(all))
		for _, i := range at {
			d := all[i]
			if few == 0 {
				return
			}
			if !s.Up(d.ID) || slices.Contains(s.Avoid, d.ID) {
				continue
			}
			few--
			if c := r.cost(d, now, usual) + more; !found || c < least {
				best, least, found = d, c, true
			}
		}
	}
	look(l.own, drawn, 0)
	look(l.away, 1, awayCost)
	for range 2 {
		if !found || least >= illCost/2 {
			look(l.own, len(l.own), 0)
			look(l.rest, drawn, awayCost)
		}
	}
	return best, found
}

// Begin counts a request as under way at a database.
func (r *Balancer) Begin(id string) (began kernel.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.standing(id)
	began = r.clock.Now()
	st.open++
	st.began = append(st.began, began)
	return began
}

// End ends what Begin began. A time counts for the pace only if the answer was
// a success.
func (r *Balancer) End(route, id string, began kernel.Micros, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st, now := r.standing(id), r.clock.Now()
	st.open--
	if i := slices.Index(st.began, began); i >= 0 {
		st.began = slices.Delete(st.began, i, i+1)
	}
	ill := faded(st.ill, 0, st.illAt, now, illFades)
	switch o {
	case Served:
		usual := r.usual.Add(route, now-began, now)
		pace := faded(st.pace, r.common(id, now), st.paceAt, now, fades)
		st.pace = pace + paceWeight*(min(float64(now-began)/max(usual, 1), mostPace)-pace)
		st.paceAt, st.seen = now, now
		see := r.sight[id]
		see.Answers++
		see.Paces += min(float64(now-began)/max(usual, 1), mostPace)
		r.sight[id] = see
		st.ill, st.illAt = ill*(1-illWeight), now
	case Full:
		st.full = now + fullFor
	case Failed:
		st.ill, st.illAt = ill+illWeight*(1-ill), now
		see := r.sight[id]
		see.Failures++
		r.sight[id] = see
	}
}

// Outcome is how a request at a database ended.
type Outcome int

// Outcomes.
const (
	Served Outcome = iota
	Full           // it took nothing and said so
	Failed         // no answer, or one that tells of a fault
	Unused         // it was not sent
)

// Usual is how long an answer of the route usually takes, 0 if none was seen.
func (r *Balancer) Usual(route string) kernel.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	return kernel.Micros(r.usual.Of(route))
}

// Answered is when the database last served a request.
func (r *Balancer) Answered(id string) kernel.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st := r.of[id]; st != nil {
		return st.seen
	}
	return 0
}

// Keep forgets databases that are no more.
func (r *Balancer) Keep(there map[string]discovery.Database) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, st := range r.of {
		if _, ok := there[id]; !ok && st.open == 0 {
			delete(r.of, id)
		}
	}
	for id := range r.told {
		if _, ok := there[id]; !ok {
			delete(r.told, id)
		}
	}
}
