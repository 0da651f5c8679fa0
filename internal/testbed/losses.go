package testbed

import (
	"sync"
	"time"
)

// losses keeps count of the control machines that are lost, so that no more are at once
// than may be. One counts as lost while it is down, frozen or cut off, and for catchup
// after. Whoever draws a trouble asks here first, and draws another if it may not come.
type losses struct {
	most int // 0 for no bound

	mu    sync.Mutex
	lost  map[*machine]*loss
	disks time.Time // until then no further disk may be lost
}

// loss is a machine that is lost, by so many troubles.
type loss struct {
	troubles int
	until    time.Time // once there are none
}

func newLosses(most int) *losses { return &losses{most: most, lost: map[*machine]*loss{}} }

// take notes the loss of a machine, if it may be lost now.
func (l *losses) take(m *machine) bool {
	if !m.control {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.most > 0 && l.others(m) >= l.most {
		return false
	}
	if l.lost[m] == nil {
		l.lost[m] = &loss{}
	}
	l.lost[m].troubles++
	return true
}

// others is how many machines besides one are lost. The caller holds the lock.
func (l *losses) others(m *machine) (n int) {
	now := time.Now()
	for other, loss := range l.lost {
		if other != m && (loss.troubles > 0 || now.Before(loss.until)) {
			n++
		}
	}
	return n
}

// none tells whether no machine is lost, or has been of late.
func (l *losses) none() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.others(nil) == 0
}

// give notes that a trouble of a machine is over.
func (l *losses) give(m *machine) {
	if !m.control {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	loss := l.lost[m]
	loss.troubles--
	loss.until = time.Now().Add(catchup)
}

// diskCatchup is how long after a machine lost its disk, and was back, the next may lose
// its: the others may have been lost meanwhile, where there is no bound on that.
const diskCatchup = 20 * time.Second

// takeDisk notes that a machine loses its disk, if one may be lost now: where there is a bound
// on machines it holds for disks too.
func (l *losses) takeDisk(m *machine) bool {
	if !l.take(m) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.most == 0 && (now.Before(l.disks) || l.others(m) > 0) {
		l.lost[m].troubles--
		return false
	}
	l.disks = now.Add(diskCatchup)
	return true
}
