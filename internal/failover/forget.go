package failover

import (
	"context"
	"encoding/json"
)

const (
	// goneLeases is for how many leases a carrier polls no more until it is forgotten.
	goneLeases = 24
	// Names of this work among the services that are worked on, which it can't have.
	forgettingReaders   = "\x00readers"
	forgettingDatabases = "\x00databases"
)

// forgetReaders removes the registrations of carriers that are gone. One that comes back
// registers anew before it is granted a lease.
func (c *Manager) forgetReaders(ctx context.Context) {
	gone := c.readers.Gone(c.k.Clock.Now(), goneLeases*c.cfg.ReaderLease)
	if len(gone) == 0 {
		return
	}
	c.spawn(forgettingReaders, func() error {
		err := c.v.Update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
			return Unregister(gone), nil
		})
		if err != nil {
			return err
		}
		c.readers.Forget(gone)
		c.k.Counters.Add("failover.carriers_forgotten", int64(len(gone)))
		c.k.Log.Info("carriers forgotten", "names", gone)
		return nil
	})
}

// forgetDatabases forgets databases that are gone, where they held nothing.
func (c *Manager) forgetDatabases(ctx context.Context, s *snapshot) {
	var gone []string
	for id, d := range s.databases {
		if d.Gone {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 && c.due(forgettingDatabases) {
		c.spawn(forgettingDatabases, func() error { return c.acc.Remove(ctx, gone...) })
	}
}
