package quota

import (
	"errors"

	"indigowalk/internal/kernel"
)

// ErrAdmissionEnded is returned if the admission of a request expired before the request was sent.
var ErrAdmissionEnded = errors.New("quota: the admission has ended")

// Permit is the admission of one request over all its attempts, each of which uses one
// operation. A nil Permit belongs to a request that is not counted. A Permit is not safe for
// concurrent use.
type Permit struct {
	client    *Client
	tenant    string
	limit     Limit
	admission Admission
	admitted  bool // the admission is valid and not used yet
}

// NewPermit returns a permit that has not been admitted yet. It returns nil if there is no
// limit.
func (c *Client) NewPermit(tenant string, limit Limit) *Permit {
	if limit.Unlimited() {
		return nil
	}
	return &Permit{client: c, tenant: tenant, limit: limit}
}

// Acquire admits the next attempt, unless it already is admitted. It waits at most for wait. It
// fails only if the quota is used up; the error says when to try again.
func (p *Permit) Acquire(wait kernel.Micros) (err error) {
	if p == nil || p.admitted && p.Check() == nil {
		return nil
	}
	p.Release()
	if p.admission, err = p.client.Admit(p.tenant, p.limit, wait); err != nil {
		return err
	}
	p.admitted = true
	return nil
}

// Check returns an error if the admitted attempt may no longer be sent. The check and the
// sending must be one atomic step.
func (p *Permit) Check() error {
	if p == nil || p.client.k.Clock.Now() < p.admission.Until {
		return nil
	}
	return ErrAdmissionEnded
}

// Spend records that the admitted attempt was sent, or may have been.
func (p *Permit) Spend() {
	if p == nil || !p.admitted {
		return
	}
	p.admitted = false
	p.client.Spend(p.admission)
}

// Release returns an admission that was not used.
func (p *Permit) Release() {
	if p == nil || !p.admitted {
		return
	}
	p.admitted = false
	p.client.Return(p.admission)
}
