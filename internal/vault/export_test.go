package vault

import "sync"

// StallDisk has the disk answer nothing until the returned function is called.
func (v *Vault) StallDisk() (release func()) {
	v.store.lock()
	return sync.OnceFunc(v.store.unlock)
}
