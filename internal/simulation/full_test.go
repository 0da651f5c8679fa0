package simulation

import (
	"testing"
	"time"

	"indigowalk/internal/distribution"
	"indigowalk/internal/kernel"
)

// taken tells whether every pooler has the version of the configuration.
func (w *World) taken(rev int64) bool {
	for z := 1; z <= w.Zones; z++ {
		subscriber := kernel.Need[*distribution.Subscriber](w.Process("pooler", z).Kernel)
		if _, _, has, _ := subscriber.Version(); has < rev {
			return false
		}
	}
	return true
}

// NewsInTime: a primary that takes no bytes holds up those who send to it, and
// nothing else: poolers take a new configuration, and their other work goes on.
func TestAPrimaryThatTakesNothing(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			lead := g.Primary()
			w.Net.Full(lead.IP, true)
			time.Sleep(500 * time.Millisecond)
			changed(w, 1, 7)
			w.Until("all poolers have it", time.Second, func() bool { return w.taken(7) })
			time.Sleep(2 * time.Second)
			w.Net.Full(lead.IP, false)
		})
		served(t, l, 6*time.Second)
	})
}
