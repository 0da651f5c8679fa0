package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// catchupTimeout is the default of bounds.catchup_s, which the tests here use. A control node that
// has been running again for that long no longer counts as lost, so another one may be lost.
const catchupTimeout = 4 * time.Second

// backupZones lists the zones of the backups in the control primary's view.
func backupZones(w *World) (zones []int) {
	primary := w.Process("control", controlPrimaryZone(w)).replica()
	view, _ := primary.Primary()
	for z := 1; z <= w.Zones(); z++ {
		if process := w.Process("control", z); process != nil && process.replica() != primary && view.Has(process.replica().Self()) {
			zones = append(zones, z)
		}
	}
	return zones
}

// destroyControlNodes kills control nodes and wipes their disks.
func (w *World) destroyControlNodes(zones ...int) {
	for _, z := range zones {
		p := w.Process("control", z)
		p.Kill()
		p.Wipe()
	}
}

// replaceUntilAccepted replaces version from of the configuration by version to, and retries at
// every control node until one accepts it.
func replaceUntilAccepted(w *World, from, to int64) {
	w.T.Helper()
	w.WaitUntil("a configuration change is accepted", 5*time.Second, func() bool {
		for z := 1; z <= w.Zones(); z++ {
			if w.Process("control", z) != nil && w.Replace(z, from, w.Configuration(to)) == 200 {
				return true
			}
		}
		return false
	})
}

// checkDurable checks that a version of the configuration can be read back and replaced by the
// next.
func checkDurable(w *World, rev int64) {
	w.T.Helper()
	w.WaitUntil(fmt.Sprint("configuration version ", rev, " is read back"), 8*time.Second, func() bool { return w.FetchVersion() == rev })
	replaceUntilAccepted(w, rev, rev+1)
}

// Guards the invariant AcknowledgedSurvives where a backup restarts with an empty disk before its
// loss is detected. By the time it no longer counts as lost, the state must be on as many disks as
// before, although nothing was written in the meantime.
func TestBackupRestartsWithEmptyDisk(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		replaceUntilAccepted(w, 1, 7)
		backup := backupZones(w)[0]
		w.destroyControlNodes(backup)
		w.Start("control", backup, false)
		time.Sleep(catchupTimeout)
		w.destroyControlNodes(controlPrimaryZone(w))
		checkDurable(w, 7)
	})
}

// Guards the invariant AcknowledgedSurvives where a control node that shuts down gracefully is the
// last one with the state, because the other one that had it is lost before a later view is formed.
// The node must stay until others have the state, but no longer than its grace period.
func TestLastStateHolderShutsDown(t *testing.T) {
	for _, role := range []string{"backup", "primary"} {
		withClusterOf(t, 4, 1, func(w *World, g *Group) {
			replaceUntilAccepted(w, 1, 7)
			shuttingDown, lost := backupZones(w)[0], controlPrimaryZone(w)
			if role == "primary" {
				shuttingDown, lost = lost, shuttingDown
			}
			start, shutdownTime := time.Now(), make(chan time.Duration, 1)
			go func() {
				w.Process("control", shuttingDown).Terminate()
				shutdownTime <- time.Since(start)
			}()
			w.destroyControlNodes(lost)
			if took := <-shutdownTime; took > 5*time.Second {
				t.Errorf("shutdown of the %s took %v", role, took)
			}
			checkDurable(w, 7)
		})
	}
}

// Guards the invariant AcknowledgedSurvives where two failures are tolerated: a view with only one
// backup, formed while other control nodes were down, must have two by the time those no longer
// count as lost.
func TestBackupsAddedOnceNodesReturn(t *testing.T) {
	for _, zones := range []int{5, 6} {
		withClusterOf(t, zones, 2, func(w *World, g *Group) {
			for _, z := range backupZones(w) {
				w.destroyControlNodes(z)
			}
			replaceUntilAccepted(w, 1, 7)
			for z := 1; z <= zones; z++ {
				if w.Process("control", z) == nil {
					w.Start("control", z, false)
				}
			}
			time.Sleep(catchupTimeout)
			w.destroyControlNodes(append(backupZones(w)[:1], controlPrimaryZone(w))...)
			time.Sleep(time.Second)
			for z := 1; z <= zones; z++ {
				if w.Process("control", z) == nil {
					w.Start("control", z, false)
				}
			}
			checkDurable(w, 7)
		})
	}
}

// Guards the invariant MajorityRemains where the primary, alone or together with another witness,
// is lost permanently and replaced by a new node. Once the new nodes no longer count as lost, as
// many nodes may be lost permanently again, and a majority of the witnesses must remain.
func TestWitnessesReplacedBeforeSecondLoss(t *testing.T) {
	for _, c := range []struct{ zones, losses int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		withClusterOf(t, c.zones, c.losses, func(w *World, g *Group) {
			replaceUntilAccepted(w, 1, 7)
			lost := []int{controlPrimaryZone(w)}
			if c.losses == 2 {
				lost = append(lost, backupZones(w)[0])
			}
			w.destroyControlNodes(lost...)
			time.Sleep(100 * time.Millisecond)
			for range lost {
				w.SetZones(w.Zones() + 1)
				w.Start("control", w.Zones(), false)
			}
			time.Sleep(catchupTimeout)
			primaryZone := controlPrimaryZone(w)
			view, _ := w.Process("control", primaryZone).replica().Primary()
			lost = append(lost[:0], primaryZone)
			for other := 1; other <= w.Zones() && len(lost) < c.losses; other++ {
				if p := w.Process("control", other); p != nil && other != primaryZone && view.Has(p.replica().Self()) {
					lost = append(lost, other)
				}
			}
			w.destroyControlNodes(lost...)
			checkDurable(w, 7)
		})
	}
}

// Guards the invariant MajorityRemains where the control nodes are exactly twice the tolerated
// failures: half of them are lost permanently at once, and as many new ones start, at once or one
// after the other.
func TestHalfOfWitnessesReplaced(t *testing.T) {
	for _, startInterval := range []time.Duration{0, time.Second, 3 * time.Second} {
		withClusterOf(t, 4, 2, func(w *World, g *Group) {
			rev := int64(1)
			for range 2 {
				replaceUntilAccepted(w, rev, rev+6)
				rev += 6
				w.destroyControlNodes(controlPrimaryZone(w), backupZones(w)[0])
				w.Seeds = nil
				for z := 1; z <= w.Zones(); z++ {
					if w.Process("control", z) != nil {
						w.Seeds = append(w.Seeds, ip(z)+":8782")
					}
				}
				for range 2 {
					time.Sleep(startInterval)
					w.SetZones(w.Zones() + 1)
					w.Start("control", w.Zones(), false)
				}
				checkDurable(w, rev)
				rev++
				time.Sleep(catchupTimeout)
			}
		})
	}
}

// Guards against CONFIG violations, here a lost configuration, where the control nodes are exactly
// twice the tolerated failures. One is lost permanently. While its replacement is new, another is
// down, first with its disk intact and then with the disk lost. Once the replacement no longer
// counts as lost, a third disk is lost. Those three disks were the ones that held the state.
func TestThirdDiskLost(t *testing.T) {
	withClusterOf(t, 4, 2, func(w *World, g *Group) {
		replaceUntilAccepted(w, 1, 7)
		lost, initialBackups := controlPrimaryZone(w), backupZones(w)
		start := time.Now()
		sleepUntil := func(offset time.Duration) { time.Sleep(time.Until(start.Add(offset))) }
		w.destroyControlNodes(lost)
		sleepUntil(500 * time.Millisecond)
		w.Process("control", initialBackups[0]).Kill()
		sleepUntil(time.Second)
		w.SetZones(w.Zones() + 1)
		w.Start("control", w.Zones(), false)
		sleepUntil(3 * time.Second)
		w.Start("control", initialBackups[0], false)
		sleepUntil(3400 * time.Millisecond)
		w.destroyControlNodes(initialBackups[0])
		sleepUntil(time.Second + catchupTimeout + 200*time.Millisecond)
		w.destroyControlNodes(initialBackups[1])
		sleepUntil(time.Second + catchupTimeout + 700*time.Millisecond)
		w.Start("control", initialBackups[0], false)
		sleepUntil(time.Second + catchupTimeout + 1700*time.Millisecond)
		w.Start("control", initialBackups[1], false)
		checkDurable(w, 7)
	})
}

// Guards the invariant MajorityRemains where the control nodes are exactly twice the tolerated
// failures: one is lost permanently and another is down. With the replacement of the first one more
// than half are running, so changes are accepted.
func TestNewNodeRestoresMajority(t *testing.T) {
	for _, variant := range []int{0, 1} {
		withClusterOf(t, 4, 2, func(w *World, g *Group) {
			replaceUntilAccepted(w, 1, 7)
			lost, down := controlPrimaryZone(w), backupZones(w)[0]
			if variant == 1 {
				lost, down = down, lost
			}
			w.destroyControlNodes(lost)
			w.Process("control", down).Kill()
			time.Sleep(time.Second)
			w.SetZones(w.Zones() + 1)
			w.Start("control", w.Zones(), false)
			time.Sleep(catchupTimeout)
			replaceUntilAccepted(w, 7, 8)
			w.Start("control", down, false)
			checkDurable(w, 8)
		})
	}
}

// Guards the invariant MajorityRemains where a witness is lost permanently and replaced, and the
// primary is lost before or while the new node becomes a witness. Once the new node no longer
// counts as lost, another node is lost, which is the last of the tolerated failures.
func TestPrimaryLostDuringWitnessReplacement(t *testing.T) {
	for delay := 800 * time.Millisecond; delay <= 3*time.Second; delay += 600 * time.Millisecond {
		withClusterOf(t, 5, 2, func(w *World, g *Group) {
			replaceUntilAccepted(w, 1, 7)
			primaryZone, initialBackups := controlPrimaryZone(w), backupZones(w)
			var witness int
			for z := 1; z <= 5; z++ {
				if z != primaryZone && !slices.Contains(initialBackups, z) {
					witness = z
				}
			}
			w.destroyControlNodes(witness)
			w.SetZones(w.Zones() + 1)
			w.Start("control", 6, false)
			time.Sleep(delay)
			w.destroyControlNodes(primaryZone)
			time.Sleep(catchupTimeout - delay)
			w.destroyControlNodes(initialBackups[1])
			checkDurable(w, 7)
		})
		if t.Failed() {
			t.Fatalf("primary lost %v after the replacement started", delay)
		}
	}
}

// A control node that shuts down gracefully while all others are running does not wait.
func TestGracefulShutdownIsFast(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		for rev := int64(1); rev <= 3; rev++ {
			zone := controlPrimaryZone(w)
			if rev > 1 {
				zone = backupZones(w)[0]
			}
			start := time.Now()
			w.Process("control", zone).Terminate()
			if took := time.Since(start); took > 300*time.Millisecond {
				t.Errorf("shutdown took %v", took)
			} else {
				t.Logf("shutdown took %v", took)
			}
			replaceUntilAccepted(w, rev, rev+1)
			w.Start("control", zone, false)
			time.Sleep(catchupTimeout)
		}
	})
}
