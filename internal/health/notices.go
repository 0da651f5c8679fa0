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

// byteBudget limits the bandwidth of notices: it is the number of bytes that may be sent now, which
// grows with time. Its fields are guarded by the monitor's mutex.
type byteBudget struct {
	bytes   float64
	updated kernel.Micros
}

// available refills the budget and reports whether anything may be sent now.
func (b *byteBudget) available(now kernel.Micros, rate float64) bool {
	if rate == 0 {
		return true
	}
	b.bytes = min(b.bytes+float64(now-b.updated)*rate, float64(budgetWindow)*rate)
	b.updated = now
	return b.bytes > 0
}

// rank returns the rank of a process among those that report a database down. The lowest value is
// the highest rank.
func rank(addr, id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(addr))
	hash.Write([]byte(id))
	return hash.Sum64()
}

// outbox queues notices by database ID. Its fields are guarded by the monitor's mutex.
type outbox struct{ ids []string }

// add queues a notice, and schedules the sending of the queue if it was empty. Notices are sent the
// given number of times: a peer that misses one runs into the fault itself, a duplicate costs
// nothing.
func (o *outbox) add(m *Monitor, ctx context.Context, id string, recipients func() []string, times int) {
	o.ids = append(o.ids, id)
	if len(o.ids) > 1 {
		return
	}
	go func() {
		kernel.Sleep(ctx, gatherDelay+rand.N(delayPerPeer*kernel.Micros(len(recipients())+1)))
		m.mu.Lock()
		for !m.budget.available(m.k.Clock.Now(), m.cfg.NoticeRate) {
			m.mu.Unlock()
			m.k.Counters.Add("health.notices_held", 1)
			if !kernel.Sleep(ctx, 50*kernel.Millisecond) {
				return
			}
			m.mu.Lock()
		}
		ids := o.ids
		o.ids = nil
		m.mu.Unlock()
		for attempt := range times {
			if attempt > 0 && !m.budgetAvailable() {
				return // a lost notice costs less than a saturated link
			}
			ids = m.unreported(ids, func(string, string) bool { return true })
			m.sendNotices(ctx, ids, recipients())
			if !kernel.Sleep(ctx, 50*kernel.Millisecond) {
				return
			}
		}
	}()
}

// budgetAvailable reports whether notices may be sent now.
func (m *Monitor) budgetAvailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.available(m.k.Clock.Now(), m.cfg.NoticeRate)
}

// sendNotices sends notices to peers in batches, until enough higher-ranked processes send them.
func (m *Monitor) sendNotices(ctx context.Context, ids, peers []string) {
	precedes := func(from, id string) bool { return rank(from, id) < rank(m.cfg.Self, id) }
	for batch := range slices.Chunk(peers, peersPerBatch) {
		for chunk := range slices.Chunk(ids, maxNotices) {
			m.cfg.Send(batch, NoticeKind, notice{chunk})
			m.mu.Lock()
			m.budget.bytes -= float64(len(batch) * (noticeHeaderBytes + noticeEntryBytes*len(chunk)))
			m.mu.Unlock()
		}
		if len(ids) == 0 || len(peers) > peersPerBatch && !kernel.Sleep(ctx, kernel.Millisecond) {
			return
		}
		ids = m.unreported(slices.Clone(ids), precedes)
	}
}

// unreported returns the databases without those that enoughReporters peers have reported down
// within echoWindow. Only peers for which counts returns true are counted.
func (m *Monitor) unreported(ids []string, counts func(from, id string) bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.k.Clock.Now()
	return slices.DeleteFunc(ids, func(id string) bool {
		state, reporters := m.coordinator.states[id], 0
		if state == nil {
			return true // the database is gone
		}
		for _, from := range state.reporters {
			if counts(from, id) {
				reporters++
			}
		}
		return reporters >= enoughReporters && now-state.lastReported <= echoWindow
	})
}
