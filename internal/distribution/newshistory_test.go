package distribution

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/routeconfig"
)

// A pooler is told what changed since what it has, and everything only if what
// came before is not known any more.
func TestNewsSinceASequence(t *testing.T) {
	e := newNewsHistory(1)
	state := controlstate.State{Epoch: 3, Seq: 10}.WithoutRevisions()
	put := func(key, raw string) {
		if raw == "" {
			raw = "null"
		}
		state = state.With(map[string]json.RawMessage{key: json.RawMessage(raw)})
	}
	since := func(seq int64) (n news, size int, urgent bool) {
		t.Helper()
		raw, urgent, err := e.since(state, seq)
		if err != nil {
			t.Fatal(err)
		}
		if raw != nil {
			if err := json.Unmarshal(raw, &n); err != nil {
				t.Fatal(err)
			}
		}
		return n, len(raw), urgent
	}
	for i := range 90 {
		id := fmt.Sprint("i-", i)
		put(discovery.Key(id), fmt.Sprintf(`{"id":%q,"svc":"s%d","address":"10.1.64.%d:8000","zone":"z","slots":7}`, id, i/3, i))
	}
	whole, all, urgent := since(5)
	if !whole.Whole || len(whole.Databases) != 90 || !urgent {
		t.Fatalf("whole %v with %d databases, urgent %v", whole.Whole, len(whole.Databases), urgent)
	}
	at := state.Seq
	if _, size, _ := since(at); size != 0 {
		t.Errorf("%d bytes of news for a pooler that has all", size)
	}
	put("carrier/d1", "17")
	if _, size, _ := since(at); size != 0 {
		t.Errorf("%d bytes of news because another pooler was registered", size)
	}
	put(discovery.Key("i-3"), `{"id":"i-3","svc":"s1","draining":true}`)
	put(discovery.Key("i-4"), "")
	n, size, urgent := since(at)
	if n.Whole || len(n.Databases) != 1 || !n.Databases["i-3"].Draining || len(n.Gone) != 1 || urgent {
		t.Errorf("changes of two databases: %+v, urgent %v", n, urgent)
	}
	if size > all/20 {
		t.Errorf("%d bytes for two changes, of %d for everything", size, all)
	}
	put(failover.Key("s1"), `{"svc":"s1","id":"i-5","moving":true,"turn":1}`)
	if n, _, urgent := since(state.Seq - 1); !urgent || !n.Leads["s1"].Moving || len(n.Databases) != 0 {
		t.Errorf("a move of a lead: %+v, urgent %v", n, urgent)
	}
	// The first change after a pause as primary is not taken for none.
	if n, _, _ := since(at); len(n.Leads) != 1 || len(n.Databases) != 1 {
		t.Errorf("all changes since: %+v", n)
	}
}

// A new primary that has followed the changes tells what a pooler lacks, not all
// there is: hundreds of poolers find it at the same time.
func TestNewsOfAnotherPrimary(t *testing.T) {
	conf := func(rev int, hosts ...string) json.RawMessage {
		var routes []string
		for _, h := range hosts {
			routes = append(routes, fmt.Sprintf(`{"name":%[1]q,"host":%[1]q,"path_prefix":"/","type":"bounded","deadline_ms":9,"svc":"s"}`, h))
		}
		return json.RawMessage(fmt.Sprintf(`{"rev":%d,"body":{"rev":%d,"routes":[%s],"services":[{"name":"s"}]}}`, rev, rev, strings.Join(routes, ",")))
	}
	state := controlstate.State{Epoch: 3, Seq: 10}.WithoutRevisions()
	for i := range 90 {
		id := fmt.Sprint("i-", i)
		state = state.With(map[string]json.RawMessage{discovery.Key(id): json.RawMessage(fmt.Sprintf(`{"id":%q,"svc":"s"}`, id))})
	}
	state = state.With(map[string]json.RawMessage{routeconfig.Key: conf(1, "a", "b")})
	had := state.Seq
	old, _, err := newNewsHistory(1).since(state, 0)
	if err != nil {
		t.Fatal(err)
	}
	var first news
	if err := json.Unmarshal(old, &first); err != nil {
		t.Fatal(err)
	}
	state = state.With(map[string]json.RawMessage{routeconfig.Key: conf(2, "b", "c")})
	raw, _, err := newNewsHistory(2).since(state, had)
	if err != nil {
		t.Fatal(err)
	}
	var n news
	if err := json.Unmarshal(raw, &n); err != nil {
		t.Fatal(err)
	}
	if n.Whole || len(n.Databases) != 0 || n.Config == nil {
		t.Fatalf("%d bytes of %d: %+v", len(raw), len(old), n)
	}
	x := (*routeconfig.Index)(nil).Next(first.Config).Next(n.Config)
	for host, there := range map[string]bool{"a": false, "b": true, "c": true} {
		if r, _ := x.Find(host); (r != nil) != there {
			t.Errorf("route %s is there: %v", host, r != nil)
		}
	}
}
