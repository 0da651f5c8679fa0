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
	node  string
	ahead kernel.Micros
	lines []string
}

func (r *fakeRecording) add(t *testing.T, at kernel.Micros, kind string, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	line, err := json.Marshal(kernel.Record{At: at + r.ahead, Kind: kind, Body: raw})
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
		f.ledgers[i] = &fakeRecording{node: fmt.Sprint("ledger-", i), ahead: kernel.Micros(i) * 1000 * kernel.Second}
	}
	for i := range f.proxies {
		f.proxies[i] = &fakeRecording{node: fmt.Sprint("carrier-", i), ahead: kernel.Micros(i+1) * 333 * kernel.Second}
	}
	f.limit(0, 0, 10)
	return f
}

func (f *fleet) limit(ledger int, at kernel.Micros, rate float64) {
	f.ledgers[ledger].add(f.T, at, quota.LimitsKind, quota.LimitsRecord{
		Tolerance: quota.Tolerance{Window: kernel.Second}, Limits: map[string]quota.Limit{"ann": {PerS: rate}, "free": {}},
	})
}

// call records a call from a proxy to a ledger, with a latency of one millisecond each way.
func (f *fleet) call(proxy, ledger int, at kernel.Micros) {
	f.calls++
	c := f.proxies[proxy]
	call := quota.CallRecord{Proxy: c.node, Incarnation: 1, Seq: f.calls}
	f.ledgers[ledger].add(f.T, at+kernel.Millisecond, quota.ReceivedKind, call)
	call.RequestedAt = at + c.ahead
	c.add(f.T, at+2*kernel.Millisecond, quota.RequestedKind, call)
}

func (f *fleet) send(proxy int, tenant string, at kernel.Micros) {
	f.proxies[proxy].add(f.T, at, quota.SentKind, quota.SentRecord{Tenant: tenant})
}

func (f *fleet) check() *QuotaCheck {
	f.Helper()
	dir := f.TempDir()
	var paths []string
	for _, r := range append(f.ledgers[:], f.proxies[:]...) {
		paths = append(paths, r.write(f.T, dir))
	}
	c, err := CheckQuota(paths)
	if err != nil {
		f.Fatal(err)
	}
	return c
}

// Operations sent by several nodes with different clocks are summed up: a full window is accepted,
// and one more operation exceeds the limit whichever node sent it.
func TestCheckQuota(t *testing.T) {
	for extra := -1; extra < 3; extra++ {
		f := newFleet(t)
		// The third proxy has only called the second ledger, which the second proxy connects to the first.
		f.call(0, 0, kernel.Second)
		f.call(1, 0, kernel.Second)
		f.call(1, 1, 3*kernel.Second)
		f.call(2, 1, 3*kernel.Second)
		for i := range 10 {
			f.send(i%3, "ann", 5*kernel.Second+kernel.Micros(i)*90*kernel.Millisecond)
			f.send(i%3, "free", 5*kernel.Second)
			f.send(i%3, "free", 5*kernel.Second)
		}
		if extra >= 0 {
			f.send(extra, "ann", 5400*kernel.Millisecond)
		}
		c := f.check()
		if c.Operations != 30+min(1, extra+1) || c.Tenants != 2 || len(c.LeftOut) > 0 || c.UncertainUs > 5*kernel.Millisecond {
			t.Errorf("%+v", c)
		}
		switch {
		case extra < 0 && c.Excess != nil:
			t.Errorf("a full window was reported as over the limit: %+v", c.Excess)
		case extra >= 0 && (c.Excess == nil || c.Excess.Tenant != "ann" || c.Excess.Count != 11 || c.Excess.ByNode[f.proxies[extra].node+"/x"] < 4):
			t.Errorf("one more operation of proxy %d: %+v", extra, c.Excess)
		}
	}
}

// A lowered limit is enforced only once proxies can know of it, and a node whose clock can't be
// compared is reported as left out.
func TestCheckQuotaLoweredLimit(t *testing.T) {
	f := newFleet(t)
	f.call(0, 0, kernel.Second)
	f.limit(0, 10*kernel.Second, 1)
	for _, at := range []kernel.Micros{5, 12} {
		for range 10 {
			f.send(0, "ann", at*kernel.Second)
		}
	}
	f.send(1, "ann", 5*kernel.Second)
	c := f.check()
	if c.Excess != nil || len(c.LeftOut) != 1 || c.LeftOut[0] != "carrier-1/x" {
		t.Errorf("%+v", c)
	}
	f.send(0, "ann", 30*kernel.Second)
	f.send(0, "ann", 30*kernel.Second+1)
	if c := f.check(); c.Excess == nil || c.Excess.Count != 2 || c.Excess.Allowed != 1 {
		t.Errorf("two operations under the lowered limit: %+v", c.Excess)
	}
	var out strings.Builder
	f.check().Print(&out)
	for _, want := range []string{"22 operations", "left out: carrier-1/x", "over the limit: ann, 2 operations"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in %s", want, out.String())
		}
	}
}
