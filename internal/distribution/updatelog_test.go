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

// A proxy is sent the changes since the state that it has, and the full state only if those
// changes are no longer known.
func TestUpdateSinceSequence(t *testing.T) {
	log := newUpdateLog(1)
	state := controlstate.State{Epoch: 3, Seq: 10}.WithoutRevisions()
	put := func(key, raw string) {
		if raw == "" {
			raw = "null"
		}
		state = state.With(map[string]json.RawMessage{key: json.RawMessage(raw)})
	}
	since := func(seq int64) (got update, size int, urgent bool) {
		t.Helper()
		raw, urgent, err := log.since(state, seq)
		if err != nil {
			t.Fatal(err)
		}
		if raw != nil {
			if err := json.Unmarshal(raw, &got); err != nil {
				t.Fatal(err)
			}
		}
		return got, len(raw), urgent
	}
	for i := range 90 {
		id := fmt.Sprint("i-", i)
		put(discovery.Key(id), fmt.Sprintf(`{"id":%q,"svc":"s%d","address":"10.1.64.%d:8000","zone":"z","slots":7}`, id, i/3, i))
	}
	full, fullSize, urgent := since(5)
	if !full.Full || len(full.Databases) != 90 || !urgent {
		t.Fatalf("full %v with %d databases, urgent %v", full.Full, len(full.Databases), urgent)
	}
	seqBefore := state.Seq
	if _, size, _ := since(seqBefore); size != 0 {
		t.Errorf("an update of %d bytes for a proxy that is up to date", size)
	}
	put("carrier/d1", "17")
	if _, size, _ := since(seqBefore); size != 0 {
		t.Errorf("an update of %d bytes because another proxy was registered", size)
	}
	put(discovery.Key("i-3"), `{"id":"i-3","svc":"s1","draining":true}`)
	put(discovery.Key("i-4"), "")
	got, size, urgent := since(seqBefore)
	if got.Full || len(got.Databases) != 1 || !got.Databases["i-3"].Draining || len(got.Removed) != 1 || urgent {
		t.Errorf("changes of two databases: %+v, urgent %v", got, urgent)
	}
	if size > fullSize/20 {
		t.Errorf("%d bytes for two changes, %d for the full state", size, fullSize)
	}
	put(failover.LeaderKey("s1"), `{"svc":"s1","id":"i-5","moving":true,"turn":1}`)
	if got, _, urgent := since(state.Seq - 1); !urgent || !got.Leaders["s1"].FailoverInProgress || len(got.Databases) != 0 {
		t.Errorf("change of a failover: %+v, urgent %v", got, urgent)
	}
	// The first change after a pause as primary must not be taken for no change.
	if got, _, _ := since(seqBefore); len(got.Leaders) != 1 || len(got.Databases) != 1 {
		t.Errorf("update with all changes: %+v", got)
	}
}

// A new primary that has followed the changes sends a proxy only the changes that it lacks, not
// the full state: hundreds of proxies find the new primary at the same time.
func TestUpdateFromNewPrimaryIsIncremental(t *testing.T) {
	entry := func(rev int, hosts ...string) json.RawMessage {
		var routes []string
		for _, host := range hosts {
			routes = append(routes, fmt.Sprintf(`{"name":%[1]q,"host":%[1]q,"path_prefix":"/","type":"bounded","deadline_ms":9,"svc":"s"}`, host))
		}
		return json.RawMessage(fmt.Sprintf(`{"rev":%d,"body":{"rev":%d,"routes":[%s],"services":[{"name":"s"}]}}`, rev, rev, strings.Join(routes, ",")))
	}
	state := controlstate.State{Epoch: 3, Seq: 10}.WithoutRevisions()
	for i := range 90 {
		id := fmt.Sprint("i-", i)
		state = state.With(map[string]json.RawMessage{discovery.Key(id): json.RawMessage(fmt.Sprintf(`{"id":%q,"svc":"s"}`, id))})
	}
	state = state.With(map[string]json.RawMessage{routeconfig.Key: entry(1, "a", "b")})
	oldSeq := state.Seq
	old, _, err := newUpdateLog(1).since(state, 0)
	if err != nil {
		t.Fatal(err)
	}
	var first update
	if err := json.Unmarshal(old, &first); err != nil {
		t.Fatal(err)
	}
	state = state.With(map[string]json.RawMessage{routeconfig.Key: entry(2, "b", "c")})
	raw, _, err := newUpdateLog(2).since(state, oldSeq)
	if err != nil {
		t.Fatal(err)
	}
	var got update
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	if got.Full || len(got.Databases) != 0 || got.Config == nil {
		t.Fatalf("update of %d bytes, full state of %d: %+v", len(raw), len(old), got)
	}
	index := (*routeconfig.Index)(nil).Apply(first.Config).Apply(got.Config)
	for host, want := range map[string]bool{"a": false, "b": true, "c": true} {
		if route, _ := index.Find(host); (route != nil) != want {
			t.Errorf("route %s was found: %v", host, route != nil)
		}
	}
}
