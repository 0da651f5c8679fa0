package gateway

import (
	"net"
	"sync"
	"sync/atomic"

	"indigowalk/internal/kernel"
)

// linkMeter tells how full the machine's own link is, from what this process sends
// and receives. What waits at a full link waits for seconds, and the control
// state's news with it; so a gateway takes no more than its link carries.
type linkMeter struct {
	clock   kernel.Clock
	rate    float64 // bytes a microsecond that are counted on; 0 if not known
	in, out way
}

// way is one direction of the link.
type way struct {
	bytes atomic.Int64

	mu      sync.Mutex
	at      kernel.Micros
	seen    int64
	backlog float64 // bytes that must still be waiting
	use     float64 // of late, as a part of the rate
}

const (
	// linkUse is the part of the link that is counted on: the rest is left to
	// the headers of packets, and to other processes.
	linkUse = 0.85
	// perWrite stands for the headers of what is sent or received in one piece.
	perWrite = 80
	// useOver is the time over which the use of a link is looked at.
	useOver = kernel.Second
)

func newLinkMeter(clock kernel.Clock, mbps float64) *linkMeter {
	return &linkMeter{clock: clock, rate: linkUse * mbps / 8}
}

// look brings a way up to now.
func (w *way) look(now kernel.Micros, rate float64) (backlog kernel.Micros, use float64) {
	if rate == 0 {
		return 0, 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := w.bytes.Load()
	if span := float64(now - w.at); span > 0 {
		fresh := float64(seen - w.seen)
		w.backlog = max(0, w.backlog+fresh-rate*span)
		weight := min(1, span/float64(useOver))
		w.use += weight * (fresh/(rate*span) - w.use)
		w.at, w.seen = now, seen
	}
	return kernel.Micros(w.backlog / rate), w.use
}

// load returns how long what is sent now would wait, and how much of the link is
// in use, in the fuller direction.
func (g *linkMeter) load() (wait kernel.Micros, use float64) {
	now := g.clock.Now()
	inWait, inUse := g.in.look(now, g.rate)
	outWait, outUse := g.out.look(now, g.rate)
	return max(inWait, outWait), max(inUse, outUse)
}

// metered counts what goes through a connection.
type metered struct {
	net.Conn
	g *linkMeter
}

func (c *metered) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.g.in.bytes.Add(int64(n) + perWrite)
	return n, err
}

func (c *metered) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.g.out.bytes.Add(int64(n) + perWrite)
	return n, err
}
