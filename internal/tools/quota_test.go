package tools

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
	"indigowalk/internal/quota"
)

// fakeRecording is a synthetic recording of one node, on a clock of its own.
type fakeRecording struct {
	node       string
	clockAhead kernel.Micros // of the time that the test passes to add
	lines      []string
}

// add appends a record to the recording.
func (r *fakeRecording) add(t *testing.T, at kernel.Micros, kind string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	line, err := json.Marshal(kernel.Record{At: at + r.clockAhead, Kind: kind, Body: raw})
	if err != nil {
		t.Fatal(err)
	}
	r.lines = append(r.lines, string(line))
}

// write writes the recording to a folder and returns its path.
func (r *fakeRecording) write(t *testing.T, dir string) string {
	head := fmt.Sprintf(`{"indigowalk_recording":1,"node":%q,"role":"x"}`, r.node)
	path := filepath.Join(dir, r.node)
	if err := os.WriteFile(path, []byte(strings.Join(append([]string{head}, r.lines...), "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// fleet is two ledgers and three proxies whose clocks differ by minutes.
type fleet struct {
	*testing.T
	ledgers [2]*fakeRecording
	proxies [3]*fakeRecording
	calls   int64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{T: t}
	for i := range f.ledgers {
		f.ledgers[i] = &fakeRecording{node: fmt.Sprint("ledger-", i), clockAhead: kernel.Micros(i) * 1000 * kernel.Second}
	}
	for i := range f.proxies {
		f.proxies[i] = &fakeRecording{node: fmt.Sprint("proxy-", i), clockAhead: kernel.Micros(i+1) * 333 * kernel.Second}
	}
	f.recordLimits(0, 0, 10)
	return f
}

// recordLimits records that a ledger applies new limits: a rate for the tenant ann, and none for
// the tenant free.
func (f *fleet) recordLimits(ledger int, at kernel.Micros, rate float64) {
	f.ledgers[ledger].add(f.T, at, quota.LimitsKind, quota.LimitsRecord{
		Tolerance: quota.Tolerance{Window: kernel.Second}, Limits: map[string]quota.Limit{"ann": {PerS: rate}, "free": {}},
	})
}

// recordCall records a call from a proxy to a ledger, with a latency of one millisecond each way.
func (f *fleet) recordCall(proxy, ledger int, at kernel.Micros) {
	f.calls++
	caller := f.proxies[proxy]
	call := quota.CallRecord{Proxy: caller.node, Incarnation: 1, Seq: f.calls}
	f.ledgers[ledger].add(f.T, at+kernel.Millisecond, quota.ReceivedKind, call)
	call.RequestedAt = at + caller.clockAhead
	caller.add(f.T, at+2*kernel.Millisecond, quota.RequestedKind, call)
}

// recordSent records that a proxy sent an operation of a tenant.
func (f *fleet) recordSent(proxy int, tenant string, at kernel.Micros) {
	f.proxies[proxy].add(f.T, at, quota.SentKind, quota.SentRecord{Tenant: tenant})
}

// check writes all recordings to a folder and checks them.
func (f *fleet) check() *QuotaCheck {
	f.Helper()
	dir := f.TempDir()
	var paths []string
	for _, r := range append(f.ledgers[:], f.proxies[:]...) {
		paths = append(paths, r.write(f.T, dir))
	}
	check, err := CheckQuota(paths)
	if err != nil {
		f.Fatal(err)
	}
	return check
}

// Operations sent by several nodes with different clocks are counted together: as many operations in
// a window as the limit allows are accepted, and one more is an excess whichever node sent it.
func TestCheckQuota(t *testing.T) {
	for extra := -1; extra < 3; extra++ {
		f := newFleet(t)
		// The third proxy has only called the second ledger, which the second proxy connects to the first.
		f.recordCall(0, 0, kernel.Second)
		f.recordCall(1, 0, kernel.Second)
		f.recordCall(1, 1, 3*kernel.Second)
		f.recordCall(2, 1, 3*kernel.Second)
		for i := range 10 {
			f.recordSent(i%3, "ann", 5*kernel.Second+kernel.Micros(i)*90*kernel.Millisecond)
			f.recordSent(i%3, "free", 5*kernel.Second)
			f.recordSent(i%3, "free", 5*kernel.Second)
		}
		if extra >= 0 {
			f.recordSent(extra, "ann", 5400*kernel.Millisecond)
		}
		check := f.check()
		if check.Operations != 30+min(1, extra+1) || check.Tenants != 2 || len(check.LeftOut) > 0 || check.UncertainUs > 5*kernel.Millisecond {
			t.Errorf("wrong totals: %+v", check)
		}
		switch {
		case extra < 0 && check.Excess != nil:
			t.Errorf("a full window was reported as over the limit: %+v", check.Excess)
		case extra >= 0 && (check.Excess == nil || check.Excess.Tenant != "ann" || check.Excess.Count != 11 || check.Excess.ByNode[f.proxies[extra].node+"/x"] < 4):
			t.Errorf("one operation of proxy %d above the limit: excess %+v", extra, check.Excess)
		}
	}
}

// A lowered limit counts only after limitPropagation, when all proxies know of it; and a node whose
// clock can't be compared is reported as left out.
func TestCheckQuotaLoweredLimit(t *testing.T) {
	f := newFleet(t)
	f.recordCall(0, 0, kernel.Second)
	f.recordLimits(0, 10*kernel.Second, 1)
	for _, at := range []kernel.Micros{5, 12} {
		for range 10 {
			f.recordSent(0, "ann", at*kernel.Second)
		}
	}
	f.recordSent(1, "ann", 5*kernel.Second)
	check := f.check()
	if check.Excess != nil || len(check.LeftOut) != 1 || check.LeftOut[0] != "proxy-1/x" {
		t.Errorf("want no excess, and only the proxy without calls left out: %+v", check)
	}
	f.recordSent(0, "ann", 30*kernel.Second)
	f.recordSent(0, "ann", 30*kernel.Second+1)
	if check := f.check(); check.Excess == nil || check.Excess.Count != 2 || check.Excess.Allowed != 1 {
		t.Errorf("two operations where the lowered limit allows one: excess %+v", check.Excess)
	}
	var out strings.Builder
	f.check().Print(&out)
	for _, want := range []string{"22 operations", "left out: proxy-1/x", "over the limit: ann, 2 operations"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in %s", want, out.String())
		}
	}
}
