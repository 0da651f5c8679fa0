package controlstate

import (
	"context"
	"sync"
)

// StallDisk has the disk answer nothing until the returned function is called.
func (v *Replica) StallDisk() (release func()) {
	v.store.lock()
	return sync.OnceFunc(v.store.unlock)
}

// TryCampaign stands as a step would that looked before.
func (v *Replica) TryCampaign(ctx context.Context) error { return v.tryStand(ctx) }
