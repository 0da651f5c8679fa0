package testbed_test

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
	"indigowalk/internal/testbed"
)

// program builds the executable once and returns its path.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "testbed-program")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "indigowalk")
	out, err := exec.Command("go", "build", "-o", path, "indigowalk/cmd/indigowalk").CombinedOutput()
	if err != nil {
		return "", errors.New(string(out))
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// smallPlan returns a plan with the given faults, whose run takes about fifteen seconds.
func smallPlan(faults ...string) testbed.Plan {
	p := testbed.DefaultPlan()
	p.Proxies, p.Services, p.Operators, p.LengthS, p.PauseMs = 3, 1, 2, 10, 100
	p.Faults = faults
	return p
}

func run(t *testing.T, cfg testbed.Config) (*testbed.Report, error) {
	t.Helper()
	if cfg.Program == "" {
		path, err := program()
		if err != nil {
			t.Fatal(err)
		}
		cfg.Program = path
	}
	cfg.Dir = t.TempDir()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	return testbed.Run(ctx, cfg)
}

// The real program breaks no rule under concurrent faults of many kinds, and leaks no resources.
func TestShortRun(t *testing.T) {
	for tier, faults := range map[string][]string{
		testbed.Pooler: {
			testbed.Kill, testbed.Term, testbed.Hup, testbed.Freeze, testbed.CutControl, testbed.CutMachine, testbed.LoseReplies,
			testbed.Datagrams, testbed.PauseLogReader, testbed.Crash, testbed.Reset, testbed.ProtocolViolation, testbed.MisbehavingClients,
		},
		testbed.Gateway: {
			testbed.Kill, testbed.Term, testbed.Hup, testbed.CutDatabases, testbed.ResetLinks, testbed.Delay,
			testbed.Crash, testbed.ReplaceDatabase, testbed.Hang, testbed.ProtocolViolation, testbed.MisbehavingClients,
		},
	} {
		plan := smallPlan(faults...)
		plan.Tier = tier
		report, err := run(t, testbed.Config{Plan: plan})
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		report.Print(&text)
		t.Logf("%s\n%s", tier, text.String())
		if !report.Clean() {
			t.Errorf("%s: a rule was broken, or a process ended by itself", tier)
		}
		if report.Statements.Count < 100 || report.OrdersAcked < 5 || len(report.Faults) < 5 {
			t.Errorf("%s: too few statements, acknowledged orders or kinds of faults", tier)
		}
	}
}

// Guards against the loss of acknowledged commits (LOST) in the real program when zones are lost, and
// addresses are reused, while some replicas are not registered yet.
func TestCorrelatedFaults(t *testing.T) {
	plan := smallPlan(testbed.LoseZone, testbed.ReuseAddress)
	plan.LengthS = 20
	for seed := int64(1); seed <= 2; seed++ {
		plan.Seed = seed
		report, err := run(t, testbed.Config{Plan: plan})
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		report.Print(&text)
		t.Logf("seed %d\n%s", seed, text.String())
		if !report.Clean() {
			t.Errorf("seed %d: a rule was broken, or a process ended by itself", seed)
		}
		if report.Statements.Count < 100 || len(report.Faults) == 0 {
			t.Errorf("seed %d: too few statements, or no fault", seed)
		}
	}
}

// The checks must detect that a promoted database lacks acknowledged commits: the platform of this run
// truncates the log of a database before it promotes it.
func TestLostCommitsAreDetected(t *testing.T) {
	plan := smallPlan(testbed.Crash, testbed.ReplaceDatabase)
	plan.PauseMs = 0
	lossy := func(groups []*standin.Group, _, id string) int {
		for _, d := range groups[0].Databases() {
			if d.ID == id {
				d.TruncateLog(50)
			}
		}
		return groups[0].StartPromotion(id)
	}
	for seed := int64(1); seed <= 5; seed++ {
		plan.Seed = seed
		report, err := run(t, testbed.Config{Plan: plan, Promote: lossy})
		if err != nil {
			t.Fatal(err)
		}
		if report.PlatformCalls == 0 {
			continue // no fault hit a primary
		}
		if report.Clean() || report.Breaches[0].Rule != history.RuleLost && !strings.Contains(report.Breaches[0].Text, history.RuleLost) {
			t.Errorf("the lost commits are not reported: %v", report.Breaches)
		}
		return
	}
	t.Error("no database was promoted")
}

// A missing or failing executable and an address in use are reported as errors.
func TestStartFailuresAreReported(t *testing.T) {
	if _, err := run(t, testbed.Config{Plan: smallPlan("none"), Program: "/nowhere/indigowalk"}); err == nil || !strings.Contains(err.Error(), "/nowhere/indigowalk") {
		t.Errorf("error for a missing executable: %v", err)
	}
	if _, err := run(t, testbed.Config{Plan: smallPlan("none"), Program: "/bin/false"}); err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("error for a program that exits: %v", err)
	}
	ln, err := net.Listen("tcp4", testbed.FirstAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if _, err := run(t, testbed.Config{Plan: smallPlan("none")}); !errors.Is(err, syscall.EADDRINUSE) || !strings.Contains(err.Error(), testbed.FirstAddress()) {
		t.Errorf("error for an address in use: %v", err)
	}
}

// An invalid plan is rejected with an error that names the key; a valid one keeps the defaults of the
// keys that it does not set.
func TestPlanValidation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan")
	for text, want := range map[string]string{
		"seed=x\n":                  "seed",
		"carriers=0\n":              "carriers",
		"control_nodes=2\n":         "control_nodes",
		"troubles=kill,earthquake":  "troubles",
		"lenght_s=5\n":              "lenght_s",
		"length_s=30\ncarriers=4\n": "",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		plan, err := testbed.LoadPlan(path)
		if want == "" && (err != nil || plan.LengthS != 30 || plan.Proxies != 4 || plan.Cores != 2) {
			t.Errorf("plan %q: got %+v, error %v", text, plan, err)
		}
		if want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("plan %q: error %v does not name the key", text, err)
		}
	}
	plan := testbed.DefaultPlan()
	if err := plan.Set("cores", "4"); err != nil || plan.Cores != 4 || plan.Proxies != 10 {
		t.Errorf("after setting cores: got %+v, error %v", plan, err)
	}
	for _, setting := range [][2]string{{"cores", "0"}, {"cors", "4"}} {
		if err := plan.Set(setting[0], setting[1]); err == nil {
			t.Errorf("invalid setting %v was accepted", setting)
		}
	}
}
