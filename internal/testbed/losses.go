package testbed

import (
	"sync"
	"time"
)

// losses tracks the control machines that are lost, so that no more than the tolerated number
// are lost at once. A machine counts as lost while it is down, frozen or partitioned, and for
// catchup afterwards. A fault is injected only if losses allows it; otherwise another is drawn.
type losses struct {
	limit int // 0 for no limit

	mu    sync.Mutex
	lost  map[*machine]*loss
	disks time.Time // no further disk may be lost before this time
}

// loss is the state of one lost machine, with the number of its active faults.
type loss struct {
	faults int
	until  time.Time // when it has caught up, once no fault is active
}

func newLosses(limit int) *losses { return &losses{limit: limit, lost: map[*machine]*loss{}} }

// tryAcquire records the loss of a machine, if the limit allows it; otherwise it returns false.
func (l *losses) tryAcquire(m *machine) bool {
	if !m.control {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && l.others(m) >= l.limit {
		return false
	}
	if l.lost[m] == nil {
		l.lost[m] = &loss{}
	}
	l.lost[m].faults++
	return true
}

// others returns how many machines other than m are lost. The caller holds the lock.
func (l *losses) others(m *machine) (n int) {
	now := time.Now()
	for other, loss := range l.lost {
		if other != m && (loss.faults > 0 || now.Before(loss.until)) {
			n++
		}
	}
	return n
}

// noneLost reports whether no machine is lost or still catching up.
func (l *losses) noneLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.others(nil) == 0
}

// release records that a fault of a machine has ended.
func (l *losses) release(m *machine) {
	if !m.control {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	loss := l.lost[m]
	loss.faults--
	loss.until = time.Now().Add(catchup)
}

// diskCatchup is the minimum time between the losses of two disks, for the first machine to
// return and catch up: without a limit on lost machines, others may have been lost meanwhile.
const diskCatchup = 20 * time.Second

// tryAcquireDisk records that a machine loses its disk, if one may be lost now. A limit on lost
// machines covers disks too.
func (l *losses) tryAcquireDisk(m *machine) bool {
	if !l.tryAcquire(m) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.limit == 0 && (now.Before(l.disks) || l.others(m) > 0) {
		l.lost[m].faults--
		return false
	}
	l.disks = now.Add(diskCatchup)
	return true
}
