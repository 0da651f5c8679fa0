package gateway

import (
	"net"
	"sync"
	"sync/atomic"

	"indigowalk/internal/kernel"
)

// linkMeter estimates the utilization of the machine's own network link from what this process sends
// and receives. A saturated link delays all traffic by seconds, updates of the control state included, so
// a gateway refuses requests beyond what its link can carry.
type linkMeter struct {
	clock   kernel.Clock
	rate    float64 // usable bytes per microsecond; 0 if unknown
	in, out direction
}

// direction is one direction of the link.
type direction struct {
	bytes atomic.Int64 // transferred so far, including estimated packet headers

	mu          sync.Mutex
	updatedAt   kernel.Micros
	counted     int64   // bytes as of updatedAt
	backlog     float64 // estimated bytes that are queued at the link
	utilization float64 // recent average, as a fraction of the rate
}

const (
	// usableShare is the fraction of the link's bandwidth assumed to be usable: the rest is left
	// to packet headers and other processes.
	usableShare = 0.85
	// overheadPerCall is the estimated packet header overhead of each read or write, in bytes.
	overheadPerCall = 80
	// utilizationWindow is the period over which utilization is averaged.
	utilizationWindow = kernel.Second
)

func newLinkMeter(clock kernel.Clock, mbps float64) *linkMeter {
	return &linkMeter{clock: clock, rate: usableShare * mbps / 8}
}

// update updates the estimates and returns them, the backlog as the time needed to transfer it.
func (d *direction) update(now kernel.Micros, rate float64) (backlog kernel.Micros, utilization float64) {
	if rate == 0 {
		return 0, 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	counted := d.bytes.Load()
	if elapsed := float64(now - d.updatedAt); elapsed > 0 {
		added := float64(counted - d.counted)
		d.backlog = max(0, d.backlog+added-rate*elapsed)
		weight := min(1, elapsed/float64(utilizationWindow))
		d.utilization += weight * (added/(rate*elapsed) - d.utilization)
		d.updatedAt, d.counted = now, counted
	}
	return kernel.Micros(d.backlog / rate), d.utilization
}

// load returns how long data that is sent now would wait in the queue of the link, and the
// utilization of the link, each for the more heavily loaded direction.
func (m *linkMeter) load() (wait kernel.Micros, utilization float64) {
	now := m.clock.Now()
	inWait, inUtilization := m.in.update(now, m.rate)
	outWait, outUtilization := m.out.update(now, m.rate)
	return max(inWait, outWait), max(inUtilization, outUtilization)
}

// meteredConn is a connection whose traffic the meter counts.
type meteredConn struct {
	net.Conn
	meter *linkMeter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.bytes.Add(int64(n) + overheadPerCall)
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.bytes.Add(int64(n) + overheadPerCall)
	return n, err
}
