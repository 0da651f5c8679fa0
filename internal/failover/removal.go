package failover

import (
	"context"
	"encoding/json"
)

const (
	// removalLeases is after how many lease durations without a poll a proxy is removed.
	removalLeases = 24
	// Keys of this work for runExclusive, which no service name can equal.
	readerRemovalKey   = "\x00readers"
	databaseRemovalKey = "\x00databases"
)

// removeReaders removes the registrations of proxies that no longer poll. One that comes back
// registers again before it is granted a lease.
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
		c.k.Log.Info("removed the registrations of proxies that no longer poll", "names", gone)
		return nil
	})
}

// removeDatabases removes databases that are gone. It is used where no database leads, so that
// they held no commits that the others lack.
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
