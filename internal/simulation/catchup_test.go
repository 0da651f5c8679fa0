package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
)

// members returns the zones whose control nodes keep the control state.
func members(w *World) (zones []int) {
	z := controlPrimary(w)
	if z == 0 {
		return nil
	}
	view, _ := w.Process("control", z).replica().Primary()
	for z := 1; z <= w.Zones; z++ {
		if p := w.Process("control", z); p != nil && view.Has(p.replica().Self()) {
			zones = append(zones, z)
		}
	}
	return zones
}

// other returns the zone of a running control node that is none of those.
func other(w *World, zones ...int) int {
next:
	for z := 1; z <= w.Zones; z++ {
		for _, not := range zones {
			if z == not {
				continue next
			}
		}
		if w.Process("control", z) != nil {
			return z
		}
	}
	return 0
}

// change sets entries at the primary, and reports whether that was acknowledged.
func change(w *World, entries map[string]string) bool {
	z := controlPrimary(w)
	if z == 0 {
		return false
	}
	return w.Process("control", z).replica().Update(context.Background(), func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		out := map[string]json.RawMessage{}
		for key, text := range entries {
			raw, err := json.Marshal(text)
			if err != nil {
				return nil, err
			}
			out[key] = raw
		}
		return out, nil
	}) == nil
}

// durable returns the state at the primary.
func durable(w *World) controlstate.State {
	if z := controlPrimary(w); z != 0 {
		if s, err := w.Process("control", z).replica().Durable(); err == nil {
			return s
		}
	}
	return controlstate.State{}
}

// A state of 5 MB, with single entries far above a chunk, travels over links of
// 25 Mbit/s, which takes longer than a lease: the primary keeps its lease and serves reads while it is brought
// to another backup, and a backup that takes over does so in time.
func TestLargeStateTravelsWhileTheLeaseRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		w.Group("ledger")
		w.Boot()
		w.Configure()
		w.Net.Rate(25_000_000 / 8)
		big := strings.Repeat("x", 1<<19)
		for i := range 10 {
			w.Until("a large entry is taken", 3*time.Second, func() bool { return change(w, map[string]string{fmt.Sprint("large/", i): big}) })
		}
		p := controlPrimary(w)
		backup := members(w)[0] + members(w)[1] - p

		w.Process("control", backup).Kill()
		took := w.Until("another backup", 10*time.Second, func() bool {
			if controlPrimary(w) != p || len(durable(w).Entries) == 0 {
				t.Fatal("the primary lost its lease")
			}
			return len(members(w)) == 2
		})
		t.Logf("another backup after %v", took)
		w.Until("a change is taken", time.Second, func() bool { return change(w, map[string]string{"small": "1"}) })
		w.Start("control", backup, false)
		time.Sleep(3 * time.Second)

		w.Process("control", p).Kill()
		took = w.Until("the backup leads", 10*time.Second, func() bool { return controlPrimary(w) != 0 })
		t.Logf("taken over after %v", took)
		w.Until("a change is taken", 3*time.Second, func() bool { return change(w, map[string]string{"small": "2"}) })
		if s := durable(w); len(s.Entries["large/9"]) != len(big)+2 || string(s.Entries["small"]) != `"2"` {
			t.Errorf("%d entries after the take-over", len(s.Entries))
		}
	})
}

// A control node that was away for some changes is needed again as a backup, while
// others change the state all the time: it is sent little more than what
// changed, it has that within a second, and with its old state it never leads.
func TestMemberCatchesUp(t *testing.T) {
	const entries, size = 1000, 300 // 300 KB
	for _, c := range []struct {
		away    int
		storm   bool
		primary bool // the primary is lost meanwhile
		bytes   int  // that it is sent at most
	}{
		{10, false, false, 20_000},
		{10, true, true, 30_000},
		{300, true, false, 160_000},
		{300, false, true, 160_000},
		{2000, true, true, 450_000},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWorld(t, 1, 3)
				defer w.Close()
				w.Group("ledger")
				w.Boot()
				w.Configure()
				w.Net.Rate(100_000_000 / 8)
				text := strings.Repeat("x", size)
				all := map[string]string{}
				for i := range entries {
					all[fmt.Sprint("entry/", i)] = text
				}
				w.Until("the entries are taken", time.Second, func() bool { return change(w, all) })
				w.Until("a change is taken", time.Second, func() bool { return change(w, map[string]string{"entry/0": text}) })
				p := controlPrimary(w)
				away := members(w)[0] + members(w)[1] - p
				w.Process("control", away).Kill()
				w.Until("another backup", 5*time.Second, func() bool { return len(members(w)) == 2 })
				last := 0
				next := func() bool {
					last++
					return change(w, map[string]string{fmt.Sprint("entry/", last%entries): text + fmt.Sprint(last)})
				}
				for range c.away {
					if !next() {
						t.Fatal("a change is refused in a calm time")
					}
				}
				stop := make(chan struct{})
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					for c.storm {
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
							next()
						}
					}
				}()
				before, _ := w.Net.Sent(ip(away))
				w.Start("control", away, false)
				lost := other(w, away, p)
				if c.primary {
					lost, p = p, lost
				}
				w.Process("control", lost).Kill()
				took := w.Until("it is a backup again", 5*time.Second, func() bool {
					if controlPrimary(w) == away {
						t.Fatal("it leads with old state")
					}
					return len(members(w)) == 2
				})
				sent, _ := w.Net.Sent(ip(away))
				t.Logf("%d bytes, backup again after %v", sent-before, took)
				if sent-before > c.bytes || took > 3500*time.Millisecond {
					t.Errorf("%d bytes, backup again after %v", sent-before, took)
				}
				close(stop)
				<-stopped
				w.Start("control", lost, false)
				time.Sleep(3 * time.Second) // until its register may vote again
				w.Until("a change is taken", time.Second, next)
				want := durable(w)
				w.Process("control", p).Kill()
				w.Until("it leads", 5*time.Second, func() bool { return controlPrimary(w) == away })
				if got, err := w.Process("control", away).replica().Read(fmt.Sprint("entry/", last%entries)); err != nil || string(got) != string(want.Entries[fmt.Sprint("entry/", last%entries)]) {
					t.Errorf("it leads with %.40s, %v", got, err)
				}
			})
		})
	}
}
