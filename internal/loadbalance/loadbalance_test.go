package loadbalance

import (
	"fmt"
	"testing"

	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

func candidates(self int, nodes, sameZone, otherZones int) Candidates {
	s := Candidates{Service: "s", Self: fmt.Sprint("node-", self), Zone: "a", Up: func(string) bool { return true }}
	for i := range nodes {
		s.Peers = append(s.Peers, fmt.Sprint("node-", i))
	}
	for i := range sameZone + otherZones {
		zone := "a"
		if i >= sameZone {
			zone = "b"
		}
		s.Databases = append(s.Databases, discovery.Database{ID: fmt.Sprint("i-", i), Zone: zone, Slots: 2})
	}
	return s
}

// Every database of a zone is used by about the same number of nodes, and a node that
// leaves changes few of the subsets.
func TestSubsetsCoverEvenly(t *testing.T) {
	used := func(nodes int) (by map[string]int, of []map[string]bool) {
		by = map[string]int{}
		for n := range nodes {
			mine := map[string]bool{}
			for _, d := range New(&clock{1}).subsetOf(candidates(n, nodes, 51, 150)).own {
				by[d.ID]++
				mine[d.ID] = true
			}
			of = append(of, mine)
		}
		return by, of
	}
	by, before := used(21)
	if len(by) != 51 {
		t.Fatalf("%d of 51 databases are used", len(by))
	}
	for id, n := range by {
		if n < nodesPerDatabase-1 || n > nodesPerDatabase+2 {
			t.Errorf("%s is used by %d nodes", id, n)
		}
	}
	_, after := used(20)
	moved := 0
	for n, mine := range after {
		for id := range mine {
			if !before[n][id] {
				moved++
			}
		}
	}
	if moved > 20*4 {
		t.Errorf("the removal of one node moves %d of 200 uses", moved)
	}
}

// Slow, failing and hanging databases soon get few requests. A database that all nodes
// reported as bad gets none, even from a node that has not used it.
func TestPickAvoidsBadDatabases(t *testing.T) {
	for name, serve := range map[string]func(r *Balancer, c *clock, id string, began kernel.Micros){
		"slow": func(r *Balancer, c *clock, id string, began kernel.Micros) {
			c.now += 600 * kernel.Millisecond
			r.End("r", id, began, Served)
		},
		"failing": func(r *Balancer, c *clock, id string, began kernel.Micros) { r.End("r", id, began, Failed) },
		"hanging": func(*Balancer, *clock, string, kernel.Micros) {},
	} {
		c := &clock{kernel.Second}
		r, s := New(c), candidates(0, 1, 8, 0)
		bad := 0
		for n := range 400 {
			d, ok := r.Pick("r", s)
			if !ok {
				t.Fatal("no database")
			}
			began := r.Begin(d.ID)
			c.now += 20 * kernel.Millisecond
			if d.ID == "i-3" && n > 100 {
				bad++
				serve(r, c, d.ID, began)
				continue
			}
			c.now += 80 * kernel.Millisecond
			r.End("r", d.ID, began, Served)
		}
		if bad > 20 {
			t.Errorf("%s: %d of 300 requests", name, bad)
		}
	}
	c := &clock{kernel.Second}
	r, s := New(c), candidates(0, 1, 8, 0)
	r.UpdateClusterCosts(map[string]int{"i-3": 900})
	for range 200 {
		if d, _ := r.Pick("r", s); d.ID == "i-3" {
			t.Fatal("the cost reported for all nodes is ignored")
		}
	}
	// If all databases of its subset are down, the node uses the others.
	s = candidates(0, 1, 3, 5)
	s.Up = func(id string) bool { return id == "i-6" }
	if d, ok := r.Pick("r", s); !ok || d.ID != "i-6" {
		t.Errorf("%v %v, and only i-6 is up", d.ID, ok)
	}
}
