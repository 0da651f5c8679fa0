package loadbalance

import (
	"fmt"
	"testing"

	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// newCandidates returns the candidates of node self, one of the given number of nodes: sameZone
// databases in its zone, a, and otherZones in zone b.
func newCandidates(self int, nodes, sameZone, otherZones int) Candidates {
	out := Candidates{Service: "s", Self: fmt.Sprint("node-", self), Zone: "a", Up: func(string) bool { return true }}
	for i := range nodes {
		out.Peers = append(out.Peers, fmt.Sprint("node-", i))
	}
	for i := range sameZone + otherZones {
		zone := "a"
		if i >= sameZone {
			zone = "b"
		}
		out.Databases = append(out.Databases, discovery.Database{ID: fmt.Sprint("i-", i), Zone: zone, Slots: 2})
	}
	return out
}

// Every database of a zone is used by about the same number of nodes, and when a node leaves,
// the subsets of the others change little.
func TestSubsetsCoverDatabasesEvenly(t *testing.T) {
	subsets := func(nodes int) (usesByDatabase map[string]int, subsetsByNode []map[string]bool) {
		usesByDatabase = map[string]int{}
		for n := range nodes {
			own := map[string]bool{}
			for _, d := range New(&clock{1}).subsetOf(newCandidates(n, nodes, 51, 150)).own {
				usesByDatabase[d.ID]++
				own[d.ID] = true
			}
			subsetsByNode = append(subsetsByNode, own)
		}
		return usesByDatabase, subsetsByNode
	}
	usesByDatabase, before := subsets(21)
	if len(usesByDatabase) != 51 {
		t.Fatalf("%d of 51 databases are used", len(usesByDatabase))
	}
	for id, uses := range usesByDatabase {
		if uses < nodesPerDatabase-1 || uses > nodesPerDatabase+2 {
			t.Errorf("%s is used by %d nodes", id, uses)
		}
	}
	_, after := subsets(20)
	moved := 0
	for n, own := range after {
		for id := range own {
			if !before[n][id] {
				moved++
			}
		}
	}
	if moved > 20*4 {
		t.Errorf("the removal of one node adds %d databases to the subsets of the others, of 200 in all", moved)
	}
}

// Slow, failing and hanging databases soon get few requests. A database with a high cost
// reported for all nodes gets none, even from a node that has not used it.
func TestPickAvoidsBadDatabases(t *testing.T) {
	for name, finish := range map[string]func(b *Balancer, c *clock, id string, start kernel.Micros){
		"slow": func(b *Balancer, c *clock, id string, start kernel.Micros) {
			c.now += 600 * kernel.Millisecond
			b.End("r", id, start, Served)
		},
		"failing": func(b *Balancer, c *clock, id string, start kernel.Micros) { b.End("r", id, start, Failed) },
		"hanging": func(*Balancer, *clock, string, kernel.Micros) {},
	} {
		testClock := &clock{kernel.Second}
		balancer, candidates := New(testClock), newCandidates(0, 1, 8, 0)
		picked := 0
		for n := range 400 {
			d, ok := balancer.Pick("r", candidates)
			if !ok {
				t.Fatal("no database was picked")
			}
			startedAt := balancer.Begin(d.ID)
			testClock.now += 20 * kernel.Millisecond
			// After about 100 requests, i-3 becomes slow, failing or hanging.
			if d.ID == "i-3" && n > 100 {
				picked++
				finish(balancer, testClock, d.ID, startedAt)
				continue
			}
			testClock.now += 80 * kernel.Millisecond
			balancer.End("r", d.ID, startedAt, Served)
		}
		if picked > 20 {
			t.Errorf("the %s database got %d of 300 requests", name, picked)
		}
	}
	testClock := &clock{kernel.Second}
	balancer, candidates := New(testClock), newCandidates(0, 1, 8, 0)
	balancer.UpdateClusterCosts(map[string]int{"i-3": 900})
	for range 200 {
		if d, _ := balancer.Pick("r", candidates); d.ID == "i-3" {
			t.Fatal("the cost reported for all nodes is ignored")
		}
	}
	// If all databases of its subset are down, the node uses the others.
	candidates = newCandidates(0, 1, 3, 5)
	candidates.Up = func(id string) bool { return id == "i-6" }
	if d, ok := balancer.Pick("r", candidates); !ok || d.ID != "i-6" {
		t.Errorf("picked %v (%v), though only i-6 is up", d.ID, ok)
	}
}
