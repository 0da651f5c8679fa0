package controlstate

import (
	"context"
	"sync"
)

// StallDisk blocks all use of the disk until the returned function is called.
func (v *Replica) StallDisk() (release func()) {
	v.store.lock()
	return sync.OnceFunc(v.store.unlock)
}

// TryCampaign makes one attempt at a new view without the checks that precede it in Serve.
func (v *Replica) TryCampaign(ctx context.Context) error { return v.tryCampaign(ctx) }
