package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/standin"
)

// configurationWithTenants returns the world's configuration with tenants and a public route, which
// needs no API key.
func (w *World) configurationWithTenants(rev int64, tenants ...routeconfig.Tenant) []byte {
	var config routeconfig.Configuration
	if err := json.Unmarshal(w.Configuration(rev), &config); err != nil {
		w.T.Fatalf("configuration: %v", err)
	}
	publicRoute := config.Routes[0]
	publicRoute.Name, publicRoute.Host, publicRoute.Public = "open", "open.ledger", true
	config.Routes = append(config.Routes, publicRoute)
	config.Tenants = tenants
	raw, err := json.Marshal(config)
	if err != nil {
		w.T.Fatalf("configuration: %v", err)
	}
	return raw
}

// replaceAndAwait replaces version base of the configuration and waits until every pooler has the
// new version.
func (w *World) replaceAndAwait(base int64, body []byte) {
	w.T.Helper()
	var config routeconfig.Configuration
	if err := json.Unmarshal(body, &config); err != nil {
		w.T.Fatalf("configuration: %v", err)
	}
	w.WaitUntil("the configuration is accepted", 3*time.Second, func() bool { return w.Replace(1, base, body) == 200 })
	w.WaitUntil("every pooler has the new configuration", time.Second, func() bool { return w.poolersHaveVersion(config.Rev) })
}

// loginWithKey opens a session with an API key; if that fails, it returns the error code.
func (w *World) loginWithKey(zone int, database, key string) (*Session, string) {
	return standin.LoginAs(w.clientHost(zone), ip(zone)+":8784", database, key)
}

// sessionWithKey opens a session with a tenant's API key at a zone's pooler, and fails the test if
// that is refused.
func (w *World) sessionWithKey(g *Group, zone int, key, tenant string) *Session {
	w.T.Helper()
	s, code := w.loginWithKey(zone, "p.ledger", key)
	if s == nil {
		w.T.Fatalf("opening a session of tenant %s: %s", tenant, code)
	}
	g.SetSessionTenant(s.Name, tenant)
	return s
}

func newTenant(name string, keys ...string) routeconfig.Tenant {
	return routeconfig.Tenant{Name: name, Keys: keys}
}

// The API key determines the tenant at each operation. An unknown key is denied, and so is one that
// is revoked while a client with it is connected; the client's open transaction is rolled back.
// Databases receive the tenant's name, on connections that serve only that tenant.
func TestTenantKeys(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		w.replaceAndAwait(1, w.configurationWithTenants(2, newTenant("ann", "key-a1", "key-a2"), newTenant("bob", "key-b")))
		if _, code := w.loginWithKey(1, "p.ledger", "key-x"); code != lineprotocol.Denied {
			t.Errorf("login with an unknown key: %q", code)
		}
		if session, code := w.loginWithKey(1, "open.ledger", "key-x"); session == nil {
			t.Errorf("login on a public route: %q", code)
		} else if answer, _ := session.Query("PUT open 1"); answer.Code != "" {
			t.Errorf("statement on a public route: %s %s", answer.Code, answer.Text)
		}
		ann1, ann2, bob := w.sessionWithKey(g, 1, "key-a1", "ann"), w.sessionWithKey(g, 1, "key-a2", "ann"), w.sessionWithKey(g, 1, "key-b", "bob")
		for i := range 30 {
			for _, session := range []*Session{ann1, bob, ann2} {
				if answer, _ := session.Query(fmt.Sprintf("PUT %s %d", session.Name, i)); answer.Code != "" {
					t.Fatalf("%s %s", answer.Code, answer.Text)
				}
			}
		}
		ann2.Query("BEGIN")
		if answer, _ := ann2.Query("PUT x 1"); answer.Code != "" {
			t.Fatalf("statement in a transaction: %s", answer.Code)
		}
		w.replaceAndAwait(2, w.configurationWithTenants(3, newTenant("ann", "key-a1", "key-a3"), newTenant("bob", "key-b")))
		if answer, _ := ann2.Query("PUT x 2"); answer.Code != lineprotocol.RolledBack {
			t.Errorf("transaction with a revoked key: %q", answer.Code)
		}
		for _, statement := range []string{"FETCH x", "BEGIN", "PUT x 3"} {
			if answer, _ := ann2.Query(statement); answer.Code != lineprotocol.Denied || answer.State != 'I' {
				t.Errorf("%s with a revoked key: %q in state %c", statement, answer.Code, answer.State)
			}
		}
		for _, session := range []*Session{ann1, bob, w.sessionWithKey(g, 2, "key-a3", "ann")} {
			if answer, _ := session.Query("PUT y 1"); answer.Code != "" {
				t.Errorf("statement with a valid key: %s %s", answer.Code, answer.Text)
			}
		}
		// A key may be reassigned to another tenant.
		bob.Query("BEGIN")
		bob.Query("PUT z 1")
		w.replaceAndAwait(3, w.configurationWithTenants(4, newTenant("ann", "key-a1"), newTenant("cid", "key-b")))
		if answer, _ := bob.Query("COMMIT"); answer.Code != lineprotocol.RolledBack {
			t.Errorf("transaction whose key was reassigned: %q", answer.Code)
		}
		g.SetSessionTenant(bob.Name, "cid")
		if answer, _ := bob.Query("PUT z 2"); answer.Code != "" {
			t.Errorf("statement for the key's new tenant: %s %s", answer.Code, answer.Text)
		}
	})
}

// Many tenants share few connections: idle ones are evicted for other tenants, and no statement
// runs on a connection of another tenant.
func TestManyTenantsOnFewConnections(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		var tenants []routeconfig.Tenant
		for i := range 40 {
			tenants = append(tenants, newTenant(fmt.Sprint("t", i), fmt.Sprint("key-", i)))
		}
		w.MaxConns = 18 // four poolers: four connections each
		w.replaceAndAwait(1, w.configurationWithTenants(2, tenants...))
		done := make(chan int)
		for i := range tenants {
			go func() {
				session := w.sessionWithKey(g, 1+i%2, fmt.Sprint("key-", i), fmt.Sprint("t", i))
				served := 0
				for n := range 10 {
					if answer, _ := session.Query(fmt.Sprintf("PUT thing%d %d", i, n)); answer.Code == "" {
						served++
					}
					time.Sleep(50 * time.Millisecond)
				}
				done <- served
			}()
		}
		for range tenants {
			if served := <-done; served < 9 {
				t.Errorf("a tenant was served only %d of 10 times", served)
			}
		}
		evicted := int64(0)
		for z := 1; z <= 4; z++ {
			evicted += w.Process("pooler", z).Kernel.Counters.Snapshot()["connpool.evicted"]
		}
		if evicted == 0 {
			t.Error("no idle connection was evicted")
		}
	})
}

// Guards the invariant RevokedInTime where no node may serve a revoked key (bounds.revoke_global):
// a pooler that is partitioned from all control nodes stops serving in time, and serves again once
// it has the configuration.
func TestRevokedInTime(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		w.Process("pooler", 4).Kill()
		w.Settings = "bounds.revoke_global=true\nbounds.revoke_ms=5000\n"
		w.Start("pooler", 4, false)
		w.replaceAndAwait(1, w.configurationWithTenants(2, newTenant("ann", "key-a"), newTenant("bob", "key-b")))
		ann, bob := w.sessionWithKey(g, 4, "key-a", "ann"), w.sessionWithKey(g, 4, "key-b", "bob")
		for _, session := range []*Session{ann, bob} {
			if answer, _ := session.Query("FETCH x"); answer.Code != "" {
				t.Fatalf("%s %s", answer.Code, answer.Text)
			}
		}
		for z := 1; z <= 3; z++ {
			w.Net.SetPartitioned(ip(4), ip(z), true)
		}
		w.Process("control", 4).Kill()
		code := w.Replace(1, 2, w.configurationWithTenants(3, newTenant("bob", "key-b")))
		if code != 200 {
			t.Fatalf("revoking the key: %d", code)
		}
		time.Sleep(5 * time.Second)
		for name, session := range map[string]*Session{"revoked": ann, "valid": bob} {
			if answer, _ := session.Query("FETCH x"); answer.Code != lineprotocol.Retry {
				t.Errorf("%s key at a partitioned pooler: %q", name, answer.Code)
			}
		}
		for z := 1; z <= 3; z++ {
			w.Net.SetPartitioned(ip(4), ip(z), false)
		}
		w.WaitUntil("the valid key is served again", 5*time.Second, func() bool { answer, _ := bob.Query("FETCH x"); return answer.Code == "" })
		if answer, _ := ann.Query("FETCH x"); answer.Code != lineprotocol.Denied {
			t.Errorf("revoked key after the partition: %q", answer.Code)
		}
		w.Start("control", 4, false)
	})
}

// API keys appear in no log, no status report, no error response and no update to poolers.
func TestKeysAreNotDisclosed(t *testing.T) {
	const key = "a-very-secret-key"
	withCluster(t, func(w *World, g *Group) {
		var logged bytes.Buffer
		w.LogOutput = &logged
		w.Process("pooler", 1).Kill()
		w.Start("pooler", 1, false)
		w.replaceAndAwait(1, w.configurationWithTenants(2, newTenant("ann", key)))
		session := w.sessionWithKey(g, 1, key, "ann")
		session.Query("PUT x 1")
		duplicateKey := w.configurationWithTenants(3, newTenant("ann", key), newTenant("bob", key))
		code, answer := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(1)+":8782", "/Conf.Replace", map[string]string{"X-Indigowalk-Base-Version": "2"}, duplicateKey)
		if code != 400 || !strings.Contains(string(answer), "tenants[1].api_keys[0]") {
			t.Errorf("configuration with the same key for two tenants: %d %s", code, answer)
		}
		reports, err := json.Marshal(w.collectReports())
		if err != nil {
			t.Fatal(err)
		}
		for place, text := range map[string]string{"the log": logged.String(), "the status": string(reports), "the error response": string(answer)} {
			if strings.Contains(text, key) {
				t.Errorf("the key appears in %s", place)
			}
		}
		if !strings.Contains(string(reports), `"ann"`) {
			t.Error("the status does not name the tenant")
		}
	})
}
