package rehearsal

import (
	"testing"
	"time"
)

// MemberThatHearsNothingSendsOn: a member of the core that is cut off sends
// callers on to one that knows more, not to a primary that it only once knew: to
// wait for a silent one costs them a second each time.
func TestMemberThatHearsNothingSendsOn(t *testing.T) {
	for _, silent := range []bool{false, true} { // the primary; else the primary is the one that is cut off
		core(t, 5, 2, func(w *World, g *Group) {
			p := vaultPrimary(w)
			view, _ := w.Process("archive", p).vault().Primary()
			cut := p
			if silent {
				w.Net.Dark(ip(p), true)
				for z := 1; z <= 5; z++ {
					if z != p && !view.Has(w.Process("archive", z).vault().Self()) {
						cut = z
					}
				}
			}
			w.Isolate(cut, true)
			start := time.Now()
			var worst, later time.Duration
			for rev := int64(2); time.Since(start) < 20*time.Second; rev++ {
				early := time.Since(start) < 4*time.Second
				took := w.Until("an order is taken", 5*time.Second, func() bool { return w.Replace(cut, rev-1, w.Configuration(rev)) == 200 })
				if early {
					worst = max(worst, took)
				} else {
					later = max(later, took)
				}
				time.Sleep(500 * time.Millisecond)
			}
			if worst > 3500*time.Millisecond || later > 100*time.Millisecond {
				t.Errorf("silent primary %v: an order took %v while another primary was found, %v later", silent, worst, later)
			}
			t.Logf("silent primary %v: an order took %v at worst while another primary was found, %v later", silent, worst, later)
		})
	}
}
