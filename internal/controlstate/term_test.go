package controlstate_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/simulation"
)

// OnlyAMemberStands: a control node that the newest view does not name asks for no
// promise, whenever it comes to stand: what it has is not for sure the state.
// One that knows no primary refers callers to another member, not to itself nor
// to the primary that fell silent.
func TestOnlyAMemberStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulation.NewWorld(t, 1, 4)
		defer w.Close()
		w.Group("ledger")
		w.Boot()
		w.Configure()
		at := func(z int) *controlstate.Replica {
			return kernel.Need[*controlstate.Replica](w.Process("control", z).Kernel)
		}
		view, _ := at(1).Primary()
		for z := 1; z <= 4; z++ {
			if view.Has(at(z).Self()) {
				continue
			}
			if addr, known := at(z).Known(); !known || at(z).Referral() != addr || addr != view.Primary.Addr {
				t.Errorf("the primary that is heard is not who is referred to: %q", addr)
			}
			w.Isolate(z, true)
			time.Sleep(3 * time.Second)
			if err := at(z).TryCampaign(t.Context()); !errors.Is(err, controlstate.ErrNotPrimary) {
				t.Errorf("a control node that is no member stood: %v", err)
			}
			for range 20 {
				if to := at(z).Referral(); to == "" || to == at(z).Self().Addr || to == view.Primary.Addr {
					t.Errorf("refers to %q", to)
				}
			}
			w.Isolate(z, false)
		}
	})
}
