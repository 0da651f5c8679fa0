package catalogue

import (
	"strings"
	"testing"
)

const good = `{"rev":7,"routes":[
{"name":"a","host":"h1","path_prefix":"/","type":"primary","deadline_ms":1000,"svc":"s","tries":2,"prio":1},
{"name":"b","host":"h2","path_prefix":"/","type":"bounded","deadline_ms":1000,"svc":"s","tries":2,"prio":2,"stale_ms":1500}],
"services":[{"name":"s","max_conns":96,"sync_replicas":1}],"limits":{"txn_idle_ms":3000},"new_field":1}`

func TestParse(t *testing.T) {
	c, faults := Parse([]byte(good))
	if faults != nil || c.Rev != 7 {
		t.Fatalf("%+v %v", c, faults)
	}
	if r, s := c.Find("h2"); r == nil || r.Name != "b" || s.Name != "s" {
		t.Errorf("h2: %+v %+v", r, s)
	}
	if r, _ := c.Find("h3"); r != nil {
		t.Errorf("h3: %+v", r)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"rev":7`, `"rev":0`, "rev"},
		{`"rev":7`, `"rev":"seven"`, "rev"},
		{`"deadline_ms":1000,"svc":"s","tries":2,"prio":1`, `"deadline_ms":0,"svc":"s","tries":2,"prio":1`, "routes[0].deadline_ms"},
		{`"svc":"s","tries":2,"prio":2`, `"svc":"x","tries":2,"prio":2`, "routes[1].svc"},
		{`"host":"h2"`, `"host":"h1"`, "routes[1].host"},
		{`"type":"bounded"`, `"type":"some"`, "routes[1].type"},
		{`"new_field":1}`, ``, "body"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		conf, faults := Parse([]byte(text))
		if conf != nil || len(faults) == 0 || faults[0].Field != c.field {
			t.Errorf("%s: %v, want a fault of %s", c.new, faults, c.field)
		}
	}
}
