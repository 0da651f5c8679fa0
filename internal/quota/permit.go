package quota

import (
	"errors"

	"indigowalk/internal/kernel"
)

// ErrEnded says that the admission of a request ended before it was sent.
var ErrEnded = errors.New("quota: the admission has ended")

// Permit is the admission of one request over all its sendings, each of which takes
// one operation. A nil Permit is of a request that is not counted. It is not for use
// by several at a time.
type Permit struct {
	client    *Client
	tenant    string
	limit     Limit
	admission Admission
	held      bool
}

// Permit returns one that has not been admitted yet; nil if there is no limit.
func (c *Client) Permit(tenant string, limit Limit) *Permit {
	if limit.Unlimited() {
		return nil
	}
	return &Permit{client: c, tenant: tenant, limit: limit}
}

// Take has the next sending admitted, unless it is. The error is an Exhausted.
func (p *Permit) Take(wait kernel.Micros) (err error) {
	if p == nil || p.held && p.Check() == nil {
		return nil
	}
	p.Release()
	if p.admission, err = p.client.Admit(p.tenant, p.limit, wait); err != nil {
		return err
	}
	p.held = true
	return nil
}

// Check tells whether what was admitted may be sent now: ErrEnded if not. The check and
// the sending are to be one step.
func (p *Permit) Check() error {
	if p == nil || p.client.k.Clock.Now() < p.admission.Until {
		return nil
	}
	return ErrEnded
}

// Sent says that it was sent, or may have been.
func (p *Permit) Sent() {
	if p == nil || !p.held {
		return
	}
	p.held = false
	p.client.Sent(p.admission)
}

// Release gives back what was admitted and not sent.
func (p *Permit) Release() {
	if p == nil || !p.held {
		return
	}
	p.held = false
	p.client.Unused(p.admission)
}
