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

// A control node that is not a member of the newest view never campaigns, because the state it holds
// may be outdated. Without a known primary it refers callers to another member, neither to itself
// nor to the unresponsive primary.
func TestOnlyMembersCampaign(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulation.NewWorld(t, 1, 4)
		defer w.Close()
		w.AddGroup("ledger")
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
			if addr, known := at(z).KnownPrimary(); !known || at(z).Referral() != addr || addr != view.Primary.Addr {
				t.Errorf("callers are not referred to the known primary: %q", addr)
			}
			w.Isolate(z, true)
			time.Sleep(3 * time.Second)
			if err := at(z).TryCampaign(t.Context()); !errors.Is(err, controlstate.ErrNotPrimary) {
				t.Errorf("a control node that is not a member campaigned: %v", err)
			}
			for range 20 {
				if to := at(z).Referral(); to == "" || to == at(z).Self().Addr || to == view.Primary.Addr {
					t.Errorf("callers are referred to %q", to)
				}
			}
			w.Isolate(z, false)
		}
	})
}
