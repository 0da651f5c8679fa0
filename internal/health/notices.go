package health

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"indigowalk/internal/kernel"
)

// notice is the body of a datagram of NoticeKind.
type notice struct {
	Databases []string `json:"d"`
}

// byteBudget is the number of bytes that may be sent now. Its fields are guarded by the monitor's
// mutex.
type byteBudget struct {
	bytes   float64
	updated kernel.Micros
}

// available refills the budget and reports whether anything may be sent now.
func (p *byteBudget) available(now kernel.Micros, rate float64) bool {
	if rate == 0 {
		return true
	}
	p.bytes = min(p.bytes+float64(now-p.updated)*rate, float64(budgetWindow)*rate)
	p.updated = now
	return p.bytes > 0
}

// rank orders the processes that report a database's fault; lower values take precedence.
func rank(addr, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	h.Write([]byte(id))
	return h.Sum64()
}

// outbox collects notices. Its fields are guarded by the monitor's mutex.
type outbox struct{ ids []string }

// add queues a notice and schedules the sending of the queue. Each is sent the given number of
// times: a lost notice costs a peer a fault of its own, a duplicate costs nothing.
func (o *outbox) add(s *Monitor, ctx context.Context, id string, to func() []string, times int) {
	o.ids = append(o.ids, id)
	if len(o.ids) > 1 {
		return
	}
	go func() {
		kernel.Sleep(ctx, gatherDelay+rand.N(delayPerPeer*kernel.Micros(len(to())+1)))
		s.mu.Lock()
		for !s.budget.available(s.k.Clock.Now(), s.cfg.NoticeRate) {
			s.mu.Unlock()
			s.k.Counters.Add("health.notices_held", 1)
			if !kernel.Sleep(ctx, 50*kernel.Millisecond) {
				return
			}
			s.mu.Lock()
		}
		ids := o.ids
		o.ids = nil
		s.mu.Unlock()
		for n := range times {
			if n > 0 && !s.budgetAvailable() {
				return // a lost notice costs less than a saturated link
			}
			ids = s.unreported(ids, func(string, string) bool { return true })
			s.sendNotices(ctx, ids, to())
			if !kernel.Sleep(ctx, 50*kernel.Millisecond) {
				return
			}
		}
	}()
}

// budgetAvailable reports whether notices may be sent now.
func (s *Monitor) budgetAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.available(s.k.Clock.Now(), s.cfg.NoticeRate)
}

// sendNotices sends notices to peers, in batches.
func (s *Monitor) sendNotices(ctx context.Context, ids, peers []string) {
	precedes := func(from, id string) bool { return rank(from, id) < rank(s.cfg.Self, id) }
	for part := range slices.Chunk(peers, peersPerBatch) {
		for some := range slices.Chunk(ids, maxNotices) {
			s.cfg.Send(part, NoticeKind, notice{some})
			s.mu.Lock()
			s.budget.bytes -= float64(len(part) * (noticeHeaderBytes + noticeEntryBytes*len(some)))
			s.mu.Unlock()
		}
		if len(ids) == 0 || len(peers) > peersPerBatch && !kernel.Sleep(ctx, kernel.Millisecond) {
			return
		}
		ids = s.unreported(slices.Clone(ids), precedes)
	}
}

// unreported removes the databases that enough of the counted peers have reported recently.
func (s *Monitor) unreported(ids []string, counts func(from, id string) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.k.Clock.Now()
	return slices.DeleteFunc(ids, func(id string) bool {
		h, n := s.coordinator.state[id], 0
		if h == nil {
			return true // it is gone
		}
		for _, from := range h.reporters {
			if counts(from, id) {
				n++
			}
		}
		return n >= enoughReporters && now-h.lastReported <= echoWindow
	})
}
