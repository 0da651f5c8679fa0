package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"indigowalk/internal/controlstate"
)

func runCommand(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const recording = `{"indigowalk_recording":1,"node":"n","role":"pooler"}
{"t":1,"k":"health","v":{"kind":"report","db":"a","gen":0}}
{"t":2,"k":"health","v":{"kind":"checked","db":"a","gen":0,"ok":true}}
{"t":3,"k":"health","v":{"kind":"report","db":"a","gen":0}}
{"t":4,"k":"choice","v":{"svc":"s","epoch":3,"situation":{"replicas":2,"sync":1,"copies":[{"id":"x","received":{"Term":1,"Number":4}},{"id":"y","received":{"Term":1,"Number":9}}]},"to":"y"}}
`

const votes = `{"indigowalk_recording":1,"node":"n","role":"control"}
{"t":1,"k":"vote","v":{"kind":"promise","epoch":4,"from":"a","granted":true}}
{"t":2,"k":"vote","v":{"kind":"accept","epoch":4,"from":"a","granted":true}}
`

func TestTools(t *testing.T) {
	settings := "node_name=n\nip=10.1.0.8\nzone=z\nport_range=7440,7455\nseeds=10.1.0.8:8782\n"
	config := `{"rev":3,"routes":[{"name":"r","host":"h","type":"primary","deadline_ms":9,"svc":"s"}],"services":[{"name":"s"}]}`
	store := t.TempDir()
	s, err := controlstate.OpenStore(store)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveState(controlstate.State{Epoch: 1}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	wrongChoice := strings.Replace(recording, `"to":"y"`, `"to":"x"`, 1)
	for _, c := range []struct {
		name       string
		args       []string
		code       int
		wantOutput string
	}{
		{"no command", nil, exitUsage, "indigowalk pooler"},
		{"unknown command", []string{"lend"}, exitUsage, "unknown command"},
		{"help", []string{"help"}, exitClean, "Exit codes"},
		{"a tool's help", []string{"check", "--help"}, exitClean, "check store DIR"},
		{"good settings", []string{"check", "settings", writeFile(t, "a", settings)}, exitClean, "clean"},
		{"two faults", []string{"check", "settings", writeFile(t, "a", strings.Replace(settings, "zone=z\nport_range=7440,7455", "port_range=7440", 1))}, exitFault, "zone: fails required\nport_range: fails len=2"},
		{"the deploy file", []string{"check", "deploy", "../../deploy/system.toml"}, exitClean, "clean"},
		{"a role that serves nowhere", []string{"check", "deploy", writeFile(t, "a", "build='x'\n[roles.a]\nrun='x'\n")}, exitFault, "roles[a].on: fails required"},
		{"config", []string{"check", "config", writeFile(t, "a", config)}, exitClean, "clean"},
		{"config on its own version", []string{"check", "config", writeFile(t, "a", config), "--on", writeFile(t, "b", config)}, exitFault, "rev: 3 is not higher"},
		{"config as JSON", []string{"check", "--json", "config", writeFile(t, "a", `{"rev":`)}, exitFault, `"place": "body"`},
		{"store", []string{"check", "store", store}, exitClean, "clean"},
		{"no store", []string{"check", "store", t.TempDir()}, exitFault, "no store"},
		{"missing file", []string{"check", "config", "nowhere"}, exitFault, "no such file"},
		{"wrong use", []string{"check", "config"}, exitUsage, "indigowalk check"},
		{"replay", []string{"replay", writeFile(t, "a", recording)}, exitClean, "4 records; every rule kept"},
		{"replay shows changes", []string{"replay", writeFile(t, "a", recording)}, exitClean, "2 us: a up, generation 1, after checked"},
		{"replay cut off", []string{"replay", writeFile(t, "a", recording[:len(recording)-9])}, exitClean, "3 records, the last one cut off"},
		{"replay of a broken rule", []string{"replay", writeFile(t, "a", wrongChoice)}, exitFault, "broken at record 4: x was chosen, though y had received more"},
		{"replay of votes", []string{"replay", writeFile(t, "a", votes)}, exitClean, "2 us: epoch 4 of a, accept granted"},
		{"replay of a vote for an old epoch", []string{"replay", writeFile(t, "a", votes+`{"t":3,"k":"vote","v":{"kind":"promise","epoch":4,"from":"b","granted":true}}`+"\n")}, exitFault, "broken at record 3: epoch 4 was promised after epoch 4"},
		{"replay of a foreign file", []string{"replay", writeFile(t, "a", "hello\n")}, exitFault, "not a recording"},
		{"replay of a newer one", []string{"replay", writeFile(t, "a", `{"indigowalk_recording":9}`+"\n")}, exitFault, "reads up to 1"},
		{"quotas", []string{"check", "quota", writeFile(t, "a", recording)}, exitClean, "no window is over a limit"},
		{"quotas of a foreign file", []string{"check", "quota", writeFile(t, "a", "hello\n")}, exitFault, "not a recording"},
		{"status of nobody", []string{"status", "127.0.0.1:1"}, exitFault, "no answer from 127.0.0.1:1"},
		{"plan from a foreign file", []string{"plan", "--view", writeFile(t, "a", "{}"), "restart"}, exitFault, "no reports"},
		{"plan without a source", []string{"plan", "restart"}, exitUsage, "SOURCE"},
	} {
		code, out, errOut := runCommand(c.args...)
		if code != c.code || !strings.Contains(out+errOut, c.wantOutput) {
			t.Errorf("%s: exit %d, said %s%s", c.name, code, out, errOut)
		}
	}
}
