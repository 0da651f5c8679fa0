package simulation

import (
	"testing"
	"time"

	"indigowalk/internal/distribution"
	"indigowalk/internal/kernel"
)

// poolersHaveVersion reports whether every pooler has this version of the configuration, or a newer
// one.
func (w *World) poolersHaveVersion(rev int64) bool {
	for z := 1; z <= w.Zones(); z++ {
		subscriber := kernel.Need[*distribution.Subscriber](w.Process("pooler", z).Kernel)
		if _, _, version, _ := subscriber.Version(); version < rev {
			return false
		}
	}
	return true
}

// A primary that reads no bytes from its connections delays only the clients that send to it. Poolers
// still receive a new configuration in time and continue their other work.
func TestStalledPrimaryDoesNotBlockConfiguration(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			primary := g.Primary()
			w.Net.SetReceiveBlocked(primary.IP, true)
			time.Sleep(500 * time.Millisecond)
			replaceUntilAccepted(w, 1, 7)
			w.WaitUntil("every pooler has the new configuration", time.Second, func() bool { return w.poolersHaveVersion(7) })
			time.Sleep(2 * time.Second)
			w.Net.SetReceiveBlocked(primary.IP, false)
		})
		checkWritesServed(t, load, 6*time.Second)
	})
}
