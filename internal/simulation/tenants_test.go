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

// withTenants is the world's configuration with tenants, and a route that needs no
// key.
func (w *World) withTenants(rev int64, tenants ...routeconfig.Tenant) []byte {
	var c routeconfig.Configuration
	if err := json.Unmarshal(w.Configuration(rev), &c); err != nil {
		w.T.Fatalf("configuration: %v", err)
	}
	open := c.Routes[0]
	open.Name, open.Host, open.Public = "open", "open.ledger", true
	c.Routes = append(c.Routes, open)
	c.Tenants = tenants
	raw, err := json.Marshal(c)
	if err != nil {
		w.T.Fatalf("configuration: %v", err)
	}
	return raw
}

// put has a configuration taken, and waits until every pooler has it.
func (w *World) put(base int64, body []byte) {
	w.T.Helper()
	var c routeconfig.Configuration
	if err := json.Unmarshal(body, &c); err != nil {
		w.T.Fatalf("configuration: %v", err)
	}
	w.Until("a configuration is taken", 3*time.Second, func() bool { return w.Replace(1, base, body) == 200 })
	w.Until("every pooler has it", time.Second, func() bool { return w.taken(c.Rev) })
}

func (w *World) loginAs(zone int, database, key string) (*Session, string) {
	return standin.LoginAs(w.clients(zone), ip(zone)+":8784", database, key)
}

// as opens a session of a tenant.
func (w *World) as(g *Group, zone int, key, tenant string) *Session {
	w.T.Helper()
	s, code := w.loginAs(zone, "p.ledger", key)
	if s == nil {
		w.T.Fatalf("a session of %s: %s", tenant, code)
	}
	g.SetSessionTenant(s.Name, tenant)
	return s
}

func tenant(name string, keys ...string) routeconfig.Tenant {
	return routeconfig.Tenant{Name: name, Keys: keys}
}

// Keys decide who a client is, at each operation: one that is unknown is denied, one
// that is taken away from a connected client too, and an open transaction ends with it.
// Databases are told the tenant's name, on connections of that tenant alone.
func TestTenants(t *testing.T) {
	play(t, func(w *World, g *Group) {
		w.put(1, w.withTenants(2, tenant("ann", "key-a1", "key-a2"), tenant("bob", "key-b")))
		if _, code := w.loginAs(1, "p.ledger", "key-x"); code != lineprotocol.Denied {
			t.Errorf("an unknown key: %q", code)
		}
		if s, code := w.loginAs(1, "open.ledger", "key-x"); s == nil {
			t.Errorf("a public route: %q", code)
		} else if a, _ := s.Query("PUT open 1"); a.Code != "" {
			t.Errorf("a public route: %s %s", a.Code, a.Text)
		}
		ann, other, bob := w.as(g, 1, "key-a1", "ann"), w.as(g, 1, "key-a2", "ann"), w.as(g, 1, "key-b", "bob")
		for i := range 30 {
			for _, s := range []*Session{ann, bob, other} {
				if a, _ := s.Query(fmt.Sprintf("PUT %s %d", s.Name, i)); a.Code != "" {
					t.Fatalf("%s %s", a.Code, a.Text)
				}
			}
		}
		other.Query("BEGIN")
		if a, _ := other.Query("PUT x 1"); a.Code != "" {
			t.Fatalf("in a transaction: %s", a.Code)
		}
		w.put(2, w.withTenants(3, tenant("ann", "key-a1", "key-a3"), tenant("bob", "key-b")))
		if a, _ := other.Query("PUT x 2"); a.Code != lineprotocol.RolledBack {
			t.Errorf("a transaction whose key is gone: %q", a.Code)
		}
		for _, text := range []string{"FETCH x", "BEGIN", "PUT x 3"} {
			if a, _ := other.Query(text); a.Code != lineprotocol.Denied || a.State != 'I' {
				t.Errorf("%s under a key that is gone: %q %c", text, a.Code, a.State)
			}
		}
		for _, s := range []*Session{ann, bob, w.as(g, 2, "key-a3", "ann")} {
			if a, _ := s.Query("PUT y 1"); a.Code != "" {
				t.Errorf("a key that holds: %s %s", a.Code, a.Text)
			}
		}
		// A key may become another tenant's.
		bob.Query("BEGIN")
		bob.Query("PUT z 1")
		w.put(3, w.withTenants(4, tenant("ann", "key-a1"), tenant("cid", "key-b")))
		if a, _ := bob.Query("COMMIT"); a.Code != lineprotocol.RolledBack {
			t.Errorf("a transaction whose key became another's: %q", a.Code)
		}
		g.SetSessionTenant(bob.Name, "cid")
		if a, _ := bob.Query("PUT z 2"); a.Code != "" {
			t.Errorf("under its new tenant: %s %s", a.Code, a.Text)
		}
	})
}

// Many tenants share few connections: those that rest make place, and no statement
// runs on one of another tenant.
func TestManyTenantsOnFewConnections(t *testing.T) {
	play(t, func(w *World, g *Group) {
		var tenants []routeconfig.Tenant
		for i := range 40 {
			tenants = append(tenants, tenant(fmt.Sprint("t", i), fmt.Sprint("key-", i)))
		}
		w.MaxConns = 18 // four poolers: four connections each
		w.put(1, w.withTenants(2, tenants...))
		done := make(chan int)
		for i := range tenants {
			go func() {
				s := w.as(g, 1+i%2, fmt.Sprint("key-", i), fmt.Sprint("t", i))
				served := 0
				for n := range 10 {
					if a, _ := s.Query(fmt.Sprintf("PUT thing%d %d", i, n)); a.Code == "" {
						served++
					}
					time.Sleep(50 * time.Millisecond)
				}
				done <- served
			}()
		}
		for range tenants {
			if served := <-done; served < 9 {
				t.Errorf("a tenant was served %d of 10 times", served)
			}
		}
		evicted := int64(0)
		for z := 1; z <= 4; z++ {
			evicted += w.Process("pooler", z).Kernel.Counters.Snapshot()["connpool.evicted"]
		}
		if evicted == 0 {
			t.Error("no connection made place")
		}
	})
}

// RevokedInTime: where a key that was taken away must not be served by any node, one
// that is cut off from everything stops in time, and serves again once it knows.
func TestRevokedInTime(t *testing.T) {
	play(t, func(w *World, g *Group) {
		w.Process("pooler", 4).Kill()
		w.Settings = "bounds.revoke_global=true\nbounds.revoke_ms=5000\n"
		w.Start("pooler", 4, false)
		w.put(1, w.withTenants(2, tenant("ann", "key-a"), tenant("bob", "key-b")))
		ann, bob := w.as(g, 4, "key-a", "ann"), w.as(g, 4, "key-b", "bob")
		for _, s := range []*Session{ann, bob} {
			if a, _ := s.Query("FETCH x"); a.Code != "" {
				t.Fatalf("%s %s", a.Code, a.Text)
			}
		}
		for z := 1; z <= 3; z++ {
			w.Net.Cut(ip(4), ip(z), true)
		}
		w.Process("control", 4).Kill()
		changed := w.Replace(1, 2, w.withTenants(3, tenant("bob", "key-b")))
		if changed != 200 {
			t.Fatalf("the change: %d", changed)
		}
		time.Sleep(5 * time.Second)
		for name, s := range map[string]*Session{"taken away": ann, "that holds": bob} {
			if a, _ := s.Query("FETCH x"); a.Code != lineprotocol.Retry {
				t.Errorf("a key %s, at a node that can't know: %q", name, a.Code)
			}
		}
		for z := 1; z <= 3; z++ {
			w.Net.Cut(ip(4), ip(z), false)
		}
		w.Until("the key that holds is served again", 5*time.Second, func() bool { a, _ := bob.Query("FETCH x"); return a.Code == "" })
		if a, _ := ann.Query("FETCH x"); a.Code != lineprotocol.Denied {
			t.Errorf("the key that was taken away: %q", a.Code)
		}
		w.Start("control", 4, false)
	})
}

// Keys are in no log, no status and no news to carriers.
func TestKeysAreNotTold(t *testing.T) {
	const key = "a-very-secret-key"
	play(t, func(w *World, g *Group) {
		var logged bytes.Buffer
		w.Logged = &logged
		w.Process("pooler", 1).Kill()
		w.Start("pooler", 1, false)
		w.put(1, w.withTenants(2, tenant("ann", key)))
		s := w.as(g, 1, key, "ann")
		s.Query("PUT x 1")
		bad := w.withTenants(3, tenant("ann", key), tenant("bob", key))
		code, answer := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(1)+":8782", "/Conf.Replace", map[string]string{"X-Indigowalk-Base-Version": "2"}, bad)
		if code != 400 || !strings.Contains(string(answer), "tenants[1].api_keys[0]") {
			t.Errorf("two tenants with one key: %d %s", code, answer)
		}
		raw, err := json.Marshal(w.ask())
		if err != nil {
			t.Fatal(err)
		}
		for what, text := range map[string]string{"the log": logged.String(), "the status": string(raw), "an answer": string(answer)} {
			if strings.Contains(text, key) {
				t.Errorf("the key is in %s", what)
			}
		}
		if !strings.Contains(string(raw), `"ann"`) {
			t.Error("the status does not tell the tenant")
		}
	})
}
