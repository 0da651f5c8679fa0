package failover

import (
	"context"
	"encoding/json"
)

const (
	// removalLeases is for how many leases a carrier polls no more until it is forgotten.
	removalLeases = 24
	// Names of this work among the services that are worked on, which it can't have.
	readerRemovalKey   = "\x00readers"
	databaseRemovalKey = "\x00databases"
)

// removeReaders removes the registrations of carriers that are gone. One that comes back
// registers anew before it is granted a lease.
func (c *Manager) removeReaders(ctx context.Context) {
	gone := c.readers.MarkExpired(c.k.Clock.Now(), removalLeases*c.cfg.ReaderLease)
	if len(gone) == 0 {
		return
	}
	c.runExclusive(readerRemovalKey, func() error {
		err := c.state.Update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
			return Unregister(gone), nil
		})
		if err != nil {
			return err
		}
		c.readers.RemoveExpired(gone)
		c.k.Counters.Add("failover.carriers_forgotten", int64(len(gone)))
		c.k.Log.Info("carriers forgotten", "names", gone)
		return nil
	})
}

// removeDatabases forgets databases that are gone, where they held nothing.
func (c *Manager) removeDatabases(ctx context.Context, s *snapshot) {
	var gone []string
	for id, d := range s.databases {
		if d.Gone {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 && c.attemptDue(databaseRemovalKey) {
		c.runExclusive(databaseRemovalKey, func() error { return c.registry.Remove(ctx, gone...) })
	}
}
