package routeconfig

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

const validConfig = `{"rev":7,"routes":[
{"name":"a","host":"h1","path_prefix":"/","type":"primary","deadline_ms":1000,"svc":"s","tries":2,"prio":1},
{"name":"b","host":"h2","path_prefix":"/","type":"bounded","deadline_ms":1000,"svc":"s","tries":2,"prio":2,"stale_ms":1500}],
"services":[{"name":"s","max_conns":96,"sync_replicas":1}],"limits":{"txn_idle_ms":3000},"new_field":1}`

func TestParse(t *testing.T) {
	config, fieldErrors := Parse([]byte(validConfig))
	if fieldErrors != nil || config.Rev != 7 {
		t.Fatalf("parsed %+v, errors %v", config, fieldErrors)
	}
	var history History
	history.Advance(config, 1)
	index := (*Index)(nil).Apply(history.Since(0, true))
	if r, s := index.Find("h2"); r == nil || r.StaleMs != 1500 || s.Name != "s" {
		t.Errorf("h2: %+v %+v", r, s)
	}
	if r, _ := index.Find("h3"); r != nil {
		t.Errorf("h3: %+v", r)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"rev":7`, `"rev":0`, "rev"},
		{`"rev":7`, `"rev":"seven"`, "rev"},
		{`"deadline_ms":1000,"svc":"s","tries":2,"prio":1`, `"deadline_ms":0,"svc":"s","tries":2,"prio":1`, "routes[0].deadline_ms"},
		{`"svc":"s","tries":2,"prio":2`, `"svc":"x","tries":2,"prio":2`, "routes[1].svc"},
		{`"host":"h2"`, `"host":"h1"`, "routes[1].host"},
		{`"stale_ms":1500`, `"stale_ms":1500,"max_stale_ms":900`, "routes[1].max_stale_ms"},
		{`"stale_ms":1500`, `"max_stale_ms":-1`, "routes[1].max_stale_ms"},
		{`"type":"bounded"`, `"type":"some"`, "routes[1].type"},
		{`"new_field":1}`, ``, "body"},
	} {
		body := strings.Replace(validConfig, c.old, c.new, 1)
		parsed, fieldErrors := Parse([]byte(body))
		if parsed != nil || len(fieldErrors) == 0 || fieldErrors[0].Field != c.field {
			t.Errorf("%s: errors %v, want the first in %s", c.new, fieldErrors, c.field)
		}
	}
}

// The maximum staleness can be given as stale_ms or as max_stale_ms.
func TestStalenessFieldAliases(t *testing.T) {
	for _, name := range []string{"stale_ms", "max_stale_ms"} {
		config, fieldErrors := Parse([]byte(strings.Replace(validConfig, "stale_ms", name, 1)))
		if fieldErrors != nil {
			t.Fatalf("%s: %v", name, fieldErrors)
		}
		var history History
		history.Advance(config, 1)
		raw, err := json.Marshal(history.Since(0, true))
		if err != nil {
			t.Fatal(err)
		}
		delta := &Delta{}
		if err := json.Unmarshal(raw, delta); err != nil {
			t.Fatal(err)
		}
		if route, _ := (*Index)(nil).Apply(delta).Find("h2"); route == nil || route.MaxStaleness() != 1500*kernel.Millisecond {
			t.Errorf("%s: route %+v, want a maximum staleness of 1500 ms", name, route)
		}
	}
}

// A proxy that applies delta after delta has the same configuration as one that received it in
// full, and the delta of a small change to a large configuration is small.
func TestDeltasMatchFullConfiguration(t *testing.T) {
	config := &Configuration{Rev: 1, Services: []Service{{Name: "s", MaxConns: 96}}}
	for i := range 1900 {
		config.Routes = append(config.Routes, Route{
			Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("host%05d", i), Prefix: "/", Service: "s",
			Manner: Manner{Type: Bounded, DeadlineMs: 4000, TargetMs: 600, Prio: 2, Tries: 2, StaleMs: 1500},
		})
	}
	var history History
	history.Advance(config, 10)
	size := func(v any) int {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(raw)
	}
	fullDelta := history.Since(0, true)
	if size(fullDelta) > size(config)/8 {
		t.Errorf("the full delta has %d bytes, the configuration %d", size(fullDelta), size(config))
	}
	incremental := (*Index)(nil).Apply(fullDelta)
	change := func(seq int64, modify func(next *Configuration)) *Delta {
		next := *config
		next.Rev, next.Routes, next.Services = seq, slices.Clone(config.Routes), slices.Clone(config.Services)
		modify(&next)
		config = &next
		history.Advance(config, seq)
		return history.Since(seq-1, false)
	}
	for _, delta := range []*Delta{
		change(11, func(next *Configuration) { next.Routes[7].DeadlineMs = 3000 }),
		change(12, func(next *Configuration) { next.Routes = next.Routes[:1899]; next.Routes[3].Prefix = "/sub" }),
		change(13, func(next *Configuration) { next.Services[0].MaxConns = 50; next.Limits.TxnIdleMs = 9 }),
	} {
		if size(delta) > 400 {
			t.Errorf("the delta of a small change has %d bytes", size(delta))
		}
		incremental = incremental.Apply(delta)
	}
	full := (*Index)(nil).Apply(history.Since(0, true))
	for i := range 1900 {
		host := fmt.Sprintf("host%05d", i)
		a, s := incremental.Find(host)
		b, _ := full.Find(host)
		if (a == nil) != (b == nil) || a != nil && (!reflect.DeepEqual(a, b) || s.MaxConns != 50) {
			t.Fatalf("%s: %+v by deltas, %+v in full", host, a, b)
		}
	}
	if r, _ := incremental.Find("host00007"); r.DeadlineMs != 3000 || incremental.Limits.TxnIdleMs != 9 || incremental.Rev != 13 {
		t.Errorf("after all deltas: route %+v, limits %+v, version %d", r, incremental.Limits, incremental.Rev)
	}
}

// The longest matching prefix of a host wins, and services are picked by weight.
func TestRouteMatchAndPickService(t *testing.T) {
	body := `{"rev":1,"routes":[
	{"name":"a","host":"h","path_prefix":"/","type":"idempotent","deadline_ms":9,"svc":"s"},
	{"name":"b","host":"h","path_prefix":"/x/","type":"mutating","deadline_ms":9,"weighted":[{"svc":"s","share":90},{"svc":"t","share":10},{"svc":"s","share":0}]},
	{"name":"c","host":"h","path_prefix":"/x/y/","type":"mutating","deadline_ms":8,"svc":"t"}],
	"services":[{"name":"s"},{"name":"t"}]}`
	config, fieldErrors := Parse([]byte(body))
	if fieldErrors != nil {
		t.Fatal(fieldErrors)
	}
	var history History
	history.Advance(config, 1)
	raw, err := json.Marshal(history.Since(0, true))
	if err != nil {
		t.Fatal(err)
	}
	var delta Delta
	if err := json.Unmarshal(raw, &delta); err != nil {
		t.Fatal(err)
	}
	index := (*Index)(nil).Apply(&delta)
	for path, want := range map[string]string{"/": "/", "/xx": "/", "/x/": "/x/", "/x/y": "/x/", "/x/y/z": "/x/y/"} {
		if route := index.Match("h", path); route == nil || route.Prefix != want {
			t.Errorf("%s: route %+v, want the one with prefix %s", path, route, want)
		}
	}
	if index.Match("other", "/") != nil {
		t.Error("a route matches another host")
	}
	route := index.Match("h", "/x/1")
	for point, want := range map[float64]string{0: "s", 0.899: "s", 0.901: "t", 0.9999999999: "t"} {
		if got := route.PickService(point); got != want {
			t.Errorf("point %v: picked %s, want %s", point, got, want)
		}
	}
	for oldText, field := range map[string]string{`"share":90},{"svc":"t","share":10`: "routes[1].weighted", `"svc":"t","share":10`: "routes[1].weighted[1].svc"} {
		invalid := strings.Replace(body, oldText, map[string]string{"routes[1].weighted": `"share":0},{"svc":"t","share":0`, "routes[1].weighted[1].svc": `"svc":"u","share":10`}[field], 1)
		if _, fieldErrors := Parse([]byte(invalid)); len(fieldErrors) != 1 || fieldErrors[0].Field != field {
			t.Errorf("invalid %s: errors %v", field, fieldErrors)
		}
	}
}
