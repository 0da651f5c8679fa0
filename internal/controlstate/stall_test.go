package controlstate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/simulation"
)

// A disk that stalls holds up neither leases nor votes nor reads: a primary
// with such a disk hands over though nothing is to be written, a backup with
// one is replaced, and each takes part again when its disk answers.
func TestStalledDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulation.NewWorld(t, 1, 4)
		defer w.Close()
		w.Group("ledger")
		w.Boot()
		w.Configure()
		at := func(z int) *controlstate.Replica {
			return kernel.Need[*controlstate.Replica](w.Process("control", z).Kernel)
		}
		primary := func() (found int) {
			for z := 1; z <= 4; z++ {
				if _, left := at(z).Lease(); left > 0 {
					found = z
				}
			}
			return found
		}
		old := primary()
		release := at(old).StallDisk()
		defer release()
		took := w.Until("another primary", 5*time.Second, func() bool { p := primary(); return p != 0 && p != old })
		if took > 2*time.Second {
			t.Errorf("handed over after %v", took)
		}
		w.Until("a change is taken", time.Second, func() bool { return w.Replace(primary(), 1, w.Configuration(2)) == 200 })
		release()

		view, _ := at(primary()).Primary()
		backup := 0
		for z := 1; z <= 4; z++ {
			if view.Has(at(z).Self()) && z != primary() {
				backup = z
			}
		}
		again := at(backup).StallDisk()
		defer again()
		w.Until("another backup", 4*time.Second, func() bool {
			p := primary()
			if p == 0 {
				return false
			}
			v, _ := at(p).Primary()
			return !v.Has(at(backup).Self())
		})
		if code := w.Replace(primary(), 2, w.Configuration(3)); code != 200 {
			t.Errorf("with a stalled disk elsewhere a change is answered %d", code)
		}
		again()
		time.Sleep(3 * time.Second)
		if v, _ := at(primary()).Primary(); len(v.Witnesses) != 3 || w.Fetch() != 3 {
			t.Errorf("witnesses %v, version %d", v.Witnesses, w.Fetch())
		}
	})
}
