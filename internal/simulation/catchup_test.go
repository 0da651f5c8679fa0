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

// memberZones returns the zones whose control nodes are members of the current view, that is, its
// primary and backups.
func memberZones(w *World) (zones []int) {
	z := controlPrimaryZone(w)
	if z == 0 {
		return nil
	}
	view, _ := w.Process("control", z).replica().Primary()
	for z := 1; z <= w.Zones(); z++ {
		if p := w.Process("control", z); p != nil && view.Has(p.replica().Self()) {
			zones = append(zones, z)
		}
	}
	return zones
}

// otherControlZone returns the first zone with a running control node that is not excluded, or 0.
func otherControlZone(w *World, excluded ...int) int {
next:
	for z := 1; z <= w.Zones(); z++ {
		for _, excludedZone := range excluded {
			if z == excludedZone {
				continue next
			}
		}
		if w.Process("control", z) != nil {
			return z
		}
	}
	return 0
}

// updateState sets entries at the control primary and reports whether that was acknowledged.
func updateState(w *World, entries map[string]string) bool {
	z := controlPrimaryZone(w)
	if z == 0 {
		return false
	}
	return w.Process("control", z).replica().Update(context.Background(), func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		update := map[string]json.RawMessage{}
		for key, text := range entries {
			raw, err := json.Marshal(text)
			if err != nil {
				return nil, err
			}
			update[key] = raw
		}
		return update, nil
	}) == nil
}

// durableState returns the durable state of the control primary, or an empty state if it has none.
func durableState(w *World) controlstate.State {
	if z := controlPrimaryZone(w); z != 0 {
		if s, err := w.Process("control", z).replica().DurableState(); err == nil {
			return s
		}
	}
	return controlstate.State{}
}

// Transferring a state of 5 MB, with single entries far larger than a chunk, over links of
// 25 Mbit/s takes longer than a lease. The primary must keep its lease and serve reads while the
// state is transferred to another backup, and a backup must become primary in time.
func TestLargeStateTransferKeepsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		w.Net.SetBandwidth(25_000_000 / 8)
		largeValue := strings.Repeat("x", 1<<19)
		for i := range 10 {
			w.WaitUntil("a large entry is acknowledged", 3*time.Second, func() bool { return updateState(w, map[string]string{fmt.Sprint("large/", i): largeValue}) })
		}
		primaryZone := controlPrimaryZone(w)
		backupZone := memberZones(w)[0] + memberZones(w)[1] - primaryZone

		w.Process("control", backupZone).Kill()
		took := w.WaitUntil("another backup joins the view", 10*time.Second, func() bool {
			if controlPrimaryZone(w) != primaryZone || len(durableState(w).Entries) == 0 {
				t.Fatal("the primary lost its lease")
			}
			return len(memberZones(w)) == 2
		})
		t.Logf("another backup joined the view after %v", took)
		w.WaitUntil("a change is acknowledged", time.Second, func() bool { return updateState(w, map[string]string{"small": "1"}) })
		w.Start("control", backupZone, false)
		time.Sleep(3 * time.Second)

		w.Process("control", primaryZone).Kill()
		took = w.WaitUntil("a backup becomes primary", 10*time.Second, func() bool { return controlPrimaryZone(w) != 0 })
		t.Logf("a backup became primary after %v", took)
		w.WaitUntil("a change is acknowledged", 3*time.Second, func() bool { return updateState(w, map[string]string{"small": "2"}) })
		if s := durableState(w); len(s.Entries["large/9"]) != len(largeValue)+2 || string(s.Entries["small"]) != `"2"` {
			t.Errorf("the new primary lacks acknowledged entries; it has %d", len(s.Entries))
		}
	})
}

// A control node that missed some changes is needed again as a backup while further changes are
// made. It must be sent little more than what has changed, be a backup again within 3.5 s, and never
// become primary with its outdated state.
func TestBackupCatchesUpIncrementally(t *testing.T) {
	const entries, size = 1000, 300 // 300 KB
	for _, c := range []struct {
		missedChanges     int
		concurrentChanges bool
		losePrimary       bool // kill the primary when the node restarts, else the other backup
		maxBytes          int  // limit of the bytes sent to the node
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
				w.AddGroup("ledger")
				w.Boot()
				w.Configure()
				w.Net.SetBandwidth(100_000_000 / 8)
				value := strings.Repeat("x", size)
				initial := map[string]string{}
				for i := range entries {
					initial[fmt.Sprint("entry/", i)] = value
				}
				w.WaitUntil("the entries are acknowledged", time.Second, func() bool { return updateState(w, initial) })
				w.WaitUntil("a change is acknowledged", time.Second, func() bool { return updateState(w, map[string]string{"entry/0": value}) })
				primaryZone := controlPrimaryZone(w)
				awayZone := memberZones(w)[0] + memberZones(w)[1] - primaryZone
				w.Process("control", awayZone).Kill()
				w.WaitUntil("another backup joins the view", 5*time.Second, func() bool { return len(memberZones(w)) == 2 })
				changes := 0
				makeChange := func() bool {
					changes++
					return updateState(w, map[string]string{fmt.Sprint("entry/", changes%entries): value + fmt.Sprint(changes)})
				}
				for range c.missedChanges {
					if !makeChange() {
						t.Fatal("a change was not acknowledged without faults")
					}
				}
				stop := make(chan struct{})
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					for c.concurrentChanges {
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
							makeChange()
						}
					}
				}()
				before, _ := w.Net.SentTo(ip(awayZone))
				w.Start("control", awayZone, false)
				lostZone := otherControlZone(w, awayZone, primaryZone)
				if c.losePrimary {
					lostZone, primaryZone = primaryZone, lostZone
				}
				w.Process("control", lostZone).Kill()
				took := w.WaitUntil("the restarted node is a backup again", 5*time.Second, func() bool {
					if controlPrimaryZone(w) == awayZone {
						t.Fatal("the restarted node became primary with outdated state")
					}
					return len(memberZones(w)) == 2
				})
				sent, _ := w.Net.SentTo(ip(awayZone))
				t.Logf("the restarted node was sent %d bytes and was a backup again after %v", sent-before, took)
				if sent-before > c.maxBytes || took > 3500*time.Millisecond {
					t.Errorf("the restarted node was sent %d bytes and was a backup again after %v", sent-before, took)
				}
				close(stop)
				<-stopped
				w.Start("control", lostZone, false)
				time.Sleep(3 * time.Second) // until its witness may vote again
				w.WaitUntil("a change is acknowledged", time.Second, makeChange)
				want := durableState(w)
				w.Process("control", primaryZone).Kill()
				w.WaitUntil("the restarted node becomes primary", 5*time.Second, func() bool { return controlPrimaryZone(w) == awayZone })
				if got, err := w.Process("control", awayZone).replica().Read(fmt.Sprint("entry/", changes%entries)); err != nil || string(got) != string(want.Entries[fmt.Sprint("entry/", changes%entries)]) {
					t.Errorf("the new primary lacks the last change; it reads %.40s, %v", got, err)
				}
			})
		})
	}
}
