package routeconfig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// tenantConf returns a configuration with one route and the given tenants, as JSON.
func configWithTenants(tenants string) []byte {
	return fmt.Appendf(nil, `{"rev":2,"routes":[{"name":"r","host":"h","path_prefix":"/","type":"primary","svc":"s","deadline_ms":9}],"services":[{"name":"s"}],"tenants":%s}`, tenants)
}

func TestTenantValidation(t *testing.T) {
	for tenants, want := range map[string]string{
		`[]`: "",
		`[{"name":"a","api_keys":["k1","k2"],"rate_per_s":5,"burst":0},{"name":"b","api_keys":[]}]`: "",
		`[{"name":"a","api_keys":["k1","k1"]}]`:                                                     "",
		`[{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k1"]}]`:                           "tenants[1].api_keys[0]: is a key of another tenant too",
		`[{"name":"a","api_keys":["k1"]},{"name":"a","api_keys":["k2"]}]`:                           "tenants[1].name: is there twice",
		`[{"api_keys":["k1"]}]`:                                             "tenants[0].name: fails required",
		`[{"name":"a","api_keys":[""]}]`:                                    "tenants[0].api_keys[0]: is empty",
		`[{"name":"a","rate_per_s":-1}]`:                                    "tenants[0].rate_per_s: fails gte=0",
		`[{"name":"a","burst":-1}]`:                                         "tenants[0].burst: fails gte=0",
		`[{"name":"a","prio":-1}]`:                                          "tenants[0].prio: fails gte=0",
		`[{"name":"a","rate_per_s":1e12}]`:                                  "tenants[0]: has a rate_per_s or burst over 1000000000",
		`[{"name":"a","rate_per_s":"many"}]`:                                "has the wrong type",
		"[" + strings.Repeat(`{"name":"a"},`, maxTenants) + `{"name":"a"}]`: "tenants: are over 10000",
	} {
		_, fieldErrors := Parse(configWithTenants(tenants))
		var text []string
		for _, f := range fieldErrors {
			text = append(text, f.Error())
		}
		got := strings.Join(text, "\n")
		if want == "" && got != "" || !strings.Contains(got, want) {
			t.Errorf("%.80s: errors %.200q", tenants, got)
		}
		if strings.Contains(got, "k1") {
			t.Errorf("the errors contain an API key: %q", got)
		}
	}
}

// A proxy that applies deltas, some of them late and combined, has the same tenants as one that
// received the full configuration.
func TestTenantDeltas(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var history History
	var index *Index
	applied := int64(0)
	for seq := int64(1); seq < 200; seq++ {
		config := &Configuration{Rev: seq}
		for i := range 8 {
			if random.IntN(3) > 0 {
				config.Tenants = append(config.Tenants, Tenant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("k", i, random.IntN(2))}, TenantTerms: TenantTerms{RatePerS: float64(random.IntN(2))}})
			}
		}
		history.Advance(config, seq)
		if random.IntN(3) > 0 {
			continue
		}
		raw, err := json.Marshal(history.Since(applied, applied == 0))
		if err != nil {
			t.Fatal(err)
		}
		var delta Delta
		if err := json.Unmarshal(raw, &delta); err != nil {
			t.Fatal(err)
		}
		index, applied = index.Apply(&delta), seq
		if len(index.Tenants()) != len(config.Tenants) {
			t.Fatalf("at %d: %d tenants, want %d", seq, len(index.Tenants()), len(config.Tenants))
		}
		for _, want := range config.Tenants {
			got := index.Tenant(DigestOf(want.Keys[0]))
			if got == nil || got.Name != want.Name || got.TenantTerms != want.TenantTerms || len(got.Keys) != 1 {
				t.Fatalf("at %d: %+v, want %+v", seq, got, want)
			}
		}
		if index.Tenant(DigestOf("k-none")) != nil || strings.Contains(string(raw), `"k0`) {
			t.Fatalf("at %d: an unknown key was found, or the delta contains a key: %s", seq, raw)
		}
	}
}
