package vault

import (
	"context"
	"fmt"

	"indigowalk/internal/foundation"
)

// Member is an archive with a given disk: the same archive with another disk
// is another member.
type Member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Disk string `json:"disk"`
}

// View says who keeps the control state in an epoch.
type View struct {
	Epoch   int64  `json:"epoch"`
	Primary Member `json:"primary"`
	Backup  Member `json:"backup"`
}

// Has reports whether m, with its disk, belongs to the view.
func (v View) Has(m Member) bool { return m.same(v.Primary) || m.same(v.Backup) }

func (m Member) same(o Member) bool { return m.Addr == o.Addr && m.Disk == o.Disk && m.Disk != "" }

// register is what an elector keeps on disk.
type register struct {
	Promised int64 `json:"promised"`
	Accepted View  `json:"accepted"`
}

type promiseAsk struct {
	Epoch int64  `json:"epoch"`
	From  Member `json:"from"`
}

type promiseAnswer struct {
	Granted  bool              `json:"granted"`
	Promised int64             `json:"promised"`
	Accepted View              `json:"accepted"`
	Wait     foundation.Micros `json:"wait_us,omitempty"` // a lease runs this long yet
}

type renewAsk struct {
	View View `json:"view"`
}

type renewAnswer struct {
	Granted  bool  `json:"granted"`
	Promised int64 `json:"promised"`
}

// VoteKind is the kind of record of an elector's answer.
const VoteKind = "vote"

// Vote is the record of one: a "promise" or an "accept" of an epoch.
type Vote struct {
	Kind    string `json:"kind"`
	Epoch   int64  `json:"epoch"`
	From    string `json:"from"`
	Granted bool   `json:"granted"`
}

// elector is the witness's side: it decides nothing about the state, it only
// keeps two candidates from winning the same epoch.
type elector struct {
	store     *Store
	reg       register
	lease     foundation.Micros // span of a lease
	holder    int64             // epoch whose lease runs
	until     foundation.Micros
	abstains  bool // empty disk: knows nothing yet
	quietTill foundation.Micros
}

func (e *elector) promise(now foundation.Micros, q promiseAsk) (promiseAnswer, error) {
	a := promiseAnswer{Promised: e.reg.Promised, Accepted: e.reg.Accepted}
	if e.abstains || now < e.quietTill {
		return a, fmt.Errorf("abstains")
	}
	if now < e.until && !q.From.same(e.reg.Accepted.Primary) {
		a.Wait = e.until - now
		return a, nil
	}
	if q.Epoch <= e.reg.Promised {
		return a, nil
	}
	reg := e.reg
	reg.Promised = q.Epoch
	if err := e.store.Save("register", reg); err != nil {
		return a, err
	}
	e.reg = reg
	a.Granted, a.Promised = true, q.Epoch
	return a, nil
}

func (e *elector) accept(now foundation.Micros, v View) (renewAnswer, error) {
	if e.abstains {
		return renewAnswer{}, fmt.Errorf("abstains")
	}
	if v.Epoch < e.reg.Promised || v.Epoch <= e.reg.Accepted.Epoch {
		return renewAnswer{Promised: e.reg.Promised}, nil
	}
	reg := register{Promised: v.Epoch, Accepted: v}
	if err := e.store.Save("register", reg); err != nil {
		return renewAnswer{}, err
	}
	e.reg, e.holder, e.until = reg, v.Epoch, now+e.lease
	return renewAnswer{Granted: true, Promised: v.Epoch}, nil
}

// renew prolongs the lease of the accepted view; a view whose acceptance this
// elector missed is accepted now.
func (e *elector) renew(now foundation.Micros, v View) (renewAnswer, error) {
	if e.abstains || v.Epoch < e.reg.Promised || v.Epoch > e.reg.Accepted.Epoch {
		return e.accept(now, v)
	}
	if v != e.reg.Accepted {
		return renewAnswer{Promised: e.reg.Promised}, nil
	}
	e.holder, e.until = v.Epoch, max(e.until, now+e.lease)
	return renewAnswer{Granted: true, Promised: v.Epoch}, nil
}

func (e *elector) release(epoch int64) {
	if e.holder == epoch {
		e.until = 0
	}
}

// electors are learnt once and kept: the seeds of the first start.
type electorsRecord struct {
	Addrs []string `json:"addrs"`
}

// recoverElector fills the register of an elector that lost its disk from all
// the other electors, and then waits out a lease.
func (v *Vault) recoverElector(ctx context.Context) {
	for ctx.Err() == nil {
		reg, all := register{}, true
		for _, addr := range v.electorAddrs() {
			if addr == v.self.Addr {
				continue
			}
			var r registerAnswer
			if err := v.branch.Call(ctx, addr, "vault.register", struct{}{}, &r, callWait); err != nil || r.Abstains {
				all = false
				break
			}
			reg.Promised = max(reg.Promised, r.Register.Promised)
			if r.Register.Accepted.Epoch > reg.Accepted.Epoch {
				reg.Accepted = r.Register.Accepted
			}
		}
		if all && foundation.Sleep(ctx, v.lease) {
			v.mu.Lock()
			err := v.elector.store.Save("register", reg)
			if err == nil {
				v.elector.reg, v.elector.abstains = reg, false
			}
			v.mu.Unlock()
			if err == nil {
				v.k.Log.Info("elector restored from the others", "promised", reg.Promised)
				return
			}
			v.k.Counters.Add("vault.save_failed", 1)
		}
		foundation.Sleep(ctx, 500*foundation.Millisecond)
	}
}
