package controlstate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/simulation"
)

// A stalled disk blocks neither leases nor votes nor reads: a primary with such a disk hands
// over even if there is nothing to write, a backup with one is replaced, and each participates
// again once its disk responds.
func TestStalledDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulation.NewWorld(t, 1, 4)
		defer w.Close()
		w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		replica := func(zone int) *controlstate.Replica {
			return kernel.Need[*controlstate.Replica](w.Process("control", zone).Kernel)
		}
		// primary returns the zone of the control node that holds the lease, or 0.
		primary := func() (found int) {
			for zone := 1; zone <= 4; zone++ {
				if _, remaining := replica(zone).Lease(); remaining > 0 {
					found = zone
				}
			}
			return found
		}
		oldPrimary := primary()
		resumeOldDisk := replica(oldPrimary).StallDisk()
		defer resumeOldDisk()
		elapsed := w.WaitUntil("another primary", 5*time.Second, func() bool { p := primary(); return p != 0 && p != oldPrimary })
		if elapsed > 2*time.Second {
			t.Errorf("the primary with a stalled disk was replaced only after %v", elapsed)
		}
		w.WaitUntil("a change is accepted", time.Second, func() bool { return w.Replace(primary(), 1, w.Configuration(2)) == 200 })
		resumeOldDisk()

		view, _ := replica(primary()).Primary()
		backup := 0
		for zone := 1; zone <= 4; zone++ {
			if view.Has(replica(zone).Self()) && zone != primary() {
				backup = zone
			}
		}
		resumeBackupDisk := replica(backup).StallDisk()
		defer resumeBackupDisk()
		w.WaitUntil("another backup", 4*time.Second, func() bool {
			p := primary()
			if p == 0 {
				return false
			}
			v, _ := replica(p).Primary()
			return !v.Has(replica(backup).Self())
		})
		if code := w.Replace(primary(), 2, w.Configuration(3)); code != 200 {
			t.Errorf("while the disk of the replaced backup is stalled, a change is answered with status %d", code)
		}
		resumeBackupDisk()
		time.Sleep(3 * time.Second)
		if v, _ := replica(primary()).Primary(); len(v.Witnesses) != 3 || w.FetchVersion() != 3 {
			t.Errorf("after both disks respond again: witnesses %v, version %d; want 3 witnesses, version 3", v.Witnesses, w.FetchVersion())
		}
	})
}
