package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `node_name=edge-1
ip=10.1.0.8
zone=z1
zones.z1=r
listen.control_addr=10.1.0.8:8782
port_range=7440,7455
seeds=10.1.0.8:8782,10.2.0.6:8782
bootstrap=true
limits.cpu_quota=0.656
bounds.grace_s=6
something.new=1
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.SeedPeers(); len(got) != 2 || got[1] != "10.2.0.6:7440" || s.Port(ProxyPort) != "10.1.0.8:7441" || s.ApplyMs != 3000 {
		t.Errorf("seed peers %v, proxy address %s, apply_ms %d", got, s.Port(ProxyPort), s.ApplyMs)
	}
	for _, c := range []struct{ old, new, key string }{
		{"node_name=edge-1\n", "", "node_name"},
		{"ip=10.1.0.8", "ip=ten", "ip"},
		{"bootstrap=true", "bootstrap=perhaps", "bootstrap"},
		{"bounds.grace_s=6", "bounds.grace_s=0", "bounds.grace_s"},
		{"port_range=7440,7455", "port_range=7440", "port_range"},
		{"seeds=10.1.0.8:8782", "seeds=10.1.0.8", "seeds[0]"},
	} {
		if _, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), "settings: "+c.key+":") {
			t.Errorf("settings with %q: error %v", c.new, err)
		}
	}
}

func TestInvalidReloadKeepsPreviousSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(validSettings)
	live, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	write(strings.Replace(validSettings, "grace_s=6", "grace_s=x", 1))
	if live.Reload() == nil || live.Now().GraceS != 6 {
		t.Errorf("an invalid file was applied: grace_s is %d", live.Now().GraceS)
	}
	changed := live.Changed()
	write(strings.Replace(validSettings, "grace_s=6", "grace_s=9", 1))
	if err := live.Reload(); err != nil || live.Now().GraceS != 9 {
		t.Errorf("reload of a valid file: error %v, grace_s is %d", err, live.Now().GraceS)
	}
	select {
	case <-changed:
	default:
		t.Error("the change was not notified")
	}
}

// A change of the file between Open and the first poll of the watcher is detected.
func TestChangeDuringStartIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	if err := os.WriteFile(path, []byte(validSettings), 0o644); err != nil {
		t.Fatal(err)
	}
	live, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if statFile(path) != live.loaded {
		t.Error("an unchanged file is reported as changed")
	}
	if err := os.WriteFile(path, []byte(validSettings+"more.of=it\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if statFile(path) == live.loaded {
		t.Error("the change was not detected")
	}
}
