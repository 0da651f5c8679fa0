package testbed

import (
	"sync"
	"time"
)

// lossLimiter limits how many control machines are lost at once to the number that the plan tolerates.
// A machine counts as lost while a fault affects it (it is down, frozen or partitioned, say), and for
// catchUpTime afterwards. A fault that the limiter does not permit is skipped, and another is drawn.
type lossLimiter struct {
	limit int // 0 for no limit

	mu           sync.Mutex
	lost         map[*machine]*loss
	nextDiskLoss time.Time // no further disk may be lost before this time
}

// loss is the state of one lost machine.
type loss struct {
	faults     int
	caughtUpAt time.Time // when it has caught up after its last fault
}

// newLossLimiter returns a limiter that permits n lost machines, or any number if n is 0.
func newLossLimiter(n int) *lossLimiter { return &lossLimiter{limit: n, lost: map[*machine]*loss{}} }

// tryAcquire records the loss of a machine, if the limit allows it; otherwise it returns false.
func (l *lossLimiter) tryAcquire(m *machine) bool {
	if !m.control {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && l.countOthers(m) >= l.limit {
		return false
	}
	if l.lost[m] == nil {
		l.lost[m] = &loss{}
	}
	l.lost[m].faults++
	return true
}

// countOthers returns how many machines other than m are lost. The caller holds the lock.
func (l *lossLimiter) countOthers(m *machine) (n int) {
	now := time.Now()
	for other, loss := range l.lost {
		if other != m && (loss.faults > 0 || now.Before(loss.caughtUpAt)) {
			n++
		}
	}
	return n
}

// noneLost reports whether no machine is lost or still catching up.
func (l *lossLimiter) noneLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countOthers(nil) == 0
}

// release records that a fault of a machine has ended.
func (l *lossLimiter) release(m *machine) {
	if !m.control {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	loss := l.lost[m]
	loss.faults--
	loss.caughtUpAt = time.Now().Add(catchUpTime)
}

// diskCatchup is the minimum time between the losses of two disks. The first machine must restart and
// catch up within it, even if other machines are lost meanwhile because there is no limit.
const diskCatchup = 20 * time.Second

// tryAcquireDisk records that a machine is lost together with its disk, if that is permitted now;
// otherwise it returns false. A limit on lost machines covers disks too, so that diskCatchup applies
// only without a limit.
func (l *lossLimiter) tryAcquireDisk(m *machine) bool {
	if !l.tryAcquire(m) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.limit == 0 && (now.Before(l.nextDiskLoss) || l.countOthers(m) > 0) {
		l.lost[m].faults--
		return false
	}
	l.nextDiskLoss = now.Add(diskCatchup)
	return true
}
