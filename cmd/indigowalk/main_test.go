package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"indigowalk/internal/controlstate"
)

// runCommand runs the program with the arguments and returns its exit code and what it printed.
func runCommand(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// writeFile writes a file to a temporary folder and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// recording is a pooler's recording of a database that recovers and fails again, and of the choice of
// the replica y, which has received more than x, as primary.
const recording = `{"indigowalk_recording":1,"node":"n","role":"pooler"}
{"t":1,"k":"health","v":{"kind":"report","db":"a","gen":0}}
{"t":2,"k":"health","v":{"kind":"checked","db":"a","gen":0,"ok":true}}
{"t":3,"k":"health","v":{"kind":"report","db":"a","gen":0}}
{"t":4,"k":"choice","v":{"svc":"s","epoch":3,"situation":{"replicas":2,"sync":1,"copies":[{"id":"x","received":{"Term":1,"Number":4}},{"id":"y","received":{"Term":1,"Number":9}}]},"to":"y"}}
`

// votes is a recording of a witness that promised and accepted epoch 4.
const votes = `{"indigowalk_recording":1,"node":"n","role":"control"}
{"t":1,"k":"vote","v":{"kind":"promise","epoch":4,"from":"a","granted":true}}
{"t":2,"k":"vote","v":{"kind":"accept","epoch":4,"from":"a","granted":true}}
`

// Every tool exits with the documented code and prints what it found.
func TestTools(t *testing.T) {
	settings := "node_name=n\nip=10.1.0.8\nzone=z\nport_range=7440,7455\nseeds=10.1.0.8:8782\n"
	config := `{"rev":3,"routes":[{"name":"r","host":"h","type":"primary","deadline_ms":9,"svc":"s"}],"services":[{"name":"s"}]}`
	storeDir := t.TempDir()
	store, err := controlstate.OpenStore(storeDir)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.SaveState(controlstate.State{Epoch: 1}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	wrongChoice := strings.Replace(recording, `"to":"y"`, `"to":"x"`, 1)
	for _, test := range []struct {
		name       string
		args       []string
		code       int
		wantOutput string
	}{
		{"no command", nil, exitUsage, "indigowalk pooler"},
		{"unknown command", []string{"lend"}, exitUsage, "unknown command"},
		{"help", []string{"help"}, exitClean, "Exit codes"},
		{"a tool's help", []string{"check", "--help"}, exitClean, "check store DIR"},
		{"valid settings", []string{"check", "settings", writeFile(t, "a", settings)}, exitClean, "clean"},
		{"settings with two faults", []string{"check", "settings", writeFile(t, "a", strings.Replace(settings, "zone=z\nport_range=7440,7455", "port_range=7440", 1))}, exitFault, "zone: fails required\nport_range: fails len=2"},
		{"the deploy file", []string{"check", "deploy", "../../deploy/system.toml"}, exitClean, "clean"},
		{"a role without a machine class", []string{"check", "deploy", writeFile(t, "a", "build='x'\n[roles.a]\nrun='x'\n")}, exitFault, "roles[a].on: fails required"},
		{"config", []string{"check", "config", writeFile(t, "a", config)}, exitClean, "clean"},
		{"config with the revision of its base", []string{"check", "config", writeFile(t, "a", config), "--on", writeFile(t, "b", config)}, exitFault, "rev: 3 is not higher"},
		{"config as JSON", []string{"check", "--json", "config", writeFile(t, "a", `{"rev":`)}, exitFault, `"place": "body"`},
		{"store", []string{"check", "store", storeDir}, exitClean, "clean"},
		{"no store", []string{"check", "store", t.TempDir()}, exitFault, "no store"},
		{"missing file", []string{"check", "config", "nowhere"}, exitFault, "no such file"},
		{"a missing operand", []string{"check", "config"}, exitUsage, "indigowalk check"},
		{"replay", []string{"replay", writeFile(t, "a", recording)}, exitClean, "4 records; every rule kept"},
		{"replay prints state changes", []string{"replay", writeFile(t, "a", recording)}, exitClean, "2 us: a up, generation 1, after checked"},
		{"replay of a truncated recording", []string{"replay", writeFile(t, "a", recording[:len(recording)-9])}, exitClean, "3 records, the last one cut off"},
		{"replay of a violated rule", []string{"replay", writeFile(t, "a", wrongChoice)}, exitFault, "broken at record 4: x was chosen, though y had received more"},
		{"replay of votes", []string{"replay", writeFile(t, "a", votes)}, exitClean, "2 us: epoch 4 of a, accept granted"},
		{"replay of a vote for an old epoch", []string{"replay", writeFile(t, "a", votes+`{"t":3,"k":"vote","v":{"kind":"promise","epoch":4,"from":"b","granted":true}}`+"\n")}, exitFault, "broken at record 3: epoch 4 was promised after epoch 4"},
		{"replay of a foreign file", []string{"replay", writeFile(t, "a", "hello\n")}, exitFault, "not a recording"},
		{"replay of a newer format", []string{"replay", writeFile(t, "a", `{"indigowalk_recording":9}`+"\n")}, exitFault, "reads up to 1"},
		{"quotas", []string{"check", "quota", writeFile(t, "a", recording)}, exitClean, "no window is over a limit"},
		{"quotas of a foreign file", []string{"check", "quota", writeFile(t, "a", "hello\n")}, exitFault, "not a recording"},
		{"status without a response", []string{"status", "127.0.0.1:1"}, exitFault, "no answer from 127.0.0.1:1"},
		{"plan from a view without reports", []string{"plan", "--view", writeFile(t, "a", "{}"), "restart"}, exitFault, "no reports"},
		{"plan without a source", []string{"plan", "restart"}, exitUsage, "SOURCE"},
	} {
		code, out, errOut := runCommand(test.args...)
		if code != test.code || !strings.Contains(out+errOut, test.wantOutput) {
			t.Errorf("%s: exit code %d, output %s%s", test.name, code, out, errOut)
		}
	}
}
