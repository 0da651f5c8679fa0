package health

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"indigowalk/internal/kernel"
)

type notice struct {
	Databases []string `json:"d"`
}

// byteBudget holds the bytes that may be told yet. Its fields are guarded by the
// health coordinator's mutex.
type byteBudget struct {
	bytes float64
	updated    kernel.Micros
}

// available tells whether something may be told now.
func (p *byteBudget) available(now kernel.Micros, rate float64) bool {
	if rate == 0 {
		return true
	}
	p.bytes = min(p.bytes+float64(now-p.updated)*rate, float64(budgetWindow)*rate)
	p.updated = now
	return p.bytes > 0
}

// rank orders the tellers of a database's fault; lower ones are senior.
func rank(addr, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	h.Write([]byte(id))
	return h.Sum64()
}

// outbox gathers notices. Its fields are guarded by the health coordinator's mutex.
type outbox struct{ ids []string }

// add puts a notice among those that leave next. They are sent so many times:
// a lost one costs a peer a fault of its own, a doubled one nothing.
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
				return // a lost notice costs less than a full link
			}
			ids = s.unreported(ids, func(string, string) bool { return true })
			s.sendNotices(ctx, ids, to())
			if !kernel.Sleep(ctx, 50*kernel.Millisecond) {
				return
			}
		}
	}()
}

func (s *Monitor) budgetAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.available(s.k.Clock.Now(), s.cfg.NoticeRate)
}

// sendNotices sends notices to peers, part by part.
func (s *Monitor) sendNotices(ctx context.Context, ids, peers []string) {
	senior := func(from, id string) bool { return rank(from, id) < rank(s.cfg.Self, id) }
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
		ids = s.unreported(slices.Clone(ids), senior)
	}
}

// unreported leaves out what enough others, of those that count, have told of
// late.
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
