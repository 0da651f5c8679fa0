package quota

import (
	"errors"
	"math"
	"sync"

	"indigowalk/internal/kernel"
)

// Errors of an ask.
var (
	ErrRepeated  = errors.New("quota: an earlier message, or one of an earlier life")
	ErrMalformed = errors.New("quota: malformed")
)

const (
	// mostCarriers bounds the carriers that a ledger knows.
	mostCarriers = 4096
	// Bounds of the pause that carriers are told.
	leastComeBack = 50 * kernel.Millisecond
	mostComeBack  = kernel.Second
	// grantShare is how much of a stock one grant may take, so that the last of
	// it is there for carriers that need little.
	grantShare = 0.5
)

// Ledger is the holder's side in one term: stock, and every slice with its lease.
// Nothing of it is on disk: the ledger of the next term assumes that all stock is in
// slices until a lease is over. It grants nothing for as long, or what Opening allows
// from when Narrow was called.
type Ledger struct {
	term      int64
	lease     kernel.Micros
	tolerance Tolerance
	opens     kernel.Micros // until then slices of the term before may be spent

	mu       sync.Mutex
	begins   kernel.Micros // before that nothing is granted, and stock does not grow
	limits   map[string]Limit
	accounts map[string]*account
	carriers map[string]*sender
}

// sender is the newest message that was taken from a carrier.
type sender struct{ life, seq int64 }

// holder is one life of a carrier.
type holder struct {
	carrier string
	life    int64
}

// slice is what a holder may have.
type slice struct {
	held  int64 // at most
	until kernel.Micros
}

// account is one tenant's. Stock and what is in slices are never more together than
// the capacity, and what is in slices is never less than holders can spend.
type account struct {
	stock    float64
	at       kernel.Micros // when the stock was that
	out      int64         // in slices whose leases run
	slices   map[holder]*slice
	earliest kernel.Micros // when the next lease ends
	used     kernel.Micros // when it was asked for last
}

// NewLedger begins a term.
func NewLedger(term int64, now, lease kernel.Micros, tolerance Tolerance) *Ledger {
	return &Ledger{
		term: term, lease: lease, tolerance: tolerance, opens: now + lease, begins: now + lease,
		limits: map[string]Limit{}, accounts: map[string]*account{}, carriers: map[string]*sender{},
	}
}

// Narrow begins to grant, as far as that may be while slices of the term before are
// out. It is for a ledger whose forerunner had no slices out of a term before its own.
func (l *Ledger) Narrow(now kernel.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.begins {
		return
	}
	l.begins = now
	for _, a := range l.accounts {
		a.at = now
	}
}

// capacity is the most that may lie in stock and in slices together at a time.
func (l *Ledger) capacity(now kernel.Micros, limit Limit) float64 {
	switch {
	case now < l.begins:
		return 0
	case now < l.opens:
		return l.tolerance.Opening(limit)
	}
	return l.tolerance.Capacity(limit)
}

// SetLimits takes the limits of a configuration, by tenant. Stock beyond a lower
// limit is gone at once; slices that are out last until they are spent or their leases
// end. A tenant that went is forgotten once nothing of it can be in a window any more.
func (l *Ledger) SetLimits(now kernel.Micros, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for tenant, a := range l.accounts {
		l.advance(a, now, l.limits[tenant])
		limit, there := limits[tenant]
		if !there && a.out == 0 && now-a.used > l.tolerance.Window+l.lease {
			delete(l.accounts, tenant)
			continue
		}
		a.clamp(l.capacity(now, limit))
	}
	l.limits = limits
}

// Take looks at what a carrier holds and grants what it may get. Slices last for a
// lease, which the carrier counts from before it asked.
func (l *Ledger) Take(now kernel.Micros, q ask) (answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest, err := l.hear(q)
	if err != nil {
		return answer{Newest: newest}, err
	}
	a := answer{Term: l.term, Lease: l.lease}
	for _, h := range q.Holdings {
		a.Slices = append(a.Slices, l.answer(now, holder{q.Carrier, q.Life}, h))
	}
	return a, nil
}

// hear notes a message; newest is the carrier's later life if there is one.
func (l *Ledger) hear(q ask) (newest int64, err error) {
	s := l.carriers[q.Carrier]
	switch {
	case q.Carrier == "" || q.Life <= 0 || q.Seq <= 0 || s == nil && len(l.carriers) >= mostCarriers:
		return 0, ErrMalformed
	case s == nil:
		s = &sender{}
		l.carriers[q.Carrier] = s
	case q.Life < s.life:
		return s.life, ErrRepeated
	case q.Life == s.life && q.Seq <= s.seq:
		return 0, ErrRepeated
	}
	s.life, s.seq = q.Life, q.Seq
	return 0, nil
}

// answer is the slice of one tenant.
func (l *Ledger) answer(now kernel.Micros, who holder, h Holding) Slice {
	limit, known := l.limits[h.Tenant]
	switch {
	case !known || h.Returned < 0 || h.Held < 0 || h.Want < 0:
		return Slice{Tenant: h.Tenant, ComeBack: mostComeBack}
	case limit.Unlimited():
		// The carrier has an older configuration.
		return Slice{Tenant: h.Tenant, Grant: h.Want, Renewed: true}
	}
	a := l.account(now, h.Tenant)
	l.advance(a, now, limit)
	s, renewed := a.settle(who, h)
	a.clamp(l.capacity(now, limit))
	granted := min(h.Want, share(a.stock))
	a.grant(s, granted, now+l.lease)
	given := Slice{Tenant: h.Tenant, Grant: granted, Renewed: renewed}
	if granted < h.Want {
		given.ComeBack = l.comeBack(now, a, limit)
	}
	return given
}

// share is the most of a stock that one grant takes.
func share(stock float64) int64 {
	if stock < 1 {
		return 0
	}
	return max(1, int64(math.Ceil(grantShare*stock)))
}

// comeBack is when there will be something in stock again.
func (l *Ledger) comeBack(now kernel.Micros, a *account, limit Limit) kernel.Micros {
	wait := max(0, l.begins-now)
	if lacks := 1 - a.stock; lacks > 0 {
		wait += kernel.Micros(math.Min(lacks/limit.PerS*float64(kernel.Second), float64(mostComeBack)))
	}
	return min(max(wait, leastComeBack), mostComeBack)
}

// account returns a tenant's account. Of one that was not asked for in this term the
// stock was empty when the ledger began to grant.
func (l *Ledger) account(now kernel.Micros, tenant string) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{at: l.begins, slices: map[holder]*slice{}, earliest: math.MaxInt64}
		l.accounts[tenant] = a
	}
	a.used = now
	return a
}

// advance brings an account to a time: stock grows by the rate as far as there is room
// beside what is in slices, and leases end, each at its time.
func (l *Ledger) advance(a *account, now kernel.Micros, limit Limit) {
	for a.earliest <= now {
		l.refill(a, a.earliest, limit)
		a.expire(a.earliest)
	}
	l.refill(a, now, limit)
}

// refill lets the stock of an account grow to a time at which no lease ends before.
func (l *Ledger) refill(a *account, now kernel.Micros, limit Limit) {
	if a.at < l.opens && l.opens < now {
		a.grow(l.opens, limit.PerS)
		a.clamp(l.tolerance.Opening(limit))
	}
	a.grow(now, limit.PerS)
	a.clamp(l.capacity(now, limit))
}

func (a *account) grow(now kernel.Micros, rate float64) {
	if now > a.at {
		a.stock += rate * float64(now-a.at) / float64(kernel.Second)
		a.at = now
	}
}

// expire ends the leases that are over at a time. What was in those slices counts as
// spent, whether it was or not.
func (a *account) expire(now kernel.Micros) {
	a.earliest = math.MaxInt64
	for who, s := range a.slices {
		if s.until <= now {
			a.out -= s.held
			delete(a.slices, who)
			continue
		}
		a.earliest = min(a.earliest, s.until)
	}
}

// clamp drops stock for which there is no room beside what is in slices.
func (a *account) clamp(capacity float64) {
	a.stock = math.Max(0, math.Min(a.stock, capacity-float64(a.out)))
}

// settle brings a slice to what its holder tells, and returns it; renewed says that
// its lease had not ended. What is neither kept nor returned counts as spent.
func (a *account) settle(who holder, h Holding) (s *slice, renewed bool) {
	s = a.slices[who]
	if s == nil {
		s = &slice{}
		a.slices[who] = s
		return s, false
	}
	kept := min(h.Held, s.held)
	a.stock += float64(min(h.Returned, s.held-kept))
	a.out -= s.held - kept
	s.held = kept
	return s, true
}

// grant moves some of the stock into a slice, and gives that a new lease.
func (a *account) grant(s *slice, n int64, until kernel.Micros) {
	a.stock -= float64(n)
	a.out += n
	s.held += n
	s.until = until
	a.earliest = min(a.earliest, until)
}

// Account is a tenant's account as it is shown.
type Account struct {
	Stock    float64 `json:"stock"`
	Out      int64   `json:"out"`     // in slices
	Holders  int     `json:"holders"` // that have any
	Capacity float64 `json:"capacity"`
}

// Accounts shows every tenant that has been asked for, by name.
func (l *Ledger) Accounts(now kernel.Micros) map[string]Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Account{}
	for tenant, a := range l.accounts {
		limit := l.limits[tenant]
		l.advance(a, now, limit)
		shown := Account{Stock: a.stock, Out: a.out, Capacity: l.capacity(now, limit)}
		for _, s := range a.slices {
			if s.held > 0 {
				shown.Holders++
			}
		}
		out[tenant] = shown
	}
	return out
}
